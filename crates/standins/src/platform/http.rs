//! HTTP interface of the platform.

use std::sync::Arc;

use http::{Method, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};
use warp::reply::Response;

use super::state::{CallEntry, CallKind, Core, Row, State};
use crate::clock::wall_now;
use crate::server::{self, Call, Handler};

/// A write that takes effect only if the row has the expected revision.
#[derive(Debug, Deserialize)]
struct Write {
    expected: u64,
    value: Value,
}

impl Handler for Core {
    async fn handle(self: Arc<Self>, call: Call) -> Response {
        if call.path == "/log" {
            return server::json(StatusCode::OK, &self.state().calls);
        }
        let at = wall_now();
        let kind = kind(&call);
        let delay = self.state().delay;
        if !delay.is_zero() {
            sleep(delay).await;
        }
        let (response, lost) = answer(&mut self.state(), &call, kind, at);
        if lost {
            if let Some(peer) = call.peer {
                let _ = self.close_sender.send(peer);
            }
            return std::future::pending().await;
        }
        response
    }
}

fn kind(call: &Call) -> CallKind {
    match (&call.method, call.path.split('/').nth(1)) {
        (&Method::GET, Some("list")) => CallKind::List,
        (&Method::GET, Some("table")) => CallKind::Read,
        (&Method::PUT, Some("table")) => CallKind::Write,
        (&Method::GET, Some("objects")) => CallKind::GetObject,
        (&Method::PUT, Some("objects")) => CallKind::PutObject,
        _ => CallKind::Other,
    }
}

fn answer(
    state: &mut State,
    call: &Call,
    kind: CallKind,
    at: sesamewind_protocol::WallTime,
) -> (Response, bool) {
    let allowed = state.charge_call(Instant::now());
    let response = if state.down {
        server::text(StatusCode::SERVICE_UNAVAILABLE, "outage")
    } else if !allowed {
        server::text(StatusCode::TOO_MANY_REQUESTS, "rate limit")
    } else {
        handle_call(state, call, kind)
    };
    state.calls.push(CallEntry { at, kind, status: response.status().as_u16() });
    let lost =
        kind == CallKind::Write && response.status() == StatusCode::OK && state.pending_losses > 0;
    if lost {
        state.pending_losses -= 1;
    }
    (response, lost)
}

fn handle_call(state: &mut State, call: &Call, kind: CallKind) -> Response {
    let key = call.path.splitn(3, '/').nth(2).map(percent_decode).unwrap_or_default();
    match kind {
        CallKind::List => server::json(StatusCode::OK, &state.listing(Instant::now())),
        CallKind::Read if key.is_empty() => rows(state, call),
        CallKind::Read => match state.rows.get(&key) {
            Some(row) => server::json(StatusCode::OK, row),
            None => server::text(StatusCode::NOT_FOUND, "no such row"),
        },
        CallKind::Write => write(state, &key, &call.body),
        CallKind::GetObject => match state.objects.get(&key) {
            Some(bytes) => Response::new(bytes.clone().into()),
            None => server::text(StatusCode::NOT_FOUND, "no such object"),
        },
        CallKind::PutObject => {
            state.objects.insert(key, call.body.clone());
            server::text(StatusCode::OK, "")
        }
        CallKind::Other => server::text(StatusCode::NOT_FOUND, "no such endpoint"),
    }
}

fn rows(state: &State, call: &Call) -> Response {
    let prefix = percent_decode(call.param("prefix").unwrap_or_default());
    let row = |(key, row): (&String, &Row)| json!({"key": key, "revision": row.revision, "value": row.value});
    let found: Vec<Value> =
        state.rows.iter().filter(|(key, _)| key.starts_with(&prefix)).map(row).collect();
    server::json(StatusCode::OK, &json!({ "rows": found }))
}

fn write(state: &mut State, key: &str, body: &[u8]) -> Response {
    let write: Write = match serde_json::from_slice(body) {
        Ok(write) => write,
        Err(error) => return server::text(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let present = state.rows.get(key);
    if present.map_or(0, |row| row.revision) != write.expected {
        let missing = Row { revision: 0, value: Value::Null };
        return server::json(StatusCode::CONFLICT, present.unwrap_or(&missing));
    }
    let revision = state.put(key, write.value);
    server::json(StatusCode::OK, &json!({ "revision": revision }))
}

/// Decodes percent-encoded text; invalid escapes stay unchanged.
fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let escape = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(escape.unwrap_or(bytes[at]));
        at += if escape.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
