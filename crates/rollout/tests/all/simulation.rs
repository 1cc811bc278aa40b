//! A simulation of instances, a table service, a lease and targets that tests advance step by step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sesamewind_protocol::evidence::{Outcome, RecordEntry, RolloutRecord, Stage};
use sesamewind_protocol::record::InstanceIncarnation;
use sesamewind_protocol::{
    AccountId, Incarnation, InstanceId, RequestKey, Revision, RolloutId, RouteId, ServiceId,
    TargetId, Time, VersionId, WallTime,
};
use sesamewind_rollout::{
    Action, ClusterState, EndState, LEASE_LENGTH, LeaseGrant, Observation, OrderKind, OrderResult,
    Plan, ReadResult, RolloutEvent, RolloutSpec, Rollouts, WriteResult,
};

/// Unix time at which every simulation begins, in milliseconds.
pub(crate) const START_MS: u64 = 1_800_000_000_000;
pub(crate) const SERVICE: &str = "assistant";
pub(crate) const ROUTES: [&str; 6] = ["quote", "reply", "tag", "summary", "answer", "notes"];

pub(crate) fn id() -> RolloutId {
    RolloutId::from("move-1")
}

pub(crate) fn spec(minutes: u64, share: f64) -> RolloutSpec {
    RolloutSpec {
        id: id(),
        service: ServiceId::from(SERVICE),
        from: VersionId::from("v1"),
        to: VersionId::from("v2"),
        deadline: WallTime(START_MS + minutes * 60_000),
        first_share: share,
        targets: (0..4).map(target).collect(),
    }
}

pub(crate) fn target(number: usize) -> TargetId {
    TargetId::new(format!("engine-{number}"))
}

pub(crate) fn instance(number: usize) -> InstanceId {
    InstanceId::new(format!("entry-{number}"))
}

pub(crate) fn key(number: u64) -> RequestKey {
    RequestKey::derive(&AccountId::from("plumber"), &number.to_string())
}

/// Returns how a request ends at a version: its end state and its time to first token in
/// milliseconds. The arguments are the route and the number of the request.
pub(crate) type Behaviour = fn(&str, u64) -> (EndState, u64);

/// How the table service handles the next writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreMode {
    Up,
    /// No request reaches it.
    Down,
    /// Writes take effect, but their responses are lost.
    LosesAnswers,
}

/// A target and how it handles orders.
#[derive(Debug, Clone)]
pub(crate) struct Engine {
    pub(crate) versions: BTreeSet<VersionId>,
    pub(crate) reachable: bool,
    pub(crate) checks_fence: bool,
    pub(crate) fence: u64,
}

#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) rollouts: Rollouts,
    pub(crate) peer: InstanceIncarnation,
    /// Whether the instance has learned the records from a peer or the store. Until then it takes
    /// no requests.
    pub(crate) ready: bool,
    /// Offset of its wall clock in milliseconds.
    pub(crate) skew: i64,
    pub(crate) alive: bool,
    pub(crate) lease: Option<LeaseGrant>,
    pub(crate) zone: usize,
    /// Actions that the instance decided on while frozen and has not carried out.
    pub(crate) held_actions: Vec<Action>,
    pub(crate) frozen: bool,
    pub(crate) events: Vec<RolloutEvent>,
}

#[derive(Debug)]
pub(crate) struct Simulation {
    pub(crate) ms: u64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) rows: BTreeMap<RolloutId, (u64, RolloutRecord)>,
    pub(crate) history: Vec<RolloutRecord>,
    /// Time at which each record of the history took effect.
    pub(crate) stored_ms: Vec<u64>,
    pub(crate) store: StoreMode,
    pub(crate) engines: BTreeMap<TargetId, Engine>,
    pub(crate) lease: Option<(usize, u64)>,
    pub(crate) fence: u64,
    pub(crate) orders: Vec<(u64, TargetId, OrderKind)>,
    /// Time that a target takes to load a version, in milliseconds.
    pub(crate) load_ms: u64,
    pub(crate) loading: Vec<(u64, TargetId, VersionId)>,
    pub(crate) peak_loads: usize,
    pub(crate) harmful_unloads: usize,
    pub(crate) cut_zone: Option<usize>,
    pub(crate) specs: Vec<RolloutSpec>,
    pub(crate) revision: u64,
    pub(crate) requests: u64,
    pub(crate) restarts: u64,
    /// The instance that has a request in flight to the old version.
    pub(crate) draining: Option<usize>,
}

