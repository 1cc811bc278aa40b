//! A small deterministic fleet of instances with schedulers, batching engines, and callers that
//! follow a trace.
//!
//! Engines prefill prompts one after another, slow down with each stream, have a bounded cache and
//! report late. The same fleet runs the scheduler and two baselines.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamewind_policy::{
    Action, Arrival, AttemptOutcome, Config, Event, PeerUpdate, Prefix, Scheduler, prefix_hash,
};
use sesamewind_protocol::target::{CacheEvent, LoadReport};
use sesamewind_protocol::{Code, Incarnation, InstanceId, RequestKey, RunState, TargetId, Time};

pub use super::setup::{EngineSpec, Fault, Outcome, Policy, Setup, TraceRequest, merge, stream};
use super::{OneVersion, instance, scheduler, wall};

const STEP_MS: u64 = 5;
const TICK_MS: u64 = 20;
const EXCHANGE_MS: u64 = 200;
const POLL_MS: u64 = 250;

#[derive(Debug)]
struct Job {
    instance: usize,
    ticket: u64,
    call: usize,
    prefill_left: f64,
    started: bool,
    prefilled: f64,
    produced: f64,
    reported: u32,
    lost: bool,
}

struct Engine {
    spec: EngineSpec,
    id: TargetId,
    slow: f64,
    dead: bool,
    refuse: bool,
    incarnation: u64,
    jobs: Vec<Job>,
    cache: HashMap<u64, (u32, u64)>,
    cache_uses: u64,
    events: Vec<(u64, usize, CacheEvent)>,
    seq: u64,
    reports: VecDeque<(u64, LoadReport)>,
}

#[derive(Debug, Clone, Copy)]
struct Call {
    instance: usize,
    first: Option<u64>,
    ended: bool,
    ran: bool,
}

pub struct Fleet {
    setup: Setup,
    now_ms: u64,
    nodes: Vec<Scheduler>,
    frozen: Vec<bool>,
    engines: Vec<Engine>,
    calls: Vec<Call>,
    rng: ChaCha8Rng,
    turn: Vec<usize>,
    exchange_due: bool,
    samples: (f64, u32),
    out: Outcome,
}

/// Runs a setup until its end.
pub fn run(setup: &Setup) -> Outcome {
    let mut fleet = Fleet::new(setup.clone());
    while fleet.now_ms < setup.until_ms {
        fleet.step();
    }
    fleet.finish()
}

impl Fleet {
    pub fn new(setup: Setup) -> Self {
        let nodes: Vec<Scheduler> = (0..setup.instances)
            .map(|at| {
                let mut node = Scheduler::new(
                    &setup.config,
                    instance(&format!("i{at}"), 1),
                    setup.seed * 31 + at as u64,
                );
                for target in &setup.config.targets {
                    let versions = ["v1".into()];
                    let event = Event::TargetAssumed { target: &target.id, versions: &versions };
                    node.handle(event, &OneVersion, Time::ZERO, wall(Time::ZERO));
                }
                node
            })
            .collect();
        let engines = setup.engines.iter().enumerate().map(|(at, spec)| Engine {
            spec: spec.clone(),
            id: TargetId::new(format!("engine-{at}")),
            slow: 1.0,
            dead: false,
            refuse: false,
            incarnation: 1,
            jobs: Vec::new(),
            cache: HashMap::new(),
            cache_uses: 0,
            events: Vec::new(),
            seq: 0,
            reports: VecDeque::new(),
        });
        let mut fleet = Self {
            engines: engines.collect(),
            frozen: vec![false; nodes.len()],
            turn: (0..nodes.len()).collect(),
            nodes,
            calls: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            exchange_due: false,
            samples: (0.0, 0),
            out: Outcome::default(),
            now_ms: 0,
            setup,
        };
        fleet.out.by_engine = vec![0; fleet.engines.len()];
        let peers: Vec<_> =
            (0..fleet.nodes.len()).map(|at| instance(&format!("i{at}"), 1)).collect();
        let names: Vec<InstanceId> = peers.iter().map(|peer| peer.instance.clone()).collect();
        for at in 0..fleet.nodes.len() {
            fleet.event(at, Event::PeerSet { peers: &peers, reachable: &names });
        }
        fleet
    }

