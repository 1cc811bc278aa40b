//! Request bodies that don't arrive as their heads say.

use std::time::{Duration, Instant};

use sesamewind_adapter::names;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::testbed::{KEY, Testbed, until};

/// How long the callers wait for their answers, in milliseconds.
const DEADLINE_MS: u64 = 700;

/// Pause between two bytes of a slow body.
const BYTE_PAUSE: Duration = Duration::from_millis(50);

/// A body that is sent piece by piece.
#[derive(Debug, Clone, Copy)]
enum Body {
    /// One byte at a time, for ever.
    Trickle,
    /// These bytes, and then nothing more.
    Bytes(&'static str),
}

/// Sends a request with this body; returns the status of the answer and the time until it came.
async fn send(testbed: &Testbed, framing: &str, body: Body) -> (u16, Duration) {
    let stream = TcpStream::connect(testbed.gateway.callers).await.expect("the gateway accepts");
    let (mut reader, mut writer) = stream.into_split();
    let head = format!(
        "POST /pay/x HTTP/1.1\r\nhost: h.example\r\n{}: b1\r\nauthorization: {}{KEY}\r\n{}: \
         {DEADLINE_MS}\r\n{framing}\r\n\r\n",
        names::REQUEST_ID,
        names::KEY_SCHEME,
        names::DEADLINE,
    );
    writer.write_all(head.as_bytes()).await.expect("the head is sent");
    let start = Instant::now();
    let sender = tokio::spawn(async move {
        match body {
            Body::Trickle => {
                while writer.write_all(b"x").await.is_ok() {
                    sleep(BYTE_PAUSE).await;
                }
            }
            Body::Bytes(bytes) => {
                let _ = writer.write_all(bytes.as_bytes()).await;
                sleep(Duration::from_secs(10)).await;
            }
        }
    });
    let mut answer = [0; 512];
    let read = timeout(Duration::from_secs(5), reader.read(&mut answer)).await;
    let length = read.expect("an answer in time").expect("an answer");
    sender.abort();
    let text = String::from_utf8_lossy(&answer[..length]).into_owned();
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
    (status.expect("a status"), start.elapsed())
}

/// None of these requests reaches a target. The answers say so, and come by the deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_without_a_whole_body_do_not_run() {
    struct Case {
        name: &'static str,
        framing: &'static str,
        body: Body,
        status: u16,
        cause: &'static str,
    }
    let cases = [
        Case {
            name: "a byte now and then",
            framing: "content-length: 1000",
            body: Body::Trickle,
            status: 503,
            cause: "body too slow",
        },
        Case {
            name: "stalled",
            framing: "content-length: 1000",
            body: Body::Bytes("half"),
            status: 503,
            cause: "body too slow",
        },
        Case {
            name: "stalled in a chunk",
            framing: "transfer-encoding: chunked",
            body: Body::Bytes("8\r\nhalf"),
            status: 503,
            cause: "body too slow",
        },
        Case {
            name: "malformed chunk",
            framing: "transfer-encoding: chunked",
            body: Body::Bytes("zz\r\nhalf\r\n"),
            status: 400,
            cause: "body broken",
        },
        Case {
            name: "too large",
            framing: "content-length: 70000",
            body: Body::Trickle,
            status: 413,
            cause: "body too large",
        },
    ];
    for case in cases {
        let testbed = Testbed::start(0, 1).await;
        let (status, took) = send(&testbed, case.framing, case.body).await;
        assert_eq!(status, case.status, "{}", case.name);
        let latest = Duration::from_millis(DEADLINE_MS + 300);
        assert!(took < latest, "{}: {took:?}", case.name);
        assert!(testbed.plains[0].received().is_empty(), "{}", case.name);
        until("the line is logged", async || !testbed.trace("b1").is_empty()).await;
        let trace = testbed.trace("b1");
        assert_eq!(trace, [("rejected".to_owned(), case.cause.to_owned())], "{}", case.name);
    }
}

/// A body that arrives slowly but in time is served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_body_is_served() {
    let testbed = Testbed::start(0, 1).await;
    let (status, _) = send(&testbed, "content-length: 8", Body::Trickle).await;
    assert_eq!(status, 200);
    assert_eq!(testbed.plains[0].received()[0].body, "xxxxxxxx");
}
