//! Life cycle of a caller's connection, from its accept to its end.
//!
//! The task of a connection polls the HTTP library first, which reads all bytes that have arrived,
//! and then decides from what the connection is used for whether to close it. One on which a request
//! is read or answered is closed only if its caller is too slow to send the head or to read on.

use std::cell::Cell;
use std::convert::Infallible;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Version, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, Sleep, sleep_until, timeout};

use crate::activity::{Activity, Side, Usage};
use crate::answer::{Answer, AnswerBody};
use crate::close::{CloseReason, CloseRecord};
use crate::server::{Limits, Phase, Shared};
use crate::watched::{RequestBody, WatchedBody, WatchedStream};

/// Smallest read buffer that the HTTP library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;

/// Longest rest of a body that is read after a handler has answered without it, in bytes.
const MAX_SKIPPED_BYTES: usize = 64 << 10;

/// How long the rest of a body may take to arrive.
const MAX_SKIP_TIME: Duration = Duration::from_millis(20);

/// Shortest time for which an answer waits for its caller to read on.
const MIN_BLOCKED_TIME: Duration = Duration::from_secs(5);

/// Interval at which the time that an answer waits for its caller is counted. Time in which the process
/// did not run is left out.
const BLOCKED_INTERVAL: Duration = Duration::from_millis(500);

/// How long a connection is read after its last answer.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// Number of bytes that are read after the last answer of a connection.
const MAX_LINGER_BYTES: u64 = 16 << 20;

/// Difference between the idle time of a connection and the shorter one that its answers announce,
/// in which a request may be on its way.
const CLOSE_MARGIN: Duration = Duration::from_secs(1);

/// Answer to a head that did not arrive in time. Its request has not run.
const HEAD_TIMEOUT_ANSWER: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// The limits that hold for a connection. A change may only lengthen a time that has begun, since
/// the caller may rely on the limits that held then.
struct Grant<'a> {
    current: &'a dyn Fn() -> Limits,
    /// When the current usage began, and the limits at that time.
    begun: Cell<Option<(Instant, Limits)>>,
}

impl Grant<'_> {
    /// Returns the limits for a usage that began at `since`.
    fn limits(&self, since: Instant) -> Limits {
        let current = (self.current)();
        match self.begun.get() {
            Some((begun, limits)) if begun == since => Limits {
                head_bytes: current.head_bytes,
                head_timeout: limits.head_timeout.max(current.head_timeout),
                idle_timeout: limits.idle_timeout.max(current.idle_timeout),
            },
            _ => {
                self.begun.set(Some((since, current)));
                current
            }
        }
    }

    /// Returns the size of a read buffer for the largest head that is allowed now.
    fn buffer_bytes(&self) -> usize {
        (self.current)().head_bytes.max(MIN_HEAD_BYTES)
    }
}

/// What to do with a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    /// Serve it, and decide again at this time unless its usage changes before.
    Serve(Option<Instant>),
    /// Close it.
    Close(CloseReason),
}

impl Verdict {
    /// Serves a connection until `end`.
    fn until(end: Instant, reason: CloseReason, now: Instant) -> Self {
        if now >= end { Self::Close(reason) } else { Self::Serve(Some(end)) }
    }
}

/// Decides whether to close a connection at `now`.
///
/// In the last phase of a stop, a connection without any request so far may have been opened for
/// one that is on its way.
fn decide(activity: &Activity, grant: &Grant, phase: Phase, now: Instant) -> Verdict {
    let (usage, since) = activity.usage();
    let limits = grant.limits(since);
    if let Some(waited) = activity.blocked_time(2 * BLOCKED_INTERVAL, now) {
        let left = limits.idle_timeout.max(MIN_BLOCKED_TIME).saturating_sub(waited);
        return if left.is_zero() {
            Verdict::Close(CloseReason::Blocked)
        } else {
            Verdict::Serve(Some(now + left.min(BLOCKED_INTERVAL)))
        };
    }
    let is_stopping = phase == Phase::Closed;
    let (reason, limit) = match usage {
        Usage::Request => return Verdict::Serve(None),
        Usage::Head => (CloseReason::HeadTimeout, limits.head_timeout),
        Usage::Closing => (CloseReason::Announced, limits.head_timeout),
        Usage::Idle if is_stopping && activity.served() > 0 => {
            return Verdict::Close(CloseReason::Stop);
        }
        Usage::Idle if is_stopping => (CloseReason::Stop, limits.head_timeout),
        Usage::Idle => (CloseReason::Idle, limits.idle_timeout.max(activity.kept())),
    };
    Verdict::until(since + limit, reason, now)
}

