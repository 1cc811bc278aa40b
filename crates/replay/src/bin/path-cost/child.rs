//! Child processes that run the stand-ins and the daemon.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::Duration;

use sesamewind_replay::daemons;
use sesamewind_replay::replay::http_client;
use sesamewind_replay::scenario::Scenario;
use sesamewind_replay::testbed::{self, Testbed};
use sesamewind_settings::{Records, Settings, Stop, Traffic};
use sesamewind_standins::wall_now;
use tokio::runtime::Runtime;
use tokio::time::{Instant, sleep};

/// The daemon's retention of records, short enough that many records expire during a run.
pub(crate) const RECORD_RETENTION: Duration = Duration::from_secs(2);

const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
const WARM_UP_TIME: Duration = Duration::from_secs(2);
/// Scenario with engines that are limited only by their sockets.
const SCENARIO: &str = include_str!("scenario.toml");

/// A child process, which is killed when dropped.
#[derive(Debug)]
struct Process {
    child: Child,
    /// Words of the first line that the child printed.
    words: Vec<String>,
}

impl Process {
    /// Starts this program with `arguments` as a child and reads the first line of its output.
    fn start(arguments: &[String]) -> Result<Self, String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let mut command = Command::new(program);
        command.args(arguments).stdout(Stdio::piped());
        let mut child = command.spawn().map_err(|error| error.to_string())?;
        let output = child.stdout.take().ok_or("the child has no output")?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line).map_err(|error| error.to_string())?;
        Ok(Self { child, words: line.split_whitespace().map(str::to_owned).collect() })
    }

    fn addr(&self, index: usize) -> Result<SocketAddr, String> {
        let word = self.words.get(index).and_then(|word| word.parse().ok());
        word.ok_or_else(|| "the child printed no address".to_owned())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Child process with the stand-ins.
#[derive(Debug)]
pub(crate) struct Standins {
    _process: Process,
    /// Address of an engine.
    pub(crate) engine: SocketAddr,
    platform: SocketAddr,
}

impl Standins {
    /// Starts the process and waits until the stand-ins listen.
    pub(crate) fn start() -> Result<Self, String> {
        let process = Process::start(&["standins".to_owned()])?;
        let (engine, platform) = (process.addr(0)?, process.addr(1)?);
        Ok(Self { _process: process, engine, platform })
    }
}

/// Child process with a daemon.
#[derive(Debug)]
pub(crate) struct Daemon {
    process: Process,
    /// Address of the callers' listener.
    pub(crate) callers: SocketAddr,
}

impl Daemon {
    /// Starts a daemon with `threads` traffic threads and waits until it is ready.
    pub(crate) async fn start(threads: usize, standins: &Standins) -> Result<Self, String> {
        let arguments = ["daemon".to_owned(), threads.to_string(), standins.platform.to_string()];
        let process = Process::start(&arguments)?;
        let (callers, inner) = (process.addr(0)?, process.addr(1)?);
        wait_until_ready(inner).await?;
        Ok(Self { process, callers })
    }

    /// Returns the process identifier.
    pub(crate) fn pid(&self) -> u32 {
        self.process.child.id()
    }
}

async fn wait_until_ready(inner: SocketAddr) -> Result<(), String> {
    let http = http_client();
    let deadline = Instant::now() + READY_TIMEOUT;
    let url = format!("http://{inner}/readyz");
    while !http.get(&url).send().await.is_ok_and(|answer| answer.status().is_success()) {
        if Instant::now() > deadline {
            return Err("the daemon did not become ready in time".to_owned());
        }
        sleep(READY_POLL_INTERVAL).await;
    }
    sleep(WARM_UP_TIME).await;
    Ok(())
}

/// Runs the stand-ins until the process is killed.
pub(crate) fn serve_standins() -> ExitCode {
    let runtime = Runtime::new().expect("the runtime can be started");
    runtime.block_on(async {
        let scenario = Scenario::parse(SCENARIO).expect("the scenario is valid");
        let testbed = Testbed::start(&scenario, 1).await;
        testbed.publish_sheet(&testbed::sheet(&scenario, &testbed, wall_now()));
        let engine = testbed.engines.values().next().expect("the scenario has an engine");
        println!("{} {}", engine.addr(), testbed.platform.addr());
        std::future::pending::<()>().await;
    });
    ExitCode::SUCCESS
}

/// Runs a daemon until the process is killed.
pub(crate) fn serve_daemon(threads: usize, platform: SocketAddr) -> ExitCode {
    let scenario = Scenario::parse(SCENARIO).expect("the scenario is valid");
    let plan = &scenario.instances[0];
    let base = daemons::settings(&scenario, plan, platform, None);
    let settings = Settings {
        traffic: Traffic { threads, ..Traffic::default() },
        records: Records { keep: RECORD_RETENTION, ..Records::default() },
        stop: Stop::default(),
        ..base
    };
    let instance = match sesamewind_daemon::Instance::start(settings) {
        Ok(instance) => instance,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::FAILURE;
        }
    };
    println!("{} {}", instance.callers(), instance.inner());
    instance.block_on(std::future::pending::<()>());
    ExitCode::SUCCESS
}
