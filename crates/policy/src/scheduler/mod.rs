//! The scheduler, which takes events and returns actions.
//!
//! The submodules hold the parts of [`Scheduler`]: `arrive` admits requests, `dispatch` sends them
//! to targets, `in_flight`, `silence` and `end` follow them to their end, and `lookup` and `peers`
//! handle messages of peers.

mod arrive;
mod dispatch;
mod end;
mod in_flight;
mod lookup;
mod peers;
mod request;
mod service;
mod silence;
mod timer;
mod views;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sesamewind_protocol::record::{InstanceIncarnation, RecordsCopy};
use sesamewind_protocol::{ServiceId, TargetId, Time, WallTime};

use crate::accounts::Accounts;
use crate::action::Action;
use crate::config::{Config, Limits, Tier};
use crate::event::{Event, Ticket};
use crate::floor::Floors;
use crate::join::Join;
use crate::records::Records;
use crate::target::TargetState;
use crate::version::VersionChooser;
use crate::view::Counters;

use request::Request;
use service::ServiceState;

/// Inputs that come with every event.
#[derive(Clone, Copy)]
struct Context<'a> {
    versions: &'a dyn VersionChooser,
    now: Time,
    wall: WallTime,
}

/// Decides about all traffic of one instance.
#[derive(Debug)]
pub struct Scheduler {
    me: InstanceIncarnation,
    rng: ChaCha8Rng,
    limits: Limits,
    /// Sorted by rank, the most urgent first.
    tiers: Vec<Tier>,
    services: Vec<ServiceState>,
    service_index: HashMap<ServiceId, usize>,
    targets: Vec<TargetState>,
    target_index: HashMap<TargetId, usize>,
    requests: HashMap<Ticket, Request>,
    /// Times at which requests expire. Entries of requests that already ended are skipped.
    deadlines: BinaryHeap<Reverse<(Time, Ticket)>>,
    /// Requests set aside because no usable target has their version.
    parked: Vec<Ticket>,
    records: Records,
    join: Join,
    accounts: Accounts,
    /// This instance's share of the demand on all instances.
    own_share: f64,
    floors: Floors,
    counters: Counters,
    stopped: bool,
    last: Time,
    last_wall: WallTime,
    last_sweep: Time,
    out: Vec<Action>,
}

