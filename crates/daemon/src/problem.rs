//! Error answers to callers: `problem+json` with a numbered code and the run state.

use std::time::Duration;

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::{Deserialize, Serialize};
use sesamewind_protocol::{Code, RunState};

/// Media type of an error answer.
pub const PROBLEM_JSON: &str = "application/problem+json";

/// An error that ends a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// The numbered code.
    pub code: Code,
    /// Whether the request has run, as far as known.
    pub run: RunState,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
    /// Details specific to this request.
    pub detail: String,
}

/// The body of an error answer.
#[derive(Debug, Serialize)]
struct ProblemBody<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: &'a str,
    status: u16,
    code: u16,
    reason: &'a str,
    run: &'a str,
    detail: &'a str,
    request: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Problem {
    /// Creates the problem of a request that this instance refused before any dispatch.
    pub fn before_dispatch(code: Code, detail: impl Into<String>) -> Self {
        Self { code, run: RunState::NotRun, retry_after: None, detail: detail.into() }
    }

    /// Creates the problem of a request that may have run.
    pub fn unknown(code: Code, detail: impl Into<String>) -> Self {
        Self { code, run: RunState::Unknown, retry_after: None, detail: detail.into() }
    }

    /// Returns the problem as JSON text. `request` is the identity of the caller's request.
    pub fn to_json(&self, request: &str) -> String {
        let body = ProblemBody {
            kind: format!("urn:sesamewind:code:{}", self.code.number()),
            title: self.code.slug(),
            status: self.code.status(),
            code: self.code.number(),
            reason: self.code.slug(),
            run: self.run.as_str(),
            detail: &self.detail,
            request,
            retry_after_ms: self.retry_after.map(millis),
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Returns the problem as an HTTP response. `request` is the identity of the caller's request.
    pub fn to_response<B: From<String>>(&self, request: &str) -> Response<B> {
        let mut response = Response::new(B::from(self.to_json(request)));
        *response.status_mut() =
            StatusCode::from_u16(self.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_JSON));
        if let Some(after) = self.retry_after {
            let seconds = after.as_millis().div_ceil(1_000).max(1);
            let value = HeaderValue::from_str(&seconds.to_string());
            headers.insert(RETRY_AFTER, value.unwrap_or(HeaderValue::from_static("1")));
        }
        response
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
