//! A simulation of instances that share targets, some of which state request limits.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamewind_gateway::event::Dispatch;
use sesamewind_gateway::gateway::Identity;
use sesamewind_gateway::targets::TargetChange;
use sesamewind_gateway::{
    Arrival, AttemptOutcome, ColdStart, Event, Gateway, ListedTarget, Refusal, RouteTable, Step,
    Ticket, Tuning,
};
use sesamewind_protocol::relay::{RelayUpdate, StorePosition};
use sesamewind_protocol::{Incarnation, InstanceId, TargetId, Time, ZoneId};

use crate::support::{self, MODEL, arrival, at, identity, routing};

/// Milliseconds from a target's first statement of a limit until the bound holds.
const CONTACT_MS: u64 = 3_000;

/// Milliseconds after an instance was told of a limit from which its requests count.
const TOLD_MS: u64 = 500;

/// Milliseconds over which requests at a target are counted.
const WINDOW_MS: u64 = 4_000;

/// Requests allowed within the window: this factor times what the limit allows, and so many more.
const BOUND: (f64, f64) = (1.5, 5.0);

/// Number of availability zones.
const ZONES: usize = 3;

/// Slots of each target.
const SLOTS: u32 = 16;

/// Milliseconds that a message takes between two instances, or an instance and a target.
const PATH_MS: Range<u64> = 1..5;

/// Milliseconds that one of [`LATE_ONE_IN`] requests takes to its target.
const LATE_PATH_MS: Range<u64> = 100..700;
const LATE_ONE_IN: u64 = 40;

/// Milliseconds from a request's arrival at its target to the head of its answer, and from there to
/// the end.
const HEAD_MS: Range<u64> = 30..400;
const WORK_MS: Range<u64> = 100..900;

/// Interval of the gateway's ticks, and of exchanges with up to ten peers, in milliseconds.
const TICK_MS: u64 = 20;
const EXCHANGE_MS: u64 = 100;

/// Milliseconds for which a target is cold after it has started again.
const COLD_MS: u64 = 3_000;

/// Milliseconds after which work has returned to a target that was cold.
const WARM_MS: u64 = 500;

/// Milliseconds from a change of the target list until an instance reads it.
const LIST_MS: Range<u64> = 50..1_500;

/// Milliseconds after which a target that is down is removed from the list.
const EXPIRY_MS: u64 = 3_600;

/// Requests in a second at a cold target from which those of an instance that is cut off count too. It
/// may not have heard that the target failed; a bound of fewer requests has no margin for it.
const MARGIN_FROM: f64 = 8.0;

/// Start of the deployment and its first targets, as incarnations.
const EPOCH: u64 = 1_000_000;

/// A span of time in milliseconds.
type Span = Range<u64>;

/// A limit that a target states.
#[derive(Debug, Clone)]
pub struct Named {
    pub during: Span,
    pub target: usize,
    pub rate: f64,
}

/// Instances that a fault separates from the others. Callers and targets reach them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    Instance(usize),
    Zone(usize),
}

/// A play of the simulation; times are in milliseconds.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    pub instances: usize,
    pub targets: usize,
    /// Requests a second.
    pub requests: f64,
    /// When no requests arrive.
    pub quiet: Option<Span>,
    pub limits: Vec<Named>,
    /// Targets that are down and then start again, cold.
    pub restarts: Vec<(Span, usize)>,
    /// Requests in any second that a cold target takes from all instances together.
    pub cold: f64,
    pub cuts: Vec<(Span, Cut)>,
    pub freezes: Vec<(Span, usize)>,
    /// Instances that are killed and start again.
    pub kills: Vec<(Span, usize)>,
    /// Instances that are stopped as planned and start again.
    pub stops: Vec<(Span, usize)>,
    pub length: u64,
}

/// A request that reached a target.
#[derive(Debug, Clone, Copy)]
struct Reached {
    instance: usize,
    sent: u64,
    at: u64,
    /// When its instance was told of the present limit.
    told: Option<u64>,
}

