//! Accepts connections and serves a filter on them, with limits on the size and duration of request
//! heads.

use std::net::SocketAddr;
use std::time::Duration;

use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use warp::filters::BoxedFilter;
use warp::reply::Response;

use crate::connection;

/// Pause after a failed accept, so that the loop does not spin while file descriptors are
/// exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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

/// Serves `filter` on `listener` until `stop` becomes true, then finishes requests that are open or
/// on their way in.
pub async fn serve(
    listener: TcpListener,
    filter: BoxedFilter<(Response,)>,
    limits: Limits,
    mut stop: watch::Receiver<bool>,
) {
    let service = TowerToHyperService::new(warp::service(filter));
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(connection::serve(stream, service.clone(), limits, stop.clone()));
                }
                Err(error) => {
                    log::warn!("accept failed: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = stopped(&mut stop) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Waits until `stop` becomes true or its sender is dropped.
pub(crate) async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}
