//! Request bodies, with a size limit and a timeout.
//!
//! The body of a request to a plain service is streamed to a target and never sent twice. Other
//! bodies are read to their end first.

use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use sesamewind_protocol::Code;

use crate::problem::Problem;

/// Error while reading a caller's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body exceeds the limit.
    #[error("body exceeds the limit")]
    TooLarge,
    /// No chunk arrived within the timeout.
    #[error("caller sent too slowly")]
    Slow,
    /// The caller's connection broke.
    #[error("caller's connection broke")]
    Broken,
}

/// A caller's body as a stream.
pub type BodyStream = Pin<Box<dyn Stream<Item = Result<Bytes, BodyError>> + Send>>;

/// A body that a job can offer to one target after another until some of it has been read.
#[derive(Clone)]
pub struct SharedBody {
    inner: Arc<Mutex<Inner>>,
}

struct Inner {
    stream: BodyStream,
    is_started: bool,
}

impl std::fmt::Debug for SharedBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SharedBody").field("intact", &self.is_intact()).finish_non_exhaustive()
    }
}

impl SharedBody {
    /// Wraps a caller's body.
    pub fn new(stream: BodyStream) -> Self {
        Self { inner: Arc::new(Mutex::new(Inner { stream, is_started: false })) }
    }

    /// Returns whether nothing of the body has been read yet.
    pub fn is_intact(&self) -> bool {
        !self.inner.lock().unwrap_or_else(PoisonError::into_inner).is_started
    }

    /// Returns the body for one attempt at a target.
    pub fn to_body(&self) -> reqwest::Body {
        reqwest::Body::wrap_stream(self.clone())
    }
}

impl Stream for SharedBody {
    type Item = Result<Bytes, BodyError>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let item = inner.stream.as_mut().poll_next(cx);
        if let Poll::Ready(Some(Ok(_))) = item {
            inner.is_started = true;
        }
        item
    }
}

/// Converts the HTTP library's stream to a body stream with a size limit and a timeout for each
/// chunk.
pub fn limited<S, B>(stream: S, limit: u64, timeout: Duration) -> BodyStream
where
    S: Stream<Item = Result<B, warp::Error>> + Send + 'static,
    B: Buf,
{
    let state = (Box::pin(stream), 0u64);
    let body = futures_util::stream::unfold(Some(state), move |state| async move {
        let (mut stream, mut received) = state?;
        match tokio::time::timeout(timeout, stream.next()).await {
            Err(_) => Some((Err(BodyError::Slow), None)),
            Ok(None) => None,
            Ok(Some(Err(_))) => Some((Err(BodyError::Broken), None)),
            Ok(Some(Ok(mut chunk))) => {
                let bytes = chunk.copy_to_bytes(chunk.remaining());
                received += bytes.len() as u64;
                if received > limit {
                    return Some((Err(BodyError::TooLarge), None));
                }
                Some((Ok(bytes), Some((stream, received))))
            }
        }
    });
    Box::pin(body)
}

/// Reads a body to its end.
///
/// # Errors
///
/// Returns a problem if the body is too large, arrives too slowly or breaks off.
pub async fn collect(mut stream: BodyStream) -> Result<Bytes, Problem> {
    let mut collected = BytesMut::new();
    while let Some(chunk) = stream.next().await {
        collected.extend_from_slice(&chunk.map_err(refusal)?);
    }
    Ok(collected.freeze())
}

fn refusal(error: BodyError) -> Problem {
    let code = match error {
        BodyError::TooLarge => Code::BodyTooLarge,
        BodyError::Slow => Code::SlowSender,
        BodyError::Broken => Code::CallerGone,
    };
    Problem::before_dispatch(code, error.to_string())
}
