//! A bound on the number of log lines.
//!
//! Lines of failures and refusals have a bound of their own, so that the lines of requests that
//! went well never take their place.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use log::Level;

use crate::sink::DroppedLines;

/// Lines a second of what goes well: a few for each request of an instance at its full load.
pub const USUAL_LINES: u32 = 400;

/// Lines a second of failures, refusals and errors.
pub const URGENT_LINES: u32 = 2_000;

/// Lines of the present second.
#[derive(Debug, Default)]
struct Counts {
    second: u64,
    usual: u32,
    urgent: u32,
}

/// A bound on the number of log lines.
#[derive(Debug, Default)]
pub struct LineLimit {
    counts: Mutex<Counts>,
    dropped: DroppedLines,
}

impl LineLimit {
    /// A bound that counts what it drops in `dropped`.
    pub fn new(dropped: DroppedLines) -> Self {
        Self { counts: Mutex::default(), dropped }
    }

    /// Whether a line of `level` may be written at `now`, the time since the process's start.
    pub fn try_acquire(&self, level: Level, now: Duration) -> bool {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        if counts.second != now.as_secs() {
            *counts = Counts { second: now.as_secs(), ..Counts::default() };
        }
        let (count, limit) = if level <= Level::Warn {
            (&mut counts.urgent, URGENT_LINES)
        } else {
            (&mut counts.usual, USUAL_LINES)
        };
        *count += 1;
        let allowed = *count <= limit;
        drop(counts);
        if !allowed {
            self.dropped.add();
        }
        allowed
    }
}
