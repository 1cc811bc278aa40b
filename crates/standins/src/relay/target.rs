//! A target that registers in the store of rows: a model engine or a plain service.

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

use super::store::RowStore;
use crate::proxy::FaultProxy;
use crate::server::{self, Call, Handler, Server};

/// What a target is started with.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    /// Identity.
    pub id: String,
    /// Service.
    pub service: String,
    /// Whether it answers with a stream of events.
    pub stream: bool,
    /// Events of a stream.
    pub events: u64,
    /// Time between events, or of the whole work.
    pub delay: Duration,
    /// Version of its software.
    pub version: String,
    /// Requests at once.
    pub slots: u32,
    /// How the next requests are treated, shared by all targets that are started with it.
    pub script: Script,
}

/// How the next requests are treated; further ones are served.
#[derive(Debug, Clone, Default)]
pub struct Script(Arc<Mutex<VecDeque<Behaviour>>>);

impl Script {
    /// Adds behaviours.
    pub fn extend(&self, behaviours: &[Behaviour]) {
        lock(&self.0).extend(behaviours);
    }

    /// Drops what was added and not used yet.
    pub fn clear(&self) {
        lock(&self.0).clear();
    }

    fn next(&self) -> Behaviour {
        lock(&self.0).pop_front().unwrap_or(Behaviour::Serve)
    }
}

impl Default for TargetOptions {
    fn default() -> Self {
        Self {
            id: "i-1".into(),
            service: "model".into(),
            stream: true,
            events: 5,
            delay: Duration::from_millis(5),
            version: "v1".into(),
            slots: 4,
            script: Script::default(),
        }
    }
}

/// How a target treats one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// It serves the request.
    Serve,
    /// It states that it did not run the request.
    Decline,
    /// Another target has the address, and states that it did not run the request.
    Replaced,
    /// It runs the request and answers with a failure.
    Fail,
    /// It answers with a success without its seal.
    Unsealed,
    /// It answers under another request's identity.
    Foreign,
    /// It runs the request and breaks off after so many events, in the middle of the next one.
    BreakOff(u64),
    /// It says nothing more after so many events.
    Hang(u64),
}

/// A request as it reached a target.
#[derive(Debug, Clone)]
pub struct Received {
    /// Method and path with query.
    pub line: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the target ran it.
    pub ran: bool,
    /// When it arrived.
    pub at: Instant,
}

impl Received {
    /// Value of a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

#[derive(Debug)]
struct Core {
    options: TargetOptions,
    received: Mutex<Vec<Received>>,
}

/// A running target.
#[derive(Debug)]
pub struct RelayTarget {
    core: Arc<Core>,
    server: Server,
}

impl RelayTarget {
    /// Starts a target and registers it.
    pub async fn start(options: TargetOptions, store: &RowStore) -> Self {
        let core = Arc::new(Core { options, received: Mutex::default() });
        let server = Server::start(([127, 0, 0, 1], 0).into(), Arc::clone(&core)).await;
        let this = Self { core, server };
        this.register(store, names::STATE_READY);
        this
    }

    /// Writes the target's entry with this state.
    pub fn register(&self, store: &RowStore, state: &str) {
        store.put(names::TARGET_TABLE, &self.core.options.id, &self.entry(state));
    }

    /// The target's entry.
    pub fn entry(&self, state: &str) -> Value {
        let options = &self.core.options;
        json!({
            "service": options.service, "address": self.addr().to_string(), "zone": "z1",
            "version": options.version, "slots": options.slots, "state": state, "coldRemainingMs": 0,
            "sequence": 1, "born": 1
        })
    }

    /// Drops the target's entry.
    pub fn withdraw(&self, store: &RowStore) {
        store.remove(names::TARGET_TABLE, &self.core.options.id);
    }

    /// Identity.
    pub fn id(&self) -> &str {
        &self.core.options.id
    }

