//! Entry point of the crate: takes events and returns actions.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sesamewind_protocol::relay::{LeavingEntry, RelayUpdate, StorePosition, TargetLoad};
use sesamewind_protocol::{
    Incarnation, InstanceId, PartId, Revision, ServiceId, Time, VersionId, ZoneId,
};

use crate::admission::StatedTimes;
use crate::arrival::Ticket;
use crate::budget::RetryReport;
use crate::evacuation::Evacuations;
use crate::event::{Action, Event};
use crate::groups::Members;
use crate::limits::Limits;
use crate::limits::cold::ColdListing;
use crate::peers::Peers;
use crate::quarantine::{PartChange, Quarantine, SavedPart};
use crate::quota::{Quotas, SavedUsage};
use crate::reach::Reach;
use crate::request::{Request, State};
use crate::rollouts::{
    Conclusion, RolledBack, RolloutOrder, RolloutRecord, RolloutStatus, Rollouts, VersionSlots,
};
use crate::selection;
use crate::service::ServiceState;
use crate::sharers::Sharers;
use crate::shares::FairShares;
use crate::table::RouteTable;
use crate::targets::{TargetChange, Targets, Usability};
use crate::tuning::Tuning;

/// Fraction of the drain bound during which a suspect target may still be used after its removal
/// from the list was seen. The rest covers the time until the removal is seen here, and requests in
/// transit to the target.
const DRAIN_FRACTION: f64 = 0.6;

/// Time after a stall of the instance in which it reads the answers that have arrived meanwhile. A
/// waiting request may get the slot of one of them.
const STALL_READ_TIME: Duration = Duration::from_millis(250);

/// Identity of this instance.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address of the instance's internal listener.
    pub address: String,
}

/// Decides how one instance handles its requests, targets, account limits and rollouts.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) me: Identity,
    pub(crate) tuning: Tuning,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) table: Option<Arc<RouteTable>>,
    pub(crate) services: HashMap<ServiceId, ServiceState>,
    pub(crate) targets: Targets,
    pub(crate) requests: HashMap<Ticket, Request>,
    pub(crate) quotas: Quotas,
    pub(crate) rollouts: Rollouts,
    pub(crate) peers: Peers,
    pub(crate) sharers: Sharers,
    pub(crate) quarantine: Quarantine,
    pub(crate) limits: Limits,
    pub(crate) evacuations: Evacuations,
    pub(crate) reach: Reach,
    pub(crate) stated: StatedTimes,
    pub(crate) shares: FairShares,
    /// Instances of this availability zone, if there are enough instances to form groups.
    members: Members,
    pub(crate) stopping: bool,
    /// When the target list became readable again after the last outage.
    pub(crate) list_restored: Option<Time>,
    pub(crate) list_lost: bool,
    list_read: bool,
    /// Until when the instance reads what has arrived during its last stall.
    pub(crate) read_until: Time,
    /// End and length of that stall.
    last_stall: (Time, Duration),
    /// Whether the load balancer should stop sending callers.
    unready: bool,
    sequence: u64,
    pub(crate) out: Vec<Action>,
}

impl Gateway {
    /// Creates the gateway of the instance `me`; `seed` initializes its random choices.
    pub fn new(me: Identity, tuning: Tuning, seed: u64) -> Self {
        let quotas = Quotas::new(tuning.quota, tuning.joined, me.incarnation, seed);
        Self {
            me,
            rng: ChaCha8Rng::seed_from_u64(seed),
            table: None,
            services: HashMap::new(),
            targets: Targets::default(),
            requests: HashMap::new(),
            quotas,
            rollouts: Rollouts::default(),
            peers: Peers::default(),
            sharers: Sharers::default(),
            quarantine: Quarantine::default(),
            limits: Limits::default(),
            evacuations: Evacuations::default(),
            reach: Reach::new(seed),
            stated: StatedTimes::default(),
            shares: FairShares::default(),
            members: Members::default(),
            stopping: false,
            list_restored: None,
            list_lost: false,
            list_read: false,
            read_until: Time::ZERO,
            last_stall: (Time::ZERO, Duration::ZERO),
            unready: false,
            sequence: 0,
            out: Vec::new(),
            tuning,
        }
    }

