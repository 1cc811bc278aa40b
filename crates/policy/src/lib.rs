//! Traffic decisions of an instance: admission, fairness, target selection, request records and
//! retries.
//!
//! The daemon passes typed [`Event`]s and the present time to [`Scheduler`], the only entry point,
//! and carries out the typed [`Action`]s that it returns. The scheduler opens no sockets, reads no
//! clock and takes its random choices from a seeded generator.

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
