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
    let sent_ago = peer.sent.map(|sent| now.since(sent));
    if sent_ago.is_some_and(|ago| ago < interval) {
        return false;
    }
    let Some(last) = peer.last_exchange() else {
        return true;
    };
    now.since(last) >= interval || sent_ago.is_none_or(|ago| ago >= interval * (1 + PASSIVE_ROUNDS))
}

/// Chooses `count` of `candidates`: most from the own region, one from another if there are others.
/// Those that were exchanged with longest ago come first, so that a few rounds reach everyone.
pub(crate) fn choose<'a>(
    mut candidates: Vec<&'a Peer>,
    region: &str,
    count: usize,
    rng: &mut impl Rng,
) -> Vec<&'a Peer> {
    candidates.shuffle(rng);
    candidates.sort_by_key(|peer| peer.sent.max(peer.last_exchange()));
    let (near, far): (Vec<_>, Vec<_>) =
        candidates.into_iter().partition(|peer| peer.region == region);
    let far_count = count.saturating_sub(near.len()).max(usize::from(count > 1)).min(far.len());
    let near_count = count - far_count;
    near.into_iter().take(near_count).chain(far.into_iter().take(far_count)).collect()
}