/// Returns whether answers with this status have no body.
fn is_bodiless(status: StatusCode) -> bool {
    matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Returns whether the headers say that the connection is closed after this message.
fn announces_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut options = values.filter_map(|value| value.to_str().ok()).flat_map(|v| v.split(','));
    options.any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Tells the caller how long the connection is kept after this answer. The protocol has whole
/// seconds only, so a short time is not announced.
fn announce_idle_time(headers: &mut HeaderMap, idle_timeout: Duration, activity: &Activity) {
    let announced = Duration::from_secs(idle_timeout.saturating_sub(CLOSE_MARGIN).as_secs());
    if announced.is_zero() {
        activity.set_kept(Duration::ZERO);
        return;
    }
    activity.set_kept(announced + CLOSE_MARGIN);
    let value = format!("timeout={}", announced.as_secs());
    if let Ok(value) = HeaderValue::from_str(&value) {
        headers.insert(header::CONNECTION, HeaderValue::from_static("keep-alive"));
        headers.insert("keep-alive", value);
    }
}

/// Answers a request whose task has panicked. It may have run.
fn panic_answer() -> Answer {
    let mut answer = Answer::new(AnswerBody::Whole(Bytes::new()));
    *answer.status_mut() = StatusCode::BAD_GATEWAY;
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    answer
}

/// Reads the rest of a body that a handler has left, if it is short and has arrived, so that the
/// connection can be used again.
async fn skip_body(rest: RequestBody) {
    let skipped = timeout(MAX_SKIP_TIME, Limited::new(rest, MAX_SKIPPED_BYTES).collect()).await;
    if !matches!(skipped, Ok(Ok(_))) {
        log::debug!("the connection closes after an answer before the end of a request");
    }
}

/// Answers one request with `handler`, and records its progress in `activity`.
async fn respond<F>(
    request: Request<Incoming>,
    handler: impl Fn(Request<RequestBody>) -> F,
    activity: Rc<Activity>,
    phase: watch::Receiver<Phase>,
    limits: &dyn Fn() -> Limits,
) -> Result<http::Response<WatchedBody>, Infallible>
where
    F: Future<Output = Answer>,
{
    let has_chunks = request.version() == Version::HTTP_11;
    let is_last = !has_chunks || announces_close(request.headers());
    activity.request_started(is_last, Instant::now());
    let is_head = request.method() == Method::HEAD;
    let is_invited = !request.headers().contains_key(header::EXPECT);
    let request = request.map(|body| RequestBody::new(body, Rc::clone(&activity)));
    let rest = request.body().share();
    let answer = AssertUnwindSafe(handler(request)).catch_unwind().await;
    if is_invited && !activity.has_body_ended() {
        skip_body(rest).await;
    }
    // The hook that logs panics has reported the panic's payload.
    let mut answer = answer.unwrap_or_else(|_| panic_answer());
    // A caller of HTTP/1.0 is told of no idle time, so its connection is not kept.
    if !has_chunks || *phase.borrow() != Phase::Serving || !activity.has_body_ended() {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    if announces_close(answer.headers()) {
        activity.set_last();
    }
    if !has_chunks && answer.body().size_hint().exact().is_none() {
        activity.set_unframed();
    }
    if activity.last().is_none() {
        announce_idle_time(answer.headers_mut(), limits().idle_timeout, &activity);
    }
    let unsent = is_head || is_bodiless(answer.status());
    Ok(answer.map(|body| WatchedBody::new(body, unsent, activity)))
}

/// How the task of a connection stops serving it.
#[derive(Debug)]
enum End {
    /// The HTTP library has closed the connection.
    Ended(Result<(), hyper::Error>),
    /// The connection is to be closed.
    Close(CloseReason),
    /// The connection needs a read buffer of another size, before the next head is read.
    Resize,
}

type Connection<S> = http1::Connection<TokioIo<WatchedStream>, S>;

/// Serves `connection` until it ends or is to be closed.
fn poll_end<S>(
    connection: &mut Connection<S>,
    is_outdated: impl Fn() -> bool,
    verdict: impl Fn(Instant) -> Verdict,
    mut timer: Pin<&mut Sleep>,
    context: &mut Context<'_>,
) -> Poll<End>
where
    S: HttpService<Incoming, ResBody = WatchedBody>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if is_outdated() {
        return Poll::Ready(End::Resize);
    }
    if let Poll::Ready(result) = Pin::new(connection).poll(context) {
        return Poll::Ready(End::Ended(result));
    }
    loop {
        match verdict(Instant::now()) {
            Verdict::Close(reason) => return Poll::Ready(End::Close(reason)),
            Verdict::Serve(None) => return Poll::Pending,
            Verdict::Serve(Some(until)) => {
                if timer.deadline() != until {
                    timer.as_mut().reset(until);
                }
                ready!(timer.as_mut().poll(context));
            }
        }
    }
}

/// Serves the requests of a connection until it ends.
pub(crate) async fn serve<L, H, F>(stream: TcpStream, handler: H, shared: Shared<L>)
where
    L: Fn() -> Limits + 'static,
    H: Fn(Request<RequestBody>) -> F + Clone + 'static,
    F: Future<Output = Answer> + 'static,
{
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("TCP_NODELAY could not be set: {err}");
    }
    let grant = Grant { current: &shared.limits, begun: Cell::new(None) };
    let mut phase = shared.phase;
    let activity = Rc::new(Activity::new(shared.in_use, Instant::now()));
    let mut record = CloseRecord {
        listener: shared.name,
        activity: Rc::clone(&activity),
        metrics: shared.metrics,
        reason: None,
        unread: None,
    };
    let service = {
        let (activity, phase) = (Rc::clone(&activity), phase.clone());
        let limits = grant.current;
        service_fn(move |request| {
            respond(request, handler.clone(), Rc::clone(&activity), phase.clone(), limits)
        })
    };
    let mut stream = WatchedStream::new(stream, Rc::clone(&activity));
    let mut timer = std::pin::pin!(sleep_until(Instant::now()));
    loop {
        let buffer_bytes = grant.buffer_bytes();
        let mut connection = http1::Builder::new()
            .max_buf_size(buffer_bytes)
            .serve_connection(TokioIo::new(stream), &service);
        let end = loop {
            let current = *phase.borrow_and_update();
            let is_outdated = || {
                let is_quiet = activity.usage().0 == Usage::Idle && !activity.is_blocked();
                is_quiet && grant.buffer_bytes() != buffer_bytes
            };
            let verdict = |now| decide(&activity, &grant, current, now);
            let end = std::future::poll_fn(|context| {
                poll_end(&mut connection, is_outdated, verdict, timer.as_mut(), context)
            });
            tokio::select! {
                biased;
                end = end => break end,
                () = changed(&mut phase) => {}
            }
        };
        let reason = match end {
            End::Ended(result) => {
                record.reason = Some(end_reason(&activity, &result));
                let is_sending = may_be_sending(&activity, &result);
                // This drops the request that is open, which logs its end.
                let parts = connection.into_parts();
                let stream = parts.io.into_inner();
                record.unread = Some(parts.read_buf.len() + stream.unread_bytes());
                if let Err(err) = result {
                    log::debug!("connection of a client ended: {err}");
                }
                drop(record);
                if is_sending {
                    activity.closes(Instant::now());
                    linger(stream).await;
                }
                return;
            }
            End::Close(reason) => Some(reason),
            End::Resize => None,
        };
        let parts = connection.into_parts();
        stream = parts.io.into_inner();
        if let Some(reason) = reason {
            let unread = stream.unread_bytes();
            let arrives = match reason {
                CloseReason::Announced | CloseReason::Blocked => false,
                CloseReason::HeadTimeout => unread > 0,
                // Part of a request may have been read together with the last one.
                _ => !parts.read_buf.is_empty() || unread > 0,
            };
            if !arrives {
                record.reason = Some(reason);
                record.unread = Some(parts.read_buf.len() + unread);
                close(&stream, reason);
                return;
            }
            activity.head_arrives(Instant::now());
        }
        stream.unread(parts.read_buf);
    }
}

