//! Distribution of the configuration to all instances, also with the store down, cut off or stale.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::Value;
use sesamewind_protocol::Incarnation;
use sesamewind_protocol::codec::{self, MAX_MESSAGE_BYTES};
use sesamewind_protocol::message::{Exchange, Sender};
use sesamewind_standins::{Flow, Side, wall_now};

use crate::daemon::OPERATOR_TOKEN;
use crate::deployment::{Deployment, Plan, accept, wait_for, wait_ready};

/// Time limit for an accepted configuration to be in force on every reachable instance.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);

/// Returns the revision in force at the instance with this inner listener.
async fn fetch_revision(inner: SocketAddr) -> u64 {
    let url = format!("http://{inner}/status");
    let Ok(response) = reqwest::get(url).await else { return 0 };
    let body: Value = response.json().await.unwrap_or_default();
    body["revision"].as_u64().unwrap_or(0)
}

async fn wait_in_force(deployment: &Deployment, indices: &[usize], wanted: u64) {
    for index in indices {
        let inner = deployment.daemons[*index].inner;
        wait_for("the revision is in force", async || fetch_revision(inner).await == wanted).await;
    }
}

async fn submit(inner: SocketAddr, sheet: &str, base: u64, id: &str) -> (u16, Value) {
    let url = format!("http://{inner}/operator/sheet?base={base}&submission={id}");
    let request = reqwest::Client::new().post(url).bearer_auth(OPERATOR_TOKEN);
    let response = request.body(sheet.to_owned()).send().await.expect("daemon answers");
    let status = response.status().as_u16();
    (status, response.json().await.unwrap_or_default())
}

