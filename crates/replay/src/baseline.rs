//! Two simple dispatchers for comparison: round robin and least requests in flight.
//!
//! Each entry instance has its own dispatcher, like a set of small proxies that share no state.
//! Rollouts follow a fixed schedule: the first share of requests goes to the new version from the
//! start, and all of them after half of the time to the deadline.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use reqwest::Client;
use tokio::time::Instant;

use crate::client::{self, CallResult};
use crate::received::{Answer, Refusal};
use crate::scenario::{RolloutPlan, Scenario};
use crate::testbed::Testbed;
use crate::trace::Entry;
use sesamewind_protocol::{Code, RunState};

/// Targets that a dispatcher tries before it refuses the request.
const MAX_TRIES: usize = 3;
/// Fraction of the time to the deadline after which all requests go to the new version.
const FULL_SHARE_FRACTION: f64 = 0.5;

/// How a baseline chooses a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// Takes the targets in turn.
    RoundRobin,
    /// Takes the target with the fewest requests in flight from this dispatcher.
    LeastInFlight,
}

#[derive(Debug)]
struct PoolTarget {
    addr: SocketAddr,
    in_flight: AtomicUsize,
}

#[derive(Debug, Default)]
struct Pool {
    version: String,
    targets: Vec<PoolTarget>,
    next: AtomicUsize,
}

/// Counts a request as in flight at its target until it is dropped.
struct InFlightGuard<'a>(&'a PoolTarget);

impl<'a> InFlightGuard<'a> {
    fn new(target: &'a PoolTarget) -> Self {
        target.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(target)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The dispatcher of one entry instance.
#[derive(Debug)]
pub struct Dispatcher {
    strategy: Strategy,
    http: Client,
    pools: BTreeMap<String, Pool>,
    rollouts: Vec<RolloutPlan>,
    start: Instant,
}

impl Dispatcher {
    /// Creates a dispatcher to the targets of `testbed`. Rollout deadlines count from `start`.
    pub fn new(strategy: Strategy, scenario: &Scenario, testbed: &Testbed, start: Instant) -> Self {
        let mut pools: BTreeMap<String, Pool> = BTreeMap::new();
        for target in &scenario.targets {
            let Some(addr) = testbed.addr(&target.name) else { continue };
            let pool = pools.entry(target.service.clone()).or_default();
            pool.targets.push(PoolTarget { addr, in_flight: AtomicUsize::new(0) });
        }
        for service in &scenario.services {
            if let Some(pool) = pools.get_mut(&service.name) {
                pool.version.clone_from(&service.version);
            }
        }
        let rollouts = scenario.rollouts.clone();
        Self { strategy, http: crate::replay::http_client(), pools, rollouts, start }
    }

    /// Selects a target for `entry`, sends the request and reads the answer. Tries another target
    /// while the request did not run.
    pub async fn send(&self, entry: &Entry) -> CallResult {
        let timeout = Duration::from_millis(entry.timeout_ms);
        let Some(pool) = self.pools.get(&entry.service) else { return refused(RunState::NotRun) };
        let first = self.first_index(pool);
        for attempt in 0..MAX_TRIES.min(pool.targets.len()) {
            let target = &pool.targets[(first + attempt) % pool.targets.len()];
            let _guard = InFlightGuard::new(target);
            let request = self.request(entry, pool, target.addr);
            let result = client::call(entry, request, timeout).await;
            if !result.not_run {
                return with_loss_reported(result);
            }
        }
        refused(RunState::NotRun)
    }

    fn first_index(&self, pool: &Pool) -> usize {
        let next = pool.next.fetch_add(1, Ordering::Relaxed);
        let count = pool.targets.len();
        match self.strategy {
            Strategy::RoundRobin => next % count,
            // The scan starts at the next target in turn, so that ties are spread over all targets.
            Strategy::LeastInFlight => (0..count)
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
                crate::replay::with_prompt_headers(self.http.post(url), entry)
                    .body(client::model_body(entry))
            }
        };
        request
            .header("x-request-id", key.to_string())
            .header("x-version", self.version(entry, pool))
            .header("x-route", &entry.route)
    }

    fn version<'a>(&'a self, entry: &Entry, pool: &'a Pool) -> &'a str {
        let rollout = self.rollouts.iter().find(|rollout| rollout.service == entry.service);
        let Some(rollout) = rollout else { return &pool.version };
        let elapsed_fraction = self.start.elapsed().as_secs_f64() / rollout.deadline_s;
        let share = if elapsed_fraction >= FULL_SHARE_FRACTION { 1.0 } else { rollout.share };
        let uses_new = client::request_key(entry).position(&rollout.id) < share;
        if uses_new { &rollout.to } else { &rollout.from }
    }
}

/// Replaces a lost answer by a refusal with an unknown run state. A dispatcher reports broken
/// connections and timeouts to its caller, so they do not count as lost.
fn with_loss_reported(result: CallResult) -> CallResult {
    if result.answer != Answer::Lost {
        return result;
    }
    CallResult { first_token: result.first_token, ..refused(RunState::Unknown) }
}

fn refused(run: RunState) -> CallResult {
    let code = if run == RunState::NotRun { Code::NoTarget } else { Code::OutcomeUnknown };
    let refusal = Refusal { status: code.status(), code: code.number(), run };
    CallResult { first_token: None, answer: Answer::Refused(refusal), not_run: false }
}
