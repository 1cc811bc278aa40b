//! The interface between the client and its sockets.

use std::future::Future;
use std::pin::Pin;

use bytes::Bytes;

/// HTTP method of a [`Request`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// Reads.
    Get,
    /// Writes.
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

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TransportError {
    /// No byte of the request left: the connection could not be made.
    #[error("not connected: {0}")]
    NotSent(String),
    /// The connection broke or the time ran out after the request may have left.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// Answer of a [`Transport`] in the making.
pub type ReplyFuture = Pin<Box<dyn Future<Output = Result<Reply, TransportError>> + Send>>;

/// Sends requests to the platform.
pub trait Transport: Send + Sync + 'static {
    /// Sends one request. The caller drops the future when its time is over.
    fn send(&self, request: Request) -> ReplyFuture;
}
