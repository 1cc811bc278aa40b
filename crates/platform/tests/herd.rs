//! Load on the platform after a long outage. The clients run on the paused clock of tokio.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use sesamewind_platform::{
    BreakerTiming, BudgetRate, Options, Platform, Reply, ReplyFuture, Request, Transport,
};
use tokio::time::{Instant, sleep, sleep_until};

const INSTANCES: u64 = 64;
const NORMAL: Duration = Duration::from_secs(30);
const OUTAGE: Duration = Duration::from_secs(120);
const AFTER: Duration = Duration::from_secs(30);
/// Wait of a caller after a failed call.
const RETRY: Duration = Duration::from_millis(100);
const UNLIMITED: BudgetRate = BudgetRate { per_s: 1e6, burst: 1e6 };
/// Highest acceptable load after an outage, as a multiple of the normal load.
const LIMIT: f64 = 2.0;
/// Periods of an instance's calls with the daemon's default settings: list, pointer row, rollout
/// records, lease.
const PERIODS_MS: [u64; 4] = [1_000, 1_000, 1_000, 1_667];

/// A platform with one outage, which counts the requests of each second.
#[derive(Clone)]
struct Outage {
    start: Instant,
    seconds: Arc<Mutex<Vec<u32>>>,
}

impl Outage {
    fn is_down(&self) -> bool {
        let passed = self.start.elapsed();
        (NORMAL..NORMAL + OUTAGE).contains(&passed)
    }
}

impl Transport for Outage {
    fn send(&self, _request: Request) -> ReplyFuture {
        let second = self.start.elapsed().as_secs() as usize;
        let mut seconds = self.seconds.lock().unwrap();
        let len = seconds.len().max(second + 1);
        seconds.resize(len, 0);
        seconds[second] += 1;
        let status = if self.is_down() { 503 } else { 404 };
        Box::pin(async move {
            sleep(Duration::from_millis(5)).await;
            Ok(Reply { status, body: "".into() })
        })
    }
}

/// Highest load within a second after the outage, as a multiple of the normal load.
async fn load_after_outage(options: impl Fn(u64) -> Options) -> f64 {
    let outage = Outage { start: Instant::now(), seconds: Arc::default() };
    let end = outage.start + NORMAL + OUTAGE + AFTER;
    let mut tasks = Vec::new();
    for instance in 0..INSTANCES {
        let platform = Platform::with_transport(outage.clone(), options(instance));
        for (caller, period_ms) in PERIODS_MS.into_iter().enumerate() {
            let platform = platform.clone();
            let offset_ms = (instance * 131 + caller as u64 * 17) % period_ms;
            tasks.push(tokio::spawn(async move {
                let mut next = Instant::now() + Duration::from_millis(offset_ms);
                while next < end {
                    sleep_until(next).await;
                    while platform.row("row").await.is_err() && Instant::now() < end {
                        sleep(RETRY).await;
                    }
                    // A caller that has fallen behind makes up for the calls that it missed.
                    next += Duration::from_millis(period_ms);
                }
            }));
        }
    }
    for task in tasks {
        task.await.unwrap();
    }
    let seconds = outage.seconds.lock().unwrap();
    let normal_range = 5..NORMAL.as_secs() as usize;
    let normal_sum: u32 = seconds[normal_range.clone()].iter().sum();
    let normal = f64::from(normal_sum) / normal_range.len() as f64;
    let back = (NORMAL + OUTAGE).as_secs() as usize;
    let peak = seconds[back..back + 20].iter().max().copied().unwrap_or_default();
    f64::from(peak) / normal
}

fn default_options(seed: u64) -> Options {
    Options { seed: Some(seed), ..Options::default() }
}

#[tokio::test(start_paused = true)]
async fn guards_prevent_a_thundering_herd_after_a_long_outage() {
    struct Case {
        name: &'static str,
        options: fn(u64) -> Options,
        has_herd: bool,
    }
    let cases = [
        Case { name: "default options", options: default_options, has_herd: false },
        Case {
            name: "no budget",
            options: |seed| Options { budget: UNLIMITED, ..default_options(seed) },
            has_herd: true,
        },
        Case {
            name: "no breaker",
            options: |seed| Options { breaker: disabled_breaker(), ..default_options(seed) },
            has_herd: false,
        },
        Case {
            name: "no breaker, no budget",
            options: |seed| Options {
                budget: UNLIMITED,
                breaker: disabled_breaker(),
                ..default_options(seed)
            },
            has_herd: true,
        },
    ];
    for case in cases {
        let load = load_after_outage(case.options).await;
        println!("{}: at most {load:.2} times the normal load", case.name);
        assert_eq!(load > LIMIT, case.has_herd, "{}: {load:.2} times", case.name);
    }
}

fn disabled_breaker() -> BreakerTiming {
    BreakerTiming { threshold: u32::MAX, ..BreakerTiming::default() }
}
