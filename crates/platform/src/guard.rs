//! Breaker and budget in the order in which a call meets them.

use std::time::Duration;

use rand::Rng;
use sesamewind_protocol::Time;

use crate::{Breaker, Budget, Options};

/// Whether a call may go out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// The call may go out.
    Granted,
    /// The breaker is open: the call fails at once as not done.
    BreakerOpen,
    /// The budget is used up for the given time.
    Wait(Duration),
}

/// Guards of all calls of one instance.
#[derive(Debug)]
pub struct Guard {
    breaker: Breaker,
    budget: Budget,
    probe_timeout: Duration,
}

impl Guard {
    /// Starts closed with a full budget.
    pub fn new(options: &Options, now: Time) -> Self {
        Self {
            breaker: Breaker::new(options.breaker),
            budget: Budget::new(options.budget, now),
            probe_timeout: options.attempt,
        }
    }

    /// Asks for a call at `now`. Calls that the breaker stops take nothing from the budget, and a
    /// probe is let through only if the budget has room to send it.
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

    /// Records whether the platform answered a call.
    pub fn record(&mut self, answered: bool, now: Time, rng: &mut impl Rng) {
        if answered {
            self.breaker.success(now);
        } else {
            self.breaker.failure(now, rng);
        }
    }
}
