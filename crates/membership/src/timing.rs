//! Spans and counts of membership.

use std::time::Duration;

/// Spans and counts of [`crate::Members`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timing {
    /// Time between two exchanges with one instance of the own zone, and between two rounds of
    /// exchanges beyond it.
    pub interval: Duration,
    /// Other instances of the own zone up to which the interval holds. With more of them it grows in
    /// proportion, up to twice its length.
    pub full_rate_peers: usize,
    /// Instances beyond the own zone that a round reaches.
    pub fan_out: usize,
    /// Number of instances below which everything goes everywhere, with twice the fan-out.
    pub small_size: usize,
    /// Silence after which an instance that is heard once an interval is suspected.
    pub suspect_after: Duration,
    /// Further silence after which a suspected instance is removed.
    pub remove_after: Duration,
    /// Time that a removed instance stays known; at least as long as records of requests are kept.
    pub retention: Duration,
    /// Longest lag of the platform's list.
    pub list_lag: Duration,
    /// Time in which the penalty of an instance that comes and goes is halved.
    pub half_life: Duration,
    /// Penalty up to which an instance that is heard again is live at once.
    pub tolerance: f64,
    /// Time that an instance over the tolerance must be heard without a gap; it doubles with each
    /// point of penalty beyond.
    pub min_probation: Duration,
    /// Longest time that an instance must be heard without a gap.
    pub max_probation: Duration,
    /// Times that a change is passed on beyond the own zone.
    pub relay_count: u32,
    /// Changes that one message passes on at most.
    pub max_relayed: usize,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(1_000),
            full_rate_peers: 8,
            fan_out: 2,
            small_size: 16,
            suspect_after: Duration::from_millis(3_000),
            remove_after: Duration::from_secs(5),
            retention: Duration::from_secs(600),
            list_lag: Duration::from_secs(10),
            half_life: Duration::from_secs(60),
            tolerance: 1.5,
            min_probation: Duration::from_secs(2),
            max_probation: Duration::from_secs(30),
            relay_count: 8,
            max_relayed: 16,
        }
    }
}

impl Timing {
    /// Largest factor by which the interval grows.
    const MAX_SLOWDOWN: f64 = 2.0;

    /// Time between two exchanges with one of `near` other instances of the own zone.
    pub fn zone_interval(&self, peers: usize) -> Duration {
        let factor = peers as f64 / self.full_rate_peers.max(1) as f64;
        self.interval.mul_f64(factor.clamp(1.0, Self::MAX_SLOWDOWN))
    }
}