/// Returns whether a connection has ended after an answer that its caller may not have read yet.
fn may_be_sending(activity: &Activity, result: &Result<(), hyper::Error>) -> bool {
    match result {
        Ok(()) => activity.usage().0 == Usage::Closing,
        Err(err) => err.is_parse(),
    }
}

/// Reads what the caller still sends after its last answer. If the socket were closed with unread
/// bytes, the caller would see a reset, possibly before the answer.
async fn linger(mut stream: WatchedStream) {
    let skip = async {
        stream.shutdown().await?;
        let mut sent = stream.take(MAX_LINGER_BYTES);
        tokio::io::copy(&mut sent, &mut tokio::io::sink()).await
    };
    if !matches!(timeout(LINGER_TIME, skip).await, Ok(Ok(_))) {
        log::debug!("a connection is closed while its caller sends");
    }
}

/// Tells the caller of a late head that it was not run. The socket closes when it is dropped.
fn close(stream: &WatchedStream, reason: CloseReason) {
    if reason == CloseReason::HeadTimeout
        && let Err(err) = stream.write_last(HEAD_TIMEOUT_ANSWER)
    {
        log::debug!("late head could not be answered: {err}");
    }
}

fn end_reason(activity: &Activity, result: &Result<(), hyper::Error>) -> CloseReason {
    match result {
        Err(err) => CloseReason::of_error(err),
        Ok(()) if activity.last() == Some(Side::Answer) => CloseReason::Announced,
        Ok(()) => CloseReason::Caller,
    }
}

/// Completes when the value changes; never if it can't change any more.
async fn changed<T>(receiver: &mut watch::Receiver<T>) {
    if receiver.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}
