//! Stand-in for a target that registers in the row store: a model engine or a plain service.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use serde_json::{Value, json};
use sesamewind_adapter::names;
use tokio::sync::mpsc;
use tokio::time::sleep;
use warp::reply::Response;

use super::brittle::{Admission, Brittle, Brittleness, Place};
use super::store::RowStore;
use crate::proxy::FaultProxy;
use crate::server::{self, Call, Handler, Server};

/// Options of a target.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    /// Id of the target.
    pub id: String,
    /// Name of the service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Whether the target answers with a stream of events.
    pub stream: bool,
    /// Number of events in a stream.
    pub events: u64,
    /// Time before each event of a stream, or before a plain answer.
    pub delay: Duration,
    /// Version of the target's software.
    pub version: String,
    /// Requests that the target runs at the same time.
    pub slots: u32,
    /// Behaviours for the next requests, shared by all targets started with this script.
    pub script: Script,
}

/// Behaviours for the next requests; requests beyond them are served.
#[derive(Debug, Clone, Default)]
pub struct Script(Arc<Mutex<Rules>>);

#[derive(Debug, Default)]
struct Rules {
    next: VecDeque<Behaviour>,
    /// Header and value of the requests that are always broken off before their answer begins.
    broken: Option<(&'static str, &'static str)>,
}

impl Script {
    /// Appends behaviours.
    pub fn extend(&self, behaviours: &[Behaviour]) {
        lock(&self.0).next.extend(behaviours);
    }

    /// Removes the behaviours that were not used yet.
    pub fn clear(&self) {
        lock(&self.0).next.clear();
    }

    /// Breaks off all requests with this header before their answer begins.
    pub fn break_off(&self, header: &'static str, value: &'static str) {
        lock(&self.0).broken = Some((header, value));
    }

    fn next(&self, call: &Call) -> Behaviour {
        let mut rules = lock(&self.0);
        let has = |(header, value)| call.header(header) == Some(value);
        if rules.broken.is_some_and(has) {
            return Behaviour::BreakOff(0);
        }
        rules.next.pop_front().unwrap_or(Behaviour::Serve)
    }
}

impl Default for TargetOptions {
    fn default() -> Self {
        Self {
            id: "i-1".into(),
            service: "model".into(),
            zone: "z1".into(),
            stream: true,
            events: 5,
            delay: Duration::from_millis(5),
            version: "v1".into(),
            slots: 4,
            script: Script::default(),
        }
    }
}

/// How a target handles one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// It serves the request.
    Serve,
    /// It declines the request, and states that it did not run it.
    Decline,
    /// It declines the request and asks for no requests for this many milliseconds.
    Rest(u64),
    /// It serves the request and says that it is leaving.
    Leave,
    /// It answers as another target at the same address, which states that it did not run the
    /// request.
    Replaced,
    /// It runs the request and answers with a failure.
    Fail,
    /// It answers that the request is wrong.
    Reject,
    /// It answers successfully without its seal.
    Unsealed,
    /// It answers with the id of another request.
    Foreign,
    /// It runs the request, and aborts the answer after this many events, in the middle of the next
    /// one.
    BreakOff(u64),
    /// It sends nothing more after this many events and keeps the connection open.
    Hang(u64),
    /// It sends nothing for the second number of milliseconds after the first number of events, and
    /// then goes on. Before the first event, the head of the answer waits as well; a plain answer is
    /// late by that time.
    Pause(u64, u64),
    /// Like `Pause`, but it sends a comment line every tenth of a second in the meantime.
    Comment(u64, u64),
    /// Like `Pause`, but it sends the next event byte by byte in the meantime.
    Drip(u64, u64),
}

/// A comment with its blank line, as sent by `Behaviour::Comment`.
pub const COMMENT: &[u8] = b": wait\n\n";

/// Time between two comments, or two bytes of an event.
const LINE_INTERVAL: Duration = Duration::from_millis(100);

type Chunks = mpsc::Sender<Result<Bytes, std::io::Error>>;

/// A request received by a target.
#[derive(Debug, Clone)]
pub struct Received {
    /// Method, path and query.
    pub line: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the target ran it.
    pub ran: bool,
    /// When it arrived.
    pub at: Instant,
    /// Request limit that the answer states.
    pub limit: Option<f64>,
}