/// Result of a play.
#[derive(Debug, Default)]
pub struct Report {
    /// Most requests within the window at a target, relative to those allowed.
    pub worst: f64,
    /// Description of that window.
    pub window: String,
    /// Requests that reached targets while these stated a limit, and how many the limits allow.
    pub used: (f64, f64),
    /// Most requests in one second at a cold target, relative to those allowed, and its description.
    pub worst_cold: (f64, String),
    /// The same, of all requests, also of instances that are cut off.
    pub worst_cold_of_all: (f64, String),
    /// Requests that reached cold targets, and how many the bound allows.
    pub used_cold: (f64, f64),
    /// Requests that reached targets after these were cold, and an even share of all requests then.
    pub returned: (f64, f64),
    pub asked: u32,
    pub refused: u32,
    /// Refusals with their time and the time until the caller may return.
    pub refusals: Vec<(u64, Duration)>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// A request that its instance has sent at this time.
    Reaches(usize, Ticket, usize, u64),
    /// An instance reads the entry of a target that started at this time, or that it is removed.
    Listed(usize, usize, Option<u64>),
    /// Head of an answer, with the position of the limit that its target states.
    Head(usize, Ticket, Option<usize>, usize, Kind),
    Ends(usize, Ticket, Kind),
    Message(usize, usize, u64),
}

/// How a target handles a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Served,
    Fails,
    Declines,
    Breaks,
    /// No connection is established.
    Refuses,
}

struct Member {
    gateway: Gateway,
    /// When the instance was told of each target's limit.
    told: HashMap<usize, u64>,
    /// Events that wait for the end of a freeze.
    frozen: Vec<Due>,
}

struct Fleet<'a> {
    plan: &'a Plan,
    rng: ChaCha8Rng,
    table: Arc<RouteTable>,
    members: Vec<Option<Member>>,
    reached: BTreeMap<usize, Vec<Reached>>,
    /// When each limit was first named in an answer.
    first: HashMap<usize, u64>,
    due: BinaryHeap<Reverse<(u64, u64, Due)>>,
    messages: HashMap<u64, RelayUpdate>,
    starts: u64,
    next: u64,
    report: Report,
}

/// Plays `plan` with random choices that depend on `seed`.
pub fn play(plan: &Plan, seed: u64) -> Report {
    let mut fleet = Fleet::new(plan, seed);
    for now in (0..plan.length).step_by(5) {
        fleet.step(now);
    }
    fleet.count();
    fleet.report
}

fn name(instance: usize) -> InstanceId {
    InstanceId::new(format!("i{instance:03}"))
}

fn target_name(target: usize) -> TargetId {
    TargetId::new(format!("m{target}"))
}

fn zone(number: usize) -> usize {
    number % ZONES
}

fn zone_name(number: usize) -> ZoneId {
    ZoneId::new(format!("z{}", zone(number)))
}

impl Plan {
    /// Draws a play with limits that begin, change and end, and with faults of instances, one after
    /// the other and at once.
    pub fn random(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let instances = [2, 3, 6, 8, 8, 11, 16, 30][rng.random_range(0..8)];
        let targets = rng.random_range(2..10);
        let length = 40_000;
        let mut this = Self {
            instances,
            targets,
            requests: rng.random_range(4.0..20.0) * targets as f64,
            length,
            ..Self::default()
        };
        for target in 0..rng.random_range(1..=targets) {
            let mut start = rng.random_range(1_000..15_000);
            while start < length {
                let end = start + rng.random_range(500..12_000);
                let rate = [0.0, 0.1, 0.5, 1.0, 2.3, 3.0, 7.5, 40.0][rng.random_range(0..8)];
                this.limits.push(Named { during: start..end, target, rate });
                let pause = if rng.random_bool(0.5) { 0 } else { rng.random_range(1_000..6_000) };
                start = end + pause;
            }
        }
        this.add_faults(&mut rng);
        this
    }

