//! HTTP server that all stand-ins share: one handler behind its own fault proxy.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use serde::Serialize;
use tokio::net::TcpSocket;
use tokio::task::JoinHandle;
use warp::Filter;
use warp::filters::path::FullPath;
use warp::reply::Response;

use crate::proxy::FaultProxy;

const LISTEN_BACKLOG: u32 = 1024;

/// A request received by a stand-in.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) peer: Option<SocketAddr>,
}

impl Call {
    /// Returns the value of a header that is present and readable as text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the value of a header that holds a number.
    pub(crate) fn number(&self, name: &str) -> Option<u32> {
        self.header(name)?.parse().ok()
    }

    /// Returns the value of a query parameter without decoding it.
    pub(crate) fn param(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Handles the requests to one stand-in.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Returns the response to `call`.
    fn handle(self: Arc<Self>, call: Call) -> impl Future<Output = Response> + Send;
}

/// A running server and the proxy in front of it.
#[derive(Debug)]
pub(crate) struct Server {
    /// The proxy that clients connect to.
    pub(crate) proxy: FaultProxy,
    /// Address behind the proxy, for control messages and for measurements without the proxy.
    pub(crate) inner: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Serves `handler` behind a proxy that listens on `listen`.
    pub(crate) async fn start<H: Handler>(listen: SocketAddr, handler: Arc<H>) -> Self {
        let socket = TcpSocket::new_v4().expect("socket can be made");
        // Accepted sockets inherit the option, so that small chunks are sent at once.
        socket.set_nodelay(true).expect("socket takes options");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a loopback port is free");
        let listener = socket.listen(LISTEN_BACKLOG).expect("socket can listen");
        let inner = listener.local_addr().expect("bound socket has an address");
        let task = tokio::spawn(warp::serve(routes(handler)).incoming(listener).run());
        let proxy = FaultProxy::bind(listen, inner).await;
        Self { proxy, inner, task }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn routes<H: Handler>(
    handler: Arc<H>,
) -> impl Filter<Extract = (Response,), Error = warp::Rejection> + Clone {
    let query = warp::query::raw().or(warp::any().map(String::new)).unify();
    warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(warp::addr::remote())
        .and(warp::body::bytes())
        .and(warp::any().map(move || Arc::clone(&handler)))
        .then(serve)
}

async fn serve<H: Handler>(
    method: Method,
    path: FullPath,
    query: String,
    headers: HeaderMap,
    peer: Option<SocketAddr>,
    body: Bytes,
    handler: Arc<H>,
) -> Response {
    let path = path.as_str().to_owned();
    handler.handle(Call { method, path, query, headers, body, peer }).await
}

/// Returns a response with a status and a text.
pub(crate) fn text(status: StatusCode, body: impl Into<String>) -> Response {
    let mut response = Response::new(body.into().into());
    *response.status_mut() = status;
    response
}

/// Returns a response in JSON.
pub(crate) fn json<T: Serialize>(status: StatusCode, body: &T) -> Response {
    let bytes = serde_json::to_vec(body).expect("stand-in answers can be serialized");
    let mut response = Response::new(bytes.into());
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    response
}

/// Returns a refusal with the header that states that nothing ran.
pub(crate) fn not_run(reason: &str) -> Response {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, reason);
    response.headers_mut().insert("x-not-run", http::HeaderValue::from_static("1"));
    response
}

/// Returns a response whose body is sent chunk by chunk; an `Err` aborts the connection.
pub(crate) fn stream(
    receiver: tokio::sync::mpsc::Receiver<Result<Bytes, std::io::Error>>,
) -> Response {
    let chunks = futures_util::stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|chunk| (chunk, receiver))
    });
    warp::Reply::into_response(warp::reply::stream(chunks))
}
