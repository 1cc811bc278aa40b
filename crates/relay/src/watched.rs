//! The socket and the bodies of a connection, which record what happens in its [`Activity`].

use std::cell::RefCell;
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

use crate::activity::Activity;
use crate::answer::{AnswerAborted, AnswerBody};

/// Largest number of unread bytes that are counted.
const MAX_PEEKED_BYTES: usize = 16 << 10;

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

    /// Returns the number of bytes that have arrived and were not read, 16,384 at most. Unlike a
    /// read through the runtime, it asks the operating system even if the runtime has not been told
    /// of bytes yet.
    pub fn unread_bytes(&self) -> usize {
        self.unread.len() + self.peek(&mut [0; MAX_PEEKED_BYTES])
    }

    fn peek(&self, buffer: &mut [u8]) -> usize {
        let socket = match self.stream.as_fd().try_clone_to_owned() {
            Ok(socket) => std::net::TcpStream::from(socket),
            Err(err) => {
                log::debug!("a socket can't be read before it is closed: {err}");
                return 0;
            }
        };
        match socket.peek(buffer) {
            Ok(0) => self.activity.caller_ended(),
            Ok(bytes) => return bytes,
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
            Err(err) => self.activity.socket_failed(&err),
        }
        0
    }

    /// Returns bytes to the socket, which are read before all others.
    pub fn unread(&mut self, bytes: Bytes) {
        self.unread = if self.unread.is_empty() {
            bytes
        } else {
            [bytes, std::mem::take(&mut self.unread)].concat().into()
        };
    }
}

impl Drop for WatchedStream {
    fn drop(&mut self) {
        if self.activity.must_reset()
            && let Err(err) = self.stream.set_zero_linger()
        {
            log::debug!("an incomplete answer may look complete: {err}");
        }
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
        match &result {
            Poll::Ready(Ok(())) if bytes == 0 && buffer.remaining() > 0 => {
                self.activity.caller_ended();
            }
            Poll::Ready(Err(err)) => self.activity.socket_failed(err),
            Poll::Ready(Ok(())) | Poll::Pending => {}
        }
        result
    }
}

impl WatchedStream {
    fn record_write(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.activity.set_blocked(result.is_pending(), Instant::now());
        match &result {
            Poll::Ready(Ok(bytes)) => self.activity.bytes_written(*bytes),
            Poll::Ready(Err(err)) => self.activity.socket_failed(err),
            Poll::Pending => {}
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
        activity.set_body_ended(body.is_end_stream());
        Self { body: Rc::new(RefCell::new(body)), activity }
    }

    /// Returns the state of the connection on which the request arrived.
    pub fn activity(&self) -> Rc<Activity> {
        Rc::clone(&self.activity)
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
            self.activity.set_body_ended(true);
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
