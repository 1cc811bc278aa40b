//! Stand-in for a plain service: answers any path and logs every run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::StatusCode;
use serde::{Deserialize, Serialize};
use sesamewind_protocol::target::LoadReport;
use sesamewind_protocol::{Incarnation, TargetId, VersionId, WallTime};
use tokio::time::{Instant, sleep};
use warp::reply::Response;

use crate::answer;
use crate::clock::wall_now;
use crate::proxy::{FaultProxy, Flow, Side};
use crate::server::{self, Call, Handler, Server};
use crate::version_fault::VersionFault;

/// What a plain service is like.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// The target's name.
    pub name: String,
    /// Versions that it serves; the first serves requests that name none.
    pub versions: Vec<String>,
    /// Time that each run takes.
    pub delay: Duration,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        let versions = vec!["v1".to_owned()];
        Self { name: "service".to_owned(), versions, delay: Duration::ZERO }
    }
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEnd {
    /// It has not ended, or its caller went away.
    Running,
    /// It was answered.
    Answered,
    /// It ran, and the connection was closed in place of an answer.
    AnswerLost,
    /// It failed.
    Failed,
}

/// A request that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The request's id, from `x-request-id`.
    pub request: String,
    /// The version that served it.
    pub version: String,
    /// Method and path.
    pub route: String,
    /// Bytes of the body.
    pub bytes: usize,
    /// When it began.
    pub at: WallTime,
    /// How it ended.
    pub end: RunEnd,
    /// Whether the service had asked for no new work.
    pub leaving: bool,
}

/// Everything that reached a plain service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLog {
    /// Requests that ran, in order.
    pub runs: Vec<Run>,
    /// Requests refused before running.
    pub refused: u64,
}

impl ServiceLog {
    /// Times that `request` ran.
    pub fn run_count(&self, request: &str) -> usize {
        self.runs.iter().filter(|run| run.request == request).count()
    }
}

#[derive(Debug)]
struct State {
    log: ServiceLog,
    delay: Duration,
    refuse: bool,
    fail: bool,
    leaving: bool,
    /// Runs whose answer is to be lost yet.
    lose: u32,
    bad: BTreeMap<String, VersionFault>,
    incarnation: Incarnation,
}

#[derive(Debug)]
struct Core {
    options: ServiceOptions,
    started: Instant,
    state: Mutex<State>,
    closing: tokio::sync::mpsc::UnboundedSender<SocketAddr>,
}

impl Core {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn report(&self) -> LoadReport {
        let state = self.state();
        let runs = state.log.runs.iter().filter(|run| run.end == RunEnd::Running).count();
        LoadReport {
            target: TargetId::new(&self.options.name),
            incarnation: state.incarnation,
            measured: wall_now(),
            waiting: 0,
            running: u32::try_from(runs).unwrap_or(u32::MAX),
            prefill_tokens: 0,
            versions: self.options.versions.iter().map(VersionId::new).collect(),
            leaving: state.leaving,
        }
    }
}

/// How a run is to go on.
struct Begun {
    entry: usize,
    delay: Duration,
    fails: bool,
}

impl Handler for Core {
    async fn handle(self: Arc<Self>, call: Call) -> Response {
        match call.path.as_str() {
            "/load" => return server::json(StatusCode::OK, &self.report()),
            "/log" => return server::json(StatusCode::OK, &self.state().log),
            _ => {}
        }
        let Some(begun) = begin(&self, &call) else { return server::not_run("refused") };
        sleep_unless_zero(begun.delay).await;
        end(&self, &call, &begun).await
    }
}

async fn sleep_unless_zero(delay: Duration) {
    if !delay.is_zero() {
        sleep(delay).await;
    }
}

fn begin(core: &Core, call: &Call) -> Option<Begun> {
    let mut state = core.state();
    let first_version = core.options.versions.first().cloned().unwrap_or_default();
    let version = call.header("x-version").map_or(first_version, str::to_owned);
    if state.refuse || !core.options.versions.contains(&version) {
        state.log.refused += 1;
        return None;
    }
    let request = call.header("x-request-id").unwrap_or_default().to_owned();
    let route = format!("{} {}", call.method, call.path);
    let bad = state.bad.get(&version);
    let bad = bad.filter(|bad| bad.shows(core.started.elapsed(), 1.0, &route));
    let fails = state.fail || bad.is_some_and(|bad| bad.fails(&request));
    let delay = state.delay.mul_f64(bad.map_or(1.0, |bad| bad.slow_factor));
    let entry = state.log.runs.len();
    let leaving = state.leaving;
    state.log.runs.push(Run {
        request,
        version,
        route,
        bytes: call.body.len(),
        at: wall_now(),
        end: RunEnd::Running,
        leaving,
    });
    Some(Begun { entry, delay, fails })
}

