//! Applies the platform's list and the messages of other instances to the view.

use sesamewind_protocol::message::{Exchange, MemberEntry, MemberState, Sender};
use sesamewind_protocol::{Incarnation, Time};

use super::{MemberEvent, Members};
use crate::peer::Peer;
use crate::{ListedInstance, ListedState};

impl Members {
    pub(super) fn on_listed(&mut self, entry: &ListedInstance, now: Time) {
        let relay_count = self.timing.relay_count;
        let is_new = !self.peers.contains_key(&entry.name);
        let peer = self
            .peers
            .entry(entry.name.clone())
            .or_insert_with(|| Peer::new(&entry.name, &entry.zone, &entry.address, now));
        peer.listed = true;
        peer.region.clone_from(&entry.region);
        // Until the instance itself or a peer has reported an incarnation, the list is the only
        // source of its address.
        if peer.incarnation == Incarnation::default() {
            peer.address.clone_from(&entry.address);
        }
        if is_new {
            self.events.push(MemberEvent::Joined(entry.name.clone()));
        }
        // The list contains no incarnations, so a leaving state may belong to the previous one.
        let is_settled = now.since(peer.state_since) > self.timing.list_lag || is_new;
        let is_leaving = entry.state == ListedState::Leaving && peer.state == MemberState::Live;
        if is_leaving && is_settled && peer.set_state(MemberState::Leaving, now, relay_count) {
            self.events.push(MemberEvent::Leaving(entry.name.clone()));
        }
    }

    pub(super) fn apply_exchange(&mut self, exchange: &Exchange, now: Time) -> bool {
        let from = &exchange.from;
        if from.deployment != self.me.deployment || from.instance == self.me.instance {
            return false;
        }
        self.record_contact(from, now);
        for entry in &exchange.members {
            if entry.instance == self.me.instance {
                continue;
            }
            if entry.instance == from.instance {
                self.on_own_entry(entry, now);
            } else {
                self.on_peer_entry(entry, from, now);
            }
        }
        let is_new = self.leaving.on_entries(&exchange.leaving, now);
        self.urgent |= is_new;
        is_new
    }

    fn record_contact(&mut self, from: &Sender, now: Time) {
        let relay_count = self.timing.relay_count;
        let is_new = !self.peers.contains_key(&from.instance);
        let peer = self
            .peers
            .entry(from.instance.clone())
            .or_insert_with(|| Peer::new(&from.instance, &from.zone, "", now));
        if is_new {
            self.events.push(MemberEvent::Joined(from.instance.clone()));
        }
        if from.incarnation < peer.incarnation {
            return;
        }
        if from.incarnation > peer.incarnation {
            let is_first = peer.incarnation == Incarnation::default();
            peer.restart(from.incarnation, now, relay_count);
            peer.zone.clone_from(&from.zone);
            if !is_first {
                self.events.push(MemberEvent::Restarted(from.instance.clone(), from.incarnation));
            }
            return;
        }
        let grace = if peer.zone == self.me.zone { self.zone_grace } else { self.remote_grace };
        if now.since(peer.last_received) > self.timing.suspect_after + grace {
            peer.contact_since = now;
            if !peer.is_up() {
                peer.add_penalty(now, &self.timing);
            }
        }
        peer.last_received = now;
    }

    /// Applies the entry that an instance sent about itself.
    fn on_own_entry(&mut self, entry: &MemberEntry, now: Time) {
        let relay_count = self.timing.relay_count;
        let Some(peer) = self.peers.get_mut(&entry.instance) else {
            return;
        };
        if entry.incarnation != peer.incarnation {
            return;
        }
        peer.address.clone_from(&entry.address);
        let is_leaving = entry.state == MemberState::Leaving;
        if is_leaving && peer.set_state(MemberState::Leaving, now, relay_count) {
            self.events.push(MemberEvent::Leaving(entry.instance.clone()));
        }
    }

    /// Applies the entry that an instance sent about another one.
    ///
    /// An unknown instance is added, unless it is reported as removed. Three reports about a known
    /// instance are accepted: a new incarnation, a planned shutdown, and suspicion or removal
    /// reported by a member of its own zone. Within one incarnation no report makes an instance
    /// live again.
    fn on_peer_entry(&mut self, entry: &MemberEntry, from: &Sender, now: Time) {
        let relay_count = self.timing.relay_count;
        let Some(peer) = self.peers.get_mut(&entry.instance) else {
            self.discover(entry, now);
            return;
        };
        if entry.incarnation < peer.incarnation {
            return;
        }
        if entry.incarnation > peer.incarnation {
            let is_first = peer.incarnation == Incarnation::default();
            peer.restart(entry.incarnation, now, relay_count);
            peer.zone.clone_from(&entry.zone);
            peer.address.clone_from(&entry.address);
            if !is_first {
                let event = MemberEvent::Restarted(entry.instance.clone(), entry.incarnation);
                self.events.push(event);
            }
        }
        let is_zone_report = from.zone == entry.zone && self.me.zone != entry.zone;
        let is_silent = now.since(peer.last_received) > self.timing.suspect_after;
        let event = match entry.state {
            MemberState::Leaving if peer.state == MemberState::Live => MemberEvent::Leaving,
            MemberState::Removed if is_zone_report && is_silent => MemberEvent::Removed,
            MemberState::Suspect if is_zone_report && is_silent && peer.is_up() => {
                MemberEvent::Suspected
            }
            _ => return,
        };
        if peer.set_state(entry.state, now, relay_count) {
            self.events.push(event(entry.instance.clone()));
        }
    }

    fn discover(&mut self, entry: &MemberEntry, now: Time) {
        if entry.state == MemberState::Removed {
            return;
        }
        let mut peer = Peer::new(&entry.instance, &entry.zone, &entry.address, now);
        peer.incarnation = entry.incarnation;
        peer.state = entry.state;
        peer.relays_left = self.timing.relay_count;
        self.peers.insert(entry.instance.clone(), peer);
        self.events.push(MemberEvent::Joined(entry.instance.clone()));
    }
}
