//! What operators see of a scheduler.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewind_protocol::{Code, Incarnation, ServiceId, TargetId, VersionId};

/// A target as the scheduler sees it.
#[derive(Debug, Clone)]
pub struct TargetView {
    /// The target.
    pub target: TargetId,
    /// The service that it serves.
    pub service: ServiceId,
    /// Versions that it has loaded.
    pub versions: Vec<VersionId>,
    /// The life that reported last; zero before its first report.
    pub incarnation: Incarnation,
    /// Whether it takes new work.
    pub usable: bool,
    /// Whether it takes no new work in this life.
    pub leaving: bool,
    /// Whether it failed to answer and is probed.
    pub suspect: bool,
    /// This instance's requests in in_flight there.
    pub requests: u32,
    /// This instance's tokens in in_flight there.
    pub tokens: u64,
    /// Requests in in_flight there from all instances, estimated.
    pub estimated: f64,
    /// Learned prefill speed in tokens a second.
    pub prefill_speed: f64,
    /// Learned decode speed of one stream at the present load, in tokens a second.
    pub decode_speed: f64,
}

/// A service's queue.
#[derive(Debug, Clone)]
pub struct QueueView {
    /// The service.
    pub service: ServiceId,
    /// Requests that wait, by rank of the tier.
    pub waiting: BTreeMap<u8, usize>,
    /// Requests in in_flight, by rank of the tier.
    pub running: BTreeMap<u8, usize>,
    /// Longest wait in the queue so far.
    pub oldest: Duration,
    /// Rank of the lowest tier that may run, if a floor is in force.
    pub floor: Option<u8>,
}

/// Why a request was dispatched, or a stream resumed, once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryReason {
    /// The target refused before running.
    TargetRefused,
    /// No connection came about.
    ConnectFailed,
    /// The connection of a stream broke.
    StreamBroken,
    /// The connection of a stream went silent.
    StreamSilent,
}

impl RetryReason {
    /// The reason as it stands in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TargetRefused => "target-refused",
            Self::ConnectFailed => "connect-failed",
            Self::StreamBroken => "stream-broken",
            Self::StreamSilent => "stream-silent",
        }
    }
}

/// Counts since the scheduler's start.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    /// Refusals and broken-off answers by code.
    pub refusals: BTreeMap<Code, u64>,
    /// Retries and resumes by reason.
    pub retries: BTreeMap<RetryReason, u64>,
    /// Dispatches, retries counted too.
    pub dispatched: u64,
    /// Requests that ended with the whole answer.
    pub completed: u64,
    /// Requests cancelled at their target to make room for a more urgent tier.
    pub preempted: u64,
    /// Tokens whose work was lost by such cancelling.
    pub preempted_tokens: u64,
    /// Tier floors raised by this instance.
    pub floors_raised: u64,
    /// Lookups that this instance asked of its peers.
    pub lookups: u64,
    /// Dispatches to a target that was taken to have the prompt's prefix cached.
    pub prefix_hits: u64,
}
