//! State of a running rollout for logs: the evidence and the share that follows from it.

use std::time::Duration;

use sesamewind_protocol::relay::ArmCounts;
use sesamewind_protocol::{ServiceId, Time, VersionId};

use super::verdict::EvidenceLevel;

/// Longest time between two statuses of a running rollout.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

/// Average latency of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LatencyAverage {
    /// Intervals with latencies.
    pub intervals: f64,
    /// Geometric mean of the ratio to the estimate.
    pub ratio: f64,
}

/// Latencies of both versions.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LatencyComparison {
    /// Latencies of the new version.
    pub new: LatencyAverage,
    /// Latencies of the other versions.
    pub old: LatencyAverage,
}

/// Evidence on a running rollout, and the share that follows from it.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutStatus {
    /// Service of the rollout.
    pub service: ServiceId,
    /// Version that is rolled out.
    pub version: VersionId,
    /// Time since the order.
    pub age: Duration,
    /// Share of the requests that the new version may take.
    pub share: f64,
    /// Whether the old version receives no requests.
    pub is_exclusive: bool,
    /// What the share follows from, as written in logs.
    pub reason: &'static str,
    /// Slots of the new version, relative to those of the others.
    pub capacity: f64,
    /// Level of the evidence against the new version.
    pub level: EvidenceLevel,
    /// Level that the evidence would have if the most adverse part counted like the rest.
    pub level_of_all: EvidenceLevel,
    /// Requests sent to the new version.
    pub new_sent: u64,
    /// Requests of the new version that were answered or failed.
    pub new: ArmCounts,
    /// Requests of the other versions that were answered or failed.
    pub old: ArmCounts,
    /// Times to the first byte.
    pub latency: LatencyComparison,
    /// Times between two events of a stream.
    pub pace: LatencyComparison,
}

impl RolloutStatus {
    /// Returns what a change of makes a new status due.
    fn key(&self) -> StatusKey {
        let is_full = self.share >= 1.0;
        (is_full, self.is_exclusive, self.reason, self.level, self.level_of_all)
    }
}

type StatusKey = (bool, bool, &'static str, EvidenceLevel, EvidenceLevel);

/// Limits how often the status of a rollout is returned.
#[derive(Debug, Clone, Default)]
pub(super) struct StatusLimit {
    last: Option<(Time, StatusKey)>,
}

impl StatusLimit {
    /// Returns whether `status` is due at `now`, and remembers it if so.
    pub(super) fn admits(&mut self, status: &RolloutStatus, now: Time) -> bool {
        let key = status.key();
        let is_known =
            self.last.is_some_and(|(at, last)| last == key && now.since(at) < STATUS_INTERVAL);
        if !is_known {
            self.last = Some((now, key));
        }
        !is_known
    }
}
