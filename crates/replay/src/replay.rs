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
use crate::baseline::{Dispatcher, Strategy};
use crate::client::{self, CallResult};
use crate::daemons::{Daemons, StartError};
use crate::received::{Answer, Received};
use crate::scenario::Scenario;
use crate::testbed::{self, Testbed};
use crate::trace::Entry;

/// Time that callers wait beyond their timeout, so that a daemon can still report the timeout.
const TIMEOUT_GRACE: Duration = Duration::from_secs(3);
/// Delay between the last answer and the reading of the logs, so that streams can end. Also added
/// to the time that engines take to load a version.
const SETTLE_DELAY: Duration = Duration::from_secs(1);
/// Time that rollouts have to record their outcome after the last answer and the last deadline.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// What selects the targets of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The daemons of this repository.
    Sesamewind,
    /// The baseline that takes targets in turn.
    RoundRobin,
    /// The baseline that takes the target with the fewest requests in flight.
    LeastInFlight,
}

impl Policy {
    /// The policies that Sesamewind is compared with.
    pub const BASELINES: [Policy; 2] = [Policy::RoundRobin, Policy::LeastInFlight];

    /// Returns the policy's name on the command line and in reports.
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

/// Result of a replay, input for the report.
#[derive(Debug)]
pub struct ReplayOutput {
    /// When the replay started; rollout deadlines count from it.
    pub start: WallTime,
    /// What callers received, in the order of the trace.
    pub received: Vec<Received>,
    /// The stand-ins, with their logs.
    pub testbed: Testbed,
}

/// Returns an HTTP client for callers and dispatchers, which ignores proxy settings.
///
/// # Panics
///
/// Panics if the client cannot be built.
pub fn http_client() -> Client {
    Client::builder().no_proxy().build().expect("an HTTP client without TLS can be built")
}

/// Adds the content type and the headers for prompt and prefix tokens.
pub fn with_prompt_headers(request: RequestBuilder, entry: &Entry) -> RequestBuilder {
    let request = request
        .header("content-type", "application/json")
        .header("x-prompt-tokens", entry.prompt_tokens);
    if entry.prefix.is_empty() {
        return request;
    }
    request.header("x-prefix", &entry.prefix).header("x-prefix-tokens", entry.prefix_tokens)
}

/// The system that receives the attempts.
#[derive(Debug)]
enum Frontend {
    Baseline(Vec<Dispatcher>),
    Daemons(Daemons),
}

impl Frontend {
    async fn send(&self, index: usize, entry: &Entry) -> CallResult {
        match self {
            Self::Baseline(dispatchers) => dispatchers[index].send(entry).await,
            Self::Daemons(daemons) => {
                let request = daemons.request(index, entry);
                let timeout = Duration::from_millis(entry.timeout_ms) + TIMEOUT_GRACE;
                client::call(entry, request, timeout).await
            }
        }
    }
}

/// State shared by all attempts of a replay.
#[derive(Debug)]
struct Context {
    frontend: Frontend,
    balancer: Balancer,
    client_delay: Duration,
}

impl Context {
    async fn attempt(&self, index: usize, entry: &Entry) -> Received {
        let sent = wall_now();
        let start = Instant::now();
        sleep(self.client_delay).await;
        let delay_before = start.elapsed();
        let mut result = CallResult { first_token: None, answer: Answer::Lost, not_run: false };
        let mut instance = 0;
        for next in self.balancer.order(entry) {
            instance = next;
            result = self.frontend.send(instance, entry).await;
            // Load balancers try the next instance if a connection fails.
            let refused = result.not_run && result.answer == Answer::Lost;
            if !refused {
                break;
            }
        }
        sleep(self.client_delay).await;
        let first_token = result.first_token.map(|time| time + delay_before + self.client_delay);
        let total = start.elapsed();
        let (entry, ended, answer) = (index, wall_now(), result.answer);
        Received { entry, instance, sent, ended, first_token, total, answer }
    }
}

/// Replays `entries` under `policy`.
///
/// # Errors
///
/// Returns an error if an instance does not start or does not become ready.
pub async fn replay(
    scenario: &Scenario,
    entries: &Arc<Vec<Entry>>,
    policy: Policy,
    seed: u64,
) -> Result<ReplayOutput, StartError> {
    let testbed = Testbed::start(scenario, seed).await;
    let count = scenario.instances.len();
    let balancer = Balancer::new(count, seed);
    let (frontend, begin, start) = match policy {
        Policy::Sesamewind => {
            let daemons = Daemons::start(scenario, &testbed).await?;
            let start = wall_now();
            testbed.publish_sheet(&testbed::sheet(scenario, &testbed, start));
            daemons.wait_until_ready().await?;
            (Frontend::Daemons(daemons), Instant::now(), start)
        }
        Policy::RoundRobin => start_baseline(Strategy::RoundRobin, scenario, &testbed).await,
        Policy::LeastInFlight => start_baseline(Strategy::LeastInFlight, scenario, &testbed).await,
    };
    let context = Arc::new(Context { frontend, balancer, client_delay: scenario.client_delay() });
    let received = tokio::select! {
        received = send_all(&context, entries, begin) => received,
        never = inject_faults(scenario, &testbed, &context, begin) => match never {},
    };
    if policy == Policy::Sesamewind {
        wait_for_rollouts(scenario, &testbed, begin).await;
    }
    sleep(SETTLE_DELAY).await;
    if let Frontend::Daemons(daemons) = &context.frontend {
        daemons.stop_all().await;
    }
    Ok(ReplayOutput { start, received, testbed })
}

async fn start_baseline(
    strategy: Strategy,
    scenario: &Scenario,
    testbed: &Testbed,
) -> (Frontend, Instant, WallTime) {
    for rollout in &scenario.rollouts {
        load_on_all_engines(scenario, testbed, &rollout.service, &rollout.to).await;
    }
    let begin = Instant::now();
    let dispatcher = |_| Dispatcher::new(strategy, scenario, testbed, begin);
    let dispatchers = scenario.instances.iter().map(dispatcher).collect();
    (Frontend::Baseline(dispatchers), begin, wall_now())
}

/// Orders every target of a service to load a version, and waits for the longest load time.
async fn load_on_all_engines(scenario: &Scenario, testbed: &Testbed, service: &str, version: &str) {
    let http = http_client();
    let targets = scenario.targets.iter().filter(|target| target.service == service);
    let mut longest_ms = 0;
    for target in targets {
        longest_ms = longest_ms.max(target.load_ms);
        let Some(addr) = testbed.addr(&target.name) else { continue };
        let order = serde_json::json!({"fence": 1, "order": "load", "version": version});
        let _ = http.post(format!("http://{addr}/orders")).body(order.to_string()).send().await;
    }
    sleep(Duration::from_millis(longest_ms) + SETTLE_DELAY).await;
}

async fn send_all(
    context: &Arc<Context>,
    entries: &Arc<Vec<Entry>>,
    begin: Instant,
) -> Vec<Received> {
    let mut attempts = JoinSet::new();
    for index in 0..entries.len() {
        sleep_until(begin + Duration::from_millis(entries[index].at_ms)).await;
        let (context, entries) = (Arc::clone(context), Arc::clone(entries));
        attempts.spawn(async move { context.attempt(index, &entries[index]).await });
    }
    let mut received = attempts.join_all().await;
    received.sort_by_key(|received| received.entry);
    received
}

/// Applies the scenario's faults at their times. Never returns, so that it can run beside the
/// sending of requests.
async fn inject_faults(
    scenario: &Scenario,
    testbed: &Testbed,
    context: &Context,
    begin: Instant,
) -> Infallible {
    let mut plans: Vec<_> = scenario.faults.iter().collect();
    plans.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    for plan in plans {
        sleep_until(begin + Duration::from_secs_f64(plan.at_s)).await;
        if testbed.control(&plan.node, plan.control.clone()).await {
            continue;
        }
        let instance = scenario.instances.iter().position(|instance| instance.name == plan.node);
        if let (Some(index), Frontend::Daemons(daemons)) = (instance, &context.frontend) {
            daemons.stop(index);
            watch_readiness(context, daemons, index).await;
        }
    }
    std::future::pending().await
}

/// Removes an instance from the balancer as soon as it reports that it is not ready.
async fn watch_readiness(context: &Context, daemons: &Daemons, index: usize) {
    while daemons.is_ready(index).await {
        sleep(POLL_INTERVAL).await;
    }
    context.balancer.set_ready(index, false);
}

/// Waits until every rollout has an outcome, for at most [`ROLLOUT_TIMEOUT`] after the last
/// deadline and the last answer.
async fn wait_for_rollouts(scenario: &Scenario, testbed: &Testbed, begin: Instant) {
    let last_deadline =
        scenario.rollouts.iter().map(|rollout| rollout.deadline_s).fold(0.0, f64::max);
    let deadline =
        (begin + Duration::from_secs_f64(last_deadline)).max(Instant::now()) + ROLLOUT_TIMEOUT;
    let is_finished = |id: &str| {
        testbed
            .platform
            .row(&format!("rollout.{id}"))
            .is_some_and(|row| !row.value["outcome"].is_null())
    };
    while Instant::now() < deadline
        && !scenario.rollouts.iter().all(|rollout| is_finished(&rollout.id))
    {
        sleep(POLL_INTERVAL).await;
    }
}
