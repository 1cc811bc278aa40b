//! One gateway process with fault proxies on its links.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError, TryLockError};
use std::time::{Duration, Instant};

use sesamewind_standins::proxy::FaultProxy;
use sesamewind_standins::relay::settings::{GRACE, GatewaySettings};
use tokio::task::block_in_place;
use tokio::time::sleep;

/// Text of the log line that a process writes once it handles signals.
const STARTED_LINE: &str = "\"event\":\"started\"";

/// Ports that each instance listens on, on its own loopback address.
const CALLERS_PORT: u16 = 7_101;
const READINESS_PORT: u16 = 7_102;
const INNER_PORT: u16 = 7_103;

/// Interval between checks whether a stopping process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Distance between the numbers of the networks of processes with consecutive ids.
const RANGE: u16 = 257;

/// The loopback addresses of one run, given by their second and third bytes.
#[derive(Debug, Clone, Copy)]
pub struct Network(u8, u8);

impl Network {
    /// Returns addresses that no other run uses. Only the first instance's address is tested, since
    /// every run has a first instance.
    ///
    /// # Panics
    ///
    /// Panics if no addresses are free.
    pub fn unused() -> Self {
        // Runs in one process never share a number; runs of other processes are detected by their
        // listeners.
        static NEXT: AtomicU16 = AtomicU16::new(0);
        // Runs that start together have consecutive ids. An instance that is down at the moment hides
        // its network, so their ranges must not overlap.
        let first = (std::process::id() as u16).wrapping_mul(RANGE);
        let mut networks = (0..u16::MAX).map(|_| {
            let number = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
            let [high, low] = number.to_be_bytes();
            Self(100 + high % 100, low)
        });
        let is_free =
            |network: &Self| TcpListener::bind((network.address(1), READINESS_PORT)).is_ok();
        networks.find(is_free).expect("loopback addresses are free")
    }

    fn address(self, low: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, low))
    }
}

/// A gateway instance whose process may be running or not.
#[derive(Debug)]
pub struct Process {
    /// Name of the instance.
    pub name: String,
    /// Address for readiness checks.
    pub readiness: SocketAddr,
    /// Link from this instance to the store.
    pub store: FaultProxy,
    /// Link from the other instances to this one.
    pub peers: FaultProxy,
    /// Link from callers to this instance.
    pub callers: FaultProxy,
    program: PathBuf,
    settings: PathBuf,
    /// Number of the current incarnation. Callers read it often, and must not wait for `state`,
    /// which is locked while a process is started or killed.
    incarnation: AtomicU32,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    child: Option<Child>,
    /// Whether the process was told to stop.
    stopping: bool,
    reloads: u32,
}

