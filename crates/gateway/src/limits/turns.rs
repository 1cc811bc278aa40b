//! Turns of one instance at a target with a request limit: each allows one request.

use std::time::Duration;

use sesamewind_protocol::Time;

/// Time of an instance's share that it may use at once in addition to one turn.
pub(crate) const BURST_TIME: Duration = Duration::from_millis(100);

/// Longest time until a turn that is told apart from never.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// Difference below which two numbers of turns are equal.
const TOLERANCE: f64 = 1e-6;

/// Turns that accrue at the instance's share of the limit. There are none at the beginning, so that an
/// instance whose share begins has waited as long as it waits between two turns.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Turns {
    /// Turns a second.
    share: f64,
    level: f64,
    updated: Time,
}

impl Turns {
    /// Creates turns with a share of zero.
    pub(crate) fn new(now: Time) -> Self {
        Self { share: 0.0, level: 0.0, updated: now }
    }

    /// Returns the turns a second.
    pub(crate) fn share(&self) -> f64 {
        self.share
    }

    /// Adds the turns of the time `unused` in which this instance has sent no request, one at most.
    pub(crate) fn accrue_for(&mut self, unused: Duration) {
        self.level = (self.share * unused.as_secs_f64()).min(1.0);
    }

    /// Lets turns accrue at `share` a second from now on. Without a share, saved turns are lost.
    pub(crate) fn set_share(&mut self, share: f64, now: Time) {
        self.level = if share > 0.0 { self.level(now) } else { self.level.min(0.0) };
        self.updated = now;
        self.share = share;
    }

    /// Uses a turn.
    pub(crate) fn take(&mut self, now: Time) {
        self.level = self.level(now) - 1.0;
        self.updated = now;
    }

    /// Returns the time until there is a turn; zero if there is one.
    pub(crate) fn wait(&self, now: Time) -> Duration {
        let missing = 1.0 - self.level(now);
        if missing <= TOLERANCE {
            return Duration::ZERO;
        }
        let seconds = missing / self.share;
        if seconds < MAX_WAIT.as_secs_f64() { Duration::from_secs_f64(seconds) } else { MAX_WAIT }
    }

    fn level(&self, now: Time) -> f64 {
        let most = 1.0 + self.share * BURST_TIME.as_secs_f64();
        let accrued = self.share * now.since(self.updated).as_secs_f64();
        (self.level + accrued).min(most)
    }
}
