//! Tier floors: while a floor is in force, no instance starts work of a lower tier for the service.
//!
//! An instance raises a floor when an urgent request finds no target with room. While requests wait
//! for room, the floor is preempting: every instance also cancels running lower-tier work step by
//! step. A peer acknowledges the floor once it runs nothing lower, and complies until the floor
//! ends. An urgent request may therefore be refused for lack of room only after every reachable
//! peer has acknowledged.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use sesamewind_protocol::traffic::{FloorAck, FloorRaise};
use sesamewind_protocol::{InstanceId, ServiceId, Time, WallTime};

#[derive(Debug)]
struct OwnFloor {
    rank: u8,
    seq: u64,
    until: Time,
    preempting_until: Time,
    waiting: u32,
    acks: HashMap<InstanceId, Time>,
}

impl OwnFloor {
    /// Returns the number of requests that wait for room now.
    fn waiting_at(&self, now: Time) -> u32 {
        if now < self.preempting_until { self.waiting } else { 0 }
    }
}

#[derive(Debug)]
struct PeerFloor {
    rank: u8,
    seq: u64,
    until: Time,
    waiting: u32,
    acked: bool,
}

/// Floors of one service.
#[derive(Debug, Default)]
struct ServiceFloors {
    own: Option<OwnFloor>,
    peers: BTreeMap<InstanceId, PeerFloor>,
}

/// Tier floors known to this instance.
#[derive(Debug)]
pub(crate) struct Floors {
    me: InstanceId,
    seq: u64,
    hold: Duration,
    services: BTreeMap<ServiceId, ServiceFloors>,
    reachable: HashSet<InstanceId>,
}

impl Floors {
    pub(crate) fn new(me: InstanceId, hold: Duration) -> Self {
        Self { me, seq: 0, hold, services: BTreeMap::new(), reachable: HashSet::new() }
    }

    pub(crate) fn set_hold(&mut self, hold: Duration) {
        self.hold = hold;
    }

    pub(crate) fn set_reachable(&mut self, reachable: &[InstanceId]) {
        self.reachable = reachable.iter().filter(|peer| **peer != self.me).cloned().collect();
    }

    /// Raises or renews a floor for which `waiting` requests wait. Returns whether peers should be
    /// notified at once.
    pub(crate) fn raise(&mut self, service: &ServiceId, rank: u8, waiting: u32, now: Time) -> bool {
        let floors = entry(&mut self.services, service);
        let preempting_until = now + self.hold / 4;
        if let Some(own) = floors.own.as_mut().filter(|own| now < own.until && own.rank <= rank) {
            let was_preempting = now < own.preempting_until;
            own.until = now + self.hold;
            own.preempting_until = preempting_until;
            own.waiting = waiting;
            return !was_preempting;
        }
        self.seq += 1;
        floors.own = Some(OwnFloor {
            rank,
            seq: self.seq,
            until: now + self.hold,
            preempting_until,
            waiting,
            acks: HashMap::new(),
        });
        true
    }

    /// Stops cancelling lower-tier work after urgent requests find room again. The floor itself
    /// expires on its own. Returns whether it was preempting.
    pub(crate) fn stop_preempting(&mut self, service: &ServiceId, now: Time) -> bool {
        let Some(own) = self.services.get_mut(service).and_then(|floors| floors.own.as_mut())
        else {
            return false;
        };
        let was_preempting = now < own.preempting_until;
        own.preempting_until = own.preempting_until.min(now);
        was_preempting
    }

    /// Returns the rank of the lowest tier that may start work.
    pub(crate) fn rank(&self, service: &ServiceId, now: Time) -> Option<u8> {
        self.in_force(service, now).map(|(rank, _)| rank).min()
    }

    /// Returns the rank of the lowest tier that may continue running, and how many requests wait
    /// for room.
    pub(crate) fn preempting(&self, service: &ServiceId, now: Time) -> Option<(u8, u32)> {
        let preempting = self.in_force(service, now).filter(|(_, waiting)| *waiting > 0);
        preempting.reduce(|a, b| (a.0.min(b.0), a.1.saturating_add(b.1)))
    }

