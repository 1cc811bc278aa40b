//! Rate budget: a token bucket for the calls of one instance.

use std::time::Duration;

use sesamewind_protocol::Time;

/// Shortest wait for a token. A wait that rounds down to zero would be repeated endlessly.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// Rate and burst of a [`Budget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetRate {
    /// Calls per second in the long run.
    pub per_s: f64,
    /// Calls that may be made at once after a time without calls.
    pub burst: f64,
}

impl Default for BudgetRate {
    fn default() -> Self {
        Self { per_s: 5.5, burst: 6.0 }
    }
}

/// Token bucket that limits the rate of calls.
#[derive(Debug, Clone)]
pub struct Budget {
    rate: BudgetRate,
    tokens: f64,
    updated: Time,
}

impl Budget {
    /// Creates a full bucket at `now`.
    pub fn new(rate: BudgetRate, now: Time) -> Self {
        Self { rate, tokens: rate.burst, updated: now }
    }

    /// Returns the time until a token is available; `None` if one is available now.
    pub fn wait(&mut self, now: Time) -> Option<Duration> {
        self.refill(now);
        let missing = 1.0 - self.tokens;
        (missing > 0.0)
            .then(|| Duration::from_secs_f64(missing / self.rate.per_s).max(SHORTEST_WAIT))
    }

    /// Takes a token if one is available, and returns whether it did.
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
