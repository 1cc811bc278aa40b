//! One run: starts the processes, sends requests, injects faults and checks the results.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sesamewind_standins::relay::RowStore;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::accepted;
use crate::callers::{Callers, Rotation};
use crate::changes;
use crate::check::{self, Arrived, Evidence};
use crate::inject::Deployment;
use crate::limits;
use crate::plan::{self, PlannedFault};
use crate::process::{Network, Process};
use crate::record::{Breach, Outcome, Record, Scope};

/// Timeout for the instances to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between checks of the processes.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Number of targets of each of the two services at the start.
const TARGETS_PER_SERVICE: usize = 3;

/// Number of targets of the spare service in runs with changes.
const SPARE_TARGETS: usize = 2;

/// Number of callers per instance.
const CALLERS_PER_INSTANCE: u64 = 3;

/// Number of callers per instance that keep their connections, in runs with changes.
const KEEPERS_PER_INSTANCE: u64 = 2;

/// Maximum number of callers of each sort; more would exceed what the targets can serve.
const MOST_CALLERS: u64 = 30;

/// Which plan a run follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Profile {
    /// Faults of all kinds.
    Faults,
    /// Changes of the configuration, with signals to the processes.
    Changes,
    /// Faults of all kinds beside targets that name request limits.
    Limits,
}

/// Options of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Path of the gateway program.
    pub program: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Seed of the faults and of the callers.
    pub seed: u64,
    /// The plan.
    pub profile: Profile,
    /// Number of instances.
    pub instances: usize,
    /// Length of the run.
    pub length: Duration,
    /// Whether guarantees with a time bound are checked.
    pub timed: bool,
}

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    /// The planned faults.
    pub planned: Vec<PlannedFault>,
    /// Number of requests.
    pub requests: usize,
    /// Number of requests with a complete answer.
    pub served: usize,
    /// Number of requests that were refused with status 429 or 503.
    pub refused: usize,
    /// Number of requests whose answer was cut off or missing.
    pub cut: usize,
    /// Number of requests that failed with status 500, 502 or 504.
    pub failed: usize,
    /// Guarantees that were not kept.
    pub breaches: Vec<Breach>,
}

/// Executes a run.
///
/// # Panics
///
/// Panics if the stand-ins or the processes can't be started.
pub async fn run(options: &Options) -> Report {
    std::fs::create_dir_all(&options.folder).expect("folder can be made");
    let record = Arc::new(Record::default());
    let store = RowStore::start().await;
    let network = Network::unused();
    let mut processes = Vec::new();
    for number in 0..options.instances {
        let (program, folder) = (&options.program, &options.folder);
        processes.push(Process::new(number, network, program, folder, store.addr()).await);
    }
    let processes = Arc::new(processes);
    let version = Arc::new(AtomicU64::new(1));
    let deployment = Arc::new(Deployment {
        store,
        processes: Arc::clone(&processes),
        targets: Mutex::default(),
        record: Arc::clone(&record),
        version: Arc::clone(&version),
        changed: Mutex::default(),
    });
    deployment.configure().await;
    for number in 0..2 * TARGETS_PER_SERVICE {
        deployment.add_target(!number.is_multiple_of(2)).await;
    }
    if options.profile == Profile::Changes {
        for _ in 0..SPARE_TARGETS {
            deployment.add_spare_target().await;
        }
    }
    for process in processes.iter() {
        process.start();
    }
    let (rotation, probes) = Rotation::start(&processes);
    wait_until_ready(&processes).await;
    let callers = Arc::new(Callers {
        processes: Arc::clone(&processes),
        rotation,
        record: Arc::clone(&record),
        version,
        stopping: AtomicBool::new(false),
    });
    let mut caller_tasks = JoinSet::new();
    let instances = options.instances as u64;
    for number in 0..MOST_CALLERS.min(CALLERS_PER_INSTANCE * instances) {
        caller_tasks.spawn(Arc::clone(&callers).call(number, options.seed));
    }
    if options.profile == Profile::Changes {
        for number in 0..MOST_CALLERS.min(KEEPERS_PER_INSTANCE * instances) {
            caller_tasks.spawn(Arc::clone(&callers).call_on_kept_connections(number, options.seed));
        }
    }
    let watch_task = tokio::spawn(watch(Arc::clone(&deployment)));
    let planned = inject_faults(options, &deployment).await;
    callers.stopping.store(true, Ordering::Relaxed);
    let end = Instant::now();
    while caller_tasks.join_next().await.is_some() {}
    watch_task.abort();
    drop(probes);
    for process in processes.iter() {
        process.kill();
    }
    judge(options, &deployment, planned, end).await
}

