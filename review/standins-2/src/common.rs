//! What the cases share: gateway processes, the configuration, and the record of a run.

use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::SERVICE;
use crate::http;
use crate::json::Json;
use crate::proxy::Proxy;

/// Bounds of `derwent-hands`.
pub const CONTACT: Duration = Duration::from_millis(3_000);
pub const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// Availability zones of the instances.
pub const ZONES: [&str; 3] = ["hobart-a", "launceston", "devonport"];

const FRONT_PORT: u16 = 8_221;
const READINESS_PORT: u16 = 8_224;
const INNER_PORT: u16 = 7_600;

/// Longest time of a run. A script may take 120 s.
const TIME_LIMIT: Duration = Duration::from_secs(100);

/// Ids of the processes that run.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Outcome of a run, as the exit code of the script.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Held = 0,
    Broken = 1,
    NotRun = 2,
}

/// What a run is given.
pub struct Run {
    root: PathBuf,
    folder: PathBuf,
    /// Whether the disruption happens.
    pub trouble: bool,
    start: Instant,
    record: Mutex<File>,
}

impl Run {
    pub fn new(root: PathBuf, case: &Path) -> std::io::Result<Self> {
        let name = format!("sesamewind-review-2-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let record = Mutex::new(File::create(case.join("record.txt"))?);
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        Ok(Self { root, folder, trouble, start: Instant::now(), record })
    }

    /// Writes a line with the time since the start to the record.
    pub fn note(&self, line: &str) {
        self.note_at(Instant::now(), line);
    }

    /// Writes a line about something that happened at `at`.
    pub fn note_at(&self, at: Instant, line: &str) {
        let seconds = at.saturating_duration_since(self.start).as_secs_f64();
        let mut record = self.record.lock().expect("no holder of the lock panics");
        writeln!(record, "{seconds:8.3} s  {line}").expect("the record can be written");
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Ends all processes and this one after the longest time of a run.
pub fn limit_time() {
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        let processes = PROCESSES.lock().expect("no holder of the lock panics");
        processes.iter().for_each(|&process| signal(process, SIGKILL));
        eprintln!("the case took too long");
        std::process::exit(Outcome::NotRun as i32);
    });
}

const SIGKILL: i32 = 9;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

/// Sends a signal to a process that this one has started and not waited for.
fn signal(process: u32, signal: i32) {
    unsafe extern "C" {
        fn kill(process: i32, signal: i32) -> i32;
    }
    let process = i32::try_from(process).expect("process ids are small");
    // SAFETY: `kill` takes plain numbers.
    unsafe { kill(process, signal) };
}

/// Waits until `end`.
pub fn wait_until(end: Instant) {
    thread::sleep(end.saturating_duration_since(Instant::now()));
}

/// Returns a loopback network that no other run uses; instances have addresses of their own in it.
fn unused_network() -> (u8, u8) {
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    let networks = (0..100_u8).map(|step| (100 + high.wrapping_add(step) % 100, low));
    let is_free =
        |&network: &(u8, u8)| TcpListener::bind((address(network, 1), READINESS_PORT)).is_ok();
    networks.into_iter().find(is_free).expect("loopback addresses are free")
}

fn address((high, low): (u8, u8), number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, high, low, number))
}

/// A gateway process, started with the command and the settings of the deploy file.
pub struct Gateway {
    pub name: String,
    /// Address for callers.
    pub front: SocketAddr,
    readiness: SocketAddr,
    /// Link from the instance to the store.
    pub store: Proxy,
    ip: IpAddr,
    zone: &'static str,
    child: Child,
}

/// Starts an instance in each zone and waits until all are ready; none if one isn't in time.
pub fn start_gateways(run: &Run, store: SocketAddr) -> Option<Vec<Gateway>> {
    let network = unused_network();
    let gateways: Vec<_> = (1..)
        .zip(ZONES)
        .map(|(number, zone)| Gateway::start(run, zone, address(network, number), store))
        .collect();
    gateways.iter().all(Gateway::is_ready_in_time).then_some(gateways)
}

impl Gateway {
    fn start(run: &Run, zone: &'static str, ip: IpAddr, store: SocketAddr) -> Self {
        let name = format!("front-{zone}-1");
        let at = |port| SocketAddr::new(ip, port);
        let store = Proxy::start(store);
        let child = spawn(run, (&name, zone, ip), store.address, true);
        run.note(&format!("{name} starts, callers at {}", at(FRONT_PORT)));
        let (front, readiness) = (at(FRONT_PORT), at(READINESS_PORT));
        Self { name, front, readiness, store, ip, zone, child }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let mut processes = PROCESSES.lock().expect("no holder of the lock panics");
        processes.retain(|process| *process != self.child.id());
        let _ = self.child.wait();
    }

    /// Starts the process again.
    pub fn restart(&mut self, run: &Run) {
        self.child = spawn(run, (&self.name, self.zone, self.ip), self.store.address, false);
    }

    fn is_ready_in_time(&self) -> bool {
        (0..200).any(|_| {
            let is_ready = http::get(self.readiness, "/sesamewind/readyz", &[]).status == Some(200);
            if !is_ready {
                thread::sleep(Duration::from_millis(50));
            }
            is_ready
        })
    }

