//! Failures of targets and the responses that callers get.

use std::time::Duration;

use sesamewind_adapter::names;
use sesamewind_standins::relay::{Behaviour, TargetOptions, body, event};

use super::testbed::{Testbed, until};

/// Response as its caller sees it.
#[derive(Debug, PartialEq, Eq)]
enum Reply {
    /// Status 200 with the complete, sealed body.
    Whole,
    /// A status, and whether the response has a `retry-after` header.
    Status(u16, bool),
    /// A body that ends with a transport error.
    Incomplete,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_target_failure_is_reported_accurately() {
    struct Case {
        path: &'static str,
        script: Vec<Behaviour>,
        want: Reply,
        runs: usize,
    }
    use Behaviour::{BreakOff, Decline, Fail, Foreign, Hang, Replaced, Serve, Unsealed};
    let cases = [
        // Calls that may run at most once.
        Case { path: "/pay/x", script: vec![Serve], want: Reply::Whole, runs: 1 },
        Case { path: "/pay/x", script: vec![Fail], want: Reply::Status(500, false), runs: 1 },
        Case { path: "/pay/x", script: vec![Unsealed], want: Reply::Status(502, false), runs: 1 },
        Case { path: "/pay/x", script: vec![Foreign], want: Reply::Status(502, false), runs: 1 },
        Case { path: "/pay/x", script: vec![Decline], want: Reply::Whole, runs: 1 },
        Case { path: "/pay/x", script: vec![Decline; 6], want: Reply::Status(503, true), runs: 0 },
        // Calls that may be repeated.
        Case { path: "/read/x", script: vec![Fail], want: Reply::Whole, runs: 2 },
        Case {
            path: "/read/x",
            script: vec![Fail, Fail],
            want: Reply::Status(500, false),
            runs: 2,
        },
        Case { path: "/read/x", script: vec![Unsealed], want: Reply::Whole, runs: 2 },
        Case { path: "/read/x", script: vec![Hang(0)], want: Reply::Whole, runs: 2 },
        // Streams that can be continued at another target.
        Case { path: "/talk/x", script: vec![BreakOff(2)], want: Reply::Whole, runs: 2 },
        Case { path: "/talk/x", script: vec![Hang(3)], want: Reply::Whole, runs: 2 },
        Case { path: "/talk/x", script: vec![BreakOff(0), Serve], want: Reply::Whole, runs: 2 },
        Case {
            path: "/talk/x",
            script: vec![BreakOff(2), BreakOff(3)],
            want: Reply::Incomplete,
            runs: 2,
        },
        Case { path: "/talk/x", script: vec![Replaced, Serve], want: Reply::Whole, runs: 1 },
        // Streams that may run at most once.
        Case {
            path: "/once-stream/x",
            script: vec![BreakOff(2)],
            want: Reply::Incomplete,
            runs: 1,
        },
        Case {
            path: "/once-stream/x",
            script: vec![BreakOff(0)],
            want: Reply::Status(502, false),
            runs: 1,
        },
    ];
    for (number, case) in cases.into_iter().enumerate() {
        // The targets share the script, so the result does not depend on which is selected first.
        let options = TargetOptions::default();
        options.script.extend(&case.script);
        let testbed = Testbed::start_with(2, 2, options).await;
        let targets = if case.path.starts_with("/talk") || case.path.starts_with("/once") {
            &testbed.models
        } else {
            &testbed.plains
        };
        let (id, answer) = testbed.send(case.path).await;
        let want_text: String = if case.path.starts_with("/talk") || case.path.starts_with("/once")
        {
            (1..=5).map(|number| event(&id, number)).collect()
        } else {
            body(&id)
        };
        let status = answer.status().as_u16();
        let has_retry_after = answer.headers().contains_key("retry-after");
        let is_sealed = answer.headers().contains_key(names::SEAL);
        let got = match answer.text().await {
            Ok(text) if status == 200 => {
                assert_eq!(text, want_text, "case {number}: {}", case.path);
                assert!(is_sealed, "case {number}");
                Reply::Whole
            }
            Ok(_) => Reply::Status(status, has_retry_after),
            Err(_) => Reply::Incomplete,
        };
        let trace = testbed.trace(&id);
        assert_eq!(got, case.want, "case {number}: {} {:?} {trace:?}", case.path, case.script);
        let runs: usize = targets.iter().map(|target| target.runs(&id)).sum();
        assert_eq!(runs, case.runs, "case {number}: {} {:?}", case.path, case.script);
    }
}

/// Guards against the text of an error in the middle of a stream, and against a stream that looks
/// complete, where the target that should have gone on with it answers with an error.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_error_of_the_next_target_does_not_reach_a_stream_that_has_begun() {
    use Behaviour::{BreakOff, Decline, Fail, Foreign, Hang, Reject, Replaced, Unsealed};
    struct Case {
        script: &'static [Behaviour],
        whole: bool,
    }
    let cases = [
        Case { script: &[BreakOff(2), Fail], whole: false },
        Case { script: &[BreakOff(2), Reject], whole: false },
        Case { script: &[BreakOff(2), Unsealed], whole: false },
        Case { script: &[BreakOff(2), Foreign], whole: false },
        Case { script: &[Hang(2), Fail], whole: false },
        Case { script: &[BreakOff(2), Decline], whole: true },
        Case { script: &[BreakOff(2), Replaced], whole: true },
    ];
    for Case { script, whole } in cases {
        let options = TargetOptions::default();
        options.script.extend(script);
        let testbed = Testbed::start_with(3, 0, options).await;
        let (id, mut answer) = testbed.send("/talk/x").await;
        assert_eq!(answer.status(), 200, "{script:?}");
        let mut received = Vec::new();
        let is_complete = loop {
            match answer.chunk().await {
                Ok(Some(chunk)) => received.extend_from_slice(&chunk),
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        let events = if whole { 5 } else { 2 };
        let want: String = (1..=events).map(|number| event(&id, number)).collect();
        let got = String::from_utf8_lossy(&received);
        assert_eq!((got.as_ref(), is_complete), (want.as_str(), whole), "{script:?}");
    }
}

/// A crashed target is soon no longer selected, and calls that it can't have received are served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_avoid_a_crashed_target() {
    let testbed = Testbed::start(0, 2).await;
    testbed.plains[0].proxy().cut().await;
    for _ in 0..20 {
        let (id, answer) = testbed.send("/pay/x").await;
        assert_eq!(answer.status(), 200, "{:?}", testbed.trace(&id));
    }
    assert_eq!(testbed.plains[1].received().len(), 20);
}

/// When a caller disconnects in the middle of a stream, its target is released immediately.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_is_released_when_the_caller_disconnects() {
    let options = TargetOptions {
        events: 10_000,
        slots: 1,
        delay: Duration::from_millis(10),
        ..TargetOptions::default()
    };
    let testbed = Testbed::start_with(1, 0, options).await;
    let (id, mut answer) = testbed.send("/talk/x").await;
    assert!(answer.chunk().await.expect("a first event").is_some());
    assert!(testbed.models[0].proxy().open_count() > 0);
    drop(answer);
    until("target connection is closed", async || testbed.models[0].proxy().open_count() == 0)
        .await;
    let trace = testbed.trace(&id);
    assert_eq!(trace.last().map(|(event, _)| event.as_str()), Some("caller_left"), "{trace:?}");
}
