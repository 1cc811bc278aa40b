//! HTTP server of a listener: accepts connections and serves requests on them.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderValue, Request, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use crate::answer::Answer;

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

/// Accepts connections on `listener` and answers their requests with `handler` for as long as the
/// instance runs.
///
/// `limits` is called for each new connection.
pub async fn serve<H, F>(
    listener: TcpListener,
    handler: H,
    limits: impl Fn() -> Limits,
    phase: watch::Receiver<Phase>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Answer> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = serve_connection(stream, handler.clone(), limits(), phase.clone());
                tokio::task::spawn_local(connection);
            }
            Err(err) => {
                log::warn!(event = "accept_failed"; "accept failed: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Requests in progress on a connection, and the time of its last answer.
#[derive(Debug)]
struct Activity {
    requests: Cell<u32>,
    last_answer: Cell<Instant>,
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    handler: H,
    limits: Limits,
    mut phase: watch::Receiver<Phase>,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Answer> + 'static,
{
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("TCP_NODELAY could not be set: {err}");
    }
    let activity =
        Rc::new(Activity { requests: Cell::new(0), last_answer: Cell::new(Instant::now()) });
    let current = Rc::clone(&activity);
    let service_phase = phase.clone();
    let service = service_fn(move |request| {
        current.requests.set(current.requests.get() + 1);
        let answer = handler(request);
        let (current, service_phase) = (Rc::clone(&current), service_phase.clone());
        async move {
            let mut answer = answer.await;
            current.requests.set(current.requests.get() - 1);
            current.last_answer.set(Instant::now());
            if *service_phase.borrow() != Phase::Serving {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + limits.head_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut idle = pin!(sleep_until(activity.last_answer.get() + limits.idle_timeout));
    // A connection accepted in this phase gets one answer, which closes it.
    let mut closing = *phase.borrow() == Phase::Closed;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(err) = ended {
                    log::debug!("connection of a client ended: {err}");
                }
                return;
            }
            () = idle.as_mut(), if !closing => {
                let idle_end = activity.last_answer.get() + limits.idle_timeout;
                if activity.requests.get() == 0 && idle_end <= Instant::now() {
                    closing = true;
                    connection.as_mut().graceful_shutdown();
                } else {
                    idle.as_mut().reset(idle_end.max(Instant::now() + limits.idle_timeout / 2));
                }
            }
            closed = phase.wait_for(|phase| *phase == Phase::Closed), if !closing => {
                drop(closed);
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}
