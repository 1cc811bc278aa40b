//! Replays a trace in real time under one policy.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use reqwest::{Client, RequestBuilder};
use sesamewind_protocol::WallTime;
use sesamewind_standins::wall_now;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::balancer::Balancer;
use crate::baseline::{Choice, Dispatcher};
use crate::client::{self, Exchange};
use crate::daemons::{Daemons, StartFault};
use crate::received::{Answer, Received};
use crate::scenario::Scenario;
use crate::trace::Entry;
use crate::world::{self, World};

/// Time that callers wait beyond their timeout for the word that it has passed.
const GRACE: Duration = Duration::from_secs(3);
/// Time from the last answer until the logs are read, for streams that end on their own.
const SETTLE: Duration = Duration::from_secs(1);
/// Longest time after the last answer that outcomes of rollouts are waited for.
const ROLLOUT_PATIENCE: Duration = Duration::from_secs(5);
const ROLLOUT_POLL: Duration = Duration::from_millis(200);

/// Who decides where requests go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The daemons of this repository.
    Sesamewind,
    /// The baseline that takes targets one after the other.
    RoundRobin,
    /// The baseline that takes the target with the fewest requests in flight.
    LeastInFlight,
}

impl Policy {
    /// The policies that others are compared with.
    pub const BASELINES: [Policy; 2] = [Policy::RoundRobin, Policy::LeastInFlight];

    /// The policy's name on the command line and in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Sesamewind => "sesamewind",
            Self::RoundRobin => "round-robin",
            Self::LeastInFlight => "least-inflight",
        }
    }
}

impl std::str::FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let all = [Self::Sesamewind, Self::RoundRobin, Self::LeastInFlight];
        let found = all.into_iter().find(|policy| policy.as_str() == text);
        found.ok_or_else(|| "expected sesamewind, round-robin or least-inflight".to_owned())
    }
}

/// What one replay left behind.
#[derive(Debug)]
pub struct Outcome {
    /// When the first request could be sent.
    pub start: WallTime,
    /// What callers received, by attempt.
    pub received: Vec<Received>,
    /// The stand-ins with their logs.
    pub world: World,
}

/// A client without proxies, as callers and dispatchers use.
///
/// # Panics
///
/// Panics if the client can't be built.
pub fn http_client() -> Client {
    Client::builder().no_proxy().build().expect("an HTTP client without TLS can be built")
}

/// Adds what the caller knows of its prompt.
pub fn hints(request: RequestBuilder, entry: &Entry) -> RequestBuilder {
    let request = request
        .header("content-type", "application/json")
        .header("x-prompt-tokens", entry.prompt_tokens);
    if entry.prefix.is_empty() {
        return request;
    }
    request.header("x-prefix", &entry.prefix).header("x-prefix-tokens", entry.prefix_tokens)
}

/// Where attempts enter.
#[derive(Debug)]
enum Entrance {
    Baseline(Vec<Dispatcher>),
    Daemons(Daemons),
}

impl Entrance {
    async fn send(&self, index: usize, entry: &Entry) -> Exchange {
        match self {
            Self::Baseline(dispatchers) => dispatchers[index].send(entry).await,
            Self::Daemons(daemons) => {
                let request = daemons.request(index, entry);
                let patience = Duration::from_millis(entry.timeout_ms) + GRACE;
                client::exchange(entry, request, patience).await
            }
        }
    }
}

/// What all attempts of a replay share.
#[derive(Debug)]
struct Run {
    entrance: Entrance,
    balancer: Balancer,
    client_delay: Duration,
}

impl Run {
    async fn attempt(&self, index: usize, entry: &Entry) -> Received {
        let sent = wall_now();
        let start = Instant::now();
        sleep(self.client_delay).await;
        let before = start.elapsed();
        let mut exchange = Exchange { first_token: None, answer: Answer::Lost, untouched: false };
        let mut instance = 0;
        for next in self.balancer.order(entry) {
            instance = next;
            exchange = self.entrance.send(instance, entry).await;
            // A balancer tries the next instance where the connection was refused.
            let refused = exchange.untouched && exchange.answer == Answer::Lost;
            if !refused {
                break;
            }
        }
        sleep(self.client_delay).await;
        let first_token = exchange.first_token.map(|time| time + before + self.client_delay);
        let total = start.elapsed();
        let (entry, at, answer) = (index, wall_now(), exchange.answer);
        Received { entry, instance, sent, at, first_token, total, answer }
    }
}

