//! Observes what happens on a caller's connection: bytes that arrive, requests and answers.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::answer::{AnswerAborted, AnswerBody};

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Usage {
    /// No byte of a further request has been read.
    Idle,
    /// Part of a request's head has been read.
    Head,
    /// A request is being read or answered.
    Request,
}

impl Usage {
    /// Returns the usage as written in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Request => "request",
        }
    }
}

/// State of a connection, shared by its parts.
#[derive(Debug)]
pub struct Activity {
    usage: Cell<Usage>,
    since: Cell<Instant>,
    opened: Instant,
    served: Cell<u64>,
    head_bytes: Cell<usize>,
}

impl Activity {
    /// Creates the state of a connection that was opened at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            usage: Cell::new(Usage::Idle),
            since: Cell::new(now),
            opened: now,
            served: Cell::new(0),
            head_bytes: Cell::new(0),
        }
    }

    /// Returns what the connection is used for, and since when.
    pub fn usage(&self) -> (Usage, Instant) {
        (self.usage.get(), self.since.get())
    }

    /// Returns when the connection was opened.
    pub fn opened(&self) -> Instant {
        self.opened
    }

    /// Returns the number of requests whose answers have ended.
    pub fn served(&self) -> u64 {
        self.served.get()
    }

    /// Returns the number of bytes that were read since the last answer, without a request.
    pub fn head_bytes(&self) -> usize {
        self.head_bytes.get()
    }

    /// Records that the head of a request was read.
    pub fn request_started(&self, now: Instant) {
        self.enter(Usage::Request, now);
        self.head_bytes.set(0);
    }

    fn bytes_read(&self, bytes: usize, now: Instant) {
        if self.usage.get() == Usage::Request {
            return;
        }
        if self.usage.get() == Usage::Idle {
            self.enter(Usage::Head, now);
        }
        self.head_bytes.set(self.head_bytes.get() + bytes);
    }

    fn answer_ended(&self, now: Instant) {
        self.enter(Usage::Idle, now);
        self.served.set(self.served.get() + 1);
    }

    fn enter(&self, usage: Usage, now: Instant) {
        self.usage.set(usage);
        self.since.set(now);
    }
}

/// A socket whose reads are recorded.
#[derive(Debug)]
pub struct WatchedStream {
    stream: TcpStream,
    activity: Rc<Activity>,
}

impl WatchedStream {
    /// Creates a socket that records its reads in `activity`.
    pub fn new(stream: TcpStream, activity: Rc<Activity>) -> Self {
        Self { stream, activity }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            self.activity.bytes_read(bytes, Instant::now());
        }
        result
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// The body of an answer, which records that it was passed on to its end.
pub struct WatchedBody {
    body: AnswerBody,
    activity: Rc<Activity>,
    ended: bool,
}

impl WatchedBody {
    /// Creates a body that records its end in `activity`. `unsent` tells that the answer is sent
    /// without its body.
    pub fn new(body: AnswerBody, unsent: bool, activity: Rc<Activity>) -> Self {
        Self { body, activity, ended: unsent }
    }
}

impl Drop for WatchedBody {
    fn drop(&mut self) {
        if self.ended || self.body.is_end_stream() {
            self.activity.answer_ended(Instant::now());
        }
    }
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = AnswerAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerAborted>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        self.ended |= matches!(frame, Poll::Ready(None));
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
