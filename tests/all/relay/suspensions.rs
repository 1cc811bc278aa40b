//! A process that is suspended while a caller does not read, or within a planned stop.

use std::time::Duration;

use serde_json::json;
use sesamewind_adapter::names;
use sesamewind_standins::relay::TargetOptions;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use super::testbed::{KEY, Testbed, configuration, until};

/// Size of an answer that does not fit into the buffers of a connection.
const LONG_ANSWER: usize = 48 << 20;

/// Time for which an answer waits for its caller, and a little more.
const BLOCKED_TIME: Duration = Duration::from_millis(5_600);

fn head(path: &str, id: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: h.example\r\n{}: {id}\r\nauthorization: {}{KEY}\r\n\
         {}: 60000\r\ncontent-length: {length}\r\n\r\n",
        names::REQUEST_ID,
        names::KEY_SCHEME,
        names::DEADLINE,
    )
}

/// Answers one request with a long body of events.
async fn answer_long(mut stream: TcpStream) -> std::io::Result<()> {
    let mut buffer = Vec::new();
    while !buffer.ends_with(b"the body") {
        if stream.read_buf(&mut buffer).await? == 0 {
            return Ok(());
        }
    }
    let answer = format!(
        "HTTP/1.1 200 OK\r\n{}: long\r\n{}: seal\r\ncontent-type: text/event-stream\r\n\
         content-length: {LONG_ANSWER}\r\n\r\n",
        names::REQUEST_ID,
        names::SEAL,
    );
    stream.write_all(answer.as_bytes()).await?;
    let event = format!("data: {}\n\n", "x".repeat(1_024 - 8));
    for _ in 0..LONG_ANSWER / 1_024 {
        stream.write_all(event.as_bytes()).await?;
    }
    sleep(BLOCKED_TIME * 4).await;
    Ok(())
}

/// Guards against taking the time of a suspension for a caller that does not read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_suspended_process_does_not_take_its_callers_for_blocked() {
    let testbed = Testbed::start(0, 0).await;
    let mut changed = configuration(2);
    changed["limits"]["idleTimeoutMs"] = json!(1_000);
    for route in changed["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = json!(60_000);
    }
    testbed.store.configure(&changed);
    let is_configured =
        || testbed.gateway.log_lines().iter().any(|line| line["revision"] == json!(2));
    until("the limits are in force", async || is_configured()).await;
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let task = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_long(stream));
        }
    });
    let entry = json!({
        "service": "model", "address": addr.to_string(), "zone": "z1", "version": "v1",
        "slots": 4, "state": names::STATE_READY, "coldRemainingMs": 0, "sequence": 1, "born": 1
    });
    testbed.store.put(names::TARGET_TABLE, "i-b0", &entry);
    testbed.wait_listed(1).await;
    let mut caller = TcpStream::connect(testbed.gateway.callers).await.expect("it accepts");
    let request = format!("{}the body", head("/once-stream/x", "long", 8));
    caller.write_all(request.as_bytes()).await.expect("the request is sent");
    // The caller does not read for a moment, and then reads while the process is suspended.
    sleep(Duration::from_millis(500)).await;
    let (mut read, mut part) = (0, vec![0; 1 << 16]);
    let suspended = testbed.gateway.pause(BLOCKED_TIME);
    let reading = async {
        sleep(Duration::from_millis(100)).await;
        while let Ok(Ok(bytes)) = timeout(Duration::from_secs(8), caller.read(&mut part)).await {
            if bytes == 0 {
                break;
            }
            read += bytes;
            if read > LONG_ANSWER {
                break;
            }
        }
        read
    };
    let ((), read) = tokio::join!(suspended, reading);
    let lines = testbed.gateway.log_lines();
    let closed: Vec<_> = lines.iter().filter(|line| line["event"] == "connection_closed").collect();
    assert!(read > LONG_ANSWER, "{read} of {LONG_ANSWER} bytes; {closed:?}");
    task.abort();
}