/// Replays `entries` under `policy`.
///
/// # Errors
///
/// Returns why the daemons could not be started.
pub async fn replay(
    scenario: &Scenario,
    entries: &Arc<Vec<Entry>>,
    policy: Policy,
    seed: u64,
) -> Result<Outcome, StartFault> {
    let world = World::start(scenario, seed).await;
    let count = scenario.instances.len();
    let balancer = Balancer::new(count, seed);
    let (entrance, begin, start) = match policy {
        Policy::Sesamewind => {
            let daemons = Daemons::start(scenario, &world).await?;
            let start = wall_now();
            world.accept(&world::sheet(scenario, &world, start));
            daemons.until_ready().await?;
            (Entrance::Daemons(daemons), Instant::now(), start)
        }
        Policy::RoundRobin => baseline(Choice::RoundRobin, scenario, &world).await,
        Policy::LeastInFlight => baseline(Choice::LeastInFlight, scenario, &world).await,
    };
    let run = Arc::new(Run { entrance, balancer, client_delay: scenario.client_delay() });
    let received = tokio::select! {
        received = send_all(&run, entries, begin) => received,
        never = faults(scenario, &world, &run, begin) => match never {},
    };
    if policy == Policy::Sesamewind {
        until_settled(scenario, &world, begin).await;
    }
    sleep(SETTLE).await;
    if let Entrance::Daemons(daemons) = &run.entrance {
        daemons.stop_all().await;
    }
    Ok(Outcome { start, received, world })
}

async fn baseline(
    choice: Choice,
    scenario: &Scenario,
    world: &World,
) -> (Entrance, Instant, WallTime) {
    for rollout in &scenario.rollouts {
        load_everywhere(scenario, world, &rollout.service, &rollout.to).await;
    }
    let begin = Instant::now();
    let dispatcher = |_| Dispatcher::new(choice, scenario, world, begin);
    let dispatchers = scenario.instances.iter().map(dispatcher).collect();
    (Entrance::Baseline(dispatchers), begin, wall_now())
}

/// Loads a version on every engine of a service and waits until it is there.
async fn load_everywhere(scenario: &Scenario, world: &World, service: &str, version: &str) {
    let http = http_client();
    let of_service = scenario.targets.iter().filter(|target| target.service == service);
    let mut longest = 0;
    for target in of_service {
        longest = longest.max(target.load_ms);
        let Some(addr) = world.addr(&target.name) else { continue };
        let order = serde_json::json!({"fence": 1, "order": "load", "version": version});
        let _ = http.post(format!("http://{addr}/orders")).body(order.to_string()).send().await;
    }
    sleep(Duration::from_millis(longest) + SETTLE).await;
}

async fn send_all(run: &Arc<Run>, entries: &Arc<Vec<Entry>>, begin: Instant) -> Vec<Received> {
    let mut attempts = JoinSet::new();
    for index in 0..entries.len() {
        sleep_until(begin + Duration::from_millis(entries[index].at_ms)).await;
        let (run, entries) = (Arc::clone(run), Arc::clone(entries));
        attempts.spawn(async move { run.attempt(index, &entries[index]).await });
    }
    let mut received = attempts.join_all().await;
    received.sort_by_key(|received| received.entry);
    received
}

/// Carries out the scenario's faults at their times; never ends.
async fn faults(scenario: &Scenario, world: &World, run: &Run, begin: Instant) -> Infallible {
    let mut plans: Vec<_> = scenario.faults.iter().collect();
    plans.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    for plan in plans {
        sleep_until(begin + Duration::from_secs_f64(plan.at_s)).await;
        if world.control(&plan.node, plan.control.clone()).await {
            continue;
        }
        let instance = scenario.instances.iter().position(|instance| instance.name == plan.node);
        if let (Some(index), Entrance::Daemons(daemons)) = (instance, &run.entrance) {
            daemons.stop(index);
            watch_readiness(run, daemons, index).await;
        }
    }
    std::future::pending().await
}

/// Takes an instance out of the balancer once it says that it is not ready.
async fn watch_readiness(run: &Run, daemons: &Daemons, index: usize) {
    while daemons.ready(index).await {
        sleep(ROLLOUT_POLL).await;
    }
    run.balancer.set_ready(index, false);
}

/// Waits for the outcome of every rollout, past the last deadline at most for a set time.
async fn until_settled(scenario: &Scenario, world: &World, begin: Instant) {
    let last = scenario.rollouts.iter().map(|rollout| rollout.deadline_s).fold(0.0, f64::max);
    let until = (begin + Duration::from_secs_f64(last)).max(Instant::now()) + ROLLOUT_PATIENCE;
    let settled = |id: &str| {
        world
            .platform
            .row(&format!("rollout.{id}"))
            .is_some_and(|row| !row.value["outcome"].is_null())
    };
    while Instant::now() < until && !scenario.rollouts.iter().all(|rollout| settled(&rollout.id)) {
        sleep(ROLLOUT_POLL).await;
    }
}
