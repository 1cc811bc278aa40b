//! Pool of idle HTTP connections to targets, peers and the platform's store.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode, response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

/// Timeout for establishing a connection. Targets are a few milliseconds away. A lost SYN packet is
/// retransmitted only after one second, so starting a new attempt is faster than waiting for it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time within which a connection must be ready for a request. It is not while its target has yet to
/// read the rest of an earlier one that it has answered.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

/// How long an idle connection is kept if the remote side specifies no time.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Margin subtracted from the remote side's keep-alive time, so that a request is not sent while
/// the remote side closes the connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_000);

/// Size of a connection's read buffer, and so of the largest head of an answer, in bytes.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Maximum number of interim answers before an answer.
const MAX_INTERIM: u32 = 16;

/// Maximum number of idle connections to one address.
const MAX_IDLE_CONNECTIONS: usize = 24;

/// Why a request could not be sent or its answer could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No connection was established.
    #[error("no connection: {0}")]
    Unconnected(String),
    /// The connection was closed before any byte of the request was written.
    #[error("idle connection was closed")]
    Unsent,
    /// The connection failed after bytes may have been written.
    #[error("connection failed: {0}")]
    Broken(String),
}

/// An open connection. Dropping it closes it at once.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    address: SocketAddr,
    /// When the connection was opened or became idle.
    idle_since: Instant,
    /// How long the connection may be reused after it became idle.
    keep_alive: Duration,
    /// Whether the connection was used before.
    pub reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Unconnected`] if no connection is established in time.
    pub async fn open(address: SocketAddr) -> Result<Self, SendError> {
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(err)) => return Err(SendError::Unconnected(err.to_string())),
            Err(_) => return Err(SendError::Unconnected("timed out".to_owned())),
        };
        if let Err(err) = stream.set_nodelay(true) {
            log::debug!("TCP_NODELAY could not be set: {err}");
        }
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) =
            handshake.map_err(|err| SendError::Unconnected(err.to_string()))?;
        let task = tokio::task::spawn_local(async move {
            if let Err(err) = connection.await {
                log::debug!("connection to {address} ended: {err}");
            }
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
            address,
            idle_since: Instant::now(),
            keep_alive: DEFAULT_KEEP_ALIVE,
            reused: false,
        })
    }

    /// Sends a request and reads the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] that indicates whether bytes may have been written.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(response::Parts, Incoming), SendError> {
        let is_ready = timeout(READY_TIMEOUT, self.sender.ready());
        if !matches!(is_ready.await, Ok(Ok(()))) {
            return Err(SendError::Unsent);
        }
        let too_many = limit_interim(&mut request);
        let sent = tokio::select! {
            sent = self.sender.try_send_request(request) => sent,
            () = too_many.notified() => {
                return Err(SendError::Broken("too many interim answers".to_owned()));
            }
        };
        match sent {
            Ok(response) if is_final(response.status()) => Ok(response.into_parts()),
            Ok(response) => {
                let status = response.status().as_u16();
                Err(SendError::Broken(format!("status {status} is not that of an answer")))
            }
            Err(mut err) => match err.take_message() {
                Some(_) => Err(SendError::Unsent),
                None => Err(SendError::Broken(err.into_error().to_string())),
            },
        }
    }

    /// Sets how long the remote side keeps the connection open while idle.
    pub fn set_keep_alive(&mut self, keep_alive: Duration) {
        self.keep_alive = keep_alive.saturating_sub(KEEP_ALIVE_MARGIN);
    }

    fn is_usable(&self, now: Instant, max_idle: Duration) -> bool {
        !self.sender.is_closed()
            && now.duration_since(self.idle_since) <= self.keep_alive.min(max_idle)
    }
}

/// Returns whether HTTP defines the class of the status and a final answer may have it. This program
/// never asks for another protocol, so that 101 is no answer either.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns a notification of too many interim answers to `request`.
fn limit_interim(request: &mut Request<Full<Bytes>>) -> Arc<Notify> {
    let too_many = Arc::new(Notify::new());
    let (shared, count) = (Arc::clone(&too_many), AtomicU32::new(0));
    hyper::ext::on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM {
            shared.notify_one();
        }
    });
    too_many
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Returns a connection to `address` that has been idle for at most `max_idle`, or a new one.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Unconnected`] if a new connection can't be established.
    pub async fn get(
        &self,
        address: SocketAddr,
        max_idle: Duration,
    ) -> Result<Connection, SendError> {
        if let Some(connection) = self.take_idle(address, max_idle) {
            return Ok(connection);
        }
        Connection::open(address).await
    }

    /// Returns a connection to the pool after its answer was read to the end.
    pub fn put(&self, mut connection: Connection) {
        if connection.keep_alive.is_zero() || connection.sender.is_closed() {
            return;
        }
        connection.idle_since = Instant::now();
        connection.reused = true;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }

    /// Drops all idle connections to `address`, for use after one of them failed.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Drops all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Drops connections that are closed or have been idle for too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| connection.is_usable(now, Duration::MAX));
            !connections.is_empty()
        });
    }

    fn take_idle(&self, address: SocketAddr, max_idle: Duration) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.is_usable(now, max_idle) {
                return Some(connection);
            }
        }
        None
    }
}
