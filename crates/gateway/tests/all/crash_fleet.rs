//! A simulation of instances that share engines, some of whose requests end the engine that answers
//! them.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamewind_gateway::event::Dispatch;
use sesamewind_gateway::targets::TargetChange;
use sesamewind_gateway::{
    Arrival, AttemptOutcome, Event, Gateway, ListedTarget, RouteTable, SavedPart, Step, Ticket,
    Tuning,
};
use sesamewind_protocol::relay::StorePosition;
use sesamewind_protocol::{Incarnation, InstanceId, PartId, TargetId, Time};

use crate::support::{MODEL, at, identity, routing, target};

/// Number of instances.
pub const INSTANCES: usize = 8;

/// Number of engines, and requests that each runs concurrently.
const ENGINES: (usize, u32) = (9, 16);

/// Sound requests a second.
const RATE: f64 = 50.0;

/// Milliseconds from a dispatch to the first event, and from there to the end.
const PREFILL_MS: Range<u64> = 60..400;
const WORK_MS: Range<u64> = 800..1_800;

/// Milliseconds from the end of an engine to the start of its replacement, and to its removal from
/// the list.
const REPLACED_MS: u64 = 2_000;
const REMOVED_MS: u64 = 3_600;

/// Milliseconds for which an instance must have been undisturbed to be in touch.
pub const CONTACT_MS: u64 = 3_000;

/// Number of ends of engines after which requests with a culprit are counted.
const COUNTED_ENDS: usize = 5;

/// Part that all prompts share, numbers of the first caller's part and of the first session's.
const SHARED: PartId = PartId(1);
const FIRST_CALLER: u64 = 0x100;
const FIRST_SESSION: u64 = 0x1000;
const CALLERS: u64 = 5;
const SESSIONS: u64 = 400;

/// What requests that end engines have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// One part, at this position of the prompt; all other parts are those of sound requests.
    Part(usize),
    /// All parts: one request is repeated.
    Whole,
}

/// Requests that end engines.
#[derive(Debug, Clone)]
pub struct Culprit {
    /// What they have in common.
    pub form: Form,
    /// Requests a second.
    pub rate: f64,
    /// When they come, in milliseconds.
    pub during: Range<u64>,
}

/// A play of the simulation; times are in milliseconds.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// Requests that end engines.
    pub culprits: Vec<Culprit>,
    /// Instances that start again, losing all they know.
    pub restarts: Vec<(u64, usize)>,
    /// Instances that exchange nothing with others for a while.
    pub cuts: Vec<(Range<u64>, usize)>,
    /// Ends of engines that no request causes.
    pub crashes: Vec<u64>,
    /// Length of the play.
    pub length: u64,
}

/// What happened to the sound requests of a period.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sound {
    /// Requests.
    pub asked: u32,
    /// Requests whose answer began at the first attempt.
    pub begun: u32,
    /// Requests that were refused.
    pub refused: u32,
}

impl Sound {
    /// Returns the fraction of requests whose answer began at the first attempt.
    pub fn begun_share(&self) -> f64 {
        f64::from(self.begun) / f64::from(self.asked.max(1))
    }
}

/// What happened to the requests with one culprit.
#[derive(Debug, Clone, Default)]
pub struct Ends {
    /// When engines ended.
    pub at: Vec<u64>,
    /// Requests that reached engines from instances in touch, later than allowed.
    pub late: usize,
    /// Requests that reached engines.
    pub sent: usize,
}

/// Result of a play.
#[derive(Debug, Default)]
pub struct Report {
    /// By culprit.
    pub ends: Vec<Ends>,
    /// Sound requests before the first culprit and other end.
    pub before: Sound,
    /// Sound requests from two contact times after the fifth end, while culprits come.
    pub after: Sound,
    /// All sound requests.
    pub all: Sound,
}

struct Engine {
    listed: ListedTarget,
    up: bool,
    at: HashSet<(usize, Ticket)>,
}

struct Flight {
    culprit: Option<usize>,
    arrived: u64,
    engine: Option<usize>,
    attempt: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Begins(usize, Ticket, u32),
    Ends(usize, Ticket, u32),
    Fails(usize, Ticket, u32),
    Removed(usize),
    Replaced(usize),
}

struct Fleet<'a> {
    plan: &'a Plan,
    rng: ChaCha8Rng,
    seed: u64,
    table: Arc<RouteTable>,
    gateways: Vec<Gateway>,
    engines: Vec<Engine>,
    flights: HashMap<(usize, Ticket), Flight>,
    due: BinaryHeap<Reverse<(u64, Due)>>,
    next: Ticket,
    report: Report,
    /// Parts that were saved outside of the instances, and when.
    saved: HashMap<PartId, (u64, SavedPart)>,
    /// When each instance was last disturbed.
    disturbed: [u64; INSTANCES],
}

