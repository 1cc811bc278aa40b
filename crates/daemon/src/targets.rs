//! Client for targets: model streams, plain calls, load reports, cache events and orders.
//!
//! Each target has a separate connection pool, so that a pool whose connections no longer respond
//! can be dropped as a whole without affecting other targets.

use std::collections::HashMap;
use std::net::IpAddr;
use std::pin::Pin;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use reqwest::{Body, Client};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sesamewind_platform::{ReadError, read_bounded};
use sesamewind_protocol::target::{CacheEvent, LoadReport};
use sesamewind_protocol::{TargetId, VersionId};

use crate::answer::CHUNK_OVERHEAD_BYTES;

/// Header with the identity of the request, sent to a target.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header with the version that has to serve the request.
pub const VERSION: HeaderName = HeaderName::from_static("x-version");
/// Header with the stream's id, in a target's answer.
pub const STREAM_ID: HeaderName = HeaderName::from_static("x-stream-id");
/// Header that marks a refusal issued before the target ran anything.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// Data of the event that ends a model stream.
const DONE_DATA: &str = "[DONE]";

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest answer to a request, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Largest event of a model's stream, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Largest load report or list of cache events, in bytes.
const MAX_REPORT_BYTES: usize = 4 << 20;

/// Error of a report that a target was asked for.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// There was no answer in time, or it reports a failure.
    #[error("no report: {0}")]
    NoAnswer(#[from] reqwest::Error),
    /// The answer broke off, or is too large.
    #[error("report could not be read: {0}")]
    Read(#[from] ReadError),
    /// The report can't be decoded.
    #[error("report could not be decoded: {0}")]
    Undecodable(#[from] serde_json::Error),
}

/// Error of a dispatch that did not lead to an answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DispatchError {
    /// No connection could be established, so nothing was sent.
    #[error("no connection to the target")]
    Connect,
    /// The target refused before running anything.
    #[error("target refused before running")]
    NotRun,
    /// The target answered with a failure.
    #[error("target failed with status {0}")]
    Failed(u16),
    /// The connection broke after bytes may have been sent.
    #[error("connection broke after dispatch")]
    Broken,
}

/// An item of a model's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamItem {
    /// A chunk, and the index of the token after it if the target reports one.
    Chunk(Bytes, Option<u64>),
    /// The target's end marker.
    Done,
}

/// The answer of a model, which is arriving.
pub struct ModelStream {
    /// Id of the stream at its target, used to resume and cancel it.
    pub id: Option<String>,
    events: Pin<Box<dyn Stream<Item = StreamItem> + Send + Sync>>,
}

impl ModelStream {
    /// Returns the next item, or `None` if the connection ended or broke.
    pub async fn next(&mut self) -> Option<StreamItem> {
        self.events.next().await
    }
}

/// The answer of a plain service, which is arriving.
pub struct PlainAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Media type.
    pub content: String,
    body: Pin<Box<dyn Stream<Item = reqwest::Result<Bytes>> + Send + Sync>>,
    /// Bytes that the answer may still take.
    allowance: usize,
}

impl PlainAnswer {
    /// Returns the next chunk, or `None` at the end.
    ///
    /// # Errors
    ///
    /// Returns [`DispatchError::Broken`] if the connection broke before the end, or if the answer is
    /// too large.
    pub async fn next(&mut self) -> Result<Option<Bytes>, DispatchError> {
        let next = self.body.next().await.transpose().map_err(|_| DispatchError::Broken)?;
        let Some(chunk) = next else { return Ok(None) };
        let taken = chunk.len() + CHUNK_OVERHEAD_BYTES;
        self.allowance = self.allowance.checked_sub(taken).ok_or(DispatchError::Broken)?;
        Ok(Some(chunk))
    }
}

/// An order to a target.
#[derive(Debug, Clone, Serialize)]
pub struct OrderBody<'a> {
    /// Fencing number of the lease under which the order was given.
    pub fence: u64,
    /// Kind of the order: `load` or `unload`.
    pub order: &'a str,
    /// The version to load or unload.
    pub version: &'a VersionId,
}

#[derive(Debug, Deserialize)]
struct EventsBody {
    events: Vec<CacheEvent>,
}

/// A target and its address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetAddress {
    /// The target.
    pub target: TargetId,
    /// Its address, as `ip:port`.
    pub address: String,
}

