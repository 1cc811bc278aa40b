//! Brittle targets: a target that turns away more than so many requests in a second falls over.
//!
//! All targets of a service state it at the same time, with the rejections that each of them bears.
//! While they do, each instance holds a whole number of places at each target, and all instances
//! together no more than the target's room. A place whose request was rejected rests for longer than a
//! second, so that the rejections in a second are bounded by the places in excess of what the target
//! takes, whatever the instances know of each other.

use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use sesamewind_protocol::relay::{BrittleEntry, CutEntry};
use sesamewind_protocol::{InstanceId, ServiceId, Time};

use crate::arrival::Ticket;
use crate::event::AttemptOutcome;
use crate::gateway::Gateway;
use crate::limits::division::whole_share;
use crate::targets::{Index, Target};

/// Time since a target last stated it for which its service's targets stay brittle, although others
/// no longer state it: in a rollout, not all targets may state it.
const HOLD_TIME: Duration = Duration::from_secs(2);

/// Time by which a peer's report may be older than its age says, since the message took a while.
const PEER_MARGIN: Duration = Duration::from_secs(1);

/// Time after which what was stated is forgotten if the targets are no longer brittle. Peers may be
/// cut off for a while and repeat earlier statements.
const MEMORY_TIME: Duration = Duration::from_secs(60);

/// Fraction of the rejections in a second up to which places in excess of the slots are in use. The
/// rest covers requests that the target runs and their instances no longer know of.
const EXCESS_FRACTION: f64 = 0.5;

/// Interval within which rejections are counted against what the target bears.
const SECOND: Duration = Duration::from_secs(1);

/// Bounds on the time for which a place rests after a rejection, in milliseconds. They exceed a second;
/// the difference spreads the returns.
const REST_MS: (u64, u64) = (1_250, 2_500);

/// Time for which the place of a cancelled request stays in use, since the target may not have seen
/// yet that its connection has closed.
const CANCEL_TIME: Duration = Duration::from_millis(500);

/// Fraction of the room that the first rejection in a second costs, and that is kept in any case.
const CUT_FRACTION: f64 = 0.125;
const MIN_ROOM_FRACTION: f64 = 0.5;

/// Time after which one of the places that rejections have cost returns.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// Statements of a service's targets, as known from one source.
#[derive(Debug, Clone, Copy, Default)]
struct Evidence {
    /// Rejections in a second that each target bears, as last stated.
    allowed: u32,
    /// When that was received.
    heard: Time,
    /// When the last request was sent whose answer did not state it.
    sound: Time,
}

impl Evidence {
    fn merge(self, other: Self) -> Self {
        let newer = if other.heard > self.heard { other } else { self };
        Self { sound: self.sound.max(other.sound), ..newer }
    }

    fn holds(&self) -> bool {
        self.sound <= self.heard + HOLD_TIME
    }
}

/// Statements of the targets of one service.
#[derive(Debug, Clone, Default)]
struct Statements {
    own: Evidence,
    peers: Evidence,
    /// Peer that reported it first; none if this instance has heard it itself.
    source: Option<InstanceId>,
    /// Rejections in a second that each target bears, while the targets are brittle.
    allowed: Option<u32>,
}

/// Places that rejections have cost a target.
#[derive(Debug, Clone, Copy, Default)]
struct Cut {
    places: u32,
    since: Time,
}

impl Cut {
    /// Returns the places that have not returned.
    fn left(&self, now: Time) -> u32 {
        let returned = now.since(self.since).as_millis() / RETURN_TIME.as_millis();
        self.places.saturating_sub(u32::try_from(returned).unwrap_or(u32::MAX))
    }
}

/// Places of this instance at a brittle target.
#[derive(Debug, Clone, Default)]
pub(crate) struct Room {
    /// Places of all instances together.
    total: u32,
    /// Places of this instance.
    places: u32,
    /// Rejections in a second after which this instance sends no request.
    allowed: u32,
    own: Cut,
    peers: Cut,
    /// When requests of this instance were rejected, and until when their places rest.
    rejected: Vec<(Time, Time)>,
    /// When requests of this instance were cancelled.
    cancelled: Vec<Time>,
}