/// Plays `plan` with random choices that depend on `seed`.
pub fn play(plan: &Plan, seed: u64) -> Report {
    let mut fleet = Fleet::new(plan, seed);
    for now in (0..plan.length).step_by(10) {
        fleet.step(now);
    }
    fleet.report
}

impl<'a> Fleet<'a> {
    fn new(plan: &'a Plan, seed: u64) -> Self {
        let engine = |number: usize| Engine {
            listed: target(&format!("m{number}"), MODEL, ENGINES.1),
            up: true,
            at: HashSet::new(),
        };
        let mut fleet = Self {
            plan,
            rng: ChaCha8Rng::seed_from_u64(seed),
            seed,
            table: Arc::new(RouteTable::new(routing())),
            gateways: Vec::new(),
            engines: (0..ENGINES.0).map(engine).collect(),
            flights: HashMap::new(),
            due: BinaryHeap::new(),
            next: 0,
            report: Report {
                ends: plan.culprits.iter().map(|_| Ends::default()).collect(),
                ..Report::default()
            },
            saved: HashMap::new(),
            disturbed: [0; INSTANCES],
        };
        fleet.gateways = (0..INSTANCES).map(|number| fleet.gateway(number, 1, 0)).collect();
        fleet
    }

    fn gateway(&self, number: usize, incarnation: u64, now: u64) -> Gateway {
        let mut me = identity(&format!("i{number}"), "z1");
        me.incarnation = Incarnation(incarnation);
        let mut gateway = Gateway::new(me, Tuning::default(), self.seed + number as u64);
        gateway.handle(Event::Configured(self.table.clone()), at(now));
        let listed = self.engines.iter().map(|engine| TargetChange::Listed(engine.listed.clone()));
        gateway.handle(Event::ListedAll(listed.collect()), at(now));
        gateway
    }

    fn step(&mut self, now: u64) {
        for (_, instance) in self.plan.restarts.iter().filter(|(when, _)| *when == now) {
            self.restart(*instance, now);
        }
        for (during, instance) in &self.plan.cuts {
            if during.contains(&now) {
                self.disturbed[*instance] = now;
            }
        }
        if self.plan.crashes.contains(&now) {
            let up: Vec<usize> = (0..self.engines.len()).filter(|&n| self.engines[n].up).collect();
            let engine = up[self.rng.random_range(0..up.len())];
            self.crash(engine, now);
        }
        self.arrivals(now);
        while let Some(Reverse((_, due))) = self.due.peek().filter(|due| due.0.0 <= now).copied() {
            self.due.pop();
            self.happen(due, now);
        }
        if now.is_multiple_of(20) {
            for instance in 0..INSTANCES {
                self.send(instance, Event::Tick, now);
                self.save(instance, now);
            }
        }
        self.exchange(now);
    }

    fn restart(&mut self, instance: usize, now: u64) {
        self.disturbed[instance] = now;
        self.flights.retain(|(owner, _), _| *owner != instance);
        for engine in &mut self.engines {
            engine.at.retain(|(owner, _)| *owner != instance);
        }
        let mut gateway = self.gateway(instance, now + 2, now);
        gateway.restore_parts(&self.saved_parts(now), at(now));
        self.gateways[instance] = gateway;
    }

    /// Saves parts, and reads them as an instance does that peers are silent for.
    fn save(&mut self, instance: usize, now: u64) {
        for (part, saved) in self.gateways[instance].parts_to_save(at(now)) {
            match saved {
                Some(saved) => drop(self.saved.insert(part, (now, saved))),
                None => drop(self.saved.remove(&part)),
            }
        }
        if now.is_multiple_of(2_000) && self.gateways[instance].needs_saved_parts(at(now)) {
            let saved = self.saved_parts(now);
            self.gateways[instance].restore_parts(&saved, at(now));
        }
    }

    fn saved_parts(&self, now: u64) -> Vec<SavedPart> {
        let saved = self.saved.values().map(|(when, saved)| {
            let age = Duration::from_millis(now - when);
            SavedPart { left: saved.left.saturating_sub(age), ..*saved }
        });
        saved.collect()
    }

    fn is_cut(&self, instance: usize, now: u64) -> bool {
        self.plan.cuts.iter().any(|(during, cut)| *cut == instance && during.contains(&now))
    }

