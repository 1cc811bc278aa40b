//! Answers to other requests that arrive where the answer to a request is expected.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde_json::json;
use sesamewind_adapter::names;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::testbed::{KEY, Testbed};

/// Reads a request and returns its id; none at the end of the connection.
async fn next_request(stream: &mut TcpStream) -> Option<String> {
    let mut buffer = Vec::new();
    while !buffer.ends_with(b"the body") {
        let bytes = stream.read_buf(&mut buffer).await.ok()?;
        (bytes > 0).then_some(())?;
    }
    let head = String::from_utf8_lossy(&buffer);
    let prefix = format!("{}: ", names::REQUEST_ID);
    head.lines().find_map(|line| line.strip_prefix(&prefix)).map(str::to_owned)
}

/// Answers the first request at any target with `first`, and others as a sound target does.
async fn answer(mut stream: TcpStream, first: String, runs: Arc<AtomicUsize>) {
    while let Some(id) = next_request(&mut stream).await {
        let own = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: seal\r\ncontent-length: 4\r\n\r\ndone",
            names::REQUEST_ID,
            names::SEAL,
        );
        let text = if runs.fetch_add(1, Ordering::Relaxed) == 0 { &first } else { &own };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Lists a plain target.
fn list_plain(testbed: &Testbed, id: &str, addr: SocketAddr) {
    let entry = json!({
        "service": "plain", "address": addr.to_string(), "zone": "z1", "version": "v1",
        "slots": 4, "state": names::STATE_READY, "coldRemainingMs": 0, "sequence": 1,
        "born": 1
    });
    testbed.store.put(names::TARGET_TABLE, id, &entry);
}

/// Returns the bytes of a request that may run only once.
fn pay(id: &str) -> String {
    format!(
        "POST /pay/x HTTP/1.1\r\nhost: h.example\r\n{}: {id}\r\nauthorization: {}{KEY}\r\n\
         content-length: 8\r\n\r\nthe body",
        names::REQUEST_ID,
        names::KEY_SCHEME,
    )
}

/// Guards against running a request twice because an answer to another one says that it was not
/// run. Each target runs all requests that it receives.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_to_another_request_does_not_tell_that_this_one_was_not_run() {
    struct Case {
        name: &'static str,
        head: &'static str,
    }
    let cases = [
        Case { name: "success", head: "200 OK\r\nresponse-seal: seal" },
        Case { name: "not executed", head: "503 Service Unavailable\r\nnot-executed: full" },
        Case { name: "not executed, 421", head: "421 Misdirected Request\r\nnot-executed: other" },
        Case { name: "421", head: "421 Misdirected Request" },
    ];
    let mut wrong = Vec::new();
    for Case { name, head } in cases {
        let testbed = Testbed::start(0, 0).await;
        let runs = Arc::new(AtomicUsize::new(0));
        let other = format!(
            "HTTP/1.1 {head}\r\n{}: other\r\ncontent-length: 0\r\n\r\n",
            names::REQUEST_ID,
        );
        for number in 0..2 {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
            let addr = listener.local_addr().expect("an address");
            let (other, runs) = (other.clone(), Arc::clone(&runs));
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(answer(stream, other.clone(), Arc::clone(&runs)));
                }
            });
            list_plain(&testbed, &format!("i-l{number}"), addr);
        }
        testbed.wait_listed(2).await;
        let mut caller = TcpStream::connect(testbed.gateway.callers).await.expect("it accepts");
        caller.write_all(pay("own").as_bytes()).await.expect("it is sent");
        let mut bytes = Vec::new();
        caller.read_buf(&mut bytes).await.expect("an answer");
        let text = String::from_utf8_lossy(&bytes);
        let status = text.lines().next().unwrap_or_default();
        let runs = runs.load(Ordering::Relaxed);
        if runs != 1 || !status.contains("502") {
            wrong.push(format!("{name}: {runs} runs, {status}; {:?}", testbed.trace("own")));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// A target that runs every request after the first one on each connection, and writes `refusal` for it
/// nevertheless. `first` answers the first one.
async fn refuse_again(
    mut stream: TcpStream,
    first: &'static str,
    refusal: &'static str,
    runs: Arc<AtomicUsize>,
) {
    let mut is_first = true;
    for answer in std::iter::once(first).chain(std::iter::repeat(refusal)) {
        let Some(id) = next_request(&mut stream).await else { return };
        if !std::mem::take(&mut is_first) {
            runs.fetch_add(1, Ordering::Relaxed);
        }
        if stream.write_all(answer.replace("ID", &id).as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Guards against "not run" for a request that a target runs, and against running it at another one,
/// because the target writes an earlier refusal once more on a connection that was kept.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_earlier_refusal_written_once_more_does_not_tell_that_a_request_was_not_run() {
    const SERVED: &str = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nresponse-seal: seal\r\n\
                          content-length: 4\r\n\r\ndone";
    const REFUSED: &str = "HTTP/1.1 503 Service Unavailable\r\nrequest-id: ID\r\n\
                           not-executed: full\r\ncontent-length: 0\r\n\r\n";
    const UNNAMED: &str = "HTTP/1.1 503 Service Unavailable\r\nnot-executed: full\r\n\
                           content-length: 0\r\n\r\n";
    const UNNAMED_421: &str = "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n";
    const EARLIER: &str = "HTTP/1.1 503 Service Unavailable\r\nrequest-id: first\r\n\
                           not-executed: full\r\ncontent-length: 0\r\n\r\n";
    struct Case {
        name: &'static str,
        first: &'static str,
        refusal: &'static str,
        /// Status of the second request, and how often a target ran it. A connection that has carried a
        /// refusal is not used again.
        want: (u16, usize),
    }
    let cases = [
        Case { name: "of the first request", first: SERVED, refusal: EARLIER, want: (502, 1) },
        Case { name: "after a refusal", first: REFUSED, refusal: REFUSED, want: (503, 0) },
        Case {
            name: "after one that names none",
            first: UNNAMED,
            refusal: UNNAMED,
            want: (503, 0),
        },
        Case { name: "after 421", first: UNNAMED_421, refusal: UNNAMED_421, want: (503, 0) },
    ];
    let mut wrong = Vec::new();
    for Case { name, first, refusal, want } in cases {
        let testbed = Testbed::start(0, 0).await;
        let runs = Arc::new(AtomicUsize::new(0));
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let counted = Arc::clone(&runs);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(refuse_again(stream, first, refusal, Arc::clone(&counted)));
            }
        });
        list_plain(&testbed, "i-r", addr);
        testbed.wait_listed(1).await;
        let mut statuses = Vec::new();
        for id in ["first", "second"] {
            let mut caller = TcpStream::connect(testbed.gateway.callers).await.expect("it accepts");
            caller.write_all(pay(id).as_bytes()).await.expect("it is sent");
            let mut bytes = Vec::new();
            caller.read_buf(&mut bytes).await.expect("an answer");
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let status = text.split(' ').nth(1).and_then(|status| status.parse::<u16>().ok());
            statuses.push(status.unwrap_or_default());
        }
        let ran = runs.load(Ordering::Relaxed);
        if (statuses[1], ran) != want {
            wrong.push(format!("{name}: {statuses:?}, {ran} runs; {:?}", testbed.trace("second")));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}
