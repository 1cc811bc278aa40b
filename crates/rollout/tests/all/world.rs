//! A small world of instances, a table service, a lease and targets, stepped by hand.

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

/// Unix time at which every world begins, in milliseconds.
pub(crate) const START: u64 = 1_800_000_000_000;
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
        deadline: WallTime(START + minutes * 60_000),
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

/// How a request on a route ends at a version: its end and its time to first token in
/// milliseconds.
pub(crate) type Behaviour = fn(&str, u64) -> (EndState, u64);

/// How the table service treats the next writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreMode {
    Up,
    /// Nothing reaches it.
    Down,
    /// Writes take effect and their answers are lost.
    LosesAnswers,
}

/// What a target does with orders.
#[derive(Debug, Clone)]
pub(crate) struct Engine {
    pub(crate) versions: BTreeSet<VersionId>,
    pub(crate) reachable: bool,
    pub(crate) checks: bool,
    pub(crate) fence: u64,
}

#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) rollouts: Rollouts,
    pub(crate) peer: InstanceIncarnation,
    /// Whether it has heard from a peer or the store; before, it takes no requests.
    pub(crate) ready: bool,
    /// Its wall clock's offset in milliseconds.
    pub(crate) skew: i64,
    pub(crate) alive: bool,
    pub(crate) lease: Option<LeaseGrant>,
    pub(crate) zone: usize,
    /// Actions that the instance decided on and did not carry out, as if frozen in between.
    pub(crate) held: Vec<Action>,
    pub(crate) holds: bool,
    pub(crate) events: Vec<RolloutEvent>,
}

#[derive(Debug)]
pub(crate) struct World {
    pub(crate) ms: u64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) rows: BTreeMap<RolloutId, (u64, RolloutRecord)>,
    pub(crate) history: Vec<RolloutRecord>,
    /// When each record of the history took effect.
    pub(crate) stored_ms: Vec<u64>,
    pub(crate) store: StoreMode,
    pub(crate) engines: BTreeMap<TargetId, Engine>,
    pub(crate) lease: Option<(usize, u64)>,
    pub(crate) fence: u64,
    pub(crate) orders: Vec<(u64, TargetId, OrderKind)>,
    /// How long a target takes to load a version, in milliseconds.
    pub(crate) load_ms: u64,
    pub(crate) loading: Vec<(u64, TargetId, VersionId)>,
    pub(crate) most_loading: usize,
    pub(crate) harmful: usize,
    pub(crate) cut: Option<usize>,
    pub(crate) specs: Vec<RolloutSpec>,
    pub(crate) revision: u64,
    pub(crate) requests: u64,
    pub(crate) restarts: u64,
    /// The instance with a request in flight to the old version.
    pub(crate) draining: Option<usize>,
}

/// One instance's view of the world.
struct Sight<'a> {
    world: &'a BTreeMap<TargetId, Engine>,
    peers: Vec<InstanceIncarnation>,
    old: u32,
}

impl ClusterState for Sight<'_> {
    fn versions(&self, target: &TargetId) -> Option<Vec<VersionId>> {
        let engine = self.world.get(target).filter(|engine| engine.reachable)?;
        Some(engine.versions.iter().cloned().collect())
    }

    fn peers(&self) -> Vec<InstanceIncarnation> {
        self.peers.clone()
    }

    fn in_flight(&self, _service: &ServiceId, version: &VersionId) -> u32 {
        if version.as_str() == "v1" { self.old } else { 0 }
    }
}

impl World {
    pub(crate) fn new(nodes: usize, specs: &[RolloutSpec]) -> Self {
        let engine = Engine {
            versions: BTreeSet::from([VersionId::from("v1")]),
            reachable: true,
            checks: false,
            fence: 0,
        };
        let mut world = Self {
            ms: START,
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
            most_loading: 0,
            harmful: 0,
            cut: None,
            specs: Vec::new(),
            revision: 0,
            requests: 0,
            restarts: 0,
            draining: None,
        };
        for number in 0..nodes {
            let node = Node { ready: true, ..world.fresh(number) };
            world.nodes.push(node);
        }
        world.submit(specs);
        world
    }

