//! Load on the daemon or straight on the stand-in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::time::Duration;

use hdrhistogram::Histogram;
use reqwest::{Client, RequestBuilder};
use sesamewind_replay::client;
use sesamewind_replay::received::Answer;
use sesamewind_replay::replay::{hints, http_client};
use sesamewind_replay::trace::Entry;
use sesamewind_replay::world::bearer;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

const PATIENCE: Duration = Duration::from_secs(10);
const OUTPUT_TOKENS: u32 = 16;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Numbers requests, so that no two share a key.
static NEXT: AtomicU64 = AtomicU64::new(0);

/// Where requests go.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Call {
    /// Through the daemon.
    Daemon(SocketAddr),
    /// Straight to the engine.
    Direct(SocketAddr),
}

/// What came of the requests of one run.
#[derive(Debug)]
pub(crate) struct Result {
    /// Time to the first token, in microseconds.
    pub(crate) first_token: Histogram<u64>,
    /// Requests with the whole answer.
    pub(crate) answered: u64,
    /// Requests without it.
    pub(crate) failed: u64,
}

impl Result {
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
        key: NEXT.fetch_add(1, Ordering::Relaxed).to_string(),
        attempt: 0,
        prefix: String::new(),
        prefix_tokens: 0,
        prompt_tokens: 50,
        output_tokens: OUTPUT_TOKENS,
        timeout_ms: 10_000,
    }
}

fn request(http: &Client, call: Call, entry: &Entry) -> RequestBuilder {
    let (Call::Daemon(addr) | Call::Direct(addr)) = call;
    let url = format!("http://{addr}/v1/chat/completions");
    let request = hints(http.post(url), entry).body(client::body(entry));
    match call {
        Call::Direct(_) => request.header("x-request-id", client::request_key(entry).to_string()),
        Call::Daemon(_) => request
            .bearer_auth(bearer(&entry.account))
            .header("idempotency-key", &entry.key)
            .header("x-attempt", 0)
            .header("x-tier", &entry.tier)
            .header("x-route", &entry.route)
            .header("x-timeout-ms", entry.timeout_ms),
    }
}

/// One request; the time to its first token if the whole answer came.
async fn one(http: &Client, call: Call) -> Option<Duration> {
    let entry = entry();
    let request = request(http, call, &entry);
    let exchange = client::exchange(&entry, request, PATIENCE).await;
    exchange.first_token.filter(|_| exchange.answer == Answer::Whole)
}

/// `rate` requests a second for `span`, whether or not earlier ones have ended.
pub(crate) async fn steady(call: Call, rate: u32, span: Duration) -> Result {
    let http = http_client();
    let start = Instant::now();
    let mut running = JoinSet::new();
    let mut result = Result::new();
    let pause = Duration::from_secs(1) / rate;
    let count = u32::try_from(span.as_secs()).unwrap_or(u32::MAX) * rate;
    for number in 0..count {
        sleep_until(start + pause * number).await;
        let http = http.clone();
        running.spawn(async move { one(&http, call).await });
        while let Some(Ok(first_token)) = running.try_join_next() {
            result.add(first_token);
        }
    }
    for first_token in running.join_all().await {
        result.add(first_token);
    }
    result
}

/// `callers` that each send the next request when the last has ended, for `span`.
pub(crate) async fn closed(call: Call, callers: usize, span: Duration) -> Result {
    let until = Instant::now() + span;
    gather(call, callers, move || Instant::now() < until).await
}

/// `callers` that send `count` requests between them.
pub(crate) async fn counted(call: Call, callers: usize, count: u64) -> Result {
    let left = Arc::new(AtomicI64::new(i64::try_from(count).unwrap_or(i64::MAX)));
    gather(call, callers, move || left.fetch_sub(1, Ordering::Relaxed) > 0).await
}

async fn gather(
    call: Call,
    callers: usize,
    go_on: impl Fn() -> bool + Clone + Send + 'static,
) -> Result {
    let http = http_client();
    let mut running = JoinSet::new();
    for _ in 0..callers {
        let (http, go_on) = (http.clone(), go_on.clone());
        running.spawn(async move {
            let mut times = Vec::new();
            while go_on() {
                times.push(one(&http, call).await);
            }
            times
        });
    }
    let mut result = Result::new();
    for first_token in running.join_all().await.into_iter().flatten() {
        result.add(first_token);
    }
    result
}