    /// Draws a play in which targets start again, one or all of an availability zone at once, between
    /// faults of instances.
    pub fn random_cold(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let instances = [1, 2, 3, 6, 11, 16, 30, 60][rng.random_range(0..8)];
        let targets = rng.random_range(3..16);
        let cold = [1.0, 1.5, 2.0, 3.0, 8.0, 30.5, 80.0][rng.random_range(0..7)];
        let requests = rng.random_range(4.0..14.0) * targets as f64;
        let length = 40_000;
        let mut this = Self { instances, targets, cold, requests, length, ..Self::default() };
        let mut start = rng.random_range(5_000..9_000);
        while start < length {
            let down = start..start + rng.random_range(1_500..5_000);
            let one = rng.random_range(0..targets);
            let all = (0..targets).filter(|target| zone(*target) == zone(one));
            let down_all = all.map(|target| (down.clone(), target));
            if rng.random_bool(0.4) {
                this.restarts.extend(down_all);
            } else {
                this.restarts.push((down.clone(), one));
            }
            start = down.end + rng.random_range(4_000..9_000);
        }
        this.add_faults(&mut rng);
        this
    }

    /// Adds faults of instances.
    fn add_faults(&mut self, rng: &mut ChaCha8Rng) {
        let (instances, length) = (self.instances, self.length);
        let this = self;
        let mut now = 2_000;
        while now < length {
            let span = now..now + rng.random_range(200..12_000);
            let one = rng.random_range(0..instances);
            match rng.random_range(0..9) {
                0 | 1 => this.cuts.push((span, Cut::Instance(one))),
                2 => this.cuts.push((span, Cut::Zone(rng.random_range(0..ZONES)))),
                3 | 4 => this.freezes.push((now..now + rng.random_range(200..4_000), one)),
                5 | 6 => this.kills.push((now..now + rng.random_range(100..4_000), one)),
                7 => this.stops.push((now..now + rng.random_range(100..4_000), one)),
                _ => this.kills.extend(
                    (0..instances)
                        .filter(|_| rng.random_bool(0.6))
                        .map(|one| (now..now + 300, one)),
                ),
            }
            now += rng.random_range(100..5_000);
        }
    }

    /// Returns when the target last started, if it runs at `now`.
    fn started(&self, target: usize, now: u64) -> Option<u64> {
        let own = self.restarts.iter().filter(|(_, one)| *one == target);
        let is_down = own.clone().any(|(down, _)| down.contains(&now));
        let ends = own.map(|(down, _)| down.end).filter(|end| *end <= now);
        (!is_down).then(|| ends.max().unwrap_or(0))
    }

    /// Returns the entry of a target that started at `start`, as it was written at `now`.
    fn entry(&self, target: usize, start: u64, now: u64) -> ListedTarget {
        let left = if start == 0 { 0 } else { (start + COLD_MS).saturating_sub(now) };
        ListedTarget {
            zone: zone_name(target),
            incarnation: Incarnation(EPOCH + start),
            cold: Duration::from_millis(left),
            id: target_name(target),
            ..support::target("", MODEL, SLOTS)
        }
    }

    /// Returns the position of the limit that a target states at `now`.
    fn named(&self, target: usize, now: u64) -> Option<usize> {
        let is_named = |one: &Named| one.target == target && one.during.contains(&now);
        self.limits.iter().position(is_named)
    }

    fn is_cut(&self, a: usize, b: usize, now: u64) -> bool {
        self.cuts.iter().filter(|(during, _)| during.contains(&now)).any(|(_, cut)| match cut {
            Cut::Instance(one) => *one == a || *one == b,
            Cut::Zone(one) => (zone(a) == *one) != (zone(b) == *one),
        })
    }

    /// Returns whether the instance was cut off from any other at some time of `span`.
    fn was_cut(&self, instance: usize, span: Span) -> bool {
        let overlaps = |during: &Span| during.start < span.end && span.start < during.end;
        self.cuts.iter().any(|(during, cut)| {
            overlaps(during) && (matches!(cut, Cut::Zone(_)) || *cut == Cut::Instance(instance))
        })
    }

    fn is_down(&self, instance: usize, now: u64) -> bool {
        let all = self.kills.iter().chain(&self.stops);
        all.clone().any(|(during, one)| *one == instance && during.contains(&now))
    }

    fn is_frozen(&self, instance: usize, now: u64) -> bool {
        self.freezes.iter().any(|(during, one)| *one == instance && during.contains(&now))
    }

