//! A simulation of instances that share brittle targets, which let fewer requests wait after a while
//! and fall over if they reject too many in a second.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::ops::Range;
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamewind_gateway::targets::TargetChange;
use sesamewind_gateway::{
    Arrival, AttemptOutcome, Event, Gateway, ListedTarget, RouteTable, Step, Tuning,
};
use sesamewind_protocol::relay::{RelayUpdate, StorePosition};
use sesamewind_protocol::{Incarnation, InstanceId, Time, ZoneId};

use crate::support::{self, arrival, at, identity, routing};

/// Milliseconds from the first statement until fewer requests may wait.
const CONTACT_MS: u64 = 3_000;

/// Milliseconds from there until the use of the targets counts.
const ADAPT_MS: u64 = 1_000;

/// When targets become brittle, in milliseconds.
const START_MS: u64 = 4_000;

/// Number of availability zones.
const ZONES: usize = 3;

/// Milliseconds that a message takes, that a request takes to run, and that a target is down.
const PATH_MS: Range<u64> = 1..5;
const WORK_MS: Range<u64> = 100..700;
const DOWN_MS: Range<u64> = 3_000..6_000;

/// Interval of the gateway's ticks in milliseconds.
const TICK_MS: u64 = 50;

/// One of so many callers leaves early, and one of so many requests of these goes on at its target.
const LEAVES_ONE_IN: u32 = 50;
const GOES_ON_ONE_IN: u32 = 5;

/// A play; times are in milliseconds.
#[derive(Debug, Clone)]
pub struct Plan {
    pub instances: usize,
    /// Slots of each target.
    pub slots: Vec<u32>,
    /// Route of the requests.
    pub route: &'static str,
    /// Rejections in a second that a target bears.
    pub allowed: u32,
    /// Whether targets state that.
    pub told: bool,
    /// Requests a second, relative to what the slots can run.
    pub demand: f64,
    /// Time in which four times as many arrive.
    pub burst: Option<Range<u64>>,
    /// Fraction of the requests that arrive at the first instance, beside its share of the others.
    pub hot: f64,
    /// When all instances start again.
    pub restart: Option<u64>,
    /// First instances, which peers do not reach in this time.
    pub cut: (usize, Range<u64>),
    pub length: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            instances: 6,
            slots: vec![16; 3],
            route: "read",
            allowed: 8,
            told: true,
            demand: 2.0,
            burst: None,
            hot: 0.0,
            restart: None,
            cut: (0, 0..0),
            length: 16_000,
        }
    }
}

/// Result of a play.
#[derive(Debug, Default)]
pub struct Report {
    /// Times that a target fell over, from the contact time on.
    pub falls: usize,
    /// Most rejections of a target in one second.
    pub worst: usize,
    /// Slots in use on average, relative to all slots.
    pub used: f64,
    pub asked: u32,
    pub refused: u32,
    /// Longest time from a request's arrival to its refusal in milliseconds.
    pub longest: u64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Reaches(usize, u64, usize),
    Runs(usize, usize, u64),
    Told(usize, u64, bool),
    Ended(usize, u64, u8),
    Leaves(usize, u64),
    Exchanges(usize),
    Message(usize, u64),
}

const OUTCOMES: [AttemptOutcome; 4] = [
    AttemptOutcome::Whole,
    AttemptOutcome::Declined,
    AttemptOutcome::Unconnected,
    AttemptOutcome::Broken,
];
const WHOLE: u8 = 0;
const DECLINED: u8 = 1;
const UNCONNECTED: u8 = 2;
const BROKEN: u8 = 3;

#[derive(Debug, Default)]
struct Engine {
    running: Vec<(usize, u64)>,
    waiting: VecDeque<(usize, u64)>,
    rejected: VecDeque<u64>,
    down_until: u64,
}

struct Fleet<'a> {
    plan: &'a Plan,
    rng: ChaCha8Rng,
    table: Arc<RouteTable>,
    gateways: Vec<Gateway>,
    engines: Vec<Engine>,
    due: BinaryHeap<Reverse<(u64, u64, Due)>>,
    messages: BTreeMap<u64, RelayUpdate>,
    /// Arrival of each open request.
    open: BTreeMap<u64, u64>,
    next: u64,
    used: (f64, f64),
    report: Report,
}

/// Plays `plan` with random choices that depend on `seed`.
pub fn play(plan: &Plan, seed: u64) -> Report {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let table = Arc::new(RouteTable::new(routing()));
    let gateways =
        (0..plan.instances).map(|one| start(plan, &table, one, 0, rng.random())).collect();
    let mut fleet = Fleet {
        plan,
        rng,
        table,
        gateways,
        engines: plan.slots.iter().map(|_| Engine::default()).collect(),
        due: BinaryHeap::new(),
        messages: BTreeMap::new(),
        open: BTreeMap::new(),
        next: 0,
        used: (0.0, 0.0),
        report: Report::default(),
    };
    for instance in 0..plan.instances {
        fleet.push(instance as u64 * 7 % fleet.interval(), Due::Exchanges(instance));
    }
    (0..plan.length).step_by(5).for_each(|now| fleet.step(now));
    fleet.report.used = fleet.used.0 / fleet.used.1;
    fleet.report
}