/// One instance's view of the simulation.
struct NodeView<'a> {
    engines: &'a BTreeMap<TargetId, Engine>,
    peers: Vec<InstanceIncarnation>,
    old_requests: u32,
}

impl ClusterState for NodeView<'_> {
    fn versions(&self, target: &TargetId) -> Option<Vec<VersionId>> {
        let engine = self.engines.get(target).filter(|engine| engine.reachable)?;
        Some(engine.versions.iter().cloned().collect())
    }

    fn peers(&self) -> Vec<InstanceIncarnation> {
        self.peers.clone()
    }

    fn in_flight(&self, _service: &ServiceId, version: &VersionId) -> u32 {
        if version.as_str() == "v1" { self.old_requests } else { 0 }
    }
}

impl Simulation {
    pub(crate) fn new(nodes: usize, specs: &[RolloutSpec]) -> Self {
        let engine = Engine {
            versions: BTreeSet::from([VersionId::from("v1")]),
            reachable: true,
            checks_fence: false,
            fence: 0,
        };
        let mut sim = Self {
            ms: START_MS,
            nodes: Vec::new(),
            rows: BTreeMap::new(),
            history: Vec::new(),
            stored_ms: Vec::new(),
            store: StoreMode::Up,
            engines: (0..4).map(|number| (target(number), engine.clone())).collect(),
            lease: None,
            fence: 0,
            orders: Vec::new(),
            load_ms: 0,
            loading: Vec::new(),
            peak_loads: 0,
            harmful_unloads: 0,
            cut_zone: None,
            specs: Vec::new(),
            revision: 0,
            requests: 0,
            restarts: 0,
            draining: None,
        };
        for number in 0..nodes {
            let node = Node { ready: true, ..sim.new_node(number) };
            sim.nodes.push(node);
        }
        sim.submit(specs);
        sim
    }

    fn new_node(&self, number: usize) -> Node {
        let incarnation = Incarnation(self.ms + self.restarts);
        let peer = InstanceIncarnation { instance: instance(number), incarnation };
        let mut rollouts = Rollouts::new(peer.instance.clone(), incarnation);
        if self.revision > 0 {
            rollouts.configure(&self.specs, Revision(self.revision), WallTime(self.ms));
        }
        Node {
            rollouts,
            peer,
            ready: false,
            skew: 0,
            alive: true,
            lease: None,
            zone: number % 3,
            held_actions: Vec::new(),
            frozen: false,
            events: Vec::new(),
        }
    }

    /// Replaces an instance by a new incarnation that knows only the configuration.
    pub(crate) fn restart(&mut self, number: usize) {
        self.restarts += 1;
        self.nodes[number] = self.new_node(number);
    }

    /// Accepts a sheet and applies it on every instance that is not cut off.
    pub(crate) fn submit(&mut self, specs: &[RolloutSpec]) {
        self.revision += 1;
        self.specs = specs.to_vec();
        for number in 0..self.nodes.len() {
            if Some(self.nodes[number].zone) != self.cut_zone {
                self.configure(number);
            }
        }
    }

    pub(crate) fn configure(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        node.rollouts.configure(&self.specs, Revision(self.revision), WallTime(self.ms));
    }

    pub(crate) fn wall(&self) -> WallTime {
        WallTime(self.ms)
    }

    /// Returns the time of an instance's own wall clock.
    pub(crate) fn wall_of(&self, number: usize) -> WallTime {
        WallTime(self.ms.saturating_add_signed(self.nodes[number].skew))
    }

    pub(crate) fn now(&self) -> Time {
        Time::from_millis(self.ms - START_MS)
    }

    fn is_connected(&self, a: usize, b: usize) -> bool {
        let side = |number: usize| Some(self.nodes[number].zone) == self.cut_zone;
        self.nodes[a].alive && self.nodes[b].alive && side(a) == side(b)
    }

