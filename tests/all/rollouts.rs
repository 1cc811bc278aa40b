//! Rollouts through real daemons: from the sheet to the outcome, and the local halt while the store
//! is down.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use sesamewind_standins::{EngineOptions, VersionFault, wall_now};

use crate::caller::ModelRequest;
use crate::daemon::OPERATOR_TOKEN;
use crate::deployment::{Deployment, Plan, accept, wait_for};

/// Time from the start of a rollout to its deadline.
const DEADLINE: Duration = Duration::from_secs(45);

/// Deadline for tests that need more time, such as for a change of the rollout leader.
const LONG_DEADLINE: Duration = Duration::from_secs(60);

async fn fetch_rollout(inner: SocketAddr) -> Value {
    let url = format!("http://{inner}/operator/rollouts");
    let request = reqwest::Client::new().get(url).bearer_auth(OPERATOR_TOKEN);
    let Ok(response) = request.send().await else { return Value::Null };
    let body: Value = response.json().await.unwrap_or_default();
    body["rollouts"][0].clone()
}

/// Returns whether the instance rolled the rollout back, recorded or not.
///
/// A share of zero is no proof, because the instance may not know the first step yet.
fn is_rolled_back(rollout: &Value) -> bool {
    let waits = rollout["waits_for"].as_str().unwrap_or_default();
    rollout["outcome"] == "rolled-back" || waits.starts_with("taken back")
}

/// Accepts a sheet with a rollout of the assistant from `v1` to `v2`.
fn start_rollout(deployment: &Deployment, deadline: Duration, share: &str) {
    let deadline = wall_now().0 + u64::try_from(deadline.as_millis()).expect("fits");
    let row = format!("rollout,move,assistant,,,,,,,,,,,,,v1,v2,{deadline},{share},\n");
    accept(&deployment.platform, &(deployment.sheet.clone() + &row), 2);
}

fn three_engine_plan() -> Plan {
    let engine = |name: &str| EngineOptions { name: name.to_owned(), ..EngineOptions::default() };
    Plan {
        zones: vec!["a", "a", "b"],
        engines: vec![engine("e1"), engine("e2"), engine("e3")],
        ..Plan::default()
    }
}

async fn start_three() -> Deployment {
    Deployment::start(three_engine_plan()).await
}

fn dispatch_count(deployment: &Deployment, version: &str) -> usize {
    let all = deployment.engines.iter().flat_map(sesamewind_standins::Engine::dispatches);
    all.filter(|dispatch| dispatch.version == version).count()
}

