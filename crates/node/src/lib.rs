//! All decisions of one instance behind one event interface.
//!
//! [`Node`] joins the scheduler, the rollouts, membership, configuration and leases. It takes
//! [`Event`]s with the present time and returns [`Action`]s; it opens no socket and reads no clock,
//! so that tests and benches drive exactly the decisions that the daemon makes. [`convert`] turns
//! the sheet into what the deciding packages read.

pub mod convert;
pub mod node;

pub use node::{Action, Event, Node, Options};
