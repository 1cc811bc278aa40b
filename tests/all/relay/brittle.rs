//! Targets that fall over if they reject too many requests in a second.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sesamewind_standins::relay::{Brittleness, RelayTarget, TargetOptions};
use tokio::time::sleep;

use super::testbed::{Gateway, Testbed, tally, until};

/// Time from a target's first statement until it lets fewer requests wait.
const CONTACT: Duration = Duration::from_secs(3);

/// Gateways besides the testbed's, callers at each, and targets.
const GATEWAYS: usize = 3;
const CALLERS: usize = 12;
const TARGETS: usize = 2;

/// Sends requests through all gateways for a while. Returns how many were served and refused.
async fn send_for(
    testbed: &Arc<Testbed>,
    gateways: &Arc<Vec<Gateway>>,
    length: Duration,
) -> (usize, usize) {
    let end = Instant::now() + length;
    let mut tasks = Vec::new();
    for number in 0..GATEWAYS * CALLERS {
        let (testbed, gateways) = (Arc::clone(testbed), Arc::clone(gateways));
        tasks.push(tokio::spawn(async move {
            let (mut served, mut refused) = (0, 0);
            while Instant::now() < end {
                let (_, request) = testbed.request_to(&gateways[number % GATEWAYS], "/talk/x");
                let answer = request.send().await.expect("the gateway answers");
                match answer.status().as_u16() {
                    200 => served += 1,
                    503 => refused += 1,
                    other => panic!("status {other}"),
                }
                answer.text().await.expect("the answer is whole");
                sleep(Duration::from_millis(20)).await;
            }
            (served, refused)
        }));
    }
    tally(tasks).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn brittle_targets_with_too_many_callers_do_not_fall_over() {
    let options =
        TargetOptions { delay: Duration::from_millis(60), slots: 4, ..Default::default() };
    let testbed = Arc::new(Testbed::start_with(TARGETS, 0, options).await);
    let start = |number| Gateway::start(&format!("b{number}"), testbed.store.addr());
    let gateways: Arc<Vec<Gateway>> = Arc::new((0..GATEWAYS).map(start).collect());
    for gateway in gateways.iter() {
        gateway.wait_ready().await;
    }
    sleep(CONTACT).await;
    let set = |waiting| {
        let terms = Brittleness { allowed: 3, waiting };
        testbed.models.iter().for_each(|target| target.set_brittle(Some(terms)));
    };
    set(6);
    send_for(&testbed, &gateways, CONTACT).await;
    let before: usize = testbed.models.iter().map(RelayTarget::falls).sum();
    set(0);
    let (served, refused) = send_for(&testbed, &gateways, Duration::from_secs(6)).await;
    let falls = testbed.models.iter().map(RelayTarget::falls).sum::<usize>() - before;
    assert_eq!(falls, 0, "{served} served, {refused} refused");
    // Each of eight slots runs a request in 0.3 s; the testbed's own gateway has no callers.
    assert!(served > 60, "{served} served, {refused} refused");
    for gateway in gateways.iter() {
        let lines = gateway.log_lines();
        let line = lines.iter().find(|line| line["event"] == "target_brittle").expect("a line");
        assert_eq!((&line["allowed"], &line["room"]), (&3.into(), &8.into()));
        let metrics = reqwest::get(format!("http://{}/metrics", gateway.inner)).await;
        let metrics = metrics.expect("an answer").text().await.expect("text");
        assert!(metrics.contains("sesamewind_brittle_targets 2"), "{metrics}");
    }
    testbed.models.iter().for_each(|target| target.set_brittle(None));
    send_for(&testbed, &gateways, Duration::from_secs(4)).await;
    until("every instance has logged the end", async || {
        gateways.iter().all(|gateway| gateway.log_text().contains("brittle_ended"))
    })
    .await;
}