async fn end(core: &Core, call: &Call, begun: &Begun) -> Response {
    let (end, request) = {
        let mut state = core.state();
        let end = if state.lose > 0 {
            state.lose -= 1;
            RunEnd::AnswerLost
        } else if begun.fails {
            RunEnd::Failed
        } else {
            RunEnd::Answered
        };
        let run = &mut state.log.runs[begun.entry];
        run.end = end;
        (end, run.request.clone())
    };
    match end {
        RunEnd::AnswerLost => {
            if let Some(peer) = call.peer {
                let _ = core.closing.send(peer);
            }
            std::future::pending().await
        }
        RunEnd::Failed => server::text(StatusCode::INTERNAL_SERVER_ERROR, "the service failed"),
        RunEnd::Running | RunEnd::Answered => {
            let body = answer::service_body(&request, call.method.as_str(), &call.path);
            server::text(StatusCode::OK, body)
        }
    }
}

/// A running stand-in for a plain service; it ends when dropped.
#[derive(Debug)]
pub struct Service {
    core: Arc<Core>,
    server: Arc<Server>,
}

impl Service {
    /// Starts a service on a free loopback port.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub async fn start(options: ServiceOptions) -> Self {
        Self::bind(SocketAddr::from(([127, 0, 0, 1], 0)), options).await
    }

    /// Starts a service that listens on `listen`.
    ///
    /// # Panics
    ///
    /// Panics if `listen` can't be bound.
    pub async fn bind(listen: SocketAddr, options: ServiceOptions) -> Self {
        let (closing, mut to_close) = tokio::sync::mpsc::unbounded_channel();
        let state = State {
            log: ServiceLog::default(),
            delay: options.delay,
            refuse: false,
            fail: false,
            leaving: false,
            lose: 0,
            bad: BTreeMap::new(),
            incarnation: Incarnation(wall_now().0),
        };
        let started = Instant::now();
        let core = Arc::new(Core { options, started, state: Mutex::new(state), closing });
        let server = Arc::new(Server::start(listen, Arc::clone(&core)).await);
        let front = Arc::downgrade(&server);
        tokio::spawn(async move {
            while let Some(peer) = to_close.recv().await {
                let Some(server) = front.upgrade() else { return };
                server.front.close_peer(peer);
            }
        });
        Self { core, server }
    }

    /// Address that the service serves on.
    pub fn addr(&self) -> SocketAddr {
        self.server.front.addr()
    }

    /// Address behind the service's own proxy.
    pub fn inner_addr(&self) -> SocketAddr {
        self.server.inner
    }

    /// The target's name.
    pub fn name(&self) -> &str {
        &self.core.options.name
    }

    /// The proxy in front of the service.
    pub fn proxy(&self) -> &FaultProxy {
        &self.server.front
    }

    /// A copy of everything logged since the start.
    pub fn log(&self) -> ServiceLog {
        self.core.state().log.clone()
    }

    /// Sets the time that each run takes.
    pub fn delay(&self, delay: Duration) {
        self.core.state().delay = delay;
    }

    /// Closes the connection after each of the next `count` runs in place of an answer.
    pub fn lose_answers(&self, count: u32) {
        self.core.state().lose = count;
    }

    /// Makes the service refuse requests before running them, or ends that.
    pub fn refuse(&self, on: bool) {
        self.core.state().refuse = on;
    }

    /// Makes every run fail, or ends that.
    pub fn fail(&self, on: bool) {
        self.core.state().fail = on;
    }

    /// Sets whether the load reports ask for no new work.
    pub fn leave(&self, on: bool) {
        self.core.state().leaving = on;
    }

    /// Sets how `version` misbehaves; none cures it.
    pub fn misbehave(&self, version: &str, bad: Option<VersionFault>) {
        let mut state = self.core.state();
        match bad {
            Some(bad) => state.bad.insert(version.to_owned(), bad),
            None => state.bad.remove(version),
        };
    }

    /// Swallows all bytes in the directions of `side`, or ends that for new connections.
    pub fn silence(&self, side: Side, on: bool) {
        if on {
            self.server.front.set(side, Flow::Drop);
        } else {
            self.server.front.set_new(side, Flow::Pass);
        }
    }

    /// Ends the service as if its process died.
    pub async fn kill(&self) {
        self.server.front.cut().await;
    }

    /// Starts a killed service again, as a new incarnation on the same address.
    ///
    /// # Panics
    ///
    /// Panics if another socket took the address meanwhile.
    pub async fn revive(&self) {
        self.core.state().incarnation = Incarnation(wall_now().0);
        self.server.front.restore().await;
    }
}
