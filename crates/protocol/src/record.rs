//! Questions between instances on records of requests, which keep dispatch to at most once.

use serde::{Deserialize, Serialize};

use crate::{Code, Incarnation, InstanceId, RequestKey, RunState};

/// One incarnation of an instance. A later incarnation under the same name has no records of the
/// earlier one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceIncarnation {
    /// The instance.
    pub instance: InstanceId,
    /// Which of its incarnations.
    pub incarnation: Incarnation,
}

/// Asks whether an instance has seen a request, and voids it there if not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lookup {
    /// The request.
    pub key: RequestKey,
    /// The asking attempt: its number as the caller counts, zero if the caller did not say.
    pub attempt: u32,
    /// The instance that asks.
    pub asker: InstanceIncarnation,
    /// Number of the question within the asker's life. An answer to an earlier question on the
    /// same request is void, since the answering instance may have been asked otherwise since.
    pub seq: u64,
}

/// What an instance knows of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// Never dispatched here, and never will be for an attempt up to the asking one.
    Voided,
    /// Dispatched or kept here; the answer can be had from this instance.
    Held,
    /// Ended here, and its answer is no longer kept.
    Ended {
        /// The result.
        code: Code,
        /// Whether it ran.
        run: RunState,
    },
    /// A later attempt, or an equal one of an instance earlier in order, asks at the same time.
    Superseded,
}

/// Answer to a [`Lookup`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupReply {
    /// The request.
    pub key: RequestKey,
    /// The instance that answers.
    pub from: InstanceIncarnation,
    /// Number of the question.
    pub seq: u64,
    /// What it knows.
    pub state: RecordState,
    /// Every instance that the answering one knows; the asker must have the answer of each.
    pub known: Vec<InstanceIncarnation>,
}

/// Asks a peer for its records before the asking instance takes first attempts alone.
///
/// The peer adds the asker to the instances that it names in [`LookupReply::known`] before it
/// copies its records, so a lookup that it answered is in the copy and a later one names the asker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsRequest {
    /// The instance that asks.
    pub asker: InstanceIncarnation,
    /// Number of the question within the asker's life.
    pub seq: u64,
}

/// One record of a copy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordEntry {
    /// The request.
    pub key: RequestKey,
    /// Latest attempt that the record speaks of.
    pub attempt: u32,
    /// What the sender knows of it.
    pub state: RecordState,
    /// How long the sender still keeps the record, in milliseconds.
    pub keep_ms: u64,
}

/// Records of an instance, for one that joins or from one that leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsCopy {
    /// The instance whose records these are.
    pub from: InstanceIncarnation,
    /// Whether the sender takes first attempts without asking its peers.
    pub joined: bool,
    /// Number of the question that is answered; none if the sender leaves.
    pub seq: Option<u64>,
    /// The records.
    pub entries: Vec<RecordEntry>,
    /// Every instance that the sender knows.
    pub known: Vec<InstanceIncarnation>,
}
