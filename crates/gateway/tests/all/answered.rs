//! Every request gets a decision, whatever happens in whichever order.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamewind_gateway::targets::TargetChange;
use sesamewind_gateway::{
    Action, Arrival, AttemptOutcome, Event, Gateway, ListedState, RouteTable, Step, Ticket, Tuning,
};
use sesamewind_protocol::{Incarnation, Revision, TargetId, Time};

use crate::support::{MODEL, PLAIN, identity, routing, target};

/// Number of seeds.
const SEEDS: u64 = 300;

/// Number of events in each play.
const EVENTS: usize = 400;

/// Time after the last event in which all requests must have ended; routes allow 12 s.
const LAST_WAIT: Duration = Duration::from_secs(15);

/// What the caller's side of a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Waits {
    /// A decision of the gateway, until this time.
    Decision(Time),
    /// The end of an attempt, until this time.
    Attempt(Time),
}

struct Play {
    rng: ChaCha8Rng,
    gateway: Gateway,
    table: Arc<RouteTable>,
    now: Time,
    open: BTreeMap<Ticket, Waits>,
    next: Ticket,
    incarnation: u64,
}

impl Play {
    fn new(seed: u64) -> Self {
        let table = Arc::new(RouteTable::new(routing()));
        let mut this = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            gateway: Gateway::new(identity("i1", "z1"), Tuning::default(), seed),
            table: Arc::clone(&table),
            now: Time::ZERO,
            open: BTreeMap::new(),
            next: 0,
            incarnation: 1,
        };
        this.send(Event::Configured(table));
        this
    }

    /// Passes an event to the gateway and checks the steps that it returns.
    fn send(&mut self, event: Event<'_>) {
        let text = format!("{event:?}");
        for Action { ticket, step } in self.gateway.handle(event, self.now) {
            let waits = self.open.remove(&ticket);
            let Some(Waits::Decision(deadline)) = waits else {
                panic!("{ticket} got {step:?} after {text} and waits for {waits:?}");
            };
            if let Step::Dispatch(_) | Step::Wait = step {
                self.open.insert(ticket, Waits::Attempt(deadline));
            }
        }
    }

    fn arrive(&mut self) {
        let names = ["urgent", "usual", "bulk", "once", "read"];
        let name = names.choose(&mut self.rng).expect("a route");
        let path = format!("/{name}/x");
        let Ok(resolved) = self.table.resolve("host.example", &path, Some("key-a")) else { return };
        let ticket = self.next;
        self.next += 1;
        let timeout = resolved.route.timeout.mul_f64(self.rng.random_range(0.01..1.0));
        let deadline = self.now + timeout;
        self.open.insert(ticket, Waits::Decision(deadline));
        let arrival = Arrival {
            ticket,
            route: resolved.route,
            account: resolved.account,
            prompt_tokens: Some(self.rng.random_range(1..20_000)),
            output_tokens: 100,
            parts: Arc::default(),
            point: self.rng.random_range(0.0..1.0),
            deadline,
            counted: false,
        };
        self.send(Event::Arrive(arrival));
    }

    /// Returns a random request in an attempt.
    fn attempt(&mut self) -> Option<(Ticket, Time)> {
        let attempts = self.open.iter().filter_map(|(ticket, waits)| match waits {
            Waits::Attempt(deadline) => Some((*ticket, *deadline)),
            Waits::Decision(_) => None,
        });
        attempts.collect::<Vec<_>>().choose(&mut self.rng).copied()
    }

    fn end(&mut self, ticket: Ticket, deadline: Time) {
        let outcomes = [
            AttemptOutcome::Whole,
            AttemptOutcome::Failing,
            AttemptOutcome::Unconnected,
            AttemptOutcome::Declined,
            AttemptOutcome::Replaced,
            AttemptOutcome::Broken,
            AttemptOutcome::Silent,
        ];
        let outcome = *outcomes.choose(&mut self.rng).expect("an outcome");
        let outcome = if self.now >= deadline { AttemptOutcome::Expired } else { outcome };
        if outcome == AttemptOutcome::Whole {
            self.open.remove(&ticket);
        } else {
            self.open.insert(ticket, Waits::Decision(deadline));
        }
        self.send(Event::Ended(ticket, outcome));
    }

    fn targets(&mut self) -> Vec<TargetChange> {
        let count = self.rng.random_range(0..5);
        (0..count)
            .map(|_| {
                let service = if self.rng.random() { MODEL } else { PLAIN };
                let id = format!("{service}{}", self.rng.random_range(0..4));
                if self.rng.random_bool(0.3) {
                    return TargetChange::Removed(TargetId::new(id));
                }
                let mut listed = target(&id, service, self.rng.random_range(1..3));
                listed.incarnation = Incarnation(self.rng.random_range(1..=self.incarnation));
                if self.rng.random_bool(0.2) {
                    listed.state = ListedState::Leaving;
                }
                TargetChange::Listed(listed)
            })
            .collect()
    }

    /// Installs a configuration without some of the routes, or with other limits of the account.
    fn configure(&mut self) {
        let mut routing = routing();
        routing.revision = Revision(self.table.revision.0 + 1);
        let rng = &mut self.rng;
        routing.routes.retain(|_| rng.random_bool(0.8));
        for account in &mut routing.accounts {
            account.rate = if rng.random() { 0.0 } else { rng.random_range(1.0..5_000.0) };
            account.burst = account.rate;
        }
        self.table = Arc::new(RouteTable::new(routing));
        self.send(Event::Configured(Arc::clone(&self.table)));
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..35 => self.arrive(),
            35..55 => {
                if let Some((ticket, deadline)) = self.attempt() {
                    self.end(ticket, deadline);
                }
            }
            55..62 => {
                if let Some((ticket, deadline)) = self.attempt() {
                    let rest = Duration::from_millis(self.rng.next_u64() % 3_000);
                    match self.rng.random_range(0..5) {
                        0 => self.send(Event::Started(ticket)),
                        1 => self.send(Event::TargetLeaving(ticket)),
                        2 => self.send(Event::TargetResting(ticket, rest)),
                        3 => self.send(Event::SilenceEnded(ticket)),
                        _ => {
                            self.open.insert(ticket, Waits::Decision(deadline));
                            self.send(Event::Silent(ticket));
                            let waits = self.open.get(&ticket);
                            assert_eq!(waits, Some(&Waits::Attempt(deadline)), "no answer");
                        }
                    }
                }
            }
            62..66 => {
                let tickets: Vec<_> = self.open.keys().copied().collect();
                if let Some(ticket) = tickets.choose(&mut self.rng).copied() {
                    self.open.remove(&ticket);
                    self.send(Event::CallerLeft(ticket));
                }
            }
            66..76 => {
                let changes = self.targets();
                self.send(Event::Listed(changes));
            }
            76..78 => {
                let changes = self.targets();
                self.send(Event::ListedAll(changes));
            }
            78..81 => self.configure(),
            81..82 => self.send(Event::ListLost),
            82..83 => self.send(Event::ListRestored),
            83..84 => self.incarnation += 1,
            _ => self.send(Event::Tick),
        }
        self.now = self.now + Duration::from_millis(self.rng.random_range(0..60));
    }

    /// Ends all attempts and lets the time pass until each request must have ended.
    fn finish(&mut self) {
        let end = self.now + LAST_WAIT;
        while self.now < end {
            while let Some((ticket, deadline)) = self.attempt() {
                self.end(ticket, deadline);
            }
            self.now = self.now + Duration::from_millis(20);
            self.send(Event::Tick);
        }
        while let Some((ticket, deadline)) = self.attempt() {
            self.end(ticket, deadline);
        }
    }
}

/// No request is lost inside the gateway: its caller gets exactly one last step, unless it left.
#[test]
fn every_request_gets_one_last_step() {
    for seed in 0..SEEDS {
        let mut play = Play::new(seed);
        for number in 0..EVENTS {
            if number == EVENTS / 2 && seed % 3 == 0 {
                play.send(Event::Stop);
            }
            play.step();
        }
        play.finish();
        assert!(play.open.is_empty(), "seed {seed}: without a last step: {:?}", play.open);
        assert_eq!(play.gateway.open_requests(), 0, "seed {seed}");
        assert_eq!(play.gateway.waiting(), 0, "seed {seed}");
    }
}
