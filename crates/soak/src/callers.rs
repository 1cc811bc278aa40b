//! Callers that send requests, and the load balancer that chooses their instances.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::HeaderMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reqwest::{Client, Method, Response};
use sesamewind_adapter::names;
use sesamewind_standins::relay::{self, event};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::configuration::{FREE_KEY, LIMITED_KEY, TOKENS};
use crate::process::Process;
use crate::record::{Outcome, Record, RequestKind, Sent};

/// Number of events in a complete stream.
pub const EVENTS: u64 = 8;

/// Body of each request.
pub const BODY: &str = "the body";

/// How long a caller waits for its answer, which it also sends as the deadline.
pub const CALLER_TIMEOUT: Duration = Duration::from_secs(4);

/// Time over its timeout after which a caller stops waiting for an overdue answer.
pub const TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// Interval between readiness checks by the load balancer.
const BALANCER_INTERVAL: Duration = Duration::from_secs(1);

/// Consecutive failed checks after which the load balancer removes an instance.
const BALANCER_FAILURES: u32 = 2;

/// Bounds on a caller's pause between two requests in milliseconds.
pub const PAUSE_MS: (u64, u64) = (5, 60);

/// One in this many requests is abandoned by its caller.
const LEAVE_ONE_IN: u32 = 25;

/// Load balancer state: whether each instance gets new connections.
#[derive(Debug)]
pub struct Rotation(Vec<AtomicBool>);

impl Rotation {
    /// Starts readiness checks of all `processes`; they stop when the returned tasks are dropped.
    pub fn start(processes: &Arc<Vec<Process>>) -> (Arc<Self>, JoinSet<()>) {
        let flags = (0..processes.len()).map(|_| AtomicBool::new(false)).collect();
        let this = Arc::new(Self(flags));
        let mut tasks = JoinSet::new();
        for number in 0..processes.len() {
            let (this, processes) = (Arc::clone(&this), Arc::clone(processes));
            tasks.spawn(async move { this.probe(number, &processes[number]).await });
        }
        (this, tasks)
    }

    async fn probe(&self, number: usize, process: &Process) {
        let client = Client::builder().pool_max_idle_per_host(0).build().unwrap_or_default();
        let mut failures = 0;
        loop {
            let url = format!("http://{}/", process.readiness);
            let answer = timeout(BALANCER_INTERVAL / 2, client.get(url).send()).await;
            let ready = matches!(answer, Ok(Ok(answer)) if answer.status() == 200);
            failures = if ready { 0 } else { failures + 1 };
            if failures == 0 || failures >= BALANCER_FAILURES {
                self.0[number].store(ready, Ordering::Relaxed);
            }
            sleep(BALANCER_INTERVAL).await;
        }
    }

    /// Returns the instances in rotation, or all instances if none is.
    pub fn ready(&self) -> Vec<usize> {
        let ready: Vec<usize> =
            (0..self.0.len()).filter(|&number| self.0[number].load(Ordering::Relaxed)).collect();
        if ready.is_empty() { (0..self.0.len()).collect() } else { ready }
    }
}

/// State shared by the callers of a run.
#[derive(Debug)]
pub struct Callers {
    /// The instances.
    pub processes: Arc<Vec<Process>>,
    /// The load balancer.
    pub rotation: Arc<Rotation>,
    /// Where requests are recorded.
    pub record: Arc<Record>,
    /// Newest version of the configuration that was written.
    pub version: Arc<AtomicU64>,
    /// Set to make the callers stop.
    pub stopping: AtomicBool,
}

