//! Stand-in for the platform's row store, with full reads, a change feed and transactions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use form_urlencoded::parse;
use http::{HeaderValue, Method, StatusCode};
use serde::Serialize;
use serde_json::{Value, json};
use sesamewind_adapter::names;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use warp::reply::Response;

use crate::proxy::FaultProxy;
use crate::server::{self, Call, Handler, Server};

/// How the store handles calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// It serves calls.
    #[default]
    Up,
    /// It rejects calls as unavailable, without any effect.
    Down,
    /// It has lost its change history: feeds are told to read the full table.
    HistoryLost,
    /// It rejects calls because there are too many, without any effect.
    Busy,
    /// It executes writes and does not answer them.
    LosesAnswers,
    /// It executes writes this long after the call, and does not answer them.
    LateWrites(Duration),
}

impl StoreMode {
    /// Returns the status that rejects any call, if calls are rejected.
    fn refusal_status(self) -> Option<StatusCode> {
        match self {
            Self::Down => Some(StatusCode::SERVICE_UNAVAILABLE),
            Self::Busy => Some(StatusCode::TOO_MANY_REQUESTS),
            _ => None,
        }
    }

    /// Returns the status that rejects a feed call. Calls that are already waiting for changes are
    /// rejected at once.
    fn feed_refusal_status(self) -> Option<StatusCode> {
        if self == Self::HistoryLost { Some(StatusCode::GONE) } else { self.refusal_status() }
    }
}

#[derive(Debug, Clone)]
struct Row {
    value: Option<Vec<u8>>,
    version: u64,
}

#[derive(Debug, Default)]
struct State {
    mode: StoreMode,
    version: u64,
    /// Rises each time the store is set back.
    era: u64,
    /// Rows by table and key; removed rows stay without a value.
    rows: BTreeMap<(String, String), Row>,
    calls: u64,
}

/// Rows as of one moment, and the version of the store at that moment.
#[derive(Debug)]
struct Page {
    version: u64,
    rows: Vec<Value>,
}

#[derive(Debug)]
struct Core {
    state: Mutex<State>,
    changed: Notify,
    start: Instant,
}

/// Copy of a store's rows.
#[derive(Debug)]
pub struct Snapshot {
    version: u64,
    rows: BTreeMap<(String, String), Row>,
}

/// A running row store; dropping it stops it.
#[derive(Debug)]
pub struct RowStore {
    core: Arc<Core>,
    server: Server,
}

impl RowStore {
    /// Starts an empty store.
    pub async fn start() -> Self {
        let core = Arc::new(Core {
            state: Mutex::default(),
            changed: Notify::new(),
            start: Instant::now(),
        });
        let server = Server::start(([127, 0, 0, 1], 0).into(), Arc::clone(&core)).await;
        Self { core, server }
    }

    /// Returns the address that instances connect to.
    pub fn addr(&self) -> SocketAddr {
        self.server.proxy.addr()
    }

    /// Returns the proxy in front of the store.
    pub fn proxy(&self) -> &FaultProxy {
        &self.server.proxy
    }

    /// Sets how calls are handled; waiting feed calls are re-evaluated.
    pub fn set_mode(&self, mode: StoreMode) {
        self.core.state().mode = mode;
        self.core.changed.notify_waiters();
    }

    /// Returns a copy of all rows.
    pub fn snapshot(&self) -> Snapshot {
        let state = self.core.state();
        Snapshot { version: state.version, rows: state.rows.clone() }
    }

    /// Loses all that was written since the copy was made. Versions go back and are given out again.
    pub fn set_back(&self, snapshot: Snapshot) {
        let era = self.core.state().era + 1;
        self.core.load(snapshot, era);
    }

    /// Serves a copy without a new era, as a replica does that is behind.
    pub fn serve_copy(&self, snapshot: Snapshot) {
        let era = self.core.state().era;
        self.core.load(snapshot, era);
    }

    /// Writes a row with a JSON value.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().into_bytes());
    }

    /// Writes a row with arbitrary bytes.
    pub fn put_bytes(&self, table: &str, key: &str, value: Vec<u8>) {
        self.core.write(table, key, Some(value));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.core.write(table, key, None);
    }

    /// Writes the operators' configuration.
    pub fn configure(&self, configuration: &Value) {
        self.put(names::OPERATOR_TABLE, names::CONFIGURATION_KEY, configuration);
    }

    /// Orders the evacuation of an availability zone.
    pub fn evacuate(&self, zone: &str) {
        self.put(names::OPERATOR_TABLE, &evacuation_key(zone), &json!({}));
    }

    /// Takes the evacuation of an availability zone back.
    pub fn take_back(&self, zone: &str) {
        self.remove(names::OPERATOR_TABLE, &evacuation_key(zone));
    }

    /// Returns the row with this key, if it exists and contains JSON.
    pub fn row(&self, table: &str, key: &str) -> Option<Value> {
        let state = self.core.state();
        let row = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        serde_json::from_slice(row.value.as_deref()?).ok()
    }

    /// Returns the keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.core.state();
        let rows = state.rows.iter().filter(|((t, _), row)| t == table && row.value.is_some());
        rows.map(|((_, key), _)| key.clone()).collect()
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.core.state().calls
    }
}

fn evacuation_key(zone: &str) -> String {
    format!("{}{zone}", names::EVACUATION_KEY_PREFIX)
}

