//! HTTP calls of callers, and the check of their answers.

use std::time::Duration;

use reqwest::{RequestBuilder, Response};
use serde_json::{Value, json};
use sesamewind_protocol::{AccountId, RequestKey, RunState};
use sesamewind_standins::answer::{self, Check};
use tokio::time::Instant;

use crate::received::{Answer, Refusal};
use crate::trace::Entry;

/// Result of one HTTP call.
#[derive(Debug)]
pub struct CallResult {
    /// Time from the start of the call to the first token.
    pub first_token: Option<Duration>,
    /// The answer or failure.
    pub answer: Answer,
    /// Whether the request did not run: the connection failed, or the response says so.
    pub not_run: bool,
}

impl CallResult {
    fn new(answer: Answer) -> Self {
        Self { first_token: None, answer, not_run: false }
    }
}

/// Returns the request's identifier as targets see it, which is the same for all attempts.
pub fn request_key(entry: &Entry) -> RequestKey {
    RequestKey::derive(&AccountId::new(&entry.account), &entry.key)
}

/// Whether `entry` calls a model service.
pub fn is_model(entry: &Entry) -> bool {
    plain_route(entry).is_none()
}

/// Returns method and path of a call to a plain service; `None` for a model call.
pub fn plain_route(entry: &Entry) -> Option<(&str, &str)> {
    entry.route.split_once(' ').filter(|(_, path)| path.starts_with('/'))
}

/// Returns the body of a model call.
pub fn model_body(entry: &Entry) -> String {
    json!({
        "model": entry.service,
        "stream": true,
        "max_tokens": entry.output_tokens,
        "messages": [{"role": "user", "content": entry.key}],
    })
    .to_string()
}

/// Sends `request` and reads the answer to `entry`. After `timeout` the answer counts as lost.
pub async fn call(entry: &Entry, request: RequestBuilder, timeout: Duration) -> CallResult {
    let start = Instant::now();
    let mut first_token = None;
    let read = send_and_read(entry, request, start, &mut first_token);
    let result = tokio::time::timeout(timeout, read).await;
    let mut result = result.unwrap_or_else(|_| CallResult::new(Answer::Lost));
    result.first_token = first_token;
    result
}

async fn send_and_read(
    entry: &Entry,
    request: RequestBuilder,
    start: Instant,
    first_token: &mut Option<Duration>,
) -> CallResult {
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) => {
            let not_run = error.is_connect();
            return CallResult { not_run, ..CallResult::new(Answer::Lost) };
        }
    };
    if !response.status().is_success() {
        return read_refusal(response).await;
    }
    if is_model(entry) {
        return CallResult::new(read_stream(entry, response, start, first_token).await);
    }
    let Ok(body) = response.text().await else { return CallResult::new(Answer::Lost) };
    let request = request_key(entry).to_string();
    let (method, path) = plain_route(entry).unwrap_or_default();
    let is_whole = body == answer::service_body(&request, method, path);
    CallResult::new(if is_whole { Answer::Whole } else { Answer::Wrong })
}

async fn read_refusal(response: Response) -> CallResult {
    let status = response.status().as_u16();
    let not_run = response.headers().contains_key("x-not-run");
    let Ok(body) = response.text().await else { return CallResult::new(Answer::Lost) };
    let body: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
    let mut refusal = parse_refusal(&body);
    refusal.status = status;
    CallResult { not_run, ..CallResult::new(Answer::Refused(refusal)) }
}

fn parse_refusal(body: &Value) -> Refusal {
    let code = body["code"].as_u64().and_then(|code| u16::try_from(code).ok()).unwrap_or(0);
    let status = body["status"].as_u64().and_then(|status| u16::try_from(status).ok());
    let run = match body["run"].as_str() {
        Some("not-run") => RunState::NotRun,
        Some("ran") => RunState::Ran,
        _ => RunState::Unknown,
    };
    Refusal { status: status.unwrap_or(0), code, run }
}

/// Reads server-sent events until the end marker, an error within the stream, or the end of the
/// connection.
async fn read_stream(
    entry: &Entry,
    mut response: Response,
    start: Instant,
    first_token: &mut Option<Duration>,
) -> Answer {
    let mut events = EventStream::default();
    loop {
        let Ok(Some(bytes)) = response.chunk().await else { return Answer::Lost };
        events.feed(&bytes);
        if first_token.is_none() && !events.text.is_empty() {
            *first_token = Some(start.elapsed());
        }
        if let Some(refusal) = events.refusal.take() {
            return Answer::Refused(refusal);
        }
        if events.done {
            return check_answer(entry, &events.text);
        }
    }
}

fn check_answer(entry: &Entry, text: &str) -> Answer {
    let request = request_key(entry).to_string();
    match answer::check(&request, entry.output_tokens, text) {
        Check::Whole => Answer::Whole,
        Check::Partial(_) | Check::Wrong(_) => Answer::Wrong,
    }
}

/// Incremental parser for the server-sent events of a chat completion.
#[derive(Debug, Default)]
pub struct EventStream {
    buffer: Vec<u8>,
    /// Answer text received so far.
    pub text: String,
    /// Whether the end marker was received.
    pub done: bool,
    /// Refusal or failure that was reported within the stream.
    pub refusal: Option<Refusal>,
}

impl EventStream {
    /// Parses the next bytes of the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            self.parse_line(String::from_utf8_lossy(&line).trim_end());
        }
    }

    fn parse_line(&mut self, line: &str) {
        let Some(data) = line.strip_prefix("data:") else { return };
        let data = data.trim_start();
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let chunk: Value = serde_json::from_str(data).unwrap_or(Value::Null);
        let error_body = if chunk["error"].is_object() { &chunk["error"] } else { &chunk };
        if error_body["code"].is_u64() {
            self.refusal = Some(parse_refusal(error_body));
        }
        self.text += chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
    }
}
