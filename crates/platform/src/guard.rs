//! Combines breaker and budget into one decision for each attempt.

use std::time::Duration;

use rand::Rng;
use sesamewind_protocol::Time;

use crate::{Breaker, Budget, Options};

/// Decision on whether an attempt may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// The attempt may be sent.
    Granted,
    /// The breaker is open: the call fails at once, without effect.
    BreakerOpen,
    /// The budget is exhausted for the given time.
    Wait(Duration),
}

/// Breaker and budget for all calls of one instance.
#[derive(Debug)]
pub struct Guard {
    breaker: Breaker,
    budget: Budget,
    probe_timeout: Duration,
}

impl Guard {
    /// Creates a guard with a closed breaker and a full budget.
    pub fn new(options: &Options, now: Time) -> Self {
        Self {
            breaker: Breaker::new(options.breaker),
            budget: Budget::new(options.budget, now),
            probe_timeout: options.attempt,
        }
    }

    /// Decides on an attempt at `now`. Attempts that the breaker stops are not charged to the
    /// budget, and the breaker is asked for a probe only if the budget has a token for it.
    pub fn request_permit(&mut self, now: Time, rng: &mut impl Rng) -> Permit {
        if let Some(wait) = self.budget.wait(now) {
            return if self.breaker.is_open(now) {
                Permit::BreakerOpen
            } else {
                Permit::Wait(wait)
            };
        }
        if !self.breaker.admit(now, self.probe_timeout, rng) {
            return Permit::BreakerOpen;
        }
        self.budget.acquire(now);
        Permit::Granted
    }

    /// Records whether the platform answered an attempt.
    pub fn record(&mut self, answered: bool, now: Time, rng: &mut impl Rng) {
        if answered {
            self.breaker.success(now);
        } else {
            self.breaker.failure(now, rng);
        }
    }
}
