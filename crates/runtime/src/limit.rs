//! Limits the rate of log lines.
//!
//! Errors and warnings have a limit separate from other lines, so that the lines of successful
//! requests never displace those of failures and rejections.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use log::Level;

use crate::sink::DroppedLines;

/// Maximum number of lines a second at info level and below: a few for each request of an instance
/// at full load.
pub const MAX_INFO_LINES_PER_S: u32 = 400;

/// Maximum number of lines a second at warn level and above, which report failures and rejections.
pub const MAX_WARN_LINES_PER_S: u32 = 2_000;

/// Lines counted in the current second.
#[derive(Debug, Default)]
struct Counts {
    second: u64,
    infos: u32,
    warnings: u32,
}

/// Rate limiter of log lines.
#[derive(Debug, Default)]
pub struct LineLimit {
    counts: Mutex<Counts>,
    dropped: DroppedLines,
}

impl LineLimit {
    /// Creates a limiter that counts the lines it rejects in `dropped`.
    pub fn new(dropped: DroppedLines) -> Self {
        Self { counts: Mutex::default(), dropped }
    }

    /// Counts a line of `level` and returns whether it may be written.
    ///
    /// `now` is the time since the start of the process.
    pub fn try_acquire(&self, level: Level, now: Duration) -> bool {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        if counts.second != now.as_secs() {
            *counts = Counts { second: now.as_secs(), ..Counts::default() };
        }
        let (count, limit) = if level <= Level::Warn {
            (&mut counts.warnings, MAX_WARN_LINES_PER_S)
        } else {
            (&mut counts.infos, MAX_INFO_LINES_PER_S)
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
