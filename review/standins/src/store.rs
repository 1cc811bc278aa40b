//! Stand-in for the platform's store: rows, transactions and feeds, as PROTOCOL.md describes them.

use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json;

#[derive(Debug, Clone)]
struct Row {
    /// Base64; none if the row was dropped.
    value: Option<String>,
    version: u64,
}

#[derive(Debug, Default)]
struct State {
    tables: HashMap<String, BTreeMap<String, Row>>,
    version: u64,
}

/// The store.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    start: Instant,
    /// Address.
    pub address: SocketAddr,
}

impl Store {
    /// Starts a store on a free loopback port.
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
            address,
        });
        let shared = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&shared);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row with a JSON text.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.lock().expect("no panic");
        state.version += 1;
        let row = Row { value: Some(base64(value.as_bytes())), version: state.version };
        state.tables.entry(table.to_owned()).or_default().insert(key.to_owned(), row);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(message)) = http::read(&mut reader) {
            let (path, query) = message.word(1).split_once('?').unwrap_or((message.word(1), ""));
            let query: HashMap<String, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(key, value)| (key.to_owned(), decode(value)))
                .collect();
            let (status, body) = match path {
                "/sesamewind/rows-get" => (200, self.rows(&query)),
                "/sesamewind/rows-feed" => (200, self.feed(&query)),
                "/sesamewind/rows-tx" => self.transact(&String::from_utf8_lossy(&message.body)),
                _ => (404, "{}".to_owned()),
            };
            let kind = [("Content-Type", "application/json")];
            if http::answer(&mut writer, status, &kind, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn now_ms(&self) -> u128 {
        1_000 + self.start.elapsed().as_millis()
    }

    fn rows(&self, query: &HashMap<String, String>) -> String {
        let state = self.state.lock().expect("no panic");
        let table = query.get("table").cloned().unwrap_or_default();
        let from = query.get("from").cloned().unwrap_or_default();
        let rows = state.tables.get(&table).into_iter().flatten();
        let rows = rows.filter(|(key, row)| **key >= from && row.value.is_some());
        let rows: Vec<String> = rows.map(|(key, row)| text(&table, key, row)).collect();
        format!(
            "{{\"rows\":[{}],\"hasMore\":false,\"rowVersion\":{},\"nowMs\":{}}}",
            rows.join(","),
            state.version,
            self.now_ms()
        )
    }

    fn feed(&self, query: &HashMap<String, String>) -> String {
        let table = query.get("table").cloned().unwrap_or_default();
        let number = |key| query.get(key).and_then(|text| text.parse().ok()).unwrap_or(0u64);
        let end = Instant::now() + Duration::from_millis(number("waitMs").min(30_000));
        let after = number("after");
        let mut state = self.state.lock().expect("no panic");
        loop {
            let rows = state.tables.get(&table).into_iter().flatten();
            let mut rows: Vec<_> = rows.filter(|(_, row)| row.version > after).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort_by_key(|(_, row)| row.version);
                let rows: Vec<String> =
                    rows.iter().map(|(key, row)| text(&table, key, row)).collect();
                return format!(
                    "{{\"rows\":[{}],\"rowVersion\":{},\"nowMs\":{}}}",
                    rows.join(","),
                    state.version,
                    self.now_ms()
                );
            }
            state = self.changed.wait_timeout(state, left).expect("no panic").0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = json::parse(body) else { return (400, "{}".to_owned()) };
        let mut state = self.state.lock().expect("no panic");
        let current = |state: &State, table: &str, key: &str| {
            let row = state.tables.get(table).and_then(|rows| rows.get(key)).cloned();
            row.filter(|row| row.value.is_some())
        };
        let conditions = call.list("precondition");
        let holds = conditions.iter().all(|condition| {
            let row = current(&state, &condition.text("table"), &condition.text("key"));
            row.map_or(0, |row| row.version) == condition.number("rowVersion")
        });
        if !holds {
            let rows = conditions.iter().filter_map(|condition| {
                let (table, key) = (condition.text("table"), condition.text("key"));
                current(&state, &table, &key).map(|row| text(&table, &key, &row))
            });
            let rows = rows.collect::<Vec<_>>().join(",");
            let (version, now) = (state.version, self.now_ms());
            let answer = format!("{{\"rows\":[{rows}],\"rowVersion\":{version},\"nowMs\":{now}}}");
            return (412, answer);
        }
        state.version += 1;
        let version = state.version;
        for put in call.list("puts") {
            let row = Row { value: Some(put.text("value")), version };
            state.tables.entry(put.text("table")).or_default().insert(put.text("key"), row);
        }
        self.changed.notify_all();
        (200, format!("{{\"rowVersion\":{version},\"nowMs\":{}}}", self.now_ms()))
    }
}

fn text(table: &str, key: &str, row: &Row) -> String {
    let rest = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    let version = row.version;
    format!(
        "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"rowVersion\":{version},{rest}}}"
    )
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            b'+' => bytes.push(b' '),
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut word = 0u32;
        for index in 0..3 {
            word = word << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index <= group.len() {
                text.push(DIGITS[(word >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