impl Room {
    /// Returns whether this instance may send a request besides the `requests` that it has at the
    /// target, and leave a fraction `headroom` of its places to more urgent ones.
    pub(crate) fn is_open(&self, requests: u32, headroom: f64, now: Time) -> bool {
        let recent = self.rejected.iter().filter(|(at, _)| now.since(*at) < SECOND).count();
        if recent as u32 >= self.allowed {
            return false;
        }
        let resting = self.rejected.iter().filter(|(_, until)| now < *until).count();
        let cancelled = self.cancelled.iter().filter(|at| now.since(**at) < CANCEL_TIME).count();
        let used = requests as usize + resting + cancelled;
        // Rounds halves down, so that few places all stay in use.
        let headroom = (f64::from(self.places) * headroom - 0.5).ceil().max(0.0);
        used as f64 + headroom < f64::from(self.places)
    }

    fn cut(&self, now: Time) -> u32 {
        self.own.left(now).max(self.peers.left(now))
    }

    fn record_cancel(&mut self, now: Time) {
        self.cancelled.retain(|at| now.since(*at) < CANCEL_TIME);
        self.cancelled.push(now);
    }

    fn record_rejection(&mut self, rest: Duration, now: Time) {
        self.rejected.retain(|(_, until)| now < *until);
        self.rejected.push((now, now + rest));
        if now.since(self.own.since) >= SECOND || self.own.places == 0 {
            let step = (f64::from(self.total) * CUT_FRACTION).ceil() as u32;
            self.own = Cut { places: self.cut(now) + step, since: now };
        }
    }
}

/// Beginning or end of a time in which a service's targets are brittle, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct BrittleChange {
    /// The service.
    pub service: ServiceId,
    /// Rejections in a second that each target bears; none at the end.
    pub allowed: Option<u32>,
    /// Number of its targets.
    pub targets: usize,
    /// Places of all instances together at these.
    pub room: u32,
    /// Places of this instance among them.
    pub share: u32,
    /// Peer that reported it first; none if this instance has heard it itself.
    pub source: Option<InstanceId>,
}

/// Brittle targets of this instance, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BrittleTotals {
    /// Number of targets.
    pub targets: usize,
    /// Places of all instances together.
    pub room: u32,
    /// Places of this instance among them.
    pub share: u32,
    /// Requests of this instance that such targets have rejected since its start.
    pub rejections: u64,
    /// Ends of such targets that this instance has seen since its start.
    pub falls: u64,
}

/// State of the services whose targets are or were brittle.
#[derive(Debug, Clone, Default)]
pub(crate) struct BrittleServices {
    services: HashMap<ServiceId, Statements>,
    changes: Vec<BrittleChange>,
    totals: BrittleTotals,
    /// Whether shares have changed since places were last divided.
    stale: bool,
}

impl Gateway {
    /// Records that the target of a request's attempt stated how many rejections in a second it bears, or
    /// that it is not brittle.
    pub(crate) fn target_brittle(&mut self, ticket: Ticket, allowed: Option<u32>, now: Time) {
        let Some((index, asked)) = self.attempt_of(ticket) else { return };
        let service = self.targets.get(index).listed.service.clone();
        let services = &mut self.limits.brittle.services;
        if allowed.is_none() && !services.contains_key(&service) {
            return;
        }
        let statements = services.entry(service).or_default();
        let own = &mut statements.own;
        match allowed {
            Some(allowed) => (own.allowed, own.heard) = (allowed, now),
            None => own.sound = own.sound.max(asked),
        }
        if statements.allowed != allowed {
            self.update_brittle(None, now);
        }
    }

    /// Returns whether the targets of the service that a request's attempt is for were stated to be
    /// brittle.
    pub fn is_target_brittle(&self, ticket: Ticket) -> bool {
        let attempt = self.attempt_of(ticket);
        let service = attempt.map(|(index, _)| &self.targets.get(index).listed.service);
        service.is_some_and(|service| self.limits.brittle.services.contains_key(service))
    }