impl Received {
    /// Returns the value of a header, or an empty text if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

#[derive(Debug)]
struct Core {
    options: TargetOptions,
    received: Mutex<Vec<Received>>,
    /// Requests a second that the target states to take from all instances together.
    limit: Mutex<Option<f64>>,
    brittle: Brittle,
}

/// A running target; dropping it stops it.
#[derive(Debug)]
pub struct RelayTarget {
    core: Arc<Core>,
    server: Server,
}

impl RelayTarget {
    /// Starts a target and registers it.
    pub async fn start(options: TargetOptions, store: &RowStore) -> Self {
        let core = Arc::new(Core {
            options,
            received: Mutex::default(),
            limit: Mutex::default(),
            brittle: Brittle::default(),
        });
        let server = Server::start(([127, 0, 0, 1], 0).into(), Arc::clone(&core)).await;
        let this = Self { core, server };
        this.register(store, names::STATE_READY);
        this
    }

    /// Writes the target's entry with this state to the store.
    pub fn register(&self, store: &RowStore, state: &str) {
        store.put(names::TARGET_TABLE, &self.core.options.id, &self.entry(state));
    }

    /// Returns the target's entry with this state.
    pub fn entry(&self, state: &str) -> Value {
        let options = &self.core.options;
        json!({
            "service": options.service, "address": self.addr().to_string(), "zone": options.zone,
            "version": options.version, "slots": options.slots, "state": state, "coldRemainingMs": 0,
            "sequence": 1, "born": 1
        })
    }

    /// Removes the target's entry from the store.
    pub fn deregister(&self, store: &RowStore) {
        store.remove(names::TARGET_TABLE, &self.core.options.id);
    }

    /// Returns the id of the target.
    pub fn id(&self) -> &str {
        &self.core.options.id
    }

    /// Returns the script for the next requests.
    pub fn script(&self) -> &Script {
        &self.core.options.script
    }

    /// States from now on in all answers that the target takes so many requests a second from all
    /// instances together, or no longer states it.
    pub fn set_limit(&self, limit: Option<f64>) {
        *lock(&self.core.limit) = limit;
    }

    /// Makes the target brittle from now on, as it states in all answers, or no longer.
    pub fn set_brittle(&self, terms: Option<Brittleness>) {
        self.core.brittle.set(terms);
    }

    /// Returns how often the target has fallen over.
    pub fn falls(&self) -> usize {
        self.core.brittle.falls()
    }

    /// Returns the address that instances connect to.
    pub fn addr(&self) -> SocketAddr {
        self.server.proxy.addr()
    }

    /// Returns the proxy in front of the target.
    pub fn proxy(&self) -> &FaultProxy {
        &self.server.proxy
    }

    /// Returns the requests received so far.
    pub fn received(&self) -> Vec<Received> {
        lock(&self.core.received).clone()
    }