/// Guards against exiting while a request is on its way in, after a suspension within a stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_process_that_is_suspended_in_a_stop_answers_what_is_on_its_way_in() {
    struct Case {
        name: &'static str,
        /// Part of the request that arrives during the suspension; the rest comes 200 ms after it.
        part: fn(&str) -> usize,
        /// Whether the connection has been used before.
        kept: bool,
    }
    let cases = [
        Case { name: "whole, kept", part: str::len, kept: true },
        Case { name: "whole, new", part: str::len, kept: false },
        Case { name: "head, kept", part: |text| text.len() / 2, kept: true },
        Case { name: "head, new", part: |text| text.len() / 2, kept: false },
        Case { name: "body, kept", part: |text| text.len() - 4, kept: true },
        Case { name: "body, new", part: |text| text.len() - 4, kept: false },
    ];
    let plays = cases.map(|Case { name, part, kept }| async move {
        let testbed = Testbed::start_with(1, 1, TargetOptions::default()).await;
        let mut caller = TcpStream::connect(testbed.gateway.callers).await.expect("it accepts");
        let mut bytes = Vec::new();
        if kept {
            let request = format!("{}the body", head("/read/x", "before", 8));
            caller.write_all(request.as_bytes()).await.expect("the request is sent");
            while !bytes.ends_with(b"before") {
                assert_ne!(caller.read_buf(&mut bytes).await.expect("an answer"), 0, "{name}");
            }
        }
        sleep(Duration::from_millis(200)).await;
        testbed.gateway.terminate();
        sleep(Duration::from_millis(300)).await;
        let suspended = testbed.gateway.pause(Duration::from_millis(3_500));
        let crossing = async {
            sleep(Duration::from_millis(1_000)).await;
            let text = format!("{}the body", head("/pay/x", "crossing", 8));
            let (first, rest) = text.split_at(part(&text));
            caller.write_all(first.as_bytes()).await.expect("the first part is sent");
            sleep(Duration::from_millis(2_700)).await;
            let sent = caller.write_all(rest.as_bytes()).await;
            bytes.clear();
            let read = timeout(Duration::from_secs(5), caller.read_buf(&mut bytes)).await;
            (sent, read, String::from_utf8_lossy(&bytes).into_owned())
        };
        let ((), (sent, read, text)) = tokio::join!(suspended, crossing);
        let lines = testbed.gateway.log_lines();
        let last: Vec<String> = lines.iter().rev().take(3).map(ToString::to_string).collect();
        (!text.starts_with("HTTP/1.1"))
            .then(|| format!("{name}: {sent:?} {read:?} {text}; {}", last.join(" ")))
    });
    let cut: Vec<String> =
        futures_util::future::join_all(plays).await.into_iter().flatten().collect();
    assert!(cut.is_empty(), "{}", cut.join("\n"));
}

/// Guards against exiting while a request is on its way in, at the end of a stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_arrives_at_the_end_of_a_stop_is_read_to_its_end() {
    /// Time from the stop signal to the first part of a request. No other request is open.
    const OFFSETS: [u64; 6] = [2_510, 2_520, 2_530, 2_540, 2_550, 2_560];
    let plays = OFFSETS.map(|offset| async move {
        let testbed = Testbed::start(0, 1).await;
        let mut caller = TcpStream::connect(testbed.gateway.callers).await.expect("it accepts");
        sleep(Duration::from_millis(100)).await;
        testbed.gateway.terminate();
        sleep(Duration::from_millis(offset)).await;
        let text = format!("{}the ", head("/pay/x", "late", 8));
        if caller.write_all(text.as_bytes()).await.is_err() {
            return None;
        }
        sleep(Duration::from_millis(120)).await;
        let _ = caller.write_all(b"body").await;
        let mut bytes = Vec::new();
        let _ = timeout(Duration::from_secs(5), caller.read_buf(&mut bytes)).await;
        let lines = testbed.gateway.log_lines();
        let cut = lines.into_iter().find(|line| line["event"] == "request_cut");
        cut.filter(|_| bytes.is_empty()).map(|line| format!("{offset} ms: {line}"))
    });
    let cut: Vec<String> =
        futures_util::future::join_all(plays).await.into_iter().flatten().collect();
    assert!(cut.is_empty(), "{}", cut.join("\n"));
}

/// Guards against taking a suspension for an outage of the store, after which targets that leave the
/// list stay in use for a while.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_suspended_process_does_not_take_the_store_for_lost() {
    struct Case {
        name: &'static str,
        suspended: Duration,
    }
    let cases = [
        Case { name: "not suspended", suspended: Duration::ZERO },
        Case { name: "suspended", suspended: Duration::from_secs(4) },
    ];
    let mut wrong = Vec::new();
    for Case { name, suspended } in cases {
        let testbed = Testbed::start(0, 2).await;
        sleep(Duration::from_millis(500)).await;
        if !suspended.is_zero() {
            testbed.gateway.pause(suspended).await;
        }
        sleep(Duration::from_millis(500)).await;
        testbed.plains[0].deregister(&testbed.store);
        sleep(Duration::from_millis(500)).await;
        for _ in 0..20 {
            let (_, request) = testbed.request("/read/x");
            let answer = request.body("the body").send().await.expect("an answer");
            assert_eq!(answer.status(), 200, "{name}");
        }
        let received = testbed.plains[0].received().len();
        let lines = testbed.gateway.log_lines();
        let lost = lines.iter().filter(|line| line["event"] == "store_lost").count();
        if (received, lost) != (0, 0) {
            wrong.push(format!("{name}: {received} requests to the target, {lost} times lost"));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}