    /// Returns a copy whose open requests are neither sent nor answered.
    pub(crate) fn preview(&self) -> Self {
        Self {
            me: self.me.clone(),
            tuning: self.tuning.clone(),
            rng: self.rng.clone(),
            table: self.table.as_ref().map(Arc::clone),
            services: self.services.clone(),
            targets: self.targets.clone(),
            requests: self.requests.iter().map(|(&key, one)| (key, one.preview())).collect(),
            quotas: self.quotas.clone(),
            rollouts: self.rollouts.clone(),
            peers: self.peers.clone(),
            sharers: self.sharers.clone(),
            quarantine: self.quarantine.clone(),
            limits: self.limits.clone(),
            evacuations: self.evacuations.clone(),
            reach: self.reach.clone(),
            stated: self.stated.clone(),
            shares: self.shares.clone(),
            members: self.members.clone(),
            out: Vec::new(),
            ..*self
        }
    }

    /// Processes an event at `now` and returns the resulting actions.
    pub fn handle(&mut self, event: Event<'_>, now: Time) -> Vec<Action> {
        self.sharers.record_start(now);
        match event {
            Event::Arrive(arrival) => self.arrive(arrival, false, now),
            Event::ArrivePassed(arrival) => self.arrive(arrival, true, now),
            Event::Started(ticket) => self.started(ticket, now),
            Event::Streamed(ticket, events, pause) => self.streamed(ticket, events, pause),
            Event::Paced(ticket, pace) => self.paced(ticket, pace, now),
            Event::TargetLeaving(ticket) => self.target_leaving(ticket, now),
            Event::TargetResting(ticket, rest) => self.target_resting(ticket, rest, now),
            Event::TargetLimit(ticket, rate) => self.target_limit(ticket, rate, now),
            Event::TargetCold(ticket, left) => self.target_cold(ticket, left, now),
            Event::TargetBrittle(ticket, allowed) => self.target_brittle(ticket, allowed, now),
            Event::Silent(ticket) => self.silent(ticket, now),
            Event::SilenceEnded(ticket) => self.silence_ended(ticket, now),
            Event::Slow(ticket, second) => self.slow(ticket, second, now),
            Event::Superseded(ticket, outcome) => self.superseded(ticket, outcome, now),
            Event::Ended(ticket, outcome) => self.ended(ticket, outcome, now),
            Event::PassEnded(ticket, outcome) => self.pass_ended(ticket, outcome, now),
            Event::ConnectionBroke(ticket) => self.connection_broke(ticket, now),
            Event::Probed(target, result) => self.probed(target, result, now),
            Event::CallerLeft(ticket) => self.caller_left(ticket, now),
            Event::Configured(table) => self.configure(table, now),
            Event::Listed(changes) => self.apply_changes(changes, now),
            Event::ListedAll(changes) => self.apply_full_list(changes, now),
            Event::ListLost => self.list_lost = true,
            Event::ListRestored => {
                if std::mem::take(&mut self.list_lost) {
                    self.list_restored = Some(now);
                }
            }
            Event::StoreEra(era) => self.rollouts.enter_era(era),
            Event::ListedFromCopy(changes) => self.apply_copied_list(changes, now),
            Event::ZonesChanged(report) => self.change_zones(&report, now),
            Event::ZonesRead(report) => self.read_zones(&report, now),
            Event::RolloutOrdered(order) => self.rollouts.add_order(order, now),
            Event::PeerUpdate(update) => self.apply_update(update, now),
            Event::Tick => self.tick(now),
            Event::Stalled(length) => self.end_stall(length, now),
            Event::Stop => {
                self.stopping = true;
                self.share_limits(now);
            }
        }
        std::mem::take(&mut self.out)
    }

