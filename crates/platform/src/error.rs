//! Why a call to the platform failed, and whether it may have taken effect.

/// Why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The platform did not serve the call; it surely had no effect.
    #[error("platform unavailable: {0}")]
    Unavailable(String),
    /// The answer was lost; the call may have taken effect.
    #[error("answer of the platform lost: {0}")]
    Unknown(String),
    /// A rate limit stopped the call, here or at the platform; it surely had no effect.
    #[error("rate limit of the platform reached")]
    RateLimited,
    /// The platform refused the call; it had no effect and a repetition is refused as well.
    #[error("platform refused the call with status {status}")]
    Refused {
        /// The HTTP status of the answer.
        status: u16,
    },
    /// The answer to a read could not be understood.
    #[error("answer of the platform not understood: {0}")]
    Malformed(String),
}

impl StoreError {
    /// Whether the call may have taken effect.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }
}
