//! Traffic decisions: admission, fairness, target choice, request records and retries.
//!
//! [`Scheduler`] is the only entry: it takes typed [`Event`]s with the present time and returns
//! typed [`Action`]s. It opens no socket, reads no clock and draws from a seeded generator only.

mod accounts;
pub mod action;
pub mod attempt;
mod batch;
pub mod config;
pub mod event;
mod floor;
mod join;
mod members;
mod queue;
mod records;
mod retry;
pub mod scheduler;
mod selection;
mod speed;
mod target;
pub mod version;
pub mod view;

pub use action::Action;
pub use attempt::Refusal;
pub use config::{Account, AccountLimits, Config, Kind, Limits, Service, Target, Tier};
pub use event::{Arrival, AttemptOutcome, Event, PeerUpdate, Prefix, Ticket, prefix_hash};
pub use scheduler::Scheduler;
pub use sesamewind_protocol::record::InstanceIncarnation;
pub use version::VersionChooser;
pub use view::{Counters, QueueView, RetryReason, TargetView};