    /// Returns the active configuration.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Returns the revision of the active configuration; zero if there is none.
    pub fn revision(&self) -> Revision {
        self.table.as_ref().map_or(Revision(0), |table| table.revision)
    }

    /// Returns whether requests can be served: a configuration is active, the target list has been
    /// read, and the instance has not been set unready.
    pub fn is_ready(&self) -> bool {
        self.table.is_some() && self.list_read && !self.unready
    }

    /// Returns whether this instance learns of store changes from peers.
    pub fn follows_peers(&self, now: Time) -> bool {
        self.peers.follows(&self.me.instance, now)
    }

    /// Returns whether there are so many instances that most of them learn of store changes from
    /// peers.
    pub fn shares_watch(&self) -> bool {
        self.peers.shares_watch()
    }

    /// Returns whether this instance and the peer `name` share targets, and so should exchange
    /// their state often.
    pub fn shares_targets(&self, name: &InstanceId) -> bool {
        self.members.is_same_group(&self.me.instance, name)
    }

    /// Adds announced peers, including those from which no update has been received yet.
    pub fn expect_peers(&mut self, peers: &[(&InstanceId, &ZoneId)], now: Time) {
        self.quotas.expect_peers(peers.iter().map(|(name, _)| *name), now);
        self.sharers.expect(peers.iter().copied(), now);
    }

    /// Returns the usage of account limits to save outside of the instances. Empty unless this
    /// instance is the one that saves.
    pub fn usage_to_save(&mut self, now: Time) -> Vec<SavedUsage> {
        if !self.peers.is_first(&self.me.instance, now) {
            return Vec::new();
        }
        self.quotas.to_save(now)
    }

    /// Returns whether saved usage from before this instance's start should be read.
    pub fn needs_saved_usage(&self) -> bool {
        self.tuning.joined
    }

    /// Restores the usage of account limits that was saved `age` ago.
    pub fn restore_usage(&mut self, saved: &[SavedUsage], age: Duration, now: Time) {
        self.quotas.restore(saved, age, now);
    }

    /// Evaluates the rollouts in progress. Returns the new versions that have just been rolled
    /// back.
    pub fn evaluate_rollouts(&mut self, now: Time) -> Vec<RolledBack> {
        self.rollouts.expect_instances(1 + self.peers.count_of_many());
        let (services, targets) = (&self.services, &self.targets);
        let slots = |service: &ServiceId, version: &VersionId| {
            let state = services.get(service);
            state.map_or_else(VersionSlots::default, |state| {
                targets.rollout_slots(&state.targets, version, now)
            })
        };
        self.rollouts.evaluate(slots, now)
    }

    /// Returns the changes of prompt parts since the last call.
    pub fn take_part_changes(&mut self) -> Vec<PartChange> {
        self.quarantine.take_changes()
    }

    /// Returns the prompt parts to save outside of the instances, each with its hold if its requests
    /// are refused. Empty unless this instance is the one that saves.
    pub fn parts_to_save(&mut self, now: Time) -> Vec<(PartId, Option<SavedPart>)> {
        if !self.peers.is_first(&self.me.instance, now) {
            return Vec::new();
        }
        self.quarantine.parts_to_save(now)
    }

    /// Has a prompt part saved again, since it could not be.
    pub fn retry_part(&mut self, part: PartId) {
        self.quarantine.retry_save(part);
    }

    /// Holds prompt parts that were saved.
    pub fn restore_parts(&mut self, saved: &[SavedPart], now: Time) {
        self.quarantine.restore(saved, now);
        self.refuse_quarantined(now);
    }

    /// Returns whether prompt parts that peers have saved should be read, since targets end and peers
    /// are silent.
    pub fn needs_saved_parts(&self, now: Time) -> bool {
        self.peers.has_silent(now) && self.quarantine.has_suspects(now)
    }

