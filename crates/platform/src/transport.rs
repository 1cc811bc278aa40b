//! The interface between the client and the network.

use std::future::Future;
use std::pin::Pin;

use bytes::Bytes;

/// HTTP method of a [`Request`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// A read.
    Get,
    /// A write.
    Put,
}

/// One HTTP request to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// Path and query, percent-encoded, with a leading `/`.
    pub path: String,
    /// The body; empty for reads.
    pub body: Bytes,
    /// Whether the body is JSON.
    pub json: bool,
}

/// The platform's HTTP answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

/// Why a request got no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TransportError {
    /// No byte of the request was sent: the request was invalid or no connection could be made.
    #[error("not connected: {0}")]
    NotSent(String),
    /// The connection was lost or timed out after the request may have been sent.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// Future of the answer to a request sent through a [`Transport`].
pub type ReplyFuture = Pin<Box<dyn Future<Output = Result<Reply, TransportError>> + Send>>;

/// Sends requests to the platform.
pub trait Transport: Send + Sync + 'static {
    /// Sends one request. The caller enforces timeouts by dropping the future.
    fn send(&self, request: Request) -> ReplyFuture;
}
