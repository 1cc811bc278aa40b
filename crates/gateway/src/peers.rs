//! What other instances say of their load.

use std::collections::HashMap;
use std::time::Duration;

use sesamewind_protocol::relay::RelayUpdate;
use sesamewind_protocol::{Incarnation, InstanceId, Time, ZoneId, text_hash};

use crate::targets::{Index, Targets};

/// Silence after which a peer's requests at targets count no more: its callers have gone elsewhere
/// or its news would be far too old.
const LOAD_TIME: Duration = Duration::from_millis(1_500);

/// Silence after which a peer does not count as an instance.
const MEMBER_TIME: Duration = Duration::from_secs(10);

/// Peers from which on most instances learn of changes from one another and not from the store.
const FOLLOW_PEERS: usize = 12;

/// Instances that ask the store themselves where there are many: enough that one of them is in
/// every part of a cut.
const WATCHERS: usize = 4;

/// How long ago a peer may have heard from the store for others to rely on it; changes have to be in
/// force after two to three seconds.
const CHECKED_TIME: Duration = Duration::from_millis(1_800);

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
    heard: Time,
    joining: bool,
    /// When it last heard from the store, by this instance's clock.
    checked: Time,
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
        let mut heard = self.peers.iter().filter(|(_, peer)| now.since(peer.heard) < LOAD_TIME);
        heard.all(|(name, _)| me < name)
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
    pub(crate) fn share_watch(&self) -> bool {
        self.peers.len() >= FOLLOW_PEERS
    }

    /// Whether this instance should leave the store to others: there are many instances, enough of
    /// them come before this one, and one of those has heard from the store lately.
    pub(crate) fn follows(&self, me: &InstanceId, now: Time) -> bool {
        if !self.share_watch() {
            return false;
        }
        let order = |name: &InstanceId| (text_hash(name.as_str()), name.clone());
        let own = order(me);
        let heard = self.peers.iter().filter(|(_, peer)| now.since(peer.heard) < LOAD_TIME);
        let before = heard.filter(|(name, _)| order(name) < own);
        let (mut watchers, mut checked) = (0, false);
        for (_, peer) in before {
            watchers += 1;
            checked |= now.since(peer.checked) < CHECKED_TIME;
        }
        watchers >= WATCHERS && checked
    }

    /// Whether a peer doesn't know what was used of account limits before its start.
    pub(crate) fn is_joining(&self, name: &InstanceId) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.joining)
    }

    /// Takes a peer's news; false if newer news was there before.
    pub(crate) fn hear(&mut self, news: &RelayUpdate, targets: &mut Targets, now: Time) -> bool {
        self.changed |= !self.peers.contains_key(&news.from);
        let peer = self.peers.entry(news.from.clone()).or_insert_with(|| Peer {
            incarnation: news.incarnation,
            zone: news.zone.clone(),
            sequence: 0,
            heard: now,
            joining: false,
            checked: Time::ZERO,
            loads: Vec::new(),
        });
        let newer = (news.incarnation, news.sequence) > (peer.incarnation, peer.sequence);
        if !newer {
            return false;
        }
        peer.incarnation = news.incarnation;
        peer.sequence = news.sequence;
        peer.heard = now;
        peer.joining = news.joining;
        peer.checked = now - news.store_age;
        peer.forget_loads(targets);
        for load in &news.loads {
            let Some(target) = targets.find(&load.target) else { continue };
            let known = targets.get_mut(target);
            known.pauses.learn(load.pause, load.streams);
            known.others += load.requests;
            known.others_prefill = known.others_prefill.saturating_add(load.prefill);
            let (requests, prefill) = (load.requests, load.prefill);
            peer.loads.push(PeerLoad { target, requests, prefill });
        }
        true
    }

    /// Drops what silent peers said.
    pub(crate) fn expire(&mut self, targets: &mut Targets, now: Time) {
        let before = self.peers.len();
        self.peers.retain(|_, peer| {
            let silent = now.since(peer.heard);
            if silent > LOAD_TIME {
                peer.forget_loads(targets);
            }
            silent <= MEMBER_TIME
        });
        self.changed |= self.peers.len() != before;
    }
}

impl Peer {
    fn forget_loads(&mut self, targets: &mut Targets) {
        for load in self.loads.drain(..) {
            let target = targets.get_mut(load.target);
            target.others = target.others.saturating_sub(load.requests);
            target.others_prefill = target.others_prefill.saturating_sub(load.prefill);
        }
    }
}
