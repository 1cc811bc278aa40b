//! HTTP server of a listener: accepts connections and serves requests on them.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http::{HeaderValue, Method, Request, StatusCode, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use crate::activity::{Activity, Usage, WatchedBody, WatchedStream};
use crate::answer::{Answer, AnswerBody};
use crate::metrics::Metrics;

/// Maximum number of connections waiting to be accepted. A burst of callers opens many at once.
const ACCEPT_BACKLOG: u32 = 1_024;

/// Pause after a failed accept, so that the loop does not spin while no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Smallest read buffer that the HTTP library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;

/// Limits of a connection.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Timeout for the arrival of a request head, in addition to the idle time.
    pub head_timeout: Duration,
    /// How long a connection without a request is kept open.
    pub idle_timeout: Duration,
}

/// Progress of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd)]
pub enum Phase {
    /// Requests are served.
    Serving,
    /// Requests are served, and each answer asks the caller to close the connection.
    Closing,
    /// Open connections are closed as soon as they have no request; new connections get one answer.
    Closed,
}

/// Binds a listener.
///
/// # Errors
///
/// Returns the operating system's error if the address cannot be bound.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// What the connections of a listener share.
#[derive(Debug, Clone)]
pub struct Shared<L> {
    /// Name of the listener in the log.
    pub name: &'static str,
    /// Returns the limits of a new connection.
    pub limits: L,
    /// Progress of a planned stop.
    pub phase: watch::Receiver<Phase>,
    /// Metrics of the instance.
    pub metrics: Rc<Metrics>,
}

