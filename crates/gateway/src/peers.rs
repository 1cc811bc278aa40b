//! State that other instances report: membership, load and store access.

use std::collections::HashMap;
use std::time::Duration;

use sesamewind_protocol::relay::RelayUpdate;
use sesamewind_protocol::{Incarnation, InstanceId, Time, ZoneId, text_hash};

use crate::targets::{Index, Targets};

/// Time without an update after which a peer's requests at targets are no longer counted: its
/// callers have moved to other instances, or the reported load is too old.
const LOAD_RETENTION: Duration = Duration::from_millis(1_500);

/// Time without an update after which a peer no longer counts as an instance.
const MEMBER_RETENTION: Duration = Duration::from_secs(10);

/// Number of peers from which most instances learn of store changes from each other instead of from
/// the store.
const SHARED_WATCH_PEERS: usize = 12;

/// Number of instances that watch the store in a large deployment, so that each side of a network
/// partition is likely to contain one.
const MIN_WATCHERS: usize = 4;

/// Maximum time since a peer's last contact with the store for others to rely on it. Changes must
/// take effect within two to three seconds.
const MAX_CHECK_AGE: Duration = Duration::from_millis(1_800);

/// Requests of one peer at one target.
#[derive(Debug, Clone, Copy)]
struct PeerLoad {
    target: Index,
    requests: u32,
    prefill: u32,
}

/// Last known state of one peer.
#[derive(Debug, Clone)]
struct Peer {
    incarnation: Incarnation,
    zone: ZoneId,
    sequence: u64,
    last_seen: Time,
    /// When the peer last had contact with the store, by this instance's clock.
    store_checked: Time,
    loads: Vec<PeerLoad>,
}

/// Last known states of the other instances.
#[derive(Debug, Clone, Default)]
pub(crate) struct Peers {
    peers: HashMap<InstanceId, Peer>,
    /// Whether a peer was added or removed since the last [`Peers::take_change`].
    changed: bool,
}

impl Peers {
    /// Returns whether this instance has the smallest name among itself and the recently seen
    /// peers.
    pub(crate) fn is_first(&self, me: &InstanceId, now: Time) -> bool {
        self.position(me, now) == 0
    }

    /// Returns the number of recently seen peers with smaller names than this instance's.
    pub(crate) fn position(&self, me: &InstanceId, now: Time) -> usize {
        let recent =
            self.peers.iter().filter(|(_, peer)| now.since(peer.last_seen) < LOAD_RETENTION);
        recent.filter(|(name, _)| *name < me).count()
    }

    /// Returns whether a peer was added or removed since the last call.
    pub(crate) fn take_change(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns the peers in an availability zone.
    pub(crate) fn in_zone(&self, zone: &ZoneId) -> impl Iterator<Item = &InstanceId> {
        self.peers.iter().filter(move |(_, peer)| peer.zone == *zone).map(|(name, _)| name)
    }

    /// Returns whether there are so many instances that only a few of them watch the store.
    pub(crate) fn shares_watch(&self) -> bool {
        self.peers.len() >= SHARED_WATCH_PEERS
    }

    /// Returns the number of peers if there are so many that all are heard only after some time; zero
    /// otherwise.
    pub(crate) fn count_of_many(&self) -> usize {
        if self.shares_watch() { self.peers.len() } else { 0 }
    }

    /// Returns whether this instance should learn of store changes from peers. It does so if there
    /// are many instances, enough of them precede it in the order, and one of those recently had
    /// contact with the store.
    pub(crate) fn follows(&self, me: &InstanceId, now: Time) -> bool {
        if !self.shares_watch() {
            return false;
        }
        let order = |name: &InstanceId| (text_hash(name.as_str()), name.clone());
        let own = order(me);
        let recent =
            self.peers.iter().filter(|(_, peer)| now.since(peer.last_seen) < LOAD_RETENTION);
        let before = recent.filter(|(name, _)| order(name) < own);
        let (mut watchers, mut is_fresh) = (0, false);
        for (_, peer) in before {
            watchers += 1;
            is_fresh |= now.since(peer.store_checked) < MAX_CHECK_AGE;
        }
        watchers >= MIN_WATCHERS && is_fresh
    }

    /// Returns whether a peer has not been heard from recently.
    pub(crate) fn has_silent(&self, now: Time) -> bool {
        self.peers.values().any(|peer| now.since(peer.last_seen) >= LOAD_RETENTION)
    }

    /// Returns whether updates of this peer are still expected.
    pub(crate) fn is_known(&self, name: &InstanceId) -> bool {
        self.peers.contains_key(name)
    }

    /// Applies a peer's update. Returns false if the update is not newer than the last one.
    pub(crate) fn apply_update(
        &mut self,
        update: &RelayUpdate,
        targets: &mut Targets,
        now: Time,
    ) -> bool {
        self.changed |= !self.peers.contains_key(&update.from);
        let peer = self.peers.entry(update.from.clone()).or_insert_with(|| Peer {
            incarnation: update.incarnation,
            zone: update.zone.clone(),
            sequence: 0,
            last_seen: now,
            store_checked: Time::ZERO,
            loads: Vec::new(),
        });
        let newer = (update.incarnation, update.sequence) > (peer.incarnation, peer.sequence);
        if !newer {
            return false;
        }
        peer.incarnation = update.incarnation;
        peer.sequence = update.sequence;
        peer.last_seen = now;
        peer.store_checked = now - update.store_age;
        peer.remove_loads(targets);
        for load in &update.loads {
            let Some(target) = targets.find(&load.target) else { continue };
            let known = targets.get_mut(target);
            known.pauses.merge(load.pause, load.streams);
            known.other_requests += load.requests;
            known.other_prefill = known.other_prefill.saturating_add(load.prefill);
            let (requests, prefill) = (load.requests, load.prefill);
            peer.loads.push(PeerLoad { target, requests, prefill });
        }
        true
    }

    /// Leaves out a stall of this instance, which has ended now, from the silence of its peers.
    pub(crate) fn postpone(&mut self, stall: Duration, now: Time) {
        for peer in self.peers.values_mut() {
            peer.last_seen = (peer.last_seen + stall).min(now);
        }
    }

    /// Removes the loads and memberships of silent peers.
    pub(crate) fn expire(&mut self, targets: &mut Targets, now: Time) {
        let before = self.peers.len();
        self.peers.retain(|_, peer| {
            let silent = now.since(peer.last_seen);
            if silent > LOAD_RETENTION {
                peer.remove_loads(targets);
            }
            silent <= MEMBER_RETENTION
        });
        self.changed |= self.peers.len() != before;
    }
}

impl Peer {
    fn remove_loads(&mut self, targets: &mut Targets) {
        for load in self.loads.drain(..) {
            let target = targets.get_mut(load.target);
            target.other_requests = target.other_requests.saturating_sub(load.requests);
            target.other_prefill = target.other_prefill.saturating_sub(load.prefill);
        }
    }
}