    /// Renews the lease. If it is free, gives it to the first usable instance.
    pub(crate) fn renew_lease(&mut self) {
        if self.store != StoreMode::Up {
            return;
        }
        let usable = |node: &Node| node.alive && !node.frozen && Some(node.zone) != self.cut_zone;
        let held = self.lease.filter(|(_, until)| self.ms < *until).map(|(holder, _)| holder);
        let holder = held.or_else(|| self.nodes.iter().position(usable));
        let Some(holder) = holder.filter(|holder| usable(&self.nodes[*holder])) else { return };
        if held.is_none() {
            self.fence += 1;
        }
        let length = LEASE_LENGTH.as_millis() as u64;
        self.lease = Some((holder, self.ms + length));
        let valid_until = self.now() + LEASE_LENGTH;
        self.nodes[holder].lease = Some(LeaseGrant { fence: self.fence, valid_until });
    }

    pub(crate) fn tick(&mut self, number: usize) {
        if !self.nodes[number].alive {
            return;
        }
        let peers: Vec<usize> = (0..self.nodes.len())
            .filter(|peer| *peer != number && self.is_connected(number, *peer))
            .collect();
        let peers = peers.into_iter().map(|peer| self.nodes[peer].peer.clone()).collect();
        let (now, wall) = (self.now(), self.wall_of(number));
        let node = &mut self.nodes[number];
        let old_requests = u32::from(self.draining == Some(number));
        let view = NodeView { engines: &self.engines, peers, old_requests };
        let actions = node.rollouts.tick(now, wall, node.lease, &view);
        for action in actions {
            if self.nodes[number].frozen && !matches!(action, Action::Event(_)) {
                self.nodes[number].held_actions.push(action);
            } else {
                self.perform(number, action, false);
            }
        }
    }

    /// Ends the freeze of an instance and carries out the actions that it had decided on. With
    /// `skip_checks`, it leaves out the checks that an instance makes immediately before sending,
    /// as if it had frozen after them.
    pub(crate) fn resume(&mut self, number: usize, skip_checks: bool) {
        self.nodes[number].frozen = false;
        for action in std::mem::take(&mut self.nodes[number].held_actions) {
            self.perform(number, action, skip_checks);
        }
    }

    fn perform(&mut self, number: usize, action: Action, skip_checks: bool) {
        match action {
            Action::Event(event) => self.nodes[number].events.push(event),
            Action::ReadRecords => {
                let up =
                    self.store != StoreMode::Down && Some(self.nodes[number].zone) != self.cut_zone;
                let rows = self.rows.iter().map(|(id, (revision, record))| RecordEntry {
                    rollout: id.clone(),
                    revision: *revision,
                    record: record.clone(),
                    draining: 0,
                });
                let result = if up { ReadResult::Rows(rows.collect()) } else { ReadResult::Failed };
                self.nodes[number].ready |= up;
                self.nodes[number].rollouts.on_read(result);
            }
            Action::WriteRecord { rollout, expected, record, before, lease_until } => {
                let expired = before.is_some_and(|before| self.wall_of(number) >= before);
                let expired = expired || self.now() >= lease_until;
                let cut = Some(self.nodes[number].zone) == self.cut_zone;
                let result = if self.store == StoreMode::Down || cut || expired && !skip_checks {
                    WriteResult::Failed
                } else {
                    self.write(&rollout, expected, record)
                };
                self.nodes[number].rollouts.on_write(&rollout, result);
            }
            Action::Order { target, fence, order, version, lease_until } => {
                let result = if self.now() >= lease_until && !skip_checks {
                    OrderResult::Failed
                } else {
                    self.order(&target, fence, order, version)
                };
                self.nodes[number].rollouts.on_order(&target, result);
            }
        }
    }

    fn write(&mut self, id: &RolloutId, expected: u64, record: RolloutRecord) -> WriteResult {
        let current = self.rows.get(id).map_or(0, |(revision, _)| *revision);
        if current != expected {
            let (revision, record) = self.rows[id].clone();
            return WriteResult::Conflict(revision, record);
        }
        self.rows.insert(id.clone(), (current + 1, record.clone()));
        self.history.push(record);
        self.stored_ms.push(self.ms);
        match self.store {
            StoreMode::LosesAnswers => WriteResult::Unknown,
            _ => WriteResult::Stored(current + 1),
        }
    }

