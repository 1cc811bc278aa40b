//! Evidence on versions, the verdicts drawn from it, and the record of a rollout.
//!
//! Evidence and verdicts travel between instances and only grow. The record is a row of the
//! platform's table service; instances also pass it on, so that one that can't reach the store
//! learns the stage and the outcome from its peers.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    Incarnation, InstanceId, Revision, RolloutId, RouteId, ServiceId, VersionId, WallTime,
};

/// Which side of a rollout a count belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Arm {
    /// The version that is in use.
    Old,
    /// The version that is to take over.
    New,
}

/// Counts of one instance's life for one rollout, stage, arm, route and length class; they only
/// grow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceCell {
    /// The instance that counted.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The rollout.
    pub rollout: RolloutId,
    /// Number of the stage during which the requests ended; at one stage both arms see the same
    /// times in the same proportion.
    pub stage: u8,
    /// The arm.
    pub arm: Arm,
    /// The route.
    pub route: RouteId,
    /// The length class, by powers of ten of the prompt's tokens.
    pub class: u8,
    /// Requests that ended.
    pub requests: u64,
    /// Requests that failed by the target's fault.
    pub failures: u64,
    /// Requests that did not fail, by duration, in logarithmic buckets.
    pub durations: Vec<u32>,
}

/// Why a version was taken back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// More requests failed than at the old version.
    Failing,
    /// More requests were slow than at the old version.
    Slow,
    /// The targets did not load the version in time.
    NotLoaded,
    /// Too few requests reached the version to judge it before the deadline.
    TooLittleTraffic,
    /// The deadline passed without a recorded completion.
    DeadlinePassed,
    /// A later sheet no longer holds the rollout.
    Withdrawn,
}

impl Reason {
    /// The reason as it stands in records, logs and metrics.
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

/// Requests on both arms that a verdict or an outcome rests on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that ended at the old version.
    pub old_requests: u64,
    /// Those that failed or were slow, as the reason says.
    pub old_bad: u64,
    /// Requests that ended at the new version.
    pub new_requests: u64,
    /// Those that failed or were slow, as the reason says.
    pub new_bad: u64,
}

/// A verdict against a version; never taken back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictEntry {
    /// The rollout.
    pub rollout: RolloutId,
    /// The instance that judged.
    pub instance: InstanceId,
    /// Why.
    pub reason: Reason,
    /// The route that showed it, if it was one route rather than all together.
    pub route: Option<RouteId>,
    /// The counts at that time.
    pub counts: Counts,
    /// When.
    pub at: WallTime,
}

/// How far a rollout has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Targets load the new version; it gets no requests.
    Loading,
    /// The new version gets a part of the requests; steps count from zero.
    Step(u8),
    /// The new version gets every request and is watched until shortly before the deadline; the
    /// number counts returns from a recheck.
    Full(u8),
    /// Back to a part of the requests, since slowness at full share can only be judged beside the
    /// old version; the number is that of the full stage before.
    Recheck(u8),
}

/// The final outcome of a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The new version took over before the deadline.
    Completed {
        /// When it was recorded.
        at: WallTime,
    },
    /// The new version was taken back.
    RolledBack {
        /// Why.
        reason: Reason,
        /// The route that showed it, if it was one route.
        route: Option<RouteId>,
        /// The counts at that time.
        counts: Counts,
        /// When it was recorded.
        at: WallTime,
    },
}

/// The row of a rollout in the table service, under `rollout.<id>`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The service whose version moves.
    pub service: ServiceId,
    /// The version in use.
    pub from: VersionId,
    /// The version that is to take over.
    pub to: VersionId,
    /// The deadline that the record was last written under.
    pub deadline: WallTime,
    /// Revision of the configuration that the record was last written under.
    pub config: Revision,
    /// The stage.
    pub stage: Stage,
    /// Share of requests that may go to the new version.
    pub share: f64,
    /// When the rollout began.
    pub started: WallTime,
    /// When the stage began.
    pub staged: WallTime,
    /// Fencing number of the steward that wrote.
    pub fence: u64,
    /// The outcome, once there is one.
    pub outcome: Option<Outcome>,
}

/// A record as one instance passes it on to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordEntry {
    /// The rollout.
    pub rollout: RolloutId,
    /// Revision of the row in the table service.
    pub revision: u64,
    /// The row.
    pub record: RolloutRecord,
    /// The sender's requests in flight to the version that lost; zero before the outcome.
    pub draining: u32,
}
