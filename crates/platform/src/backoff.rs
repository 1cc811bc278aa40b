//! Exponential backoff with full jitter for retries.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Limits of the waits of a [`Backoff`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffTiming {
    /// Upper bound of the first wait; it doubles with each further failure.
    pub first: Duration,
    /// Upper bound of all waits.
    pub cap: Duration,
    /// Whether waits are drawn at random below their bound. Without jitter, clients that failed at
    /// the same time would also retry at the same time.
    pub jitter: bool,
}

impl Default for BackoffTiming {
    fn default() -> Self {
        Self { first: Duration::from_millis(50), cap: Duration::from_secs(2), jitter: true }
    }
}

/// Counts consecutive failures and draws the wait before the next attempt.
#[derive(Debug, Clone)]
pub struct Backoff {
    timing: BackoffTiming,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff without failures.
    pub fn new(timing: BackoffTiming) -> Self {
        Self { timing, failures: 0 }
    }

    /// Returns the number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Resets the count of failures to zero.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the upper bound of the next wait.
    pub fn bound(&self) -> Duration {
        let factor = 2u32.checked_pow(self.failures).unwrap_or(u32::MAX);
        self.timing.first.saturating_mul(factor).min(self.timing.cap)
    }

    /// Counts a failure and returns the wait before the next attempt.
    pub fn next(&mut self, rng: &mut impl Rng) -> Duration {
        let bound = self.bound();
        self.failures = self.failures.saturating_add(1);
        if !self.timing.jitter {
            return bound;
        }
        bound.mul_f64(rng.random::<f64>())
    }
}
