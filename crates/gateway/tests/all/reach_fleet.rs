//! A loop over instances of which some are partitioned from all targets.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamewind_gateway::targets::TargetChange;
use sesamewind_gateway::{
    Arrival, AttemptOutcome, Event, Gateway, PassOutcome, ProbeResult, RouteTable, Step, Ticket,
    Tuning,
};
use sesamewind_protocol::relay::{ReachState, StorePosition};
use sesamewind_protocol::{InstanceId, TargetId, Time};

use crate::support::{at, identity, routing, target};

/// Milliseconds between two turns of the loop.
const STEP_MS: u64 = 10;

/// Milliseconds after which a connection that hangs is given up, and a target or a probe counts as
/// silent.
const CONNECT_MS: u64 = 400;
const SILENCE_MS: u64 = 700;

/// Milliseconds that a target works on a request, and takes to answer a probe.
pub const WORK_MS: Range<u64> = 60..160;
pub const PROBE_MS: u64 = 10;

/// How paths to targets fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing arrives on new and open connections.
    Hang,
    /// New and open connections are reset.
    Reset,
    /// New connections are refused; a fraction of the attempts finds an open one that carries data.
    RefuseNew,
}

/// A play of the loop; times are in milliseconds.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Instances in each availability zone.
    pub zones: Vec<usize>,
    /// Targets, and slots of each.
    pub targets: (usize, u32),
    /// Requests a second at each instance.
    pub rate: f64,
    /// How paths fail.
    pub fault: Fault,
    /// Instances that are cut from all targets.
    pub cut: Range<usize>,
    /// Targets that are down for everybody.
    pub down: Range<usize>,
    /// Milliseconds that a target works on a request.
    pub work: Range<u64>,
    /// Milliseconds that a target takes to answer a probe.
    pub probe: u64,
    /// When the cut holds.
    pub during: Range<u64>,
    /// Length of the play.
    pub length: u64,
}

/// First tries in the time that counts.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tries {
    /// Requests.
    pub asked: u32,
    /// Requests that were served.
    pub served: u32,
}

impl Tries {
    /// Adds the tries of another play.
    pub fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.served += other.served;
    }

    /// Returns the fraction of requests that were served.
    pub fn share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.asked.max(1))
    }
}

/// Result of a play.
#[derive(Debug, Default)]
pub struct Report {
    /// First tries at instances that are cut, and at others, from a contact time after the cut.
    pub tries: [Tries; 2],
    /// Milliseconds from the cut until the last instance knew of it; none if one never did.
    pub recognized: Option<u64>,
    /// Milliseconds from the end of the cut until the last instance knew of it.
    pub returned: Option<u64>,
    /// Instances that took themselves for cut off without a cut.
    pub mistaken: usize,
    /// Probes of targets.
    pub probes: usize,
    /// Requests that ran more often than once.
    pub repeated: usize,
    /// Requests of callers.
    pub arrived: u32,
    /// Requests that peers have passed on after an attempt.
    pub passed_again: u32,
    /// First attempts that the retry budgets of all instances have counted.
    pub first: u32,
}

/// What happens to a request of an instance at a certain time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Ends(usize, Ticket, u32, End),
    Silent(usize, Ticket, u32),
    Probed(usize, usize, ProbeResult),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    Whole,
    Unconnected,
    Broken,
}

#[derive(Debug, Clone)]
struct Flight {
    arrived: u64,
    /// Request of another instance that this one serves.
    origin: Option<(usize, Ticket)>,
    attempt: u32,
    target: Option<usize>,
    arrival: Arrival,
    runs: u32,
}

struct Fleet<'a> {
    plan: &'a Plan,
    rng: ChaCha8Rng,
    table: Arc<RouteTable>,
    gateways: Vec<Gateway>,
    flights: HashMap<(usize, Ticket), Flight>,
    due: BinaryHeap<Reverse<(u64, Due)>>,
    next: Ticket,
    cut_off: Vec<Option<u64>>,
    report: Report,
}

/// Timeout of the routes: a later request could be served after the cut.
const TIMEOUT_MS: u64 = 1_500;

/// Milliseconds from the cut after which first tries count.
pub const CONTACT_MS: u64 = 3_000;

