//! At most one dispatch of a request over all instances, despite lost answers, killed or suspended
//! processes and network partitions. Dispatches are counted at the stand-ins.

use std::time::Duration;

use reqwest::{Client, Method};
use sesamewind_standins::{EngineOptions, answer};

use crate::caller::{CallerResponse, ModelRequest, call};
use crate::deployment::{Deployment, Plan, wait_for};

/// Settings added to those of each daemon. None are added, so records have their default retention.
const SETTINGS: &str = "";

fn plan(zones: Vec<&'static str>) -> Plan {
    Plan { zones, settings: SETTINGS.to_owned(), ..Plan::default() }
}

fn model_request(key: &str, attempt: Option<u32>) -> ModelRequest {
    ModelRequest { key: Some(key.to_owned()), attempt, output: 40, ..ModelRequest::default() }
}

/// Sends a request and drops the connection once a stand-in has received it.
async fn send_and_disconnect(deployment: &Deployment, request: &ModelRequest, daemon: usize) {
    let before = dispatches(deployment);
    let builder = request.builder(&Client::new(), deployment.daemons[daemon].callers);
    let sending = tokio::spawn(builder.send());
    wait_for("a stand-in receives the request", async || dispatches(deployment) > before).await;
    sending.abort();
}

fn dispatches(deployment: &Deployment) -> usize {
    deployment.engines.iter().map(|engine| engine.dispatches().len()).sum()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resend_to_another_instance_gets_the_whole_answer_of_the_holder() {
    struct Case {
        name: &'static str,
        attempt: Option<u32>,
        to: usize,
    }
    let cases = [
        Case { name: "counted, other instance", attempt: Some(1), to: 1 },
        Case { name: "not counted, other instance", attempt: None, to: 2 },
        Case { name: "counted, same instance", attempt: Some(1), to: 0 },
    ];
    let deployment = Deployment::start(plan(vec!["a", "a", "b"])).await;
    for (index, case) in cases.iter().enumerate() {
        let key = format!("k{index}");
        let seen = dispatches(&deployment);
        send_and_disconnect(&deployment, &model_request(&key, Some(0)), 0).await;
        let got = model_request(&key, case.attempt).send(deployment.daemons[case.to].callers).await;
        got.assert_whole(40);
        assert_eq!(deployment.times_seen(&got.id), 1, "{}: {got:?}", case.name);
        assert_eq!(dispatches(&deployment), seen + 1, "{}", case.name);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resend_after_the_holder_was_killed_is_not_run_again() {
    let mut deployment = Deployment::start(plan(vec!["a", "a", "a"])).await;
    send_and_disconnect(&deployment, &model_request("k", Some(0)), 0).await;
    deployment.daemons[0].kill();
    let got = model_request("k", Some(1)).send(deployment.daemons[1].callers).await;
    assert_eq!(got.code(), Some(1305), "{got:?}");
    assert_eq!(got.run_state(), Some("unknown"), "{got:?}");
    assert_eq!(dispatches(&deployment), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_holder_that_resumes_does_not_run_the_request_again() {
    let deployment = Deployment::start(plan(vec!["a", "a", "a"])).await;
    send_and_disconnect(&deployment, &model_request("k", Some(0)), 0).await;
    deployment.daemons[0].freeze();
    let got = model_request("k", Some(1)).send(deployment.daemons[1].callers).await;
    assert_eq!(got.run_state(), Some("unknown"), "{got:?}");
    deployment.daemons[0].thaw();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(dispatches(&deployment), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn first_attempt_that_arrives_after_its_resend_is_refused() {
    let deployment = Deployment::start(plan(vec!["a", "a", "a"])).await;
    let resent = model_request("k", Some(1)).send(deployment.daemons[1].callers).await;
    resent.assert_whole(40);
    let late = model_request("k", Some(0)).send(deployment.daemons[0].callers).await;
    assert_ne!(late.run_state(), Some("not-run"), "{late:?}");
    assert_eq!(dispatches(&deployment), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_off_zone_serves_first_attempts_but_no_resend() {
    let deployment = Deployment::start(plan(vec!["a", "a", "b"])).await;
    send_and_disconnect(&deployment, &model_request("k", Some(0)), 0).await;
    deployment.cut_zone("b");
    let first = model_request("new", Some(0)).send(deployment.daemons[2].callers).await;
    first.assert_whole(40);
    let resent = model_request("k", Some(1)).send(deployment.daemons[2].callers).await;
    assert_eq!(resent.run_state(), Some("unknown"), "{resent:?}");
    assert_eq!(dispatches(&deployment), 2);
    deployment.heal();
    wait_for("the holder is reachable again", async || {
        let got = model_request("k", Some(2)).send(deployment.daemons[2].callers).await;
        got.whole || got.code() == Some(1306)
    })
    .await;
    assert_eq!(dispatches(&deployment), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replaced_instance_refuses_requests_voided_before_its_start() {
    let mut deployment = Deployment::start(plan(vec!["a", "a", "a"])).await;
    let resent = model_request("k", Some(1)).send(deployment.daemons[1].callers).await;
    resent.assert_whole(40);
    deployment.daemons[0].kill();
    deployment.start_daemon(0);
    crate::deployment::wait_ready(deployment.daemons[0].inner).await;
    let late = model_request("k", Some(0)).send(deployment.daemons[0].callers).await;
    assert_ne!(late.run_state(), Some("not-run"), "{late:?}");
    assert_eq!(dispatches(&deployment), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn deposit_whose_answer_is_lost_is_never_run_again() {
    struct Case {
        name: &'static str,
        attempt: Option<u32>,
        to: usize,
    }
    let cases = [
        Case { name: "same instance", attempt: Some(1), to: 0 },
        Case { name: "other instance", attempt: Some(1), to: 1 },
        Case { name: "not counted", attempt: None, to: 1 },
    ];
    let deployment = Deployment::start(plan(vec!["a", "a"])).await;
    let send = async |to: usize, key: &str, attempt: Option<u32>| -> CallerResponse {
        let callers = deployment.daemons[to].callers;
        call(callers, Method::POST, "/deposits", Some(key), attempt).await
    };
    for (index, case) in cases.iter().enumerate() {
        let key = format!("d{index}");
        deployment.services[0].lose_answers(1);
        let lost = send(0, &key, Some(0)).await;
        assert_eq!(lost.run_state(), Some("unknown"), "{}: {lost:?}", case.name);
        let again = send(case.to, &key, case.attempt).await;
        assert_ne!(again.run_state(), Some("not-run"), "{}: {again:?}", case.name);
        assert_eq!(deployment.times_seen(&lost.id), 1, "{}", case.name);
    }
    let served = send(1, "fine", Some(0)).await;
    assert_eq!(served.text, answer::service_body(&served.id, "POST", "/deposits"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn oldest_answers_are_evicted_first_and_their_requests_do_not_run_again() {
    // Answers of about a megabyte each, which exceed `answer_limit` together.
    const ANSWERS: usize = 24;
    const TOKENS: u32 = 100_000;
    let engine = EngineOptions { decode_tokens_per_s: 1_000_000.0, ..EngineOptions::default() };
    let deployment = Deployment::start(Plan {
        engines: vec![engine],
        settings: "[records]\nanswer_limit = \"8 MiB\"\n".to_owned(),
        ..Plan::default()
    })
    .await;
    let callers = deployment.daemons[0].callers;
    let request = |index: usize, attempt: u32| ModelRequest {
        output: TOKENS,
        ..model_request(&format!("k{index}"), Some(attempt))
    };
    for index in 0..ANSWERS {
        request(index, 0).send(callers).await.assert_whole(TOKENS);
    }
    let first = request(0, 1).send(callers).await;
    assert!(!first.whole, "the oldest answer is still kept");
    assert_ne!(first.run_state(), Some("not-run"), "{first:?}");
    request(ANSWERS - 1, 1).send(callers).await.assert_whole(TOKENS);
    assert_eq!(dispatches(&deployment), ANSWERS);
}
