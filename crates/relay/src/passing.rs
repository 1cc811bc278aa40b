//! Requests that are passed on between instances, and probes of targets.
//!
//! The peer answers over the inner listener, with a header that tells whether it took the request.
//! Once a byte of the request may have been sent, only such an answer says that it has not run.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::{self, LocalBoxStream};
use http::{HeaderName, HeaderValue, Method, Request, header, request, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use sesamewind_gateway::{Event, PassOn, PassOutcome, Probe, ProbeResult, Refusal, RefusalReason};
use sesamewind_protocol::codec;
use sesamewind_protocol::relay::{PassedHeader, PassedRequest};
use sesamewind_settings::Secret;
use tokio::task::spawn_local;
use tokio::time::timeout_at;

use crate::answer::{Answer, AnswerAborted};
use crate::attempt::Call;
use crate::driver::{CallerGuard, Driver};
use crate::journal;
use crate::pool::{Connection, Pool, SendError};

/// Path on the inner listener that takes passed requests.
pub const PASS_PATH: &str = "/peers/pass";

/// Header of the peer's answer that tells how the request ended there.
const OUTCOME: HeaderName = HeaderName::from_static("passed-outcome");

/// Longest idle time of a connection that a request is passed on over. The peer may be closing it after
/// a longer one.
const MAX_IDLE: Duration = Duration::from_millis(1_500);

/// Largest refusal of a peer, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 << 10;

/// Connections to peers for passed requests.
#[derive(Debug)]
pub struct PeerLink {
    pool: Pool,
    token: Secret,
}

impl PeerLink {
    /// Creates a link without connections.
    pub fn new(token: Secret) -> Self {
        Self { pool: Pool::default(), token }
    }

    /// Drops connections that are closed or have been idle for too long.
    pub fn sweep(&self) {
        self.pool.sweep();
    }
}

/// Marks an answer to a passed request that this instance has refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRun {
    /// The request was refused like one of this instance's own callers.
    Refused,
    /// Another instance may take it.
    Declined,
}

impl NotRun {
    /// Returns the mark for a refusal by the gateway.
    pub fn of(refusal: &Refusal) -> Self {
        match refusal.reason {
            RefusalReason::NotTaken | RefusalReason::Stopping | RefusalReason::Unconfigured => {
                Self::Declined
            }
            _ => Self::Refused,
        }
    }

    /// Marks an answer.
    pub fn mark(self, mut answer: Answer) -> Answer {
        answer.extensions_mut().insert(self);
        answer
    }
}

/// Result of passing a request on.
#[derive(Debug)]
pub enum Passed {
    /// The peer answers.
    Answer(response::Parts, Incoming, Connection),
    /// The peer has refused the request with this answer.
    Refused(response::Parts, Bytes),
    /// There is no answer to deliver.
    Ended(PassOutcome),
}

impl Call {
    /// Passes the request on to a peer and reads the head of its answer.
    pub async fn pass_on(&self, pass: &PassOn) -> Passed {
        journal::passed_on(self, pass);
        let deadline = self.driver.instant(pass.deadline);
        let passed = timeout_at(deadline, self.exchange_with_peer(pass)).await;
        let passed = passed.unwrap_or(Passed::Ended(PassOutcome::Expired));
        let outcome = match &passed {
            Passed::Answer(..) => PassOutcome::Answered,
            Passed::Refused(..) => PassOutcome::Refused,
            Passed::Ended(outcome) => *outcome,
        };
        journal::pass_ended(self, pass, outcome);
        passed
    }

    async fn exchange_with_peer(&self, pass: &PassOn) -> Passed {
        let (mut connection, mut head, mut body) = match self.send_to_peer(pass).await {
            Ok(answer) => answer,
            Err(outcome) => return Passed::Ended(outcome),
        };
        match head.headers.remove(OUTCOME).as_ref().map(HeaderValue::as_bytes) {
            Some(b"answered") => Passed::Answer(head, body, connection),
            Some(b"declined") => Passed::Ended(PassOutcome::Declined),
            Some(b"refused") => {
                let mut refusal = Vec::new();
                while let Some(frame) = body.frame().await {
                    let Ok(frame) = frame else { return Passed::Ended(PassOutcome::Broken) };
                    if let Ok(data) = frame.into_data()
                        && refusal.len() + data.len() <= MAX_REFUSAL_BYTES
                    {
                        refusal.extend_from_slice(&data);
                    }
                }
                connection.set_keep_alive(MAX_IDLE * 2);
                self.driver.peer_link.pool.put(connection);
                Passed::Refused(head, refusal.into())
            }
            _ => {
                log::warn!(event = "pass_unreadable", status = head.status.as_u16(); "answer of a peer can't be read");
                Passed::Ended(PassOutcome::Broken)
            }
        }
    }