    /// Returns the number of prompt parts whose requests are refused.
    pub fn held_parts(&self) -> usize {
        self.quarantine.held_parts()
    }

    /// Returns whether the rollout of this order is the latest known one of its service.
    pub fn knows_order(&self, order: &RolloutOrder) -> bool {
        self.rollouts.knows(order)
    }

    /// Returns the statuses of running rollouts that are due for a log line.
    pub fn due_rollout_statuses(&mut self, now: Time) -> Vec<RolloutStatus> {
        self.rollouts.due_statuses(now)
    }

    /// Returns the rollout records that this instance should write to the store now.
    pub fn rollouts_to_record(&mut self, now: Time) -> Vec<RolloutRecord> {
        let position = self.peers.position(&self.me.instance, now);
        self.rollouts.pending_records(position, now)
    }

    /// Returns the outcomes of rollouts that this instance has concluded since the last call.
    pub fn take_rollout_conclusions(&mut self) -> Vec<Conclusion> {
        self.rollouts.take_conclusions()
    }

    /// Applies a rollout record that was read from the store.
    pub fn rollout_recorded(&mut self, record: &RolloutRecord, now: Time) {
        self.rollouts.apply_record(record, now);
    }

    /// Applies new limits and weights.
    pub fn retune(&mut self, tuning: Tuning, now: Time) {
        for service in self.services.values_mut() {
            service.budget.retune(tuning.retry_ratio, tuning.retry_extra, tuning.retry_window);
        }
        let accounts = self.table.iter().flat_map(|table| table.accounts());
        self.quotas.retune(tuning.quota, accounts.map(Arc::as_ref), now);
        self.tuning = tuning;
    }

    /// Returns the use of the retry budget of each service with attempts since the last call.
    pub fn take_retry_reports(&mut self, now: Time) -> Vec<(ServiceId, RetryReport)> {
        let share = self.retry_share(now);
        let reports = self.services.iter_mut().filter_map(|(name, service)| {
            Some((name.clone(), service.budget.take_report(share, now)?))
        });
        reports.collect()
    }

    /// Makes the instance report that it is not ready. Requests that still arrive are served.
    pub fn set_unready(&mut self) {
        self.unready = true;
    }

    /// Returns the number of requests that wait or are at targets.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns how many other requests of this instance are at the target of the request `ticket`.
    pub fn others_at_target(&self, ticket: Ticket) -> u32 {
        let Some(Request { state: State::InFlight(attempt), .. }) = self.requests.get(&ticket)
        else {
            return 0;
        };
        self.targets.get(attempt.target).own_requests.saturating_sub(1)
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.services.values().map(|service| service.queue.len()).sum()
    }

    /// Returns this instance's state for the peer `to`. `list_position` is the newest position of
    /// the target list known here, and `checked` the time of the last contact with the store. The
    /// position of the configuration's rows is left to the caller.
    pub fn peer_update(
        &mut self,
        to: &InstanceId,
        list_position: StorePosition,
        checked: Time,
        now: Time,
    ) -> RelayUpdate {
        let usage = self.quotas.report(to, now);
        let parts = self.quarantine.reports(to, now);
        let limits = self.limit_entries(now);
        let cold = self.cold_entries(now);
        self.sequence += 1;
        // Requests of an instance that is cut off don't reach their targets.
        let is_cut_off = self.is_cut_off();
        let loads =
            self.targets.iter().filter(|(_, target)| target.own_requests > 0 && !is_cut_off);
        let loads = loads.map(|(_, target)| TargetLoad {
            target: target.listed.id.clone(),
            requests: target.own_requests,
            prefill: target.own_prefill,
            pause: target.pauses.average_ms(),
            streams: target.pauses.streams(),
        });
        let leaving = self.targets.iter().filter(|(_, target)| target.should_report_leaving(now));
        let leaving = leaving.map(|(_, target)| LeavingEntry {
            target: target.listed.id.clone(),
            incarnation: target.listed.incarnation,
        });
        let failing = self.targets.iter().filter(|(_, target)| target.is_failing(now));
        let failing = failing.map(|(_, target)| target.listed.id.clone());
        RelayUpdate {
            from: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            zone: self.me.zone.clone(),
            address: self.me.address.clone(),
            sequence: self.sequence,
            revision: self.revision(),
            list_position,
            store_age: now.since(checked),
            joining: usage.joining,
            loads: loads.collect(),
            totals: usage.totals,
            leaving: leaving.collect(),
            failing: failing.collect(),
            rollouts: self.rollouts.progress(now),
            unheard: usage.unheard,
            relayed: usage.relayed,
            parts,
            limits,
            stopping: self.stopping,
            config_position: StorePosition::default(),
            evacuations: self.evacuations.report(),
            cold,
            brittle: self.brittle_entries(now),
            reach: Some(self.reach.report(now)),
        }
    }

