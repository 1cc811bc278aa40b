//! A rate of events over the last second or so.

use std::time::Duration;

use sesamewind_protocol::Time;

/// Span over which events are counted before the count is renewed.
const SPAN: Duration = Duration::from_millis(500);

/// Events of the present span and of the one before.
#[derive(Debug, Default)]
pub(crate) struct Rate {
    start: Time,
    count: u32,
    before: u32,
}

impl Rate {
    /// Counts an event.
    pub(crate) fn count(&mut self, now: Time) {
        self.renew(now);
        self.count += 1;
    }

    /// Events a second.
    pub(crate) fn per_second(&mut self, now: Time) -> f64 {
        self.renew(now);
        let present = now.since(self.start).as_secs_f64();
        f64::from(self.count + self.before) / (SPAN.as_secs_f64() + present)
    }

    fn renew(&mut self, now: Time) {
        let passed = now.since(self.start);
        if passed < SPAN {
            return;
        }
        self.before = if passed < SPAN * 2 { self.count } else { 0 };
        self.count = 0;
        self.start = now;
    }
}
