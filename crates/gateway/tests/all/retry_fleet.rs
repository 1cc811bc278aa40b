//! Instances whose requests fail at targets, with the retries that they make.

use std::ops::Range;
use std::time::Duration;

use sesamewind_gateway::gateway::Identity;
use sesamewind_gateway::{AttemptOutcome, Event, Tuning};
use sesamewind_protocol::relay::StorePosition;
use sesamewind_protocol::{Incarnation, InstanceId, Time, ZoneId};

use crate::support::{Bench, PLAIN, at, identity, routing, target};

/// Window of the budget, in milliseconds.
const WINDOW: u64 = 10_000;

/// Time between two steps of a play, in milliseconds.
const STEP: u64 = 50;

/// Length of a play, in milliseconds.
const LENGTH: u64 = 40_000;

/// What happens to instances of a play.
#[derive(Debug, Clone)]
pub enum Change {
    /// They are killed and start again at once.
    Kill(Range<usize>),
    /// One stops as planned, and starts again after this time in milliseconds.
    Stop(usize, u64),
}

/// A play of a deployment.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of instances.
    pub instances: usize,
    /// Retries for each first attempt.
    pub ratio: f64,
    /// Further retries within a window.
    pub extra: f64,
    /// Time after the start of an instance until it reads the announcements, in milliseconds.
    pub read_after: u64,
    /// Time after the start of an instance until it hears updates of peers, in milliseconds.
    pub heard_after: u64,
    /// What happens to instances, and when.
    pub changes: Vec<(u64, Change)>,
    /// Requests that arrive at an instance in a step at a time.
    pub load: fn(usize, u64) -> usize,
    /// Since when all targets fail, in milliseconds.
    pub failing_from: u64,
}

/// Gateways of a deployment, and all attempts at targets.
pub struct Fleet {
    benches: Vec<Bench>,
    names: Vec<InstanceId>,
    tuning: Tuning,
    /// Start of each instance, in milliseconds.
    starts: Vec<u64>,
    /// When each instance ended that has not started again.
    down: Vec<Option<u64>>,
    first: Vec<u64>,
    retries: Vec<u64>,
}

impl Fleet {
    /// Starts `instances` at once.
    pub fn new(instances: usize, tuning: Tuning) -> Self {
        let names: Vec<_> = (0..instances).map(|n| InstanceId::new(format!("i{n}"))).collect();
        let start = |name| started(name, &tuning, 0);
        Self {
            benches: names.iter().map(start).collect(),
            starts: vec![0; instances],
            down: vec![None; instances],
            first: Vec::new(),
            retries: Vec::new(),
            names,
            tuning,
        }
    }

    /// Has all instances read the announcements, of all others or of none.
    pub fn read_announcements(&mut self, announced: bool, now: Time) {
        for instance in 0..self.names.len() {
            if announced {
                self.read_announcements_at(instance, now);
            } else {
                self.benches[instance].gateway.expect_peers(&[], now);
            }
        }
    }

