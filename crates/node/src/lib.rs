//! All decisions of one instance behind one event interface.
//!
//! [`Node`] joins the scheduler, the rollouts, membership, configuration and the steward's lease. It
//! takes [`Event`]s with the present time and returns [`Action`]s; it opens no socket and reads no
//! clock, so that tests and benches drive exactly the decisions that the daemon makes. [`convert`]
//! turns the sheet into what the deciding packages read, [`versions`] chooses the version of a
//! request, [`requests`] follows requests as evidence on versions, [`loads`] keeps what targets
//! report, and [`news`] writes and takes the messages between instances.

pub mod convert;
pub mod event;
pub mod exchange;
pub mod loads;

pub mod node;
pub mod requests;
pub mod versions;

pub use event::{Action, Event};
pub use node::{Node, Options};
