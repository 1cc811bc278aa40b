//! Refusals that promise that a request has not run and never will.
//!
//! A [`Refusal`] can be made only from an [`NotRunProof`]. One is made for each arrival and given up when
//! the request is handed to a target; it comes back only if the target states that it did not run
//! the request, or if no connection came about.

use std::time::Duration;

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// This instance has no configuration yet.
    Unconfigured,
    /// The client account is over its limit.
    OverLimit,
    /// No target of the service is usable.
    NoTarget,
    /// Every target is full, and no place is expected in time.
    Full,
    /// Targets refused the request and no further attempt is allowed.
    Refused,
    /// Time ran out before the request was handed to a target.
    Expired,
    /// The instance is stopping.
    Stopping,
}

impl RefusalReason {
    /// The reason as it stands in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unconfigured => "unconfigured",
            Self::OverLimit => "over_limit",
            Self::NoTarget => "no_target",
            Self::Full => "full",
            Self::Refused => "refused",
            Self::Expired => "expired",
            Self::Stopping => "stopping",
        }
    }
}

/// Proof that no target runs or will run a request. Not `Clone`, so there is one for each request.
#[derive(Debug)]
pub struct NotRunProof(());

impl NotRunProof {
    /// The proof for a request that has just arrived.
    pub(crate) fn at_arrival() -> Self {
        Self(())
    }
}

/// A refusal of a request that has not run.
#[derive(Debug)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the caller should come back.
    pub retry_after: Duration,
    _proof: NotRunProof,
}

impl Refusal {
    /// Refuses the request that `proof` stands for.
    pub(crate) fn new(proof: NotRunProof, reason: RefusalReason, retry_after: Duration) -> Self {
        Self { reason, retry_after, _proof: proof }
    }

    /// Refuses a request that never reached a [`Gateway`](crate::Gateway).
    pub fn before_arrival(reason: RefusalReason, retry_after: Duration) -> Self {
        Self::new(NotRunProof::at_arrival(), reason, retry_after)
    }
}
