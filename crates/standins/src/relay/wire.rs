//! Stand-in for a target whose answers are written to the socket as told, to where they end.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::json;
use sesamewind_adapter::names;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::store::RowStore;
use super::target::{body, event};

/// Number of events in a stream.
pub const EVENTS: u64 = 5;

/// How the length of an answer's body is stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// In chunks.
    Chunked,
    /// By its length.
    Length,
    /// By its length, in an answer that announces the end of the connection.
    LastLength,
    /// Not at all: the body ends with the connection.
    Unframed,
    /// Not at all, in an answer of HTTP/1.0.
    Http10,
}

impl Framing {
    /// Returns whether the body ends with the connection.
    pub fn ends_with_connection(self) -> bool {
        matches!(self, Self::Unframed | Self::Http10)
    }
}

/// How much of an answer is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Extent {
    /// Nothing.
    Nothing,
    /// Half of the head.
    HalfHead,
    /// The head without so many of its last bytes.
    HeadWithout(usize),
    /// The head.
    Head,
    /// Half of the body; of a stream, two events and a half.
    Half,
    /// The body up to the end of this event. A plain body counts as one event.
    Events(u64),
    /// The body and what follows the last event: a further blank line.
    BlankLine,
    /// The whole answer.
    Whole,
}

/// What happens to the connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It stays open for the next request.
    Keep,
    /// It is closed in order.
    Close,
    /// It is reset.
    Reset,
    /// It is reset after so many milliseconds. The answer is written as soon as the head of the request
    /// has arrived, and the body of the request is not read.
    ResetUnread(u64),
}

/// An answer of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WireAnswer {
    /// The status as written, which need not be one.
    pub status: &'static str,
    /// How the length of the body is stated.
    pub framing: Framing,
    /// How much is written.
    pub extent: Extent,
    /// What happens to the connection then.
    pub end: End,
    /// Silence before the second event, and before the end, in milliseconds. Without it, the answer
    /// is written at once.
    pub pause: u64,
}

impl WireAnswer {
    /// A whole answer in chunks.
    pub const WHOLE: Self = Self {
        status: "200",
        framing: Framing::Chunked,
        extent: Extent::Whole,
        end: End::Keep,
        pause: 0,
    };
}

/// Answer to a request for a report.
const REPORT: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

/// A request received by a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireRequest {
    /// Identity of the request.
    pub id: String,
    /// Last event that the caller has received; zero if there is none.
    pub after: u64,
    /// Number of the connection at its target.
    pub connection: usize,
}

/// Answers to the next requests, shared by several targets; requests beyond them get
/// [`WireAnswer::WHOLE`].
#[derive(Debug, Clone, Default)]
pub struct WireScript(Arc<Mutex<VecDeque<WireAnswer>>>);

impl WireScript {
    /// Creates a script.
    pub fn new(answers: &[WireAnswer]) -> Self {
        Self(Arc::new(Mutex::new(answers.iter().copied().collect())))
    }

    /// Appends an answer.
    pub fn push(&self, answer: WireAnswer) {
        lock(&self.0).push_back(answer);
    }

    fn next(&self) -> WireAnswer {
        lock(&self.0).pop_front().unwrap_or(WireAnswer::WHOLE)
    }
}

/// What a target says about itself.
#[derive(Debug, Clone, Copy)]
pub struct WireEntry<'a> {
    /// Id of the target.
    pub id: &'a str,
    /// Name of the service.
    pub service: &'a str,
    /// Whether it answers with streams.
    pub stream: bool,
}

#[derive(Debug)]
struct Core {
    stream: bool,
    script: WireScript,
    received: Mutex<Vec<WireRequest>>,
}

/// A running target; dropping it stops it.
#[derive(Debug)]
pub struct WireTarget {
    core: Arc<Core>,
    task: JoinHandle<()>,
}

impl WireTarget {
    /// Starts a target and registers it.
    ///
    /// # Panics
    ///
    /// Panics if no loopback port is free.
    pub async fn start(entry: WireEntry<'_>, script: WireScript, store: &RowStore) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a loopback port is free");
        let addr = listener.local_addr().expect("bound socket has an address");
        let core = Arc::new(Core { stream: entry.stream, script, received: Mutex::default() });
        let shared = Arc::clone(&core);
        let task = tokio::spawn(async move {
            let mut connection = 0;
            while let Ok((stream, _)) = listener.accept().await {
                connection += 1;
                let core = Arc::clone(&shared);
                tokio::spawn(async move {
                    // The connection ends when the other side closes it.
                    let _ = core.serve(stream, connection).await;
                });
            }
        });
        entry.register(addr, store);
        Self { core, task }
    }

    /// Returns the requests received so far.
    pub fn received(&self) -> Vec<WireRequest> {
        lock(&self.core.received).clone()
    }

    /// Returns how often the request `id` was received.
    pub fn runs(&self, id: &str) -> usize {
        lock(&self.core.received).iter().filter(|request| request.id == id).count()
    }
}

