//! Rate budget: a token bucket over the calls of one instance.

use std::time::Duration;

use sesamewind_protocol::Time;

/// Rate and burst of a [`Budget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetRate {
    /// Calls a second in the long run.
    pub per_s: f64,
    /// Calls that may pass at once after a quiet time.
    pub burst: f64,
}

impl Default for BudgetRate {
    fn default() -> Self {
        Self { per_s: 20.0, burst: 20.0 }
    }
}

/// A token bucket.
#[derive(Debug, Clone)]
pub struct Budget {
    rate: BudgetRate,
    tokens: f64,
    updated: Time,
}

impl Budget {
    /// Starts full at `now`.
    pub fn new(rate: BudgetRate, now: Time) -> Self {
        Self { rate, tokens: rate.burst, updated: now }
    }

    /// Takes one token, or returns the time until there is one.
    ///
    /// # Errors
    ///
    /// Returns the wait when the bucket is empty.
    pub fn take(&mut self, now: Time) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - self.tokens;
        Err(Duration::from_secs_f64(missing / self.rate.per_s))
    }

    fn refill(&mut self, now: Time) {
        let gained = now.since(self.updated).as_secs_f64() * self.rate.per_s;
        self.tokens = (self.tokens + gained).min(self.rate.burst);
        self.updated = self.updated.max(now);
    }
}
