//! Changes and stops that cross a request, whatever stage the request is at.

use std::time::Duration;

use serde_json::{Value, json};
use sesamewind_adapter::names;
use sesamewind_standins::relay::TargetOptions;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::testbed::{KEY, Testbed, configuration, until};

/// Time limit for an answer.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time from the first part of a request to the event that crosses it.
const BEFORE: Duration = Duration::from_millis(150);

/// Body of each request.
const BODY: &str = "the body";

/// Where a request is when the event crosses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    FirstByte,
    Head,
    LastByteOfHead,
    Body,
    Chunk,
    /// At the target, which answers after the event.
    Dispatched,
    /// Waiting for the slot of a request before it.
    Queued,
    /// Part of the answer has been forwarded.
    Streaming,
}

impl Stage {
    const ALL: [Self; 8] = [
        Self::FirstByte,
        Self::Head,
        Self::LastByteOfHead,
        Self::Body,
        Self::Chunk,
        Self::Dispatched,
        Self::Queued,
        Self::Streaming,
    ];

    fn path(self) -> &'static str {
        match self {
            Self::Queued | Self::Streaming => "/once-stream/x",
            _ => "/pay/x",
        }
    }

    /// Returns the parts of a request that are sent before and after the event.
    fn parts(self, id: &str) -> (String, String) {
        let chunked = self == Self::Chunk;
        let framing = if chunked { "transfer-encoding: chunked" } else { "content-length: 8" };
        let body = if chunked { "4\r\nthe \r\n4\r\nbody\r\n0\r\n\r\n" } else { BODY };
        let head = head(self.path(), id, framing);
        let text = format!("{head}{body}");
        let first = match self {
            Self::FirstByte => 1,
            Self::Head => head.len() / 2,
            Self::LastByteOfHead => head.len() - 1,
            Self::Body => head.len() + 4,
            Self::Chunk => head.len() + 5,
            Self::Dispatched | Self::Queued | Self::Streaming => text.len(),
        };
        let (first, rest) = text.split_at(first);
        (first.to_owned(), rest.to_owned())
    }
}

fn head(path: &str, id: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: h.example\r\n{}: {id}\r\nauthorization: {}{KEY}\r\n\
         {framing}\r\n\r\n",
        names::REQUEST_ID,
        names::KEY_SCHEME,
    )
}

/// Reads one answer; returns its status, or `None` if it is not complete.
async fn read_answer(stream: &mut TcpStream) -> Option<u16> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let head = head.to_ascii_lowercase();
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            let length: Option<usize> = length.and_then(|length| length.parse().ok());
            let whole = match length {
                Some(length) => body.len() >= length,
                None => body.ends_with("0\r\n\r\n"),
            };
            if whole {
                return head.split(' ').nth(1)?.parse().ok();
            }
        }
        match timeout(WAIT_TIMEOUT, stream.read_buf(&mut bytes)).await {
            Ok(Ok(length)) if length > 0 => {}
            _ => return None,
        }
    }
}

/// A request on a connection that has been used before, of which the first part has been sent.
struct Crossing {
    stage: Stage,
    stream: TcpStream,
    rest: String,
}

impl Crossing {
    async fn start(testbed: &Testbed, stage: Stage) -> Self {
        let connect = TcpStream::connect(testbed.gateway.callers);
        let mut stream = connect.await.expect("the gateway accepts");
        let before = head("/read/x", &format!("{stage:?}-before"), "content-length: 8");
        stream.write_all(format!("{before}{BODY}").as_bytes()).await.expect("it is sent");
        assert_eq!(read_answer(&mut stream).await, Some(200), "{stage:?}: first request");
        let (first, rest) = stage.parts(&format!("{stage:?}"));
        stream.write_all(first.as_bytes()).await.expect("the first part is sent");
        Self { stage, stream, rest }
    }

    /// Sends the rest and returns the status of the answer.
    async fn finish(mut self) -> (Stage, Option<u16>) {
        if self.stream.write_all(self.rest.as_bytes()).await.is_err() {
            return (self.stage, None);
        }
        (self.stage, read_answer(&mut self.stream).await)
    }
}

/// Something that crosses the requests.
struct Event {
    name: &'static str,
    /// Changes the configuration.
    change: fn(&mut Value),
    /// Number of stop signals.
    stops: u32,
    /// Whether a signal to reload is sent.
    reload: bool,
    /// Time from the event to the rest of the requests.
    after: Duration,
}

const CHANGE: Event =
    Event { name: "", change: |_| {}, stops: 0, reload: false, after: Duration::from_millis(100) };

/// Writes a configuration and waits until it is in force.
async fn install(testbed: &Testbed, configuration: &Value) {
    testbed.store.configure(configuration);
    let is_installed = |line: &Value| {
        line["event"] == "configured" && line["revision"] == configuration["version"]
    };
    until("the configuration is in force", async || {
        testbed.gateway.log_lines().iter().any(is_installed)
    })
    .await;
}

