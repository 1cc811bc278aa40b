//! One gateway process with proxies on its links.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use sesamewind_standins::proxy::FaultProxy;
use sesamewind_standins::relay::settings::{GRACE, GatewaySettings};
use tokio::time::sleep;

/// Time after which a process handles signals.
const START_TIME: Duration = Duration::from_millis(500);

/// Ports of each instance.
const CALLERS_PORT: u16 = 7_101;
const READINESS_PORT: u16 = 7_102;
const INNER_PORT: u16 = 7_103;

/// Interval at which an ending process is looked at.
const POLL: Duration = Duration::from_millis(20);

/// Loopback addresses of one run.
#[derive(Debug, Clone, Copy)]
pub struct Network(u8, u8);

impl Network {
    /// Addresses that no other run uses, on the assumption that each has a first instance.
    ///
    /// # Panics
    ///
    /// Panics if there are none.
    pub fn free() -> Self {
        // Runs of one process never share a number, and those of others are seen by their listeners.
        static NEXT: AtomicU16 = AtomicU16::new(0);
        let first = std::process::id() as u16;
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

/// A gateway process, or the place of one that has ended.
#[derive(Debug)]
pub struct Process {
    /// Name of the instance.
    pub name: String,
    /// Address of the question whether it is ready.
    pub readiness: SocketAddr,
    /// Link to the store.
    pub store: FaultProxy,
    /// Link of the other instances to this one.
    pub peers: FaultProxy,
    /// Link of callers to this one.
    pub callers: FaultProxy,
    program: PathBuf,
    settings: PathBuf,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    child: Option<Child>,
    life: u32,
    started: Option<Instant>,
    /// Whether the end of the process is expected.
    ending: bool,
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
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of the present life.
    pub fn life(&self) -> u32 {
        self.state().life
    }

    /// Whether the present life is so young that it may not handle signals yet.
    pub fn is_starting(&self) -> bool {
        self.state().started.is_none_or(|started| started.elapsed() < START_TIME)
    }

    /// Starts the process if it doesn't run.
    ///
    /// # Panics
    ///
    /// Panics if it can't be started.
    pub fn start(&self) {
        let mut state = self.state();
        if state.child.is_some() {
            return;
        }
        state.life += 1;
        state.ending = false;
        state.started = Some(Instant::now());
        self.write_settings(state.life == 1, state.reloads);
        let log = self.settings.with_extension(format!("{}.log", state.life));
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
            // A reload changes a bound by next to nothing.
            retry_ratio: 0.2 + f64::from(reloads) * 1e-9,
        };
        let text = settings.text();
        std::fs::write(&self.settings, text).expect("settings can be written");
    }

    /// Changes the settings and tells the process.
    pub fn reload(&self) {
        let mut state = self.state();
        state.reloads += 1;
        self.write_settings(state.life == 1, state.reloads);
        drop(state);
        self.signal(libc::SIGHUP);
    }

    /// Sends a signal if the process runs.
    #[allow(unsafe_code, reason = "signals have no safe interface in the standard library")]
    pub fn signal(&self, signal: libc::c_int) {
        let state = self.state();
        let Some(child) = &state.child else { return };
        let Ok(id) = libc::pid_t::try_from(child.id()) else { return };
        // SAFETY: `kill` takes plain numbers; the process is a child that was not waited for.
        unsafe { libc::kill(id, signal) };
    }

    /// Kills the process; false if it doesn't run or is ending.
    pub fn kill(&self) -> bool {
        let mut state = self.state();
        if state.ending {
            return false;
        }
        let Some(mut child) = state.child.take() else { return false };
        // The process may have ended by itself a moment ago, which is seen by its status.
        let _ = child.kill();
        let _ = child.wait();
        true
    }

    /// Asks the process to stop and waits for its end, as the platform does. Returns its status, and
    /// none if it had to be killed, with the time that it took; none at all if it doesn't run.
    pub async fn stop(&self) -> Option<(Option<ExitStatus>, Duration)> {
        {
            let mut state = self.state();
            if state.child.is_none() || state.ending {
                return None;
            }
            state.ending = true;
        }
        let start = Instant::now();
        self.signal(libc::SIGTERM);
        let mut status = None;
        while status.is_none() && start.elapsed() < GRACE {
            sleep(POLL).await;
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

    /// The status of a process that has ended by itself.
    pub fn ended_itself(&self) -> Option<ExitStatus> {
        let mut state = self.state();
        if state.ending {
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