    fn read_announcements_at(&mut self, instance: usize, now: Time) {
        let zone = ZoneId::new("z1");
        let names: Vec<_> = self.names.iter().map(|name| (name, &zone)).collect();
        let others: Vec<_> = names
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != instance)
            .map(|(_, announced)| *announced)
            .collect();
        self.benches[instance].gateway.expect_peers(&others, now);
    }

    /// Starts an instance of a running deployment.
    fn restart(&mut self, instance: usize, now: u64) {
        let tuning = Tuning { joined: true, ..self.tuning.clone() };
        self.benches[instance] = started(&self.names[instance], &tuning, now);
        self.starts[instance] = now;
        self.down[instance] = None;
    }

    /// Exchanges updates between the instances on the same side.
    pub fn exchange(&mut self, side: impl Fn(usize) -> usize, now: u64) {
        for from in 0..self.names.len() {
            for to in (0..self.names.len()).filter(|&to| to != from && side(to) == side(from)) {
                self.send_update(from, to, now);
            }
        }
    }

    fn send_update(&mut self, from: usize, to: usize, now: u64) {
        let bench = &mut self.benches[from];
        let position = StorePosition::default();
        let update = bench.gateway.peer_update(&self.names[to], position, at(now), at(now));
        self.benches[to].send(Event::PeerUpdate(&update), at(now));
    }

    /// Has `load` requests arrive at each instance, whose first attempts end with `outcome`.
    pub fn serve(&mut self, load: impl Fn(usize) -> usize, outcome: AttemptOutcome, now: u64) {
        for instance in (0..self.names.len()).filter(|one| self.down[*one].is_none()) {
            let bench = &mut self.benches[instance];
            bench.send(Event::Tick, at(now));
            for _ in 0..load(instance) {
                let ticket = bench.arrive("read", 0, at(now));
                if bench.dispatch(ticket).is_none() {
                    continue;
                }
                self.first.push(now);
                bench.end(ticket, outcome, at(now));
                if bench.dispatch(ticket).is_some_and(|again| again.attempt == 2) {
                    self.retries.push(now);
                }
                bench.send(Event::CallerLeft(ticket), at(now));
            }
        }
    }

    /// Returns the most retries in any window.
    pub fn most_retries(&self) -> usize {
        self.worst_window(0.0, 0.0).0
    }

    /// Returns the retries in the window that exceeds the bound most, and the bound there.
    pub fn worst_window(&self, ratio: f64, extra: f64) -> (usize, f64) {
        let within = |times: &[u64], start: u64| {
            let end = times.partition_point(|time| *time < start + WINDOW);
            end - times.partition_point(|time| *time < start)
        };
        let windows = (0..LENGTH - WINDOW).step_by(STEP as usize).map(|start| {
            let starts = [start, start.saturating_sub(WINDOW / 2), start.saturating_sub(WINDOW)];
            let first = starts.iter().map(|start| within(&self.first, *start)).max().unwrap_or(0);
            (within(&self.retries, start), ratio * first as f64 + extra)
        });
        let excess = |window: &(usize, f64)| window.0 as f64 - window.1;
        windows.max_by(|a, b| excess(a).total_cmp(&excess(b))).unwrap_or_default()
    }
}

/// Plays `plan` to its end.
pub fn play(plan: &Plan) -> Fleet {
    let tuning = Tuning {
        retry_ratio: plan.ratio,
        retry_extra: plan.extra,
        retry_window: Duration::from_millis(WINDOW),
        ..Tuning::default()
    };
    let mut fleet = Fleet::new(plan.instances, tuning);
    let mut back = Vec::new();
    for now in (0..LENGTH).step_by(STEP as usize) {
        for (_, change) in plan.changes.iter().filter(|(time, _)| *time == now) {
            match change {
                Change::Kill(range) => range.clone().for_each(|one| fleet.restart(one, now)),
                Change::Stop(one, after) => {
                    fleet.benches[*one].send(Event::Stop, at(now));
                    for to in (0..plan.instances).filter(|to| to != one) {
                        fleet.send_update(*one, to, now);
                    }
                    fleet.down[*one] = Some(now);
                    back.push((now + after, *one));
                }
            }
        }
        for (_, one) in back.extract_if(.., |(time, _)| *time == now) {
            fleet.restart(one, now);
        }
        let ages: Vec<_> = fleet.starts.iter().map(|start| now - start).collect();
        for (instance, _) in ages.iter().enumerate().filter(|(_, age)| **age == plan.read_after) {
            fleet.read_announcements_at(instance, at(now));
        }
        for from in 0..plan.instances {
            for to in (0..plan.instances).filter(|to| *to != from) {
                let is_heard = ages[from].min(ages[to]) >= plan.heard_after;
                if is_heard && fleet.down[from].is_none() {
                    fleet.send_update(from, to, now);
                }
            }
        }
        let is_failing = now >= plan.failing_from;
        let outcome = if is_failing { AttemptOutcome::Failing } else { AttemptOutcome::Whole };
        fleet.serve(|instance| (plan.load)(instance, now), outcome, now);
    }
    fleet
}

fn started(name: &InstanceId, tuning: &Tuning, now: u64) -> Bench {
    let me = Identity { incarnation: Incarnation(now + 1), ..identity(name.as_str(), "z1") };
    let targets = (0..6).map(|n| target(&format!("p{n}"), PLAIN, 100)).collect();
    Bench::start(me, routing(), targets, tuning.clone(), at(now))
}
