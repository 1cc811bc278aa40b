//! Questions between instances on records of requests, which keep dispatch to at most once.

use serde::{Deserialize, Serialize};

use crate::{Code, InstanceId, RequestKey, RunState};

/// Asks whether an instance has seen a request, and voids it there if not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lookup {
    /// The request.
    pub key: RequestKey,
    /// The asking attempt: its number as the caller counts, zero if the caller did not say.
    pub attempt: u32,
    /// The instance that asks.
    pub asker: InstanceId,
}

/// What an instance knows of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Seen {
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
    pub instance: InstanceId,
    /// What it knows.
    pub seen: Seen,
    /// Every instance that the answering one knows; the asker must have the answer of each.
    pub known: Vec<InstanceId>,
}
