//! Evidence on versions, counted by each instance and merged by all.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, InstanceId, RolloutId, RouteId};

/// Which side of a rollout a count belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Arm {
    /// The version that is in use.
    Old,
    /// The version that is to take over.
    New,
}

/// Counts of one instance's life for one rollout, arm, route and length class; they only grow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceCell {
    /// The instance that counted.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The rollout.
    pub rollout: RolloutId,
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
    /// Requests by duration, in logarithmic buckets.
    pub durations: Vec<u32>,
}

/// A verdict against a version; never taken back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictNote {
    /// The rollout.
    pub rollout: RolloutId,
    /// The instance that judged.
    pub instance: InstanceId,
    /// Why, for operators.
    pub reason: String,
}
