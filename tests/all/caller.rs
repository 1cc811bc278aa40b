//! Sends requests as callers do and reads the responses.

use std::net::SocketAddr;

use futures_util::StreamExt;
use reqwest::{Client, Method, RequestBuilder};
use serde_json::Value;

use crate::deployment::DESK_KEY;

/// A model request.
#[derive(Debug, Clone)]
pub struct ModelRequest {
    /// Bearer key of the client account.
    pub account: &'static str,
    /// Idempotency key, if the caller may send the request again.
    pub key: Option<String>,
    /// Number of the attempt, if the caller counts attempts.
    pub attempt: Option<u32>,
    /// Route.
    pub route: &'static str,
    /// Prompt length in tokens.
    pub prompt: u32,
    /// Output length in tokens.
    pub output: u32,
    /// Whether to request the answer as a stream.
    pub stream: bool,
    /// Timeout sent to the daemon, in milliseconds.
    pub timeout_ms: Option<u64>,
}

impl Default for ModelRequest {
    fn default() -> Self {
        Self {
            account: DESK_KEY,
            key: None,
            attempt: None,
            route: "chat",
            prompt: 20,
            output: 8,
            stream: true,
            timeout_ms: None,
        }
    }
}

/// Response that a caller received.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallerResponse {
    /// HTTP status.
    pub status: u16,
    /// ID of the request, as reported by the daemon.
    pub id: String,
    /// Text of the answer.
    pub text: String,
    /// Whether the answer was received to its end.
    pub whole: bool,
    /// Problem report, if there was one.
    pub problem: Option<Value>,
    /// Value of `Retry-After`, if present.
    pub retry_after: Option<String>,
}

impl CallerResponse {
    /// Returns the error code of the problem.
    pub fn code(&self) -> Option<u64> {
        self.problem.as_ref()?.get("code")?.as_u64()
    }

    /// Returns the run state of the problem.
    pub fn run_state(&self) -> Option<&str> {
        self.problem.as_ref()?.get("run")?.as_str()
    }

    /// Asserts that the text is exactly the complete answer to this request.
    pub fn assert_whole(&self, output: u32) {
        assert!(self.whole, "the answer is not whole: {self:?}");
        let check = sesamewind_standins::answer::check(&self.id, output, &self.text);
        assert_eq!(check, sesamewind_standins::answer::Check::Whole, "{self:?}");
    }
}

impl ModelRequest {
    /// Returns a builder of the request to the daemon at `callers`.
    pub fn builder(&self, client: &Client, callers: SocketAddr) -> RequestBuilder {
        let body = serde_json::json!({
            "model": "assistant", "stream": self.stream, "max_tokens": self.output,
            "messages": [{"role": "user", "content": "question"}],
        });
        let mut request = client
            .post(format!("http://{callers}/v1/chat/completions"))
            .bearer_auth(self.account)
            .header("x-route", self.route)
            .header("x-prompt-tokens", self.prompt)
            .json(&body);
        if let Some(key) = &self.key {
            request = request.header("idempotency-key", key);
        }
        if let Some(attempt) = self.attempt {
            request = request.header("x-attempt", attempt);
        }
        if let Some(timeout) = self.timeout_ms {
            request = request.header("x-timeout-ms", timeout);
        }
        request
    }

    /// Sends the request to the daemon at `callers` and reads the response to its end.
    pub async fn send(&self, callers: SocketAddr) -> CallerResponse {
        let Ok(response) = self.builder(&Client::new(), callers).send().await else {
            return CallerResponse::default();
        };
        read(response, self.stream).await
    }
}

/// Calls a plain service through the daemon at `callers`.
pub async fn call(
    callers: SocketAddr,
    method: Method,
    path: &str,
    key: Option<&str>,
    attempt: Option<u32>,
) -> CallerResponse {
    let mut request = Client::new()
        .request(method, format!("http://{callers}/s/booking{path}"))
        .bearer_auth(DESK_KEY)
        .body("amount=10");
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    if let Some(attempt) = attempt {
        request = request.header("x-attempt", attempt);
    }
    match request.send().await {
        Ok(response) => read(response, false).await,
        Err(_) => CallerResponse::default(),
    }
}

/// Reads a response to its end.
pub async fn read(response: reqwest::Response, stream: bool) -> CallerResponse {
    let header = |name: &str| {
        response.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    let mut got = CallerResponse {
        status: response.status().as_u16(),
        id: header("x-request-id").unwrap_or_default(),
        retry_after: header("retry-after"),
        ..CallerResponse::default()
    };
    let problem = header("content-type").is_some_and(|kind| kind.contains("problem+json"));
    if problem {
        got.problem = response.json().await.ok();
        if let Some(id) = got.problem.as_ref().and_then(|body| body["request"].as_str()) {
            got.id = id.to_owned();
        }
        return got;
    }
    if stream {
        read_events(response, &mut got).await;
        return got;
    }
    let Ok(body) = response.text().await else { return got };
    got.whole = true;
    got.text = match serde_json::from_str::<Value>(&body) {
        Ok(json) => json["choices"][0]["message"]["content"].as_str().unwrap_or(&body).to_owned(),
        Err(_) => body,
    };
    got
}

async fn read_events(response: reqwest::Response, got: &mut CallerResponse) {
    let mut bytes = response.bytes_stream();
    let mut text = String::new();
    while let Some(Ok(chunk)) = bytes.next().await {
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            apply_event(&event, got);
        }
    }
}

fn apply_event(event: &str, got: &mut CallerResponse) {
    let Some((kind, data)) = event.trim_end().split_once("data: ") else { return };
    if data == "[DONE]" {
        got.whole = true;
        return;
    }
    let Ok(json) = serde_json::from_str::<Value>(data) else { return };
    if kind.contains("event: error") {
        got.problem = Some(json);
        return;
    }
    got.text.push_str(json["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
}
