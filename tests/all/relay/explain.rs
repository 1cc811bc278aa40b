//! Finding the cause of a failed request from its ID, by the steps in `docs/OPERATIONS.md`.

use std::time::Duration;

use serde_json::{Value, json};
use sesamewind_cli::{Environment, Exit};
use sesamewind_standins::relay::{Behaviour, StoreMode, TargetOptions};

use super::testbed::{Testbed, configuration, until};

/// Returns the JSON output of `sesamewind explain` for a request.
async fn explain(testbed: &Testbed, request: &str) -> Value {
    let log = testbed.gateway.settings().with_extension("log");
    let args = ["--json", "explain", request, log.to_str().expect("a UTF-8 path")];
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let environment = Environment { env: &|_| None, out: &mut out, err: &mut err };
    let exit = sesamewind_cli::run(args.iter().map(Into::into).collect(), environment).await;
    assert_eq!(exit, Exit::Ok, "{}", String::from_utf8_lossy(&err));
    serde_json::from_slice(&out).expect("JSON")
}

/// Waits until the log has a line with this event for the request.
async fn wait_logged(testbed: &Testbed, request: &str, event: &str) {
    until("the event is logged", async || {
        testbed.trace(request).iter().any(|(known, _)| known == event)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_refused_for_lack_of_slots_is_explained() {
    let options = TargetOptions {
        slots: 1,
        events: 1_000,
        delay: Duration::from_millis(20),
        ..TargetOptions::default()
    };
    let testbed = Testbed::start_with(1, 0, options).await;
    let (_, _busy) = testbed.send("/talk/x").await;
    let (id, answer) = testbed.send("/talk/x").await;
    assert_eq!(answer.status(), 503);
    wait_logged(&testbed, &id, "refused").await;
    let trace = explain(&testbed, &id).await;
    let last = trace["moments"].as_array().and_then(|moments| moments.last()).expect("moments");
    assert_eq!(last["event"], "refused");
    assert_eq!(last["fields"]["cause"], "full");
    assert!(last["fields"]["retry_after_ms"].as_u64().is_some_and(|wait| wait > 0), "{trace}");
    assert!(last["fields"]["waiting"].is_u64(), "{trace}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unknown_outcome_is_explained() {
    let options = TargetOptions::default();
    options.script.extend(&[Behaviour::Unsealed]);
    let testbed = Testbed::start_with(0, 1, options).await;
    let (id, answer) = testbed.send("/pay/x").await;
    assert_eq!(answer.status(), 502);
    wait_logged(&testbed, &id, "ended").await;
    let trace = explain(&testbed, &id).await;
    let moments = trace["moments"].as_array().expect("moments");
    let events: Vec<_> = moments.iter().map(|moment| moment["event"].as_str()).collect();
    assert_eq!(events, [Some("dispatched"), Some("attempt_ended"), Some("ended")]);
    assert_eq!(moments[1]["fields"]["target"], "i-p0");
    assert_eq!(moments[1]["fields"]["end"], "broken");
    assert_eq!(moments[2]["fields"]["outcome"], "unknown");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_rejected_by_an_outdated_configuration_is_explained() {
    let testbed = Testbed::start(0, 1).await;
    testbed.store.set_mode(StoreMode::Down);
    until("store loss is logged", async || {
        testbed.gateway.log_lines().iter().any(|line| line["event"] == "store_lost")
    })
    .await;
    let mut changed = configuration(9);
    changed["routes"][3]["prefix"] = json!("/moved/");
    testbed.store.configure(&changed);
    let (id, answer) = testbed.send("/moved/x").await;
    assert_eq!(answer.status(), 404);
    wait_logged(&testbed, &id, "rejected").await;
    let trace = explain(&testbed, &id).await;
    let last = trace["moments"].as_array().and_then(|moments| moments.last()).expect("moments");
    assert_eq!(last["fields"]["cause"], "no_route");
    // The instance still uses the first revision, and an earlier line reports the lost store.
    assert_eq!(last["fields"]["revision"], 1);
    let lines = testbed.gateway.log_lines();
    let lost = lines.iter().find(|line| line["event"] == "store_lost").expect("a line");
    assert!(lost["time"].as_str() <= last["time"].as_str());
}