async fn cross(event: &Event) {
    let options = TargetOptions {
        slots: 1,
        events: 8,
        delay: Duration::from_millis(100),
        ..TargetOptions::default()
    };
    // The plain targets have more slots than one; each model engine has one.
    let testbed = Testbed::start_with(1, 1, options).await;
    let mut unchanged = configuration(2);
    unchanged["limits"]["headerTimeoutMs"] = json!(20_000);
    install(&testbed, &unchanged).await;
    let mut crossings = Vec::new();
    for stage in Stage::ALL {
        // The stream occupies the slot that the queued request waits for.
        if stage != Stage::Streaming && stage != Stage::Queued {
            crossings.push(Crossing::start(&testbed, stage).await);
        }
    }
    crossings.push(Crossing::start(&testbed, Stage::Streaming).await);
    crossings.push(Crossing::start(&testbed, Stage::Queued).await);
    sleep(BEFORE).await;
    let mut changed = unchanged.clone();
    (event.change)(&mut changed);
    if changed != unchanged {
        changed["version"] = json!(3);
        install(&testbed, &changed).await;
    }
    for _ in 0..event.stops {
        testbed.gateway.terminate();
        sleep(Duration::from_millis(20)).await;
    }
    if event.reload {
        testbed.gateway.reload();
    }
    sleep(event.after).await;
    let finished = futures_util::future::join_all(crossings.into_iter().map(Crossing::finish));
    for (stage, status) in finished.await {
        let trace = || testbed.trace(&format!("{stage:?}"));
        assert!(status.is_some(), "{}: {stage:?} has no answer: {:?}", event.name, trace());
    }
}

/// Each request gets a complete answer, which may be a refusal.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_of_the_configuration_leaves_no_request_without_an_answer() {
    let events = [
        Event { name: "idle", change: |c| c["limits"]["idleTimeoutMs"] = json!(50), ..CHANGE },
        Event {
            name: "head time",
            change: |c| c["limits"]["headerTimeoutMs"] = json!(50),
            ..CHANGE
        },
        Event { name: "head", change: |c| c["limits"]["maxHeaderBytes"] = json!(8_192), ..CHANGE },
        Event { name: "body", change: |c| c["limits"]["maxBodyBytes"] = json!(4), ..CHANGE },
        Event { name: "no route", change: |c| c["routes"] = json!([c["routes"][0]]), ..CHANGE },
        Event {
            name: "timeout",
            change: |c| {
                for route in c["routes"].as_array_mut().expect("routes") {
                    route["timeoutMs"] = json!(200);
                }
            },
            ..CHANGE
        },
        Event { name: "key", change: |c| c["tenants"][0]["apiKeys"] = json!(["k2"]), ..CHANGE },
        Event { name: "account", change: |c| c["tenants"] = json!([]), ..CHANGE },
        Event { name: "reload", reload: true, ..CHANGE },
    ];
    for event in events {
        cross(&event).await;
    }
}

/// The rest of each request arrives early in a stop, or when the instance closes its connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_leaves_no_request_without_an_answer() {
    for stops in [1, 2] {
        for after in [100, 2_000, 2_600] {
            let name = "stop";
            let after = Duration::from_millis(after);
            cross(&Event { name, stops, after, ..CHANGE }).await;
        }
    }
}

/// The whole request, or the rest of its head, arrives while the process is suspended for longer
/// than the idle time and the head timeout.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_suspended_process_answers_what_arrived_meanwhile() {
    const LIMIT_MS: u64 = 400;
    let testbed = Testbed::start(1, 1).await;
    let mut changed = configuration(2);
    changed["limits"]["idleTimeoutMs"] = json!(LIMIT_MS);
    changed["limits"]["headerTimeoutMs"] = json!(LIMIT_MS);
    install(&testbed, &changed).await;
    let stages = [Stage::FirstByte, Stage::Head, Stage::LastByteOfHead, Stage::Body];
    for stage in stages {
        let mut whole = Crossing::start(&testbed, Stage::Dispatched).await;
        assert_eq!(read_answer(&mut whole.stream).await, Some(200), "{stage:?}");
        let (text, _) = Stage::Dispatched.parts("whole");
        let part = Crossing::start(&testbed, stage).await;
        let pause = testbed.gateway.pause(Duration::from_millis(LIMIT_MS * 2));
        let arrive = async {
            sleep(Duration::from_millis(LIMIT_MS / 2)).await;
            whole.stream.write_all(text.as_bytes()).await.expect("the request is sent");
            part.finish().await
        };
        let ((), (_, status)) = tokio::join!(pause, arrive);
        assert_eq!(status, Some(200), "{stage:?}");
        assert_eq!(read_answer(&mut whole.stream).await, Some(200), "{stage:?}: whole");
    }
}