/// Accepts connections on `listener` and answers their requests with `handler` for as long as the
/// instance runs.
pub async fn serve<L, H, F>(listener: TcpListener, handler: H, shared: Shared<L>)
where
    L: Fn() -> Limits + Clone + 'static,
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Answer> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = serve_connection(stream, handler.clone(), shared.clone());
                tokio::task::spawn_local(connection);
            }
            Err(err) => {
                log::warn!(event = "accept_failed"; "accept failed: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseReason {
    /// It was idle for too long.
    Idle,
    /// The instance stops.
    Stop,
    /// A request's head did not arrive in time.
    HeadTimeout,
    /// An answer asked for it.
    Announced,
    /// The caller closed it or asked for it.
    Caller,
    /// The caller closed it within a request.
    Incomplete,
    /// An answer could not be completed.
    Aborted,
    /// What arrived is not a request.
    Malformed,
    /// The socket failed.
    Error,
    /// A request's task panicked.
    Panic,
    /// The process exited.
    Exit,
}

impl CloseReason {
    fn of_error(err: &hyper::Error) -> Self {
        if err.is_timeout() {
            Self::HeadTimeout
        } else if err.is_user() {
            Self::Aborted
        } else if err.is_parse() {
            Self::Malformed
        } else if err.is_incomplete_message() {
            Self::Incomplete
        } else {
            Self::Error
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Stop => "stop",
            Self::HeadTimeout => "head_timeout",
            Self::Announced => "announced",
            Self::Caller => "caller",
            Self::Incomplete => "incomplete",
            Self::Aborted => "aborted",
            Self::Malformed => "malformed",
            Self::Error => "error",
            Self::Panic => "panic",
            Self::Exit => "exit",
        }
    }
}

/// Logs and counts the end of a connection when dropped, also by a panic or the process's exit.
#[derive(Debug)]
struct CloseRecord {
    listener: &'static str,
    activity: Rc<Activity>,
    metrics: Rc<Metrics>,
    reason: Option<CloseReason>,
}

impl Drop for CloseRecord {
    fn drop(&mut self) {
        let reason = self.reason.unwrap_or(if std::thread::panicking() {
            CloseReason::Panic
        } else {
            CloseReason::Exit
        });
        self.metrics.connection_closed(reason.as_str());
        let (usage, since) = self.activity.usage();
        let failed = matches!(
            reason,
            CloseReason::Aborted | CloseReason::Malformed | CloseReason::Error | CloseReason::Panic
        );
        let level =
            if failed || usage != Usage::Idle { log::Level::Info } else { log::Level::Debug };
        log::log!(
            level,
            event = "connection_closed",
            listener = self.listener,
            reason = reason.as_str(),
            usage = usage.as_str(),
            usage_ms = since.elapsed().as_millis() as u64,
            head_bytes = self.activity.head_bytes(),
            served = self.activity.served(),
            open_ms = self.activity.opened().elapsed().as_millis() as u64;
            "connection closed"
        );
    }
}

/// Returns whether answers with this status have no body.
fn is_bodiless(status: StatusCode) -> bool {
    matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Answers a request whose task has panicked. It may have run.
fn panic_answer() -> Answer {
    let mut answer = Answer::new(AnswerBody::Whole(Bytes::new()));
    *answer.status_mut() = StatusCode::BAD_GATEWAY;
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    answer
}

async fn serve_connection<L, H, F>(stream: TcpStream, handler: H, shared: Shared<L>)
where
    L: Fn() -> Limits + 'static,
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Answer> + 'static,
{
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("TCP_NODELAY could not be set: {err}");
    }
    let limits = (shared.limits)();
    let mut phase = shared.phase;
    let activity = Rc::new(Activity::new(Instant::now()));
    let stream = WatchedStream::new(stream, Rc::clone(&activity));
    let mut record = CloseRecord {
        listener: shared.name,
        activity: Rc::clone(&activity),
        metrics: shared.metrics,
        reason: None,
    };
    let requests = Rc::new(Cell::new(0_u32));
    let last_answer = Rc::new(Cell::new(Instant::now()));
    let announced = Rc::new(Cell::new(false));
    let service_phase = phase.clone();
    let service = {
        let (requests, last_answer) = (Rc::clone(&requests), Rc::clone(&last_answer));
        let announced = Rc::clone(&announced);
        service_fn(move |request: Request<Incoming>| {
            let is_head = request.method() == Method::HEAD;
            activity.request_started(Instant::now());
            requests.set(requests.get() + 1);
            let answer = AssertUnwindSafe(handler(request)).catch_unwind();
            let (requests, last_answer) = (Rc::clone(&requests), Rc::clone(&last_answer));
            let (activity, announced) = (Rc::clone(&activity), Rc::clone(&announced));
            let service_phase = service_phase.clone();
            async move {
                // The hook that logs panics has reported the panic's payload.
                let mut answer = answer.await.unwrap_or_else(|_| panic_answer());
                requests.set(requests.get() - 1);
                last_answer.set(Instant::now());
                if *service_phase.borrow() != Phase::Serving {
                    let close = HeaderValue::from_static("close");
                    answer.headers_mut().insert(header::CONNECTION, close);
                }
                announced.set(answer.headers().contains_key(header::CONNECTION));
                let unsent = is_head || is_bodiless(answer.status());
                Ok::<_, Infallible>(answer.map(|body| WatchedBody::new(body, unsent, activity)))
            }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + limits.head_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut idle = pin!(sleep_until(last_answer.get() + limits.idle_timeout));
    // A connection accepted in this phase gets one answer, which closes it.
    let mut closing = (*phase.borrow() == Phase::Closed).then_some(CloseReason::Stop);
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                record.reason = Some(match (&ended, closing) {
                    (Err(err), _) => CloseReason::of_error(err),
                    (Ok(()), Some(reason)) => reason,
                    (Ok(()), None) if announced.get() => CloseReason::Announced,
                    (Ok(()), None) => CloseReason::Caller,
                });
                if let Err(err) = ended {
                    log::debug!("connection of a client ended: {err}");
                }
                return;
            }
            () = idle.as_mut(), if closing.is_none() => {
                let idle_end = last_answer.get() + limits.idle_timeout;
                if requests.get() == 0 && idle_end <= Instant::now() {
                    closing = Some(CloseReason::Idle);
                    connection.as_mut().graceful_shutdown();
                } else {
                    idle.as_mut().reset(idle_end.max(Instant::now() + limits.idle_timeout / 2));
                }
            }
            closed = phase.wait_for(|phase| *phase == Phase::Closed), if closing.is_none() => {
                drop(closed);
                closing = Some(CloseReason::Stop);
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}
