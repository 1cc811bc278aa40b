//! The platform's store: rows of tables, a feed of changes, and transactions with conditions.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, Wire};
use crate::json::{self, Json};

/// Time that each call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

#[derive(Debug, Default)]
struct State {
    version: u64,
    /// Value in base64, none if the row was dropped, and version, by table and key.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
}

#[derive(Debug)]
struct Core {
    state: Mutex<State>,
    changed: Condvar,
    start: Instant,
}

/// Texts that are replaced in the values that one machine reads, so that it reaches each engine over a
/// path of its own.
type Paths = Vec<(String, String)>;

/// A running store.
#[derive(Debug, Clone)]
pub struct Store {
    core: Arc<Core>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let core = Arc::new(Core {
            state: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
        });
        let address = listen(&core, Paths::new())?;
        Ok(Self { core, address })
    }

    /// Returns a further address of the store. Whoever reads there finds the second text of each pair in
    /// place of the first one.
    pub fn address_with_paths(&self, paths: Paths) -> std::io::Result<SocketAddr> {
        listen(&self.core, paths)
    }

    /// Writes a row as the operator or an engine does; the write is acknowledged when this returns.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.core.write(table, key, Some(json::base64(value.as_bytes())));
    }

    /// Drops a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.core.write(table, key, None);
    }

    /// Returns the number of rows of a table.
    pub fn count(&self, table: &str) -> usize {
        let state = self.core.state.lock().expect("no thread panics with the lock");
        state
            .rows
            .iter()
            .filter(|((known, _), (value, _))| known == table && value.is_some())
            .count()
    }
}

fn listen(core: &Arc<Core>, paths: Paths) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (core, paths) = (Arc::clone(core), Arc::new(paths));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (core, paths) = (Arc::clone(&core), Arc::clone(&paths));
            thread::spawn(move || {
                let mut wire = Wire::new(stream);
                while let Ok(call) = wire.read() {
                    thread::sleep(CALL_TIME);
                    let (status, body) = core.handle(&call, &paths);
                    let kind = [("Content-Type", "application/json")];
                    if wire.answer(status, &kind, body.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

impl Core {
    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.state.lock().expect("no thread panics with the lock");
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.to_owned(), key.to_owned()), (value, version));
        self.changed.notify_all();
    }

    fn handle(&self, call: &Message, paths: &Paths) -> (&'static str, String) {
        let target = call.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/sesamewind/rows-get" => {
                let state = self.state.lock().expect("no thread panics with the lock");
                let from = text("from");
                let rows = rows(&state, &text("table"), paths, |key, value, _| {
                    value.is_some() && key >= from.as_str()
                });
                ("200 OK", self.page(&rows, state.version))
            }
            "/sesamewind/rows-feed" => {
                let after = text("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(text("waitMs").parse().unwrap_or(0));
                ("200 OK", self.feed(&text("table"), paths, after, wait))
            }
            "/sesamewind/rows-tx" => self.transact(&String::from_utf8_lossy(&call.body)),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn page(&self, rows: &[String], version: u64) -> String {
        let now = self.start.elapsed().as_millis();
        let rows = rows.join(",");
        format!("{{\"rows\":[{rows}],\"hasMore\":false,\"rowVersion\":{version},\"nowMs\":{now}}}")
    }

    fn feed(&self, table: &str, paths: &Paths, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().expect("no thread panics with the lock");
        loop {
            let rows = rows(&state, table, paths, |_, _, version| version > after);
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return self.page(&rows, state.version);
            }
            state = self.changed.wait_timeout(state, left).expect("no thread panics").0;
        }
    }

    fn transact(&self, body: &str) -> (&'static str, String) {
        let Some(body) = json::parse(body) else { return ("400 Bad Request", "{}".to_owned()) };
        let mut state = self.state.lock().expect("no thread panics with the lock");
        let name = |entry: &Json| {
            (entry.get("table").text().to_owned(), entry.get("key").text().to_owned())
        };
        let conditions = body.get("precondition").list();
        let holds = conditions.iter().all(|condition| {
            let row = state.rows.get(&name(condition)).filter(|(value, _)| value.is_some());
            let version = row.map_or(0, |(_, version)| *version);
            condition.get("rowVersion").number() == version as f64
        });
        if !holds {
            let current: Vec<String> = conditions
                .iter()
                .flat_map(|condition| {
                    let (table, wanted) = name(condition);
                    rows(&state, &table, &Paths::new(), |key, value, _| {
                        key == wanted && value.is_some()
                    })
                })
                .collect();
            let version = state.version;
            return ("412 Precondition Failed", self.page(&current, version));
        }
        state.version += 1;
        let version = state.version;
        for put in body.get("puts").list() {
            let value = put.get("value").text().to_owned();
            state.rows.insert(name(put), (Some(value), version));
        }
        for dropped in body.get("remove").list() {
            state.rows.insert(name(dropped), (None, version));
        }
        self.changed.notify_all();
        ("200 OK", self.page(&[], version))
    }
}

fn rows(
    state: &State,
    table: &str,
    paths: &Paths,
    wanted: impl Fn(&str, &Option<String>, u64) -> bool,
) -> Vec<String> {
    let mut found: Vec<_> = state
        .rows
        .iter()
        .filter(|((known, key), (value, version))| known == table && wanted(key, value, *version))
        .collect();
    found.sort_by_key(|((_, key), (_, version))| (*version, key.clone()));
    let encode = |((table, key), (value, version)): (&(String, String), &(Option<String>, u64))| {
        let content = match value {
            Some(value) => format!("\"value\":\"{}\"", with_paths(value, paths)),
            None => "\"deleted\":true".to_owned(),
        };
        let (table, key) = (json::quote(table), json::quote(key));
        format!(
            "{{\"table\":{table},\"part\":\"\",\"key\":{key},\"rowVersion\":{version},{content}}}"
        )
    };
    found.into_iter().map(encode).collect()
}

/// Replaces texts in a value, which is in base64.
fn with_paths(value: &str, paths: &Paths) -> String {
    if paths.is_empty() {
        return value.to_owned();
    }
    let mut text = String::from_utf8_lossy(&json::from_base64(value)).into_owned();
    for (from, to) in paths {
        text = text.replace(from, to);
    }
    json::base64(text.as_bytes())
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = bytes.get(at + 1..at + 3).and_then(|pair| std::str::from_utf8(pair).ok());
        match (bytes[at], digits.and_then(|pair| u8::from_str_radix(pair, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 2;
            }
            (b'+', _) => out.push(b' '),
            (byte, _) => out.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}
