//! Timeouts and limits of the client.

use std::time::Duration;

use crate::{BackoffTiming, BreakerTiming, BudgetRate};

/// Timeouts and limits of [`crate::Platform`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Timeout of a call with all its retries.
    pub deadline: Duration,
    /// Timeout of one attempt.
    pub attempt: Duration,
    /// Timeout for a new connection within an attempt.
    pub connect: Duration,
    /// Waits between the attempts of one call.
    pub backoff: BackoffTiming,
    /// When the circuit breaker stops calls.
    pub breaker: BreakerTiming,
    /// Limit on the rate of calls.
    pub budget: BudgetRate,
    /// Seed of the jitter, which must differ between instances. `None` draws one from the system.
    pub seed: Option<u64>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            deadline: Duration::from_secs(3),
            attempt: Duration::from_secs(1),
            connect: Duration::from_millis(500),
            backoff: BackoffTiming::default(),
            breaker: BreakerTiming::default(),
            budget: BudgetRate::default(),
            seed: None,
        }
    }
}
