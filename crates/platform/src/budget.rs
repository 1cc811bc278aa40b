//! Rate budget: a token bucket over the calls of one instance.

use std::time::Duration;

use sesamewind_protocol::Time;

/// Shortest wait for a token; a wait rounded down to nothing would be repeated without end.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

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
        Self { per_s: 5.5, burst: 6.0 }
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

    /// Time until there is a token; `None` if there is one.
    pub fn wait(&mut self, now: Time) -> Option<Duration> {
        self.refill(now);
        let missing = 1.0 - self.tokens;
        (missing > 0.0)
            .then(|| Duration::from_secs_f64(missing / self.rate.per_s).max(SHORTEST_WAIT))
    }

    /// Takes a token if there is one.
    pub fn acquire(&mut self, now: Time) -> bool {
        let has_token = self.wait(now).is_none();
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    fn refill(&mut self, now: Time) {
        let gained = now.since(self.updated).as_secs_f64() * self.rate.per_s;
        self.tokens = (self.tokens + gained).min(self.rate.burst);
        self.updated = self.updated.max(now);
    }
}
