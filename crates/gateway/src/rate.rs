//! Rate of events over roughly the last second.

use std::time::Duration;

use sesamewind_protocol::Time;

/// Length of one counting interval.
const SPAN: Duration = Duration::from_millis(500);

/// Counts of the current interval and of the previous one.
#[derive(Debug, Clone, Default)]
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

    /// Returns the events per second.
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
