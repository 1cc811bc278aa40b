//! The steps of `docs/OPERATIONS.md`: from a failed request's identity to its cause.

use std::time::Duration;

use serde_json::{Value, json};
use sesamewind_cli::{Environment, Exit};
use sesamewind_standins::relay::{Behaviour, StoreMode, TargetOptions};

use super::world::{World, configuration, until};

/// What `sesamewind explain` prints on a request, as JSON.
async fn explain(world: &World, request: &str) -> Value {
    let log = world.gateway.settings().with_extension("log");
    let args = ["--json", "explain", request, log.to_str().expect("a readable path")];
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let environment = Environment { env: &|_| None, out: &mut out, err: &mut err };
    let exit = sesamewind_cli::run(args.iter().map(Into::into).collect(), environment).await;
    assert_eq!(exit, Exit::Ok, "{}", String::from_utf8_lossy(&err));
    serde_json::from_slice(&out).expect("JSON")
}

/// Waits until the log has a line of this event on the request.
async fn logged(world: &World, request: &str, event: &str) {
    until("the line is written", async || {
        world.story(request).iter().any(|(known, _)| known == event)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_refused_for_lack_of_room_is_explained() {
    let options = TargetOptions {
        slots: 1,
        events: 1_000,
        delay: Duration::from_millis(20),
        ..TargetOptions::default()
    };
    let world = World::with(1, 0, options).await;
    let (_, _busy) = world.send("/talk/x").await;
    let (id, answer) = world.send("/talk/x").await;
    assert_eq!(answer.status(), 503);
    logged(&world, &id, "refused").await;
    let story = explain(&world, &id).await;
    let last = story["moments"].as_array().and_then(|moments| moments.last()).expect("moments");
    assert_eq!(last["event"], "refused");
    assert_eq!(last["fields"]["cause"], "full");
    assert!(last["fields"]["retry_after_ms"].as_u64().is_some_and(|wait| wait > 0), "{story}");
    assert!(last["fields"]["waiting"].is_u64(), "{story}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unknown_outcome_is_explained() {
    let options = TargetOptions::default();
    options.script.extend(&[Behaviour::Unsealed]);
    let world = World::with(0, 1, options).await;
    let (id, answer) = world.send("/pay/x").await;
    assert_eq!(answer.status(), 502);
    logged(&world, &id, "ended").await;
    let story = explain(&world, &id).await;
    let moments = story["moments"].as_array().expect("moments");
    let events: Vec<_> = moments.iter().map(|moment| moment["event"].as_str()).collect();
    assert_eq!(events, [Some("dispatched"), Some("attempt_ended"), Some("ended")]);
    assert_eq!(moments[1]["fields"]["target"], "i-p0");
    assert_eq!(moments[1]["fields"]["end"], "broken");
    assert_eq!(moments[2]["fields"]["outcome"], "unknown");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_hit_by_an_old_configuration_is_explained() {
    let world = World::start(0, 1).await;
    world.store.set_mode(StoreMode::Down);
    until("the loss is logged", async || {
        world.gateway.lines().iter().any(|line| line["event"] == "store_lost")
    })
    .await;
    let mut changed = configuration(9);
    changed["routes"][3]["prefix"] = json!("/moved/");
    world.store.configure(&changed);
    let (id, answer) = world.send("/moved/x").await;
    assert_eq!(answer.status(), 404);
    logged(&world, &id, "rejected").await;
    let story = explain(&world, &id).await;
    let last = story["moments"].as_array().and_then(|moments| moments.last()).expect("moments");
    assert_eq!(last["fields"]["cause"], "no_route");
    // The instance still has the first revision, and its own line says why.
    assert_eq!(last["fields"]["revision"], 1);
    let lines = world.gateway.lines();
    let lost = lines.iter().find(|line| line["event"] == "store_lost").expect("a line");
    assert!(lost["time"].as_str() <= last["time"].as_str());
}