    /// Returns what this instance itself has observed of brittle targets.
    pub(crate) fn brittle_entries(&self, now: Time) -> Vec<BrittleEntry> {
        let age = |time: Time| (time > Time::ZERO).then(|| now.since(time));
        let entries = self.limits.brittle.services.iter().map(|(service, statements)| {
            let indexes = self.services.get(service).map_or(&[][..], |state| &state.targets);
            let cuts = indexes.iter().filter_map(|&index| {
                let target = self.targets.get(index);
                let cut = target.room.as_ref().map(|room| room.own)?;
                (cut.left(now) > 0).then(|| CutEntry {
                    target: target.listed.id.clone(),
                    incarnation: target.listed.incarnation,
                    places: cut.places,
                    age: now.since(cut.since),
                })
            });
            BrittleEntry {
                service: service.clone(),
                allowed: statements.own.allowed,
                heard: age(statements.own.heard),
                sound: age(statements.own.sound),
                cuts: cuts.collect(),
            }
        });
        entries.collect()
    }

    /// Applies what a peer reports of brittle targets.
    pub(crate) fn apply_brittle(&mut self, entries: &[BrittleEntry], from: &InstanceId, now: Time) {
        for entry in entries {
            let services = &mut self.limits.brittle.services;
            let heard = entry.heard.filter(|age| *age < MEMORY_TIME).map(|age| now - age);
            if heard.is_none() && !services.contains_key(&entry.service) {
                continue;
            }
            let statements = services.entry(entry.service.clone()).or_default();
            let new = Evidence {
                allowed: entry.allowed,
                heard: heard.unwrap_or_default(),
                sound: entry.sound.map_or(Time::ZERO, |age| now - age.saturating_add(PEER_MARGIN)),
            };
            statements.peers = statements.peers.merge(new);
            for cut in &entry.cuts {
                self.apply_cut(cut, now);
            }
        }
        if !entries.is_empty() {
            self.update_brittle(Some(from), now);
        }
    }

    fn apply_cut(&mut self, entry: &CutEntry, now: Time) {
        let Some(index) = self.targets.find(&entry.target) else { return };
        let target = self.targets.get_mut(index);
        let Some(room) = &mut target.room else { return };
        let new = Cut { places: entry.places, since: now - entry.age };
        if target.listed.incarnation == entry.incarnation && new.left(now) > room.peers.left(now) {
            room.peers = new;
        }
    }

    /// Records how an attempt at a brittle target ended.
    pub(crate) fn record_brittle_end(&mut self, index: Index, outcome: AttemptOutcome, now: Time) {
        let target = self.targets.get_mut(index);
        let failures = target.failures();
        let Some(room) = &mut target.room else { return };
        let totals = &mut self.limits.brittle.totals;
        match outcome {
            AttemptOutcome::Declined => {
                let rest = self.rng.random_range(REST_MS.0..REST_MS.1);
                room.record_rejection(Duration::from_millis(rest), now);
                totals.rejections += 1;
                self.update_brittle(None, now);
            }
            AttemptOutcome::Unconnected if failures == 1 => totals.falls += 1,
            AttemptOutcome::Expired | AttemptOutcome::Silent => room.record_cancel(now),
            _ => {}
        }
    }

    /// Records that an attempt was cancelled.
    pub(crate) fn record_cancel(&mut self, index: Index, now: Time) {
        if let Some(room) = &mut self.targets.get_mut(index).room {
            room.record_cancel(now);
        }
    }

    /// Divides the places at brittle targets again, after the instances with a share have changed.
    pub(crate) fn share_brittle(&mut self, now: Time) {
        self.limits.brittle.stale = true;
        self.update_brittle(None, now);
    }

