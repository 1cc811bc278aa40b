//! What a rollout's decisions are fed with.

use std::time::Duration;

use sesamewind_protocol::evidence::{RecordEntry, RolloutRecord};
use sesamewind_protocol::record::InstanceIncarnation;
use sesamewind_protocol::{RouteId, ServiceId, TargetId, Time, VersionId, WallTime};

/// How a dispatched request ended, as far as the version is to blame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndState {
    /// Served, or ended for a reason that is not the target's fault.
    Ok,
    /// Failed by the target's fault.
    Failed,
}

/// A request that ended at a target.
#[derive(Debug, Clone)]
pub struct Observation<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The version that it was sent to.
    pub version: &'a VersionId,
    /// The route.
    pub route: &'a RouteId,
    /// Estimated tokens of the prompt; zero for plain services.
    pub prompt_tokens: u64,
    /// How it ended.
    pub outcome: EndState,
    /// From dispatch to the first token, or to the first byte for plain services.
    pub duration: Duration,
    /// When it was dispatched; it counts for the stage of that time.
    pub sent: WallTime,
    /// When it ended.
    pub wall: WallTime,
}

/// The steward's lease, while this instance holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Fencing number, raised at each take-over.
    pub fence: u64,
    /// Until when the lease holds unless renewed.
    pub valid_until: Time,
}

/// What this instance knows of targets and peers.
pub trait ClusterState {
    /// Versions that `target` reports as loaded; `None` if it can't be reached, is leaving or is
    /// unknown.
    fn versions(&self, target: &TargetId) -> Option<Vec<VersionId>>;

    /// Reachable instances other than this one.
    fn peers(&self) -> Vec<InstanceIncarnation>;

    /// Requests in flight from this instance to `version` of `service`.
    fn in_flight(&self, service: &ServiceId, version: &VersionId) -> u32;
}

/// Answer of the table service to a conditional write.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteResult {
    /// Taken; the row has this revision now.
    Stored(u64),
    /// Refused: the row has another revision and content.
    Conflict(u64, RolloutRecord),
    /// The answer was lost; the write may have taken effect or may yet do so.
    Unknown,
    /// Certainly not taken.
    Failed,
}

/// Answer of the table service to a listing of the rollout rows.
#[derive(Debug, Clone, PartialEq)]
pub enum ReadResult {
    /// All rows under `rollout.`; `draining` of the notes is not used.
    Rows(Vec<RecordEntry>),
    /// The store could not be read.
    Failed,
}

/// Answer of a target to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// Taken.
    Done,
    /// Refused for its fencing number.
    Fenced,
    /// Not taken, or the answer was lost.
    Failed,
}
