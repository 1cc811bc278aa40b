//! Decisions of an instance that forwards requests by route.
//!
//! [`Gateway`] takes typed events with the present time and returns typed actions. It opens no
//! socket, reads no clock and draws from a seeded generator only, so a test can play any order of
//! events. `sesamewind-relay` turns sockets into events and actions into bytes.
//!
//! [`table`] holds the configuration in force, [`quota`] the client accounts' limits and `meter` their
//! use, [`budget`] the retry budget, [`queue`] the requests that wait, [`targets`] what is known of
//! targets, [`selection`] the choice among them, `groups` who shares which of them, and [`peers`] what
//! other instances say.

pub mod arrival;
pub mod budget;
pub mod event;
mod flow;
pub mod gateway;
mod groups;
mod meter;
pub mod peers;
pub mod proof;
pub mod queue;
pub mod quota;
mod rate;
mod request;
pub mod rollouts;
pub mod selection;
pub mod service;
pub mod sse;
pub mod table;
pub mod targets;
pub mod tuning;

pub use arrival::{Arrival, Ticket};
pub use event::{Action, AttemptOutcome, Event, Step};
pub use gateway::Gateway;
pub use proof::{Refusal, RefusalReason};
pub use table::{Account, Repeat, Route, RouteTable, Routing, Service};
pub use targets::{ListedState, ListedTarget};
pub use tuning::Tuning;
