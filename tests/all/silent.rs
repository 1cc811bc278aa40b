//! Silent connections, killed engines, and refusing or leaving targets, as callers see them.

use std::time::Duration;

use reqwest::Method;
use sesamewind_standins::{EngineOptions, Side};

use crate::caller::{ModelRequest, call};
use crate::deployment::{Deployment, Plan, wait_for};

fn slow_engine(name: &str) -> EngineOptions {
    EngineOptions { name: name.to_owned(), decode_tokens_per_s: 60.0, ..EngineOptions::default() }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_stream_is_resumed_over_a_new_connection_and_answered_whole() {
    struct Case {
        name: &'static str,
        side: Side,
    }
    let cases = [
        Case { name: "towards the caller", side: Side::Down },
        Case { name: "both directions", side: Side::Both },
    ];
    for case in cases {
        let deployment = Deployment::start(Plan {
            engines: vec![slow_engine("e1")],
            settings: "[traffic]\nprogress_timeout = \"500ms\"\n".to_owned(),
            ..Plan::default()
        })
        .await;
        let callers = deployment.daemons[0].callers;
        let request = ModelRequest { output: 90, ..ModelRequest::default() };
        let running = tokio::spawn(async move { request.send(callers).await });
        wait_for("the stream runs", async || deployment.engines[0].in_flight() == 1).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        deployment.engines[0].silence_open(case.side);
        let got = running.await.expect("caller task ends");
        got.assert_whole(90);
        assert_eq!(deployment.times_seen(&got.id), 1, "{}", case.name);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_of_a_killed_engine_ends_with_an_unknown_outcome() {
    let deployment =
        Deployment::start(Plan { engines: vec![slow_engine("e1")], ..Plan::default() }).await;
    let callers = deployment.daemons[0].callers;
    let request = ModelRequest { output: 200, ..ModelRequest::default() };
    let running = tokio::spawn(async move { request.send(callers).await });
    wait_for("the stream runs", async || deployment.engines[0].in_flight() == 1).await;
    deployment.engines[0].kill().await;
    let got = running.await.expect("caller task ends");
    assert!(!got.whole, "{got:?}");
    assert_ne!(got.run_state(), Some("not-run"), "{got:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_by_a_target_is_reported_as_not_run_with_retry_after() {
    let deployment = Deployment::start(Plan::default()).await;
    deployment.engines[0].refuse(true);
    let request = ModelRequest { timeout_ms: Some(1_500), ..ModelRequest::default() };
    let got = request.send(deployment.daemons[0].callers).await;
    assert_eq!(got.run_state(), Some("not-run"), "{got:?}");
    assert!(got.retry_after.is_some(), "{got:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_target_gets_no_new_work_and_finishes_its_streams() {
    let deployment = Deployment::start(Plan {
        zones: vec!["a", "b"],
        engines: vec![slow_engine("e1"), slow_engine("e2")],
        list_lag: Duration::from_secs(10),
        ..Plan::default()
    })
    .await;
    let callers = deployment.daemons[0].callers;
    let mut running = Vec::new();
    for _ in 0..8 {
        let request = ModelRequest { output: 240, ..ModelRequest::default() };
        running.push(tokio::spawn(async move { request.send(callers).await }));
    }
    wait_for("both engines run", async || {
        deployment.engines.iter().all(|engine| engine.in_flight() > 0)
    })
    .await;
    deployment.engines[0].leave(true);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = deployment.engines[0].dispatches().len();
    for daemon in &deployment.daemons {
        for _ in 0..6 {
            ModelRequest::default().send(daemon.callers).await.assert_whole(8);
        }
    }
    assert_eq!(deployment.engines[0].dispatches().len(), before);
    for task in running {
        task.await.expect("caller task ends").assert_whole(240);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn plain_call_to_a_silent_service_ends_as_unknown_and_is_not_repeated() {
    let deployment = Deployment::start(Plan {
        settings: "[traffic]\nprogress_timeout = \"400ms\"\n".to_owned(),
        ..Plan::default()
    })
    .await;
    let callers = deployment.daemons[0].callers;
    call(callers, Method::POST, "/deposits", Some("warm"), Some(0)).await;
    deployment.services[0].silence(Side::Down, true);
    let got = call(callers, Method::POST, "/deposits", Some("d"), Some(0)).await;
    assert_eq!(got.run_state(), Some("unknown"), "{got:?}");
    assert_eq!(deployment.times_seen(&got.id), 1);
}
