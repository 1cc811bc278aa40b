//! Lines about requests that end without a complete answer, and about the ends of connections.

use std::time::Duration;

use serde_json::Value;
use sesamewind_adapter::names;
use sesamewind_standins::relay::{Behaviour, Script, TargetOptions};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::testbed::{KEY, Testbed, configuration, until};

/// Returns the head of a request that announces a body of `body` bytes.
fn head(path: &str, id: &str, body: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: h.example\r\n{}: {id}\r\nauthorization: {}{KEY}\r\n\
         content-length: {body}\r\n\r\n",
        names::REQUEST_ID,
        names::KEY_SCHEME,
    )
}

async fn connect(testbed: &Testbed) -> TcpStream {
    TcpStream::connect(testbed.gateway.callers).await.expect("the gateway accepts")
}

/// Waits for a line for which `is_wanted` returns true, and returns it.
async fn wait_line(testbed: &Testbed, what: &str, is_wanted: impl Fn(&Value) -> bool) -> Value {
    let find = || testbed.gateway.log_lines().into_iter().find(|line| is_wanted(line));
    until(what, async || find().is_some()).await;
    find().expect("the line was found")
}

/// Returns the value of a metric, summed over its labels.
async fn metric(testbed: &Testbed, name: &str) -> f64 {
    let url = format!("http://{}/metrics", testbed.gateway.inner);
    let text = reqwest::get(url).await.expect("metrics").text().await.expect("a text");
    let values = text.lines().filter(|line| line.starts_with(name));
    values.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// The line says how far the request was when its caller left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_leaves_is_logged_with_the_stage_of_its_request() {
    struct Case {
        stage: &'static str,
        path: &'static str,
        behaviour: Behaviour,
        /// Closing a socket with unread bytes of an answer resets the connection.
        side: &'static str,
        reason: &'static str,
    }
    let cases = [
        Case {
            stage: "gateway",
            path: "/pay/x",
            behaviour: Behaviour::Hang(0),
            side: "ended",
            reason: "incomplete",
        },
        Case {
            stage: "answer",
            path: "/once-stream/x",
            behaviour: Behaviour::Hang(2),
            side: "reset",
            reason: "error",
        },
    ];
    for case in cases {
        let script = Script::default();
        script.extend(&[case.behaviour]);
        let options = TargetOptions { script, ..TargetOptions::default() };
        let testbed = Testbed::start_with(1, 1, options).await;
        let mut stream = connect(&testbed).await;
        let text = head(case.path, "c1", 8) + "the body";
        stream.write_all(text.as_bytes()).await.expect("the request is sent");
        tokio::time::sleep(Duration::from_millis(300)).await;
        drop(stream);
        let line = wait_line(&testbed, case.stage, |line| line["event"] == "caller_left").await;
        assert_eq!(line["request"], "c1", "{}", case.stage);
        assert_eq!(line["stage"], case.stage);
        assert!(line["ran_ms"].as_u64().expect("a time") >= 250, "{line}");
        let events = line["events"].as_u64().expect("a count");
        assert_eq!(events, if case.stage == "answer" { 2 } else { 0 }, "{line}");
        for field in ["bytes", "written"] {
            let bytes = line[field].as_u64().expect("a count");
            assert_eq!(bytes > 0, case.stage == "answer", "{line}");
        }
        assert_eq!(line["caller_side"], case.side, "{line}");
        let closed =
            |line: &Value| line["event"] == "connection_closed" && line["usage"] == "request";
        let line = wait_line(&testbed, "the connection's end", closed).await;
        assert_eq!(line["served"], 0, "{line}");
        assert_eq!((&line["last_request"], &line["unread"]), (&"c1".into(), &0.into()), "{line}");
        assert_eq!(line["reason"], case.reason, "{line}");
        assert_eq!(line["caller_side"], case.side, "{line}");
        assert!(metric(&testbed, "sesamewind_connections_closed_total").await >= 1.0);
    }
}

