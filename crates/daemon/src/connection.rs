//! Serves one connection, and ends it without losing a request or an answer.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::server::{self, Limits};

/// Smallest read buffer that the HTTP library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;

/// Interval at which a connection checks for a head on its way in once the instance stops.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time in which a connection that has ended is read, so that its caller sees no reset.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// Number of bytes that are read in that time.
const MAX_LINGER_BYTES: u64 = 16 << 20;

/// Answer to a request whose head has not arrived in time.
const HEAD_TIMEOUT_ANSWER: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// A caller's stream that records whether part of a request has been read.
struct WatchedStream {
    stream: TcpStream,
    /// Whether bytes were read since the last complete head and the last bytes of an answer.
    arrives: Arc<AtomicBool>,
}

/// Serves a connection until it ends. Once `stop` becomes true, it ends after the requests that are
/// open or on their way in.
pub(crate) async fn serve<S, B>(
    stream: TcpStream,
    service: S,
    limits: Limits,
    mut stop: watch::Receiver<bool>,
) where
    S: Service<Request<Incoming>, Response = Response<B>>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let _ = stream.set_nodelay(true);
    let arrives = Arc::new(AtomicBool::new(false));
    let watched = WatchedStream { stream, arrives: Arc::clone(&arrives) };
    let service = service_fn(|request| {
        arrives.store(false, Ordering::Relaxed);
        service.call(request)
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(watched), service);
    let ended = tokio::select! {
        ended = &mut connection => Some(ended),
        () = server::stopped(&mut stop) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => loop {
            tokio::select! {
                ended = &mut connection => break ended,
                () = sleep(STOP_POLL_INTERVAL) => {}
            }
            if !arrives.load(Ordering::Relaxed) {
                Pin::new(&mut connection).graceful_shutdown();
                break (&mut connection).await;
            }
        },
    };
    let mut stream = connection.into_parts().io.into_inner().stream;
    if let Err(error) = ended {
        log::debug!("connection ended: {error}");
        if error.is_timeout() && arrives.load(Ordering::Relaxed) {
            let _ = stream.try_write(HEAD_TIMEOUT_ANSWER);
        }
    }
    let skip = async {
        stream.shutdown().await?;
        tokio::io::copy(&mut stream.take(MAX_LINGER_BYTES), &mut tokio::io::sink()).await
    };
    if !matches!(timeout(LINGER_TIME, skip).await, Ok(Ok(_))) {
        log::debug!("a connection is closed while its caller sends");
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
        if buffer.filled().len() > before {
            self.arrives.store(true, Ordering::Relaxed);
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
        self.arrives.store(false, Ordering::Relaxed);
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.arrives.store(false, Ordering::Relaxed);
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
