//! Messages between instances: one exchange carries everything that instances share periodically.
//!
//! A section is left empty when there is nothing to say. The receiver answers with an exchange of
//! its own, so that one round trip brings both sides up to date.

use serde::{Deserialize, Serialize};

use crate::evidence::{EvidenceCell, RecordEntry, VerdictEntry};
use crate::traffic::{AccountUsage, FloorAck, FloorRaise, TargetUsage};
use crate::{Incarnation, InstanceId, Revision, TargetId, WallTime, ZoneId};

/// Who sends a message, and in which life.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// The deployment that the sender belongs to; others are refused.
    pub deployment: String,
    /// The sending instance.
    pub instance: InstanceId,
    /// The sender's life.
    pub incarnation: Incarnation,
    /// The sender's availability zone.
    pub zone: ZoneId,
    /// Number of the message within the sender's life, rising.
    pub seq: u64,
}

/// The newest accepted configuration that the sender holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDigest {
    /// Revision of the configuration; zero if the sender has none.
    pub revision: Revision,
    /// Hash of its content in the object store, in hexadecimal.
    pub hash: String,
}

/// What the sender believes of another instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The instance spoken of.
    pub instance: InstanceId,
    /// The life spoken of.
    pub incarnation: Incarnation,
    /// The instance's availability zone.
    pub zone: ZoneId,
    /// Address for messages between instances.
    pub address: String,
    /// State in the sender's view.
    pub state: MemberState,
}

/// State of an instance in another's view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Heard of within the heartbeat timeout.
    Live,
    /// Silent past the heartbeat timeout.
    Suspect,
    /// Stops on purpose and takes no new work.
    Leaving,
    /// Silent past the removal timeout, or gone from the platform's list.
    Removed,
}

/// A target that takes no new work any more in this life.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeavingEntry {
    /// The target.
    pub target: TargetId,
    /// The life that leaves; a later life is usable again.
    pub incarnation: Incarnation,
}

/// What the sections of a message that are sent as changes build on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaHead {
    /// Number of the sender's message that the changes build on; zero if everything is there.
    pub base: u64,
    /// The receiver's incarnation that the sender has heard.
    pub incarnation: Incarnation,
    /// Number of the newest message of that incarnation that the sender has taken in.
    pub acked: u64,
}

/// The periodic message between two instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Exchange {
    /// Who sends.
    pub from: Sender,
    /// When it was sent, by the sender's wall clock.
    pub sent: WallTime,
    /// What this message builds on, and an acknowledgement.
    pub delta: DeltaHead,
    /// The sender's configuration.
    pub config: ConfigDigest,
    /// Other instances in the sender's view.
    pub members: Vec<MemberEntry>,
    /// Targets that leave.
    pub leaving: Vec<LeavingEntry>,
    /// The sender's work in flight per target.
    pub targets: Vec<TargetUsage>,
    /// The sender's recent use per active account.
    pub accounts: Vec<AccountUsage>,
    /// Tier floors in force.
    pub floors: Vec<FloorRaise>,
    /// Floors under which nothing lower runs at the sender any more.
    pub floor_acks: Vec<FloorAck>,
    /// Rollout evidence of the sender and of others that it merged.
    pub evidence: Vec<EvidenceCell>,
    /// Verdicts on versions.
    pub verdicts: Vec<VerdictEntry>,
    /// Rollout records that the sender holds.
    pub records: Vec<RecordEntry>,
}

impl Exchange {
    /// A message with nothing to say yet.
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