impl Core {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces all rows by those of a copy.
    fn load(&self, snapshot: Snapshot, era: u64) {
        let mut state = self.state();
        state.version = snapshot.version;
        state.rows = snapshot.rows;
        state.era = era;
        drop(state);
        self.changed.notify_waiters();
    }

    fn write(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let mut state = self.state();
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.to_owned(), key.to_owned()), Row { value, version });
        drop(state);
        self.changed.notify_waiters();
    }

    fn page(&self, Page { version, rows }: Page) -> Response {
        let now = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        let body = json!({"rows": rows, "hasMore": false, "rowVersion": version, "nowMs": now});
        server::json(StatusCode::OK, &body)
    }

    /// Returns all rows of a table, or those that changed after a version.
    fn rows(&self, table: &str, after: Option<u64>) -> Page {
        let state = self.state();
        let version = state.version;
        let mut rows: Vec<_> = state.rows.iter().filter(|((t, _), _)| t == table).collect();
        rows.retain(|(_, row)| after.map_or(row.value.is_some(), |after| row.version > after));
        if after.is_some() {
            rows.sort_by_key(|(_, row)| row.version);
        }
        let wire = rows.into_iter().map(|((table, key), row)| {
            let mut wire =
                json!({"table": table, "part": "", "key": key, "rowVersion": row.version});
            match &row.value {
                Some(value) => wire["value"] = STANDARD.encode(value).into(),
                None => wire["deleted"] = true.into(),
            }
            wire
        });
        Page { version, rows: wire.collect() }
    }

    async fn feed(&self, table: &str, after: u64, wait: Duration) -> Response {
        if after > self.state().version {
            return refusal_response(StatusCode::GONE);
        }
        let era = self.state().era;
        let changes = async {
            loop {
                let changed = self.changed.notified();
                let page = self.rows(table, Some(after));
                let is_changed = {
                    let state = self.state();
                    state.mode.feed_refusal_status().is_some() || state.era != era
                };
                if is_changed || !page.rows.is_empty() {
                    return page;
                }
                changed.await;
            }
        };
        let page = timeout(wait, changes).await;
        // Without a change, the version is that of the call: a later one might hide a change.
        let page = page.unwrap_or(Page { version: after, rows: Vec::new() });
        let refusal_status = self.state().mode.feed_refusal_status();
        if let Some(status) = refusal_status {
            return refusal_response(status);
        }
        self.page(page)
    }

    fn transact(&self, body: &[u8]) -> Response {
        let Ok(body) = serde_json::from_slice::<Value>(body) else {
            return refusal_response(StatusCode::BAD_REQUEST);
        };
        for condition in body["precondition"].as_array().into_iter().flatten() {
            let text = |field: &str| condition[field].as_str().unwrap_or_default().to_owned();
            let state = self.state();
            let row = state.rows.get(&(text("table"), text("key")));
            let version = row.filter(|row| row.value.is_some()).map_or(0, |row| row.version);
            if condition["rowVersion"].as_u64() != Some(version) {
                drop(state);
                let rows = self.rows(&text("table"), None).rows;
                let key = text("key");
                let current: Vec<_> = rows.into_iter().filter(|row| row["key"] == key).collect();
                let body = json!({ "rows": current });
                return server::json(StatusCode::PRECONDITION_FAILED, &body);
            }
        }
        for put in body["puts"].as_array().into_iter().flatten() {
            let text = |field: &str| put[field].as_str().unwrap_or_default().to_owned();
            let value = STANDARD.decode(text("value")).unwrap_or_default();
            self.write(&text("table"), &text("key"), Some(value));
        }
        let version = self.state().version;
        self.page(Page { version, rows: Vec::new() })
    }
}

impl Handler for Core {
    async fn handle(self: Arc<Self>, call: Call) -> Response {
        let mut answer = Arc::clone(&self).answer(call).await;
        let era = HeaderValue::from(self.state().era);
        answer.headers_mut().insert(names::STORE_ERA, era);
        answer
    }
}

impl Core {
    async fn answer(self: Arc<Self>, call: Call) -> Response {
        let mode = {
            let mut state = self.state();
            state.calls += 1;
            state.mode
        };
        if let Some(status) = mode.refusal_status() {
            return refusal_response(status);
        }
        let query: BTreeMap<_, _> = parse(call.query.as_bytes()).into_owned().collect();
        let number = |name: &str| query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let table = query.get("table").map_or("", String::as_str);
        match (&call.method, call.path.as_str()) {
            (&Method::GET, names::ROWS_PATH) => {
                let from = query.get("from").map_or("", String::as_str);
                let mut page = self.rows(table, None);
                page.rows.retain(|row| row["key"].as_str().is_some_and(|key| key >= from));
                self.page(page)
            }
            (&Method::GET, names::FEED_PATH) => {
                let wait = Duration::from_millis(number("waitMs"));
                self.feed(table, number("after"), wait).await
            }
            (&Method::POST, names::TRANSACTION_PATH) => match mode {
                StoreMode::LosesAnswers => {
                    self.transact(&call.body);
                    std::future::pending().await
                }
                StoreMode::LateWrites(after) => {
                    tokio::spawn(async move {
                        sleep(after).await;
                        self.transact(&call.body);
                    });
                    std::future::pending().await
                }
                _ => self.transact(&call.body),
            },
            _ => refusal_response(StatusCode::NOT_FOUND),
        }
    }
}

/// Body of a response that rejects a call.
#[derive(Debug, Serialize)]
struct RefusalBody {
    status: u16,
}

fn refusal_response(status: StatusCode) -> Response {
    server::json(status, &RefusalBody { status: status.as_u16() })
}
