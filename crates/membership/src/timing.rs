//! Intervals, timeouts and limits of membership.

use std::time::Duration;

/// Intervals, timeouts and limits of [`crate::Members`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timing {
    /// Time between two exchanges with an instance of the own zone, and between two rounds of
    /// exchanges with instances of other zones.
    pub interval: Duration,
    /// Largest number of other instances in the own zone at which `interval` is used unchanged.
    /// With more instances the interval grows in proportion, up to twice its length.
    pub full_rate_peers: usize,
    /// Number of instances of other zones contacted in each round.
    pub fan_out: usize,
    /// Number of known peers below which the deployment counts as small: every exchange is then a
    /// full one, and the fan-out is doubled.
    pub small_size: usize,
    /// Time without a message after which a peer is suspected, if one message is expected from it
    /// in each interval.
    pub suspect_after: Duration,
    /// Further time without a message after which a suspected peer is removed.
    pub remove_after: Duration,
    /// Time for which a removed peer stays known. Must be at least the retention time of request
    /// records.
    pub retention: Duration,
    /// Longest delay with which the platform's list shows a change.
    pub list_lag: Duration,
    /// Time in which a peer's penalty for flapping decays to half.
    pub half_life: Duration,
    /// Penalty up to which a peer that resumes sending becomes live immediately.
    pub tolerance: f64,
    /// Time for which a peer whose penalty exceeds the tolerance must send without a gap before it
    /// becomes live. Doubles with each point of penalty above the tolerance.
    pub min_probation: Duration,
    /// Upper limit of the probation time.
    pub max_probation: Duration,
    /// Number of messages in which each change of a peer is relayed.
    pub relay_count: u32,
    /// Maximum number of relayed changes in one message.
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
    /// Largest factor by which the interval grows in a crowded zone.
    const MAX_SLOWDOWN: f64 = 2.0;

    /// Returns the time between two exchanges with an instance of the own zone, given the number of
    /// other instances in it.
    pub fn zone_interval(&self, peers: usize) -> Duration {
        let factor = peers as f64 / self.full_rate_peers.max(1) as f64;
        self.interval.mul_f64(factor.clamp(1.0, Self::MAX_SLOWDOWN))
    }
}
