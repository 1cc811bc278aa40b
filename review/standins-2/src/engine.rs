//! Stand-in for an engine of a plain service.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::Json;
use crate::store::Store;

/// Name of the service.
pub const SERVICE: &str = "plain";

/// Requests that wait for a slot before further ones are rejected.
const QUEUE: usize = 24;

#[derive(Default)]
struct State {
    running: usize,
    waiting: usize,
    leaving: bool,
    /// Whether 45 in 100 requests fail, as with `srv_grey`.
    grey: bool,
    answered: usize,
    /// When each request began to run, by its id.
    runs: HashMap<String, Vec<Instant>>,
}

struct Core {
    id: String,
    slots: usize,
    work: Duration,
    state: Mutex<State>,
    free: Condvar,
}

/// A running engine, registered in the store.
pub struct Engine {
    core: Arc<Core>,
    address: SocketAddr,
    zone: String,
    version: String,
}

impl Engine {
    /// Fails 45 in 100 requests from now on, with a sound health check.
    pub fn turn_grey(&self) {
        self.core.state.lock().expect("no holder of the lock panics").grey = true;
    }

    /// Starts an engine and registers it.
    pub fn start(store: &Store, zone: &str, version: &str, slots: usize, work: Duration) -> Self {
        Self::start_as(format!("i-{version}-{zone}"), store, zone, version, slots, work)
    }

    /// Starts an engine with an id of its own and registers it.
    pub fn start_as(
        id: String,
        store: &Store,
        zone: &str,
        version: &str,
        slots: usize,
        work: Duration,
    ) -> Self {
        let listener = http::bind();
        let address = listener.local_addr().expect("a bound socket has an address");
        let (state, free) = (Mutex::default(), Condvar::new());
        let core = Arc::new(Core { id, slots, work, state, free });
        let shared = Arc::clone(&core);
        http::serve(listener, move |request| shared.answer(&request));
        let this = Self { core, address, zone: zone.to_owned(), version: version.to_owned() };
        this.register(store, "ready");
        this
    }

    fn register(&self, store: &Store, state: &str) {
        let entry = Json::object([
            ("service", SERVICE.into()),
            ("address", self.address.to_string().as_str().into()),
            ("zone", self.zone.as_str().into()),
            ("version", self.version.as_str().into()),
            ("slots", (self.core.slots as u64).into()),
            ("state", state.into()),
            ("coldRemainingMs", 0.0.into()),
            ("sequence", 1.0.into()),
            ("born", 1_700_000_000_000_u64.into()),
        ]);
        store.put("servers", &self.core.id, &entry);
    }

    /// Stops the engine at once: its entry is removed, and it says that it is leaving.
    pub fn stop(&self, store: &Store) {
        self.core.state.lock().expect("no holder of the lock panics").leaving = true;
        store.remove("servers", &self.core.id);
    }

    /// Returns how often a request ran.
    pub fn runs(&self, id: &str) -> usize {
        let state = self.core.state.lock().expect("no holder of the lock panics");
        state.runs.get(id).map_or(0, Vec::len)
    }
}

impl Core {
    fn answer(&self, request: &Request) -> Answer {
        if request.path == "/sesamewind/report" {
            return Answer::new(200, "{}".to_owned());
        }
        if request.path == "/healthz" {
            let mut answer = Answer::new(200, String::new());
            answer.headers.push(("instance-id", self.id.clone()));
            return answer;
        }
        let expected = request.header("expect-instance");
        let mut answer = if !expected.is_empty() && expected != self.id {
            Answer::new(421, "another".to_owned())
        } else {
            self.run(request)
        };
        answer.headers.push(("request-id", request.header("request-id").to_owned()));
        if answer.status != 421 && self.state.lock().is_ok_and(|state| state.leaving) {
            answer.headers.push(("server-leaving", "1".to_owned()));
        }
        answer
    }

    fn run(&self, request: &Request) -> Answer {
        let id = request.header("request-id").to_owned();
        let mut state = self.state.lock().expect("no holder of the lock panics");
        if state.running >= self.slots && state.waiting >= QUEUE {
            let mut answer = Answer::new(503, "full".to_owned());
            answer.headers.push(("not-executed", "1".to_owned()));
            return answer;
        }
        state.waiting += 1;
        while state.running >= self.slots {
            state = self.free.wait(state).expect("no holder of the lock panics");
        }
        state.waiting -= 1;
        state.running += 1;
        state.runs.entry(id.clone()).or_default().push(Instant::now());
        drop(state);
        thread::sleep(self.work);
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state.running -= 1;
        state.answered += 1;
        let fails = state.grey && state.answered * 9 % 20 < 9;
        drop(state);
        self.free.notify_one();
        let mut answer = Answer::new(if fails { 500 } else { 200 }, format!("answer to {id}"));
        answer.headers.push(("response-seal", format!("seal-of-{}", self.id)));
        answer
    }
}
