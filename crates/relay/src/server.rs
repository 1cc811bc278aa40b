//! HTTP server of a listener: accepts connections, which [`crate::connection`] serves.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;

use crate::activity::UseCount;
use crate::answer::Answer;
use crate::connection;
use crate::metrics::Metrics;
use crate::watched::RequestBody;

/// Maximum number of connections waiting to be accepted. A burst of callers opens many at once.
const ACCEPT_BACKLOG: u32 = 1_024;

/// Pause after a failed accept, so that the loop does not spin while no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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
    /// Returns the limits that hold now.
    pub limits: L,
    /// Progress of a planned stop.
    pub phase: watch::Receiver<Phase>,
    /// Metrics of the instance.
    pub metrics: Rc<Metrics>,
    /// Connections of the listener that are in use.
    pub in_use: UseCount,
}

/// Accepts connections on `listener` and answers their requests with `handler` for as long as the
/// instance runs.
pub async fn serve<L, H, F>(listener: TcpListener, handler: H, shared: Shared<L>)
where
    L: Fn() -> Limits + Clone + 'static,
    H: Fn(Request<RequestBody>) -> F + Clone + 'static,
    F: Future<Output = Answer> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = connection::serve(stream, handler.clone(), shared.clone());
                tokio::task::spawn_local(connection);
            }
            Err(err) => {
                log::warn!(event = "accept_failed"; "accept failed: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
