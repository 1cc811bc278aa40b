//! Measures how fast a target sends the events of a stream.

use std::time::Duration;

use sesamewind_protocol::Time;

/// Number of gaps between events that are measured. A stream of a slow target shows its pace long
/// before it ends.
const MEASURED_GAPS: u64 = 4;

/// Fewest gaps of a shorter stream.
const MIN_GAPS: u64 = 2;

/// Measures the pace of a stream from one target, once.
#[derive(Debug)]
pub struct PaceMeter {
    /// When the first events were received, and the number of events then.
    first: (Time, u64),
    /// Time that the target took for the latest events, and the number of events then.
    last: (Duration, u64),
    is_done: bool,
}

impl PaceMeter {
    /// Starts to measure a stream of which `events` were received at `now`.
    pub fn new(events: u64, now: Time) -> Self {
        Self { first: (now, events), last: (Duration::ZERO, events), is_done: false }
    }

    /// Returns when the first events were received.
    pub fn start(&self) -> Time {
        self.first.0
    }

    /// Records that the stream has had `events`, for which the target took `took` since the start.
    /// Returns the pace as soon as it is known.
    pub fn record(&mut self, events: u64, took: Duration) -> Option<Duration> {
        self.last = (took, events);
        self.measure(MEASURED_GAPS)
    }

    /// Returns the pace of a stream that has ended before it was known.
    pub fn finish(&mut self) -> Option<Duration> {
        self.measure(MIN_GAPS)
    }

    fn measure(&mut self, min_gaps: u64) -> Option<Duration> {
        let gaps = self.last.1 - self.first.1;
        if self.is_done || gaps < min_gaps {
            return None;
        }
        self.is_done = true;
        let gaps = u32::try_from(gaps).unwrap_or(u32::MAX);
        Some(self.last.0 / gaps)
    }
}
