//! Stand-in for the platform's store: rows in tables, a feed of changes, and transactions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::{Json, from_base64, to_base64};

#[derive(Clone)]
struct Row {
    /// None after the row was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct State {
    version: u64,
    /// Rises by one each time the store comes back from an older copy.
    era: u64,
    /// Whether the store is away.
    away: bool,
    rows: BTreeMap<(String, String), Row>,
}

impl State {
    fn write(&mut self, table: &str, key: &str, value: Option<String>) {
        let row = Row { value, version: self.version };
        self.rows.insert((table.to_owned(), key.to_owned()), row);
    }

    /// Returns the rows of a table that `is_asked` for as they are sent.
    fn rows(&self, table: &str, is_asked: impl Fn(&str, &Row) -> bool) -> Vec<Json> {
        let rows = self.rows.iter().filter(|((known, _), _)| known == table);
        let mut rows: Vec<_> = rows.filter(|((_, key), row)| is_asked(key, row)).collect();
        rows.sort_by_key(|(_, row)| row.version);
        let wire = rows.into_iter().map(|((table, key), row)| {
            let mut members = vec![
                ("table".to_owned(), table.as_str().into()),
                ("part".to_owned(), "".into()),
                ("key".to_owned(), key.as_str().into()),
                ("rowVersion".to_owned(), row.version.into()),
            ];
            members.push(match &row.value {
                Some(value) => ("value".to_owned(), to_base64(value.as_bytes()).as_str().into()),
                None => ("deleted".to_owned(), true.into()),
            });
            Json::Object(members)
        });
        wire.collect()
    }
}

struct Core {
    state: Mutex<State>,
    changed: Condvar,
    start: Instant,
}

/// Copy of all rows, and the version of the store then.
pub struct Copy {
    version: u64,
    rows: BTreeMap<(String, String), Row>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    core: Arc<Core>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = http::bind();
        let address = listener.local_addr().expect("a bound socket has an address");
        let core = Core { state: Mutex::default(), changed: Condvar::new(), start: Instant::now() };
        let core = Arc::new(core);
        let shared = Arc::clone(&core);
        http::serve(listener, move |request| {
            let mut answer = shared.answer(&request);
            answer.headers.push(("store-era", shared.state().era.to_string()));
            answer
        });
        Self { core, address }
    }

    /// Writes a row, as the operator or an engine does.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        self.write(table, key, Some(value.to_string()));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.core.state();
        state.version += 1;
        state.write(table, key, value);
        self.core.changed.notify_all();
    }

    /// Returns a copy of all rows.
    pub fn copy(&self) -> Copy {
        let state = self.core.state();
        Copy { version: state.version, rows: state.rows.clone() }
    }

    /// Answers nothing but 503 until [`Store::come_back`].
    pub fn go_away(&self) {
        self.core.state().away = true;
        self.core.changed.notify_all();
    }

    /// Comes back from a copy: what was written since is gone, and versions are given out again.
    pub fn come_back(&self, copy: Copy) {
        let mut state = self.core.state();
        (state.version, state.rows) = (copy.version, copy.rows);
        state.era += 1;
        state.away = false;
        self.core.changed.notify_all();
    }

    /// Returns a row, if it exists.
    pub fn row(&self, table: &str, key: &str) -> Option<Json> {
        let state = self.core.state();
        let row = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        Json::parse(row.value.as_deref()?)
    }
}

impl Core {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn page(&self, rows: Vec<Json>, version: u64) -> Answer {
        let now = self.start.elapsed().as_millis() as u64;
        let body = Json::object([
            ("rows", rows.into()),
            ("hasMore", false.into()),
            ("rowVersion", version.into()),
            ("nowMs", now.into()),
        ]);
        Answer::new(200, body.to_string())
    }

    fn answer(&self, request: &Request) -> Answer {
        let table = request.parameter("table");
        if self.state().away {
            return Answer::new(503, String::new());
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/sesamewind/rows-get") => {
                let state = self.state();
                let from = request.parameter("from");
                let rows = state.rows(table, |key, row| row.value.is_some() && key >= from);
                self.page(rows, state.version)
            }
            ("GET", "/sesamewind/rows-feed") => {
                let after = request.parameter("after").parse().unwrap_or(0);
                let wait = request.parameter("waitMs").parse().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                let mut state = self.state();
                let era = state.era;
                loop {
                    if state.away || state.era != era {
                        return Answer::new(503, String::new());
                    }
                    if after > state.version {
                        return Answer::new(410, String::new());
                    }
                    let rows = state.rows(table, |_, row| row.version > after);
                    let left = end.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() {
                        return self.page(rows, state.version);
                    }
                    let waited = self.changed.wait_timeout(state, left);
                    state = waited.expect("no holder of the lock panics").0;
                }
            }
            ("POST", "/sesamewind/rows-tx") => self.transact(request),
            _ => Answer::new(404, String::new()),
        }
    }

    fn transact(&self, request: &Request) -> Answer {
        let body = String::from_utf8_lossy(&request.body);
        let Some(body) = Json::parse(&body) else { return Answer::new(400, String::new()) };
        let mut state = self.state();
        let name = |entry: &Json| {
            (entry.get("table").text().to_owned(), entry.get("key").text().to_owned())
        };
        let conditions = body.get("precondition").list();
        let holds = conditions.iter().all(|condition| {
            let row = state.rows.get(&name(condition)).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.version) == condition.get("rowVersion").number()
        });
        if !holds {
            let current = conditions.iter().flat_map(|condition| {
                let (table, key) = name(condition);
                state.rows(&table, |known, row| known == key && row.value.is_some())
            });
            let mut answer = self.page(current.collect(), state.version);
            answer.status = 412;
            return answer;
        }
        state.version += 1;
        for put in body.get("puts").list() {
            let (table, key) = name(put);
            let value = from_base64(put.get("value").text());
            state.write(&table, &key, Some(String::from_utf8_lossy(&value).into_owned()));
        }
        for removed in body.get("remove").list() {
            let (table, key) = name(removed);
            state.write(&table, &key, None);
        }
        self.changed.notify_all();
        self.page(Vec::new(), state.version)
    }
}
