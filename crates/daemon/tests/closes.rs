//! Ends of callers' connections: each request gets an answer.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use sesamewind_daemon::server::{self, Limits};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use warp::http::StatusCode;
use warp::{Filter, Reply};

/// Timeout of request heads, which also closes idle connections.
const HEAD_TIMEOUT: Duration = Duration::from_millis(800);

/// Time in which the listener reads what has arrived.
const PAUSE: Duration = Duration::from_millis(100);

/// Time limit of each answer.
const WAIT_TIMEOUT: Duration = Duration::from_secs(5);

const REQUEST: &str = "GET /x HTTP/1.1\r\nhost: h.example\r\n\r\n";

/// Starts a listener that answers requests for `/early` before it reads their bodies. Returns its
/// address and the sender that stops it.
fn start() -> (SocketAddr, watch::Sender<bool>) {
    let listener = server::bind(([127, 0, 0, 1], 0).into()).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let early = warp::path("early")
        .map(|| warp::reply::with_status("early", StatusCode::UNAUTHORIZED).into_response());
    let usual = warp::body::bytes().map(|_| "done".into_response());
    let filter = early.or(usual).unify().boxed();
    let (stop, stopped) = watch::channel(false);
    let limits = Limits { head_bytes: 16_384, head_timeout: HEAD_TIMEOUT };
    tokio::spawn(server::serve(listener, filter, limits, stopped));
    (addr, stop)
}

async fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).await.expect("it accepts");
    sleep(PAUSE).await;
    stream
}

/// Reads until `last`, or to the end of the connection.
async fn read(stream: &mut TcpStream, last: &str) -> String {
    let mut text = Vec::new();
    let read = async {
        let mut buffer = [0; 4_096];
        while !String::from_utf8_lossy(&text).ends_with(last) {
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => break,
                Ok(length) => text.extend_from_slice(&buffer[..length]),
            }
        }
    };
    let _ = timeout(WAIT_TIMEOUT, read).await;
    String::from_utf8_lossy(&text).into_owned()
}

async fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.expect("the bytes are sent");
}

/// When the part of a request that is sent first ends.
const PARTS: [(&str, usize); 3] =
    [("first byte", 1), ("head", 20), ("last byte", REQUEST.len() - 1)];

/// Guards against dropping a head that has arrived in part when the instance stops.
#[tokio::test]
async fn a_stop_answers_a_request_whose_head_has_arrived_in_part() {
    for served in [0, 1] {
        for (name, length) in PARTS {
            let (addr, stop) = start();
            let mut stream = connect(addr).await;
            for _ in 0..served {
                send(&mut stream, REQUEST).await;
                assert!(read(&mut stream, "done").await.starts_with("HTTP/1.1 200"));
            }
            send(&mut stream, &REQUEST[..length]).await;
            sleep(PAUSE).await;
            stop.send_replace(true);
            sleep(PAUSE).await;
            send(&mut stream, &REQUEST[length..]).await;
            let text = read(&mut stream, "done").await;
            assert!(text.starts_with("HTTP/1.1 200"), "{name}, {served} served: {text:?}");
        }
    }
}

/// Guards against closing a connection whose request has arrived when the instance stops.
#[tokio::test]
async fn a_stop_answers_a_request_that_has_just_arrived() {
    for served in [0, 1] {
        let (addr, stop) = start();
        let mut stream = connect(addr).await;
        for _ in 0..served {
            send(&mut stream, REQUEST).await;
            assert!(read(&mut stream, "done").await.starts_with("HTTP/1.1 200"));
        }
        stream.try_write(REQUEST.as_bytes()).expect("the request is sent");
        stop.send_replace(true);
        let text = read(&mut stream, "done").await;
        assert!(text.starts_with("HTTP/1.1 200"), "{served} served: {text:?}");
    }
}

/// Guards against closing a connection for idle time though a request has arrived on it while the
/// process was suspended.
#[tokio::test]
async fn a_request_that_arrives_during_a_suspension_is_answered() {
    let (addr, _stop) = start();
    let mut stream = connect(addr).await;
    send(&mut stream, REQUEST).await;
    assert!(read(&mut stream, "done").await.starts_with("HTTP/1.1 200"));
    stream.try_write(REQUEST.as_bytes()).expect("the request is sent");
    thread::sleep(HEAD_TIMEOUT * 2);
    let text = read(&mut stream, "done").await;
    assert!(text.starts_with("HTTP/1.1 200"), "{text:?}");
}

/// Guards against closing a connection without an answer because its head is late.
#[tokio::test]
async fn a_late_head_is_answered() {
    for (name, length) in PARTS {
        let (addr, _stop) = start();
        let mut stream = connect(addr).await;
        send(&mut stream, &REQUEST[..length]).await;
        let text = read(&mut stream, "no such text").await;
        assert!(text.starts_with("HTTP/1.1 408"), "{name}: {text:?}");
    }
}

/// Guards against a reset that destroys an answer since bytes of the request were not read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_early_answer_reaches_a_caller_that_is_still_sending() {
    const LENGTH: usize = 4 << 20;
    let (addr, _stop) = start();
    let mut stream = connect(addr).await;
    let head =
        format!("POST /early HTTP/1.1\r\nhost: h.example\r\ncontent-length: {LENGTH}\r\n\r\n");
    send(&mut stream, &head).await;
    for _ in 0..LENGTH / 65_536 {
        send(&mut stream, &"x".repeat(65_536)).await;
        sleep(Duration::from_millis(1)).await;
    }
    let text = read(&mut stream, "early").await;
    assert!(text.starts_with("HTTP/1.1 401") && text.ends_with("early"), "{text:?}");
}
