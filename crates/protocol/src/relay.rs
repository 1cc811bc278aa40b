//! Messages between instances that forward by route.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::codec::read_array;
use crate::{
    AccountId, Incarnation, InstanceId, PartId, Revision, RouteId, ServiceId, TargetId, VersionId,
    ZoneId,
};

/// Load that one instance puts on one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target.
    pub target: TargetId,
    /// Requests in flight.
    #[serde(default)]
    pub requests: u32,
    /// Prompt tokens of the requests whose answer has not begun.
    #[serde(default)]
    pub prefill: u32,
    /// Average, over long streams, of the longest pause in each, in milliseconds; zero if unknown.
    #[serde(default)]
    pub pause: u32,
    /// Streams that the average covers.
    #[serde(default)]
    pub streams: u32,
}

/// Usage of a client account's limit, as counted by one instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountTotal {
    /// The account.
    pub account: AccountId,
    /// Units used since the instance's start.
    pub used: f64,
    /// Units that all instances used within the limit's window, as known to the instance, each with
    /// the time until it falls out of the window; sent only to a peer that is joining.
    #[serde(default)]
    pub amounts: Vec<(Duration, f64)>,
}

/// Usage of account limits at an instance, as known to one of its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedUsage {
    /// The instance that counted the usage.
    pub instance: InstanceId,
    /// The incarnation of that instance.
    pub incarnation: Incarnation,
    /// Number of the message that the usage was reported in.
    pub sequence: u64,
    /// Time since that message.
    pub age: Duration,
    /// [`RelayUpdate::joining`] of that message.
    pub joining: bool,
    /// Units used since the incarnation's start, by account.
    pub used: Vec<(AccountId, f64)>,
}

/// Kind of rows in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Topic {
    /// The operators' configuration.
    Configuration,
    /// The list of targets.
    Targets,
}

impl Topic {
    /// Returns the topic as written in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Targets => "targets",
        }
    }
}

/// Position in the history of the store.
///
/// The era rises each time the store comes back from an older copy; versions are then given out
/// again. A position of a later era is therefore newer, whatever the versions are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(default)]
pub struct StorePosition {
    /// Number of the era; zero if the store does not tell it.
    pub era: u64,
    /// Version within the era.
    pub version: u64,
}

/// A row as read from the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRow {
    /// Its key.
    pub key: String,
    /// Version of the row's last change.
    pub version: u64,
    /// Its content; none if the row was deleted.
    #[serde(with = "serde_bytes")]
    pub value: Option<Vec<u8>>,
}

/// Asks a peer for rows of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowsRequest {
    /// The kind of rows.
    pub topic: Topic,
    /// Newest position that the asking instance has; zero if it has none.
    pub after: StorePosition,
}

/// Rows of the store, forwarded by a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowsReply {
    /// Whether the reply holds all existing rows rather than only those changed since
    /// [`RowsRequest::after`].
    pub whole: bool,
    /// Newest position that the peer has; the versions of all rows are of its era.
    pub newest: StorePosition,
    /// The rows.
    #[serde(default)]
    pub rows: Vec<StoreRow>,
    /// Rows of an earlier era that are newer than what the store has now.
    #[serde(default)]
    pub retained: Vec<StoreRow>,
}

/// A target that takes no new work, as known to one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingEntry {
    /// The target.
    pub target: TargetId,
    /// The incarnation that is leaving.
    pub incarnation: Incarnation,
}

/// Number of groups that the targets of a new version are divided into by a hash of their names, so
/// that a fault of a few targets can be told from one of the version.
pub const TARGET_GROUPS: usize = 8;

/// How requests ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ArmCounts {
    /// Requests whose answer began or that failed.
    pub requests: u32,
    /// Requests that failed.
    pub failures: u32,
}

impl ArmCounts {
    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.failures += other.failures;
    }

    /// Returns counts of at most `requests` requests with the same rate of failures.
    pub fn reduced_to(self, requests: u32) -> Self {
        if self.requests <= requests {
            return self;
        }
        let fraction = f64::from(requests) / f64::from(self.requests);
        Self { requests, failures: (f64::from(self.failures) * fraction).ceil() as u32 }
    }
}

