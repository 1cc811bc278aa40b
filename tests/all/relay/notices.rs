//! Targets that say in their answers that they are leaving or want no requests for a while.

use std::time::{Duration, Instant};

use sesamewind_standins::relay::{Behaviour, TargetOptions, body};

use super::testbed::Testbed;

/// Length of the rest that a target asks for, in milliseconds.
const REST_MS: u64 = 1_500;

/// Number of calls at a time; more than one target has slots.
const BURST: usize = 8;

/// Sends calls for a while and checks that all are served.
async fn send_for(testbed: &Testbed, length: Duration) {
    let start = Instant::now();
    while start.elapsed() < length {
        let calls = (0..BURST).map(|_| testbed.send("/pay/x"));
        for (id, answer) in futures_util::future::join_all(calls).await {
            assert_eq!(answer.status(), 200);
            assert_eq!(answer.text().await.expect("the answer is whole"), body(&id));
        }
    }
}

/// The store lists the target as ready all the while.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_says_it_is_leaving_gets_nothing_more() {
    let testbed = Testbed::start_with(0, 2, TargetOptions::default()).await;
    testbed.plains[0].script().extend(&[Behaviour::Leave]);
    // One call is sent alone, since others of a burst may already be on their way.
    let (_, answer) = testbed.send("/pay/x").await;
    assert_eq!(answer.status(), 200);
    send_for(&testbed, Duration::from_secs(1)).await;
    let received = testbed.plains.iter().map(|target| target.received().len());
    let mut received: Vec<usize> = received.collect();
    received.sort_unstable();
    assert_eq!(received[0], 1, "the target that is leaving got more than its first call");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_wants_a_rest_gets_nothing_for_that_time() {
    let testbed = Testbed::start_with(0, 2, TargetOptions::default()).await;
    testbed.plains[0].script().extend(&[Behaviour::Rest(REST_MS)]);
    let (_, answer) = testbed.send("/pay/x").await;
    assert_eq!(answer.status(), 200);
    send_for(&testbed, Duration::from_secs(3)).await;
    let rested = testbed.plains.iter().find(|target| target.received().iter().any(|one| !one.ran));
    let received = rested.expect("a target asked for a rest").received();
    let asked = received.iter().position(|one| !one.ran).expect("it asked");
    let next = received.get(asked + 1).expect("it is used again after its rest");
    let pause = next.at.duration_since(received[asked].at);
    assert!(pause >= Duration::from_millis(REST_MS), "{pause:?}");
    assert!(pause < Duration::from_millis(REST_MS + 500), "{pause:?}");
}
