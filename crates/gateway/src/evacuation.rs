//! Availability zones that operators have evacuated, whose targets get no new requests.
//!
//! Orders are read from the store and reported by peers. An order or its removal counts from the
//! store's position at which it was seen, and the later one holds, whoever reports it.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewind_protocol::relay::{StorePosition, ZoneEntry, ZoneReport};
use sesamewind_protocol::{ServiceId, Time, ZoneId};

use crate::arrival::{Arrival, Ticket};
use crate::gateway::Gateway;
use crate::proof::RefusalReason;
use crate::request::{Request, State};

/// What is known of one availability zone.
#[derive(Debug, Clone)]
struct Zone {
    evacuated: bool,
    /// Position at which the store was seen to have the order, or not to have it any more.
    position: StorePosition,
    /// When this instance learned that.
    since: Time,
    /// Whether requests of this instance were at the zone's targets when last reported.
    busy: bool,
}

/// A change of an availability zone, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ZoneChange {
    /// The targets of the zone get no new requests from now on.
    Evacuated {
        /// The zone.
        zone: ZoneId,
        /// Requests of this instance that are still at its targets.
        running: u32,
    },
    /// No request of this instance is at the targets of the evacuated zone any more.
    Empty {
        /// The zone.
        zone: ZoneId,
        /// Time since it was evacuated.
        took: Duration,
    },
    /// The evacuation was taken back.
    TakenBack {
        /// The zone.
        zone: ZoneId,
        /// Time for which it was evacuated.
        lasted: Duration,
    },
}

impl ZoneChange {
    /// Returns the evacuation of `zone`, whose requests are counted when it is reported.
    fn evacuated(zone: &ZoneId) -> Self {
        Self::Evacuated { zone: zone.clone(), running: 0 }
    }
}

/// Evacuated availability zones as known to this instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct Evacuations {
    /// All zones that were ever evacuated. Those that no longer are remain, so that a peer with an
    /// older state does not evacuate them again.
    zones: BTreeMap<ZoneId, Zone>,
    /// Position of the store up to which all orders are known.
    read: StorePosition,
    changes: Vec<ZoneChange>,
}

impl Evacuations {
    /// Returns whether the zone is evacuated.
    pub(crate) fn contains(&self, zone: &ZoneId) -> bool {
        self.zones.get(zone).is_some_and(|known| known.evacuated)
    }

    /// Returns when the last evacuation of the zone was taken back, if no other was ordered since.
    /// The zone's targets may be cold, whatever they stated before that.
    pub(crate) fn taken_back(&self, zone: &ZoneId) -> Option<Time> {
        self.zones.get(zone).filter(|known| !known.evacuated).map(|known| known.since)
    }

    /// Returns the zones whose evacuation was taken back at `now`.
    fn taken_back_at(&self, now: Time) -> Vec<ZoneId> {
        let ended = self.zones.iter().filter(|(_, known)| !known.evacuated && known.since == now);
        ended.map(|(zone, _)| zone.clone()).collect()
    }

    /// Returns what is known here, for peers.
    pub(crate) fn report(&self) -> ZoneReport {
        let zones = self.zones.iter().map(|(zone, known)| ZoneEntry {
            zone: zone.clone(),
            evacuated: known.evacuated,
            position: known.position,
        });
        ZoneReport { read: self.read, zones: zones.collect() }
    }

    /// Applies orders that have changed. Returns whether a zone was evacuated or taken back.
    fn apply_changes(&mut self, report: &ZoneReport, now: Time) -> bool {
        let mut changed = false;
        for entry in &report.zones {
            changed |= self.apply_entry(entry, report.read, now);
        }
        self.read = self.read.max(report.read);
        changed
    }

    /// Applies all orders that exist at the report's position. Returns whether a zone was evacuated
    /// or taken back.
    ///
    /// An order of an earlier era that is missing may be lost with the rest that was written last,
    /// so it holds until its row is written or removed again.
    fn apply_all(&mut self, report: &ZoneReport, now: Time) -> bool {
        let is_listed = |zone: &ZoneId| report.zones.iter().any(|entry| entry.zone == *zone);
        let missing = self.zones.iter().filter(|(zone, known)| {
            known.evacuated && known.position.era == report.read.era && !is_listed(zone)
        });
        let removed = missing.map(|(zone, _)| ZoneEntry {
            zone: zone.clone(),
            evacuated: false,
            position: report.read,
        });
        let removed = ZoneReport { zones: removed.collect(), read: report.read };
        let changed = self.apply_changes(report, now);
        self.apply_changes(&removed, now) || changed
    }

