//! Spans and counts of membership.

use std::time::Duration;

/// Spans and counts of [`crate::Members`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timing {
    /// Time between two exchanges with one instance of the own zone, and between two rounds of
    /// exchanges beyond it.
    pub interval: Duration,
    /// Instances beyond the own zone that a round reaches.
    pub fan_out: usize,
    /// Number of instances below which summaries carry everything.
    pub small: usize,
    /// Silence after which an instance that is heard once an interval is suspected.
    pub suspect: Duration,
    /// Further silence after which a suspected instance is removed.
    pub remove: Duration,
    /// Time that a removed instance stays known; at least as long as records of requests are kept.
    pub keep: Duration,
    /// Longest lag of the platform's list.
    pub list_lag: Duration,
    /// Time in which the penalty of an instance that comes and goes is halved.
    pub half_life: Duration,
    /// Penalty up to which an instance that is heard again is live at once.
    pub tolerance: f64,
    /// Time that an instance over the tolerance must be heard without a gap; it doubles with each
    /// point of penalty beyond.
    pub steady: Duration,
    /// Longest time that an instance must be heard without a gap.
    pub steady_cap: Duration,
    /// Times that a change is passed on beyond the own zone.
    pub retold: u32,
    /// Changes that one message passes on at most.
    pub news: usize,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(1_000),
            fan_out: 4,
            small: 16,
            suspect: Duration::from_millis(3_000),
            remove: Duration::from_secs(5),
            keep: Duration::from_secs(600),
            list_lag: Duration::from_secs(10),
            half_life: Duration::from_secs(60),
            tolerance: 1.5,
            steady: Duration::from_secs(2),
            steady_cap: Duration::from_secs(30),
            retold: 8,
            news: 16,
        }
    }
}
