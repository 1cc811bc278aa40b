//! Many instances share engines whose load each learns only after a delay.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamewind_gateway::targets::TargetChange;
use sesamewind_gateway::{
    Arrival, AttemptOutcome, Event, Gateway, RouteTable, Step, Ticket, Tuning,
};
use sesamewind_protocol::relay::StorePosition;
use sesamewind_protocol::{InstanceId, TargetId, Time};

use crate::support::{MODEL, arrival, at, identity, routing, target};

/// Number of instances, all in one availability zone.
const INSTANCES: usize = 24;

/// Number of engines, and requests that each runs concurrently.
const ENGINES: (usize, u32) = (36, 8);

/// Milliseconds that an engine works on a request, and until its first event.
const WORK_MS: (u64, u64) = (1_200, 150);

/// Milliseconds between two exchanges of instances of the same group, and of different groups.
const EXCHANGE_MS: (u64, u64) = (60, 420);

struct Fleet {
    gateways: Vec<Gateway>,
    table: Arc<RouteTable>,
    /// Number of requests at each engine.
    load: HashMap<TargetId, u32>,
    /// Scheduled starts and ends of attempts; the flag is true for a start.
    due: BinaryHeap<Reverse<(u64, usize, Ticket, bool)>>,
    in_flight: HashMap<(usize, Ticket), TargetId>,
    /// Number of dispatches, and of those to an engine that was already full.
    sent: u32,
    piled: u32,
}

impl Fleet {
    fn new() -> Self {
        let table = Arc::new(RouteTable::new(routing()));
        let gateways = (0..INSTANCES).map(|number| {
            let me = identity(&format!("i{number}"), "z1");
            let mut gateway = Gateway::new(me, Tuning::default(), number as u64);
            gateway.handle(Event::Configured(table.clone()), at(0));
            let targets = (0..ENGINES.0).map(|n| target(&format!("m{n}"), MODEL, ENGINES.1));
            gateway.handle(Event::ListedAll(targets.map(TargetChange::Listed).collect()), at(0));
            gateway
        });
        Self {
            gateways: gateways.collect(),
            table,
            load: HashMap::new(),
            due: BinaryHeap::new(),
            in_flight: HashMap::new(),
            sent: 0,
            piled: 0,
        }
    }

    fn send(&mut self, instance: usize, event: Event<'_>, now: u64) {
        for action in self.gateways[instance].handle(event, at(now)) {
            let Step::Dispatch(dispatch) = action.step else { continue };
            let load = self.load.entry(dispatch.target.clone()).or_default();
            *load += 1;
            self.sent += 1;
            // One request waiting at an engine is accepted, since it takes the slot of the next one
            // that ends.
            self.piled += u32::from(*load > ENGINES.1 + 1);
            self.in_flight.insert((instance, action.ticket), dispatch.target);
            self.due.push(Reverse((now + WORK_MS.1, instance, action.ticket, true)));
            self.due.push(Reverse((now + WORK_MS.0, instance, action.ticket, false)));
        }
    }

    fn end(&mut self, now: u64) {
        while self.due.peek().is_some_and(|Reverse((due, ..))| *due <= now) {
            let Some(Reverse((_, instance, ticket, starts))) = self.due.pop() else { return };
            if starts {
                self.send(instance, Event::Started(ticket), now);
                continue;
            }
            if let Some(target) = self.in_flight.remove(&(instance, ticket)) {
                *self.load.entry(target).or_default() -= 1;
            }
            self.send(instance, Event::Ended(ticket, AttemptOutcome::Whole), now);
        }
    }

    fn exchange(&mut self, now: u64) {
        for a in 0..INSTANCES {
            for b in a + 1..INSTANCES {
                let name = |number: usize| InstanceId::new(format!("i{number}"));
                let near = self.gateways[a].shares_targets(&name(b));
                let every = if near { EXCHANGE_MS.0 } else { EXCHANGE_MS.1 };
                if !(now + 20 * (a * 7 + b) as u64).is_multiple_of(every) {
                    continue;
                }
                let update = self.gateways[a].peer_update(
                    &name(b),
                    StorePosition::default(),
                    Time::ZERO,
                    at(now),
                );
                self.send(b, Event::PeerUpdate(&update), now);
                let update = self.gateways[b].peer_update(
                    &name(a),
                    StorePosition::default(),
                    Time::ZERO,
                    at(now),
                );
                self.send(a, Event::PeerUpdate(&update), now);
            }
        }
    }
}

/// Guards against instances that each see the same engines as free, because their view of the load
/// is delayed, and send too many requests there. Few requests may go to a full engine, both below
/// and above the capacity of the engines, and avoiding that must not leave slots unused.
#[test]
fn requests_do_not_pile_up_on_engines_that_many_instances_see() {
    struct Case {
        /// Load as a fraction of the engines' capacity.
        load: f64,
        /// Maximum fraction of the requests that may go to an engine with several waiting.
        piled: f64,
        /// Minimum fraction of the slots that must be in use.
        used: f64,
    }
    let cases =
        [Case { load: 0.9, piled: 0.05, used: 0.85 }, Case { load: 1.4, piled: 0.2, used: 0.95 }];
    for case in cases {
        check(case.load, case.piled, case.used);
    }
}

fn check(load: f64, most_piled: f64, least_used: f64) {
    let mut fleet = Fleet::new();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let slots = ENGINES.0 as f64 * f64::from(ENGINES.1);
    let rate = load * slots / WORK_MS.0 as f64;
    let mut ticket = 0;
    for now in 1..10_000 {
        fleet.end(now);
        fleet.exchange(now);
        if rng.random::<f64>() < rate {
            ticket += 1;
            let arrival = Arrival {
                prompt_tokens: Some(600),
                output_tokens: 300,
                ..arrival(&fleet.table, ticket, "/urgent/x", at(now))
            };
            fleet.send(rng.random_range(0..INSTANCES), Event::Arrive(arrival), now);
        }
        if now.is_multiple_of(20) {
            for instance in 0..INSTANCES {
                fleet.send(instance, Event::Tick, now);
            }
        }
    }
    let piled = f64::from(fleet.piled) / f64::from(fleet.sent);
    let used = f64::from(fleet.sent) * WORK_MS.0 as f64 / (slots * 10_000.0);
    assert!(piled <= most_piled, "load {load}: {piled} of the requests went to full engines");
    assert!(used >= least_used, "load {load}: {used} of the slots used");
}