    fn order(
        &mut self,
        name: &TargetId,
        fence: u64,
        order: OrderKind,
        version: VersionId,
    ) -> OrderResult {
        let needed = self.is_needed(&version);
        let Some(engine) = self.engines.get_mut(name) else { return OrderResult::Failed };
        if !engine.reachable {
            return OrderResult::Failed;
        }
        if engine.checks_fence && fence < engine.fence {
            return OrderResult::Fenced;
        }
        engine.fence = engine.fence.max(fence);
        self.orders.push((self.ms, name.clone(), order));
        match order {
            OrderKind::Load => {
                self.loading.push((self.ms + self.load_ms, name.clone(), version));
                self.peak_loads = self.peak_loads.max(self.loading.len());
                self.finish_loads();
            }
            OrderKind::Unload => {
                self.harmful_unloads += usize::from(needed);
                engine.versions.remove(&version);
            }
        }
        OrderResult::Done
    }

    fn finish_loads(&mut self) {
        for (due, target, version) in std::mem::take(&mut self.loading) {
            if due > self.ms {
                self.loading.push((due, target, version));
            } else if let Some(engine) = self.engines.get_mut(&target) {
                engine.versions.insert(version);
            }
        }
    }

    /// Returns whether an instance that can reach targets may still send requests to `version`.
    fn is_needed(&self, version: &VersionId) -> bool {
        let wall = self.wall();
        let service = ServiceId::from(SERVICE);
        let route = RouteId::from(ROUTES[0]);
        let live = self.nodes.iter();
        let live = live.filter(|node| node.alive && node.ready && Some(node.zone) != self.cut_zone);
        let mut sent = live.flat_map(|node| {
            (0..200).filter_map(|number| {
                node.rollouts.version_for(&service, &route, &key(number), wall)
            })
        });
        let draining = version.as_str() == "v1" && self.draining.is_some();
        draining || sent.any(|sent| sent == *version)
    }