    async fn send_to_peer(
        &self,
        pass: &PassOn,
    ) -> Result<(Connection, response::Parts, Incoming), PassOutcome> {
        let link = &self.driver.peer_link;
        let mut max_idle = MAX_IDLE;
        loop {
            let request = self.passed_request(pass).map_err(|err| {
                log::warn!(event = "pass_unwritable"; "request can't be passed on: {err}");
                PassOutcome::Unconnected
            })?;
            let connection = link.pool.get(pass.address, max_idle).await;
            let mut connection = connection.map_err(|err| {
                log::debug!(request = self.caller.id.as_str(); "{err}");
                PassOutcome::Unconnected
            })?;
            match connection.send(request).await {
                Ok((head, body)) => return Ok((connection, head, body)),
                Err(SendError::Unsent) if connection.reused => max_idle = Duration::ZERO,
                Err(SendError::Unsent | SendError::Unconnected(_)) => {
                    return Err(PassOutcome::Unconnected);
                }
                Err(SendError::Broken(err)) => {
                    log::debug!(request = self.caller.id.as_str(); "{err}");
                    return Err(PassOutcome::Broken);
                }
            }
        }
    }

    fn passed_request(&self, pass: &PassOn) -> Result<Request<Full<Bytes>>, String> {
        let headers = self.head.headers.iter().map(|(name, value)| PassedHeader {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        });
        let path = self.head.uri.path_and_query();
        let message = PassedRequest {
            method: self.head.method.as_str().to_owned(),
            path: path.map_or_else(|| self.head.uri.path().to_owned(), ToString::to_string),
            headers: headers.collect(),
            body: self.body.to_vec(),
            left: pass.deadline.since(self.driver.now()),
            counted: pass.counted,
        };
        let body = codec::encode(&message).map_err(|err| err.to_string())?;
        Request::builder()
            .method(Method::POST)
            .uri(PASS_PATH)
            .header(header::HOST, pass.address.to_string())
            .header(header::AUTHORIZATION, self.driver.peer_link.token.expose())
            .body(Full::new(Bytes::from(body)))
            .map_err(|err| err.to_string())
    }
}

/// Reads the rest of a peer's answer that is delivered whole.
///
/// # Errors
///
/// Returns how the request ended if the answer is not complete in time.
pub async fn read_whole(
    call: &Call,
    pass: &PassOn,
    mut body: Incoming,
    connection: Connection,
) -> Result<Bytes, PassOutcome> {
    let mut answer = call.driver.memory.buffer(pass.address);
    let deadline = call.driver.instant(pass.deadline);
    loop {
        let frame = timeout_at(deadline, body.frame()).await;
        match frame.map_err(|_| PassOutcome::Expired)? {
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { continue };
                answer.push(&data).map_err(|err| {
                    log::debug!(request = call.caller.id.as_str(); "{err}");
                    PassOutcome::Broken
                })?;
            }
            Some(Err(_)) => return Err(PassOutcome::Broken),
            None => {
                call.driver.peer_link.pool.put(connection);
                return Ok(answer.freeze());
            }
        }
    }
}

/// Forwards a peer's answer as it arrives.
struct PassedStream {
    call: Call,
    pass: PassOn,
    guard: CallerGuard,
    body: Incoming,
    connection: Connection,
}

/// Returns the bytes of a peer's answer as they arrive.
pub fn forward(
    call: Call,
    pass: PassOn,
    guard: CallerGuard,
    body: Incoming,
    connection: Connection,
) -> LocalBoxStream<'static, Result<Bytes, AnswerAborted>> {
    let stream = PassedStream { call, pass, guard, body, connection };
    stream::unfold(Some(stream), next).boxed_local()
}