    /// Returns how often the request `id` ran on this target.
    pub fn runs(&self, id: &str) -> usize {
        let received = self.received();
        received.iter().filter(|one| one.ran && one.header(names::REQUEST_ID) == id).count()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Handler for Core {
    async fn handle(self: Arc<Self>, call: Call) -> Response {
        if call.path == names::REPORT_PATH {
            // A report is no request to run, and takes no slot.
            return server::text(StatusCode::OK, "{}");
        }
        let mut behaviour = self.options.script.next(&call);
        if call.header(names::EXPECT_TARGET).is_some_and(|id| id != self.options.id) {
            behaviour = Behaviour::Replaced;
        }
        let place = match self.brittle.admit(self.options.slots, Instant::now()) {
            Admission::Run(place) => Some(place),
            Admission::Rejected => {
                behaviour = Behaviour::Decline;
                None
            }
            Admission::Down => {
                behaviour = Behaviour::BreakOff(0);
                None
            }
        };
        let stated = self.brittle.stated().filter(|_| behaviour != Behaviour::Replaced);
        let ran =
            !matches!(behaviour, Behaviour::Decline | Behaviour::Rest(_) | Behaviour::Replaced);
        let limit = lock(&self.limit).filter(|_| behaviour != Behaviour::Replaced);
        let query = if call.query.is_empty() { String::new() } else { format!("?{}", call.query) };
        lock(&self.received).push(Received {
            line: format!("{} {}{query}", call.method, call.path),
            headers: call.headers.clone(),
            body: call.body.clone(),
            ran,
            at: Instant::now(),
            limit,
        });
        let mut answer = self.answer(&call, behaviour, place).await;
        if let Some(rate) = limit {
            set_header(&mut answer, names::LIMIT, &rate.to_string());
        }
        if let Some(allowed) = stated {
            set_header(&mut answer, names::BRITTLE, &allowed.to_string());
        }
        answer
    }
}

impl Core {
    /// Answers a request, which has its `place` until the end of the answer.
    async fn answer(
        self: Arc<Self>,
        call: &Call,
        behaviour: Behaviour,
        place: Option<Place>,
    ) -> Response {
        match behaviour {
            Behaviour::Decline | Behaviour::Rest(_) => {
                let mut answer = server::text(StatusCode::SERVICE_UNAVAILABLE, "full");
                set_header(&mut answer, names::NOT_EXECUTED, "1");
                if let Behaviour::Rest(millis) = behaviour {
                    let seconds = format!("{}", millis as f64 / 1_000.0);
                    set_header(&mut answer, header::RETRY_AFTER.as_str(), &seconds);
                }
                return answer;
            }
            Behaviour::Replaced => return server::text(StatusCode::MISDIRECTED_REQUEST, "another"),
            Behaviour::Hang(0) => return std::future::pending().await,
            Behaviour::Pause(events, millis) if events == 0 || !self.options.stream => {
                sleep(Duration::from_millis(millis)).await;
            }
            _ => {}
        }
        let id = call.header(names::REQUEST_ID).unwrap_or_default().to_owned();
        let after = call.number(names::LAST_EVENT).map_or(0, u64::from);
        let status = match behaviour {
            Behaviour::Fail => StatusCode::INTERNAL_SERVER_ERROR,
            Behaviour::Reject => StatusCode::CONFLICT,
            _ => StatusCode::OK,
        };
        let mut answer = if self.options.stream && status == StatusCode::OK {
            Arc::clone(&self).stream(id.clone(), after, behaviour, place)
        } else {
            sleep(self.options.delay).await;
            server::text(status, body(&id))
        };
        let echoed_id = if behaviour == Behaviour::Foreign { "another" } else { id.as_str() };
        set_header(&mut answer, names::REQUEST_ID, echoed_id);
        if behaviour == Behaviour::Leave {
            set_header(&mut answer, names::LEAVING, names::LEAVING_VALUE);
        }
        if behaviour != Behaviour::Unsealed {
            set_header(&mut answer, names::SEAL, &format!("seal-of-{}", self.options.id));
        }
        answer
    }

    fn stream(
        self: Arc<Self>,
        id: String,
        after: u64,
        behaviour: Behaviour,
        place: Option<Place>,
    ) -> Response {
        let (sender, receiver) = mpsc::channel(1);
        tokio::spawn(async move {
            let _place = place;
            for number in after + 1..=self.options.events {
                let breaks_off = match behaviour {
                    Behaviour::BreakOff(events) => number == events + 1,
                    Behaviour::Hang(events) if number == events + 1 => {
                        sender.closed().await;
                        return;
                    }
                    Behaviour::Pause(events, millis) if events > 0 && number == events + 1 => {
                        sleep(Duration::from_millis(millis)).await;
                        false
                    }
                    Behaviour::Comment(events, millis) if number == events + 1 => {
                        comment(&sender, millis).await;
                        false
                    }
                    _ => false,
                };
                sleep(self.options.delay).await;
                if breaks_off {
                    let partial = Bytes::from(format!("id: {number}\nda"));
                    let _ = sender.send(Ok(partial)).await;
                    let _ = sender.send(Err(std::io::Error::other("broken off"))).await;
                    return;
                }
                let mut event = Bytes::from(event(&id, number));
                if let Behaviour::Drip(events, millis) = behaviour
                    && number == events + 1
                {
                    event = drip(&sender, event, millis).await;
                }
                if sender.send(Ok(event)).await.is_err() {
                    return;
                }
            }
        });
        let mut answer = server::stream(receiver);
        set_header(&mut answer, header::CONTENT_TYPE.as_str(), "text/event-stream");
        answer
    }
}

/// Sends comment lines for `millis` milliseconds.
async fn comment(sender: &Chunks, millis: u64) {
    let lines = Duration::from_millis(millis).as_millis() / LINE_INTERVAL.as_millis();
    for _ in 0..lines {
        sleep(LINE_INTERVAL).await;
        let _ = sender.send(Ok(Bytes::from_static(COMMENT))).await;
    }
}

/// Sends the first bytes of `event` one by one for `millis` milliseconds, and returns the rest.
async fn drip(sender: &Chunks, mut event: Bytes, millis: u64) -> Bytes {
    let bytes = Duration::from_millis(millis).as_millis() / LINE_INTERVAL.as_millis();
    for _ in 0..bytes {
        if event.len() == 1 {
            break;
        }
        sleep(LINE_INTERVAL).await;
        let _ = sender.send(Ok(event.split_to(1))).await;
    }
    event
}

/// Returns the complete answer of a plain target to the request `id`.
pub fn body(id: &str) -> String {
    format!("answer to {id}")
}

/// Returns event `number` of the stream that answers the request `id`.
pub fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id}-{number}\n\n")
}

fn set_header(answer: &mut Response, name: &'static str, value: &str) {
    let value = HeaderValue::from_str(value).expect("stand-ins send readable headers");
    answer.headers_mut().insert(name, value);
}
