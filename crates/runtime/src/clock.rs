//! The two clocks of a running instance; deciding code gets their readings as arguments.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use sesamewind_protocol::{Incarnation, Time, WallTime};

/// Reads the monotonic clock and the wall clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock whose monotonic reading is zero now.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Time since the start.
    pub fn now(&self) -> Time {
        let micros = self.origin.elapsed().as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Unix time.
    pub fn wall(&self) -> WallTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }

    /// The number of a life that starts now.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.wall().0)
    }
}