/// Times of one kind, averaged over short intervals.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LatencyCounts {
    /// Intervals in which there were times.
    pub intervals: u32,
    /// Sum over the intervals of the average logarithmic ratio of the time to its estimate.
    pub logs: f64,
}

/// Times of one kind at both versions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LatencyReport {
    /// At targets of other versions.
    pub old: LatencyCounts,
    /// At targets of the new version, by group.
    #[serde(deserialize_with = "read_array")]
    pub new: [LatencyCounts; TARGET_GROUPS],
}

/// How requests of one route ended since a rollout began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// The route.
    pub route: RouteId,
    /// At targets of other versions.
    #[serde(default)]
    pub old: ArmCounts,
    /// At targets of the new version, by group.
    #[serde(default, deserialize_with = "read_array")]
    pub new: [ArmCounts; TARGET_GROUPS],
}

impl RouteCounts {
    /// Creates empty counts of a route.
    pub fn new(route: RouteId) -> Self {
        Self { route, old: ArmCounts::default(), new: Default::default() }
    }
}

/// What one instance has observed since a rollout began.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RolloutCounts {
    /// Requests since the start of the rollout. The other counts include some earlier ones.
    pub requests: u32,
    /// Requests sent to the new version since the start of the rollout.
    pub new_sent: u32,
    /// Outcomes by route.
    pub routes: Vec<RouteCounts>,
    /// Times to the first byte.
    pub latency: LatencyReport,
    /// Times between two events of a stream.
    pub pace: LatencyReport,
}

/// How a rollout ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutOutcome {
    /// The new version replaced the old one.
    Completed,
    /// The rollout was rolled back: the new version gets no more requests.
    TakenBack,
}

/// What one instance knows of a rollout.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutProgress {
    /// The service.
    pub service: ServiceId,
    /// The new version.
    pub version: VersionId,
    /// Time since the rollout was ordered.
    pub age: Duration,
    /// What the instance itself has observed; empty after the end.
    #[serde(default)]
    pub counts: RolloutCounts,
    /// How it ended, if it has.
    #[serde(default)]
    pub outcome: Option<RolloutOutcome>,
    /// Era in which the store was seen to hold the outcome.
    #[serde(default)]
    pub recorded: Option<u64>,
}

/// A prompt part whose requests are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldReport {
    /// Number of requests that were let through as a trial.
    pub round: u32,
    /// Time until the next trial.
    pub left: Duration,
}

/// What one instance knows of a prompt part that may end targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    /// The part.
    pub part: PartId,
    /// Targets, each with its incarnation as one number, that ended before an answer to the part
    /// began.
    #[serde(default)]
    pub targets: Vec<u64>,
    /// Time since an answer to the part last began, if that was recently.
    #[serde(default)]
    pub begun: Option<Duration>,
    /// Set while requests with the part are refused.
    #[serde(default)]
    pub hold: Option<HoldReport>,
}

/// What a target stated about the requests a second that it takes from all instances together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitEntry {
    /// The target.
    pub target: TargetId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Requests a second; none if the target takes any number again.
    pub rate: Option<f64>,
    /// Time since the request was sent whose answer had the statement.
    pub asked: Duration,
    /// Time since that answer was received.
    pub heard: Duration,
}

/// Whether an availability zone is evacuated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneEntry {
    /// The zone.
    pub zone: ZoneId,
    /// Whether its targets get no new requests.
    pub evacuated: bool,
    /// Position of the store at which this was seen.
    pub position: StorePosition,
}

/// Availability zones that operators have evacuated, as known to one instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ZoneReport {
    /// Position of the store up to which all orders are known.
    pub read: StorePosition,
    /// The zones that are evacuated, and some that no longer are.
    pub zones: Vec<ZoneEntry>,
}

/// What an instance has observed of a target that is or may be cold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdEntry {
    /// The target.
    pub target: TargetId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// For how long it stays cold, as it has stated.
    #[serde(default)]
    pub left: Duration,
    /// Time since it failed so that it may have started again.
    #[serde(default)]
    pub failed: Option<Duration>,
}

