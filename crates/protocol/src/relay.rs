//! What instances that forward by route tell one another.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{AccountId, Incarnation, InstanceId, Revision, ServiceId, TargetId, VersionId, ZoneId};

/// One instance's requests at one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target.
    pub target: TargetId,
    /// Requests at it.
    pub requests: u32,
    /// Prompt tokens of those that have not answered yet.
    pub prefill: u32,
    /// Longest pause of its long streams on average, in milliseconds; zero if not known.
    pub pause: u32,
    /// Streams that the average is of.
    pub streams: u32,
}

/// Use of a client account's limit, as one instance counts it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountTotal {
    /// The account.
    pub account: AccountId,
    /// Units used since the instance's start.
    pub used: f64,
    /// Units that all instances used within the window, as the instance counted, with the time after
    /// which each amount leaves it; only for a peer that is joining.
    pub amounts: Vec<(Duration, f64)>,
}

/// What a row of the store is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Topic {
    /// The operators' configuration.
    Configuration,
    /// The list of targets.
    Targets,
}

impl Topic {
    /// The topic as it stands in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Targets => "targets",
        }
    }
}

/// A row of the store as it was read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRow {
    /// Its key.
    pub key: String,
    /// Version of its last change.
    pub version: u64,
    /// Its bytes; none if it was dropped.
    #[serde(with = "serde_bytes")]
    pub value: Option<Vec<u8>>,
}

/// Asks a peer for rows of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowsRequest {
    /// Which rows.
    pub topic: Topic,
    /// Newest version that the asking instance has; zero for none.
    pub after: u64,
}

/// Rows of the store, passed on by a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowsReply {
    /// Whether these are all rows there are.
    pub whole: bool,
    /// Newest version of a row that the peer has.
    pub newest: u64,
    /// The rows.
    pub rows: Vec<StoreRow>,
}

/// A target that takes no new work, as one instance knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingEntry {
    /// The target.
    pub target: TargetId,
    /// The life that leaves.
    pub incarnation: Incarnation,
}

/// How requests ended at targets of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ArmCounts {
    /// Requests that ended.
    pub requests: u64,
    /// Those that failed.
    pub failures: u64,
    /// Those whose time was compared with the estimate.
    pub timed: u64,
    /// Sum of their times, each relative to the estimate.
    pub ratios: f64,
}

impl ArmCounts {
    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.failures += other.failures;
        self.timed += other.timed;
        self.ratios += other.ratios;
    }
}

/// How requests ended since a rollout of another version of a service began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutCounts {
    /// At targets of the new version.
    pub new: ArmCounts,
    /// At all others.
    pub old: ArmCounts,
}

impl RolloutCounts {
    /// Adds the counts of another instance.
    pub fn add(&mut self, other: &Self) {
        self.new.add(&other.new);
        self.old.add(&other.old);
    }
}

/// How a rollout ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutOutcome {
    /// The new version has taken over.
    Completed,
    /// The new version gets no requests any more.
    TakenBack,
}

/// What one instance knows of a rollout.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutProgress {
    /// The service.
    pub service: ServiceId,
    /// The new version.
    pub version: VersionId,
    /// Time since the order.
    pub age: Duration,
    /// What the instance counted itself.
    pub counts: RolloutCounts,
    /// How it ended, if it has.
    pub outcome: Option<RolloutOutcome>,
}

/// State of one instance, sent to its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayUpdate {
    /// The instance.
    pub from: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address of its inner listener.
    pub address: String,
    /// Number of the message in this life.
    pub sequence: u64,
    /// Revision of the configuration in force there.
    pub revision: Revision,
    /// Newest version of a row of the target list there.
    pub list_version: u64,
    /// Time since it last heard from the store itself.
    pub store_age: Duration,
    /// Whether it doesn't know what was used of account limits before its start.
    pub joining: bool,
    /// Its requests at targets; targets left out have none.
    pub loads: Vec<TargetLoad>,
    /// Its use of account limits.
    pub totals: Vec<AccountTotal>,
    /// Targets that it knows to leave.
    pub leaving: Vec<LeavingEntry>,
    /// Targets that failed it a moment ago.
    pub failing: Vec<TargetId>,
    /// Rollouts of other versions of services.
    pub rollouts: Vec<RolloutProgress>,
}
