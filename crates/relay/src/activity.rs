//! Observes what happens on a caller's connection: bytes that arrive, requests and answers.

use std::cell::{Cell, RefCell};
use std::io;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::answer::{AnswerAborted, AnswerBody};

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Usage {
    /// All answers have ended, and no byte of a further request has been read.
    Idle,
    /// Part of a request's head has been read.
    Head,
    /// A request is being read or answered.
    Request,
    /// The last answer has ended. No further request is read.
    Closing,
}

impl Usage {
    /// Returns the usage as written in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Request => "request",
            Self::Closing => "closing",
        }
    }
}

/// The side that ends a connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The caller's request said so.
    Caller,
    /// The answer says so.
    Answer,
}

/// State of a connection, shared by its parts.
#[derive(Debug)]
pub struct Activity {
    usage: Cell<Usage>,
    since: Cell<Instant>,
    opened: Instant,
    served: Cell<u64>,
    head_bytes: Cell<usize>,
    /// Whether the socket takes no more bytes of an answer at present.
    blocked: Cell<bool>,
    /// Whether the body of the current request was read to its end.
    body_ended: Cell<bool>,
    /// Which side said that no request follows the current one.
    last: Cell<Option<Side>>,
    in_use: UseCount,
    counted: Cell<bool>,
}

/// Number of connections that are in use: part of a request was read whose answer is not written
/// yet.
#[derive(Debug, Clone, Default)]
pub struct UseCount(Rc<Cell<usize>>);

impl UseCount {
    /// Returns the number of connections in use.
    pub fn get(&self) -> usize {
        self.0.get()
    }
}

impl Drop for Activity {
    fn drop(&mut self) {
        self.set_counted(false);
    }
}

impl Activity {
    /// Creates the state of a connection that was opened at `now` and is counted in `in_use`.
    pub fn new(in_use: UseCount, now: Instant) -> Self {
        Self {
            usage: Cell::new(Usage::Idle),
            since: Cell::new(now),
            opened: now,
            served: Cell::new(0),
            head_bytes: Cell::new(0),
            blocked: Cell::new(false),
            body_ended: Cell::new(false),
            last: Cell::new(None),
            in_use,
            counted: Cell::new(false),
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

    /// Returns whether bytes of an answer wait for the socket.
    pub fn is_blocked(&self) -> bool {
        self.blocked.get()
    }

    /// Records that the head of a request was read; `last` tells whether its caller sends no other.
    pub fn request_started(&self, last: bool, now: Instant) {
        self.enter(Usage::Request, now);
        self.head_bytes.set(0);
        self.body_ended.set(false);
        self.last.set(last.then_some(Side::Caller));
    }

    /// Records that the answer to the current request is the connection's last one.
    pub fn set_last(&self) {
        self.last.set(self.last.get().or(Some(Side::Answer)));
    }

    /// Returns which side said that no request follows the current one.
    pub fn last(&self) -> Option<Side> {
        self.last.get()
    }

    /// Returns whether the body of the current request was read to its end. If not, bytes that
    /// follow are not a head.
    pub fn has_body_ended(&self) -> bool {
        self.body_ended.get()
    }

    /// Records that bytes of a head have arrived, which has the head timeout from `now` on.
    pub fn head_arrives(&self, now: Instant) {
        self.enter(Usage::Head, now);
    }

    /// Records that no further request is read.
    pub fn closes(&self, now: Instant) {
        self.enter(Usage::Closing, now);
    }

    fn bytes_read(&self, bytes: usize, now: Instant) {
        match self.usage.get() {
            Usage::Request | Usage::Closing => return,
            Usage::Idle => self.enter(Usage::Head, now),
            Usage::Head => {}
        }
        self.head_bytes.set(self.head_bytes.get() + bytes);
    }

    fn answer_ended(&self, now: Instant) {
        self.enter(if self.last.get().is_some() { Usage::Closing } else { Usage::Idle }, now);
        self.served.set(self.served.get() + 1);
    }

    fn enter(&self, usage: Usage, now: Instant) {
        self.usage.set(usage);
        self.since.set(now);
        self.count();
    }

    fn set_blocked(&self, blocked: bool) {
        self.blocked.set(blocked);
        self.count();
    }

    fn count(&self) {
        let has_request = matches!(self.usage.get(), Usage::Head | Usage::Request);
        self.set_counted(has_request || self.blocked.get());
    }

    fn set_counted(&self, counted: bool) {
        let in_use = &self.in_use.0;
        match (self.counted.replace(counted), counted) {
            (false, true) => in_use.set(in_use.get() + 1),
            (true, false) => in_use.set(in_use.get() - 1),
            (false, false) | (true, true) => {}
        }
    }
}

/// A socket whose reads and writes are recorded.
#[derive(Debug)]
pub struct WatchedStream {
    stream: TcpStream,
    activity: Rc<Activity>,
    /// Bytes that were read before and are read again.
    unread: Bytes,
}

impl WatchedStream {
    /// Creates a socket that records its reads and writes in `activity`.
    pub fn new(stream: TcpStream, activity: Rc<Activity>) -> Self {
        Self { stream, activity, unread: Bytes::new() }
    }

    /// Writes the last bytes before the socket is closed, without waiting.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the bytes do not fit into the socket's buffer.
    pub fn write_last(&self, bytes: &[u8]) -> io::Result<()> {
        let written = self.stream.try_write(bytes)?;
        if written < bytes.len() { Err(io::ErrorKind::WriteZero.into()) } else { Ok(()) }
    }

    /// Returns whether bytes have arrived that were not read. Unlike a read through the runtime, it
    /// asks the operating system even if the runtime has not been told of bytes yet.
    pub fn has_arrived(&self) -> bool {
        let socket = self.stream.as_fd().try_clone_to_owned().map(std::net::TcpStream::from);
        match socket.and_then(|socket| socket.peek(&mut [0])) {
            Ok(bytes) => bytes > 0,
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => false,
            Err(err) => {
                log::debug!("a socket can't be read before it is closed: {err}");
                false
            }
        }
    }

    /// Returns bytes to the socket, which are read before all others.
    pub fn unread(&mut self, bytes: Bytes) {
        self.unread = bytes;
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = if self.unread.is_empty() {
            Pin::new(&mut self.stream).poll_read(context, buffer)
        } else {
            let length = self.unread.len().min(buffer.remaining());
            buffer.put_slice(&self.unread.split_to(length));
            Poll::Ready(Ok(()))
        };
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            self.activity.bytes_read(bytes, Instant::now());
        }
        result
    }
}

impl WatchedStream {
    fn record_write(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.activity.set_blocked(result.is_pending());
        result
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.record_write(result)
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

/// The body of a request, which records that it was read to its end.
#[derive(Debug)]
pub struct RequestBody {
    body: Rc<RefCell<Incoming>>,
    activity: Rc<Activity>,
}

impl RequestBody {
    /// Creates a body that records its end in `activity`.
    pub fn new(body: Incoming, activity: Rc<Activity>) -> Self {
        activity.body_ended.set(body.is_end_stream());
        Self { body: Rc::new(RefCell::new(body)), activity }
    }

    /// Returns another handle of the same body, to read what a handler has left.
    pub fn share(&self) -> Self {
        Self { body: Rc::clone(&self.body), activity: Rc::clone(&self.activity) }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut *self.body.borrow_mut()).poll_frame(context);
        if matches!(frame, Poll::Ready(None)) {
            self.activity.body_ended.set(true);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.borrow().is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.borrow().size_hint()
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