    fn configure(&mut self, table: Arc<RouteTable>, now: Time) {
        if table.revision <= self.revision() {
            return;
        }
        for service in &table.services {
            let state = self
                .services
                .entry(service.name.clone())
                .or_insert_with(|| ServiceState::new(&self.tuning));
            state.model = service.model;
            state.cold = service.cold;
            state.top_rank = table.top_rank(&service.name);
        }
        self.quotas.configure(table.accounts().iter().map(Arc::as_ref), now);
        self.table = Some(table);
        self.dispatch_all_waiting(now);
    }

    fn apply_changes(&mut self, changes: Vec<TargetChange>, now: Time) {
        let is_first = !std::mem::replace(&mut self.list_read, true);
        let suspect_until = self.suspect_until(now);
        let mut listings = Vec::new();
        for change in changes {
            listings.extend(ColdListing::of(&change));
            let Some(index) = self.targets.apply(change, suspect_until) else { continue };
            let service = self.targets.get(index).listed.service.clone();
            let state =
                self.services.entry(service).or_insert_with(|| ServiceState::new(&self.tuning));
            if !state.targets.contains(&index) {
                state.targets.push(index);
            }
        }
        let targets = &mut self.targets;
        for service in self.services.values_mut() {
            service.targets.retain(|&index| targets.get(index).usability != Usability::Retired);
        }
        for (name, service) in &self.services {
            self.rollouts.observe_versions(
                name,
                &self.targets.version_slots(&service.targets),
                now,
            );
        }
        self.mark_evacuated();
        self.prefer_targets();
        self.find_limited(now);
        for listing in &listings {
            self.record_listing(listing, is_first, now);
        }
        self.dispatch_all_waiting(now);
        self.refuse_barred(now);
    }

    /// Updates the groups after instances were added or removed.
    fn regroup(&mut self) {
        self.members = if self.peers.shares_watch() {
            let peers = self.peers.in_zone(&self.me.zone).cloned();
            Members::new(peers.chain([self.me.instance.clone()]))
        } else {
            Members::default()
        };
        self.prefer_targets();
    }

    pub(crate) fn prefer_targets(&mut self) {
        let position = self.members.position(&self.me.instance);
        for service in self.services.values() {
            selection::mark_preferred(&mut self.targets, &service.targets, &self.me, position);
        }
    }

    /// Returns the number of slots to leave free at targets of other groups.
    pub(crate) fn margin(&self) -> u32 {
        if self.peers.shares_watch() { selection::OTHER_GROUP_MARGIN } else { 0 }
    }

    fn apply_full_list(&mut self, mut changes: Vec<TargetChange>, now: Time) {
        let missing = self.targets.iter().filter(|(_, target)| {
            target.usability != Usability::Retired
                && !changes.iter().any(|change| {
                    matches!(change, TargetChange::Listed(listed) if listed.id == target.listed.id)
                })
        });
        let missing: Vec<_> =
            missing.map(|(_, target)| TargetChange::Removed(target.listed.id.clone())).collect();
        changes.extend(missing);
        self.apply_changes(changes, now);
    }

