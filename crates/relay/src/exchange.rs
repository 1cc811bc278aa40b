//! How often instances exchange their state, and what a peer's state tells of the store.

use std::time::Duration;

use sesamewind_protocol::Revision;
use sesamewind_protocol::relay::{RelayUpdate, StorePosition, Topic};

/// Interval between exchanges with one peer while there are at most [`INTERVAL_PEERS`] peers.
const INTERVAL: Duration = Duration::from_millis(100);

/// Interval between exchanges of instances that share targets where there are many peers.
const SHARED_TARGETS_INTERVAL: Duration = Duration::from_millis(60);

/// Number of peers up to which [`INTERVAL`] applies.
///
/// With more peers, the interval is multiplied for a peer of the same availability zone by twice
/// the number of peers in that zone divided by this number, and for any other peer by the number
/// of all peers divided by this number.
const INTERVAL_PEERS: usize = 10;

/// What the interval between exchanges with one peer depends on.
#[derive(Debug, Clone, Copy)]
pub struct Surroundings {
    /// Number of peers.
    pub peers: usize,
    /// Number of peers in this availability zone if the peer is one of them.
    pub zone_peers: Option<usize>,
    /// Whether this instance and the peer share targets.
    pub shares_targets: bool,
}

impl Surroundings {
    /// Returns the interval between exchanges with the peer.
    pub fn interval(self) -> Duration {
        let factor = |peers: usize| peers as f64 / INTERVAL_PEERS as f64;
        if self.shares_targets {
            SHARED_TARGETS_INTERVAL
        } else if self.peers <= INTERVAL_PEERS {
            INTERVAL
        } else if let Some(peers) = self.zone_peers {
            INTERVAL.mul_f64((2.0 * factor(peers)).max(1.0))
        } else {
            INTERVAL.mul_f64(factor(self.peers))
        }
    }
}

/// What an instance has of the store.
#[derive(Debug, Clone, Copy)]
pub struct Standing {
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Position up to which its rows of [`Topic::Configuration`] are complete.
    pub configuration: StorePosition,
    /// Position up to which its rows of [`Topic::Targets`] are complete.
    pub targets: StorePosition,
}

impl Standing {
    /// Returns the topics of which the sender of `update` has more than this instance.
    pub fn topics_behind(self, update: &RelayUpdate) -> impl Iterator<Item = Topic> {
        // A row beside the configuration, such as an order, doesn't change the revision. A revision
        // that the store has lost doesn't change the position.
        let configuration =
            update.revision > self.revision || update.config_position > self.configuration;
        let targets = update.list_position > self.targets;
        let topics = [(Topic::Configuration, configuration), (Topic::Targets, targets)];
        topics.into_iter().filter_map(|(topic, is_behind)| is_behind.then_some(topic))
    }
}