    fn fresh(&self, number: usize) -> Node {
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
            held: Vec::new(),
            holds: false,
            events: Vec::new(),
        }
    }

    /// Replaces an instance by one that knows the configuration and nothing else.
    pub(crate) fn restart(&mut self, number: usize) {
        self.restarts += 1;
        self.nodes[number] = self.fresh(number);
    }

    /// Accepts a sheet and puts it in force on every instance that can be reached.
    pub(crate) fn submit(&mut self, specs: &[RolloutSpec]) {
        self.revision += 1;
        self.specs = specs.to_vec();
        for number in 0..self.nodes.len() {
            if Some(self.nodes[number].zone) != self.cut {
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

    /// The time by an instance's own wall clock.
    pub(crate) fn wall_of(&self, number: usize) -> WallTime {
        WallTime(self.ms.saturating_add_signed(self.nodes[number].skew))
    }

    pub(crate) fn now(&self) -> Time {
        Time::from_millis(self.ms - START)
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        let side = |number: usize| Some(self.nodes[number].zone) == self.cut;
        self.nodes[a].alive && self.nodes[b].alive && side(a) == side(b)
    }

    /// Gives the lease to the first live instance if it is free, or renews it.
    pub(crate) fn renew(&mut self) {
        if self.store != StoreMode::Up {
            return;
        }
        let usable = |node: &Node| node.alive && !node.holds && Some(node.zone) != self.cut;
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
            .filter(|peer| *peer != number && self.connected(number, *peer))
            .collect();
        let peers = peers.into_iter().map(|peer| self.nodes[peer].peer.clone()).collect();
        let (now, wall) = (self.now(), self.wall_of(number));
        let node = &mut self.nodes[number];
        let old = u32::from(self.draining == Some(number));
        let sight = Sight { world: &self.engines, peers, old };
        let actions = node.rollouts.tick(now, wall, node.lease, &sight);
        for action in actions {
            if self.nodes[number].holds && !matches!(action, Action::Event(_)) {
                self.nodes[number].held.push(action);
            } else {
                self.perform(number, action, false);
            }
        }
    }

    /// Carries out what an instance decided on before it froze. `late` leaves out the checks that
    /// the instance makes immediately before sending, as if it froze after them.
    pub(crate) fn wake(&mut self, number: usize, late: bool) {
        self.nodes[number].holds = false;
        for action in std::mem::take(&mut self.nodes[number].held) {
            self.perform(number, action, late);
        }
    }

    fn perform(&mut self, number: usize, action: Action, late: bool) {
        match action {
            Action::Event(event) => self.nodes[number].events.push(event),
            Action::ReadRecords => {
                let up = self.store != StoreMode::Down && Some(self.nodes[number].zone) != self.cut;
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
                let lapsed = before.is_some_and(|before| self.wall_of(number) >= before);
                let lapsed = lapsed || self.now() >= lease_until;
                let cut = Some(self.nodes[number].zone) == self.cut;
                let result = if self.store == StoreMode::Down || cut || lapsed && !late {
                    WriteResult::Failed
                } else {
                    self.write(&rollout, expected, record)
                };
                self.nodes[number].rollouts.on_write(&rollout, result);
            }
            Action::Order { target, fence, order, version, lease_until } => {
                let result = if self.now() >= lease_until && !late {
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
        let needed = self.needed(&version);
        let Some(engine) = self.engines.get_mut(name) else { return OrderResult::Failed };
        if !engine.reachable {
            return OrderResult::Failed;
        }
        if engine.checks && fence < engine.fence {
            return OrderResult::Fenced;
        }
        engine.fence = engine.fence.max(fence);
        self.orders.push((self.ms, name.clone(), order));
        match order {
            OrderKind::Load => {
                self.loading.push((self.ms + self.load_ms, name.clone(), version));
                self.most_loading = self.most_loading.max(self.loading.len());
                self.finish_loads();
            }
            OrderKind::Unload => {
                self.harmful += usize::from(needed);
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

    /// Whether requests may still be sent to `version` by an instance that can reach targets.
    fn needed(&self, version: &VersionId) -> bool {
        let wall = self.wall();
        let service = ServiceId::from(SERVICE);
        let route = RouteId::from(ROUTES[0]);
        let live = self.nodes.iter();
        let live = live.filter(|node| node.alive && node.ready && Some(node.zone) != self.cut);
        let mut sent = live.flat_map(|node| {
            (0..200).filter_map(|number| {
                node.rollouts.version_for(&service, &route, &key(number), wall)
            })
        });
        let draining = version.as_str() == "v1" && self.draining.is_some();
        draining || sent.any(|sent| sent == *version)
    }

    /// What an instance without peers sees.
    pub(crate) fn sight(&self, number: usize) -> impl ClusterState + '_ {
        let old = u32::from(self.draining == Some(number));
        Sight { world: &self.engines, peers: Vec::new(), old }
    }

    /// Exchanges everything between two connected instances, both ways.
    pub(crate) fn gossip(&mut self, a: usize, b: usize) {
        if a == b || !self.connected(a, b) {
            return;
        }
        for (from, to) in [(a, b), (b, a)] {
            let sender = &self.nodes[from].rollouts;
            let (cells, verdicts) = (sender.evidence(), sender.verdicts());
            let records = sender.records(&self.sight(from));
            let peer = self.nodes[from].peer.clone();
            self.nodes[to].ready = true;
            let receiver = &mut self.nodes[to].rollouts;
            receiver.on_peer_records(&peer, &records);
            receiver.learn_verdicts(&verdicts);
            receiver.merge(&cells);
        }
    }

    /// Sends `count` requests through the instances in turn; `old` and `new` say how they
    /// end at each version. Returns how many reached the new version.
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
            let taker = live[number as usize % live.len()];
            let wall = self.wall_of(taker);
            let node = &mut self.nodes[taker];
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
    pub(crate) fn end(
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

    /// Advances by `seconds`, once a second: requests, exchange, lease and ticks.
    pub(crate) fn run(&mut self, seconds: u64, per_second: u64, new: Behaviour) -> u64 {
        self.run_with_old(seconds, per_second, good, new)
    }

    /// As [`World::run`], with requests at the old version ending as `old` says.
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
                    self.gossip(a, b);
                }
            }
            self.renew();
            for number in 0..self.nodes.len() {
                self.tick(number);
            }
        }
        exposed
    }

    /// Whether each stored record of a rollout has the stage of the one before or the next one.
    pub(crate) fn stages_in_order(&self) -> bool {
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

    /// The outcome in short: `completed`, the reason of a rollback, or `none`.
    pub(crate) fn ended(&self) -> &'static str {
        match self.outcome() {
            Some(Outcome::Completed { .. }) => "completed",
            Some(Outcome::RolledBack { reason, .. }) => reason.as_str(),
            None => "none",
        }
    }

    /// Records with an outcome that were ever stored.
    pub(crate) fn outcomes(&self) -> usize {
        self.history.iter().filter(|record| record.outcome.is_some()).count()
    }

    /// Versions that `count` requests would be sent to by an instance: those at the new one.
    pub(crate) fn sent_new(&self, number: usize, count: u64) -> u64 {
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

/// Time to first token of request `number` at a good version, in milliseconds.
pub(crate) fn usual(number: u64) -> u64 {
    100 + (number.wrapping_mul(2_654_435_761) >> 7) % 400
}

pub(crate) fn good(_route: &str, number: u64) -> (EndState, u64) {
    (EndState::Ok, usual(number))
}

pub(crate) fn failing(_route: &str, number: u64) -> (EndState, u64) {
    (EndState::Failed, usual(number))
}

pub(crate) fn slow(_route: &str, number: u64) -> (EndState, u64) {
    (EndState::Ok, 3 * usual(number))
}