    fn is_in_touch(&self, instance: usize, now: u64) -> bool {
        let disturbed = self.disturbed[instance];
        disturbed == 0 || now >= disturbed + CONTACT_MS
    }

    fn exchange(&mut self, now: u64) {
        for a in 0..INSTANCES {
            for b in a + 1..INSTANCES {
                let is_due = (now + 10 * (a * 3 + b) as u64).is_multiple_of(100);
                if is_due && !self.is_cut(a, now) && !self.is_cut(b, now) {
                    self.report_to(a, b, now);
                    self.report_to(b, a, now);
                }
            }
        }
    }

    fn report_to(&mut self, from: usize, to: usize, now: u64) {
        let name = InstanceId::new(format!("i{to}"));
        let update =
            self.gateways[from].peer_update(&name, StorePosition::default(), Time::ZERO, at(now));
        self.send(to, Event::PeerUpdate(&update), now);
    }

    fn arrivals(&mut self, now: u64) {
        if self.rng.random_bool(RATE / 100.0) {
            let parts = self.sound_parts(now);
            self.arrive(parts, None, now);
        }
        for number in 0..self.plan.culprits.len() {
            let Culprit { form, rate, during } = self.plan.culprits[number].clone();
            if !during.contains(&now) || !self.rng.random_bool(rate / 100.0) {
                continue;
            }
            let culprit = PartId(0xdead_0000 + number as u64);
            let mut parts = self.sound_parts(now);
            match form {
                Form::Part(position) => parts.insert(position, culprit),
                Form::Whole => parts = vec![PartId(culprit.0 + 0x100), culprit],
            }
            self.arrive(parts, Some(number), now);
        }
    }

    fn sound_parts(&mut self, now: u64) -> Vec<PartId> {
        let caller = self.rng.random_range(0..CALLERS);
        let session = self.rng.random_range(0..SESSIONS);
        let own = 0x10_0000 + now * 16 + self.rng.random_range(0..16_u64);
        vec![SHARED, PartId(FIRST_CALLER + caller), PartId(FIRST_SESSION + session), PartId(own)]
    }

    fn arrive(&mut self, parts: Vec<PartId>, culprit: Option<usize>, now: u64) {
        let instance = self.rng.random_range(0..INSTANCES);
        let resolved =
            self.table.resolve("host.example", "/urgent/x", Some("key-a")).expect("a route");
        self.next += 1;
        let flight = Flight { culprit, arrived: now, engine: None, attempt: 0 };
        self.flights.insert((instance, self.next), flight);
        if culprit.is_none() {
            self.sound(now, |sound| sound.asked += 1);
        }
        let arrival = Arrival {
            ticket: self.next,
            route: resolved.route,
            account: resolved.account,
            prompt_tokens: Some(600),
            output_tokens: 100,
            parts: parts.into(),
            point: 0.5,
            deadline: at(now) + Duration::from_secs(12),
            counted: false,
        };
        self.send(instance, Event::Arrive(arrival), now);
    }

    /// Changes the counts of the sound requests that arrived at `arrived`.
    fn sound(&mut self, arrived: u64, change: impl Fn(&mut Sound)) {
        change(&mut self.report.all);
        let starts = self.plan.culprits.iter().map(|culprit| culprit.during.start);
        let first = starts.chain(self.plan.crashes.iter().copied()).min().unwrap_or(u64::MAX);
        if arrived < first {
            change(&mut self.report.before);
        }
        let counted = self.plan.culprits.iter().zip(&self.report.ends).any(|(culprit, ends)| {
            let end = ends.at.get(COUNTED_ENDS - 1).or(ends.at.last());
            end.is_some_and(|end| arrived >= end + 2 * CONTACT_MS)
                && culprit.during.contains(&arrived)
        });
        if counted {
            change(&mut self.report.after);
        }
    }

    fn send(&mut self, instance: usize, event: Event<'_>, now: u64) {
        for action in self.gateways[instance].handle(event, at(now)) {
            match action.step {
                Step::Dispatch(dispatch) => self.dispatch(instance, action.ticket, &dispatch, now),
                Step::Wait | Step::Hedge(_) | Step::Unhedged(_) => {}
                Step::Refuse(_) => {
                    if let Some(flight) = self.flights.remove(&(instance, action.ticket))
                        && flight.culprit.is_none()
                    {
                        self.sound(flight.arrived, |sound| sound.refused += 1);
                    }
                }
                Step::PassOn(_) | Step::DeliverRefusal(_) => panic!("no instance is cut off"),
                Step::DeliverFailure | Step::Fail(_) => {
                    self.flights.remove(&(instance, action.ticket));
                }
            }
        }
    }

