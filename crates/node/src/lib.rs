//! All decisions of one instance behind one event interface.
//!
//! [`Node`] combines the scheduler, rollouts, membership, configuration and the rollout leader's
//! lease. It takes [`Event`]s with the current time and returns [`Action`]s. It opens no sockets
//! and reads no clock, so tests and benchmarks run the same decisions as the daemon.
//!
//! - [`convert`] converts the sheet to the inputs of the scheduler and the rollouts.
//! - [`versions`] chooses the version that serves a request.
//! - [`requests`] tracks requests and records their outcomes as evidence on versions.
//! - [`loads`] stores the load reports of targets.
//! - [`exchange`] builds and processes the messages between instances.

pub mod convert;
pub mod event;
pub mod exchange;
pub mod loads;

pub mod node;
pub mod requests;
pub mod versions;

pub use event::{Action, Event};
pub use node::{Node, Options};
