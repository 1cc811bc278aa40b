//! Views of a scheduler for operators.

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
    /// The incarnation that reported last; zero before the first report.
    pub incarnation: Incarnation,
    /// Whether it takes new work.
    pub usable: bool,
    /// Whether it takes no new work in this incarnation.
    pub leaving: bool,
    /// Whether it failed to answer and is being probed.
    pub suspect: bool,
    /// This instance's requests in flight there.
    pub requests: u32,
    /// This instance's tokens in flight there.
    pub tokens: u64,
    /// Estimated requests in flight there from all instances.
    pub estimated: f64,
    /// Learned prefill speed in tokens per second.
    pub prefill_speed: f64,
    /// Learned decode speed of one stream at the present load, in tokens per second.
    pub decode_speed: f64,
}

/// A service's queue.
#[derive(Debug, Clone)]
pub struct QueueView {
    /// The service.
    pub service: ServiceId,
    /// Waiting requests by rank of the tier.
    pub waiting: BTreeMap<u8, usize>,
    /// Requests in flight by rank of the tier.
    pub running: BTreeMap<u8, usize>,
    /// Longest wait of a request now in the queue.
    pub oldest: Duration,
    /// Rank of the lowest tier that may run, if a floor is in force.
    pub floor: Option<u8>,
}

/// Reason for another dispatch of a request or for resuming a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryReason {
    /// The target refused before running.
    TargetRefused,
    /// No connection was established.
    ConnectFailed,
    /// The connection of a stream broke.
    StreamBroken,
    /// The connection of a stream went silent.
    StreamSilent,
}

impl RetryReason {
    /// Returns the reason as written in metrics.
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
    /// Refusals and interrupted answers by code.
    pub refusals: BTreeMap<Code, u64>,
    /// Retries and resumes by reason.
    pub retries: BTreeMap<RetryReason, u64>,
    /// Dispatches, including retries.
    pub dispatched: u64,
    /// Requests that ended with a complete answer.
    pub completed: u64,
    /// Requests cancelled at their target to make room for a more urgent tier.
    pub preempted: u64,
    /// Tokens of work lost by preemption.
    pub preempted_tokens: u64,
    /// Tier floors raised by this instance.
    pub floors_raised: u64,
    /// Lookups that this instance sent to its peers.
    pub lookups: u64,
    /// Dispatches to a target that probably had the prompt's prefix cached.
    pub prefix_hits: u64,
}