    fn dispatch(&mut self, instance: usize, ticket: Ticket, dispatch: &Dispatch, now: u64) {
        let Some(engine) = self.find(&dispatch.target) else { return };
        let key = (instance, ticket);
        let is_in_touch = self.is_in_touch(instance, now);
        let Some(flight) = self.flights.get_mut(&key) else { return };
        flight.attempt = dispatch.attempt;
        if !self.engines[engine].up {
            let fails = Due::Fails(instance, ticket, dispatch.attempt);
            return self.due.push(Reverse((now + 10, fails)));
        }
        flight.engine = Some(engine);
        self.engines[engine].at.insert(key);
        let begins = now + self.rng.random_range(PREFILL_MS);
        self.due.push(Reverse((begins, Due::Begins(instance, ticket, dispatch.attempt))));
        if let Some(culprit) = flight.culprit {
            let ends = &mut self.report.ends[culprit];
            ends.sent += 1;
            let counted = ends.at.get(COUNTED_ENDS - 1).is_some_and(|end| now > end + CONTACT_MS);
            ends.late += usize::from(counted && is_in_touch);
        }
    }

    fn find(&self, id: &TargetId) -> Option<usize> {
        self.engines.iter().position(|engine| engine.listed.id == *id)
    }

    fn happen(&mut self, due: Due, now: u64) {
        match due {
            Due::Begins(instance, ticket, attempt) => self.begin(instance, ticket, attempt, now),
            Due::Ends(instance, ticket, attempt) => {
                if self.leave(instance, ticket, attempt) {
                    self.flights.remove(&(instance, ticket));
                    self.send(instance, Event::Ended(ticket, AttemptOutcome::Whole), now);
                }
            }
            Due::Fails(instance, ticket, attempt) => {
                let flight = self.flights.get(&(instance, ticket));
                if flight.is_some_and(|flight| flight.attempt == attempt) {
                    self.send(instance, Event::Ended(ticket, AttemptOutcome::Unconnected), now);
                }
            }
            Due::Removed(engine) => {
                let id = self.engines[engine].listed.id.clone();
                self.announce(&TargetChange::Removed(id), now);
            }
            Due::Replaced(engine) => {
                let number = self.engines.len();
                let mut listed = target(&format!("m{number}"), MODEL, ENGINES.1);
                listed.address = self.engines[engine].listed.address;
                self.engines.push(Engine { listed: listed.clone(), up: true, at: HashSet::new() });
                self.announce(&TargetChange::Listed(listed), now);
            }
        }
    }

    fn announce(&mut self, change: &TargetChange, now: u64) {
        for instance in 0..INSTANCES {
            self.send(instance, Event::Listed(vec![change.clone()]), now);
        }
    }

    /// Takes a request's attempt from its engine; returns whether it was there.
    fn leave(&mut self, instance: usize, ticket: Ticket, attempt: u32) -> bool {
        let key = (instance, ticket);
        let Some(flight) = self.flights.get_mut(&key).filter(|flight| flight.attempt == attempt)
        else {
            return false;
        };
        flight.engine.take().is_some_and(|engine| self.engines[engine].at.remove(&key))
    }

    fn begin(&mut self, instance: usize, ticket: Ticket, attempt: u32, now: u64) {
        let key = (instance, ticket);
        let Some(flight) = self.flights.get(&key).filter(|flight| flight.attempt == attempt) else {
            return;
        };
        let Some(engine) = flight.engine else { return };
        if let Some(culprit) = flight.culprit {
            self.report.ends[culprit].at.push(now);
            return self.crash(engine, now);
        }
        let arrived = flight.arrived;
        if attempt == 1 {
            self.sound(arrived, |sound| sound.begun += 1);
        }
        self.send(instance, Event::Started(ticket), now);
        let ends = now + self.rng.random_range(WORK_MS);
        self.due.push(Reverse((ends, Due::Ends(instance, ticket, attempt))));
    }

    fn crash(&mut self, engine: usize, now: u64) {
        self.engines[engine].up = false;
        let mut broken: Vec<(usize, Ticket)> = self.engines[engine].at.drain().collect();
        broken.sort_unstable();
        for (instance, ticket) in broken {
            if let Some(flight) = self.flights.get_mut(&(instance, ticket)) {
                flight.engine = None;
                self.send(instance, Event::Ended(ticket, AttemptOutcome::Broken), now);
            }
        }
        self.due.push(Reverse((now + REPLACED_MS, Due::Replaced(engine))));
        self.due.push(Reverse((now + REMOVED_MS, Due::Removed(engine))));
    }
}
