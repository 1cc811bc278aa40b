//! Load generator for the daemon or, directly, for a stand-in engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::time::Duration;

use hdrhistogram::Histogram;
use reqwest::{Client, RequestBuilder};
use sesamewind_replay::client;
use sesamewind_replay::received::Answer;
use sesamewind_replay::replay::{http_client, with_prompt_headers};
use sesamewind_replay::testbed::bearer;
use sesamewind_replay::trace::Entry;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

const TIMEOUT: Duration = Duration::from_secs(10);
const OUTPUT_TOKENS: u32 = 16;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Key of the next request, so that no two requests share a key.
static NEXT_KEY: AtomicU64 = AtomicU64::new(0);

/// Server that requests are sent to.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Server {
    /// The daemon, which forwards requests to an engine.
    Daemon(SocketAddr),
    /// An engine, without the daemon.
    Direct(SocketAddr),
}

/// Results of the requests of one run.
#[derive(Debug)]
pub(crate) struct LoadResult {
    /// Time to the first token, in microseconds.
    pub(crate) first_token: Histogram<u64>,
    /// Number of requests that got the whole answer.
    pub(crate) answered: u64,
    /// Number of requests that did not.
    pub(crate) failed: u64,
}

impl LoadResult {
    fn new() -> Self {
        let first_token = Histogram::new(SIGNIFICANT_DIGITS).expect("digits are in range");
        Self { first_token, answered: 0, failed: 0 }
    }

    fn add(&mut self, first_token: Option<Duration>) {
        let Some(time) = first_token else {
            self.failed += 1;
            return;
        };
        self.answered += 1;
        let _ = self.first_token.record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
    }
}

fn entry() -> Entry {
    Entry {
        at_ms: 0,
        account: "caller".to_owned(),
        tier: "urgent".to_owned(),
        service: "assistant".to_owned(),
        route: "reply".to_owned(),
        key: NEXT_KEY.fetch_add(1, Ordering::Relaxed).to_string(),
        attempt: 0,
        prefix: String::new(),
        prefix_tokens: 0,
        prompt_tokens: 50,
        output_tokens: OUTPUT_TOKENS,
        timeout_ms: 10_000,
    }
}

fn request(http: &Client, server: Server, entry: &Entry) -> RequestBuilder {
    let (Server::Daemon(addr) | Server::Direct(addr)) = server;
    let url = format!("http://{addr}/v1/chat/completions");
    let request = with_prompt_headers(http.post(url), entry).body(client::model_body(entry));
    match server {
        Server::Direct(_) => request.header("x-request-id", client::request_key(entry).to_string()),
        Server::Daemon(_) => request
            .bearer_auth(bearer(&entry.account))
            .header("idempotency-key", &entry.key)
            .header("x-attempt", 0)
            .header("x-tier", &entry.tier)
            .header("x-route", &entry.route)
            .header("x-timeout-ms", entry.timeout_ms),
    }
}

/// Sends one request and returns the time to its first token, or `None` without the whole answer.
async fn send_one(http: &Client, server: Server) -> Option<Duration> {
    let entry = entry();
    let request = request(http, server, &entry);
    let result = client::call(&entry, request, TIMEOUT).await;
    result.first_token.filter(|_| result.answer == Answer::Whole)
}

/// Sends `rate` requests per second for `duration`, without waiting for earlier ones.
pub(crate) async fn fixed_rate(server: Server, rate: u32, duration: Duration) -> LoadResult {
    let http = http_client();
    let start = Instant::now();
    let mut in_flight = JoinSet::new();
    let mut result = LoadResult::new();
    let interval = Duration::from_secs(1) / rate;
    let count = u32::try_from(duration.as_secs()).unwrap_or(u32::MAX) * rate;
    for number in 0..count {
        sleep_until(start + interval * number).await;
        let http = http.clone();
        in_flight.spawn(async move { send_one(&http, server).await });
        while let Some(Ok(first_token)) = in_flight.try_join_next() {
            result.add(first_token);
        }
    }
    for first_token in in_flight.join_all().await {
        result.add(first_token);
    }
    result
}

/// Runs `callers` for `duration`, each of which sends its next request when the previous one ends.
pub(crate) async fn closed_loop(server: Server, callers: usize, duration: Duration) -> LoadResult {
    let end = Instant::now() + duration;
    run_callers(server, callers, move || Instant::now() < end).await
}

/// Runs `callers` that send `count` requests in total.
pub(crate) async fn fixed_count(server: Server, callers: usize, count: u64) -> LoadResult {
    let remaining = Arc::new(AtomicI64::new(i64::try_from(count).unwrap_or(i64::MAX)));
    run_callers(server, callers, move || remaining.fetch_sub(1, Ordering::Relaxed) > 0).await
}

async fn run_callers(
    server: Server,
    callers: usize,
    should_continue: impl Fn() -> bool + Clone + Send + 'static,
) -> LoadResult {
    let http = http_client();
    let mut in_flight = JoinSet::new();
    for _ in 0..callers {
        let (http, should_continue) = (http.clone(), should_continue.clone());
        in_flight.spawn(async move {
            let mut times = Vec::new();
            while should_continue() {
                times.push(send_one(&http, server).await);
            }
            times
        });
    }
    let mut result = LoadResult::new();
    for first_token in in_flight.join_all().await.into_iter().flatten() {
        result.add(first_token);
    }
    result
}
