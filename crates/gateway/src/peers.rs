//! What other instances say of their load.

use std::collections::HashMap;
use std::time::Duration;

use sesamewind_protocol::relay::RelayUpdate;
use sesamewind_protocol::{Incarnation, InstanceId, Time, ZoneId, text_hash};

use crate::targets::{Index, Targets};

/// Silence after which a peer's requests at targets count no more: its callers have gone elsewhere
/// or its news would be far too old.
const LOAD_RETENTION: Duration = Duration::from_millis(1_500);

/// Silence after which a peer does not count as an instance.
const MEMBER_RETENTION: Duration = Duration::from_secs(10);

/// Peers from which on most instances learn of changes from one another and not from the store.
const SHARED_WATCH_PEERS: usize = 12;

/// Instances that ask the store themselves where there are many: enough that one of them is in
/// every part of a cut.
const MIN_WATCHERS: usize = 4;

/// How long ago a peer may have heard from the store for others to rely on it; changes have to be in
/// force after two to three seconds.
const MAX_CHECK_AGE: Duration = Duration::from_millis(1_800);

/// One peer's requests at one target.
#[derive(Debug, Clone, Copy)]
struct PeerLoad {
    target: Index,
    requests: u32,
    prefill: u32,
}

/// One peer.
#[derive(Debug)]
struct Peer {
    incarnation: Incarnation,
    zone: ZoneId,
    sequence: u64,
    last_seen: Time,
    joining: bool,
    /// When it last heard from the store, by this instance's clock.
    store_checked: Time,
    loads: Vec<PeerLoad>,
}

/// The other instances.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: HashMap<InstanceId, Peer>,
    /// Whether a peer came or went since the last [`Peers::take_change`].
    changed: bool,
}

impl Peers {
    /// Instances in the deployment, this one included.
    pub(crate) fn instances(&self) -> usize {
        self.peers.len() + 1
    }

    /// Whether this instance has the smallest name of those that were heard lately.
    pub(crate) fn is_first(&self, me: &InstanceId, now: Time) -> bool {
        let mut recent =
            self.peers.iter().filter(|(_, peer)| now.since(peer.last_seen) < LOAD_RETENTION);
        recent.all(|(name, _)| me < name)
    }

    /// Whether a peer came or went since the last call.
    pub(crate) fn take_change(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Peers in an availability zone.
    pub(crate) fn in_zone(&self, zone: &ZoneId) -> impl Iterator<Item = &InstanceId> {
        self.peers.iter().filter(move |(_, peer)| peer.zone == *zone).map(|(name, _)| name)
    }

    /// Whether there are so many instances that a few of them watch the store for all.
    pub(crate) fn shares_watch(&self) -> bool {
        self.peers.len() >= SHARED_WATCH_PEERS
    }

    /// Whether this instance should leave the store to others: there are many instances, enough of
    /// them come before this one, and one of those has heard from the store lately.
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

    /// Whether a peer doesn't know what was used of account limits before its start.
    pub(crate) fn is_joining(&self, name: &InstanceId) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.joining)
    }

    /// Takes a peer's news; false if newer news was there before.
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
            joining: false,
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
        peer.joining = update.joining;
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

    /// Drops what silent peers said.
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