fn name(instance: usize) -> InstanceId {
    InstanceId::new(format!("i{instance:03}"))
}

fn zone(number: usize) -> ZoneId {
    ZoneId::new(format!("z{}", number % ZONES))
}

fn start(plan: &Plan, table: &Arc<RouteTable>, instance: usize, now: u64, seed: u64) -> Gateway {
    let me = sesamewind_gateway::gateway::Identity {
        incarnation: Incarnation(1 + now),
        ..identity(name(instance).as_str(), zone(instance).as_str())
    };
    let tuning = Tuning { joined: now > 0, ..Tuning::default() };
    let mut gateway = Gateway::new(me, tuning, seed);
    gateway.handle(Event::Configured(Arc::clone(table)), at(now));
    let service = table.resolve("host.example", &path(plan), Some("key-a")).expect("a route");
    let service = service.route.service_at(0.5).as_str().to_owned();
    let listed = plan.slots.iter().enumerate().map(|(target, &slots)| {
        let listed = support::target(&format!("m{target}"), &service, slots);
        TargetChange::Listed(ListedTarget { zone: zone(target), ..listed })
    });
    gateway.handle(Event::ListedAll(listed.collect()), at(now));
    let peers = (0..plan.instances).filter(|peer| *peer != instance);
    let peers: Vec<_> = peers.map(|peer| (name(peer), zone(peer))).collect();
    let peers: Vec<_> = peers.iter().map(|(name, zone)| (name, zone)).collect();
    gateway.expect_peers(&peers, at(now));
    gateway
}

fn path(plan: &Plan) -> String {
    format!("/{}/x", plan.route)
}

