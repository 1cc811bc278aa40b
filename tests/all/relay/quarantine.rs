//! Requests that end the targets that answer them.

use std::time::Duration;

use reqwest::Response;
use sesamewind_adapter::names;
use sesamewind_standins::relay::configuration::{account, configuration, default_routes};
use sesamewind_standins::relay::{Behaviour, RelayTarget, TargetOptions};

use super::testbed::{Gateway, KEY, Testbed, until};

/// Key of a second client account.
const OTHER_KEY: &str = "key-two";

/// Number of targets.
const TARGETS: usize = 4;

/// Shortest time for which a refused caller must be told to stay away, in seconds.
const MIN_RETRY_AFTER: f64 = 10.0;

/// What requests that end targets have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// A part of their prompts.
    Part,
    /// Path and body; they state no parts.
    Whole,
}

/// Starts targets whose attempts break before an answer begins.
async fn start() -> Testbed {
    let options = TargetOptions::default();
    options.script.extend(&[Behaviour::BreakOff(0); 64]);
    Testbed::start_with(TARGETS, 0, options).await
}

async fn send(testbed: &Testbed, gateway: &Gateway, kind: Kind, number: u32) -> Response {
    let (_, mut request) = testbed.request_to(gateway, "/talk/x");
    if kind == Kind::Part {
        let parts = format!("{number:x}:60,bad:9,f{number}:40");
        request = request.header(names::PROMPT_PARTS, parts).body(format!("body {number}"));
    }
    request.send().await.expect("an answer")
}

/// What two requests have in common, of which one ends targets and the other one does not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shared {
    /// Path and body; they are of different accounts.
    PathAndBody,
    /// Account, path and all parts of the prompt.
    Parts,
}

/// Header by which targets tell the request that ends them.
const MARK: &str = "x-mark";

/// Sends the request that ends targets, or the one that shares something with it.
async fn send_alike(testbed: &Testbed, shared: Shared, is_deadly: bool) -> Response {
    let key = if is_deadly && shared == Shared::PathAndBody { OTHER_KEY } else { KEY };
    let mut request = testbed.request_with_key(key, "/talk/x").1;
    if shared == Shared::Parts {
        let body = if is_deadly { "the deadly body" } else { "a sound body" };
        request = request.header(names::PROMPT_PARTS, "a:60,b:9,c:40").body(body);
    }
    if is_deadly {
        request = request.header(MARK, "deadly");
    }
    request.send().await.expect("an answer")
}

/// Sends a request that ends targets, and a sound one after each, and checks that the former is held.
async fn check_held_beside(shared: Shared) {
    let testbed = Testbed::start(TARGETS, 0).await;
    let accounts = [account("one", KEY, 0.0, 0.0), account("two", OTHER_KEY, 0.0, 0.0)];
    testbed.store.configure(&configuration(2, &default_routes(), &accounts));
    until("both accounts are known", async || {
        let request = testbed.request_with_key(OTHER_KEY, "/talk/y").1;
        request.send().await.is_ok_and(|answer| answer.status() == 200)
    })
    .await;
    testbed.models[0].script().break_off(MARK, "deadly");
    let mut sent = 0;
    for _ in 0..8 {
        let answer = send_alike(&testbed, shared, true).await;
        let is_held = retry_after(&answer).is_some_and(|seconds| seconds >= MIN_RETRY_AFTER);
        sent += u32::from(!is_held);
        tokio::time::sleep(Duration::from_millis(700)).await;
        let sound = send_alike(&testbed, shared, false).await;
        assert_eq!(sound.status(), 200);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    assert!(sent <= 4, "sent {sent} of 8 times");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sound_request_of_another_account_does_not_release_one_that_ends_targets() {
    check_held_beside(Shared::PathAndBody).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sound_request_with_the_same_parts_does_not_release_one_that_ends_targets() {
    check_held_beside(Shared::Parts).await;
}

fn received(targets: &[RelayTarget]) -> usize {
    targets.iter().map(|target| target.received().len()).sum()
}

/// Sends requests until one is refused because of what it has in common with others.
async fn send_until_held(testbed: &Testbed, gateway: &Gateway, kind: Kind) -> Response {
    for number in 1..20 {
        let answer = send(testbed, gateway, kind, number).await;
        let is_held = answer.status() == 503
            && retry_after(&answer).is_some_and(|seconds| seconds >= MIN_RETRY_AFTER);
        if is_held {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(600)).await;
    }
    panic!("requests like {kind:?} are not held back");
}

fn retry_after(answer: &Response) -> Option<f64> {
    answer.headers().get("retry-after")?.to_str().ok()?.parse().ok()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_end_targets_are_refused_at_once() {
    for kind in [Kind::Part, Kind::Whole] {
        let testbed = start().await;
        send_until_held(&testbed, &testbed.gateway, kind).await;
        let targets = &testbed.models;
        let before = received(targets);
        assert!(before <= TARGETS, "{kind:?}: {before}");
        for number in 100..110 {
            let answer = send(&testbed, &testbed.gateway, kind, number).await;
            assert_eq!(answer.status(), 503, "{kind:?}");
        }
        assert_eq!(received(targets), before, "{kind:?}");
        // Other requests are served.
        testbed.models[0].script().clear();
        let (_, other) = testbed.send("/talk/other").await;
        assert_eq!(other.status(), 200, "{kind:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_starts_alone_refuses_what_ended_targets_before() {
    let mut testbed = start().await;
    let kind = Kind::Part;
    send_until_held(&testbed, &testbed.gateway, kind).await;
    until("the state is saved", async || testbed.store.keys(names::PART_TABLE).len() == 1).await;
    testbed.gateway.terminate();
    testbed.gateway.wait_exit().await;
    let before = received(&testbed.models);
    let next = Gateway::start_as("g2", testbed.store.addr(), false);
    next.wait_ready().await;
    until("the state is read", async || next.log_text().contains("parts_restored")).await;
    let answer = send(&testbed, &next, kind, 200).await;
    assert_eq!(answer.status(), 503);
    assert_eq!(received(&testbed.models), before);
}
