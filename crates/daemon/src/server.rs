//! Accepts connections and serves a filter on them, with limits on the size and duration of request
//! heads.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::sync::watch;
use warp::filters::BoxedFilter;
use warp::reply::Response;

/// Pause after a failed accept, so that the loop does not spin while file descriptors are
/// exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Smallest read buffer that the HTTP library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;

/// Limits on a connection.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Timeout of receiving a request head.
    pub head_timeout: Duration,
}

/// Binds a listener on the runtime of the calling thread.
///
/// # Errors
///
/// Returns the operating system's error if the address cannot be bound.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Serves `filter` on `listener` until `stop` becomes true, then finishes open requests.
pub async fn serve(
    listener: TcpListener,
    filter: BoxedFilter<(Response,)>,
    limits: Limits,
    mut stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    let service = TowerToHyperService::new(warp::service(filter));
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    let connection = http1::Builder::new()
                        .timer(TokioTimer::new())
                        .header_read_timeout(limits.head_timeout)
                        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BYTES))
                        .serve_connection(TokioIo::new(stream), service.clone());
                    let watched = graceful.watch(connection);
                    tokio::spawn(async move {
                        if let Err(error) = watched.await {
                            log::debug!("connection ended: {error}");
                        }
                    });
                }
                Err(error) => {
                    log::warn!("accept failed: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            () = stopped(&mut stop) => break,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Waits until `stop` becomes true or its sender is dropped.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}