    /// Stops the process from running, or lets it go on.
    pub fn freeze(&self, frozen: bool) {
        signal(self.child.id(), if frozen { SIGSTOP } else { SIGCONT });
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts the process of an instance; `bootstrap` tells whether the whole system starts for the first
/// time.
fn spawn(
    run: &Run,
    (name, zone, ip): (&str, &str, IpAddr),
    store: SocketAddr,
    bootstrap: bool,
) -> Child {
    let read = |path: &str| {
        std::fs::read_to_string(run.root.join(path)).expect("the deploy folder can be read")
    };
    let (deploy, template) = (read("deploy/system.toml"), read("deploy/settings.toml"));
    let path = run.folder.join(format!("{name}.toml"));
    let text = fill(&template, (name, zone, ip), store, bootstrap);
    std::fs::write(&path, text).expect("settings can be written");
    let logs = std::env::var("LOGS").ok();
    let open = |logs: String| {
        let path = Path::new(&logs).join(format!("{name}.log"));
        File::options().create(true).append(true).open(path).ok()
    };
    let child = Command::new(run.root.join(quoted(&deploy, "run = \"")))
        .current_dir(&run.root)
        .env_clear()
        .env("PATH", std::env::var("PATH").unwrap_or_default())
        .env("SESAMEWIND_CONFIG", &path)
        .env("SESAMEWIND_PEER_TOKEN", quoted(&deploy, "SESAMEWIND_PEER_TOKEN = \""))
        .stdin(Stdio::null())
        .stdout(logs.and_then(open).map_or(Stdio::null(), Stdio::from))
        .stderr(Stdio::inherit())
        .spawn()
        .expect("the command of the deploy file can be run");
    PROCESSES.lock().expect("no holder of the lock panics").push(child.id());
    child
}

/// Returns the quoted text after `start`.
fn quoted(text: &str, start: &str) -> String {
    let rest = text.split_once(start).map_or("", |(_, rest)| rest);
    rest.split('"').next().unwrap_or_default().to_owned()
}

/// Fills in the template of the settings as the platform does, with the bounds of `derwent-hands`.
fn fill(
    template: &str,
    (name, zone, ip): (&str, &str, IpAddr),
    store: SocketAddr,
    bootstrap: bool,
) -> String {
    let mut text = template.to_owned();
    let mut replace_section = |section: &str, by: &str| {
        let (open, close) = (format!("{{{{#{section}}}}}"), format!("{{{{/{section}}}}}"));
        if let (Some(from), Some(to)) = (text.find(&open), text.find(&close)) {
            text.replace_range(from..to + close.len(), by);
        }
    };
    replace_section("bounds.coldOverage", "");
    replace_section("bounds.coldSlack", "");
    let zones = ["hobart-a", "hobart-b", "launceston", "devonport"];
    let regions: String = zones.iter().map(|zone| format!("\"{zone}\" = \"tas\"\n")).collect();
    replace_section("zones", &regions);
    let values = [
        ("nodeName", name.to_owned()),
        ("zone", zone.to_owned()),
        ("bootstrap", bootstrap.to_string()),
        ("listen.front", format!("{ip}:{FRONT_PORT}")),
        ("listen.readiness", format!("{ip}:{READINESS_PORT}")),
        ("ip", ip.to_string()),
        ("internalPortRange.0", INNER_PORT.to_string()),
        ("platform.address", store.to_string()),
        ("bounds.retryBudgetRatio", "0.2".to_owned()),
        ("bounds.retryBudgetExtra", "52".to_owned()),
        ("bounds.budgetWindowS", "10".to_owned()),
        ("bounds.quotaWindowS", "8".to_owned()),
        ("bounds.quotaOverage", "0.1".to_owned()),
        ("bounds.quotaSlack", "140000".to_owned()),
        ("bounds.drainMs", "2000".to_owned()),
        ("bounds.graceS", "8".to_owned()),
        ("bounds.contactMs", "3000".to_owned()),
    ];
    for (key, value) in values {
        text = text.replace(&format!("{{{{{key}}}}}"), &value);
    }
    assert!(!text.contains("{{"), "unknown placeholder in {text}");
    text
}

/// Returns a route of idempotent requests, with its name as the prefix.
pub fn route(name: &str) -> Json {
    Json::object([
        ("name", name.into()),
        ("host", "h.example".into()),
        ("prefix", format!("/{name}/").as_str().into()),
        ("kind", "idempotent".into()),
        ("timeoutMs", 2_000.0.into()),
        ("targetLatencyMs", 300.0.into()),
        ("priority", 2.0.into()),
        ("service", SERVICE.into()),
        ("maxAttempts", 2.0.into()),
        ("public", false.into()),
    ])
}

/// Returns a client account with one key and a limit in tokens; zero for none.
pub fn account(name: &str, key: &str, rate: f64, burst: f64) -> Json {
    Json::object([
        ("name", name.into()),
        ("apiKeys", vec![key.into()].into()),
        ("priority", 1.0.into()),
        ("unit", "token_stream".into()),
        ("uncachedTokens", 200.0.into()),
        ("ratePerS", rate.into()),
        ("burst", burst.into()),
    ])
}

/// Returns a configuration of the operator.
pub fn configuration(version: u64, routes: Vec<Json>, accounts: Vec<Json>) -> Json {
    let service = Json::object([
        ("name", SERVICE.into()),
        ("healthPath", "/healthz".into()),
        ("maxConnections", 96.0.into()),
    ]);
    let limits = Json::object([
        ("maxHeaderBytes", 16_384.0.into()),
        ("maxBodyBytes", 65_536.0.into()),
        ("headerTimeoutMs", 3_000.0.into()),
        ("idleTimeoutMs", 15_000.0.into()),
    ]);
    Json::object([
        ("version", version.into()),
        ("routes", routes.into()),
        ("services", vec![service].into()),
        ("limits", limits),
        ("tenants", accounts.into()),
    ])
}
