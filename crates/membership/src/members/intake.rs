//! What the list and the messages of other instances say of the members.

use sesamewind_protocol::message::{Exchange, MemberEntry, MemberState, Sender};
use sesamewind_protocol::{Incarnation, Time};

use super::{MemberEvent, Members};
use crate::peer::Peer;
use crate::{ListedInstance, ListedState};

impl Members {
    pub(super) fn on_entry(&mut self, entry: &ListedInstance, now: Time) {
        let retold = self.timing.relay_count;
        let is_new = !self.peers.contains_key(&entry.name);
        let peer = self
            .peers
            .entry(entry.name.clone())
            .or_insert_with(|| Peer::new(&entry.name, &entry.zone, &entry.address, now));
        peer.listed = true;
        peer.region.clone_from(&entry.region);
        // The list is the only one to name the address of an instance that was never heard.
        if peer.incarnation == Incarnation::default() {
            peer.address.clone_from(&entry.address);
        }
        if is_new {
            self.events.push(MemberEvent::Joined(entry.name.clone()));
        }
        // The list names no life: its "leaving" may speak of the one before.
        let is_old = now.since(peer.since) > self.timing.list_lag || is_new;
        let is_leaving = entry.state == ListedState::Leaving && peer.state == MemberState::Live;
        if is_leaving && is_old && peer.set_state(MemberState::Leaving, now, retold) {
            self.events.push(MemberEvent::Leaving(entry.name.clone()));
        }
    }

    pub(super) fn take(&mut self, exchange: &Exchange, now: Time) -> bool {
        let from = &exchange.from;
        if from.deployment != self.me.deployment || from.instance == self.me.instance {
            return false;
        }
        self.hear(from, now);
        for note in &exchange.members {
            if note.instance == self.me.instance {
                continue;
            }
            if note.instance == from.instance {
                self.on_own_note(note, now);
            } else {
                self.on_note(note, from, now);
            }
        }
        let is_new = self.leaving.on_entries(&exchange.leaving, now);
        self.urgent |= is_new;
        is_new
    }

    fn hear(&mut self, from: &Sender, now: Time) {
        let retold = self.timing.relay_count;
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
            peer.restart(from.incarnation, now, retold);
            peer.zone.clone_from(&from.zone);
            if !is_first {
                self.events.push(MemberEvent::Restarted(from.instance.clone(), from.incarnation));
            }
            return;
        }
        let gap = if peer.zone == self.me.zone { self.near_gap } else { self.beyond_gap };
        if now.since(peer.heard) > self.timing.suspect_after + gap {
            peer.steady = now;
            if !peer.is_up() {
                peer.charge(now, &self.timing);
            }
        }
        peer.heard = now;
    }

    /// What an instance says of itself.
    fn on_own_note(&mut self, note: &MemberEntry, now: Time) {
        let retold = self.timing.relay_count;
        let Some(peer) = self.peers.get_mut(&note.instance) else {
            return;
        };
        if note.incarnation != peer.incarnation {
            return;
        }
        peer.address.clone_from(&note.address);
        let is_leaving = note.state == MemberState::Leaving;
        if is_leaving && peer.set_state(MemberState::Leaving, now, retold) {
            self.events.push(MemberEvent::Leaving(note.instance.clone()));
        }
    }

    /// What an instance says of another. Nobody is taken for live on hearsay; only a new life, a
    /// planned stop, and the silence of an instance towards its own zone are.
    fn on_note(&mut self, note: &MemberEntry, from: &Sender, now: Time) {
        let retold = self.timing.relay_count;
        let Some(peer) = self.peers.get_mut(&note.instance) else {
            self.meet(note, now);
            return;
        };
        if note.incarnation < peer.incarnation {
            return;
        }
        if note.incarnation > peer.incarnation {
            let is_first = peer.incarnation == Incarnation::default();
            peer.restart(note.incarnation, now, retold);
            peer.zone.clone_from(&note.zone);
            peer.address.clone_from(&note.address);
            if !is_first {
                let event = MemberEvent::Restarted(note.instance.clone(), note.incarnation);
                self.events.push(event);
            }
        }
        let is_neighbour = from.zone == note.zone && self.me.zone != note.zone;
        let is_silent = now.since(peer.heard) > self.timing.suspect_after;
        let event = match note.state {
            MemberState::Leaving if peer.state == MemberState::Live => MemberEvent::Leaving,
            MemberState::Removed if is_neighbour && is_silent => MemberEvent::Removed,
            MemberState::Suspect if is_neighbour && is_silent && peer.is_up() => {
                MemberEvent::Suspected
            }
            _ => return,
        };
        if peer.set_state(note.state, now, retold) {
            self.events.push(event(note.instance.clone()));
        }
    }

    fn meet(&mut self, note: &MemberEntry, now: Time) {
        if note.state == MemberState::Removed {
            return;
        }
        let mut peer = Peer::new(&note.instance, &note.zone, &note.address, now);
        peer.incarnation = note.incarnation;
        peer.state = note.state;
        peer.retold = self.timing.relay_count;
        self.peers.insert(note.instance.clone(), peer);
        self.events.push(MemberEvent::Joined(note.instance.clone()));
    }
}
