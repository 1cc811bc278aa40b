//! What a rollout's decisions ask for.

use std::fmt;

use sesamewind_protocol::evidence::{Outcome, RolloutRecord, Stage, VerdictEntry};
use sesamewind_protocol::{RolloutId, TargetId, Time, VersionId, WallTime};

/// Something to be done outside.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Write the row `rollout.<id>` on the condition that it has the expected revision, and answer
    /// with [`Rollouts::on_write`](crate::Rollouts::on_write), exactly once.
    WriteRecord {
        /// The rollout.
        rollout: RolloutId,
        /// Revision that the row must have; zero if it must not exist.
        expected: u64,
        /// The new content.
        record: RolloutRecord,
        /// If set, the write must not be sent at or after this time; answer
        /// [`WriteResult::Failed`](crate::WriteResult::Failed) then.
        before: Option<WallTime>,
        /// The write must not be sent once the lease has ended.
        lease_until: Time,
    },
    /// List the rows under `rollout.` and answer with
    /// [`Rollouts::on_read`](crate::Rollouts::on_read).
    ReadRecords,
    /// Send an order to a target and answer with
    /// [`Rollouts::on_order`](crate::Rollouts::on_order).
    Order {
        /// The target.
        target: TargetId,
        /// Fencing number of the steward.
        fence: u64,
        /// What to do.
        order: OrderKind,
        /// The version to do it with.
        version: VersionId,
        /// The order must not be sent once the lease has ended.
        lease_until: Time,
    },
    /// A change for the log and the metrics.
    Event(RolloutEvent),
}

/// What a target is told to do with a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    /// Load it beside the versions that are loaded.
    Load,
    /// Unload it.
    Unload,
}

impl OrderKind {
    /// The order as the targets' interface spells it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Unload => "unload",
        }
    }
}

/// A change of a rollout, as this instance learned it.
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutEvent {
    /// The record shows another stage.
    Staged {
        /// The rollout.
        rollout: RolloutId,
        /// The stage.
        stage: Stage,
        /// The share of the new version.
        share: f64,
    },
    /// A verdict was reached here or learned.
    Judged(VerdictEntry),
    /// The outcome is recorded.
    Ended {
        /// The rollout.
        rollout: RolloutId,
        /// The outcome.
        outcome: Outcome,
    },
}

impl RolloutEvent {
    /// The rollout that changed.
    pub fn rollout(&self) -> &RolloutId {
        match self {
            Self::Staged { rollout, .. } | Self::Ended { rollout, .. } => rollout,
            Self::Judged(verdict) => &verdict.rollout,
        }
    }

    /// The kind of change, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Staged { .. } => "staged",
            Self::Judged(_) => "judged",
            Self::Ended { outcome: Outcome::Completed { .. }, .. } => "completed",
            Self::Ended { outcome: Outcome::RolledBack { .. }, .. } => "rolled-back",
        }
    }
}

impl fmt::Display for RolloutEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Staged { rollout, stage, share } => {
                write!(f, "rollout {rollout} entered stage {stage:?} with share {share}")
            }
            Self::Judged(verdict) => {
                write!(
                    f,
                    "rollout {}: verdict {} by {}",
                    verdict.rollout, verdict.reason, verdict.instance
                )
            }
            Self::Ended { rollout, outcome: Outcome::Completed { .. } } => {
                write!(f, "rollout {rollout} completed")
            }
            Self::Ended { rollout, outcome: Outcome::RolledBack { reason, .. } } => {
                write!(f, "rollout {rollout} rolled back: {reason}")
            }
        }
    }
}
