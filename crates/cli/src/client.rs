//! HTTP client of the operators' API.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use reqwest::{RequestBuilder, Response};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sesamewind_protocol::operator::{Accepted, Conflict, Faulty, SHEET_PATH, Unavailable};

use crate::{Failure, Reply, Submission};

/// Timeout for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a call other than a submission.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of a submission; longer than the time for which an instance tries to reach the store.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest part of an answer that an error message quotes, in characters.
const MAX_SHOWN_CHARS: usize = 200;

/// A client that calls the instance at one of several addresses, and the next one if that fails.
#[derive(Debug)]
pub(crate) struct Client {
    http: reqwest::Client,
    addresses: Vec<SocketAddr>,
    /// Index of the address in use.
    current: usize,
    token: String,
}

/// The members of a problem+json answer that the tool shows.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Problem {
    code: Option<u16>,
    reason: String,
    title: String,
}

impl Client {
    /// Creates a client for `addresses`, which must not be empty.
    pub(crate) fn new(addresses: Vec<SocketAddr>, token: String) -> Result<Self, Report<Failure>> {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(CALL_TIMEOUT)
            .no_proxy()
            .build()
            .change_context(Failure::Usage("no HTTP client could be made".to_owned()))?;
        Ok(Self { http, addresses, current: 0, token })
    }

    /// Gets a JSON body. Tries the next address if one is unreachable, each at most once.
    pub(crate) async fn get<T: DeserializeOwned>(
        &mut self,
        path: &str,
    ) -> Result<T, Report<Failure>> {
        self.try_each(|client| client.http.get(client.url(path))).await
    }

    /// Posts a question as a JSON body, which changes nothing at the instance. Tries the next address
    /// if one is unreachable, each at most once.
    pub(crate) async fn ask<Q: Serialize, T: DeserializeOwned>(
        &mut self,
        path: &str,
        question: &Q,
    ) -> Result<T, Report<Failure>> {
        self.try_each(|client| client.http.post(client.url(path)).json(question)).await
    }

    async fn try_each<T: DeserializeOwned>(
        &mut self,
        request: impl Fn(&Self) -> RequestBuilder,
    ) -> Result<T, Report<Failure>> {
        let mut result = self.call(request(self)).await;
        for _ in 1..self.addresses.len() {
            let Err(report) = &result else { break };
            if report.current_context().exit() != crate::Exit::Unreachable {
                break;
            }
            self.rotate();
            result = self.call(request(self)).await;
        }
        result
    }

    /// Switches to the next address.
    pub(crate) fn rotate(&mut self) {
        self.current = (self.current + 1) % self.addresses.len();
    }

    /// Posts a sheet to the current address, without retries.
    pub(crate) async fn submit(
        &self,
        submission: &Submission,
        csv: &[u8],
    ) -> Result<Reply, Report<Failure>> {
        // The identifier has only characters that need no escaping in a URL.
        let Submission { id, base, .. } = submission;
        let url = format!("{}?base={base}&submission={id}", self.url(SHEET_PATH));
        let request = self.http.post(url).timeout(SUBMIT_TIMEOUT);
        let request = request.header("content-type", "text/csv").body(csv.to_vec());
        let response = match self.send(request).await {
            Ok(response) => response,
            Err(report) => {
                return match report.current_context() {
                    Failure::Unreachable(_) => Ok(Reply::NotProcessed),
                    _ => Ok(Reply::Lost),
                };
            }
        };
        let status = response.status().as_u16();
        let Ok(body) = response.bytes().await else { return Ok(Reply::Lost) };
        match status {
            200 => Ok(Reply::Accepted(self.decode::<Accepted>(&body)?)),
            409 => Ok(Reply::Conflict(self.decode::<Conflict>(&body)?)),
            422 => Ok(Reply::Faulty(self.decode::<Faulty>(&body)?)),
            503 => match serde_json::from_slice::<Unavailable>(&body) {
                Ok(unavailable) => Ok(Reply::Unavailable(unavailable.accepted)),
                // An instance that is not ready or is stopping did not process the request.
                Err(_) => Ok(Reply::NotProcessed),
            },
            500 | 502 | 504 => Ok(Reply::Lost),
            _ => Ok(Reply::Refused(refusal_text(status, &body))),
        }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        request: RequestBuilder,
    ) -> Result<T, Report<Failure>> {
        let response = self.send(request).await?;
        let status = response.status().as_u16();
        let body = response.bytes().await.change_context_lazy(|| Failure::Lost(self.address()))?;
        if status != 200 {
            return Err(Report::new(Failure::Refused(refusal_text(status, &body))));
        }
        self.decode(&body)
    }

    async fn send(&self, request: RequestBuilder) -> Result<Response, Report<Failure>> {
        let sent = request.bearer_auth(&self.token).send().await;
        sent.map_err(|err| {
            let failure = match err.is_connect() {
                true => Failure::Unreachable(self.address()),
                false => Failure::Lost(self.address()),
            };
            // The failure already names the address, so the URL is left out.
            Report::new(err.without_url()).change_context(failure)
        })
    }

    fn decode<T: DeserializeOwned>(&self, body: &[u8]) -> Result<T, Report<Failure>> {
        serde_json::from_slice(body).change_context_lazy(|| Failure::InvalidAnswer(self.address()))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address())
    }

    fn address(&self) -> String {
        self.addresses[self.current].to_string()
    }
}

/// Returns the code and reason of a refusal, or the status and text of an answer without them.
fn refusal_text(status: u16, body: &[u8]) -> String {
    let problem: Problem = serde_json::from_slice(body).unwrap_or_default();
    if let Some(code) = problem.code {
        let reason = if problem.reason.is_empty() { problem.title } else { problem.reason };
        return format!("{code} {reason}").trim_end().to_owned();
    }
    let text = String::from_utf8_lossy(body);
    let shown: String = text.chars().take(MAX_SHOWN_CHARS).collect();
    format!("HTTP status {status} {}", shown.trim()).trim_end().to_owned()
}