/// Plays `plan` with random choices that depend on `seed`.
pub fn play(plan: &Plan, seed: u64) -> Report {
    let table = Arc::new(RouteTable::new(routing()));
    let mut gateways = Vec::new();
    for (zone, count) in plan.zones.iter().enumerate() {
        for _ in 0..*count {
            let number = gateways.len();
            let mut me = identity(&format!("i{number}"), &format!("z{}", zone + 1));
            me.address = format!("127.0.0.1:{}", 10_000 + number);
            let mut gateway = Gateway::new(me, Tuning::default(), seed + number as u64);
            gateway.handle(Event::Configured(Arc::clone(&table)), at(0));
            let listed = (0..plan.targets.0)
                .map(|n| TargetChange::Listed(target(&format!("p{n}"), "plain", plan.targets.1)));
            gateway.handle(Event::ListedAll(listed.collect()), at(0));
            gateways.push(gateway);
        }
    }
    let mut fleet = Fleet {
        plan,
        rng: ChaCha8Rng::seed_from_u64(seed),
        table,
        cut_off: vec![None; gateways.len()],
        gateways,
        flights: HashMap::new(),
        due: BinaryHeap::new(),
        next: 0,
        report: Report::default(),
    };
    for now in (0..plan.length).step_by(STEP_MS as usize) {
        fleet.step(now);
    }
    for gateway in &mut fleet.gateways {
        let reports = gateway.take_retry_reports(at(plan.length));
        fleet.report.first += reports.iter().map(|(_, report)| report.counts.first).sum::<u32>();
    }
    fleet.report
}