    /// How the next requests are treated.
    pub fn script(&self) -> &Script {
        &self.core.options.script
    }

    /// Address that instances use.
    pub fn addr(&self) -> SocketAddr {
        self.server.front.addr()
    }

    /// The proxy in front of the target.
    pub fn proxy(&self) -> &FaultProxy {
        &self.server.front
    }

    /// Requests so far.
    pub fn received(&self) -> Vec<Received> {
        lock(&self.core.received).clone()
    }

    /// How often the request `id` ran here.
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
        let mut behaviour = self.options.script.next();
        if call.header(names::EXPECT_TARGET).is_some_and(|id| id != self.options.id) {
            behaviour = Behaviour::Replaced;
        }
        let ran = !matches!(behaviour, Behaviour::Decline | Behaviour::Replaced);
        let query = if call.query.is_empty() { String::new() } else { format!("?{}", call.query) };
        lock(&self.received).push(Received {
            line: format!("{} {}{query}", call.method, call.path),
            headers: call.headers.clone(),
            body: call.body.clone(),
            ran,
            at: Instant::now(),
        });
        self.answer(&call, behaviour).await
    }
}

impl Core {
    async fn answer(self: Arc<Self>, call: &Call, behaviour: Behaviour) -> Response {
        match behaviour {
            Behaviour::Decline => {
                let mut answer = server::text(StatusCode::SERVICE_UNAVAILABLE, "full");
                put(&mut answer, names::NOT_EXECUTED, "1");
                return answer;
            }
            Behaviour::Replaced => return server::text(StatusCode::MISDIRECTED_REQUEST, "another"),
            Behaviour::Hang(0) => return std::future::pending().await,
            _ => {}
        }
        let id = call.header(names::REQUEST_ID).unwrap_or_default().to_owned();
        let after = call.number(names::LAST_EVENT).map_or(0, u64::from);
        let mut answer = if self.options.stream && behaviour != Behaviour::Fail {
            Arc::clone(&self).stream(id.clone(), after, behaviour)
        } else {
            sleep(self.options.delay).await;
            server::text(StatusCode::OK, body(&id))
        };
        if behaviour == Behaviour::Fail {
            *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        let echo = if behaviour == Behaviour::Foreign { "another" } else { id.as_str() };
        put(&mut answer, names::REQUEST_ID, echo);
        if behaviour != Behaviour::Unsealed {
            put(&mut answer, names::SEAL, &format!("seal-of-{}", self.options.id));
        }
        answer
    }

    fn stream(self: Arc<Self>, id: String, after: u64, behaviour: Behaviour) -> Response {
        let (sender, receiver) = mpsc::channel(1);
        tokio::spawn(async move {
            for number in after + 1..=self.options.events {
                let broken = match behaviour {
                    Behaviour::BreakOff(events) => number == events + 1,
                    Behaviour::Hang(events) if number == events + 1 => {
                        sender.closed().await;
                        return;
                    }
                    _ => false,
                };
                sleep(self.options.delay).await;
                if broken {
                    let part = Bytes::from(format!("id: {number}\nda"));
                    let _ = sender.send(Ok(part)).await;
                    let _ = sender.send(Err(std::io::Error::other("broken off"))).await;
                    return;
                }
                let event = Bytes::from(event(&id, number));
                if sender.send(Ok(event)).await.is_err() {
                    return;
                }
            }
        });
        let mut answer = server::stream(receiver);
        put(&mut answer, header::CONTENT_TYPE.as_str(), "text/event-stream");
        answer
    }
}

/// The whole answer of a plain target to the request `id`.
pub fn body(id: &str) -> String {
    format!("answer to {id}")
}

/// One event of the stream that answers the request `id`.
pub fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id}-{number}\n\n")
}

fn put(answer: &mut Response, name: &'static str, value: &str) {
    let value = HeaderValue::from_str(value).expect("stand-ins send readable headers");
    answer.headers_mut().insert(name, value);
}