    /// Returns how long before `stops` a planned stop begins: the instance still runs and accepts
    /// no requests.
    fn is_stopping(&self, instance: usize, now: u64) -> bool {
        let mut stops = self.stops.iter().filter(|(_, one)| *one == instance);
        stops.any(|(during, _)| (during.start.saturating_sub(500)..during.start).contains(&now))
    }
}

impl<'a> Fleet<'a> {
    fn new(plan: &'a Plan, seed: u64) -> Self {
        let mut routing = routing();
        let duration = Duration::from_millis(COLD_MS);
        let cold = ColdStart { duration, rate: plan.cold };
        routing.services[0].cold = (plan.cold > 0.0).then_some(cold);
        Self {
            plan,
            rng: ChaCha8Rng::seed_from_u64(seed),
            table: Arc::new(RouteTable::new(routing)),
            members: (0..plan.instances).map(|_| None).collect(),
            reached: BTreeMap::new(),
            first: HashMap::new(),
            due: BinaryHeap::new(),
            messages: HashMap::new(),
            starts: 0,
            next: 0,
            report: Report::default(),
        }
    }

    fn start(&mut self, instance: usize, now: u64) {
        self.starts += 1;
        let me = Identity {
            incarnation: Incarnation(EPOCH + now + self.starts),
            ..identity(name(instance).as_str(), &format!("z{}", zone(instance)))
        };
        let tuning = Tuning { joined: now > 0, ..Tuning::default() };
        let mut gateway = Gateway::new(me, tuning, self.starts + self.rng.random::<u64>() / 2);
        gateway.handle(Event::Configured(Arc::clone(&self.table)), at(now));
        let listed = (0..self.plan.targets).filter_map(|target| {
            let start = self.plan.started(target, now)?;
            Some(TargetChange::Listed(self.plan.entry(target, start, now)))
        });
        let listed = listed.collect();
        gateway.handle(Event::ListedAll(listed), at(now));
        let others = (0..self.plan.instances).filter(|peer| *peer != instance);
        let peers: Vec<_> = others.map(|peer| (name(peer), zone_name(peer))).collect();
        let peers: Vec<_> = peers.iter().map(|(name, zone)| (name, zone)).collect();
        gateway.expect_peers(&peers, at(now));
        let member = Member { gateway, told: HashMap::new(), frozen: Vec::new() };
        self.members[instance] = Some(member);
    }

    fn push(&mut self, when: u64, due: Due) {
        self.next += 1;
        self.due.push(Reverse((when, self.next, due)));
    }

    fn path_ms(&mut self) -> u64 {
        self.rng.random_range(PATH_MS)
    }

    fn step(&mut self, now: u64) {
        for instance in 0..self.plan.instances {
            match (self.plan.is_down(instance, now), self.members[instance].is_some()) {
                (true, true) => self.members[instance] = None,
                (false, false) => self.start(instance, now),
                _ => {}
            }
            if self.plan.is_stopping(instance, now) {
                self.send(instance, Event::Stop, now);
            }
            if !self.plan.is_frozen(instance, now) {
                self.thaw(instance, now);
                if now.is_multiple_of(TICK_MS) {
                    self.send(instance, Event::Tick, now);
                }
            }
        }
        self.restart_targets(now);
        self.arrivals(now);
        while self.due.peek().is_some_and(|Reverse((when, ..))| *when <= now) {
            if let Some(Reverse((_, _, due))) = self.due.pop() {
                self.happen(due, now);
            }
        }
        self.exchange(now);
    }

    /// Has all instances read the entries of targets that start or are removed at `now`.
    fn restart_targets(&mut self, now: u64) {
        let plan = self.plan;
        for &(ref down, target) in &plan.restarts {
            let expiry = down.start + EXPIRY_MS;
            let entry = if (now..now + 5).contains(&down.end) {
                Some(down.end)
            } else if (now..now + 5).contains(&expiry) && down.contains(&expiry) {
                None
            } else {
                continue;
            };
            for instance in 0..plan.instances {
                // Each instance reads the changes of a target in their order.
                let delay =
                    (instance as u64 * 379 + target as u64 * 97) % (LIST_MS.end - LIST_MS.start);
                let read = now + LIST_MS.start + delay;
                self.push(read, Due::Listed(instance, target, entry));
            }
        }
    }