impl Fleet<'_> {
    fn step(&mut self, now: u64) {
        if now == self.plan.during.start {
            self.break_open(now);
        }
        let count = self.gateways.len();
        self.exchange(now);
        for instance in 0..count {
            let chance = self.plan.rate * STEP_MS as f64 / 1_000.0;
            if self.rng.random_bool(chance.min(1.0)) {
                self.arrive(instance, now);
            }
        }
        while let Some(Reverse((_, due))) = self.due.peek().filter(|due| due.0.0 <= now).copied() {
            self.due.pop();
            self.happen(due, now);
        }
        for instance in 0..count {
            if now.is_multiple_of(20) {
                self.send(instance, Event::Tick, now);
            }
            for probe in self.gateways[instance].take_probes() {
                self.report.probes += 1;
                let is_up = self.reaches(instance, now) && !self.is_down(probe.target, now);
                let mut push = |answered, took| {
                    let result = ProbeResult { answered, took: Duration::from_millis(took) };
                    let due = Due::Probed(instance, probe.target, result);
                    self.due.push(Reverse((now + took, due)));
                };
                let patience = probe.patience.as_millis() as u64;
                match self.plan.fault {
                    _ if is_up && self.plan.probe <= patience => push(true, self.plan.probe),
                    _ if is_up => {
                        push(false, patience);
                        push(true, self.plan.probe);
                    }
                    Fault::Hang => push(false, patience),
                    Fault::Reset | Fault::RefuseNew => push(false, 10),
                }
            }
            self.note_changes(instance, now);
        }
    }

    fn note_changes(&mut self, instance: usize, now: u64) {
        for change in self.gateways[instance].take_reach_changes() {
            let is_cut = !self.reaches(instance, now);
            match change.state {
                ReachState::CutOff if !is_cut => self.report.mistaken += 1,
                ReachState::CutOff => self.cut_off[instance] = Some(now),
                ReachState::Reaching if now >= self.plan.during.end => {
                    self.report.returned = Some(now - self.plan.during.end);
                }
                ReachState::Reaching | ReachState::InDoubt => {}
            }
        }
        let cut = &self.cut_off[self.plan.cut.clone()];
        if cut.iter().all(Option::is_some) {
            let last = cut.iter().flatten().max();
            self.report.recognized = last.map(|last| last - self.plan.during.start);
        }
    }

    fn reaches(&self, instance: usize, now: u64) -> bool {
        !(self.plan.cut.contains(&instance) && self.plan.during.contains(&now))
    }

    fn is_down(&self, target: usize, now: u64) -> bool {
        self.plan.down.contains(&target) && self.plan.during.contains(&now)
    }

    /// Ends or silences the attempts that are at targets when the cut begins.
    fn break_open(&mut self, now: u64) {
        let open: Vec<_> = self.flights.iter().map(|(key, one)| (*key, one.clone())).collect();
        for ((instance, ticket), flight) in open {
            let Some(target) = flight.target else { continue };
            if self.reaches(instance, now) && !self.is_down(target, now) {
                continue;
            }
            self.due.retain(
                |due| !matches!(due.0.1, Due::Ends(i, t, ..) if (i, t) == (instance, ticket)),
            );
            let due = match self.plan.fault {
                Fault::Hang => (now + SILENCE_MS, Due::Silent(instance, ticket, flight.attempt)),
                _ => (now, Due::Ends(instance, ticket, flight.attempt, End::Broken)),
            };
            self.due.push(Reverse(due));
        }
    }

    /// Exchanges the states of pairs of instances as often as each one's messages are sent.
    fn exchange(&mut self, now: u64) {
        let count = self.gateways.len();
        // One message to each peer in 100 ms for each ten instances.
        let share = STEP_MS as f64 / (100.0 * (count as f64 / 10.0).max(1.0));
        let messages = ((count * (count - 1)) as f64 * share).ceil() as usize;
        for _ in 0..messages {
            let from = self.rng.random_range(0..count);
            let to = (from + self.rng.random_range(1..count)) % count;
            let name = InstanceId::new(format!("i{to}"));
            let update = self.gateways[from].peer_update(
                &name,
                StorePosition::default(),
                Time::ZERO,
                at(now),
            );
            self.send(to, Event::PeerUpdate(&update), now);
        }
    }

    fn arrive(&mut self, instance: usize, now: u64) {
        let path = if self.rng.random_bool(0.5) { "/read/x" } else { "/once/x" };
        let resolved = self.table.resolve("host.example", path, Some("key-a")).expect("a route");
        let deadline = at(now) + resolved.route.timeout;
        let arrival = Arrival {
            ticket: 0,
            route: resolved.route,
            account: resolved.account,
            prompt_tokens: None,
            output_tokens: 0,
            parts: Arc::default(),
            point: 0.5,
            deadline,
            counted: false,
        };
        self.report.arrived += 1;
        if self.counts(now) {
            self.tries(instance).asked += 1;
        }
        self.enter(instance, arrival, None, now);
    }

    fn counts(&self, arrived: u64) -> bool {
        let end = self.plan.during.end - TIMEOUT_MS;
        (self.plan.during.start + CONTACT_MS..end).contains(&arrived)
    }

    fn tries(&mut self, instance: usize) -> &mut Tries {
        &mut self.report.tries[usize::from(!self.plan.cut.contains(&instance))]
    }

    fn enter(
        &mut self,
        instance: usize,
        arrival: Arrival,
        origin: Option<(usize, Ticket)>,
        now: u64,
    ) {
        let ticket = self.next;
        self.next += 1;
        let arrival = Arrival { ticket, ..arrival };
        let flight = Flight {
            arrived: now,
            origin,
            attempt: 0,
            target: None,
            arrival: arrival.clone(),
            runs: 0,
        };
        self.flights.insert((instance, ticket), flight);
        let event = match origin {
            Some(_) => Event::ArrivePassed(arrival),
            None => Event::Arrive(arrival),
        };
        self.send(instance, event, now);
    }

    fn send(&mut self, instance: usize, event: Event<'_>, now: u64) {
        for action in self.gateways[instance].handle(event, at(now)) {
            self.act(instance, action.ticket, action.step, now);
        }
    }

    fn act(&mut self, instance: usize, ticket: Ticket, step: Step, now: u64) {
        let key = (instance, ticket);
        match step {
            Step::Dispatch(dispatch) => {
                let target = number(&dispatch.target);
                let is_up = self.reaches(instance, now) && !self.is_down(target, now);
                self.free(key);
                let Some(flight) = self.flights.get_mut(&key) else { return };
                flight.attempt += 1;
                flight.target = Some(target);
                let attempt = flight.attempt;
                let works =
                    is_up || (self.plan.fault == Fault::RefuseNew && self.rng.random_bool(0.1));
                let end = |end| Due::Ends(instance, ticket, attempt, end);
                let due = if works {
                    self.flights.entry(key).and_modify(|flight| flight.runs += 1);
                    (now + self.rng.random_range(self.plan.work.clone()), end(End::Whole))
                } else if self.plan.fault == Fault::Hang {
                    (now + CONNECT_MS, end(End::Unconnected))
                } else {
                    (now, end(End::Unconnected))
                };
                self.due.push(Reverse(due));
            }
            Step::PassOn(pass) => {
                self.free(key);
                let port = usize::from(pass.address.port());
                let Some(flight) = self.flights.get(&key) else { return };
                let arrival = Arrival { counted: pass.counted, ..flight.arrival.clone() };
                self.report.passed_again += u32::from(pass.counted);
                self.enter(port - 10_000, arrival, Some(key), now);
            }
            Step::Wait | Step::Hedge(_) | Step::Unhedged(_) => {}
            Step::Refuse(refusal) => {
                let is_taken = refusal.reason.as_str() != "not_taken";
                let outcome = if is_taken { PassOutcome::Refused } else { PassOutcome::Declined };
                self.finish(key, outcome, now);
            }
            Step::DeliverRefusal(_) => self.finish(key, PassOutcome::Refused, now),
            Step::DeliverFailure | Step::Fail(_) => self.finish(key, PassOutcome::Broken, now),
        }
    }

    fn free(&mut self, key: (usize, Ticket)) {
        if let Some(flight) = self.flights.get_mut(&key) {
            flight.target = None;
        }
    }

    /// Ends a request; one that was passed on ends at the other instance as well.
    fn finish(&mut self, key: (usize, Ticket), outcome: PassOutcome, now: u64) {
        self.free(key);
        let Some(flight) = self.flights.remove(&key) else { return };
        if let Some(origin) = flight.origin {
            if let Some(first) = self.flights.get_mut(&origin) {
                first.runs += flight.runs;
            }
            self.send(origin.0, Event::PassEnded(origin.1, outcome), now);
            // The other instance delivers an answer itself.
            if outcome == PassOutcome::Answered {
                self.finish(origin, outcome, now);
            }
            return;
        }
        if flight.runs > 1 && flight.arrival.route.name.as_str() == "once" {
            self.report.repeated += 1;
        }
        if outcome == PassOutcome::Answered && self.counts(flight.arrived) {
            self.tries(key.0).served += 1;
        }
    }

    fn happen(&mut self, due: Due, now: u64) {
        match due {
            Due::Probed(instance, target, result) => {
                self.send(instance, Event::Probed(target, result), now);
            }
            Due::Silent(instance, ticket, attempt) => {
                let flight = self.flights.get(&(instance, ticket));
                let Some(flight) = flight.filter(|one| one.attempt == attempt) else { return };
                if at(now) >= flight.arrival.deadline {
                    self.send(instance, Event::Ended(ticket, AttemptOutcome::Expired), now);
                    return;
                }
                let again = Due::Silent(instance, ticket, attempt);
                self.due.push(Reverse((now + 200, again)));
                if flight.arrival.route.name.as_str() == "read" && flight.target.is_some() {
                    self.send(instance, Event::Silent(ticket), now);
                }
            }
            Due::Ends(instance, ticket, attempt, end) => {
                let key = (instance, ticket);
                if self.flights.get(&key).is_none_or(|flight| flight.attempt != attempt) {
                    return;
                }
                self.free(key);
                let outcome = match end {
                    End::Whole => AttemptOutcome::Whole,
                    End::Unconnected => AttemptOutcome::Unconnected,
                    End::Broken => AttemptOutcome::Broken,
                };
                if end == End::Whole {
                    self.send(instance, Event::Started(ticket), now);
                }
                self.send(instance, Event::Ended(ticket, outcome), now);
                if end == End::Whole {
                    self.finish(key, PassOutcome::Answered, now);
                }
            }
        }
    }
}

fn number(target: &TargetId) -> usize {
    target.as_str()[1..].parse().expect("the name of a target")
}
