//! Client for targets: model streams, plain calls, load reports, cache events and orders.
//!
//! Every target has a connection pool of its own, so that a pool whose connections have gone silent
//! can be dropped as a whole without touching another target's.

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
use serde::{Deserialize, Serialize};
use sesamewind_protocol::target::{CacheEvent, LoadReport};
use sesamewind_protocol::{TargetId, VersionId};

/// Names the request to a target.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Names the version that is to serve the request.
pub const VERSION: HeaderName = HeaderName::from_static("x-version");
/// Names the stream in a target's answer.
pub const STREAM_ID: HeaderName = HeaderName::from_static("x-stream-id");
/// Marks a refusal that happened before the target ran anything.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// The data of an event that ends a model stream.
const DONE_DATA: &str = "[DONE]";

/// Longest time that an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a dispatch did not lead to an answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DispatchError {
    /// No connection could be made, so that nothing was sent.
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

/// A piece of a model's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamItem {
    /// A chunk, and the index of the token after it if the target gave one.
    Chunk(Bytes, Option<u64>),
    /// The target's own end marker.
    Done,
}

/// A model's answer under way.
pub struct ModelStream {
    /// Name of the stream at its target, for resuming and cancelling.
    pub id: Option<String>,
    events: Pin<Box<dyn Stream<Item = StreamItem> + Send + Sync>>,
}

impl ModelStream {
    /// The next piece; `None` if the connection ended or broke.
    pub async fn next(&mut self) -> Option<StreamItem> {
        self.events.next().await
    }
}

/// The answer of a plain service under way.
pub struct PlainAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Media type.
    pub content: String,
    body: Pin<Box<dyn Stream<Item = reqwest::Result<Bytes>> + Send + Sync>>,
}

impl PlainAnswer {
    /// The next chunk; `None` at the end.
    ///
    /// # Errors
    ///
    /// Returns [`DispatchError::Broken`] if the connection broke before the end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, DispatchError> {
        self.body.next().await.transpose().map_err(|_| DispatchError::Broken)
    }
}

/// An order to a target.
#[derive(Debug, Clone, Serialize)]
pub struct OrderBody<'a> {
    /// Fencing number of the lease that the order was given under.
    pub fence: u64,
    /// What to do: `load` or `unload`.
    pub order: &'a str,
    /// The version that the order speaks of.
    pub version: &'a VersionId,
}

#[derive(Debug, Deserialize)]
struct EventsBody {
    events: Vec<CacheEvent>,
}

/// Where a target is reached.
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

/// Clients of all targets.
#[derive(Debug)]
pub struct Targets {
    pools: Mutex<HashMap<TargetId, Client>>,
    source_ip: Option<IpAddr>,
    connect_timeout: Duration,
}

impl Targets {
    /// Clients whose connections come from the address `own`.
    pub fn new(source_ip: Option<IpAddr>, connect_timeout: Duration) -> Self {
        Self { pools: Mutex::default(), source_ip, connect_timeout }
    }

    /// Forgets the target's connections; the next call opens a new one.
    pub fn drop_connections(&self, target: &TargetId) {
        self.lock().remove(target);
    }

    /// Starts a model request.
    ///
    /// # Errors
    ///
    /// Returns [`DispatchError`] by what is known of the request's execution.
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
    /// Returns [`DispatchError`]; the stream may still exist unless the target answered.
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
    /// Returns the library's error if the target could not be told in time.
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
    /// Returns [`DispatchError`] by what is known of the call's execution.
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
        let content = header_text(response.headers(), &http::header::CONTENT_TYPE);
        Ok(PlainAnswer {
            status: response.status(),
            content: content.unwrap_or_default(),
            body: Box::pin(response.bytes_stream()),
        })
    }

    /// Reads the target's load report.
    ///
    /// # Errors
    ///
    /// Returns the library's error if there was no report in time.
    pub async fn load(&self, at: &TargetAddress, timeout: Duration) -> reqwest::Result<LoadReport> {
        let request = self.pool(&at.target).get(at.url("/load")).timeout(timeout);
        request.send().await?.error_for_status()?.json().await
    }

    /// Reads the load report over a connection of its own, to tell silence from slowness.
    ///
    /// # Errors
    ///
    /// Returns the library's error if there was no report in time.
    pub async fn probe(
        &self,
        at: &TargetAddress,
        timeout: Duration,
    ) -> reqwest::Result<LoadReport> {
        let request = self.new_client().get(at.url("/load")).timeout(timeout);
        request.send().await?.error_for_status()?.json().await
    }

    /// Reads the cache events after number `after`.
    ///
    /// # Errors
    ///
    /// Returns the library's error if there was no answer in time.
    pub async fn events(
        &self,
        at: &TargetAddress,
        after: u64,
        timeout: Duration,
    ) -> reqwest::Result<Vec<CacheEvent>> {
        let url = at.url(&format!("/events?after={after}"));
        let request = self.pool(&at.target).get(url).timeout(timeout);
        let body: EventsBody = request.send().await?.error_for_status()?.json().await?;
        Ok(body.events)
    }

    /// Gives an order; the status tells whether the target took it.
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

    /// A client with an empty pool. Retries of the library are off: dispatch is repeated only where
    /// the deciding code allows it.
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

fn into_stream(response: reqwest::Response) -> ModelStream {
    let id = header_text(response.headers(), &STREAM_ID);
    let events = response.bytes_stream().eventsource();
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