impl Callers {
    /// Sends requests one after the other until `stopping` is set.
    pub async fn call(self: Arc<Self>, number: u64, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (number + 1).wrapping_mul(0x9E37_79B9));
        let limited = number.is_multiple_of(4);
        let mut open_connection: Option<(usize, Client)> = None;
        let mut count = 0_u64;
        while !self.stopping.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(rng.random_range(PAUSE_MS.0..PAUSE_MS.1))).await;
            let (instance, client) = open_connection.take().unwrap_or_else(|| {
                let ready = self.rotation.ready();
                (ready[rng.random_range(0..ready.len())], client())
            });
            count += 1;
            let id = format!("{number:04x}{count:08x}");
            let kind = self.draw_kind(&mut rng);
            let leave_after = rng.random_range(0..LEAVE_ONE_IN) == 0;
            let leave_after = leave_after.then(|| Duration::from_millis(rng.random_range(1..150)));
            let incarnation = self.processes[instance].incarnation();
            let at = Instant::now();
            let send = self.send(&client, instance, &id, kind, limited);
            let outcome = match leave_after {
                Some(after) => timeout(after, send).await.unwrap_or(Outcome::CallerLeft),
                None => {
                    let no_answer = Outcome::NoAnswer("no answer in time".to_owned());
                    timeout(CALLER_TIMEOUT + TIMEOUT_MARGIN, send).await.unwrap_or(no_answer)
                }
            };
            if matches!(outcome, Outcome::Complete | Outcome::Status(..)) {
                // The caller stays on this instance until the connection is closed.
                open_connection = Some((instance, client));
            }
            self.record.events().sent.push(Sent {
                id,
                kind,
                limited,
                instance: (instance, incarnation),
                at,
                written: at,
                timeout: CALLER_TIMEOUT,
                ended: Instant::now(),
                outcome,
            });
        }
    }

    /// Draws a kind of request that every run has.
    pub fn draw_kind(&self, rng: &mut ChaCha8Rng) -> RequestKind {
        let version = self.version.load(Ordering::Relaxed);
        match rng.random_range(0..20) {
            0..7 => RequestKind::Pay,
            7..11 => RequestKind::Read,
            11..15 => RequestKind::Talk,
            15..17 => RequestKind::OnceStream,
            17 => RequestKind::Marker(version.saturating_sub(rng.random_range(1..3))),
            _ => RequestKind::Marker(version),
        }
    }

    async fn send(
        &self,
        client: &Client,
        instance: usize,
        id: &str,
        kind: RequestKind,
        limited: bool,
    ) -> Outcome {
        let url = format!("http://{}{}", self.processes[instance].callers.addr(), kind.path());
        let key = if limited { LIMITED_KEY } else { FREE_KEY };
        let mut request = client.request(Method::POST, url).body(BODY);
        for (name, value) in headers(id, key) {
            request = request.header(name, value);
        }
        match request.send().await {
            Ok(answer) => read_outcome(answer, id, kind).await,
            Err(err) => Outcome::NoAnswer(format!("{err:?}")),
        }
    }
}

/// Returns the headers of a request.
pub fn headers(id: &str, key: &str) -> [(&'static str, String); 7] {
    [
        ("host", "h.example".to_owned()),
        (names::REQUEST_ID, id.to_owned()),
        ("authorization", format!("{}{key}", names::KEY_SCHEME)),
        // Only the gateway may set these headers; it has to replace the forged values.
        (names::ACCOUNT, "forged".to_owned()),
        (names::EXPECT_TARGET, "forged".to_owned()),
        (names::DEADLINE, CALLER_TIMEOUT.as_millis().to_string()),
        (names::TOKENS, format!("{},{}", TOKENS.0, TOKENS.1)),
    ]
}

fn client() -> Client {
    Client::builder().pool_max_idle_per_host(1).http1_only().build().unwrap_or_default()
}

async fn read_outcome(answer: Response, id: &str, kind: RequestKind) -> Outcome {
    let status = answer.status().as_u16();
    let headers = answer.headers().clone();
    outcome(status, &headers, answer.text().await.ok(), id, kind)
}

/// Returns the outcome of a request from its answer, whose body is none if it was cut off.
pub fn outcome(
    status: u16,
    headers: &HeaderMap,
    body: Option<String>,
    id: &str,
    kind: RequestKind,
) -> Outcome {
    let retry_after = headers.contains_key("retry-after");
    let sealed = headers.contains_key(names::SEAL);
    let Some(text) = body else { return Outcome::Incomplete };
    if status != 200 {
        return Outcome::Status(status, retry_after);
    }
    let expected: String = if kind.is_stream() {
        (1..=EVENTS).map(|number| event(id, number)).collect()
    } else {
        relay::body(id)
    };
    match (sealed, text == expected) {
        (true, true) => Outcome::Complete,
        (false, _) => Outcome::Wrong("success without a seal".to_owned()),
        (true, false) => Outcome::Wrong(text),
    }
}
