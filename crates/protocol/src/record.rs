//! Lookups of request records among instances, which ensure that a request is dispatched at most
//! once.

use serde::{Deserialize, Serialize};

use crate::{Code, Incarnation, InstanceId, RequestKey, RunState};

/// One incarnation of an instance. A later incarnation under the same name has none of the records
/// of the earlier one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceIncarnation {
    /// The instance.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Asks an instance whether it has seen a request. An instance that has not seen the request voids
/// it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lookup {
    /// The request.
    pub key: RequestKey,
    /// Number that the caller gave to the attempt that causes the lookup; zero if it gave none.
    pub attempt: u32,
    /// The instance that asks.
    pub asker: InstanceIncarnation,
    /// Number of the lookup within the asker's incarnation. The asker ignores answers to earlier
    /// lookups of the same request, since the answering instance may have received another lookup
    /// in between.
    pub seq: u64,
}

/// What an instance knows of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// Never dispatched here, and never will be for the attempt in the lookup or an earlier one.
    Voided,
    /// Dispatched or stored here; this instance can provide the answer.
    Held,
    /// Ended here, and its answer is no longer stored.
    Ended {
        /// The result.
        code: Code,
        /// Whether it ran.
        run: RunState,
    },
    /// This instance makes a lookup for a later attempt, or has voided one. Or it makes a lookup
    /// for the same attempt, and its own [`InstanceIncarnation`] is less than the asker's.
    Superseded,
}

/// Answer to a [`Lookup`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupReply {
    /// The request.
    pub key: RequestKey,
    /// The instance that answers.
    pub from: InstanceIncarnation,
    /// Number of the lookup that is answered.
    pub seq: u64,
    /// What the answering instance knows of the request.
    pub state: RecordState,
    /// Every instance that the answering one knows; the asker needs an answer from each.
    pub known: Vec<InstanceIncarnation>,
}

/// Asks a peer for a copy of its records, before the asker takes first attempts without lookups.
///
/// The peer adds the asker to the instances that it lists in [`LookupReply::known`] before it
/// copies its records. So the copy includes the lookups that the peer has already answered, and its
/// answers to later ones list the asker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsRequest {
    /// The instance that asks.
    pub asker: InstanceIncarnation,
    /// Number of the request within the asker's incarnation.
    pub seq: u64,
}

/// One record in a [`RecordsCopy`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordEntry {
    /// The request.
    pub key: RequestKey,
    /// Latest attempt that the record covers.
    pub attempt: u32,
    /// What the sender knows of the request. In a copy for a joining instance, it is always
    /// [`RecordState::Voided`], so that the receiver makes a lookup before it dispatches the
    /// request.
    pub state: RecordState,
    /// Time that the sender will still keep the record, in milliseconds.
    pub keep_ms: u64,
}

/// Copy of an instance's records, sent to an instance that joins or by one that leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsCopy {
    /// The instance whose records these are.
    pub from: InstanceIncarnation,
    /// Whether the sender takes first attempts without lookups at its peers.
    pub joined: bool,
    /// Number of the [`RecordsRequest`] that is answered; none if the sender is leaving.
    pub seq: Option<u64>,
    /// The records.
    pub entries: Vec<RecordEntry>,
    /// Every instance that the sender knows.
    pub known: Vec<InstanceIncarnation>,
}
