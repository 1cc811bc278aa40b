//! Inputs of the rollout logic: ended requests, the lease, the cluster state and results of
//! actions.

use std::time::Duration;

use sesamewind_protocol::evidence::{RecordEntry, RolloutRecord};
use sesamewind_protocol::record::InstanceIncarnation;
use sesamewind_protocol::{RouteId, ServiceId, TargetId, Time, VersionId, WallTime};

/// How a dispatched request ended, judged by whether the target's version caused a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndState {
    /// The request was served, or it ended for a reason other than a fault of the target.
    Ok,
    /// The request failed because of the target.
    Failed,
}

/// A request that ended at a target.
#[derive(Debug, Clone)]
pub struct Observation<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The version that the request was sent to.
    pub version: &'a VersionId,
    /// The route.
    pub route: &'a RouteId,
    /// Estimated prompt tokens; zero for plain services.
    pub prompt_tokens: u64,
    /// How the request ended.
    pub outcome: EndState,
    /// Time from dispatch to the first token, or to the first byte for plain services.
    pub duration: Duration,
    /// When the request was dispatched; it counts for the stage at this time.
    pub sent: WallTime,
    /// When the request ended.
    pub wall: WallTime,
}

/// The leader's lease, while this instance holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Fencing number, raised each time the lease changes hands.
    pub fence: u64,
    /// When the lease expires unless it is renewed.
    pub valid_until: Time,
}

/// This instance's view of targets, peers and its own requests.
pub trait ClusterState {
    /// Returns the versions that `target` reports as loaded, or `None` if the target is
    /// unreachable, leaving or unknown.
    fn versions(&self, target: &TargetId) -> Option<Vec<VersionId>>;

    /// Returns the reachable instances other than this one.
    fn peers(&self) -> Vec<InstanceIncarnation>;

    /// Returns this instance's number of requests in flight to `version` of `service`.
    fn in_flight(&self, service: &ServiceId, version: &VersionId) -> u32;
}

/// Result of a conditional write to the table service.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteResult {
    /// The write succeeded; the row now has this revision.
    Stored(u64),
    /// The write was refused, because the row has this other revision and content.
    Conflict(u64, RolloutRecord),
    /// The response was lost. The write may have taken effect or may still do so.
    Unknown,
    /// The write certainly did not take effect.
    Failed,
}

/// Result of listing the rollout rows in the table service.
#[derive(Debug, Clone, PartialEq)]
pub enum ReadResult {
    /// All rows under `rollout.`; the field `draining` of the entries is ignored.
    Rows(Vec<RecordEntry>),
    /// The rows could not be read.
    Failed,
}

/// Result of an order to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The target accepted the order.
    Done,
    /// The target refused the order because of its fencing number.
    Fenced,
    /// The target did not accept the order, or the response was lost.
    Failed,
}