impl Fleet<'_> {
    fn push(&mut self, when: u64, due: Due) {
        self.next += 1;
        self.due.push(Reverse((when, self.next, due)));
    }

    fn path_ms(&mut self) -> u64 {
        self.rng.random_range(PATH_MS)
    }

    /// Interval between two exchanges with the same peer.
    fn interval(&self) -> u64 {
        100.max(10 * self.plan.instances as u64)
    }

    fn step(&mut self, now: u64) {
        if self.plan.restart == Some(now) {
            self.restart(now);
        }
        if now.is_multiple_of(TICK_MS) {
            (0..self.plan.instances).for_each(|one| self.send(one, Event::Tick, now));
        }
        self.arrivals(now);
        while self.due.peek().is_some_and(|Reverse((when, ..))| *when <= now) {
            if let Some(Reverse((_, _, due))) = self.due.pop() {
                self.happen(due, now);
            }
        }
        if now >= START_MS + CONTACT_MS + ADAPT_MS {
            self.used.0 += self.engines.iter().map(|one| one.running.len() as f64).sum::<f64>();
            self.used.1 += f64::from(self.plan.slots.iter().sum::<u32>());
        }
    }

    /// Starts all instances again; the requests that they had end at their targets.
    fn restart(&mut self, now: u64) {
        for instance in 0..self.plan.instances {
            let seed = self.rng.random();
            self.gateways[instance] = start(self.plan, &self.table, instance, now, seed);
        }
        self.open.clear();
        for engine in &mut self.engines {
            engine.running.clear();
            engine.waiting.clear();
        }
    }

    fn arrivals(&mut self, now: u64) {
        let slots = f64::from(self.plan.slots.iter().sum::<u32>());
        let work = (WORK_MS.start + WORK_MS.end) as f64 / 2.0;
        let is_burst = self.plan.burst.as_ref().is_some_and(|burst| burst.contains(&now));
        let mut left = 5.0 * self.plan.demand * slots / work * if is_burst { 4.0 } else { 1.0 };
        while left > 0.0 {
            if self.rng.random_bool(left.min(1.0)) {
                self.arrive(now);
            }
            left -= 1.0;
        }
    }

    fn arrive(&mut self, now: u64) {
        let is_hot = self.rng.random_bool(self.plan.hot);
        let instance = if is_hot { 0 } else { self.rng.random_range(0..self.plan.instances) };
        self.next += 1;
        self.report.asked += 1;
        let ticket = self.next;
        let arrival = Arrival {
            prompt_tokens: Some(300),
            output_tokens: 50,
            ..arrival(&self.table, ticket, &path(self.plan), at(now))
        };
        self.open.insert(ticket, now);
        self.send(instance, Event::Arrive(arrival), now);
        if self.rng.random_ratio(1, LEAVES_ONE_IN) {
            let when = now + self.rng.random_range(WORK_MS);
            self.push(when, Due::Leaves(instance, ticket));
        }
    }

    fn send(&mut self, instance: usize, event: Event<'_>, now: u64) {
        for action in self.gateways[instance].handle(event, at(now)) {
            let ticket = action.ticket;
            match action.step {
                Step::Dispatch(dispatch) => {
                    let Ok(target) = dispatch.target.as_str()[1..].parse() else { continue };
                    let when = now + self.path_ms();
                    self.push(when, Due::Reaches(instance, ticket, target));
                }
                Step::Refuse(_) => {
                    self.report.refused += 1;
                    let arrived = self.open.remove(&ticket).unwrap_or(now);
                    self.report.longest = self.report.longest.max(now - arrived);
                }
                _ => {
                    self.open.remove(&ticket);
                }
            }
        }
    }

    fn happen(&mut self, due: Due, now: u64) {
        match due {
            Due::Reaches(instance, ticket, target) => self.reach(instance, ticket, target, now),
            Due::Runs(target, instance, ticket) => self.run_ends(target, (instance, ticket), now),
            Due::Told(instance, ticket, brittle)
                if self.plan.told && self.open.contains_key(&ticket) =>
            {
                let allowed = brittle.then_some(self.plan.allowed);
                self.send(instance, Event::TargetBrittle(ticket, allowed), now);
            }
            Due::Ended(instance, ticket, outcome) if self.open.contains_key(&ticket) => {
                if outcome == WHOLE {
                    self.open.remove(&ticket);
                }
                let outcome = OUTCOMES[usize::from(outcome)];
                self.send(instance, Event::Ended(ticket, outcome), now);
            }
            Due::Leaves(instance, ticket) if self.open.remove(&ticket).is_some() => {
                self.send(instance, Event::CallerLeft(ticket), now);
                if !self.rng.random_ratio(1, GOES_ON_ONE_IN) {
                    for target in 0..self.engines.len() {
                        self.run_ends(target, (instance, ticket), now);
                    }
                }
            }
            Due::Exchanges(instance) => self.exchange(instance, now),
            Due::Message(to, number) => {
                if let Some(update) = self.messages.remove(&number) {
                    self.send(to, Event::PeerUpdate(&update), now);
                }
            }
            _ => {}
        }
    }

    /// Requests that a target lets wait.
    fn wait_room(&self, target: usize, now: u64) -> usize {
        let shrinks = now >= START_MS + CONTACT_MS;
        if shrinks { 0 } else { self.plan.slots[target] as usize / 2 + 2 }
    }

    fn answer(&mut self, to: (usize, u64), outcome: u8, now: u64) {
        let when = now + self.path_ms();
        if outcome == WHOLE || outcome == DECLINED {
            self.push(when, Due::Told(to.0, to.1, now >= START_MS));
        }
        self.push(when, Due::Ended(to.0, to.1, outcome));
    }

    fn reach(&mut self, instance: usize, ticket: u64, target: usize, now: u64) {
        let room = self.wait_room(target, now);
        let slots = self.plan.slots[target] as usize;
        let engine = &mut self.engines[target];
        if now < engine.down_until {
            self.answer((instance, ticket), UNCONNECTED, now);
        } else if engine.running.len() < slots {
            self.run(target, (instance, ticket), now);
        } else if engine.waiting.len() < room {
            engine.waiting.push_back((instance, ticket));
        } else {
            engine.rejected.push_back(now);
            engine.rejected.retain(|at| now - at < 1_000);
            let rejected = engine.rejected.len();
            self.answer((instance, ticket), DECLINED, now);
            if now >= START_MS + CONTACT_MS {
                self.report.worst = self.report.worst.max(rejected);
                if rejected > self.plan.allowed as usize {
                    self.fall(target, now);
                }
            }
        }
    }

    fn run(&mut self, target: usize, request: (usize, u64), now: u64) {
        self.engines[target].running.push(request);
        let when = now + self.rng.random_range(WORK_MS);
        self.push(when, Due::Runs(target, request.0, request.1));
    }

    fn run_ends(&mut self, target: usize, request: (usize, u64), now: u64) {
        let engine = &mut self.engines[target];
        engine.waiting.retain(|one| *one != request);
        let Some(position) = engine.running.iter().position(|one| *one == request) else { return };
        engine.running.remove(position);
        let next = engine.waiting.pop_front();
        self.answer(request, WHOLE, now);
        if let Some(next) = next {
            self.run(target, next, now);
        }
    }

    fn fall(&mut self, target: usize, now: u64) {
        self.report.falls += 1;
        let down_until = now + self.rng.random_range(DOWN_MS);
        let engine = &mut self.engines[target];
        let fallen = std::mem::replace(engine, Engine { down_until, ..Engine::default() });
        for request in fallen.running.into_iter().chain(fallen.waiting) {
            self.answer(request, BROKEN, now);
        }
    }

    fn exchange(&mut self, from: usize, now: u64) {
        self.push(now + self.interval(), Due::Exchanges(from));
        let (cut, during) = &self.plan.cut;
        let (cut, is_cut) = (*cut, during.contains(&now));
        for to in (0..self.plan.instances).filter(|to| *to != from) {
            if is_cut && (from < cut || to < cut) {
                continue;
            }
            let gateway = &mut self.gateways[from];
            let update =
                gateway.peer_update(&name(to), StorePosition::default(), Time::ZERO, at(now));
            let when = now + self.path_ms();
            let number = self.next;
            self.messages.insert(number, update);
            self.push(when, Due::Message(to, number));
        }
    }
}
