//! Decisions on planned version moves: evidence, verdicts, stages, steward and brake.
//!
//! [`Rollouts`] is the facade. The record of a rollout in the table service is the only truth
//! about its stage and outcome, and only the holder of the steward's lease writes it. Evidence and
//! the right to brake belong to every instance: a verdict takes the share to zero at once, with or
//! without the store. Nothing here reads a clock or opens a socket; the present time is an
//! argument and what is to be done comes back as [`Action`]s.

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
