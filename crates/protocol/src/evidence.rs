//! Evidence on versions, the verdicts based on it, and the record of a rollout.
//!
//! Instances send each other evidence and verdicts, which are never reduced or withdrawn. The
//! record is a row of the platform's table service. Instances also forward it, so that one that
//! can't reach the store learns the stage and the outcome from its peers.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    Incarnation, InstanceId, Revision, RolloutId, RouteId, ServiceId, VersionId, WallTime,
};

/// Which side of a rollout a count belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Arm {
    /// The version in use.
    Old,
    /// The version that the rollout introduces.
    New,
}

/// Counts of one incarnation of an instance for one rollout, stage, arm, route and length class.
///
/// The counts only increase.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceCell {
    /// The instance that counted.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The rollout.
    pub rollout: RolloutId,
    /// Number of the stage during which the requests ended. The arms are compared within one stage
    /// only, since both then cover the same times in the same proportion.
    pub stage: u8,
    /// The arm.
    pub arm: Arm,
    /// The route.
    pub route: RouteId,
    /// The length class, by powers of ten of the number of prompt tokens.
    pub class: u8,
    /// Requests that ended.
    pub requests: u64,
    /// Requests that failed because of the target.
    pub failures: u64,
    /// Histogram of the durations of requests that did not fail, in logarithmic buckets.
    pub durations: Vec<u32>,
}

/// Why a version was rolled back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// More requests failed than with the old version.
    Failing,
    /// More requests were slow than with the old version.
    Slow,
    /// The targets did not load the version in time.
    NotLoaded,
    /// Too few requests reached the version before the deadline for a verdict.
    TooLittleTraffic,
    /// The deadline passed without a recorded completion.
    DeadlinePassed,
    /// A later sheet no longer contains the rollout.
    Withdrawn,
}

impl Reason {
    /// Returns the reason as written in records, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Failing => "failing",
            Self::Slow => "slow",
            Self::NotLoaded => "not-loaded",
            Self::TooLittleTraffic => "too-little-traffic",
            Self::DeadlinePassed => "deadline-passed",
            Self::Withdrawn => "withdrawn",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Request counts of both arms that a verdict or an outcome is based on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that ended at the old version.
    pub old_requests: u64,
    /// Those of them that failed or were slow, depending on the reason.
    pub old_bad: u64,
    /// Requests that ended at the new version.
    pub new_requests: u64,
    /// Those of them that failed or were slow, depending on the reason.
    pub new_bad: u64,
}

/// A verdict against a version; never withdrawn.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictEntry {
    /// The rollout.
    pub rollout: RolloutId,
    /// The instance that reached the verdict.
    pub instance: InstanceId,
    /// Why it rejects the version.
    pub reason: Reason,
    /// The route on which it was found; none if it was found over all routes together.
    pub route: Option<RouteId>,
    /// The counts at that time.
    pub counts: Counts,
    /// When the verdict was reached.
    pub at: WallTime,
}

/// Stage of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Targets load the new version; it gets no requests.
    Loading,
    /// The new version gets a share of the requests; steps are numbered from zero.
    Step(u8),
    /// The new version gets every request and is monitored until shortly before the deadline; the
    /// number counts how often the rollout has returned here from a recheck.
    Full(u8),
    /// The new version gets only a share of the requests again, since slowness seen at full share
    /// can only be judged by comparison with the old version; the number is that of the full
    /// stage before.
    Recheck(u8),
}

/// The final outcome of a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The new version replaced the old one before the deadline.
    Completed {
        /// When it was recorded.
        at: WallTime,
    },
    /// The new version was rolled back.
    RolledBack {
        /// Why it was rolled back.
        reason: Reason,
        /// The route on which it was found; none if it was not found on a single route.
        route: Option<RouteId>,
        /// The counts at that time.
        counts: Counts,
        /// When it was recorded.
        at: WallTime,
    },
}

/// The row of a rollout in the table service, stored under `rollout.<id>`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The service whose version changes.
    pub service: ServiceId,
    /// The version in use.
    pub from: VersionId,
    /// The version that replaces it.
    pub to: VersionId,
    /// Deadline of the rollout when the record was last written.
    pub deadline: WallTime,
    /// Revision of the configuration when the record was last written.
    pub config: Revision,
    /// The stage.
    pub stage: Stage,
    /// Share of requests that may go to the new version.
    pub share: f64,
    /// When the rollout began.
    pub started: WallTime,
    /// When the stage began.
    pub staged: WallTime,
    /// Fencing number of the rollout leader that wrote the record.
    pub fence: u64,
    /// The outcome, once there is one.
    pub outcome: Option<Outcome>,
}

/// A record as one instance forwards it to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordEntry {
    /// The rollout.
    pub rollout: RolloutId,
    /// Revision of the row in the table service.
    pub revision: u64,
    /// The row.
    pub record: RolloutRecord,
    /// The sender's requests in flight at the version that the outcome abandons; zero before the
    /// outcome.
    pub draining: u32,
}