impl TargetAddress {
    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

/// Clients for all targets.
#[derive(Debug)]
pub struct Targets {
    pools: Mutex<HashMap<TargetId, Client>>,
    source_ip: Option<IpAddr>,
    connect_timeout: Duration,
}

impl Targets {
    /// Creates clients whose connections use the local address `source_ip`, if any.
    pub fn new(source_ip: Option<IpAddr>, connect_timeout: Duration) -> Self {
        Self { pools: Mutex::default(), source_ip, connect_timeout }
    }

    /// Drops the connections to the target. The next call opens a new one.
    pub fn drop_connections(&self, target: &TargetId) {
        self.lock().remove(target);
    }

    /// Starts a model request.
    ///
    /// # Errors
    ///
    /// Returns a [`DispatchError`] that says whether the request may have run.
    pub async fn start_model(
        &self,
        at: &TargetAddress,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<ModelStream, DispatchError> {
        let request = self.pool(&at.target).post(at.url(path)).headers(headers).body(body);
        let response = request.send().await.map_err(|error| dispatch_error(&error))?;
        let response = check_status(response)?;
        Ok(into_stream(response))
    }

    /// Resumes a model stream from token `from` over a new connection.
    ///
    /// # Errors
    ///
    /// Returns [`DispatchError`]. The stream may still exist unless the target answered.
    pub async fn resume_model(
        &self,
        at: &TargetAddress,
        stream: &str,
        from: u64,
    ) -> Result<ModelStream, DispatchError> {
        let url = at.url(&format!("/v1/streams/{stream}?from={from}"));
        let response =
            self.new_client().get(url).send().await.map_err(|error| dispatch_error(&error))?;
        let mut resumed = into_stream(check_status(response)?);
        resumed.id.get_or_insert_with(|| stream.to_owned());
        Ok(resumed)
    }

    /// Cancels a model stream.
    ///
    /// # Errors
    ///
    /// Returns the library's error if the target did not answer in time.
    pub async fn cancel_model(
        &self,
        at: &TargetAddress,
        stream: &str,
        timeout: Duration,
    ) -> reqwest::Result<()> {
        let url = at.url(&format!("/v1/streams/{stream}"));
        self.pool(&at.target).delete(url).timeout(timeout).send().await?;
        Ok(())
    }

    /// Calls a plain service.
    ///
    /// # Errors
    ///
    /// Returns a [`DispatchError`] that says whether the call may have run.
    pub async fn call_plain(
        &self,
        at: &TargetAddress,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Body,
    ) -> Result<PlainAnswer, DispatchError> {
        let request =
            self.pool(&at.target).request(method, at.url(path)).headers(headers).body(body);
        let response = request.send().await.map_err(|error| dispatch_error(&error))?;
        if is_not_run(&response) {
            return Err(DispatchError::NotRun);
        }
        // HTTP defines no others, and 101 is no answer to a request for the same protocol.
        if !(200..600).contains(&response.status().as_u16()) {
            return Err(DispatchError::Broken);
        }
        let content = header_text(response.headers(), &http::header::CONTENT_TYPE);
        Ok(PlainAnswer {
            status: response.status(),
            content: content.unwrap_or_default(),
            body: Box::pin(response.bytes_stream()),
            allowance: MAX_ANSWER_BYTES,
        })
    }

    /// Reads the target's load report.
    ///
    /// # Errors
    ///
    /// Returns a [`ReportError`] if there was no report in time, or one that can't be used.
    pub async fn load(
        &self,
        at: &TargetAddress,
        timeout: Duration,
    ) -> Result<LoadReport, ReportError> {
        report(self.pool(&at.target).get(at.url("/load")).timeout(timeout)).await
    }

    /// Reads the load report over a new connection, to tell an unresponsive target from a slow one.
    ///
    /// # Errors
    ///
    /// Returns a [`ReportError`] if there was no report in time, or one that can't be used.
    pub async fn probe(
        &self,
        at: &TargetAddress,
        timeout: Duration,
    ) -> Result<LoadReport, ReportError> {
        report(self.new_client().get(at.url("/load")).timeout(timeout)).await
    }

    /// Reads the cache events with a sequence number above `after`.
    ///
    /// # Errors
    ///
    /// Returns a [`ReportError`] if there was no answer in time, or one that can't be used.
    pub async fn events(
        &self,
        at: &TargetAddress,
        after: u64,
        timeout: Duration,
    ) -> Result<Vec<CacheEvent>, ReportError> {
        let url = at.url(&format!("/events?after={after}"));
        let body: EventsBody = report(self.pool(&at.target).get(url).timeout(timeout)).await?;
        Ok(body.events)
    }

    /// Sends an order. The returned status says whether the target accepted it.
    ///
    /// # Errors
    ///
    /// Returns the library's error if there was no answer in time; the order may have arrived.
    pub async fn order(
        &self,
        at: &TargetAddress,
        order: &OrderBody<'_>,
        timeout: Duration,
    ) -> reqwest::Result<StatusCode> {
        let request = self.pool(&at.target).post(at.url("/orders")).timeout(timeout).json(order);
        Ok(request.send().await?.status())
    }

    fn pool(&self, target: &TargetId) -> Client {
        self.lock().entry(target.clone()).or_insert_with(|| self.new_client()).clone()
    }

    /// Creates a client with an empty pool. The library's retries are disabled, because only the
    /// scheduler decides whether a request may be dispatched again.
    fn new_client(&self) -> Client {
        Client::builder()
            .connect_timeout(self.connect_timeout)
            .local_address(self.source_ip)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .tcp_nodelay(true)
            .retry(reqwest::retry::never())
            .redirect(reqwest::redirect::Policy::none())
            .no_proxy()
            .build()
            .unwrap_or_default()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<TargetId, Client>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn dispatch_error(error: &reqwest::Error) -> DispatchError {
    if error.is_connect() { DispatchError::Connect } else { DispatchError::Broken }
}

fn is_not_run(response: &reqwest::Response) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE && response.headers().contains_key(NOT_RUN)
}

fn check_status(response: reqwest::Response) -> Result<reqwest::Response, DispatchError> {
    if is_not_run(&response) {
        return Err(DispatchError::NotRun);
    }
    if !response.status().is_success() {
        return Err(DispatchError::Failed(response.status().as_u16()));
    }
    Ok(response)
}

/// Sends a request for a report and reads the answer.
async fn report<T: DeserializeOwned>(request: reqwest::RequestBuilder) -> Result<T, ReportError> {
    let response = request.send().await?.error_for_status()?;
    Ok(serde_json::from_slice(&read_bounded(response, MAX_REPORT_BYTES).await?)?)
}

/// Bytes of a stream of events up to the end of the last whole one. The parser of events begins anew with
/// each part of an event, so it gets whole ones only.
#[derive(Debug, Default)]
struct EventBuffer {
    pending: Vec<u8>,
    total: usize,
    /// Whether the current line has no bytes so far.
    is_line_empty: bool,
}

impl EventBuffer {
    /// Adds bytes and returns the whole events, possibly none; `None` if the stream or an event is too
    /// large.
    fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let before = self.pending.len();
        self.total += bytes.len();
        self.pending.extend_from_slice(bytes);
        let mut whole = 0;
        for (at, byte) in (before + 1..).zip(bytes) {
            match byte {
                b'\r' => {}
                b'\n' if self.is_line_empty => whole = at,
                byte => self.is_line_empty = *byte == b'\n',
            }
        }
        let rest = self.pending.split_off(whole);
        let events = std::mem::replace(&mut self.pending, rest);
        let is_small = self.pending.len() <= MAX_EVENT_BYTES && self.total <= MAX_ANSWER_BYTES;
        is_small.then(|| events.into())
    }
}

fn into_stream(response: reqwest::Response) -> ModelStream {
    let id = header_text(response.headers(), &STREAM_ID);
    let bounded = response.bytes_stream().scan(EventBuffer::default(), |buffer, chunk| {
        std::future::ready(chunk.map(|bytes| buffer.push(&bytes)).transpose())
    });
    let events = bounded.eventsource();
    let items = events
        .take_while(|event| std::future::ready(event.is_ok()))
        .filter_map(|event| std::future::ready(event.ok().map(into_item)));
    ModelStream { id, events: Box::pin(items) }
}

fn into_item(event: eventsource_stream::Event) -> StreamItem {
    if event.data == DONE_DATA {
        return StreamItem::Done;
    }
    let next = event.id.parse().ok();
    StreamItem::Chunk(Bytes::from(event.data), next)
}

fn header_text(headers: &HeaderMap<HeaderValue>, name: &HeaderName) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}