impl Drop for WireTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl WireEntry<'_> {
    fn register(&self, addr: SocketAddr, store: &RowStore) {
        let entry = json!({
            "service": self.service, "address": addr.to_string(), "zone": "z1", "version": "v1",
            "slots": 4, "state": names::STATE_READY, "coldRemainingMs": 0, "sequence": 1, "born": 1
        });
        store.put(names::TARGET_TABLE, self.id, &entry);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Core {
    async fn serve(&self, mut stream: TcpStream, connection: usize) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        loop {
            let head = read_head(&mut stream, &mut buffer).await?;
            if head.split(' ').nth(1) == Some(names::REPORT_PATH) {
                // A report is no request to run, and has no answer in the script.
                read_body(&mut stream, &mut buffer, &head).await?;
                stream.write_all(REPORT).await?;
                continue;
            }
            let id = header(&head, names::REQUEST_ID).unwrap_or_default().to_owned();
            let after = header(&head, names::LAST_EVENT).and_then(|value| value.parse().ok());
            let request = WireRequest { id, after: after.unwrap_or(0), connection };
            let answer = self.script.next();
            if !matches!(answer.end, End::ResetUnread(_)) {
                read_body(&mut stream, &mut buffer, &head).await?;
            }
            let parts = self.parts(answer, &request);
            lock(&self.received).push(request);
            if answer.pause == 0 {
                stream.write_all(parts.concat().as_bytes()).await?;
            } else {
                for (number, part) in parts.iter().enumerate() {
                    if number == 2 {
                        sleep(Duration::from_millis(answer.pause)).await;
                    }
                    stream.write_all(part.as_bytes()).await?;
                }
                sleep(Duration::from_millis(answer.pause)).await;
            }
            match answer.end {
                End::Keep => {}
                End::Close => return stream.shutdown().await,
                End::Reset => return stream.set_zero_linger(),
                End::ResetUnread(delay) => {
                    sleep(Duration::from_millis(delay)).await;
                    return stream.set_zero_linger();
                }
            }
        }
    }

    /// Returns what is written: the head, and each event or the plain body.
    fn parts(&self, answer: WireAnswer, request: &WireRequest) -> Vec<String> {
        let WireRequest { id, after, .. } = request;
        let body: Vec<String> = if self.stream {
            (after + 1..=EVENTS).map(|number| event(id, number)).collect()
        } else {
            vec![body(id)]
        };
        let length: usize = body.iter().map(String::len).sum();
        let (version, framing) = match answer.framing {
            Framing::Chunked => ("1.1", "transfer-encoding: chunked\r\n".to_owned()),
            Framing::Length => ("1.1", format!("content-length: {length}\r\n")),
            Framing::LastLength => {
                ("1.1", format!("connection: close\r\ncontent-length: {length}\r\n"))
            }
            Framing::Unframed => ("1.1", String::new()),
            Framing::Http10 => ("1.0", String::new()),
        };
        let kind = if self.stream { "text/event-stream" } else { "text/plain" };
        let head = format!(
            "HTTP/{version} {} OK\r\n{}: {id}\r\n{}: seal\r\ncontent-type: {kind}\r\n{framing}\r\n",
            answer.status,
            names::REQUEST_ID,
            names::SEAL,
        );
        let half = |text: &str| text[..text.len() / 2].to_owned();
        let chunk = |text: &str| {
            if answer.framing == Framing::Chunked {
                format!("{:x}\r\n{text}\r\n", text.len())
            } else {
                text.to_owned()
            }
        };
        let first = |events: u64| {
            let events = usize::try_from(events).unwrap_or(usize::MAX);
            body.iter().take(events).map(|part| chunk(part)).collect::<Vec<_>>()
        };
        let mut parts = match answer.extent {
            Extent::Nothing => return Vec::new(),
            Extent::HalfHead => return vec![half(&head)],
            Extent::HeadWithout(bytes) => {
                return vec![head[..head.len().saturating_sub(bytes)].to_owned()];
            }
            Extent::Head => Vec::new(),
            Extent::Half => {
                let whole = if self.stream { 2 } else { 0 };
                let mut parts = first(whole);
                parts.extend(body.get(parts.len()).map(|part| chunk(&half(part))));
                parts
            }
            Extent::Events(events) => first(events),
            Extent::BlankLine | Extent::Whole => first(u64::MAX),
        };
        if answer.extent == Extent::BlankLine {
            parts.push(chunk("\n"));
        }
        let is_whole = matches!(answer.extent, Extent::BlankLine | Extent::Whole);
        if is_whole && answer.framing == Framing::Chunked {
            parts.push("0\r\n\r\n".to_owned());
        }
        parts.insert(0, head);
        parts
    }
}

/// Returns the value of a header.
fn header<'a>(head: &'a str, wanted: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case(wanted).then(|| value.trim())
    })
}

/// Reads the head of a request and returns it.
async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<String> {
    loop {
        if let Some(at) = buffer.windows(4).position(|end| end == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..at]).into_owned();
            buffer.drain(..at + 4);
            return Ok(head);
        }
        read_more(stream, buffer).await?;
    }
}

/// Reads and drops the body of the request with this head.
async fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    head: &str,
) -> std::io::Result<()> {
    let length = header(head, "content-length").and_then(|value| value.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buffer.len() < length {
        read_more(stream, buffer).await?;
    }
    buffer.drain(..length);
    Ok(())
}

async fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<()> {
    match stream.read_buf(buffer).await? {
        0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}
