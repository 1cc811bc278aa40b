//! Targets that fail in every way, and what callers get.

use std::time::Duration;

use sesamewind_adapter::names;
use sesamewind_standins::relay::{Behaviour, TargetOptions, body, event};

use super::world::{World, until};

/// How a request's answer looks to its caller.
#[derive(Debug, PartialEq, Eq)]
enum Got {
    Whole,
    /// A status and whether the answer says when to come back.
    Status(u16, bool),
    /// An answer that is visibly incomplete.
    Incomplete,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_failure_of_a_target_is_told_truly() {
    struct Case {
        path: &'static str,
        script: Vec<Behaviour>,
        got: Got,
        runs: usize,
    }
    use Behaviour::{BreakOff, Decline, Fail, Foreign, Hang, Replaced, Serve, Unsealed};
    let cases = [
        // Calls that run once at most.
        Case { path: "/pay/x", script: vec![Serve], got: Got::Whole, runs: 1 },
        Case { path: "/pay/x", script: vec![Fail], got: Got::Status(500, false), runs: 1 },
        Case { path: "/pay/x", script: vec![Unsealed], got: Got::Status(502, false), runs: 1 },
        Case { path: "/pay/x", script: vec![Foreign], got: Got::Status(502, false), runs: 1 },
        Case { path: "/pay/x", script: vec![Decline], got: Got::Whole, runs: 1 },
        Case { path: "/pay/x", script: vec![Decline; 6], got: Got::Status(503, true), runs: 0 },
        // Calls that may be repeated.
        Case { path: "/read/x", script: vec![Fail], got: Got::Whole, runs: 2 },
        Case { path: "/read/x", script: vec![Fail, Fail], got: Got::Status(500, false), runs: 2 },
        Case { path: "/read/x", script: vec![Unsealed], got: Got::Whole, runs: 2 },
        Case { path: "/read/x", script: vec![Hang(0)], got: Got::Whole, runs: 2 },
        // Streams that can go on elsewhere.
        Case { path: "/talk/x", script: vec![BreakOff(2)], got: Got::Whole, runs: 2 },
        Case { path: "/talk/x", script: vec![Hang(3)], got: Got::Whole, runs: 2 },
        Case { path: "/talk/x", script: vec![BreakOff(0), Serve], got: Got::Whole, runs: 2 },
        Case {
            path: "/talk/x",
            script: vec![BreakOff(2), BreakOff(3)],
            got: Got::Incomplete,
            runs: 2,
        },
        Case { path: "/talk/x", script: vec![Replaced, Serve], got: Got::Whole, runs: 1 },
        // Streams that run once at most.
        Case { path: "/once-stream/x", script: vec![BreakOff(2)], got: Got::Incomplete, runs: 1 },
        Case {
            path: "/once-stream/x",
            script: vec![BreakOff(0)],
            got: Got::Status(502, false),
            runs: 1,
        },
    ];
    for (number, case) in cases.into_iter().enumerate() {
        // The targets share the script, so that it doesn't matter which is asked first.
        let options = TargetOptions::default();
        options.script.extend(&case.script);
        let world = World::with(2, 2, options).await;
        let targets = if case.path.starts_with("/talk") || case.path.starts_with("/once") {
            &world.models
        } else {
            &world.plains
        };
        let (id, answer) = world.send(case.path).await;
        let whole: String = if case.path.starts_with("/talk") || case.path.starts_with("/once") {
            (1..=5).map(|number| event(&id, number)).collect()
        } else {
            body(&id)
        };
        let status = answer.status().as_u16();
        let comes_back = answer.headers().contains_key("retry-after");
        let sealed = answer.headers().contains_key(names::SEAL);
        let got = match answer.text().await {
            Ok(text) if status == 200 => {
                assert_eq!(text, whole, "case {number}: {}", case.path);
                assert!(sealed, "case {number}");
                Got::Whole
            }
            Ok(_) => Got::Status(status, comes_back),
            Err(_) => Got::Incomplete,
        };
        let story = world.story(&id);
        assert_eq!(got, case.got, "case {number}: {} {:?} {story:?}", case.path, case.script);
        let runs: usize = targets.iter().map(|target| target.runs(&id)).sum();
        assert_eq!(runs, case.runs, "case {number}: {} {:?}", case.path, case.script);
    }
}

/// A crashed target is not asked for long, and the calls that it can't have got are served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_pass_a_crashed_target_by() {
    let world = World::start(0, 2).await;
    world.plains[0].proxy().cut().await;
    for _ in 0..20 {
        let (id, answer) = world.send("/pay/x").await;
        assert_eq!(answer.status(), 200, "{:?}", world.story(&id));
    }
    assert_eq!(world.plains[1].received().len(), 20);
}

/// A caller that leaves in the middle of a stream frees its target at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_is_freed_when_the_caller_leaves() {
    let options = TargetOptions {
        events: 10_000,
        slots: 1,
        delay: Duration::from_millis(10),
        ..TargetOptions::default()
    };
    let world = World::with(1, 0, options).await;
    let (id, mut answer) = world.send("/talk/x").await;
    assert!(answer.chunk().await.expect("a first event").is_some());
    assert!(world.models[0].proxy().open_count() > 0);
    drop(answer);
    until("connection to the target is closed", async || world.models[0].proxy().open_count() == 0)
        .await;
    let story = world.story(&id);
    assert_eq!(story.last().map(|(event, _)| event.as_str()), Some("caller_left"), "{story:?}");
}
