//! Starts and controls one daemon process.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

/// Port of the callers' listener.
const CALLERS_PORT: u16 = 7_001;
/// Port of the inner listener.
const INNER_PORT: u16 = 7_002;

/// Token of operators in tests.
pub const OPERATOR_TOKEN: &str = "operator-token";
/// Token of peers in tests.
pub const PEER_TOKEN: &str = "peer-token";

/// Time limit for a daemon to exit.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns a new loopback address. Each daemon has a distinct one, so that the fault proxy can
/// identify who connects.
pub fn next_address() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(10);
    let process = std::process::id();
    let high = (process >> 8) as u8 % 200 + 20;
    let low = process as u8;
    IpAddr::V4(Ipv4Addr::new(127, high, low, NEXT.fetch_add(1, Ordering::Relaxed)))
}

/// Options to start a daemon with.
#[derive(Debug, Clone)]
pub struct DaemonOptions {
    /// Name of the instance.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Address of its listeners.
    pub address: IpAddr,
    /// Address by which peers reach it.
    pub advertise: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Additional lines of the settings.
    pub extra: String,
}

/// A running daemon process.
#[derive(Debug)]
pub struct Daemon {
    /// Name of the instance.
    pub name: String,
    /// Callers' listener.
    pub callers: SocketAddr,
    /// Inner listener.
    pub inner: SocketAddr,
    child: Child,
}

impl DaemonOptions {
    /// Returns the address of the callers' listener.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.address, CALLERS_PORT)
    }

    /// Returns the address of the inner listener.
    pub fn inner(&self) -> SocketAddr {
        SocketAddr::new(self.address, INNER_PORT)
    }

    /// Returns the settings as TOML.
    pub fn settings(&self) -> String {
        let Self { name, zone, advertise, platform, extra, .. } = self;
        let (callers, inner) = (self.callers(), self.inner());
        format!(
            "deployment = \"test\"\n\
             {extra}\n\
             [instance]\nname = \"{name}\"\nzone = \"{zone}\"\nregion = \"r\"\n\
             [listen]\ncallers = \"{callers}\"\ninner = \"{inner}\"\nadvertise = \"{advertise}\"\n\
             [platform]\nurl = \"http://{platform}\"\n\
             [tokens]\noperator_env = \"TEST_OPERATOR\"\npeer_env = \"TEST_PEER\"\n"
        )
    }

    /// Starts the process and waits until it listens.
    pub fn start(&self) -> Daemon {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("{}-{}.toml", self.address, self.name));
        std::fs::write(&path, self.settings()).expect("settings are written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_sesamewindd"))
            .arg(&path)
            .env("TEST_OPERATOR", OPERATOR_TOKEN)
            .env("TEST_PEER", PEER_TOKEN)
            .stdout(Stdio::piped())
            .stderr(File::create(path.with_extension("log")).expect("log file is made"))
            .spawn()
            .expect("daemon starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).expect("daemon prints its addresses");
        assert!(line.starts_with("callers "), "daemon {} did not start: {line:?}", self.name);
        Daemon { name: self.name.clone(), callers: self.callers(), inner: self.inner(), child }
    }
}

impl Daemon {
    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process; its connections stay open.
    pub fn freeze(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Resumes a suspended process.
    pub fn thaw(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Sends the process a stop signal.
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Waits until the process exits.
    pub async fn wait_exit(&mut self) -> ExitStatus {
        let start = std::time::Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("process can be waited for") {
                return status;
            }
            assert!(start.elapsed() < PROCESS_TIMEOUT, "daemon {} does not exit", self.name);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    #[allow(unsafe_code, reason = "signals have no safe interface in the standard library")]
    fn signal(&self, signal: libc::c_int) {
        let id = libc::pid_t::try_from(self.child.id()).expect("process ids fit");
        // SAFETY: `kill` takes integers only; the child has not been reaped, so its id is valid.
        let result = unsafe { libc::kill(id, signal) };
        assert_eq!(result, 0, "daemon {} could not be signalled", self.name);
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
