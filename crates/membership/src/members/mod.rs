//! Membership: the view that one instance has of the others.
//!
//! Peers are added from the platform's list and from messages. `updates` applies both sources;
//! `liveness` derives suspicion, removal and recovery from the time since the last message.

mod liveness;
mod updates;

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use rand::Rng;
use sesamewind_protocol::message::{Exchange, MemberEntry, MemberState, Sender};
use sesamewind_protocol::{Incarnation, InstanceId, Time, ZoneId};

use self::liveness::{check_silence, is_expired};
use crate::exchange_peer::{choose_peers, is_due};
use crate::peer::Peer;
use crate::{ExchangeKind, ExchangePeer, KnownPeer, Leaving, ListedInstance, ListedTarget, Timing};

/// Identity of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Name of the deployment.
    pub deployment: String,
    /// The instance.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region; if empty, it is taken from the platform's list.
    pub region: String,
    /// Address for messages between instances.
    pub address: String,
}

/// A change in the view of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberEvent {
    /// An instance became known.
    Joined(InstanceId),
    /// An instance started a new incarnation.
    Restarted(InstanceId, Incarnation),
    /// No message from an instance has arrived within the heartbeat timeout.
    Suspected(InstanceId),
    /// A suspected or removed instance is live again.
    Recovered(InstanceId),
    /// An instance is shutting down as planned.
    Leaving(InstanceId),
    /// No message from an instance has arrived within the removal timeout, or its zone reported it
    /// as removed.
    Removed(InstanceId),
    /// A removed instance was dropped from the view.
    Forgotten(InstanceId),
}

impl fmt::Display for MemberEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Joined(instance) => write!(f, "instance {instance} joined"),
            Self::Restarted(instance, incarnation) => {
                write!(f, "instance {instance} restarted, incarnation {}", incarnation.0)
            }
            Self::Suspected(instance) => write!(f, "instance {instance} is silent and suspected"),
            Self::Recovered(instance) => write!(f, "instance {instance} is live again"),
            Self::Leaving(instance) => write!(f, "instance {instance} stops as planned"),
            Self::Removed(instance) => write!(f, "instance {instance} is gone"),
            Self::Forgotten(instance) => write!(f, "instance {instance} is no longer known of"),
        }
    }
}

/// The known instances and the leaving targets.
#[derive(Debug)]
pub struct Members {
    me: Identity,
    timing: Timing,
    peers: BTreeMap<InstanceId, Peer>,
    leaving: Leaving,
    events: Vec<MemberEvent>,
    seq: u64,
    stopping: bool,
    last_round: Option<Time>,
    urgent: bool,
    /// Time added to the heartbeat timeout for instances of the own zone.
    zone_grace: Duration,
    /// Time added to the heartbeat timeout for instances of other zones.
    remote_grace: Duration,
}

impl Members {
    /// Creates a view that contains no other instances.
    pub fn new(me: Identity, timing: Timing) -> Self {
        Self {
            leaving: Leaving::new(timing.list_lag, timing.retention),
            me,
            timing,
            peers: BTreeMap::new(),
            events: Vec::new(),
            seq: 0,
            stopping: false,
            last_round: None,
            urgent: false,
            zone_grace: Duration::ZERO,
            remote_grace: Duration::ZERO,
        }
    }

    /// Returns the identity of this instance.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// Returns the leaving targets.
    pub fn leaving(&self) -> &Leaving {
        &self.leaving
    }

    /// Returns the leaving targets, to apply reports of targets.
    ///
    /// The caller calls [`Members::mark_urgent`] after a change that the other instances must learn
    /// immediately.
    pub fn leaving_mut(&mut self) -> &mut Leaving {
        &mut self.leaving
    }

    /// Makes the next round start immediately and include every instance of the own zone.
    pub fn mark_urgent(&mut self) {
        self.urgent = true;
    }

