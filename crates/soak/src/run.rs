//! One run: start, load, faults, judgement.

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

use crate::callers::{Callers, Rotation};
use crate::check::{self, Arrived, Evidence};
use crate::inject::World;
use crate::plan::{self, Planned};
use crate::process::{Network, Process};
use crate::record::{Breach, Got, Record, Scope};

/// How long the instances may take to be ready.
const START_TIME: Duration = Duration::from_secs(20);

/// Interval at which processes are looked at.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Targets of each of the two services at the start.
const TARGETS: usize = 3;

/// Callers of each instance.
const CALLERS: u64 = 3;

/// What a run is started with.
#[derive(Debug, Clone)]
pub struct Options {
    /// The gateway's program.
    pub program: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Seed of the faults and of the callers.
    pub seed: u64,
    /// Instances.
    pub instances: usize,
    /// Length of the run.
    pub length: Duration,
    /// Whether bounds in time are judged.
    pub timed: bool,
}

/// What a run showed.
#[derive(Debug)]
pub struct Report {
    /// The faults.
    pub planned: Vec<Planned>,
    /// Requests.
    pub requests: usize,
    /// Requests with their whole answer.
    pub served: usize,
    /// Requests that were refused and did not run.
    pub refused: usize,
    /// Promises that were not kept.
    pub breaches: Vec<Breach>,
}

/// Plays a run.
///
/// # Panics
///
/// Panics if the stand-ins or the processes can't be started.
pub async fn run(options: &Options) -> Report {
    std::fs::create_dir_all(&options.folder).expect("folder can be made");
    let record = Arc::new(Record::default());
    let store = RowStore::start().await;
    let network = Network::free();
    let mut processes = Vec::new();
    for number in 0..options.instances {
        let (program, folder) = (&options.program, &options.folder);
        processes.push(Process::new(number, network, program, folder, store.addr()).await);
    }
    let processes = Arc::new(processes);
    let version = Arc::new(AtomicU64::new(1));
    let world = Arc::new(World {
        store,
        processes: Arc::clone(&processes),
        targets: Mutex::default(),
        record: Arc::clone(&record),
        version: Arc::clone(&version),
    });
    world.configure();
    for number in 0..2 * TARGETS {
        world.add_target(!number.is_multiple_of(2)).await;
    }
    for process in processes.iter() {
        process.start();
    }
    let (rotation, asking) = Rotation::start(&processes);
    ready(&processes).await;
    let callers = Arc::new(Callers {
        processes: Arc::clone(&processes),
        rotation,
        record: Arc::clone(&record),
        version,
        over: AtomicBool::new(false),
    });
    let mut calling = JoinSet::new();
    for number in 0..CALLERS * options.instances as u64 {
        calling.spawn(Arc::clone(&callers).call(number, options.seed));
    }
    let watching = tokio::spawn(watch(Arc::clone(&world)));
    let planned = faults(options, &world).await;
    callers.over.store(true, Ordering::Relaxed);
    let end = Instant::now();
    while calling.join_next().await.is_some() {}
    watching.abort();
    drop(asking);
    for process in processes.iter() {
        process.kill();
    }
    judge(options, &world, planned, end).await
}

async fn faults(options: &Options, world: &Arc<World>) -> Vec<Planned> {
    let start = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let planned = plan::plan(&mut rng, options.length, options.instances, 2 * TARGETS);
    let mut under_way = JoinSet::new();
    for &one in &planned {
        let world = Arc::clone(world);
        under_way.spawn(async move {
            sleep(one.at).await;
            world.inject(one).await;
        });
    }
    while under_way.join_next().await.is_some() {}
    // Planned stops may last longer than the plan.
    let settled = (start + options.length).max(Instant::now() + plan::SETTLE);
    sleep(settled - Instant::now()).await;
    planned
}

/// Starts processes again that ended by themselves, and records it.
async fn watch(world: Arc<World>) {
    loop {
        for (number, process) in world.processes.iter().enumerate() {
            if let Some(status) = process.ended_itself() {
                let disturbance = world.record.disturb(Scope::Instance(number));
                world.record.breach("runs on", format!("{} ended: {status}", process.name));
                process.start();
                world.record.calm(disturbance);
            }
        }
        sleep(WATCH_INTERVAL).await;
    }
}

async fn ready(processes: &[Process]) {
    let start = Instant::now();
    for process in processes {
        loop {
            let answer = reqwest::get(format!("http://{}/", process.readiness)).await;
            if answer.is_ok_and(|answer| answer.status() == 200) {
                break;
            }
            assert!(start.elapsed() < START_TIME, "{} is not ready", process.name);
            sleep(WATCH_INTERVAL).await;
        }
    }
}

async fn judge(options: &Options, world: &World, planned: Vec<Planned>, end: Instant) -> Report {
    let mut arrived = Vec::new();
    for target in world.targets.lock().await.iter() {
        let (name, plain) = (target.id(), target.id().starts_with("i-p"));
        let received = target.received().into_iter();
        arrived.extend(received.map(|received| Arrived {
            target: name.to_owned(),
            plain,
            received,
        }));
    }
    arrived.sort_by_key(|arrived| arrived.received.at);
    let events = world.record.events();
    let evidence = Evidence { events: &events, arrived: &arrived };
    let mut breaches = check::always(&evidence);
    if options.timed {
        breaches.extend(check::timed(&evidence, end));
    }
    let count = |wanted: fn(&Got) -> bool| events.sent.iter().filter(|s| wanted(&s.got)).count();
    Report {
        planned,
        requests: events.sent.len(),
        served: count(|got| *got == Got::Whole),
        refused: count(|got| matches!(got, Got::Status(429 | 503, _))),
        breaches,
    }
}