    /// Applies an entry of a report that is complete up to `read`. Returns whether the zone was
    /// evacuated or taken back.
    fn apply_entry(&mut self, entry: &ZoneEntry, read: StorePosition, now: Time) -> bool {
        let position = entry.position;
        let Some(known) = self.zones.get_mut(&entry.zone) else {
            // An instance that started after the removal of the order knows that it does not exist.
            let is_outdated =
                position.era == self.read.era && position <= self.read && read < self.read;
            if entry.evacuated && is_outdated {
                return false;
            }
            let zone =
                Zone { evacuated: entry.evacuated, position, since: now, busy: entry.evacuated };
            self.zones.insert(entry.zone.clone(), zone);
            if entry.evacuated {
                self.changes.push(ZoneChange::evacuated(&entry.zone));
            }
            return entry.evacuated;
        };
        if position <= known.position {
            return false;
        }
        known.position = position;
        if known.evacuated == entry.evacuated {
            return false;
        }
        let lasted = now.since(std::mem::replace(&mut known.since, now));
        (known.evacuated, known.busy) = (entry.evacuated, entry.evacuated);
        self.changes.push(if entry.evacuated {
            ZoneChange::evacuated(&entry.zone)
        } else {
            ZoneChange::TakenBack { zone: entry.zone.clone(), lasted }
        });
        true
    }
}

impl Gateway {
    /// Applies the orders that have changed in the store.
    pub(crate) fn change_zones(&mut self, report: &ZoneReport, now: Time) {
        if self.evacuations.apply_changes(report, now) {
            self.zones_changed(now);
        }
    }

    /// Applies all orders that the store has, or that a peer knows of.
    pub(crate) fn read_zones(&mut self, report: &ZoneReport, now: Time) {
        if self.evacuations.apply_all(report, now) {
            self.zones_changed(now);
        }
    }

    fn zones_changed(&mut self, now: Time) {
        self.mark_evacuated();
        // Targets may have become cold while nothing was sent to them.
        for zone in self.evacuations.taken_back_at(now) {
            self.record_possibly_cold(&zone, now);
        }
        self.prefer_targets();
        self.find_limited(now);
        self.dispatch_all_waiting(now);
        self.refuse_barred(now);
    }

    /// Marks the targets of evacuated zones.
    pub(crate) fn mark_evacuated(&mut self) {
        if !self.evacuations.zones.is_empty() {
            self.targets.mark_evacuated(|zone| self.evacuations.contains(zone));
        }
    }

    /// Returns why no listed target of a service may take the request of `arrival`; `None` if one
    /// may, or if the service has no targets at all.
    pub(crate) fn barrier(
        &self,
        service: &ServiceId,
        arrival: &Arrival,
        now: Time,
    ) -> Option<RefusalReason> {
        let homes = self.homes(arrival);
        let mut barrier = None;
        for &index in &self.services.get(service)?.targets {
            let target = self.targets.get(index);
            let is_usable = target.is_usable(now);
            let is_evacuated = target.evacuated && target.is_listed();
            if !is_usable && !is_evacuated {
                continue;
            }
            match (homes.allows(&target.listed.zone), is_usable) {
                (true, true) => return None,
                (true, false) => barrier = Some(RefusalReason::Evacuated),
                (false, _) => barrier = barrier.or(Some(RefusalReason::NoHome)),
            }
        }
        barrier
    }

    /// Ends a waiting request that no target may take, unless it can't be refused.
    pub(crate) fn refuse_if_barred(&mut self, ticket: Ticket, now: Time) {
        let Some(request) = self.requests.get(&ticket).filter(|request| !request.held) else {
            return;
        };
        let Some(reason) = self.barrier(&request.service, &request.arrival, now) else { return };
        let Some(request) = self.requests.remove(&ticket) else { return };
        self.abandon_for(ticket, request, reason, now);
    }

    /// Ends the waiting requests that no target may take, unless they can't be refused.
    pub(crate) fn refuse_barred(&mut self, now: Time) {
        let is_waiting = |request: &Request| matches!(request.state, State::Waiting { .. });
        let waiting = self.requests.iter().filter(|(_, request)| is_waiting(request));
        let mut waiting: Vec<Ticket> = waiting.map(|(&ticket, _)| ticket).collect();
        waiting.sort_unstable();
        for ticket in waiting {
            self.refuse_if_barred(ticket, now);
        }
    }

    /// Returns the changes of availability zones since the last call.
    pub fn take_zone_changes(&mut self, now: Time) -> Vec<ZoneChange> {
        let (targets, evacuations) = (&self.targets, &mut self.evacuations);
        let mut changes = std::mem::take(&mut evacuations.changes);
        for change in &mut changes {
            if let ZoneChange::Evacuated { zone, running } = change {
                *running = targets.requests_in(zone);
            }
        }
        for (zone, known) in evacuations.zones.iter_mut().filter(|(_, known)| known.busy) {
            if targets.requests_in(zone) == 0 {
                known.busy = false;
                changes
                    .push(ZoneChange::Empty { zone: zone.clone(), took: now.since(known.since) });
            }
        }
        changes
    }

    /// Returns when the last evacuation of an availability zone was taken back, if no other was
    /// ordered since.
    pub fn zone_taken_back(&self, zone: &ZoneId) -> Option<Time> {
        self.evacuations.taken_back(zone)
    }

    /// Returns each availability zone that was ever evacuated: whether it is, and the number of
    /// requests of this instance at its targets.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = (&ZoneId, bool, u32)> {
        let zones = self.evacuations.zones.iter();
        zones.map(|(zone, known)| (zone, known.evacuated, self.targets.requests_in(zone)))
    }
}
