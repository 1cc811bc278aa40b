//! The monotonic clock and the wall clock of a process.
//!
//! Code that makes decisions doesn't read a clock: it receives the readings as arguments.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use sesamewind_protocol::{Incarnation, Time, WallTime};

/// Reads the monotonic clock and the wall clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock whose monotonic time is zero now.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the monotonic time since the start.
    pub fn now(&self) -> Time {
        let micros = self.origin.elapsed().as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the wall-clock time, in Unix milliseconds.
    pub fn wall(&self) -> WallTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the number of an incarnation that starts now, which is the wall-clock time.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.wall().0)
    }
}
