//! HTTP answers to callers and their bodies.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use http::Response;
use http_body::{Body, Frame, SizeHint};

/// An answer to a caller.
pub type Answer = Response<AnswerBody>;

/// The stream from the target ended early and could not be resumed.
///
/// The caller's connection is closed without the end of the body, so that the caller notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("answer aborted")]
pub struct AnswerAborted;

/// Body of an answer to a caller.
pub enum AnswerBody {
    /// Complete body in memory.
    Whole(Bytes),
    /// Bytes forwarded as they arrive from the target.
    Stream(LocalBoxStream<'static, Result<Bytes, AnswerAborted>>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerAborted>>> {
        match self.get_mut() {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Stream(stream) => stream
                .as_mut()
                .poll_next(context)
                .map(|next| next.map(|item| item.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
