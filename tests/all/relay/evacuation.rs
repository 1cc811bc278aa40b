//! Operators evacuate availability zones and take that back.

use std::time::Duration;

use sesamewind_standins::proxy::FaultProxy;
use sesamewind_standins::relay::{RelayTarget, TargetOptions};
use tokio::time::sleep;

use super::testbed::{Gateway, Testbed, until};

/// Time in which all instances with a path to the store or a peer know an order.
const FORCE_TIME: Duration = Duration::from_secs(1);

/// Time in which the instances know that the requests of others have ended.
const EXCHANGE_TIME: Duration = Duration::from_millis(400);

/// Requests that each of the two targets runs at the same time.
const SLOTS: u32 = 16;

/// A model engine in each of two zones, with streams that take a second and a half.
async fn two_zones() -> (Testbed, RelayTarget) {
    let options = TargetOptions {
        events: 15,
        delay: Duration::from_millis(100),
        slots: SLOTS,
        ..TargetOptions::default()
    };
    let testbed = Testbed::start_with(1, 0, options.clone()).await;
    let options = TargetOptions { id: "i-z2".into(), zone: "z2".into(), ..options };
    let other = RelayTarget::start(options, &testbed.store).await;
    testbed.wait_listed(2).await;
    (testbed, other)
}

/// Sends so many requests at once that they need this number of targets; returns their statuses.
async fn burst(testbed: &Testbed, gateway: &Gateway, targets: usize) -> Vec<u16> {
    let requests = if targets == 2 { SLOTS + SLOTS / 2 } else { SLOTS / 2 };
    let calls = (0..requests).map(async |_| {
        let (_, request) = testbed.request_to(gateway, "/talk/x");
        let answer = request.send().await.expect("the gateway answers");
        let status = answer.status().as_u16();
        answer.text().await.expect("the answer is whole");
        status
    });
    futures_util::future::join_all(calls).await
}

/// Checks which zones the requests of a gateway reach.
async fn check(
    testbed: &Testbed,
    other: &RelayTarget,
    (name, gateway): (&str, &Gateway),
    reached: [bool; 2],
) {
    let counts = || [testbed.models[0].received().len(), other.received().len()];
    sleep(EXCHANGE_TIME).await;
    let before = counts();
    let statuses = burst(testbed, gateway, reached.iter().filter(|zone| **zone).count()).await;
    let after = counts();
    assert_eq!([after[0] > before[0], after[1] > before[1]], reached, "{name}");
    let status = if reached == [false; 2] { 503 } else { 200 };
    assert!(statuses.iter().all(|got| *got == status), "{name}: {statuses:?}");
}

/// An order holds at an instance with the store, at one that only hears of its peers, and at one that
/// starts later; streams that run in the zone end there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_evacuated_zone_gets_nothing_until_it_is_taken_back() {
    let (testbed, other) = two_zones().await;
    let store = FaultProxy::start(testbed.store.addr()).await;
    let peer = Gateway::start("g2", store.addr());
    peer.wait_ready().await;
    until("the peers have met", async || peer.log_text().contains("peer_met")).await;
    check(&testbed, &other, ("before", &testbed.gateway), [true; 2]).await;
    store.cut().await;
    let before = other.received().len();
    let running: Vec<_> =
        (0..SLOTS + SLOTS / 4).map(|_| testbed.request("/once-stream/x")).collect();
    let running: Vec<_> =
        running.into_iter().map(|(id, request)| (id, tokio::spawn(request.send()))).collect();
    until("streams run in the zone", async || other.received().len() > before).await;
    testbed.store.evacuate("z2");
    sleep(FORCE_TIME).await;
    let late = Gateway::start_as("g3", testbed.store.addr(), false);
    late.wait_ready().await;
    for (id, answer) in running {
        let answer = answer.await.expect("no panic").expect("an answer");
        let text = answer.text().await.expect("the stream is whole");
        assert!(text.contains(&format!("{id}-15")), "{text}");
        assert_eq!(testbed.models[0].runs(&id) + other.runs(&id), 1);
    }
    check(&testbed, &other, ("own read", &testbed.gateway), [true, false]).await;
    check(&testbed, &other, ("from a peer", &peer), [true, false]).await;
    check(&testbed, &other, ("started later", &late), [true, false]).await;
    testbed.store.evacuate("z1");
    sleep(FORCE_TIME).await;
    let (_, answer) = testbed.send("/talk/x").await;
    assert_eq!(answer.status(), 503);
    assert!(answer.headers().contains_key("retry-after"));
    check(&testbed, &other, ("no zone left", &peer), [false; 2]).await;
    testbed.store.take_back("z1");
    testbed.store.take_back("z2");
    sleep(FORCE_TIME).await;
    check(&testbed, &other, ("taken back", &testbed.gateway), [true; 2]).await;
    check(&testbed, &other, ("taken back, from a peer", &peer), [true; 2]).await;
    check(&testbed, &other, ("taken back, started later", &late), [true; 2]).await;
    let events = ["zone_evacuated", "zone_empty", "zone_taken_back"];
    for event in events {
        assert!(testbed.gateway.log_text().contains(event), "{event}");
    }
}

/// An order that the store has lost holds, also at an instance that starts afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_that_the_store_has_lost_holds() {
    let (testbed, other) = two_zones().await;
    let copy = testbed.store.snapshot();
    testbed.store.evacuate("z2");
    sleep(FORCE_TIME).await;
    testbed.store.set_back(copy);
    until("the loss is seen", async || testbed.gateway.log_text().contains("store_set_back")).await;
    let late = Gateway::start_as("g2", testbed.store.addr(), false);
    late.wait_ready().await;
    sleep(FORCE_TIME).await;
    check(&testbed, &other, ("known", &testbed.gateway), [true, false]).await;
    check(&testbed, &other, ("started later", &late), [true, false]).await;
    testbed.store.evacuate("z2");
    testbed.store.take_back("z2");
    sleep(FORCE_TIME).await;
    check(&testbed, &other, ("taken back", &late), [true; 2]).await;
}