/// The line says which condition for a further attempt was not met.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_is_broken_off_is_logged_with_the_reason() {
    struct Case {
        path: &'static str,
        models: usize,
        script: Vec<Behaviour>,
        cause: &'static str,
        no_retry: &'static str,
    }
    let cases = [
        Case {
            path: "/once-stream/x",
            models: 2,
            script: vec![Behaviour::BreakOff(2)],
            cause: "broken",
            no_retry: "not_repeatable",
        },
        Case {
            path: "/talk/x",
            models: 2,
            script: vec![Behaviour::BreakOff(2); 2],
            cause: "broken",
            no_retry: "attempts_used",
        },
        Case {
            path: "/talk/x",
            models: 1,
            script: vec![Behaviour::BreakOff(2)],
            cause: "broken",
            no_retry: "no_target",
        },
    ];
    for case in cases {
        let script = Script::default();
        script.extend(&case.script);
        let options = TargetOptions { script, ..TargetOptions::default() };
        let testbed = Testbed::start_with(case.models, 0, options).await;
        let (id, answer) = testbed.send(case.path).await;
        assert!(answer.text().await.is_err(), "{}", case.no_retry);
        let ended = |line: &Value| line["event"] == "ended" && line["request"] == id;
        let line = wait_line(&testbed, case.no_retry, ended).await;
        assert_eq!(line["outcome"], "broken_off", "{line}");
        assert_eq!(line["cause"], case.cause, "{line}");
        assert_eq!(line["no_retry"], case.no_retry, "{line}");
        let aborted =
            |line: &Value| line["event"] == "connection_closed" && line["reason"] == "aborted";
        wait_line(&testbed, "the connection's end", aborted).await;
    }
}

/// Requests that are open when the process exits are logged one by one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_a_stop_cuts_are_logged() {
    let script = Script::default();
    script.extend(&[Behaviour::Hang(0)]);
    let options = TargetOptions { script, ..TargetOptions::default() };
    let mut testbed = Testbed::start_with(0, 1, options).await;
    let mut changed = configuration(2);
    for route in changed["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = 60_000.into();
    }
    testbed.store.configure(&changed);
    wait_line(&testbed, "the change", |line| line["revision"] == 2).await;
    let mut streams = [connect(&testbed).await, connect(&testbed).await];
    let texts = [head("/pay/x", "c1", 8) + "the body", head("/pay/x", "c2", 8) + "half"];
    for (stream, text) in streams.iter_mut().zip(texts) {
        stream.write_all(text.as_bytes()).await.expect("the request is sent");
    }
    until("the request is sent", async || !testbed.trace("c1").is_empty()).await;
    testbed.gateway.terminate();
    assert!(testbed.gateway.wait_exit().await);
    for (id, stage) in [("c1", "gateway"), ("c2", "body")] {
        let cut = |line: &Value| line["event"] == "request_cut" && line["request"] == id;
        let line = wait_line(&testbed, "the cut", cut).await;
        assert_eq!((&line["stage"], &line["caller_side"]), (&stage.into(), &"open".into()));
    }
    let line = wait_line(&testbed, "the stop", |line| line["event"] == "stopped").await;
    assert_eq!((&line["cut"], &line["level"]), (&Value::from(1), &Value::from("WARN")), "{line}");
}

/// A connection that ends with part of a head leaves a line at info; others end at debug level.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_that_ends_within_a_head_is_logged() {
    let testbed = Testbed::start(0, 1).await;
    let mut stream = connect(&testbed).await;
    stream.write_all(b"POST /pay/x HT").await.expect("a part is sent");
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(stream);
    drop(connect(&testbed).await);
    let (_, request) = testbed.request("/pay/x");
    let answer = request.header("connection", "close").send().await.expect("an answer");
    assert_eq!(answer.status(), 200);
    let closed = |usage: &'static str| {
        move |line: &Value| {
            line["event"] == "connection_closed"
                && line["listener"] == "callers"
                && line["usage"] == usage
        }
    };
    let line = wait_line(&testbed, "the end within a head", closed("head")).await;
    assert_eq!((&line["head_bytes"], &line["level"]), (&14.into(), &"INFO".into()), "{line}");
    for usage in ["idle", "closing"] {
        let line = wait_line(&testbed, usage, closed(usage)).await;
        assert_eq!(line["level"], "DEBUG", "{line}");
    }
}

/// A suspended process reports the late turn of its event loop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stall_of_the_event_loop_is_logged() {
    let testbed = Testbed::start(0, 1).await;
    // The configuration is installed in an earlier turn.
    tokio::time::sleep(Duration::from_millis(200)).await;
    testbed.gateway.pause(Duration::from_millis(400)).await;
    let long = |line: &Value| {
        line["event"] == "loop_stalled" && line["stalled_ms"].as_u64().is_some_and(|ms| ms >= 300)
    };
    let line = wait_line(&testbed, "the stall", long).await;
    assert_eq!(line["configured"], false, "{line}");
    assert!(metric(&testbed, "sesamewind_loop_stalls_total").await >= 1.0);
    assert!(metric(&testbed, "sesamewind_longest_loop_stall_milliseconds").await >= 300.0);
}