fn three_daemon_plan() -> Plan {
    Plan { zones: vec!["a", "a", "b"], ..Plan::default() }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_sheet_is_in_force_everywhere_and_is_never_reverted() {
    let deployment = Deployment::start(three_daemon_plan()).await;
    let inner = deployment.daemons[0].inner;
    let (status, body) = submit(inner, &deployment.sheet, 1, "s-two").await;
    assert_eq!((status, body["revision"].as_u64()), (200, Some(2)), "{body}");
    let start = Instant::now();
    wait_in_force(&deployment, &[0, 1, 2], 2).await;
    // The time is printed and not checked, because it depends on the load of the machine.
    println!("in force on 3 of 3 after {:?}, limit {IN_FORCE_LIMIT:?}", start.elapsed());
    // The store returns an older pointer, as a stale replica would.
    accept(&deployment.platform, &deployment.sheet, 1);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    for daemon in &deployment.daemons {
        assert_eq!(fetch_revision(daemon.inner).await, 2);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_down_right_after_acceptance_leaves_peers_as_the_source() {
    let mut deployment = Deployment::start(three_daemon_plan()).await;
    // Two instances have no access to the store from now on.
    deployment.links[1].set(Side::Both, Flow::Freeze);
    deployment.links[2].set(Side::Both, Flow::Freeze);
    let inner = deployment.daemons[0].inner;
    let (status, body) = submit(inner, &deployment.sheet, 1, "s-two").await;
    assert_eq!(status, 200, "{body}");
    deployment.platform.down(true);
    wait_in_force(&deployment, &[0, 1, 2], 2).await;
    // A replaced instance starts from its peers' copy while the store is down.
    deployment.daemons[1].kill();
    deployment.start_daemon(1);
    wait_ready(deployment.daemons[1].inner).await;
    wait_in_force(&deployment, &[1], 2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_off_zone_receives_the_configuration_when_the_cut_ends() {
    let deployment = Deployment::start(three_daemon_plan()).await;
    deployment.cut_zone("b");
    let inner = deployment.daemons[0].inner;
    let (status, body) = submit(inner, &deployment.sheet, 1, "s-two").await;
    assert_eq!(status, 200, "{body}");
    wait_in_force(&deployment, &[0, 1], 2).await;
    assert_eq!(fetch_revision(deployment.daemons[2].inner).await, 1);
    deployment.heal();
    wait_in_force(&deployment, &[2], 2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instance_without_store_and_peers_stays_unready_and_says_why() {
    let mut deployment = Deployment::prepare(Plan::default()).await;
    deployment.platform.down(true);
    deployment.start_daemon(0);
    let url = format!("http://{}/readyz", deployment.daemons[0].inner);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let response = reqwest::get(&url).await.expect("daemon answers");
    assert_eq!(response.status().as_u16(), 503);
    let body: Value = response.json().await.expect("problem");
    assert_eq!(body["code"].as_u64(), Some(1209));
    assert!(body["detail"].as_str().is_some_and(|why| why.contains("configuration")), "{body}");
    deployment.platform.down(false);
    wait_ready(deployment.daemons[0].inner).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_submissions_conflict_and_lost_answers_are_resolved() {
    let deployment = Deployment::start(three_daemon_plan()).await;
    let (first, second) = (deployment.daemons[0].inner, deployment.daemons[1].inner);
    let changed = format!("{}tier,extra,,,,,,9,,,,,,900,900,,,,,\n", deployment.sheet);
    let (one, two) = tokio::join!(
        submit(first, &deployment.sheet, 1, "one"),
        submit(second, &changed, 1, "two")
    );
    let mut statuses = [one.0, two.0];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{one:?} {two:?}");
    let refused = if one.0 == 409 { &one.1 } else { &two.1 };
    assert_eq!(refused["code"].as_u64(), Some(1402));
    assert_eq!(refused["current"].as_u64(), Some(2));
    assert!(refused["changes"].as_array().is_some_and(|changes| !changes.is_empty()), "{refused}");
    // The pointer is written, and the answer to the write is lost.
    wait_in_force(&deployment, &[0, 1, 2], 2).await;
    deployment.platform.lose_answers(1);
    let (status, body) = submit(first, &deployment.sheet, 2, "three").await;
    assert_eq!((status, body["revision"].as_u64()), (200, Some(3)), "{body}");
    // The same submission sent again gets the same answer.
    let (status, body) = submit(second, &deployment.sheet, 2, "three").await;
    assert_eq!((status, body["revision"].as_u64()), (200, Some(3)), "{body}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sheet_is_refused_as_not_accepted_while_the_store_is_down() {
    let deployment = Deployment::start(three_daemon_plan()).await;
    deployment.platform.down(true);
    let inner = deployment.daemons[0].inner;
    let (status, body) = submit(inner, &deployment.sheet, 1, "never").await;
    assert_eq!((status, body["accepted"].as_str()), (503, Some("no")), "{body}");
    deployment.platform.down(false);
    tokio::time::sleep(Duration::from_secs(2)).await;
    for daemon in &deployment.daemons {
        assert_eq!(fetch_revision(daemon.inner).await, 1);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_without_the_right_token_are_refused() {
    struct Case {
        path: &'static str,
        token: Option<&'static str>,
    }
    let cases = [
        Case { path: "/operator/status", token: None },
        Case { path: "/operator/status", token: Some(crate::daemon::PEER_TOKEN) },
        Case { path: "/peer/config/x", token: Some(OPERATOR_TOKEN) },
        Case { path: "/peer/exchange", token: None },
    ];
    let deployment = Deployment::start(Plan::default()).await;
    let inner = deployment.daemons[0].inner;
    for case in cases {
        let mut request = reqwest::Client::new().get(format!("http://{inner}{}", case.path));
        if let Some(token) = case.token {
            request = request.bearer_auth(token);
        }
        let response = request.send().await.expect("daemon answers");
        assert_eq!(response.status().as_u16(), 403, "{} {:?}", case.path, case.token);
    }
    let metrics = reqwest::get(format!("http://{inner}/metrics")).await.expect("metrics");
    let text = metrics.text().await.expect("text");
    assert!(text.contains("forbidden"), "{text}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_oversized_or_foreign_peer_messages_are_refused() {
    struct Case {
        name: &'static str,
        body: Vec<u8>,
        status: u16,
        code: u64,
    }
    let from = Sender {
        deployment: "another".to_owned(),
        instance: "i9".into(),
        incarnation: Incarnation(1),
        zone: "a".into(),
        seq: 1,
    };
    let foreign = codec::encode(&Exchange::new(from, wall_now())).expect("a message");
    let cut = foreign[..foreign.len() / 2].to_vec();
    let cases = [
        Case { name: "no message", body: vec![0xc1; 40], status: 400, code: 1502 },
        Case { name: "cut short", body: cut, status: 400, code: 1502 },
        Case { name: "too large", body: vec![0; MAX_MESSAGE_BYTES + 1], status: 400, code: 1502 },
        Case { name: "another deployment", body: foreign, status: 403, code: 1503 },
    ];
    let deployment = Deployment::start(Plan::default()).await;
    let url = format!("http://{}/peer/exchange", deployment.daemons[0].inner);
    for case in cases {
        let request = reqwest::Client::new().post(&url).bearer_auth(crate::daemon::PEER_TOKEN);
        let response = request.body(case.body).send().await.expect("daemon answers");
        assert_eq!(response.status().as_u16(), case.status, "{}", case.name);
        let body: Value = response.json().await.expect("problem");
        assert_eq!(body["code"].as_u64(), Some(case.code), "{}", case.name);
    }
}