    fn now(&self) -> Time {
        Time::from_millis(self.now_ms + 1)
    }

    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.inject_faults();
        while let Some(request) = self.setup.requests.get(self.calls.len()) {
            if request.at_ms > self.now_ms {
                break;
            }
            self.arrive();
        }
        for engine in 0..self.engines.len() {
            self.run_engine(engine);
        }
        self.drop_late_jobs();
        if self.setup.policy == Policy::Sesamewind {
            self.control();
        }
        self.sample();
    }

    fn inject_faults(&mut self) {
        let now = self.now_ms;
        for fault in self.setup.faults.clone() {
            match fault {
                Fault::Slow { engine, at_ms, factor } if now == at_ms => {
                    self.engines[engine].slow = factor;
                }
                Fault::Kill { engine, at_ms, until_ms } if now == at_ms || now == until_ms => {
                    self.engines[engine].dead = now == at_ms;
                    self.engines[engine].incarnation += 1;
                    self.engines[engine].cache.clear();
                    for job in std::mem::take(&mut self.engines[engine].jobs) {
                        self.out.wasted += job.prefilled;
                        self.end_job(&job, AttemptOutcome::Broken { sent: true });
                    }
                }
                Fault::Refuse { at_ms, until_ms } if now == at_ms || now == until_ms => {
                    self.engines.iter_mut().for_each(|engine| engine.refuse = now == at_ms);
                }
                Fault::Freeze { instance, at_ms, until_ms } if now == at_ms || now == until_ms => {
                    self.frozen[instance] = now == at_ms;
                }
                _ => {}
            }
        }
    }

    fn arrive(&mut self) {
        let at = self.calls.len();
        let request = self.setup.requests[at].clone();
        let instance =
            self.setup.entry.unwrap_or_else(|| self.rng.random_range(0..self.nodes.len()));
        self.calls.push(Call { instance, first: None, ended: false, ran: false });
        self.out.tiers.entry(request.rank).or_default().0 += 1;
        self.out.accounts.entry(request.account).or_default().0 += 1;
        if self.setup.policy != Policy::Sesamewind {
            let engine = self.baseline(instance);
            return self.submit(engine, instance, at as u64, at);
        }
        let now = self.now();
        let arrival = Arrival {
            ticket: at as u64,
            key: RequestKey(at as u64, 1),
            attempt: Some(0),
            has_key: true,
            body_hash: 1,
            account: request.account.into(),
            rank: request.rank,
            service: "chat".into(),
            route: "chat".into(),
            prompt_tokens: request.prompt,
            output_tokens: request.output,
            prefix: request
                .prefix
                .map(|(name, tokens)| Prefix { hash: prefix_hash(&name.to_string()), tokens }),
            deadline: now + Duration::from_millis(request.total_ms),
            first_token_by: now + Duration::from_millis(request.first_ms),
            idempotent: true,
        };
        self.event(instance, Event::Arrive(arrival));
    }

    fn baseline(&mut self, instance: usize) -> usize {
        let alive: Vec<usize> =
            (0..self.engines.len()).filter(|at| !self.engines[*at].dead).collect();
        if self.setup.policy == Policy::RoundRobin {
            self.turn[instance] += 1;
            return alive[self.turn[instance] % alive.len()];
        }
        let own = |at: &usize| {
            self.engines[*at].jobs.iter().filter(|job| job.instance == instance).count()
        };
        *alive
            .iter()
            .min_by_key(|at| (own(at), (**at + instance) % self.engines.len()))
            .expect("an engine")
    }

    /// Submits a request to an engine.
    fn submit(&mut self, engine: usize, instance: usize, ticket: u64, call: usize) {
        self.out.offered += 1;
        let request = &self.setup.requests[call];
        let job = Job {
            instance,
            ticket,
            call,
            prefill_left: f64::from(request.prompt),
            started: false,
            prefilled: 0.0,
            produced: 0.0,
            reported: 0,
            lost: false,
        };
        if self.engines[engine].dead {
            return self.end_job(&job, AttemptOutcome::ConnectFailed);
        }
        if self.engines[engine].refuse {
            return self.end_job(&job, AttemptOutcome::RefusedNotRun);
        }
        self.calls[call].ran = true;
        self.out.by_engine[engine] += 1;
        *self.out.tokens.entry(request.account).or_default() +=
            u64::from(request.prompt + request.output);
        self.engines[engine].jobs.push(job);
        if self.setup.policy == Policy::Sesamewind {
            self.event(instance, Event::Accepted { ticket });
        }
    }

    /// Advances an engine by one step.
    fn run_engine(&mut self, at: usize) {
        if self.engines[at].dead {
            return;
        }
        let step = STEP_MS as f64 / 1_000.0;
        let engine = &mut self.engines[at];
        let rate = engine.spec.prefill / engine.slow;
        let decoding = engine.jobs.iter().filter(|job| job.prefill_left <= 0.0).count();
        let slowdown = 1.0 + decoding.saturating_sub(1) as f64 / engine.spec.doubling_streams;
        let speed = engine.spec.decode / engine.slow / slowdown;
        let mut prefill = rate * step;
        let mut first = Vec::new();
        let mut updates: Vec<(usize, u64, u32)> = Vec::new();
        let mut done = Vec::new();
        for (index, job) in engine.jobs.iter_mut().enumerate() {
            let request = &self.setup.requests[job.call];
            if job.prefill_left > 0.0 {
                if prefill <= 0.0 || index >= engine.spec.batch {
                    continue;
                }
                if !job.started {
                    job.started = true;
                    if let Some((name, tokens)) = request.prefix
                        && let Some(held) = engine.cache.get_mut(&name)
                    {
                        engine.cache_uses += 1;
                        held.1 = engine.cache_uses;
                        job.prefill_left =
                            (job.prefill_left - f64::from(held.0.min(tokens))).max(1.0);
                    }
                }
                let done = job.prefill_left.min(prefill);
                prefill -= done;
                job.prefill_left -= done;
                job.prefilled += done;
                self.out.prefill += done;
                if job.prefill_left <= 0.0 {
                    job.produced = 1.0;
                    first.push(index);
                }
            } else {
                job.produced += speed * step;
            }
            let whole = (job.produced as u32).min(request.output);
            if whole > job.reported {
                updates.push((job.instance, job.ticket, whole - job.reported));
                job.reported = whole;
            }
            if whole >= request.output && job.prefill_left <= 0.0 {
                done.push(index);
            }
        }
        for index in first {
            self.first_token(at, index);
        }
        if self.setup.policy == Policy::Sesamewind {
            for (instance, ticket, n) in updates {
                self.event(instance, Event::Tokens { ticket, n });
            }
        }
        for index in done.into_iter().rev() {
            if self.engines[at].jobs[index].lost {
                continue;
            }
            let job = self.engines[at].jobs.remove(index);
            self.complete(&job);
        }
    }

    fn first_token(&mut self, at: usize, index: usize) {
        let (call, now) = (self.engines[at].jobs[index].call, self.now_ms);
        let request = &self.setup.requests[call];
        self.calls[call].first = Some(now - request.at_ms);
        let long = request.prompt >= 2_000;
        let waited = now - request.at_ms;
        self.out.first_ms.entry((request.rank, long)).or_default().push(waited);
        if let Some((name, tokens)) = request.prefix {
            self.fill(at, name, tokens);
        }
    }

    fn fill(&mut self, at: usize, name: u64, tokens: u32) {
        let engine = &mut self.engines[at];
        engine.cache_uses += 1;
        engine.cache.insert(name, (tokens, engine.cache_uses));
        engine.seq += 1;
        let mut events = vec![CacheEvent { seq: engine.seq, prefix: name.to_string(), tokens }];
        while engine.cache.values().map(|held| u64::from(held.0)).sum::<u64>() > engine.spec.cache {
            let oldest = engine.cache.iter().min_by_key(|(_, held)| held.1).map(|(name, _)| *name);
            let Some(oldest) = oldest else { break };
            engine.cache.remove(&oldest);
            engine.seq += 1;
            events.push(CacheEvent { seq: engine.seq, prefix: oldest.to_string(), tokens: 0 });
        }
        let loss = self.setup.cache_loss;
        for event in events {
            if self.rng.random::<f64>() >= loss {
                engine.events.push((self.now_ms + 500, at, event));
            }
        }
    }

    fn complete(&mut self, job: &Job) {
        let (request, call) = (&self.setup.requests[job.call], self.calls[job.call]);
        let in_time = !call.ended
            && self.now_ms - request.at_ms <= request.total_ms
            && call.first.is_some_and(|first| first <= request.first_ms);
        if in_time {
            self.out.tiers.entry(request.rank).or_default().1 += 1;
            self.out.accounts.entry(request.account).or_default().1 += 1;
            if request.rank > 0 {
                *self.out.low_by_5s.entry(request.at_ms / 5_000).or_default() += 1;
            }
        } else {
            self.out.wasted += job.prefilled;
        }
        self.calls[job.call].ended = true;
        self.end_job(job, AttemptOutcome::Complete);
    }

    fn end_job(&mut self, job: &Job, end: AttemptOutcome) {
        match self.setup.policy {
            Policy::Sesamewind => {
                let ticket = job.ticket;
                self.event(job.instance, Event::Finished { ticket, end });
            }
            _ => self.calls[job.call].ended = true,
        }
    }

    /// Removes jobs past their deadline, at which callers of the baselines disconnect.
    fn drop_late_jobs(&mut self) {
        if self.setup.policy == Policy::Sesamewind {
            return;
        }
        for at in 0..self.engines.len() {
            let (requests, now) = (&self.setup.requests, self.now_ms);
            let late = |job: &Job| now - requests[job.call].at_ms > requests[job.call].total_ms;
            let jobs = std::mem::take(&mut self.engines[at].jobs);
            let (gone, kept): (Vec<Job>, Vec<Job>) = jobs.into_iter().partition(late);
            self.engines[at].jobs = kept;
            self.out.wasted += gone.iter().map(|job| job.prefilled).sum::<f64>();
        }
    }

    fn control(&mut self) {
        let now = self.now();
        if self.now_ms.is_multiple_of(POLL_MS) {
            self.report();
        }
        if self.now_ms.is_multiple_of(EXCHANGE_MS) || self.exchange_due {
            self.exchange_due = false;
            self.exchange();
        }
        if self.now_ms.is_multiple_of(TICK_MS) {
            for at in 0..self.nodes.len() {
                if !self.frozen[at] {
                    let actions = self.nodes[at].tick(&OneVersion, now, wall(now));
                    self.apply(at, actions);
                }
            }
        }
        for at in 0..self.engines.len() {
            let due = self.now_ms;
            let (ready, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.engines[at].events)
                .into_iter()
                .partition(|event| event.0 <= due);
            self.engines[at].events = later;
            let id = self.engines[at].id.clone();
            for (_, _, event) in ready {
                for node in 0..self.nodes.len() {
                    self.event(node, Event::CacheEvent { target: &id, event: &event });
                }
            }
        }
    }

    fn report(&mut self) {
        let measured = wall(self.now());
        for at in 0..self.engines.len() {
            let engine = &mut self.engines[at];
            let running = engine.jobs.iter().filter(|job| job.started).count() as u32;
            let report = LoadReport {
                target: engine.id.clone(),
                incarnation: Incarnation(engine.incarnation),
                measured,
                waiting: engine.jobs.len() as u32 - running,
                running,
                prefill_tokens: engine
                    .jobs
                    .iter()
                    .map(|job| job.prefill_left.max(0.0) as u64)
                    .sum(),
                versions: vec!["v1".into()],
                leaving: false,
            };
            engine.reports.push_back((self.now_ms + self.setup.report_lag_ms, report));
            let mut due = None;
            while engine.reports.front().is_some_and(|(at, _)| *at <= self.now_ms) {
                due = engine.reports.pop_front();
            }
            let Some((_, report)) = due.filter(|_| !engine.dead) else { continue };
            for node in 0..self.nodes.len() {
                self.event(node, Event::TargetReport(&report));
            }
        }
    }

    fn exchange(&mut self) {
        let now = self.now();
        for from in 0..self.nodes.len() {
            if self.frozen[from] {
                continue;
            }
            let node = &self.nodes[from];
            let name = InstanceId::new(format!("i{from}"));
            let (targets, accounts) = (node.target_usage(), node.account_usage(now));
            let (floors, floor_acks) = (node.floors(now), node.floor_acks());
            for to in (0..self.nodes.len()).filter(|to| *to != from) {
                let update = PeerUpdate {
                    from: &name,
                    sent: wall(now),
                    targets: &targets,
                    accounts: &accounts,
                    floors: &floors,
                    floor_acks: &floor_acks,
                };
                self.event(to, Event::Peer(update));
            }
        }
    }

    fn event(&mut self, at: usize, event: Event<'_>) {
        if self.frozen[at] {
            return;
        }
        let now = self.now();
        let actions = self.nodes[at].handle(event, &OneVersion, now, wall(now));
        self.apply(at, actions);
    }

    fn apply(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { ticket, .. } => {
                    let Action::Dispatch { target, .. } = &action else { continue };
                    let engine = self.engine(target);
                    self.event(node, Event::WriteCheck { ticket });
                    self.submit(engine, node, ticket, ticket as usize);
                }
                Action::Refuse(refusal) => self.refused(ticket_of(&refusal), &refusal),
                Action::Cancel { ticket, refusal } => {
                    for engine in &mut self.engines {
                        if let Some(at) = engine.jobs.iter().position(|job| job.ticket == ticket) {
                            self.out.wasted += engine.jobs.remove(at).prefilled;
                        }
                    }
                    self.refused(ticket, &refusal);
                }
                Action::Probe { target } => {
                    let ok = !self.engines[self.engine(&target)].dead;
                    self.event(node, Event::ProbeResult { target: &target, ok });
                }
                Action::Resume { ticket, target } => {
                    self.out.resumed += 1;
                    let engine = &self.engines[self.engine(&target)];
                    let held = engine.jobs.iter().any(|job| job.ticket == ticket);
                    let event = match (engine.dead, held) {
                        (true, _) => Event::Finished { ticket, end: AttemptOutcome::ConnectFailed },
                        (_, false) => {
                            Event::Finished { ticket, end: AttemptOutcome::RefusedNotRun }
                        }
                        _ => Event::Accepted { ticket },
                    };
                    self.event(node, event);
                }
                Action::FloorChanged | Action::LoadChanged => self.exchange_due = true,
                Action::AskRecords { request, peers } => {
                    for peer in peers {
                        self.event(index_of(&peer), Event::RecordsRequest(&request));
                    }
                }
                Action::SendRecords { to, copy } => {
                    self.event(index_of(&to), Event::RecordsCopy(&copy));
                }
                _ => {}
            }
        }
    }

    fn engine(&self, target: &TargetId) -> usize {
        self.engines.iter().position(|engine| engine.id == *target).expect("an engine")
    }

    fn refused(&mut self, ticket: u64, refusal: &sesamewind_policy::Refusal) {
        let call = &mut self.calls[ticket as usize];
        call.ended = true;
        let rank = self.setup.requests[ticket as usize].rank;
        *self.out.codes.entry((rank, refusal.code())).or_default() += 1;
        if refusal.run() == RunState::NotRun && call.ran {
            self.out.false_not_run += 1;
        }
        let requests = &self.setup.requests;
        let lower = self
            .engines
            .iter()
            .flat_map(|engine| &engine.jobs)
            .any(|job| requests[job.call].rank > rank);
        if lower && refusal.run() == RunState::NotRun {
            match refusal.code() {
                Code::DeadlinePassed => self.out.late_while_lower += 1,
                Code::AccountLimit => {}
                _ => self.out.shed_while_lower += 1,
            }
        }
    }

    fn sample(&mut self) {
        if !self.now_ms.is_multiple_of(100) {
            return;
        }
        let loads: Vec<f64> = self.engines.iter().map(|engine| engine.jobs.len() as f64).collect();
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        if mean >= 1.0 {
            self.samples.0 += loads.iter().copied().fold(0.0, f64::max) / mean;
            self.samples.1 += 1;
        }
    }

    fn finish(mut self) -> Outcome {
        self.out.peak_to_mean = self.samples.0 / f64::from(self.samples.1.max(1));
        let views = self.nodes[0].targets_view();
        self.out.speeds = views.iter().map(|view| view.prefill_speed).collect();
        for node in &self.nodes {
            self.out.preempted += node.counters().preempted;
        }
        self.out
    }
}

fn index_of(instance: &InstanceId) -> usize {
    instance.as_str()[1..].parse().expect("an instance's number")
}

fn ticket_of(refusal: &sesamewind_policy::Refusal) -> u64 {
    refusal.ticket()
}

/// Returns a scheduler for tests that don't use the fleet.
pub fn single_scheduler(config: &Config) -> Scheduler {
    scheduler(config, instance("i0", 1))
}
