//! [`Transport`] over HTTP.

use std::time::Duration;

use reqwest::header::CONTENT_TYPE;

use crate::bounded::read_bounded;
use crate::transport::{Method, Reply, ReplyFuture, Request, Transport, TransportError};

/// Maximum number of idle connections to the platform that are kept open.
const IDLE_CONNECTIONS: usize = 4;

/// Timeout after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest body of a reply, in bytes.
const MAX_REPLY_BYTES: usize = 16 << 20;

/// Sends requests to the platform over HTTP.
#[derive(Debug, Clone)]
pub struct HttpTransport {
    base: String,
    client: reqwest::Client,
}

impl HttpTransport {
    /// Creates a transport to `base_url`; `connect` is the timeout for a new connection.
    pub fn new(base_url: &str, connect: Duration) -> Self {
        let client = reqwest::Client::builder()
            .connect_timeout(connect)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .build()
            .unwrap_or_default();
        Self { base: base_url.trim_end_matches('/').to_owned(), client }
    }
}

impl Transport for HttpTransport {
    fn send(&self, request: Request) -> ReplyFuture {
        let url = format!("{}{}", self.base, request.path);
        let mut builder = match request.method {
            Method::Get => self.client.get(url),
            Method::Put => self.client.put(url).body(request.body),
        };
        if request.json {
            builder = builder.header(CONTENT_TYPE, "application/json");
        }
        Box::pin(async move {
            let response = builder.send().await.map_err(|error| classify_error(&error))?;
            let status = response.status().as_u16();
            let body = read_bounded(response, MAX_REPLY_BYTES)
                .await
                .map_err(|error| TransportError::NoAnswer(error.to_string()))?;
            Ok(Reply { status, body })
        })
    }
}

/// Classifies an error: only a failure to build the request or to connect proves that nothing was
/// sent.
fn classify_error(error: &reqwest::Error) -> TransportError {
    if error.is_connect() || error.is_builder() {
        return TransportError::NotSent(error.to_string());
    }
    TransportError::NoAnswer(error.to_string())
}
