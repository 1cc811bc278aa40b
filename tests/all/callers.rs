//! Responses to invalid and slow requests, and to callers whose connection or stream ends early.

use std::time::Duration;

use reqwest::Client;
use serde_json::{Value, json};
use sesamewind_standins::{DispatchEnd, EngineOptions};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::caller::{ModelRequest, read};
use crate::deployment::{DESK_KEY, Deployment, NIGHT_KEY, Plan, wait_for};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_requests_get_their_error_code_and_reach_no_target() {
    struct Case {
        name: &'static str,
        path: &'static str,
        key: &'static str,
        tier: Option<&'static str>,
        route: Option<&'static str>,
        body: Value,
        status: u16,
        code: u64,
    }
    let good = || json!({"model": "assistant", "messages": [{"role": "user", "content": "q"}]});
    let base = || Case {
        name: "",
        path: "/v1/chat/completions",
        key: DESK_KEY,
        tier: None,
        route: None,
        body: good(),
        status: 400,
        code: 1101,
    };
    let cases = [
        Case { name: "no model", body: json!({"messages": [{}]}), ..base() },
        Case { name: "no messages", body: json!({"model": "assistant"}), ..base() },
        Case {
            name: "stream no boolean",
            body: json!({"model": "assistant", "messages": [{}], "stream": 7}),
            ..base()
        },
        Case { name: "unknown account", key: "nobody", status: 401, code: 1102, ..base() },
        Case {
            name: "unknown service",
            body: json!({"model": "x", "messages": [{}]}),
            status: 404,
            code: 1103,
            ..base()
        },
        Case {
            name: "plain as model",
            body: json!({"model": "booking", "messages": [{}]}),
            status: 404,
            code: 1103,
            ..base()
        },
        Case { name: "unknown route", route: Some("sing"), status: 404, code: 1104, ..base() },
        Case { name: "unknown path", path: "/v2/chat", status: 404, code: 1104, ..base() },
        Case {
            name: "unknown plain route",
            path: "/s/booking/nowhere",
            status: 404,
            code: 1104,
            ..base()
        },
        Case {
            name: "unknown plain service",
            path: "/s/none/x",
            status: 404,
            code: 1103,
            ..base()
        },
        Case { name: "unknown tier", tier: Some("royal"), ..base() },
        Case {
            name: "tier too urgent",
            key: NIGHT_KEY,
            tier: Some("urgent"),
            status: 403,
            code: 1109,
            ..base()
        },
    ];
    let deployment = Deployment::start(Plan::default()).await;
    let callers = deployment.daemons[0].callers;
    for case in cases {
        let mut request = Client::new()
            .post(format!("http://{callers}{}", case.path))
            .bearer_auth(case.key)
            .json(&case.body);
        if let Some(tier) = case.tier {
            request = request.header("x-tier", tier);
        }
        if let Some(route) = case.route {
            request = request.header("x-route", route);
        }
        let got = read(request.send().await.expect("daemon answers"), false).await;
        assert_eq!((got.status, got.code()), (case.status, Some(case.code)), "{}", case.name);
        assert_eq!(got.run_state(), Some("not-run"), "{}", case.name);
    }
    assert!(deployment.engines[0].dispatches().is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_oversized_and_slow_requests_are_refused() {
    let settings = "[traffic]\nbody_limit = \"64 KiB\"\nsend_timeout = \"300ms\"\n";
    let plan = Plan { settings: settings.to_owned(), ..Plan::default() };
    let deployment = Deployment::start(plan).await;
    let callers = deployment.daemons[0].callers;
    let url = format!("http://{callers}/v1/chat/completions");
    let post = |body: String| Client::new().post(&url).bearer_auth(DESK_KEY).body(body).send();
    let got = read(post("{\"model\": ".to_owned()).await.expect("answer"), false).await;
    assert_eq!((got.status, got.code()), (400, Some(1101)));
    let got = read(post("x".repeat(100_000)).await.expect("answer"), false).await;
    assert_eq!((got.status, got.code()), (413, Some(1105)));
    // A body that stops arriving gets status 408.
    let mut slow = TcpStream::connect(callers).await.expect("connection");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {DESK_KEY}\r\n\
         content-length: 500\r\n\r\n{{"
    );
    slow.write_all(head.as_bytes()).await.expect("head is sent");
    let mut answer = vec![0; 1_024];
    let count = slow.read(&mut answer).await.expect("answer");
    let answer = String::from_utf8_lossy(&answer[..count]).into_owned();
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    // Another caller is served meanwhile.
    ModelRequest::default().send(callers).await.assert_whole(8);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_is_cancelled_when_the_caller_disconnects() {
    struct Case {
        name: &'static str,
        key: Option<&'static str>,
    }
    let cases = [
        Case { name: "no key, at once", key: None },
        Case { name: "key, after the time for a resend", key: Some("k") },
    ];
    let engine = EngineOptions { decode_tokens_per_s: 5.0, ..EngineOptions::default() };
    let plan = Plan { engines: vec![engine], ..Plan::default() };
    let deployment = Deployment::start(plan).await;
    let callers = deployment.daemons[0].callers;
    for case in cases {
        let request = ModelRequest {
            key: case.key.map(str::to_owned),
            output: 100,
            ..ModelRequest::default()
        };
        let sending = tokio::spawn(request.builder(&Client::new(), callers).send());
        wait_for("the request runs", async || deployment.engines[0].in_flight() == 1).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        let response = sending.await.expect("sent").expect("answer begins");
        drop(response);
        wait_for("the stream is cancelled", async || deployment.engines[0].in_flight() == 0).await;
        let last = deployment.engines[0].dispatches().pop().expect("a dispatch");
        assert_eq!(last.end, DispatchEnd::Cancelled, "{}", case.name);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn interrupted_stream_ends_with_an_error_code() {
    let engine = EngineOptions { decode_tokens_per_s: 40.0, ..EngineOptions::default() };
    let plan = Plan { engines: vec![engine], ..Plan::default() };
    let deployment = Deployment::start(plan).await;
    let callers = deployment.daemons[0].callers;
    let mut running = Vec::new();
    for _ in 0..8 {
        let request =
            ModelRequest { output: 400, timeout_ms: Some(60_000), ..ModelRequest::default() };
        running.push(tokio::spawn(async move { request.send(callers).await }));
    }
    wait_for("the requests run", async || deployment.engines[0].in_flight() == 8).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.engines[0].kill().await;
    for task in running {
        let got = task.await.expect("caller task ends");
        assert!(!got.whole);
        assert!(got.code().is_some(), "no problem was reported: {got:?}");
    }
}
