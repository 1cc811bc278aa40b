//! Urgent requests have priority over lower tiers, across all instances.

use std::time::Duration;

use sesamewind_standins::{DispatchEnd, EngineOptions};
use tokio::task::JoinHandle;

use crate::caller::{CallerResponse, ModelRequest};
use crate::deployment::{Deployment, NIGHT_KEY, Plan, wait_for};

/// Number of requests that one engine runs at the same time.
const ENGINE_SLOTS: usize = 4;

fn engine(name: &str) -> EngineOptions {
    EngineOptions {
        name: name.to_owned(),
        decode_tokens_per_s: 40.0,
        max_batch: ENGINE_SLOTS,
        ..EngineOptions::default()
    }
}

fn spawn(
    deployment: &Deployment,
    index: usize,
    request: ModelRequest,
) -> JoinHandle<CallerResponse> {
    let callers = deployment.daemons[index % deployment.daemons.len()].callers;
    tokio::spawn(async move { request.send(callers).await })
}

fn running(deployment: &Deployment) -> usize {
    deployment.engines.iter().map(sesamewind_standins::Engine::in_flight).sum()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn urgent_burst_is_served_at_once_while_overnight_work_fills_every_engine() {
    let deployment = Deployment::start(Plan {
        zones: vec!["a", "a", "b"],
        engines: vec![engine("e1"), engine("e2")],
        ..Plan::default()
    })
    .await;
    // Overnight requests, each of which would run for half a minute, fill the free engine slots.
    let night = ModelRequest {
        account: NIGHT_KEY,
        route: "tag",
        output: 1_200,
        timeout_ms: Some(110_000),
        ..ModelRequest::default()
    };
    let overnight: Vec<_> = (0..30).map(|index| spawn(&deployment, index, night.clone())).collect();
    wait_for("overnight work runs", async || running(&deployment) >= ENGINE_SLOTS).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let urgent = ModelRequest { output: 20, timeout_ms: Some(20_000), ..ModelRequest::default() };
    let burst: Vec<_> = (0..16).map(|index| spawn(&deployment, index, urgent.clone())).collect();
    for task in burst {
        let got = task.await.expect("caller task ends");
        got.assert_whole(20);
    }
    // The lower tier runs again once the burst is over. Cancelled requests are not sent again, so
    // new ones are added.
    let fresh: Vec<_> = (0..12).map(|index| spawn(&deployment, index, night.clone())).collect();
    let tags = |deployment: &Deployment| {
        let all = deployment.engines.iter().flat_map(sesamewind_standins::Engine::dispatches);
        all.filter(|dispatch| dispatch.route == "tag").collect::<Vec<_>>()
    };
    wait_for("overnight work runs again", async || {
        tags(&deployment).iter().filter(|dispatch| dispatch.end == DispatchEnd::Running).count()
            >= ENGINE_SLOTS
    })
    .await;
    let cancelled =
        tags(&deployment).iter().filter(|dispatch| dispatch.end == DispatchEnd::Cancelled).count();
    println!("{cancelled} overnight requests were cancelled for a burst of 16");
    for task in overnight.into_iter().chain(fresh) {
        task.abort();
    }
}
