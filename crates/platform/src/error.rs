//! Errors of calls to the platform, which tell whether the call may have taken effect.

/// Why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The platform did not serve the call; the call had no effect.
    #[error("platform unavailable: {0}")]
    Unavailable(String),
    /// The answer was lost or reported a server error; the call may have taken effect.
    #[error("no conclusive answer from the platform: {0}")]
    Unknown(String),
    /// A rate limit of this client or of the platform stopped the call; the call had no effect.
    #[error("rate limit for calls to the platform reached")]
    RateLimited,
    /// The platform refused the call; the call had no effect, and a retry would be refused as well.
    #[error("platform refused the call with status {status}")]
    Refused {
        /// The HTTP status of the answer.
        status: u16,
    },
    /// The answer to a read could not be parsed.
    #[error("malformed answer from the platform: {0}")]
    Malformed(String),
}

impl StoreError {
    /// Returns whether the call may have taken effect.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }
}