    fn thaw(&mut self, instance: usize, now: u64) {
        let mut ended = self.plan.freezes.iter().filter(|(during, one)| {
            *one == instance && (now..now + 5).contains(&during.end.next_multiple_of(5))
        });
        if let Some((during, _)) = ended.next() {
            let length = Duration::from_millis(during.end - during.start);
            self.send(instance, Event::Stalled(length), now);
        }
        let Some(member) = &mut self.members[instance] else { return };
        for due in std::mem::take(&mut member.frozen) {
            self.happen(due, now);
        }
    }

    fn arrivals(&mut self, now: u64) {
        if self.plan.quiet.as_ref().is_some_and(|quiet| quiet.contains(&now)) {
            return;
        }
        let mut left = self.plan.requests * 0.005;
        while left > 0.0 {
            if self.rng.random_bool(left.min(1.0)) {
                self.arrive(now);
            }
            left -= 1.0;
        }
    }

    fn arrive(&mut self, now: u64) {
        // Callers are spread unevenly.
        let pick = self.rng.random::<f64>().powf(1.5) * self.plan.instances as f64;
        let instance = (pick as usize).min(self.plan.instances - 1);
        let is_up = self.members[instance].is_some() && !self.plan.is_frozen(instance, now);
        if !is_up || self.plan.is_stopping(instance, now) {
            return;
        }
        self.next += 1;
        self.report.asked += 1;
        let arrival = Arrival {
            prompt_tokens: Some(300),
            output_tokens: 50,
            ..arrival(&self.table, self.next, "/urgent/x", at(now))
        };
        self.send(instance, Event::Arrive(arrival), now);
    }

    fn send(&mut self, instance: usize, event: Event<'_>, now: u64) {
        let Some(member) = &mut self.members[instance] else { return };
        for action in member.gateway.handle(event, at(now)) {
            match action.step {
                Step::Dispatch(dispatch) => self.dispatch(instance, action.ticket, &dispatch, now),
                Step::Refuse(refusal) => self.refused(&refusal, now),
                _ => {}
            }
        }
    }

    fn refused(&mut self, refusal: &Refusal, now: u64) {
        self.report.refused += 1;
        self.report.refusals.push((now, refusal.retry_after));
    }

    fn dispatch(&mut self, instance: usize, ticket: Ticket, dispatch: &Dispatch, now: u64) {
        let Ok(target) = dispatch.target.as_str()[1..].parse() else { return };
        let is_late = self.rng.random_range(0..LATE_ONE_IN) == 0;
        let path = self.rng.random_range(if is_late { LATE_PATH_MS } else { PATH_MS });
        self.push(now + path, Due::Reaches(instance, ticket, target, now));
    }

    fn happen(&mut self, due: Due, now: u64) {
        match due {
            Due::Reaches(instance, ticket, target, sent) => {
                self.reach(instance, ticket, target, sent, now);
            }
            Due::Message(from, to, number) => self.deliver(from, to, number, now),
            Due::Head(instance, ..) | Due::Ends(instance, ..) | Due::Listed(instance, ..)
                if self.plan.is_frozen(instance, now) =>
            {
                if let Some(member) = &mut self.members[instance] {
                    member.frozen.push(due);
                }
            }
            Due::Head(instance, ticket, named, target, kind) => {
                let rate = named.map(|named| self.plan.limits[named].rate);
                if let Some(member) = self.members[instance].as_mut().filter(|_| rate.is_some()) {
                    member.told.entry(target).or_insert(now);
                }
                self.send(instance, Event::TargetLimit(ticket, rate), now);
                if kind == Kind::Served {
                    self.send(instance, Event::Started(ticket), now);
                }
            }
            Due::Ends(instance, ticket, kind) => {
                let outcome = match kind {
                    Kind::Served => AttemptOutcome::Whole,
                    Kind::Fails => AttemptOutcome::Failing,
                    Kind::Declines => AttemptOutcome::Declined,
                    Kind::Breaks => AttemptOutcome::Broken,
                    Kind::Refuses => AttemptOutcome::Unconnected,
                };
                self.send(instance, Event::Ended(ticket, outcome), now);
            }
            Due::Listed(instance, target, start) => {
                let change = match start {
                    Some(start) => TargetChange::Listed(self.plan.entry(target, start, start)),
                    None => TargetChange::Removed(target_name(target)),
                };
                self.send(instance, Event::Listed(vec![change]), now);
            }
        }
    }

