//! Deadlines and limits of the client.

use std::time::Duration;

use crate::{BackoffTiming, BreakerTiming, BudgetRate};

/// Deadlines and limits of [`crate::Platform`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Limit of a call with all its retries.
    pub deadline: Duration,
    /// Limit of one attempt.
    pub attempt: Duration,
    /// Limit of the connection set-up within an attempt.
    pub connect: Duration,
    /// Waits between the attempts of one call.
    pub backoff: BackoffTiming,
    /// When calls are stopped.
    pub breaker: BreakerTiming,
    /// Rate of calls.
    pub budget: BudgetRate,
    /// Seed of the jitter; instances must differ in it. `None` draws one from the system.
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
