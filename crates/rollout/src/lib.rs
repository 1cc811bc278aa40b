//! Decisions on planned rollouts of new versions: evidence, verdicts, stages, the leader's writes
//! and orders, and the local halt.
//!
//! [`Rollouts`] is the entry point. The record of a rollout in the table service is the only
//! authority on its stage and outcome, and only the holder of the leader's lease writes it. Every
//! instance collects evidence and may reach a verdict. A verdict sets the share to zero at once on
//! each instance that knows it, even when the store is unreachable; this is the local halt.
//!
//! The crate reads no clock and performs no I/O. Callers pass in the current time, and carry out
//! the returned [`Action`]s.

mod action;
mod compare;
mod entry;
mod evidence;
mod histogram;
mod input;
mod judge;
mod leader;
mod orders;
mod plan;
mod rollouts;
pub mod rule;
mod spec;
mod transition;
mod view;

pub use action::{Action, OrderKind, RolloutEvent};
pub use compare::Comparison;
pub use evidence::{Evidence, length_class};
pub use histogram::{bucket_of, bucket_upper_ms};
pub use input::{
    ClusterState, EndState, LeaseGrant, Observation, OrderResult, ReadResult, WriteResult,
};
pub use plan::{MIN_JUDGED_REQUESTS, Plan};
pub use rollouts::Rollouts;
pub use spec::RolloutSpec;
pub use transition::{COMPLETION_MARGIN, LEASE_LENGTH, ORDER_TIMEOUT};
pub use view::{RolloutView, ViewState};