    /// Returns the number of instances that share the preemption, including this one.
    pub(crate) fn instances(&self) -> u32 {
        u32::try_from(self.reachable.len()).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Returns the ranks of the floors in force and the number of requests that wait for each.
    fn in_force(&self, service: &ServiceId, now: Time) -> impl Iterator<Item = (u8, u32)> {
        let floors = self.services.get(service);
        let own = floors
            .and_then(|floors| floors.own.as_ref())
            .filter(move |own| now < own.until)
            .map(move |own| (own.rank, own.waiting_at(now)));
        let peers = floors.into_iter().flat_map(move |floors| {
            let active = floors.peers.values().filter(move |peer| now < peer.until);
            active.map(|peer| (peer.rank, peer.waiting))
        });
        own.into_iter().chain(peers)
    }

    /// Returns whether every reachable peer runs nothing below this instance's floor at `rank`.
    pub(crate) fn acknowledged(&self, service: &ServiceId, rank: u8, now: Time) -> bool {
        if self.reachable.is_empty() {
            return true;
        }
        let own = self.services.get(service).and_then(|floors| floors.own.as_ref());
        let Some(own) = own.filter(|own| now < own.until && own.rank <= rank) else {
            return false;
        };
        // An acknowledgement binds the peer for at least half of the hold time.
        let fresh = |received: &Time| now.since(*received) < self.hold / 2;
        self.reachable.iter().all(|peer| own.acks.get(peer).is_some_and(fresh))
    }

    /// Applies a peer's floors and acknowledgements. `sent` is the peer's wall clock at sending, so
    /// that only the remaining time is adopted and clocks need not agree.
    pub(crate) fn update_peer(
        &mut self,
        from: &InstanceId,
        sent: WallTime,
        raises: &[FloorRaise],
        acks: &[FloorAck],
        now: Time,
    ) {
        for floors in self.services.values_mut() {
            if let Some(peer) = floors.peers.get_mut(from) {
                peer.waiting = 0;
            }
        }
        for raise in raises.iter().filter(|raise| raise.origin == *from) {
            let until = now + raise.until.since(sent).min(self.hold);
            let floors = entry(&mut self.services, &raise.service);
            let old = floors.peers.get(from);
            let acked = old.is_some_and(|old| old.seq == raise.seq && old.acked);
            let (rank, seq, waiting) = (raise.rank, raise.seq, raise.waiting);
            let peer = PeerFloor { rank, seq, until, waiting, acked };
            floors.peers.insert(from.clone(), peer);
        }
        for ack in acks.iter().filter(|ack| ack.origin == self.me) {
            let own = self.services.get_mut(&ack.service).and_then(|floors| floors.own.as_mut());
            if let Some(own) = own.filter(|own| own.seq == ack.seq) {
                own.acks.insert(from.clone(), now);
            }
        }
    }

    /// Updates which floors of peers this instance acknowledges. `lowest` returns the lowest rank
    /// that runs here for a service. Returns whether there is a new acknowledgement.
    pub(crate) fn update_acks(
        &mut self,
        now: Time,
        lowest: impl Fn(&ServiceId) -> Option<u8>,
    ) -> bool {
        let mut has_new = false;
        let half_hold = self.hold / 2;
        for (service, floors) in &mut self.services {
            floors.peers.retain(|_, peer| now < peer.until);
            let running = lowest(service);
            for peer in floors.peers.values_mut() {
                let none_lower = running.is_none_or(|rank| rank <= peer.rank);
                let acked = none_lower && peer.until.since(now) >= half_hold;
                has_new |= acked && !peer.acked;
                peer.acked = acked;
            }
        }
        let has_expired = |floors: &ServiceFloors| {
            floors.peers.is_empty() && floors.own.as_ref().is_none_or(|own| own.until <= now)
        };
        self.services.retain(|_, floors| !has_expired(floors));
        has_new
    }

    /// Returns the floors raised by this instance, for its peers.
    pub(crate) fn raises(&self, now: Time, wall: WallTime) -> Vec<FloorRaise> {
        let mut raises = Vec::new();
        for (service, floors) in &self.services {
            let Some(own) = floors.own.as_ref().filter(|own| now < own.until) else { continue };
            raises.push(FloorRaise {
                service: service.clone(),
                rank: own.rank,
                origin: self.me.clone(),
                seq: own.seq,
                until: wall + own.until.since(now),
                waiting: own.waiting_at(now),
            });
        }
        raises
    }

    /// Returns the acknowledgements for peers.
    pub(crate) fn acks(&self) -> Vec<FloorAck> {
        let mut acks = Vec::new();
        for (service, floors) in &self.services {
            for (origin, peer) in floors.peers.iter().filter(|(_, peer)| peer.acked) {
                acks.push(FloorAck {
                    service: service.clone(),
                    origin: origin.clone(),
                    seq: peer.seq,
                });
            }
        }
        acks
    }
}

fn entry<'a>(
    services: &'a mut BTreeMap<ServiceId, ServiceFloors>,
    service: &ServiceId,
) -> &'a mut ServiceFloors {
    services.entry(service.clone()).or_default()
}
