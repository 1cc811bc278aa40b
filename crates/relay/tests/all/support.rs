//! A listener under test, the log lines of the process, and callers.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Duration;

use http::Request;
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Metadata, Record};
use sesamewind_relay::activity::UseCount;
use sesamewind_relay::answer::Answer;
use sesamewind_relay::metrics::Metrics;
use sesamewind_relay::server::{self, Limits, Phase, Shared};
use sesamewind_relay::watched::RequestBody;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch::Sender;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Text that no answer contains, to read until a connection ends.
pub const END: &str = "no such text";

/// Time limit of each wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time in which a connection is accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Lines of the process: the event, and its other fields as text.
static LINES: Mutex<Vec<(String, String)>> = Mutex::new(Vec::new());

struct Recorder;

impl log::Log for Recorder {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        struct Fields(String, String);
        impl<'kvs> VisitSource<'kvs> for Fields {
            fn visit_pair(
                &mut self,
                key: Key<'kvs>,
                value: Value<'kvs>,
            ) -> Result<(), log::kv::Error> {
                if key.as_str() == "event" {
                    self.0 = value.to_string();
                } else {
                    self.1 += &format!("{key}={value} ");
                }
                Ok(())
            }
        }
        let mut fields = Fields(String::new(), format!("{} ", record.args()));
        record.key_values().visit(&mut fields).expect("fields can be read");
        LINES.lock().unwrap_or_else(PoisonError::into_inner).push((fields.0, fields.1));
    }

    fn flush(&self) {}
}

/// Starts to record the lines of the process.
pub fn record_lines() {
    static ONCE: OnceLock<()> = OnceLock::new();
    ONCE.get_or_init(|| {
        log::set_logger(&Recorder).expect("no other logger");
        log::set_max_level(LevelFilter::Debug);
    });
}

/// Returns the fields of all lines with this event.
pub fn lines(event: &str) -> Vec<String> {
    let lines = LINES.lock().unwrap_or_else(PoisonError::into_inner);
    lines.iter().filter(|(name, _)| name == event).map(|(_, fields)| fields.clone()).collect()
}

/// A running listener.
pub struct Listener {
    /// Address of the listener.
    pub addr: SocketAddr,
    /// Metrics of the listener.
    pub metrics: Rc<Metrics>,
    /// Progress of a planned stop.
    pub phase: Sender<Phase>,
    limits: Rc<Cell<Limits>>,
}

impl Listener {
    /// Starts a listener on the current `LocalSet`.
    pub fn start<H, F>(handler: H, limits: Limits) -> Self
    where
        H: Fn(Request<RequestBody>) -> F + Clone + 'static,
        F: Future<Output = Answer> + 'static,
    {
        let listener = server::bind(([127, 0, 0, 1], 0).into()).expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let (metrics, phase) = (Rc::new(Metrics::new()), Sender::new(Phase::Serving));
        let limits = Rc::new(Cell::new(limits));
        let current = Rc::clone(&limits);
        let shared = Shared {
            name: "callers",
            limits: move || current.get(),
            phase: phase.subscribe(),
            metrics: Rc::clone(&metrics),
            in_use: UseCount::default(),
        };
        spawn_local(server::serve(listener, handler, shared));
        Self { addr, metrics, phase, limits }
    }

    /// Changes the limits, as a new configuration does.
    pub fn set_limits(&self, limits: Limits) {
        self.limits.set(limits);
    }
}

/// Limits with this idle time.
pub fn limits(idle_timeout: Duration) -> Limits {
    Limits { head_bytes: 16_384, head_timeout: Duration::from_millis(500), idle_timeout }
}

/// A caller's connection.
pub struct Caller(TcpStream);

impl Caller {
    /// Connects, and waits until the connection is served.
    pub async fn connect(listener: &Listener) -> Self {
        let stream = TcpStream::connect(listener.addr).await.expect("it accepts");
        sleep(ACCEPT_PAUSE).await;
        Self(stream)
    }

    /// Sends these bytes.
    pub async fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.expect("the bytes are sent");
    }

    /// Ends the sending side of the connection.
    pub async fn shut_down(&mut self) {
        self.0.shutdown().await.expect("the end is sent");
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        self.0.set_zero_linger().expect("a socket option");
    }

    /// Reads until the connection ends or the text ends with `end`.
    pub async fn read_until(&mut self, end: &str) -> String {
        let mut text = Vec::new();
        let read = async {
            while !text.ends_with(end.as_bytes()) {
                let mut part = [0; 1_024];
                match self.0.read(&mut part).await.expect("no reset") {
                    0 => return,
                    bytes => text.extend_from_slice(&part[..bytes]),
                }
            }
        };
        timeout(WAIT_TIMEOUT, read).await.expect("bytes or the end of the connection");
        String::from_utf8_lossy(&text).into_owned()
    }

    /// Reads some bytes.
    pub async fn read_part(&mut self) -> String {
        let mut part = vec![0; 1_024];
        let read = timeout(WAIT_TIMEOUT, self.0.read(&mut part)).await;
        let bytes = read.expect("bytes in time").expect("no reset");
        assert!(bytes > 0, "the connection ended");
        String::from_utf8_lossy(&part[..bytes]).into_owned()
    }

    /// Reads an answer with a body of `length` bytes, and returns its head.
    pub async fn read_answer(&mut self, length: usize) -> String {
        let mut bytes = Vec::new();
        loop {
            let head = bytes.windows(4).position(|part| part == b"\r\n\r\n");
            if let Some(head) = head.filter(|head| bytes.len() >= head + 4 + length) {
                assert_eq!(bytes.len(), head + 4 + length, "more bytes than one answer");
                return String::from_utf8_lossy(&bytes[..head]).into_owned();
            }
            let read = timeout(WAIT_TIMEOUT, self.0.read_buf(&mut bytes)).await;
            let read = read.expect("bytes in time").expect("no reset");
            assert!(read > 0, "the connection ended after {} bytes", bytes.len());
        }
    }

    /// Returns whether the connection ends within `limit` without further bytes.
    pub async fn ends_within(&mut self, limit: Duration) -> bool {
        matches!(timeout(limit, self.0.read(&mut [0; 16])).await, Ok(Ok(0)))
    }
}