/// Sends batches of requests to each daemon in turn until `done` returns true.
async fn send_until(deployment: &Deployment, mut done: impl AsyncFnMut() -> bool) {
    let mut turn = 0;
    while !done().await {
        let daemon = &deployment.daemons[turn % deployment.daemons.len()];
        let mut batch = Vec::new();
        for _ in 0..8 {
            let callers = daemon.callers;
            batch.push(tokio::spawn(async move { ModelRequest::default().send(callers).await }));
        }
        for task in batch {
            let _ = task.await;
        }
        turn += 1;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn good_version_is_loaded_staged_and_completed_before_its_deadline() {
    let deployment = start_three().await;
    start_rollout(&deployment, DEADLINE, "0.2");
    let inner = deployment.daemons[2].inner;
    send_until(&deployment, async || fetch_rollout(inner).await["outcome"].is_string()).await;
    for daemon in &deployment.daemons {
        let inner = daemon.inner;
        wait_for("every instance reports the outcome", async || {
            fetch_rollout(inner).await["outcome"] == "completed"
        })
        .await;
    }
    assert!(dispatch_count(&deployment, "v2") > 0);
    for engine in &deployment.engines {
        assert_eq!(engine.log().harmful_orders(), 0);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_version_is_rolled_back_automatically_also_while_the_store_is_down() {
    struct Case {
        name: &'static str,
        store_down: bool,
    }
    let cases = [
        Case { name: "store up", store_down: false },
        Case { name: "store down from the first request on", store_down: true },
    ];
    for case in cases {
        let deployment = start_three().await;
        let bad = VersionFault { fail_share: 1.0, ..VersionFault::default() };
        for engine in &deployment.engines {
            engine.misbehave("v2", Some(bad.clone()));
        }
        start_rollout(&deployment, DEADLINE, "0.2");
        send_until(&deployment, async || dispatch_count(&deployment, "v2") > 0).await;
        deployment.platform.down(case.store_down);
        let inner = deployment.daemons[1].inner;
        send_until(&deployment, async || is_rolled_back(&fetch_rollout(inner).await)).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        let exposed = dispatch_count(&deployment, "v2");
        let mut rounds = 0;
        send_until(&deployment, async || {
            rounds += 1;
            rounds > 12
        })
        .await;
        assert_eq!(dispatch_count(&deployment, "v2"), exposed, "{}", case.name);
        deployment.platform.down(false);
        for daemon in &deployment.daemons {
            let inner = daemon.inner;
            wait_for("the outcome is recorded and reported", async || {
                fetch_rollout(inner).await["outcome"] == "rolled-back"
            })
            .await;
        }
        println!("{}: {exposed} requests reached the bad version", case.name);
    }
}

/// Returns the index of the daemon that holds the rollout leader's lease in the table service.
fn leader(deployment: &Deployment) -> Option<usize> {
    let row = deployment.platform.row("lease.steward")?;
    let holder = row.value["holder"].as_str()?.to_owned();
    deployment.daemons.iter().position(|daemon| daemon.name == holder)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_or_frozen_leader_leaves_one_outcome_and_no_harmful_order() {
    struct Case {
        name: &'static str,
        freeze: bool,
    }
    let cases = [Case { name: "killed", freeze: false }, Case { name: "frozen", freeze: true }];
    for case in cases {
        let mut plan = three_engine_plan();
        // No harmful order may reach targets that ignore the fencing number either.
        for engine in &mut plan.engines {
            engine.checks_fence = false;
        }
        plan.settings = "[control]\nlease_length = \"2s\"\n".to_owned();
        let mut deployment = Deployment::start(plan).await;
        start_rollout(&deployment, LONG_DEADLINE, "0.2");
        wait_for("a leader begins", async || deployment.platform.row("rollout.move").is_some())
            .await;
        let first = leader(&deployment).expect("a leader");
        let fence =
            deployment.platform.row("lease.steward").expect("a lease").value["fence"].clone();
        if case.freeze {
            deployment.daemons[first].freeze();
        } else {
            deployment.daemons[first].kill();
        }
        wait_for("another leader takes over", async || {
            leader(&deployment).is_some_and(|holder| holder != first)
        })
        .await;
        let second = leader(&deployment).expect("a leader");
        let inner = deployment.daemons[second].inner;
        let alive: Vec<SocketAddr> = (0..3)
            .filter(|index| *index != first)
            .map(|index| deployment.daemons[index].callers)
            .collect();
        let mut turn = 0;
        while !fetch_rollout(inner).await["outcome"].is_string() {
            if case.freeze && turn == 10 {
                deployment.daemons[first].thaw();
            }
            let callers = alive[turn % alive.len()];
            let batch: Vec<_> = (0..8)
                .map(|_| tokio::spawn(async move { ModelRequest::default().send(callers).await }))
                .collect();
            for task in batch {
                let _ = task.await;
            }
            turn += 1;
        }
        if !case.freeze {
            deployment.start_daemon(first);
        }
        for daemon in &deployment.daemons {
            let inner = daemon.inner;
            wait_for("every instance reports one outcome", async || {
                fetch_rollout(inner).await["outcome"] == "completed"
            })
            .await;
        }
        let lease = deployment.platform.row("lease.steward").expect("a lease");
        assert!(lease.value["fence"].as_u64() > fence.as_u64(), "{}", case.name);
        let harmful: usize =
            deployment.engines.iter().map(|engine| engine.log().harmful_orders()).sum();
        assert_eq!(harmful, 0, "{}", case.name);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn deadline_that_passes_while_the_store_is_down_rolls_the_version_back() {
    let deployment = start_three().await;
    start_rollout(&deployment, Duration::from_secs(12), "0.2");
    send_until(&deployment, async || dispatch_count(&deployment, "v2") > 0).await;
    deployment.platform.down(true);
    let deadline = tokio::time::Instant::now() + Duration::from_secs(13);
    send_until(&deployment, async || tokio::time::Instant::now() > deadline).await;
    let exposed = dispatch_count(&deployment, "v2");
    let mut rounds = 0;
    send_until(&deployment, async || {
        rounds += 1;
        rounds > 9
    })
    .await;
    assert_eq!(
        dispatch_count(&deployment, "v2"),
        exposed,
        "the old version serves after the deadline"
    );
    deployment.platform.down(false);
    for daemon in &deployment.daemons {
        let inner = daemon.inner;
        wait_for("every instance reports the outcome", async || {
            fetch_rollout(inner).await["outcome"] == "rolled-back"
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_off_zone_halts_locally_and_agrees_when_the_cut_ends() {
    let deployment = start_three().await;
    start_rollout(&deployment, LONG_DEADLINE, "0.2");
    send_until(&deployment, async || {
        let inner = deployment.daemons[2].inner;
        fetch_rollout(inner).await["share"].as_f64().is_some_and(|share| share > 0.0)
    })
    .await;
    deployment.cut_zone("b");
    for engine in &deployment.engines {
        engine.misbehave("v2", Some(VersionFault { fail_share: 1.0, ..VersionFault::default() }));
    }
    let inner = deployment.daemons[2].inner;
    send_until(&deployment, async || is_rolled_back(&fetch_rollout(inner).await)).await;
    deployment.heal();
    for daemon in &deployment.daemons {
        let inner = daemon.inner;
        wait_for("every instance reports the outcome", async || {
            fetch_rollout(inner).await["outcome"] == "rolled-back"
        })
        .await;
    }
}
