//! Urgent requests take precedence over lower tiers on all instances.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use sesamewind_policy::{Action, Arrival, AttemptOutcome, Config, Event, Scheduler};
use sesamewind_protocol::{Code, RequestKey, RunState};

use support::bus::Bus;
use support::fleet::{Policy, run};
use support::setups::{burst, burst_with_freeze};
use support::{LOW, arrival, config};

/// Two instances that share one engine.
struct Pair {
    bus: Bus,
    /// Requests sent, by instance and ticket.
    streams: Vec<(&'static str, u64)>,
    written: BTreeSet<u64>,
    /// Fraction of the next token that every stream has generated.
    ready: f64,
    last: u64,
}

impl Pair {
    /// Fills the engine with background work from both instances.
    fn full(config: &Config) -> Self {
        let mut pair = Self {
            bus: Bus::new(config, &["a", "b"]),
            streams: Vec::new(),
            written: BTreeSet::new(),
            ready: 0.0,
            last: 0,
        };
        for _ in 0..30 {
            for name in ["a", "b"] {
                pair.background(name);
                pair.advance_with_exchange(2);
            }
        }
        assert!(pair.running("a") > 2 && pair.running("b") > 2);
        pair
    }

    fn background(&mut self, name: &'static str) -> u64 {
        let mut tag = arrival(0, 0, self.bus.now);
        tag.rank = LOW;
        tag.prompt_tokens = 500;
        tag.output_tokens = 2_000;
        tag.first_token_by = self.bus.now + Duration::from_secs(60);
        tag.deadline = self.bus.now + Duration::from_secs(120);
        self.call(name, tag)
    }

    /// Sends urgent requests from `a` until `n` of them wait. Returns the last ticket.
    fn urgent(&mut self, n: u32) -> u64 {
        let mut waiting = 0;
        for _ in 0..200 {
            let ticket = self.call("a", arrival(0, 0, self.bus.now));
            waiting += u32::from(!self.dispatched(ticket));
            if waiting == n {
                return ticket;
            }
            self.advance(1);
        }
        panic!("the engine is never full");
    }

    fn call(&mut self, name: &'static str, mut arrival: Arrival) -> u64 {
        self.last += 1;
        arrival.ticket = self.last;
        arrival.key = RequestKey(self.last, 0);
        self.bus.call(name, arrival);
        self.streams.push((name, self.last));
        self.start();
        self.last
    }

    /// Passes the write check of dispatched requests.
    fn start(&mut self) {
        for (name, ticket) in self.streams.clone() {
            if self.dispatched(ticket) && self.written.insert(ticket) {
                self.bus.write(name, ticket);
            }
        }
    }

    /// Advances time in steps of 10 ms. A single stream generates 100 tokens per second, and 16
    /// other streams halve its rate.
    fn advance(&mut self, steps: u32) {
        for _ in 0..steps {
            self.bus.advance(10);
            self.start();
            let of = |name: &str| self.bus.nodes[name].targets_view()[0].requests;
            let others = f64::from((of("a") + of("b")).saturating_sub(1));
            self.ready += 1.0 / (1.0 + others / 16.0);
            let n = self.ready as u32;
            self.ready -= f64::from(n);
            for (name, ticket) in self.streams.clone() {
                self.bus.event(name, Event::Tokens { ticket, n });
            }
        }
    }

    fn advance_with_exchange(&mut self, steps: u32) {
        for _ in 0..steps {
            self.advance(5);
            self.bus.exchange();
        }
    }

    /// Ends all running and waiting requests.
    fn drain(&mut self) {
        while !self.bus.nodes.values().all(Scheduler::is_idle) {
            for (name, ticket) in self.streams.clone() {
                self.bus.event(name, Event::Finished { ticket, end: AttemptOutcome::Failed });
            }
            self.advance(1);
        }
    }

    fn dispatched(&self, ticket: u64) -> bool {
        let of = |action: &Action| matches!(action, Action::Dispatch { ticket: of, .. } if *of == ticket);
        self.bus.actions.iter().any(|(_, action)| of(action))
    }

