//! Circuit breaker: stops calls while the platform does not answer, except for single probes.

use std::time::Duration;

use rand::{Rng, RngExt};
use sesamewind_protocol::Time;

use crate::{Backoff, BackoffTiming};

/// Limits of a [`Breaker`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BreakerTiming {
    /// Consecutive failures that open a closed breaker. While calls ramp up, one failure opens it.
    pub threshold: u32,
    /// Backoff before each probe while the breaker is open.
    pub probes: BackoffTiming,
    /// Time after a successful probe during which the share of admitted calls rises from zero to
    /// one.
    pub ramp: Duration,
}

impl Default for BreakerTiming {
    fn default() -> Self {
        Self {
            threshold: 4,
            probes: BackoffTiming {
                first: Duration::from_millis(500),
                cap: Duration::from_secs(3),
                jitter: true,
            },
            ramp: Duration::from_secs(2),
        }
    }
}

/// State of a [`Breaker`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakerState {
    /// Calls are admitted.
    Closed,
    /// Calls are stopped until the given time; then one probe is admitted.
    Open(Time),
    /// A probe is in flight; if it has no result by the given time, another probe is admitted.
    Probing(Time),
    /// A probe succeeded at the given time; a rising share of calls is admitted.
    Ramping(Time),
}

/// Circuit breaker for all calls to the platform.
#[derive(Debug, Clone)]
pub struct Breaker {
    timing: BreakerTiming,
    state: BreakerState,
    failures: u32,
    probes: Backoff,
}

impl Breaker {
    /// Creates a closed breaker.
    pub fn new(timing: BreakerTiming) -> Self {
        let probes = Backoff::new(timing.probes);
        Self { timing, state: BreakerState::Closed, failures: 0, probes }
    }

    /// Returns the current state.
    pub fn state(&self) -> BreakerState {
        self.state
    }

    /// Returns whether all calls are stopped at `now`.
    pub fn is_open(&self, now: Time) -> bool {
        match self.state {
            BreakerState::Closed | BreakerState::Ramping(_) => false,
            BreakerState::Open(until) | BreakerState::Probing(until) => now < until,
        }
    }

    /// Returns whether a call is admitted at `now`. If a probe has no result after `probe_timeout`,
    /// the next call is admitted as another probe.
    pub fn admit(&mut self, now: Time, probe_timeout: Duration, rng: &mut impl Rng) -> bool {
        match self.state {
            BreakerState::Closed => true,
            BreakerState::Ramping(since) => self.admit_ramping(now, since, rng),
            BreakerState::Open(_) | BreakerState::Probing(_) if self.is_open(now) => false,
            BreakerState::Open(_) | BreakerState::Probing(_) => {
                self.state = BreakerState::Probing(now + probe_timeout);
                true
            }
        }
    }

    fn admit_ramping(&mut self, now: Time, since: Time, rng: &mut impl Rng) -> bool {
        let passed = now.since(since);
        if passed >= self.timing.ramp {
            self.state = BreakerState::Closed;
            return true;
        }
        rng.random::<f64>() < passed.as_secs_f64() / self.timing.ramp.as_secs_f64()
    }

    /// Records that the platform answered.
    pub fn success(&mut self, now: Time) {
        self.failures = 0;
        match self.state {
            BreakerState::Closed | BreakerState::Ramping(_) => {}
            BreakerState::Open(_) | BreakerState::Probing(_) => {
                self.probes.reset();
                self.state = BreakerState::Ramping(now);
            }
        }
    }

    /// Records that the platform did not answer.
    pub fn failure(&mut self, now: Time, rng: &mut impl Rng) {
        self.failures = self.failures.saturating_add(1);
        let open = match self.state {
            BreakerState::Closed => self.failures >= self.timing.threshold,
            BreakerState::Ramping(_) | BreakerState::Probing(_) => true,
            // Failures of calls that were sent before the breaker opened don't prolong the wait.
            BreakerState::Open(_) => false,
        };
        if open {
            self.state = BreakerState::Open(now + self.probes.next(rng));
        }
    }
}