/// What an instance has observed of a service whose targets fall over if they reject too many requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleEntry {
    /// The service.
    pub service: ServiceId,
    /// Rejections in a second that each target bears.
    #[serde(default)]
    pub allowed: u32,
    /// Time since a target last stated that.
    #[serde(default)]
    pub heard: Option<Duration>,
    /// Time since the last request was sent whose answer did not state it.
    #[serde(default)]
    pub sound: Option<Duration>,
    /// Targets that have rejected requests.
    #[serde(default)]
    pub cuts: Vec<CutEntry>,
}

/// Places that rejections have cost a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CutEntry {
    /// The target.
    pub target: TargetId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Number of places.
    pub places: u32,
    /// Time since the last rejection that counts.
    pub age: Duration,
}

/// Whether an instance reaches targets, as far as it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReachState {
    /// It has no reason to doubt it.
    Reaching,
    /// Its attempts fail, and it is finding out.
    InDoubt,
    /// It reaches none, although others do.
    CutOff,
}

/// What an instance reports on its reach of targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachReport {
    /// Whether it reaches targets.
    pub state: ReachState,
    /// Time since a target last answered it; none if none has.
    #[serde(default)]
    pub answered: Option<Duration>,
    /// Time since a probe over a new connection was last answered; none if none was.
    #[serde(default)]
    pub probed: Option<Duration>,
    /// Longest time that the latest answered probes took; none if none was answered.
    #[serde(default)]
    pub probe_time: Option<Duration>,
    /// Open requests of its own callers.
    #[serde(default)]
    pub own: u32,
    /// Open requests that peers have passed on to it.
    #[serde(default)]
    pub passed: u32,
}

/// A caller's request that an instance passes on to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassedRequest {
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers in order.
    pub headers: Vec<PassedHeader>,
    /// Body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Time left until its deadline.
    pub left: Duration,
    /// Whether the instance has counted its first attempt in the retry budget.
    #[serde(default)]
    pub counted: bool,
}

/// A header of a [`PassedRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassedHeader {
    /// Name.
    pub name: String,
    /// Value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// State of one instance, sent to its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayUpdate {
    /// The instance.
    pub from: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address of its inner listener.
    pub address: String,
    /// Number of the message within the incarnation.
    pub sequence: u64,
    /// Revision of the configuration in force there.
    pub revision: Revision,
    /// Newest position of its target list.
    pub list_position: StorePosition,
    /// Time since its own last answer from the store.
    pub store_age: Duration,
    /// Whether it does not yet know the usage of account limits from before its start.
    #[serde(default)]
    pub joining: bool,
    /// Its load on targets; targets that are not listed have none.
    #[serde(default)]
    pub loads: Vec<TargetLoad>,
    /// Its usage of account limits.
    #[serde(default)]
    pub totals: Vec<AccountTotal>,
    /// Targets that it knows to be leaving.
    #[serde(default)]
    pub leaving: Vec<LeavingEntry>,
    /// Targets that recently failed requests of this instance.
    #[serde(default)]
    pub failing: Vec<TargetId>,
    /// Rollouts that it knows of.
    #[serde(default)]
    pub rollouts: Vec<RolloutProgress>,
    /// Peers from which it has recently received no message.
    #[serde(default)]
    pub unheard: Vec<InstanceId>,
    /// Usage of account limits of instances that the receiver may not have heard of.
    #[serde(default)]
    pub relayed: Vec<RelayedUsage>,
    /// Prompt parts that may end targets.
    #[serde(default)]
    pub parts: Vec<PartReport>,
    /// Request limits of targets.
    #[serde(default)]
    pub limits: Vec<LimitEntry>,
    /// Whether the instance stops, and uses no limit any more.
    #[serde(default)]
    pub stopping: bool,
    /// Newest position of the rows of its configuration, which orders of rollouts are among.
    #[serde(default)]
    pub config_position: StorePosition,
    /// Evacuated availability zones.
    #[serde(default)]
    pub evacuations: ZoneReport,
    /// Targets that are or may be cold.
    #[serde(default)]
    pub cold: Vec<ColdEntry>,
    /// Services whose targets fall over if they reject too many requests.
    #[serde(default)]
    pub brittle: Vec<BrittleEntry>,
    /// Its reach of targets; none from builds that take no passed requests.
    #[serde(default)]
    pub reach: Option<ReachReport>,
}