    fn running(&self, name: &str) -> usize {
        let view = self.bus.nodes[name].queue_view(self.bus.now);
        view.iter().filter_map(|service| service.running.get(&LOW)).sum()
    }
}

#[test]
fn urgent_request_preempts_on_every_instance() {
    let mut pair = Pair::full(&config(1));
    pair.bus.exchange();
    let urgent = pair.urgent(3);
    let before = pair.running("b");
    pair.advance_with_exchange(60);
    assert!(pair.dispatched(urgent));
    assert!(pair.running("b") < before, "{before} before and after at the peer");
    for name in ["a", "b"] {
        for refusal in pair.bus.refusals(name) {
            assert_eq!((refusal.code(), refusal.run()), (Code::Preempted, RunState::Unknown));
            assert!(refusal.retry_after().is_some());
        }
    }
    // Only a few requests are cancelled for one that waits.
    assert!(pair.running("a") + pair.running("b") > 0);
}

/// Under a floor, a peer starts nothing lower. It acknowledges the floor only once nothing lower
/// runs.
#[test]
fn peers_acknowledge_when_nothing_lower_runs() {
    let mut pair = Pair::full(&config(1));
    pair.bus.exchange();
    let urgent = pair.urgent(40);
    let waits = |pair: &Pair| !pair.dispatched(urgent);
    for _ in 0..60 {
        if !pair.bus.nodes["a"].floors(pair.bus.now).is_empty() || !waits(&pair) {
            break;
        }
        pair.advance(5);
    }
    assert_eq!(pair.bus.nodes["a"].floors(pair.bus.now).len(), 1);
    // `b` receives the floor while it still runs background work.
    assert!(pair.running("b") > 0);
    pair.bus.exchange();
    assert!(pair.bus.nodes["b"].floor_acks().is_empty());
    let lower = pair.background("b");
    assert!(!pair.dispatched(lower), "lower work started under a floor");
    for (name, ticket) in pair.streams.clone() {
        if name == "b" && ticket != lower {
            pair.bus.event(name, Event::Finished { ticket, end: AttemptOutcome::Complete });
        }
    }
    assert_eq!(pair.running("b"), 0);
    pair.bus.exchange();
    assert_eq!(pair.bus.nodes["b"].floor_acks().len(), 1);
    assert!(!pair.dispatched(lower));
    // The lower tier runs again after the floor ends.
    pair.advance(300);
    assert!(pair.dispatched(lower));
}

/// An urgent request that can't be in time any more is refused at once if every reachable peer has
/// acknowledged, and otherwise not before its time is over.
#[test]
fn nothing_urgent_is_shed_before_peers_acknowledge() {
    for acknowledged in [true, false] {
        let mut pair = Pair::full(&config(1));
        pair.bus.exchange();
        pair.drain();
        if !acknowledged {
            // `a` doesn't know of this request, and can't get the acknowledgement in time.
            pair.background("b");
        }
        pair.bus.exchange();
        // The request takes far too long on the engine, but passes the check on arrival.
        let solo = 1.0 / pair.bus.nodes["a"].targets_view()[0].decode_speed;
        let mut reply = arrival(0, 0, pair.bus.now);
        reply.prompt_tokens = 100;
        reply.output_tokens = 400;
        reply.first_token_by = pair.bus.now + Duration::from_secs(3);
        reply.deadline = pair.bus.now + Duration::from_secs_f64(400.0 * solo);
        let sent = pair.bus.now;
        let ticket = pair.call("a", reply);
        assert!(!pair.dispatched(ticket));
        let answered = |pair: &Pair| {
            pair.bus.refusals("a").into_iter().find(|refusal| refusal.ticket() == ticket)
        };
        let mut steps = 0;
        while answered(&pair).is_none() && steps < 100 {
            steps += 1;
            if acknowledged {
                pair.advance_with_exchange(1);
            } else {
                pair.advance(5);
            }
        }
        let refusal = answered(&pair).expect("an answer");
        let waited = pair.bus.now.since(sent);
        if acknowledged {
            assert_eq!(refusal.code(), Code::DeadlineUnreachable);
            assert!(waited < Duration::from_secs(1), "{waited:?}");
        } else {
            assert_eq!(refusal.code(), Code::DeadlinePassed);
            assert!(waited >= Duration::from_secs(3), "{waited:?}");
        }
        assert_eq!(refusal.run(), RunState::NotRun);
    }
}

#[test]
fn burst_over_background_work() {
    let outcome = run(&burst(Policy::Sesamewind, 1));
    assert_eq!(outcome.shed_while_lower, 0);
    assert_eq!(outcome.false_not_run, 0);
    assert!(outcome.goodput(0) > 0.95, "urgent {}", outcome.goodput(0));
    // Little work is lost by cancelling, and the lower tier runs again after the burst.
    assert!(outcome.waste() < 0.05, "waste {}", outcome.waste());
    assert!(outcome.goodput(LOW) > 0.9, "background {}", outcome.goodput(LOW));
    let baseline = run(&burst(Policy::LeastInflight, 1));
    assert!(outcome.goodput(0) > 1.15 * baseline.goodput(0), "{}", baseline.goodput(0));
}

/// A frozen instance keeps its background streams on the engines and can't acknowledge floors. Once
/// it is unreachable, the others continue without its acknowledgement, and none of their urgent
/// requests is shed.
#[test]
fn burst_with_a_frozen_instance() {
    let setup = burst_with_freeze(1);
    let outcome = run(&setup);
    assert_eq!(outcome.shed_while_lower, 0);
    // An eighth of the callers use the frozen instance.
    assert!(outcome.goodput(0) > 0.82, "urgent {}", outcome.goodput(0));
}
