//! Planned stops under load, and the exit codes of stops that cut requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures_util::StreamExt;
use sesamewind_standins::EngineOptions;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::caller::{CallerResponse, ModelRequest};
use crate::deployment::{Deployment, Plan, wait_for, wait_ready};

/// Pause between two rounds of requests. Three daemons together get 20 requests per second, and the
/// two engines can answer about 36, so no request is refused for lack of slots.
const ROUND_PAUSE: Duration = Duration::from_millis(150);

/// Returns options of a slow engine, so that requests are in flight when a stop begins.
fn engine(name: &str) -> EngineOptions {
    EngineOptions { name: name.to_owned(), decode_tokens_per_s: 100.0, ..EngineOptions::default() }
}

/// Sends requests to the ready daemons, as a load balancer does, until `stop` is set.
async fn load(
    daemons: Vec<(SocketAddr, SocketAddr)>,
    stop: Arc<AtomicBool>,
) -> Vec<CallerResponse> {
    let client = reqwest::Client::new();
    let mut running = Vec::new();
    let mut rounds = tokio::time::interval(ROUND_PAUSE);
    while !stop.load(Ordering::Relaxed) {
        for (callers, inner) in &daemons {
            let ready = client.get(format!("http://{inner}/readyz")).send().await;
            if ready.is_ok_and(|ready| ready.status().is_success()) {
                let callers = *callers;
                let request = ModelRequest { output: 60, ..ModelRequest::default() };
                running.push(tokio::spawn(async move { request.send(callers).await }));
            }
        }
        rounds.tick().await;
    }
    let mut got = Vec::new();
    for task in running {
        got.push(task.await.expect("caller task ends"));
    }
    got
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_replacement_under_load_cuts_and_loses_nothing() {
    let settings = "[stop]\nbalancer_lag = \"300ms\"\ndrain_limit = \"40s\"\n";
    let mut deployment = Deployment::start(Plan {
        zones: vec!["a", "a", "a"],
        engines: vec![engine("e1"), engine("e2")],
        settings: settings.to_owned(),
        ..Plan::default()
    })
    .await;
    let daemons = deployment.daemons.iter().map(|daemon| (daemon.callers, daemon.inner)).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let loading = tokio::spawn(load(daemons, Arc::clone(&stop)));
    for index in 0..deployment.daemons.len() {
        tokio::time::sleep(Duration::from_millis(300)).await;
        deployment.daemons[index].terminate();
        let status = deployment.daemons[index].wait_exit().await;
        assert_eq!(status.code(), Some(0), "i{} exits with success", index + 1);
        deployment.start_daemon(index);
        wait_ready(deployment.daemons[index].inner).await;
    }
    stop.store(true, Ordering::Relaxed);
    let got = loading.await.expect("load ends");
    assert!(!got.is_empty());
    for response in &got {
        assert_eq!(response.status, 200, "{response:?}");
        response.assert_whole(60);
        assert_eq!(deployment.times_seen(&response.id), 1);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_that_times_out_or_gets_a_second_signal_sets_the_exit_code() {
    struct Case {
        name: &'static str,
        drain: &'static str,
        second_signal: bool,
        code: i32,
    }
    let cases = [
        Case { name: "limit", drain: "200ms", second_signal: false, code: 3 },
        Case { name: "second signal", drain: "60s", second_signal: true, code: 4 },
    ];
    for case in cases {
        let drain = case.drain;
        let settings = format!("[stop]\nbalancer_lag = \"50ms\"\ndrain_limit = \"{drain}\"\n");
        let slow = EngineOptions { decode_tokens_per_s: 1.0, ..engine("e1") };
        let mut deployment =
            Deployment::start(Plan { engines: vec![slow], settings, ..Plan::default() }).await;
        let callers = deployment.daemons[0].callers;
        let request =
            ModelRequest { output: 1_000, timeout_ms: Some(600_000), ..ModelRequest::default() };
        let running = tokio::spawn(async move { request.send(callers).await });
        wait_for("the request runs", async || deployment.engines[0].in_flight() == 1).await;
        deployment.daemons[0].terminate();
        if case.second_signal {
            tokio::time::sleep(Duration::from_millis(200)).await;
            deployment.daemons[0].terminate();
        }
        let status = deployment.daemons[0].wait_exit().await;
        assert_eq!(status.code(), Some(case.code), "{}", case.name);
        let got = running.await.expect("caller task ends");
        assert!(!got.whole, "a cut answer was taken as whole: {}", case.name);
    }
}

/// Guards against cutting a request whose head is on its way in when the process ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_arrives_at_the_end_of_a_stop_is_answered() {
    let settings = "[stop]\nbalancer_lag = \"100ms\"\ndrain_limit = \"5s\"\n".to_owned();
    let plan = Plan { engines: vec![engine("e1")], settings, ..Plan::default() };
    let mut deployment = Deployment::start(plan).await;
    let daemon = &mut deployment.daemons[0];
    let mut stream = TcpStream::connect(daemon.callers).await.expect("it accepts");
    daemon.terminate();
    let text = "GET /x HTTP/1.1\r\nhost: h.example\r\n\r\n";
    // The listeners are stopped 400 ms after the signal.
    let parts = [(300, &text[..20]), (250, &text[20..])];
    for (millis, part) in parts {
        tokio::time::sleep(Duration::from_millis(millis)).await;
        stream.write_all(part.as_bytes()).await.expect("the part is sent");
    }
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer).await;
    assert!(read.is_ok() && answer.starts_with("HTTP/1.1 "), "{read:?}: {answer:?}");
    assert_eq!(daemon.wait_exit().await.code(), Some(0));
}

/// Guards against exiting while the body of a request is on its way in.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_whose_body_arrives_during_a_stop_is_answered() {
    struct Case {
        name: &'static str,
        /// Milliseconds from the stop signal to the rest of the body. Its first half is sent after
        /// 100 ms, within the lag of the load balancer.
        rest: u64,
    }
    let cases = [Case { name: "in the lag", rest: 250 }, Case { name: "after it", rest: 1_500 }];
    let mut wrong = Vec::new();
    for Case { name, rest } in cases {
        let settings = "[stop]\nbalancer_lag = \"400ms\"\ndrain_limit = \"40s\"\n".to_owned();
        let deployment =
            Deployment::start(Plan { engines: vec![engine("e1")], settings, ..Plan::default() })
                .await;
        let daemon = &deployment.daemons[0];
        let client = reqwest::Client::new();
        let model = ModelRequest { output: 5, stream: false, ..ModelRequest::default() };
        let mut request = model.builder(&client, daemon.callers).build().expect("a request");
        let body = request.body().and_then(reqwest::Body::as_bytes).expect("bytes").to_vec();
        let (first, last) = body.split_at(body.len() / 2);
        let parts = [(100, first.to_vec()), (rest - 100, last.to_vec())];
        let parts = futures_util::stream::iter(parts).then(async |(pause, part)| {
            tokio::time::sleep(Duration::from_millis(pause)).await;
            Ok::<_, std::io::Error>(part)
        });
        request.headers_mut().remove(reqwest::header::CONTENT_LENGTH);
        *request.body_mut() = Some(reqwest::Body::wrap_stream(parts));
        daemon.terminate();
        if let Err(err) = client.execute(request).await {
            wrong.push(format!("{name}: {err:?}"));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}