    fn reach(&mut self, instance: usize, ticket: Ticket, target: usize, sent: u64, now: u64) {
        if self.plan.started(target, now).is_none() {
            let back = now + self.path_ms();
            return self.push(back, Due::Ends(instance, ticket, Kind::Refuses));
        }
        let is_limited = self.plan.named(target, now).is_some();
        let told = self.members[instance].as_mut().and_then(|member| {
            if !is_limited {
                member.told.remove(&target);
            }
            member.told.get(&target).copied()
        });
        self.reached.entry(target).or_default().push(Reached { instance, sent, at: now, told });
        let kind = match self.rng.random_range(0..100) {
            0..4 => Kind::Fails,
            4..7 => Kind::Declines,
            7..9 => Kind::Breaks,
            _ => Kind::Served,
        };
        let answered = now + self.rng.random_range(HEAD_MS);
        let stated = self.plan.named(target, answered);
        let head = answered + self.path_ms();
        // An answer that declines without naming a limit says nothing.
        if kind != Kind::Breaks && (kind != Kind::Declines || stated.is_some()) {
            if let Some(stated) = stated {
                let first = self.first.entry(stated).or_insert(answered);
                *first = answered.min(*first);
            }
            self.push(head, Due::Head(instance, ticket, stated, target, kind));
        }
        let work = if kind == Kind::Declines { 1 } else { self.rng.random_range(WORK_MS) };
        self.push(head + work, Due::Ends(instance, ticket, kind));
    }

    /// Returns the interval between two exchanges of a pair.
    fn interval(&self, a: usize, b: usize) -> u64 {
        let peers = self.plan.instances as u64 - 1;
        if peers <= 10 {
            EXCHANGE_MS
        } else if zone(a) == zone(b) {
            EXCHANGE_MS.max(EXCHANGE_MS * 2 * (peers / ZONES as u64) / 10)
        } else {
            EXCHANGE_MS * peers / 10
        }
    }

    fn exchange(&mut self, now: u64) {
        for a in 0..self.plan.instances {
            for b in a + 1..self.plan.instances {
                let interval = self.interval(a, b) / 5 * 5;
                let offset = 5 * ((a * 7 + b * 3) as u64);
                if (now + offset).is_multiple_of(interval) {
                    self.message(a, b, now);
                    self.message(b, a, now);
                }
            }
        }
    }

    fn message(&mut self, from: usize, to: usize, now: u64) {
        if self.plan.is_cut(from, to, now) || self.plan.is_frozen(from, now) {
            return;
        }
        let Some(member) = &mut self.members[from] else { return };
        let update =
            member.gateway.peer_update(&name(to), StorePosition::default(), Time::ZERO, at(now));
        let when = now + self.path_ms();
        self.next += 1;
        let number = self.next;
        self.messages.insert(number, update);
        self.push(when, Due::Message(from, to, number));
    }

    fn deliver(&mut self, from: usize, to: usize, number: u64, now: u64) {
        let Some(update) = self.messages.remove(&number) else { return };
        if !self.plan.is_cut(from, to, now) && !self.plan.is_frozen(to, now) {
            self.send(to, Event::PeerUpdate(&update), now);
        }
    }