async fn inject_faults(options: &Options, deployment: &Arc<Deployment>) -> Vec<PlannedFault> {
    let start = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let (instances, targets) = (options.instances, 2 * TARGETS_PER_SERVICE);
    let planned = match options.profile {
        Profile::Faults => plan::plan(&mut rng, options.length, instances, targets),
        Profile::Changes => changes::plan(&mut rng, options.length, instances, targets),
        Profile::Limits => {
            let faults = plan::plan(&mut rng, options.length, instances, targets);
            let limits = limits::plan(&mut rng, options.length, targets);
            faults.into_iter().chain(limits).collect()
        }
    };
    let mut tasks = JoinSet::new();
    for &planned_fault in &planned {
        let deployment = Arc::clone(deployment);
        tasks.spawn(async move {
            sleep(planned_fault.at).await;
            deployment.inject(planned_fault).await;
        });
    }
    while tasks.join_next().await.is_some() {}
    // Planned stops may last longer than the plan.
    let settled = (start + options.length).max(Instant::now() + plan::SETTLE_TIME);
    sleep(settled - Instant::now()).await;
    planned
}

/// Restarts processes that exited on their own, and records each exit as a breach.
async fn watch(deployment: Arc<Deployment>) {
    loop {
        for (number, process) in deployment.processes.iter().enumerate() {
            if let Some(status) = process.unexpected_exit() {
                let disturbance = deployment.record.begin_disturbance(Scope::Instance(number));
                deployment.record.breach(
                    "keeps running",
                    format!("{} exited on its own: {status}", process.name),
                );
                process.start();
                deployment.record.end_disturbance(disturbance);
            }
        }
        sleep(WATCH_INTERVAL).await;
    }
}

async fn wait_until_ready(processes: &[Process]) {
    let start = Instant::now();
    for process in processes {
        loop {
            let answer = reqwest::get(format!("http://{}/", process.readiness)).await;
            if answer.is_ok_and(|answer| answer.status() == 200) {
                break;
            }
            assert!(start.elapsed() < START_TIMEOUT, "{} is not ready", process.name);
            sleep(WATCH_INTERVAL).await;
        }
    }
}

async fn judge(
    options: &Options,
    deployment: &Deployment,
    planned: Vec<PlannedFault>,
    end: Instant,
) -> Report {
    let mut arrived = Vec::new();
    for target in deployment.targets.lock().await.iter() {
        let (name, plain) = (target.id(), target.id().starts_with("i-p"));
        let received = target.received().into_iter();
        arrived.extend(received.map(|received| Arrived {
            target: name.to_owned(),
            plain,
            received,
        }));
    }
    arrived.sort_by_key(|arrived| arrived.received.at);
    let events = deployment.record.events();
    let evidence = Evidence { events: &events, arrived: &arrived };
    let mut breaches = check::always(&evidence);
    if options.timed {
        breaches.extend(check::timed(&evidence, end));
    }
    if options.timed || options.profile == Profile::Changes {
        breaches.extend(accepted::check(&evidence));
    }
    let count =
        |wanted: fn(&Outcome) -> bool| events.sent.iter().filter(|s| wanted(&s.outcome)).count();
    Report {
        planned,
        requests: events.sent.len(),
        served: count(|got| *got == Outcome::Complete),
        refused: count(|got| matches!(got, Outcome::Status(429 | 503, _))),
        cut: count(|got| matches!(got, Outcome::Incomplete | Outcome::NoAnswer(_))),
        failed: count(|got| matches!(got, Outcome::Status(500 | 502 | 504, _))),
        breaches,
    }
}
