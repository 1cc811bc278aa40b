//! Choice of the instances that a round of exchanges reaches.

use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;
use sesamewind_protocol::{InstanceId, Time};

use crate::peer::Peer;

/// How much an exchange carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ExchangeKind {
    /// Everything: between instances of one availability zone.
    Full,
    /// Configuration, changes of members, leaving targets, floors, verdicts and merged evidence:
    /// beyond the zone.
    Summary,
}

/// An instance to exchange with now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExchangePeer {
    /// The instance.
    pub instance: InstanceId,
    /// Address for messages between instances.
    pub address: String,
    /// How much the exchange carries.
    pub kind: ExchangeKind,
}

/// Rounds in which an instance that calls itself is not called, before it is called to see whether
/// it can be reached.
const PASSIVE_ROUNDS: u32 = 2;

/// Whether an exchange with an instance of the own zone is due: one a round in either direction is
/// enough, but each side calls the other now and then, to learn of cuts in one direction.
pub(crate) fn is_due(peer: &Peer, now: Time, interval: Duration) -> bool {
    let since_sent = peer.last_sent.map(|sent| now.since(sent));
    if since_sent.is_some_and(|elapsed| elapsed < interval) {
        return false;
    }
    let Some(last_exchange) = peer.last_exchange() else {
        return true;
    };
    now.since(last_exchange) >= interval
        || since_sent.is_none_or(|elapsed| elapsed >= interval * (1 + PASSIVE_ROUNDS))
}

/// Chooses `count` of `candidates`: most from the own region, one from another if there are others.
/// Those that were exchanged with longest ago come first, so that a few rounds reach everyone.
pub(crate) fn choose_peers<'a>(
    mut candidates: Vec<&'a Peer>,
    region: &str,
    count: usize,
    rng: &mut impl Rng,
) -> Vec<&'a Peer> {
    candidates.shuffle(rng);
    candidates.sort_by_key(|peer| peer.last_sent.max(peer.last_exchange()));
    let (same_region, other_regions): (Vec<_>, Vec<_>) =
        candidates.into_iter().partition(|peer| peer.region == region);
    let other_count = count
        .saturating_sub(same_region.len())
        .max(usize::from(count > 1))
        .min(other_regions.len());
    let same_count = count - other_count;
    same_region
        .into_iter()
        .take(same_count)
        .chain(other_regions.into_iter().take(other_count))
        .collect()
}
