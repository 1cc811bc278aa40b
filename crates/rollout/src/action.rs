//! Actions that the rollout logic asks its caller to carry out, and the events that it reports.

use std::fmt;

use sesamewind_protocol::evidence::{Outcome, RolloutRecord, Stage, VerdictEntry};
use sesamewind_protocol::{RolloutId, TargetId, Time, VersionId, WallTime};

/// An action for the caller to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Write the row `rollout.<id>` if it has the expected revision, and pass the result to
    /// [`Rollouts::on_write`](crate::Rollouts::on_write) exactly once.
    WriteRecord {
        /// The rollout.
        rollout: RolloutId,
        /// Revision that the row must have; zero if it must not exist.
        expected: u64,
        /// The record to write.
        record: RolloutRecord,
        /// If set, the write must not be sent at or after this time; the result is then
        /// [`WriteResult::Failed`](crate::WriteResult::Failed).
        before: Option<WallTime>,
        /// The write must not be sent once the lease has expired at this time.
        lease_until: Time,
    },
    /// List the rows under `rollout.` and pass the result to
    /// [`Rollouts::on_read`](crate::Rollouts::on_read).
    ReadRecords,
    /// Send an order to a target and pass the result to
    /// [`Rollouts::on_order`](crate::Rollouts::on_order).
    Order {
        /// The target.
        target: TargetId,
        /// Fencing number of the leader.
        fence: u64,
        /// What the target should do.
        order: OrderKind,
        /// The version to load or unload.
        version: VersionId,
        /// The order must not be sent once the lease has expired at this time.
        lease_until: Time,
    },
    /// Report a change to the log and the metrics.
    Event(RolloutEvent),
}

/// What a target is ordered to do with a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    /// Load the version in addition to those already loaded.
    Load,
    /// Unload the version.
    Unload,
}

impl OrderKind {
    /// Returns the name of the order in the targets' HTTP interface.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Unload => "unload",
        }
    }
}

/// A change of a rollout that this instance made or learned of.
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutEvent {
    /// The record has a new stage or share.
    Staged {
        /// The rollout.
        rollout: RolloutId,
        /// The stage.
        stage: Stage,
        /// The share of requests for the new version.
        share: f64,
    },
    /// This instance reached a verdict or received one from a peer.
    Judged(VerdictEntry),
    /// An outcome was recorded.
    Ended {
        /// The rollout.
        rollout: RolloutId,
        /// The outcome.
        outcome: Outcome,
    },
}

impl RolloutEvent {
    /// Returns the rollout that changed.
    pub fn rollout(&self) -> &RolloutId {
        match self {
            Self::Staged { rollout, .. } | Self::Ended { rollout, .. } => rollout,
            Self::Judged(verdict) => &verdict.rollout,
        }
    }

    /// Returns the kind of change, as used in metric labels.
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
