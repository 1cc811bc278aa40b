//! The exchange: the periodic message between instances with everything that they share.
//!
//! Sections without content are empty. The receiver answers with its own exchange, so that one
//! round trip updates both sides.

use serde::{Deserialize, Serialize};

use crate::evidence::{EvidenceCell, RecordEntry, VerdictEntry};
use crate::traffic::{AccountUsage, FloorAck, FloorRaise, TargetUsage};
use crate::{Incarnation, InstanceId, Revision, TargetId, WallTime, ZoneId};

/// Sender of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// The deployment that the sender belongs to; messages of other deployments are refused.
    pub deployment: String,
    /// The sending instance.
    pub instance: InstanceId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender's availability zone.
    pub zone: ZoneId,
    /// Number of the message within the sender's incarnation; it increases with each message.
    pub seq: u64,
}

/// The newest accepted configuration that the sender has.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDigest {
    /// Revision of the configuration; zero if the sender has none.
    pub revision: Revision,
    /// Hash under which the object store keeps its content, in hexadecimal.
    pub hash: String,
}

/// Another instance in the sender's membership view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The instance.
    pub instance: InstanceId,
    /// The incarnation that the entry is about.
    pub incarnation: Incarnation,
    /// The instance's availability zone.
    pub zone: ZoneId,
    /// Address at which the instance receives messages from its peers.
    pub address: String,
    /// The instance's state in the sender's view.
    pub state: MemberState,
}

/// State of an instance in the view of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Last seen within the heartbeat timeout.
    Live,
    /// Not seen for longer than the heartbeat timeout.
    Suspect,
    /// Shutting down as requested; takes no new work.
    Leaving,
    /// Not seen for longer than the removal timeout, or no longer in the platform's list.
    Removed,
}

/// A target that takes no new work in its present incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeavingEntry {
    /// The target.
    pub target: TargetId,
    /// The incarnation that is leaving; a later incarnation takes work again.
    pub incarnation: Incarnation,
}

/// Base and acknowledgement for the sections of a message that are sent as changes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaHead {
    /// Number of the sender's earlier message that the changes apply to; zero if the sections are
    /// complete.
    pub base: u64,
    /// The receiver's incarnation that the sender knows.
    pub incarnation: Incarnation,
    /// Number of the newest message of that incarnation that the sender has applied.
    pub acked: u64,
}

/// The periodic message between two instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Exchange {
    /// The sender.
    pub from: Sender,
    /// When it was sent, by the sender's wall clock.
    pub sent: WallTime,
    /// Base of the changes in this message, and an acknowledgement.
    pub delta: DeltaHead,
    /// The sender's configuration.
    pub config: ConfigDigest,
    /// Other instances in the sender's view.
    pub members: Vec<MemberEntry>,
    /// Targets that take no new work.
    pub leaving: Vec<LeavingEntry>,
    /// The sender's work in flight per target.
    pub targets: Vec<TargetUsage>,
    /// Recent usage of each active account at the sender.
    pub accounts: Vec<AccountUsage>,
    /// Tier floors in force.
    pub floors: Vec<FloorRaise>,
    /// Floors below which nothing runs at the sender any more.
    pub floor_acks: Vec<FloorAck>,
    /// Rollout evidence of the sender, and of other instances as far as the sender merged it.
    pub evidence: Vec<EvidenceCell>,
    /// Verdicts on versions.
    pub verdicts: Vec<VerdictEntry>,
    /// Rollout records that the sender has.
    pub records: Vec<RecordEntry>,
}

impl Exchange {
    /// Creates an exchange whose sections are empty.
    pub fn new(from: Sender, sent: WallTime) -> Self {
        Self {
            from,
            sent,
            delta: DeltaHead::default(),
            config: ConfigDigest::default(),
            members: Vec::new(),
            leaving: Vec::new(),
            targets: Vec::new(),
            accounts: Vec::new(),
            floors: Vec::new(),
            floor_acks: Vec::new(),
            evidence: Vec::new(),
            verdicts: Vec::new(),
            records: Vec::new(),
        }
    }
}
