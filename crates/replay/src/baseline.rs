//! Two simple dispatchers to compare with: round robin and least requests in flight.
//!
//! Each entry instance has one of its own, as several small proxies without a shared view would.
//! A version move follows the clock: the first share from the start, everything from half of the
//! time to the deadline.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use reqwest::Client;
use tokio::time::Instant;

use crate::client::{self, Exchange};
use crate::received::{Answer, Refusal};
use crate::scenario::{RolloutPlan, Scenario};
use crate::trace::Entry;
use crate::world::World;
use sesamewind_protocol::{Code, RunState};

/// Targets that a dispatcher tries before it gives up.
const MAX_TRIES: usize = 3;
/// Part of the time to the deadline after which all requests go to the new version.
const FULL_FROM: f64 = 0.5;

/// How a baseline chooses a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// One after the other.
    RoundRobin,
    /// The one with the fewest requests of this dispatcher in flight.
    LeastInFlight,
}

#[derive(Debug)]
struct TargetSlot {
    addr: SocketAddr,
    in_flight: AtomicUsize,
}

#[derive(Debug, Default)]
struct Pool {
    version: String,
    targets: Vec<TargetSlot>,
    next: AtomicUsize,
}

/// Counts a request in flight while it lives.
struct Taken<'a>(&'a TargetSlot);

impl<'a> Taken<'a> {
    fn new(slot: &'a TargetSlot) -> Self {
        slot.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(slot)
    }
}

impl Drop for Taken<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The dispatcher of one entry instance.
#[derive(Debug)]
pub struct Dispatcher {
    choice: Choice,
    http: Client,
    pools: BTreeMap<String, Pool>,
    rollouts: Vec<RolloutPlan>,
    start: Instant,
}

impl Dispatcher {
    /// A dispatcher to the targets of `world`.
    pub fn new(choice: Choice, scenario: &Scenario, world: &World, start: Instant) -> Self {
        let mut pools: BTreeMap<String, Pool> = BTreeMap::new();
        for target in &scenario.targets {
            let Some(addr) = world.addr(&target.name) else { continue };
            let pool = pools.entry(target.service.clone()).or_default();
            pool.targets.push(TargetSlot { addr, in_flight: AtomicUsize::new(0) });
        }
        for service in &scenario.services {
            if let Some(pool) = pools.get_mut(&service.name) {
                pool.version.clone_from(&service.version);
            }
        }
        let rollouts = scenario.rollouts.clone();
        Self { choice, http: crate::replay::http_client(), pools, rollouts, start }
    }

    /// Sends `entry` to a target of its choice and reads the answer.
    pub async fn send(&self, entry: &Entry) -> Exchange {
        let patience = Duration::from_millis(entry.timeout_ms);
        let Some(pool) = self.pools.get(&entry.service) else { return gave_up(RunState::NotRun) };
        let first = self.first(pool);
        for attempt in 0..MAX_TRIES.min(pool.targets.len()) {
            let slot = &pool.targets[(first + attempt) % pool.targets.len()];
            let _taken = Taken::new(slot);
            let request = self.request(entry, pool, slot.addr);
            let exchange = client::exchange(entry, request, patience).await;
            if !exchange.untouched {
                return answered(exchange);
            }
        }
        gave_up(RunState::NotRun)
    }

    fn first(&self, pool: &Pool) -> usize {
        let next = pool.next.fetch_add(1, Ordering::Relaxed);
        let count = pool.targets.len();
        match self.choice {
            Choice::RoundRobin => next % count,
            // Ties go round, so that equal targets share the work.
            Choice::LeastInFlight => (0..count)
                .map(|offset| (next + offset) % count)
                .min_by_key(|index| pool.targets[*index].in_flight.load(Ordering::Relaxed))
                .unwrap_or(0),
        }
    }

    fn request(&self, entry: &Entry, pool: &Pool, addr: SocketAddr) -> reqwest::RequestBuilder {
        let key = client::request_key(entry);
        let request = match client::plain_route(entry) {
            Some((method, path)) => {
                let method = method.parse().unwrap_or(reqwest::Method::POST);
                self.http.request(method, format!("http://{addr}{path}")).body("{}")
            }
            None => {
                let url = format!("http://{addr}/v1/chat/completions");
                crate::replay::hints(self.http.post(url), entry).body(client::body(entry))
            }
        };
        request
            .header("x-request-id", key.to_string())
            .header("x-version", self.version(entry, pool))
            .header("x-route", &entry.route)
    }

    fn version<'a>(&'a self, entry: &Entry, pool: &'a Pool) -> &'a str {
        let moves = self.rollouts.iter().find(|rollout| rollout.service == entry.service);
        let Some(rollout) = moves else { return &pool.version };
        let passed = self.start.elapsed().as_secs_f64() / rollout.deadline_s;
        let share = if passed >= FULL_FROM { 1.0 } else { rollout.share };
        let takes_new = client::request_key(entry).position(&rollout.id) < share;
        if takes_new { &rollout.to } else { &rollout.from }
    }
}

/// A break or a timeout is told to the caller as such: nothing is lost without a word.
fn answered(exchange: Exchange) -> Exchange {
    if exchange.answer != Answer::Lost {
        return exchange;
    }
    Exchange { first_token: exchange.first_token, ..gave_up(RunState::Unknown) }
}

fn gave_up(run: RunState) -> Exchange {
    let code = if run == RunState::NotRun { Code::NoTarget } else { Code::OutcomeUnknown };
    let refusal = Refusal { status: code.status(), code: code.number(), run };
    Exchange { first_token: None, answer: Answer::Refused(refusal), untouched: false }
}