impl Scheduler {
    /// Creates a scheduler for `me`, one incarnation of an instance. `seed` determines its random
    /// choices.
    pub fn new(config: &Config, me: InstanceIncarnation, seed: u64) -> Self {
        let limits = config.limits.clone();
        let mut this = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            tiers: Vec::new(),
            services: Vec::new(),
            service_index: HashMap::new(),
            targets: Vec::new(),
            target_index: HashMap::new(),
            requests: HashMap::new(),
            deadlines: BinaryHeap::new(),
            parked: Vec::new(),
            records: Records::new(me.clone(), &limits),
            join: Join::new(me.clone()),
            accounts: Accounts::default(),
            own_share: 1.0,
            floors: Floors::new(me.instance.clone(), limits.floor_hold),
            counters: Counters::default(),
            stopped: false,
            last: Time::ZERO,
            last_wall: WallTime::default(),
            last_sweep: Time::ZERO,
            out: Vec::new(),
            me,
            limits,
        };
        this.configure(config, Time::ZERO);
        this
    }

    /// Applies a new configuration. Learned state of services and targets that remain is kept.
    pub fn configure(&mut self, config: &Config, now: Time) {
        self.limits = config.limits.clone();
        self.records.configure(&config.limits);
        self.floors.set_hold(config.limits.floor_hold);
        self.accounts.configure(&config.accounts);
        self.tiers.clone_from(&config.tiers);
        self.tiers.sort_by_key(|tier| tier.rank);
        self.configure_services(config);
        self.configure_targets(config);
        for service in &mut self.services {
            service.assign_long_targets(&config.limits, now);
        }
    }

    fn configure_services(&mut self, config: &Config) {
        for service in &mut self.services {
            service.active = false;
            service.targets.clear();
            service.retries.configure(config.limits.retry_ratio, config.limits.retry_burst);
        }
        for service in &config.services {
            let index = *self.service_index.entry(service.id.clone()).or_insert_with(|| {
                let state = ServiceState::new(service.id.clone(), service.kind, &config.limits);
                self.services.push(state);
                self.services.len() - 1
            });
            self.services[index].active = true;
            self.services[index].kind = service.kind;
        }
    }

    fn configure_targets(&mut self, config: &Config) {
        for target in &mut self.targets {
            target.active = false;
        }
        for target in &config.targets {
            let Some(service) = self.service_index.get(&target.service).copied() else { continue };
            let index = *self.target_index.entry(target.id.clone()).or_insert_with(|| {
                self.targets.push(TargetState::new(target.id.clone(), service));
                self.targets.len() - 1
            });
            self.targets[index].active = true;
            self.targets[index].service = service;
            self.services[service].targets.push(index);
        }
        let targets = &self.targets;
        for service in &mut self.services {
            // The order is the same on every instance, and names or zones that sort together are
            // spread.
            service.targets.sort_by_key(|index| {
                let name = targets[*index].id.as_str();
                (crate::event::prefix_hash(name), name)
            });
        }
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(
        &mut self,
        event: Event<'_>,
        versions: &dyn VersionChooser,
        now: Time,
        wall: WallTime,
    ) -> Vec<Action> {
        let cx = Context { versions, now, wall };
        self.detect_freeze(now, wall);
        self.apply(event, cx);
        std::mem::take(&mut self.out)
    }

    /// Does the work that depends on time alone. Call it every 20 to 50 ms.
    pub fn tick(
        &mut self,
        versions: &dyn VersionChooser,
        now: Time,
        wall: WallTime,
    ) -> Vec<Action> {
        self.detect_freeze(now, wall);
        self.run_timers(Context { versions, now, wall });
        std::mem::take(&mut self.out)
    }

    /// Returns whether this instance may take first attempts without asking its peers.
    pub fn has_joined(&self) -> bool {
        self.join.has_joined()
    }

    /// Returns whether no request waits or runs.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns this instance's records for its peers, to be sent once it has stopped and is idle.
    /// Peers that have them don't need to ask this incarnation any more.
    pub fn hand_over(&self, now: Time) -> RecordsCopy {
        self.records.copy(None, self.join.has_joined(), now)
    }

    /// Restarts joining after a long pause, since this instance was probably frozen. Peers may have
    /// continued without it, and callers may since have sent first attempts that waited in its
    /// sockets to other instances.
    fn detect_freeze(&mut self, now: Time, wall: WallTime) {
        let frozen = now.since(self.last) > self.limits.freeze_gap;
        if frozen && self.last > Time::ZERO {
            self.join.restart();
        }
        self.last = self.last.max(now);
        self.last_wall = wall;
    }

    fn apply(&mut self, event: Event<'_>, cx: Context<'_>) {
        match event {
            Event::Arrive(arrival) => self.arrive(arrival, cx),
            Event::CallerGone { ticket } => self.caller_gone(ticket, cx),
            Event::CallerBack { ticket } => self.caller_back(ticket),
            Event::WriteCheck { ticket } => self.write_check(ticket, cx),
            Event::Accepted { ticket } => self.accepted(ticket, cx),
            Event::Tokens { ticket, n } => self.tokens(ticket, n, cx),
            Event::Finished { ticket, end } => self.finished(ticket, end, cx),
            Event::Silent { ticket } => self.silent(ticket, cx),
            Event::ProbeResult { target, ok } => self.probe_result(target, ok, cx),
            Event::TargetReport(report) => {
                self.with_target(&report.target, cx, |target| target.apply_report(report, cx.now));
            }
            Event::TargetAssumed { target, versions } => {
                self.with_target(target, cx, |target| target.assume_versions(versions));
            }
            Event::CacheEvent { target, event } => {
                let hash = crate::event::prefix_hash(&event.prefix);
                self.with_target(target, cx, |target| target.set_hint(hash, event.tokens, cx.now));
            }
            Event::TargetDown { target } => {
                if let Some(index) = self.target_index.get(target).copied() {
                    self.suspect_and_probe(index, cx);
                }
            }
            Event::TargetLeaving { target, incarnation } => {
                self.with_target(target, cx, |target| target.mark_leaving(incarnation));
            }
            Event::TargetBack { target } => self.target_back(target, cx),
            Event::Peer(update) => self.peer_update(&update, cx),
            Event::PeerSet { peers, reachable } => self.peer_set(peers, reachable, cx),
            Event::Lookup(lookup) => self.answer_lookup(lookup, cx),
            Event::LookupReply(reply) => self.lookup_reply(reply, cx),
            Event::HolderLost { ticket } => self.holder_lost(ticket),
            Event::RecordsRequest(request) => self.records_request(request, cx),
            Event::RecordsCopy(copy) => self.records_copy(copy, cx),
            Event::Stop => self.stopped = true,
        }
    }

    fn with_target(
        &mut self,
        id: &TargetId,
        cx: Context<'_>,
        change: impl FnOnce(&mut TargetState),
    ) {
        let Some(index) = self.target_index.get(id).copied() else { return };
        let usable = self.targets[index].is_usable();
        change(&mut self.targets[index]);
        // Changes of load alone are handled by the next tick.
        if !usable && self.targets[index].is_usable() {
            self.dispatch_waiting(self.targets[index].service, cx);
        }
    }

    /// Returns whether `rank` is the most urgent tier.
    fn is_urgent(&self, rank: u8) -> bool {
        self.tiers.first().is_none_or(|tier| rank <= tier.rank)
    }

    /// Returns whether no tier is less urgent than `rank`.
    fn is_lowest(&self, rank: u8) -> bool {
        self.tiers.last().is_none_or(|tier| rank >= tier.rank)
    }
}
