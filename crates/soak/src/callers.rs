//! Callers that send requests, and the balancer that tells them where.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reqwest::{Client, Method, Response};
use sesamewind_adapter::names;
use sesamewind_standins::relay::{body, event};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::configuration::{FREE_KEY, LIMITED_KEY, TOKENS};
use crate::process::Process;
use crate::record::{Ask, Got, Record, Sent};

/// Events of a whole stream.
pub const EVENTS: u64 = 8;

/// Body of each request.
pub const BODY: &str = "the body";

/// How long a caller waits for its answer.
const PATIENCE: Duration = Duration::from_secs(4);

/// Time beyond its patience after which a caller gives up on an answer that should have come.
const OVERTIME: Duration = Duration::from_secs(2);

/// Interval of the balancer's questions.
const BALANCER_INTERVAL: Duration = Duration::from_secs(1);

/// Answers other than yes after which the balancer takes an instance out.
const BALANCER_MISSES: u32 = 2;

/// Bounds on a caller's pause between two requests, in milliseconds.
const PAUSE_MS: (u64, u64) = (5, 60);

/// One request in so many is left by its caller.
const LEAVE_ONE_IN: u32 = 25;

/// Instances that get new connections.
#[derive(Debug)]
pub struct Rotation(Vec<AtomicBool>);

impl Rotation {
    /// Asks all `processes`, for as long as the tasks are kept.
    pub fn start(processes: &Arc<Vec<Process>>) -> (Arc<Self>, JoinSet<()>) {
        let flags = (0..processes.len()).map(|_| AtomicBool::new(false)).collect();
        let this = Arc::new(Self(flags));
        let mut tasks = JoinSet::new();
        for number in 0..processes.len() {
            let (this, processes) = (Arc::clone(&this), Arc::clone(processes));
            tasks.spawn(async move { this.ask(number, &processes[number]).await });
        }
        (this, tasks)
    }

    async fn ask(&self, number: usize, process: &Process) {
        let client = Client::builder().pool_max_idle_per_host(0).build().unwrap_or_default();
        let mut misses = 0;
        loop {
            let url = format!("http://{}/", process.readiness);
            let answer = timeout(BALANCER_INTERVAL / 2, client.get(url).send()).await;
            let ready = matches!(answer, Ok(Ok(answer)) if answer.status() == 200);
            misses = if ready { 0 } else { misses + 1 };
            if misses == 0 || misses >= BALANCER_MISSES {
                self.0[number].store(ready, Ordering::Relaxed);
            }
            sleep(BALANCER_INTERVAL).await;
        }
    }

    /// Instances in rotation; all, if there is none.
    pub fn ready(&self) -> Vec<usize> {
        let ready: Vec<usize> =
            (0..self.0.len()).filter(|&number| self.0[number].load(Ordering::Relaxed)).collect();
        if ready.is_empty() { (0..self.0.len()).collect() } else { ready }
    }
}

/// What the callers of a run share.
#[derive(Debug)]
pub struct Callers {
    /// The instances.
    pub processes: Arc<Vec<Process>>,
    /// The balancer.
    pub rotation: Arc<Rotation>,
    /// Where requests are recorded.
    pub record: Arc<Record>,
    /// Newest acknowledged version of the configuration.
    pub version: Arc<AtomicU64>,
    /// Set when callers should end.
    pub over: AtomicBool,
}

impl Callers {
    /// Sends requests one after the other until the run is over.
    pub async fn call(self: Arc<Self>, number: u64, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (number + 1).wrapping_mul(0x9E37_79B9));
        let limited = number.is_multiple_of(4);
        let mut held: Option<(usize, Client)> = None;
        let mut count = 0_u64;
        while !self.over.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(rng.random_range(PAUSE_MS.0..PAUSE_MS.1))).await;
            let (instance, client) = held.take().unwrap_or_else(|| {
                let ready = self.rotation.ready();
                (ready[rng.random_range(0..ready.len())], client())
            });
            count += 1;
            let id = format!("{number:04x}{count:08x}");
            let ask = self.ask(&mut rng);
            let leaves = rng.random_range(0..LEAVE_ONE_IN) == 0;
            let leaves = leaves.then(|| Duration::from_millis(rng.random_range(1..150)));
            let life = self.processes[instance].life();
            let at = Instant::now();
            let send = self.send(&client, instance, &id, ask, limited);
            let got = match leaves {
                Some(after) => timeout(after, send).await.unwrap_or(Got::Left),
                None => {
                    let late = Got::Nothing("no answer in time".to_owned());
                    timeout(PATIENCE + OVERTIME, send).await.unwrap_or(late)
                }
            };
            if matches!(got, Got::Whole | Got::Status(..)) {
                // A kept connection stays with its instance until it is closed.
                held = Some((instance, client));
            }
            self.record.events().sent.push(Sent {
                id,
                ask,
                limited,
                instance: (instance, life),
                at,
                patience: PATIENCE,
                ended: Instant::now(),
                got,
            });
        }
    }

    fn ask(&self, rng: &mut ChaCha8Rng) -> Ask {
        let version = self.version.load(Ordering::Relaxed);
        match rng.random_range(0..20) {
            0..7 => Ask::Pay,
            7..11 => Ask::Read,
            11..15 => Ask::Talk,
            15..17 => Ask::OnceStream,
            17 => Ask::Marker(version.saturating_sub(rng.random_range(1..3))),
            _ => Ask::Marker(version),
        }
    }

    async fn send(
        &self,
        client: &Client,
        instance: usize,
        id: &str,
        ask: Ask,
        limited: bool,
    ) -> Got {
        let url = format!("http://{}{}", self.processes[instance].callers.addr(), ask.path());
        let key = if limited { LIMITED_KEY } else { FREE_KEY };
        let request = client
            .request(Method::POST, url)
            .header("host", "h.example")
            .header(names::REQUEST_ID, id)
            .header("authorization", format!("{}{key}", names::KEY_SCHEME))
            // Only the system may set these.
            .header(names::ACCOUNT, "forged")
            .header(names::EXPECT_TARGET, "forged")
            .header(names::DEADLINE, PATIENCE.as_millis().to_string())
            .header(names::TOKENS, format!("{},{}", TOKENS.0, TOKENS.1))
            .body(BODY);
        match request.send().await {
            Ok(answer) => read(answer, id, ask).await,
            Err(err) => Got::Nothing(format!("{err:?}")),
        }
    }
}

fn client() -> Client {
    Client::builder().pool_max_idle_per_host(1).http1_only().build().unwrap_or_default()
}

async fn read(answer: Response, id: &str, ask: Ask) -> Got {
    let status = answer.status().as_u16();
    let comes_back = answer.headers().contains_key("retry-after");
    let sealed = answer.headers().contains_key(names::SEAL);
    let Ok(text) = answer.text().await else { return Got::Incomplete };
    if status != 200 {
        return Got::Status(status, comes_back);
    }
    let whole: String = if ask.is_stream() {
        (1..=EVENTS).map(|number| event(id, number)).collect()
    } else {
        body(id)
    };
    match (sealed, text == whole) {
        (true, true) => Got::Whole,
        (false, _) => Got::Wrong("success without a seal".to_owned()),
        (true, false) => Got::Wrong(text),
    }
}
