//! Targets that answer before they have read a request's body, and read on later.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;
use sesamewind_adapter::names;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::testbed::{KEY, Testbed, configuration, until};

/// Length of a body that does not fit into the buffers of a connection.
const LONG_BODY: usize = 16 << 20;

/// Longest time that a short request may take.
const SHORT_TIME: Duration = Duration::from_millis(1_500);

/// Answers each request as soon as its head has arrived, and reads the rest of a long body after
/// `delay`.
async fn answer_early(
    mut stream: TcpStream,
    connection: usize,
    delay: Duration,
) -> std::io::Result<()> {
    let mut buffer = Vec::new();
    loop {
        let end = loop {
            if let Some(at) = buffer.windows(4).position(|end| end == b"\r\n\r\n") {
                break at + 4;
            }
            if stream.read_buf(&mut buffer).await? == 0 {
                return Ok(());
            }
        };
        let head = String::from_utf8_lossy(&buffer[..end]).to_ascii_lowercase();
        let field = |name: &str| {
            let line = head.lines().find_map(|line| line.strip_prefix(&format!("{name}: ")));
            line.unwrap_or_default().to_owned()
        };
        let (id, length) = (field(names::REQUEST_ID), field("content-length"));
        let answer = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: seal\r\ncontent-length: 1\r\n\r\n{connection}",
            names::REQUEST_ID,
            names::SEAL,
        );
        stream.write_all(answer.as_bytes()).await?;
        let length: usize = length.parse().unwrap_or(0);
        if length > 1_000 {
            sleep(delay).await;
        }
        while buffer.len() < end + length {
            if stream.read_buf(&mut buffer).await? == 0 {
                return Ok(());
            }
        }
        buffer.drain(..end + length);
    }
}

async fn post(stream: &mut TcpStream, id: &str, body: &[u8]) -> String {
    let head = format!(
        "POST /pay/x HTTP/1.1\r\nhost: h.example\r\n{}: {id}\r\nauthorization: {}{KEY}\r\n\
         content-length: {}\r\n\r\n",
        names::REQUEST_ID,
        names::KEY_SCHEME,
        body.len(),
    );
    stream.write_all(head.as_bytes()).await.expect("the head is sent");
    stream.write_all(body).await.expect("the body is sent");
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes);
        let head = text.split_once("\r\n\r\n").map(|(head, _)| head.to_ascii_lowercase());
        if head.is_some_and(|head| !text.ends_with("\r\n\r\n") || head.contains("length: 0")) {
            return text.into_owned();
        }
        assert_ne!(stream.read_buf(&mut bytes).await.expect("an answer"), 0, "{id}");
    }
}

/// Guards against sending a request behind a body that its target has not read yet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_does_not_wait_for_the_rest_of_another_body() {
    let mut wrong = Vec::new();
    // The requests' deadline is after five seconds.
    for delay in [Duration::from_secs(3), Duration::from_secs(8)] {
        let (took, answer) = play(delay).await;
        if took > SHORT_TIME || !answer.starts_with("HTTP/1.1 200") {
            wrong.push(format!("{delay:?}: {took:?}: {answer}"));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Returns the time and the answer of a request that follows one with a long body, of which the
/// target reads the rest after `delay`.
async fn play(delay: Duration) -> (Duration, String) {
    let testbed = Testbed::start(0, 0).await;
    let mut changed = configuration(2);
    changed["limits"]["maxBodyBytes"] = json!(2 * LONG_BODY);
    testbed.store.configure(&changed);
    let is_configured =
        || testbed.gateway.log_lines().iter().any(|line| line["revision"] == json!(2));
    until("the limits are in force", async || is_configured()).await;
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let connections = Arc::new(AtomicUsize::new(0));
    let task = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let connection = connections.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(answer_early(stream, connection, delay));
        }
    });
    let entry = json!({
        "service": "plain", "address": addr.to_string(), "zone": "z1", "version": "v1",
        "slots": 4, "state": names::STATE_READY, "coldRemainingMs": 0, "sequence": 1, "born": 1
    });
    testbed.store.put(names::TARGET_TABLE, "i-e0", &entry);
    testbed.wait_listed(1).await;
    let mut caller = TcpStream::connect(testbed.gateway.callers).await.expect("it accepts");
    let first = post(&mut caller, "long", &vec![b'x'; LONG_BODY]).await;
    assert!(first.starts_with("HTTP/1.1 200"), "{first}");
    let start = Instant::now();
    let second = post(&mut caller, "short", b"the body").await;
    let took = start.elapsed();
    task.abort();
    (took, format!("{second}; {:?}", testbed.trace("short")))
}