    /// Announces in all further messages that this instance is shutting down.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.urgent = true;
    }

    /// Returns the header of the next message and advances the sequence number.
    pub fn next_sender(&mut self) -> Sender {
        self.seq += 1;
        Sender {
            deployment: self.me.deployment.clone(),
            instance: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            zone: self.me.zone.clone(),
            seq: self.seq,
        }
    }

    /// Applies the platform's list, which may be out of date by [`Timing::list_lag`].
    pub fn on_list(&mut self, instances: &[ListedInstance], targets: &[ListedTarget], now: Time) {
        if self.leaving.on_list(targets, now) {
            self.urgent = true;
        }
        for peer in self.peers.values_mut() {
            peer.listed = false;
        }
        for entry in instances {
            if entry.name == self.me.instance {
                self.me.region.clone_from(&entry.region);
                continue;
            }
            self.on_listed(entry, now);
        }
    }

    /// Applies a message that was received. It shows that its sender can reach this instance.
    ///
    /// Returns whether it contains changes that must be relayed immediately.
    pub fn on_exchange(&mut self, exchange: &Exchange, now: Time) -> bool {
        self.apply_exchange(exchange, now)
    }

    /// Applies the answer to a message of this instance. It shows that its sender is reachable.
    ///
    /// Returns whether it contains changes that must be relayed immediately.
    pub fn on_reply(&mut self, exchange: &Exchange, now: Time) -> bool {
        let is_new = self.apply_exchange(exchange, now);
        if let Some(peer) = self.peers.get_mut(&exchange.from.instance) {
            peer.last_answered = Some(now);
            peer.failures = 0;
        }
        is_new
    }

    /// Records that a message to `instance` was not answered.
    pub fn on_failure(&mut self, instance: &InstanceId, _now: Time) {
        if let Some(peer) = self.peers.get_mut(instance) {
            peer.failures = peer.failures.saturating_add(1);
        }
    }

    /// Evaluates the timeouts and returns the changes since the last call.
    pub fn tick(&mut self, now: Time) -> Vec<MemberEvent> {
        self.leaving.tick(now);
        self.remote_grace = self.compute_remote_grace();
        self.zone_grace = self.compute_zone_grace();
        let mut forgotten = Vec::new();
        for peer in self.peers.values_mut() {
            let is_same_zone = peer.zone == self.me.zone;
            let grace = if is_same_zone { self.zone_grace } else { self.remote_grace };
            if let Some(event) = check_silence(peer, grace, &self.timing, now) {
                self.events.push(event);
            }
            if is_expired(peer, &self.timing, now) {
                forgotten.push(peer.instance.clone());
            }
        }
        for instance in forgotten {
            self.peers.remove(&instance);
            self.events.push(MemberEvent::Forgotten(instance));
        }
        std::mem::take(&mut self.events)
    }

    /// Returns the instances to exchange messages with now.
    ///
    /// These are the instances of the own zone that are due and, once per interval, a few instances
    /// of other zones. The caller calls this several times per interval.
    pub fn exchange_peers(&mut self, now: Time, rng: &mut impl Rng) -> Vec<ExchangePeer> {
        let is_urgent = std::mem::take(&mut self.urgent);
        let is_round = is_urgent
            || self.last_round.is_none_or(|round| now.since(round) >= self.timing.interval);
        if is_round {
            self.last_round = Some(now);
        }
        let me = &self.me;
        let peers = self.peers.values().filter(|peer| peer.is_callable());
        let (zone_peers, remote): (Vec<_>, Vec<_>) = peers.partition(|peer| peer.zone == me.zone);
        let interval = self.timing.zone_interval(zone_peers.len());
        let zone_peers =
            zone_peers.into_iter().filter(|peer| is_urgent || is_due(peer, now, interval));
        let mut chosen: Vec<ExchangePeer> =
            zone_peers.map(|peer| exchange_peer(peer, ExchangeKind::Full)).collect();
        let kind = if self.is_small() { ExchangeKind::Full } else { ExchangeKind::Summary };
        if is_round {
            let remote = choose_peers(remote, &me.region, self.fan_out(), rng);
            chosen.extend(remote.into_iter().map(|peer| exchange_peer(peer, kind)));
        }
        for exchange_peer in &chosen {
            if let Some(peer) = self.peers.get_mut(&exchange_peer.instance) {
                peer.last_sent = Some(now);
            }
        }
        chosen
    }

    fn is_small(&self) -> bool {
        self.peers.len() < self.timing.small_size
    }

    /// Number of instances of other zones contacted in each round.
    fn fan_out(&self) -> usize {
        if self.is_small() { self.timing.fan_out * 2 } else { self.timing.fan_out }
    }

    /// Returns the amount of state that an answer to an instance of `zone` carries.
    ///
    /// In a small deployment every exchange is a full one.
    pub fn kind_for(&self, zone: &ZoneId) -> ExchangeKind {
        if self.is_small() || *zone == self.me.zone {
            ExchangeKind::Full
        } else {
            ExchangeKind::Summary
        }
    }

    /// Whether a message to `receiver` includes the counts of `origin`.
    ///
    /// Instances of one zone receive each other's counts directly, so these are not relayed within
    /// the zone.
    pub fn is_relayed(&self, origin: &InstanceId, receiver: &InstanceId) -> bool {
        if *origin == self.me.instance {
            return true;
        }
        if origin == receiver {
            return false;
        }
        let zone = |instance| self.peers.get(instance).map(|peer| &peer.zone);
        let (Some(origin), Some(receiver)) = (zone(origin), zone(receiver)) else {
            return true;
        };
        origin != receiver
    }

    /// Returns the own entry and the recently changed entries of other instances, for one message.
    ///
    /// Each call counts as one relay of the included changes.
    pub fn entries(&mut self) -> Vec<MemberEntry> {
        let state = if self.stopping { MemberState::Leaving } else { MemberState::Live };
        let own = MemberEntry {
            instance: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            zone: self.me.zone.clone(),
            address: self.me.address.clone(),
            state,
        };
        let mut entries = vec![own];
        let mut changed: Vec<&mut Peer> = self
            .peers
            .values_mut()
            .filter(|peer| peer.relays_left > 0 && peer.is_identified())
            .collect();
        changed.sort_by_key(|peer| std::cmp::Reverse(peer.relays_left));
        for peer in changed.into_iter().take(self.timing.max_relayed) {
            peer.relays_left -= 1;
            entries.push(peer.entry());
        }
        entries
    }

    /// Returns the instances that answer messages.
    pub fn reachable(&self, now: Time) -> Vec<KnownPeer> {
        self.all_known(now).into_iter().filter(|known| known.reachable).collect()
    }

    /// Returns every other known instance, including removed ones.
    ///
    /// Any of them may have accepted a request within the retention time of request records.
    pub fn all_known(&self, now: Time) -> Vec<KnownPeer> {
        let timeout = self.reach_timeout();
        self.peers.values().map(|peer| peer.to_known(now, timeout)).collect()
    }

    /// Returns a snapshot of one instance, if it is known.
    pub fn known(&self, instance: &InstanceId, now: Time) -> Option<KnownPeer> {
        Some(self.peers.get(instance)?.to_known(now, self.reach_timeout()))
    }

    fn reach_timeout(&self) -> Duration {
        self.timing.suspect_after + self.timing.interval + self.zone_grace
    }
}

fn exchange_peer(peer: &Peer, kind: ExchangeKind) -> ExchangePeer {
    ExchangePeer { instance: peer.instance.clone(), address: peer.address.clone(), kind }
}