    /// Returns the view of an instance without peers.
    pub(crate) fn node_view(&self, number: usize) -> impl ClusterState + '_ {
        let old_requests = u32::from(self.draining == Some(number));
        NodeView { engines: &self.engines, peers: Vec::new(), old_requests }
    }

    /// Exchanges all data between two connected instances, in both directions.
    pub(crate) fn exchange(&mut self, a: usize, b: usize) {
        if a == b || !self.is_connected(a, b) {
            return;
        }
        for (from, to) in [(a, b), (b, a)] {
            let sender = &self.nodes[from].rollouts;
            let (cells, verdicts) = (sender.evidence(), sender.verdicts());
            let records = sender.records(&self.node_view(from));
            let peer = self.nodes[from].peer.clone();
            self.nodes[to].ready = true;
            let receiver = &mut self.nodes[to].rollouts;
            receiver.on_peer_records(&peer, &records);
            receiver.learn_verdicts(&verdicts);
            receiver.merge(&cells);
        }
    }

    /// Sends `count` requests to the instances in turn. `old` and `new` define how requests end at
    /// each version. Returns the number of requests that reached the new version.
    pub(crate) fn traffic(&mut self, count: u64, old: Behaviour, new: Behaviour) -> u64 {
        let service = ServiceId::from(SERVICE);
        let mut exposed = 0;
        for _ in 0..count {
            let number = self.requests;
            self.requests += 1;
            let live: Vec<usize> =
                (0..self.nodes.len()).filter(|number| self.nodes[*number].ready).collect();
            let live: Vec<usize> =
                live.into_iter().filter(|number| self.nodes[*number].alive).collect();
            if live.is_empty() {
                continue;
            }
            let receiver = live[number as usize % live.len()];
            let wall = self.wall_of(receiver);
            let node = &mut self.nodes[receiver];
            let name = ROUTES[(number / 7) as usize % ROUTES.len()];
            let route = RouteId::from(name);
            let Some(version) = node.rollouts.version_for(&service, &route, &key(number), wall)
            else {
                continue;
            };
            let (outcome, millis) = if version.as_str() == "v2" {
                exposed += 1;
                new(name, number)
            } else {
                old(name, number)
            };
            node.rollouts.observe(Observation {
                service: &service,
                version: &version,
                route: &route,
                prompt_tokens: 50,
                outcome,
                duration: Duration::from_millis(millis),
                sent: wall,
                wall,
            });
        }
        exposed
    }

    /// Ends a request at an instance that was dispatched to `version` at `sent`.
    pub(crate) fn end_request(
        &mut self,
        number: usize,
        version: &str,
        sent: WallTime,
        end: (EndState, u64),
    ) {
        let wall = self.wall_of(number);
        self.nodes[number].rollouts.observe(Observation {
            service: &ServiceId::from(SERVICE),
            version: &VersionId::from(version),
            route: &RouteId::from(ROUTES[1]),
            prompt_tokens: 50,
            outcome: end.0,
            duration: Duration::from_millis(end.1),
            sent,
            wall,
        });
    }

    /// Runs for `seconds` in steps of one second: requests, exchange, lease and ticks. Returns the
    /// number of requests that reached the new version.
    pub(crate) fn run(&mut self, seconds: u64, per_second: u64, new: Behaviour) -> u64 {
        self.run_with_old(seconds, per_second, good, new)
    }

    /// Like [`Simulation::run`], with requests at the old version ending as `old` defines.
    pub(crate) fn run_with_old(
        &mut self,
        seconds: u64,
        per_second: u64,
        old: Behaviour,
        new: Behaviour,
    ) -> u64 {
        let mut exposed = 0;
        for _ in 0..seconds {
            self.ms += 1000;
            self.finish_loads();
            exposed += self.traffic(per_second, old, new);
            for a in 0..self.nodes.len() {
                for b in a + 1..self.nodes.len() {
                    self.exchange(a, b);
                }
            }
            self.renew_lease();
            for number in 0..self.nodes.len() {
                self.tick(number);
            }
        }
        exposed
    }

    /// Returns whether each stored record of a rollout has the same stage as its predecessor or the
    /// next one, and no record follows an outcome.
    pub(crate) fn has_ordered_stages(&self) -> bool {
        let mut last: BTreeMap<&VersionId, &RolloutRecord> = BTreeMap::new();
        self.history.iter().all(|record| {
            let first = record.stage == Stage::Loading;
            let before = last.insert(&record.to, record);
            before.map_or(first, |before| {
                let plan = Plan::new(self.specs[0].first_share, before.started, before.deadline);
                let next = plan.next(before.stage) == record.stage;
                before.outcome.is_none() && (before.stage == record.stage || next)
            })
        })
    }

    pub(crate) fn record(&self) -> Option<&RolloutRecord> {
        self.rows.get(&id()).map(|(_, record)| record)
    }

    pub(crate) fn stage(&self) -> Option<Stage> {
        self.record().map(|record| record.stage)
    }

    pub(crate) fn outcome(&self) -> Option<&Outcome> {
        self.record()?.outcome.as_ref()
    }

    /// Returns the outcome as `completed`, the reason of a rollback, or `none`.
    pub(crate) fn outcome_name(&self) -> &'static str {
        match self.outcome() {
            Some(Outcome::Completed { .. }) => "completed",
            Some(Outcome::RolledBack { reason, .. }) => reason.as_str(),
            None => "none",
        }
    }

    /// Returns how many records with an outcome were ever stored.
    pub(crate) fn outcome_count(&self) -> usize {
        self.history.iter().filter(|record| record.outcome.is_some()).count()
    }

    /// Returns how many of `count` requests an instance would send to the new version.
    pub(crate) fn requests_to_new(&self, number: usize, count: u64) -> u64 {
        let service = ServiceId::from(SERVICE);
        let route = RouteId::from(ROUTES[0]);
        let sent = (0..count).filter(|sent| {
            let rollouts = &self.nodes[number].rollouts;
            let version = rollouts.version_for(&service, &route, &key(*sent), self.wall_of(number));
            version.is_some_and(|version| version.as_str() == "v2")
        });
        sent.count() as u64
    }
}

/// Returns the time to first token of request `number` at a good version, in milliseconds.
pub(crate) fn base_latency_ms(number: u64) -> u64 {
    100 + (number.wrapping_mul(2_654_435_761) >> 7) % 400
}

pub(crate) fn good(_route: &str, number: u64) -> (EndState, u64) {
    (EndState::Ok, base_latency_ms(number))
}

pub(crate) fn failing(_route: &str, number: u64) -> (EndState, u64) {
    (EndState::Failed, base_latency_ms(number))
}

pub(crate) fn slow(_route: &str, number: u64) -> (EndState, u64) {
    (EndState::Ok, 3 * base_latency_ms(number))
}
