//! Breaker and budget in the order in which a call meets them.

use std::time::Duration;

use rand::Rng;
use sesamewind_protocol::Time;

use crate::{Breaker, Budget, Options};

/// Whether a call may go out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// The call may go out.
    Go,
    /// The breaker is open: the call fails at once as not done.
    Open,
    /// The budget is used up for the given time.
    Wait(Duration),
}

/// Guards of all calls of one instance.
#[derive(Debug)]
pub struct Guard {
    breaker: Breaker,
    budget: Budget,
    patience: Duration,
}

impl Guard {
    /// Starts closed with a full budget.
    pub fn new(options: &Options, now: Time) -> Self {
        Self {
            breaker: Breaker::new(options.breaker),
            budget: Budget::new(options.budget, now),
            patience: options.attempt,
        }
    }

    /// Asks for a call at `now`.
    pub fn ask(&mut self, now: Time, rng: &mut impl Rng) -> Permit {
        // The budget comes first, so that a probe that the breaker lets through is really sent.
        if let Err(wait) = self.budget.take(now) {
            return Permit::Wait(wait);
        }
        if !self.breaker.admit(now, self.patience, rng) {
            return Permit::Open;
        }
        Permit::Go
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
