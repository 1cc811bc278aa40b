//! Refusals, which guarantee that a request has not run and will not run.
//!
//! A [`Refusal`] can only be created from a [`NotRunProof`]. Each arrival has one proof, which is
//! set aside when the request is handed to a target. It is valid again only if the target states
//! that it did not run the request, or if no connection was established.

use std::time::Duration;

use crate::limits::LimitSummary;

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// This instance has no configuration yet.
    Unconfigured,
    /// Bodies of other requests use all of the memory for them.
    NoMemory,
    /// The client account is over its limit.
    OverLimit,
    /// No target of the service is usable.
    NoTarget,
    /// Every target is full, and no slot is expected to become free in time.
    Full,
    /// The request can't meet its objective any more, and no slot is left free for such requests.
    Late,
    /// Targets refused the request, and no further attempt is allowed.
    Refused,
    /// The deadline passed before the request was handed to a target.
    Expired,
    /// The instance is stopping.
    Stopping,
    /// Targets have ended before answers to a part of the prompt began.
    Quarantined,
    /// The request limits of all targets leave no request in time.
    Limited,
    /// Operators have evacuated the availability zones of all targets.
    Evacuated,
    /// No target in the regions of the route and the account is usable.
    NoHome,
    /// A peer has passed the request on, and this instance takes no such request now.
    NotTaken,
}

impl RefusalReason {
    /// Returns the reason as written in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unconfigured => "unconfigured",
            Self::NoMemory => "no_memory",
            Self::OverLimit => "over_limit",
            Self::NoTarget => "no_target",
            Self::Full => "full",
            Self::Late => "late",
            Self::Refused => "refused",
            Self::Expired => "expired",
            Self::Stopping => "stopping",
            Self::Quarantined => "quarantined",
            Self::Limited => "limited",
            Self::Evacuated => "evacuated",
            Self::NoHome => "no_home",
            Self::NotTaken => "not_taken",
        }
    }
}

/// Proof that no target has run or will run a request. It is not `Clone`, so each request has only
/// one, and another one in each preview, from which no refusal is sent.
#[derive(Debug)]
pub struct NotRunProof(());

impl NotRunProof {
    /// Creates the proof for a request that has just arrived.
    pub(crate) fn at_arrival() -> Self {
        Self(())
    }
}

/// A refusal of a request that has not run.
#[derive(Debug)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Delay after which the caller should retry.
    pub retry_after: Duration,
    /// Request limits of the service's targets, if they are the reason.
    pub limits: Option<LimitSummary>,
    _proof: NotRunProof,
}

impl Refusal {
    /// Creates the refusal of the request that `proof` belongs to.
    pub(crate) fn new(proof: NotRunProof, reason: RefusalReason, retry_after: Duration) -> Self {
        Self { reason, retry_after, limits: None, _proof: proof }
    }

    /// Creates the refusal of a request that never reached a [`Gateway`](crate::Gateway).
    pub fn before_arrival(reason: RefusalReason, retry_after: Duration) -> Self {
        Self::new(NotRunProof::at_arrival(), reason, retry_after)
    }
}

/// A peer's refusal of a request that has not run at this instance either.
#[derive(Debug)]
pub struct PassedRefusal {
    _proof: NotRunProof,
}

impl PassedRefusal {
    /// Creates the refusal of the request that `proof` belongs to.
    pub(crate) fn new(proof: NotRunProof) -> Self {
        Self { _proof: proof }
    }
}