impl Process {
    /// Prepares the instance `number` in `network`; its settings and logs go to `folder`.
    ///
    /// # Panics
    ///
    /// Panics if there are more than 254 instances.
    pub async fn new(
        number: usize,
        network: Network,
        program: &Path,
        folder: &Path,
        store: SocketAddr,
    ) -> Self {
        let low = u8::try_from(number + 1).expect("there are few instances");
        let address = network.address(low);
        let at = |port| SocketAddr::new(address, port);
        Self {
            name: format!("g{number}"),
            readiness: at(READINESS_PORT),
            store: FaultProxy::start(store).await,
            peers: FaultProxy::start(at(INNER_PORT)).await,
            callers: FaultProxy::start(at(CALLERS_PORT)).await,
            program: program.to_owned(),
            settings: folder.join(format!("g{number}.toml")),
            incarnation: AtomicU32::new(0),
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of the current incarnation.
    pub fn incarnation(&self) -> u32 {
        self.incarnation.load(Ordering::Relaxed)
    }

    /// Returns whether the process may not handle signals yet.
    pub fn is_starting(&self) -> bool {
        let log = self.log_path(self.incarnation());
        !std::fs::read_to_string(log).is_ok_and(|text| text.contains(STARTED_LINE))
    }

    fn log_path(&self, incarnation: u32) -> PathBuf {
        self.settings.with_extension(format!("{incarnation}.log"))
    }

    /// Starts the process unless it is running.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be started.
    pub fn start(&self) {
        block_in_place(|| self.spawn());
    }

    fn spawn(&self) {
        let mut state = self.state();
        if state.child.is_some() {
            return;
        }
        let incarnation = self.incarnation.fetch_add(1, Ordering::Relaxed) + 1;
        state.stopping = false;
        self.write_settings(incarnation == 1, state.reloads);
        let log = self.log_path(incarnation);
        let child = Command::new(&self.program)
            .arg(&self.settings)
            .env("SESAMEWIND_PEER_TOKEN", "token-between-instances")
            .stdout(File::create(&log).expect("log file can be made"))
            .stderr(Stdio::inherit())
            .spawn()
            .expect("gateway can be started");
        state.child = Some(child);
    }

    fn write_settings(&self, first: bool, reloads: u32) {
        let at = |port| SocketAddr::new(self.readiness.ip(), port);
        let settings = GatewaySettings {
            name: &self.name,
            first_start: first,
            callers: at(CALLERS_PORT),
            readiness: self.readiness,
            inner: at(INNER_PORT),
            advertise: self.peers.addr(),
            store: self.store.addr(),
            // A reload changes this bound too little to affect behaviour.
            retry_ratio: 0.2 + f64::from(reloads) * 1e-9,
        };
        let text = settings.text();
        // A process that is starting must not read half a file.
        let new = self.settings.with_extension("new");
        std::fs::write(&new, text).expect("settings can be written");
        std::fs::rename(new, &self.settings).expect("settings can be replaced");
    }

    /// Changes the settings and signals the process to reload them.
    pub fn reload(&self) {
        let mut state = self.state();
        state.reloads += 1;
        block_in_place(|| self.write_settings(self.incarnation() == 1, state.reloads));
        drop(state);
        self.signal(libc::SIGHUP);
    }

    /// Sends a signal to the process if it is running.
    #[allow(unsafe_code, reason = "signals have no safe interface in the standard library")]
    pub fn signal(&self, signal: libc::c_int) {
        let state = self.state();
        let Some(child) = &state.child else { return };
        let Ok(id) = libc::pid_t::try_from(child.id()) else { return };
        // SAFETY: `kill` takes plain numbers. The id is valid, since the child was not waited for.
        unsafe { libc::kill(id, signal) };
    }

    /// Sends a signal to the process if it was told to stop and has not exited.
    pub fn signal_if_stopping(&self, signal: libc::c_int) {
        if self.state().stopping {
            self.signal(signal);
        }
    }

    /// Kills the process; returns false if it is not running or is stopping.
    pub fn kill(&self) -> bool {
        let mut state = self.state();
        if state.stopping {
            return false;
        }
        let Some(mut child) = state.child.take() else { return false };
        block_in_place(|| {
            // Errors are ignored, since the process may have just exited on its own.
            let _ = child.kill();
            let _ = child.wait();
        });
        true
    }

    /// Sends the stop signal and waits for the process to exit, as the platform does, and kills it
    /// after the grace time.
    ///
    /// Returns the exit status, or none if the process was killed, and the time that the stop took.
    /// Returns none at all if the process is not running or is already stopping.
    pub async fn stop(&self) -> Option<(Option<ExitStatus>, Duration)> {
        {
            let mut state = self.state();
            if state.child.is_none() || state.stopping {
                return None;
            }
            state.stopping = true;
        }
        let start = Instant::now();
        self.signal(libc::SIGTERM);
        let mut status = None;
        while status.is_none() && start.elapsed() < GRACE {
            sleep(POLL_INTERVAL).await;
            status = self.state().child.as_mut().and_then(|child| child.try_wait().ok().flatten());
        }
        if let Some(mut child) = self.state().child.take()
            && status.is_none()
        {
            let _ = child.kill();
            let _ = child.wait();
        }
        Some((status, start.elapsed()))
    }

    /// Returns the status of a process that has exited on its own; none also while it is being
    /// started or killed.
    pub fn unexpected_exit(&self) -> Option<ExitStatus> {
        let mut state = match self.state.try_lock() {
            Ok(state) => state,
            Err(TryLockError::Poisoned(err)) => err.into_inner(),
            Err(TryLockError::WouldBlock) => return None,
        };
        if state.stopping {
            return None;
        }
        let status = state.child.as_mut()?.try_wait().ok()??;
        state.child = None;
        Some(status)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.state().child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
