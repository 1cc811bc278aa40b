//! Selection of the instances to exchange messages with.

use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;
use sesamewind_protocol::{InstanceId, Time};

use crate::peer::Peer;

/// Amount of state that an exchange carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ExchangeKind {
    /// All state; used within an availability zone and in small deployments.
    Full,
    /// Everything except the usage of targets and client accounts: configuration, changes of
    /// members, leaving targets, floors, verdicts and merged evidence. Used between availability
    /// zones.
    Summary,
}

/// An instance with which to exchange messages now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExchangePeer {
    /// The instance.
    pub instance: InstanceId,
    /// Address for messages between instances.
    pub address: String,
    /// Amount of state that the exchange carries.
    pub kind: ExchangeKind,
}

/// Number of extra intervals to wait before calling a peer that itself calls regularly. The call
/// only checks that the peer is reachable.
const PASSIVE_ROUNDS: u32 = 2;

/// Whether an exchange with a peer of the own zone is due.
///
/// One exchange per interval, in either direction, is enough. Each side still calls the other from
/// time to time, so that it detects a connection that fails in one direction only.
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

/// Chooses `count` of the `candidates`.
///
/// If `count` is above one, at least one peer is from another region, if there is one; the others
/// are from the own region as far as it has enough. Peers with the oldest exchange come first, so
/// that a few rounds cover all candidates.
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