async fn next(
    stream: Option<PassedStream>,
) -> Option<(Result<Bytes, AnswerAborted>, Option<PassedStream>)> {
    let mut stream = stream?;
    let deadline = stream.call.driver.instant(stream.pass.deadline);
    loop {
        let outcome = match timeout_at(deadline, stream.body.frame()).await {
            Ok(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else { continue };
                stream.call.record_part();
                stream.guard.forwarded(data.len(), 0);
                return Some((Ok(data), Some(stream)));
            }
            Ok(None) => PassOutcome::Answered,
            Ok(Some(Err(_))) => PassOutcome::Broken,
            Err(_) => PassOutcome::Expired,
        };
        let PassedStream { call, mut guard, connection, .. } = stream;
        guard.disarm();
        call.driver.handle(Event::PassEnded(call.ticket, outcome));
        if outcome == PassOutcome::Answered {
            call.driver.peer_link.pool.put(connection);
            journal::answered(&call, "passed", outcome.as_str(), 0);
            return None;
        }
        journal::answered(&call, "broken_off", outcome.as_str(), 0);
        return Some((Err(AnswerAborted), None));
    }
}

/// A request that a peer has passed on.
#[derive(Debug)]
pub struct Taken {
    /// Head of the request.
    pub head: request::Parts,
    /// Body of the request.
    pub body: Bytes,
    /// Time left until its deadline.
    pub left: Duration,
    /// Whether the peer has counted its first attempt.
    pub counted: bool,
}

/// Reads a request that a peer has passed on.
///
/// # Errors
///
/// Returns a description of what is wrong with the message.
pub fn read(bytes: &[u8]) -> Result<Taken, String> {
    let message: PassedRequest = codec::decode(bytes).map_err(|err| err.to_string())?;
    let mut request = Request::builder().method(message.method.as_str()).uri(message.path);
    for PassedHeader { name, value } in message.headers {
        request = request.header(name, value);
    }
    let (head, ()) = request.body(()).map_err(|err| err.to_string())?.into_parts();
    let PassedRequest { body, left, counted, .. } = message;
    Ok(Taken { head, body: body.into(), left, counted })
}

/// Adds the outcome to the answer to a passed request.
pub fn finish(mut answer: Answer) -> Answer {
    let outcome = match answer.extensions().get::<NotRun>() {
        None => "answered",
        Some(NotRun::Refused) => "refused",
        Some(NotRun::Declined) => "declined",
    };
    answer.headers_mut().insert(OUTCOME, HeaderValue::from_static(outcome));
    answer
}

/// Sends the probes that the gateway asks for, and reports changes of this instance's reach.
pub fn update_reach(driver: &Rc<Driver>) {
    for change in driver.with_gateway_mut(sesamewind_gateway::Gateway::take_reach_changes) {
        journal::reach_changed(&change);
        driver.metrics.reach(change.state);
        if driver.with_gateway(sesamewind_gateway::Gateway::is_cut_off) {
            // Idle connections may not carry data any more.
            driver.pool.clear();
        }
    }
    for probe in driver.with_gateway_mut(sesamewind_gateway::Gateway::take_probes) {
        let driver = Rc::clone(driver);
        spawn_local(async move { run_probe(&driver, probe).await });
    }
}

/// Sends a probe and reports its result; an answer that is late, too.
async fn run_probe(driver: &Driver, probe: Probe) {
    let sent = driver.run_time();
    let report = |answered| {
        let took = driver.run_time().saturating_sub(sent);
        driver.handle(Event::Probed(probe.target, ProbeResult { answered, took }));
    };
    let mut answer = pin!(send_probe(driver, probe));
    let (mut result, mut is_late) = (driver.timeout(probe.patience, answer.as_mut()).await, false);
    let left = Probe::MAX_TIME.saturating_sub(probe.patience);
    if result.is_err() && !left.is_zero() {
        report(false);
        is_late = true;
        result = driver.timeout(left, answer).await;
    }
    let result = result.unwrap_or_else(|_| Err("timed out".to_owned()));
    if let Err(err) = &result {
        log::debug!(event = "probe_failed", address:% = probe.address; "{err}");
    }
    let answered = result.is_ok();
    driver.metrics.probe(match (answered, is_late) {
        (true, false) => "answered",
        (true, true) => "late",
        (false, _) => "failed",
    });
    if answered || !is_late {
        report(answered);
    }
}

/// Asks a target for any answer over a new connection.
async fn send_probe(driver: &Driver, probe: Probe) -> Result<(), String> {
    let request = Request::builder()
        .method(Method::GET)
        .uri(driver.wire_format.probe_path())
        .header(header::HOST, probe.address.to_string())
        .header(header::CONNECTION, "close")
        .body(Full::default())
        .map_err(|err| err.to_string())?;
    let mut connection = Connection::open(probe.address).await.map_err(|err| err.to_string())?;
    connection.send(request).await.map(|_| ()).map_err(|err| err.to_string())
}