    /// Compares what reached the cold targets with what they allow.
    fn count_cold(&mut self) {
        for &(ref down, target) in &self.plan.restarts {
            let cold = down.end..(down.end + COLD_MS).min(self.plan.length);
            let Some(all_reached) = self.reached.get(&target) else { continue };
            let knows = |one: &Reached| {
                self.plan.cold >= MARGIN_FROM
                    || !self.plan.was_cut(one.instance, down.start..one.sent)
            };
            let all: Vec<_> = all_reached.iter().filter(|one| cold.contains(&one.at)).collect();
            let reached: Vec<_> = all.iter().copied().filter(|one| knows(one)).collect();
            let report = &mut self.report;
            for (counted, worst) in
                [(&reached, &mut report.worst_cold), (&all, &mut report.worst_cold_of_all)]
            {
                let (count, until) = busiest_second(counted);
                let ratio = count as f64 / self.plan.cold;
                if ratio > worst.0 {
                    *worst = (ratio, format!("m{target}: {count} in 1 s until {until}"));
                }
            }
            let warm = down.end + COLD_MS + WARM_MS..self.plan.length;
            let is_warm = |one: &&Reached| warm.contains(&one.at);
            let everywhere = self.reached.values().flatten().filter(is_warm).count();
            report.returned.0 += all_reached.iter().filter(is_warm).count() as f64;
            report.returned.1 += everywhere as f64 / self.plan.targets as f64;
            self.report.used_cold.0 += reached.len() as f64;
            let seconds = cold.end.saturating_sub(cold.start) as f64 / 1_000.0;
            self.report.used_cold.1 += seconds * self.plan.cold.floor();
        }
    }

    /// Compares what reached the targets with what their limits allow.
    fn count(&mut self) {
        self.count_cold();
        for (&target, reached) in &self.reached {
            for named in self.plan.limits.iter().filter(|one| one.target == target) {
                let during = &named.during;
                let counted = during.start + CONTACT_MS..during.end.min(self.plan.length);
                let seconds = counted.end.saturating_sub(counted.start) as f64 / 1_000.0;
                self.report.used.1 += seconds * named.rate;
                self.report.used.0 +=
                    reached.iter().filter(|one| counted.contains(&one.at)).count() as f64;
            }
            for last in reached {
                let Some((start, allowed)) = self.allowed(target, last.at) else { continue };
                let window = last.at.saturating_sub(WINDOW_MS) + 1..last.at + 1;
                let is_counted = |one: &&Reached| {
                    window.contains(&one.at)
                        && one.told.is_some_and(|told| told >= start && told + TOLD_MS <= one.at)
                };
                let count = reached.iter().filter(is_counted).count();
                let ratio = count as f64 / allowed;
                if ratio > self.report.worst {
                    self.report.worst = ratio;
                    self.report.window =
                        format!("m{target}: {count} of {allowed} in 4 s until {}", last.at);
                }
            }
        }
    }

    /// Returns since when a target has named limits in its answers, and the requests that these
    /// allow in the window that ends at `end`; none if the bound does not hold then. A lower limit
    /// binds from the contact time after it was first named.
    fn allowed(&self, target: usize, end: u64) -> Option<(u64, f64)> {
        let mut rate: f64 = 0.0;
        let mut start = None;
        // From the present limit back to the first one without a pause between them.
        let mut next = Some((self.plan.named(target, end)?, end));
        while let Some((position, until)) = next {
            let named = &self.plan.limits[position];
            if until + WINDOW_MS >= end {
                rate = rate.max(named.rate);
            }
            let first = self.first.get(&position).copied();
            start = first.or(start);
            let before = self.plan.named(target, named.during.start.saturating_sub(1));
            next = before.map(|before| (before, first.unwrap_or(end) + CONTACT_MS));
        }
        let start = start.filter(|start| end >= start + CONTACT_MS)?;
        Some((start, BOUND.0 * rate * WINDOW_MS as f64 / 1_000.0 + BOUND.1))
    }
}

/// Returns the most requests that were sent and arrived within one second, and when it ended.
fn busiest_second(reached: &[&Reached]) -> (usize, u64) {
    let counts = reached.iter().map(|last| {
        let second = last.at.saturating_sub(1_000) + 1..last.at + 1;
        let is_counted = |one: &&&Reached| second.contains(&one.at) && second.contains(&one.sent);
        (reached.iter().filter(is_counted).count(), last.at)
    });
    counts.max_by_key(|(count, _)| *count).unwrap_or_default()
}
