//! The project's own processes, started with the command of the deploy file.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::Wire;

/// Addresses and name of an instance.
#[derive(Debug, Clone)]
pub struct Settings {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub inner: SocketAddr,
    /// Address at which peers reach the inner listener.
    pub advertise: SocketAddr,
    pub store: SocketAddr,
    /// Whether the whole deployment starts for the first time.
    pub first_start: bool,
}

/// A running instance, which is killed when this value is dropped.
#[derive(Debug)]
pub struct Instance {
    pub settings: Settings,
    log: PathBuf,
    child: Child,
}

/// Returns the root of the repository.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Ids of the processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the script and its processes if it takes longer than `limit`.
pub fn set_limit(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        eprintln!("the case takes too long");
        for id in STARTED.lock().map(|ids| ids.clone()).unwrap_or_default() {
            let _ = Command::new("sh").args(["-c", &format!("kill -KILL {id}")]).status();
        }
        std::process::exit(2);
    });
}

/// First port and number of the ports that instances listen on. They lie below those that the operating
/// system gives to outgoing connections.
const PORTS: (u32, u32) = (20_000, 12_000);

/// Returns a loopback address with a free port, another one at each call.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(97);
    for _ in 0..PORTS.1 {
        let nth = start.wrapping_add(NEXT.fetch_add(1, Ordering::SeqCst));
        let port = (PORTS.0 + nth % PORTS.1) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no loopback port is free")
}

impl Settings {
    /// Returns settings with free ports.
    pub fn new(name: &str, zone: &str, store: SocketAddr) -> Self {
        let inner = free_address();
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            callers: free_address(),
            readiness: free_address(),
            inner,
            advertise: inner,
            store,
            first_start: true,
        }
    }

    /// Returns the settings file, as the template of the deploy file lays it out, with the bounds of the
    /// small deployments.
    fn text(&self) -> String {
        let Self { name, zone, callers, readiness, inner, advertise, store, first_start } = self;
        format!(
            "[instance]\nname = \"{name}\"\nzone = \"{zone}\"\nfirst_start = \"{first_start}\"\n\n\
             [listen]\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\ninner = \"{inner}\"\n\
             advertise = \"{advertise}\"\n\n\
             [store]\naddress = \"{store}\"\n\n\
             [bounds]\nretry_ratio = \"0.2\"\nretry_extra = \"56\"\nretry_window = \"10s\"\n\
             quota_window = \"8s\"\nquota_overage = \"0.1\"\nquota_slack = \"140000\"\n\
             drain = \"2000ms\"\ngrace = \"8s\"\ncontact = \"3000ms\"\n\n\
             [regions]\n\"z-a\" = \"r\"\n\"z-b\" = \"r\"\n\"z-c\" = \"r\"\n"
        )
    }
}

impl Instance {
    /// Starts an instance whose settings and log lie in `folder`.
    pub fn start(settings: Settings, folder: &Path) -> std::io::Result<Self> {
        let path = folder.join(format!("{}.toml", settings.name));
        fs::write(&path, settings.text())?;
        let log_path = folder.join(format!("{}.log", settings.name));
        let log = File::create(&log_path)?;
        let root = root();
        let child = Command::new(root.join("target/release/sesamewind-gateway"))
            .current_dir(&root)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("SESAMEWIND_CONFIG", &path)
            .env("SESAMEWIND_PEER_TOKEN", "between-instances-of-one-deployment")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        if let Ok(mut ids) = STARTED.lock() {
            ids.push(child.id());
        }
        Ok(Self { settings, log: log_path, child })
    }

    /// Waits until the instance reports that it is ready. Prints the end of its log if it does not.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let last = log.lines().rev().take(5).collect::<Vec<_>>().join("\n");
        eprintln!("{} is not ready; the last lines of its log: {last}", self.settings.name);
        false
    }

    fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.settings.readiness) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut wire = Wire::new(stream);
        use std::io::Write;
        let call = "GET /sesamewind/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        if wire.stream.write_all(call.as_bytes()).is_err() {
            return false;
        }
        wire.read().is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let id = self.child.id();
        let _ = Command::new("sh").args(["-c", &format!("kill -{name} {id}")]).status();
    }

    /// Returns the memory that the process occupies, in kilobytes; zero if it has ended.
    pub fn resident_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse().ok()).unwrap_or(0)
    }

    /// Returns whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Ok(mut ids) = STARTED.lock() {
            ids.retain(|id| *id != self.child.id());
        }
    }
}

/// A temporary folder, which is removed when this value is dropped, unless the variable `KEEP` is set.
#[derive(Debug)]
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_some() {
            return;
        }
        let _ = fs::remove_dir_all(&self.0);
    }
}