    /// Updates which targets are brittle, and this instance's places there, after statements or rooms
    /// may have changed. A peer has reported the change if there is a `source`.
    pub(crate) fn update_brittle(&mut self, source: Option<&InstanceId>, now: Time) {
        if self.limits.brittle.services.is_empty() {
            return;
        }
        let mut services = std::mem::take(&mut self.limits.brittle.services);
        let mut totals =
            BrittleTotals { targets: 0, room: 0, share: 0, ..self.limits.brittle.totals };
        services.retain(|service, statements| {
            let all = statements.own.merge(statements.peers);
            let allowed = all.holds().then_some(all.allowed);
            let before = std::mem::replace(&mut statements.allowed, allowed);
            if before.is_none() {
                statements.source = source.cloned();
            }
            let sum = self.set_rooms(service, allowed, now);
            if before.is_some() != allowed.is_some() {
                self.limits.brittle.changes.push(BrittleChange {
                    service: service.clone(),
                    allowed,
                    targets: sum.targets,
                    room: sum.room,
                    share: sum.share,
                    source: statements.source.clone(),
                });
            }
            if allowed.is_some() {
                totals.targets += sum.targets;
                totals.room += sum.room;
                totals.share += sum.share;
            }
            allowed.is_some() || now.since(all.heard) < MEMORY_TIME
        });
        self.limits.brittle.services = services;
        self.limits.brittle.stale = false;
        self.limits.brittle.totals = totals;
    }

    /// Sets the rooms of a service's targets, or removes them unless the targets are brittle.
    fn set_rooms(&mut self, service: &ServiceId, allowed: Option<u32>, now: Time) -> BrittleTotals {
        let mut sum = BrittleTotals::default();
        let Some(state) = self.services.get(service) else { return sum };
        let per_slot = state.requests_per_slot();
        let is_sending = self.is_sharing();
        let is_stale = self.limits.brittle.stale;
        for &index in &state.targets {
            sum.targets += 1;
            let target = self.targets.get_mut(index);
            let Some(allowed) = allowed else {
                target.room = None;
                continue;
            };
            let mut room = target.room.take().unwrap_or_default();
            let total = room_of(target, per_slot, allowed, room.cut(now));
            if is_stale || total != room.total {
                room.total = total;
                let (total, instances) = (total as usize, self.sharers.instances());
                let position = || self.sharers.position_at(&target.listed, &self.me, now);
                let share = if is_sending { whole_share(total, instances, position) } else { 0 };
                room.places = share as u32;
                room.allowed = (allowed / (instances.min(total) as u32)).max(1);
            }
            sum.room += room.total;
            sum.share += room.places;
            target.room = Some(room);
        }
        sum
    }

    /// Refuses a request that waits for targets at which this instance has no place at all.
    pub(crate) fn refuse_without_place(&mut self, ticket: Ticket, service: &ServiceId, now: Time) {
        if self.limits.brittle.totals.targets == 0 {
            return;
        }
        let Some(state) = self.services.get(service) else { return };
        let usable = state.targets.iter().map(|&index| self.targets.get(index));
        let mut usable = usable.filter(|target| target.is_usable(now)).peekable();
        let has_place = |target: &Target| target.room.as_ref().is_none_or(|room| room.places > 0);
        if usable.peek().is_none() || usable.any(has_place) {
            return;
        }
        if let Some(request) = self.requests.remove(&ticket) {
            self.abandon(ticket, request, now);
        }
    }

    /// Returns the brittle targets as known to this instance.
    pub fn brittle_totals(&self) -> BrittleTotals {
        self.limits.brittle.totals
    }

    /// Returns the beginnings and ends of brittle times since the last call.
    pub fn take_brittle_changes(&mut self) -> Vec<BrittleChange> {
        std::mem::take(&mut self.limits.brittle.changes)
    }
}

/// Returns the places of all instances together at a target: its slots, those in excess of them that
/// would be used otherwise too, as far as the rejections allow, less those that rejections cost.
fn room_of(target: &Target, per_slot: f64, allowed: u32, cut: u32) -> u32 {
    let slots = f64::from(target.listed.slots);
    let excess = (slots * (per_slot - 1.0)).min(f64::from(allowed) * EXCESS_FRACTION);
    let most = (slots + excess).floor();
    (most - f64::from(cut)).max(slots * MIN_ROOM_FRACTION).max(1.0) as u32
}
