//! Stand-in for a server whose answers have no end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use serde_json::json;
use sesamewind_adapter::names;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::store::RowStore;

/// Bytes that are written at once.
const BLOCK_BYTES: usize = 16_384;

/// Time between two bytes of [`Flood::SlowBody`].
const BYTE_PAUSE: Duration = Duration::from_millis(50);

/// What a server sends until the connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flood {
    /// Bytes that are no HTTP.
    Garbage,
    /// A head of many lines.
    HeadLines,
    /// A head with one line.
    HeadLine,
    /// Interim answers.
    Interim,
    /// The body of a successful answer.
    Body,
    /// The body of a successful answer, byte by byte.
    SlowBody,
    /// A body that ends with the connection.
    Unframed,
    /// The extension of the first chunk of a successful answer.
    ChunkExtension,
    /// The trailers of a successful answer.
    Trailers,
    /// One event of a stream.
    Event,
    /// Comments before the first event of a stream.
    Comments,
    /// Blank lines before the first event of a stream.
    BlankLines,
    /// Lines with identifiers in the first event of a stream.
    IdLines,
    /// The body of an answer that reports a failure.
    Failure,
    /// The body of an answer that states that the request did not run.
    Declined,
    /// Bytes after a complete answer.
    AfterAnswer,
}

#[derive(Debug)]
struct Core {
    flood: Flood,
    accepted: AtomicUsize,
    open: AtomicUsize,
}

/// A running server; dropping it stops it.
#[derive(Debug)]
pub struct FloodServer {
    core: Arc<Core>,
    addr: SocketAddr,
    task: JoinHandle<()>,
}

impl FloodServer {
    /// Starts a server.
    ///
    /// # Panics
    ///
    /// Panics if no loopback port is free.
    pub async fn start(flood: Flood) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a loopback port is free");
        let addr = listener.local_addr().expect("bound socket has an address");
        let core =
            Arc::new(Core { flood, accepted: AtomicUsize::new(0), open: AtomicUsize::new(0) });
        let shared = Arc::clone(&core);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                shared.accepted.fetch_add(1, Ordering::Relaxed);
                shared.open.fetch_add(1, Ordering::Relaxed);
                let core = Arc::clone(&shared);
                tokio::spawn(async move {
                    // The connection ends when the other side closes it.
                    let _ = core.answer(stream).await;
                    core.open.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Self { core, addr, task }
    }

    /// Starts a server and registers it as the target `id` of `service`.
    ///
    /// # Panics
    ///
    /// Panics if no loopback port is free.
    pub async fn start_target(flood: Flood, id: &str, service: &str, store: &RowStore) -> Self {
        let this = Self::start(flood).await;
        let entry = json!({
            "service": service, "address": this.addr.to_string(), "zone": "z1", "version": "v1",
            "slots": 8, "state": names::STATE_READY, "coldRemainingMs": 0, "sequence": 1, "born": 1
        });
        store.put(names::TARGET_TABLE, id, &entry);
        this
    }

    /// Returns the address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of connections that were accepted.
    pub fn accepted(&self) -> usize {
        self.core.accepted.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that the other side has not closed.
    pub fn open(&self) -> usize {
        self.core.open.load(Ordering::Relaxed)
    }
}

impl Drop for FloodServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Core {
    async fn answer(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let head = read_head(&mut stream).await?;
        let id = head.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            name.eq_ignore_ascii_case(names::REQUEST_ID).then(|| value.trim().to_owned())
        });
        let own = format!(
            "{}: {}\r\n{}: seal\r\n",
            names::REQUEST_ID,
            id.unwrap_or_default(),
            names::SEAL
        );
        let (start, block) = self.flood.parts(&own);
        stream.write_all(start.as_bytes()).await?;
        if self.flood == Flood::SlowBody {
            loop {
                sleep(BYTE_PAUSE).await;
                stream.write_all(b"1\r\nx\r\n").await?;
            }
        }
        let block = block.repeat(BLOCK_BYTES / block.len());
        loop {
            stream.write_all(block.as_bytes()).await?;
        }
    }
}

impl Flood {
    /// Returns the start of the answer, and what is repeated after it. `own` holds the headers that
    /// make it an answer to the request.
    fn parts(self, own: &str) -> (String, String) {
        let chunk = format!("1000\r\n{}\r\n", "x".repeat(0x1000));
        let comments = format!("400\r\n{}\r\n", ": wait\n\n".repeat(0x80));
        let blank = format!("400\r\n{}\r\n", "\n".repeat(0x400));
        let ids = format!("400\r\n{}\r\n", "id: 123\n".repeat(0x80));
        let ok = format!("HTTP/1.1 200 OK\r\n{own}");
        let chunked = format!("{ok}transfer-encoding: chunked\r\n\r\n");
        let (start, block) = match self {
            Self::Garbage => (String::new(), "x"),
            Self::HeadLines => (ok, "x-line: 1\r\n"),
            Self::HeadLine => (format!("{ok}x-line: "), "x"),
            Self::Interim => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
            Self::Body | Self::SlowBody => (chunked, chunk.as_str()),
            Self::Unframed => (format!("{ok}\r\n"), "x"),
            Self::ChunkExtension => (format!("{chunked}1;"), "x"),
            Self::Trailers => (format!("{chunked}1\r\nx\r\n0\r\n"), "x-line: 1\r\n"),
            Self::Event => (format!("{chunked}6\r\ndata: \r\n"), chunk.as_str()),
            Self::Comments => (chunked, comments.as_str()),
            Self::BlankLines => (chunked, blank.as_str()),
            Self::IdLines => (chunked, ids.as_str()),
            Self::Failure => {
                let head =
                    format!("HTTP/1.1 500 Failed\r\n{own}transfer-encoding: chunked\r\n\r\n");
                (head, chunk.as_str())
            }
            Self::Declined => {
                let not_run = names::NOT_EXECUTED;
                let head = format!(
                    "HTTP/1.1 503 Full\r\n{own}{not_run}: 1\r\ntransfer-encoding: chunked\r\n\r\n"
                );
                (head, chunk.as_str())
            }
            Self::AfterAnswer => (format!("{ok}content-length: 5\r\n\r\nwhole"), "x"),
        };
        (start, block.to_owned())
    }
}

async fn read_head(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut head = Vec::new();
    let mut buffer = [0; 4_096];
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        let length = stream.read(&mut buffer).await?;
        if length == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        head.extend_from_slice(&buffer[..length]);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}