    /// Applies the target list of an older copy of the store. Targets that it does not contain stay
    /// usable for a while, since they may have registered later and will register again. Those that
    /// are known to be gone stay unused until they register again.
    fn apply_copied_list(&mut self, mut changes: Vec<TargetChange>, now: Time) {
        changes.retain(|change| match change {
            TargetChange::Listed(listed) => !self.targets.is_retired(listed),
            TargetChange::Removed(_) => true,
        });
        self.list_restored = Some(now);
        self.apply_full_list(changes, now);
    }

    /// Returns until when a target that is removed now stays usable, or `None` if it does not.
    ///
    /// During a list outage, entries of live targets may have expired. These targets are listed
    /// again soon after the outage.
    fn suspect_until(&self, now: Time) -> Option<Time> {
        let until = self.list_restored? + self.tuning.removal_grace;
        let drained = now + self.tuning.drain.mul_f64(DRAIN_FRACTION);
        (now < until).then_some(until.min(drained))
    }

    fn apply_update(&mut self, update: &RelayUpdate, now: Time) {
        if update.from == self.me.instance
            || !self.peers.apply_update(update, &mut self.targets, now)
        {
            return;
        }
        let version = (update.incarnation, update.sequence);
        self.quotas.apply_report(&update.from, version, update.into(), now);
        self.rollouts.apply_progress(&update.from, update.incarnation, &update.rollouts, now);
        if update.stopping {
            self.sharers.record_stop(&update.from, now);
        } else {
            self.sharers.record_update(&update.from, &update.zone, now);
        }
        self.reach.apply_update(update, &self.targets, now);
        self.update_shares(now);
        self.apply_limits(&update.limits, &update.from, now);
        self.apply_cold(&update.cold, now);
        self.apply_brittle(&update.brittle, &update.from, now);
        if self.peers.take_change() {
            self.regroup();
        }
        // Instances of other availability zones may have no connection to targets that this one can
        // reach.
        if update.zone == self.me.zone {
            for failing in &update.failing {
                self.targets.apply_warning(failing, now);
            }
        }
        for report in &update.parts {
            self.quarantine.apply_report(report, now);
        }
        self.refuse_quarantined(now);
        self.read_zones(&update.evacuations, now);
        for entry in &update.leaving {
            self.targets.retire(&entry.target, entry.incarnation, now);
        }
        self.dispatch_all_waiting(now);
    }

    fn tick(&mut self, now: Time) {
        self.peers.expire(&mut self.targets, now);
        self.quarantine.expire(|name| self.peers.is_known(name), now);
        self.confirm_breaks(now);
        self.update_shares(now);
        self.expire_cold(now);
        self.update_brittle(None, now);
        if self.peers.take_change() {
            self.regroup();
        }
        self.update_reach(now);
        self.dispatch_all_waiting(now);
        self.expire_waiting(now);
    }

    /// Leaves time to read what has arrived during a stall, which is no silence of peers either.
    fn end_stall(&mut self, length: Duration, now: Time) {
        self.peers.postpone(length, now);
        self.sharers.postpone(length, now);
        self.read_until = now + STALL_READ_TIME;
        self.last_stall = (now, length);
        self.record_stall(length, now);
    }

    /// Returns the time that a target took from `from`, for an answer or a part of it that is read at
    /// `now`. It may have arrived during a stall that has just ended, so that stall is left out.
    pub fn elapsed(&self, from: Time, now: Time) -> Duration {
        let (end, length) = self.last_stall;
        let is_late = from < end && now < self.read_until;
        let stalled = if is_late { length } else { Duration::ZERO };
        now.since(from).saturating_sub(stalled)
    }
}
