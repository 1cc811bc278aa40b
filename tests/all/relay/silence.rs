//! Targets that send nothing for a while and then go on.

use std::time::Duration;

use sesamewind_standins::relay::Behaviour::{self, Comment, Decline, Drip, Hang, Pause, Serve};
use sesamewind_standins::relay::{COMMENT, TargetOptions, body, event};

use super::testbed::{Testbed, configuration, until};

/// A request to targets of which some pause, and what its caller must receive.
struct Case {
    name: &'static str,
    path: &'static str,
    /// Number of targets of the service.
    targets: usize,
    /// Behaviours of the attempts, in the order in which they are sent.
    script: &'static [Behaviour],
    /// Number of targets that run the request.
    runs: usize,
}

const CASES: &[Case] = &[
    Case { name: "only target", path: "/talk/x", targets: 1, script: &[Pause(2, 1_500)], runs: 1 },
    Case { name: "at once", path: "/talk/x", targets: 1, script: &[Pause(0, 1_900)], runs: 1 },
    Case { name: "once", path: "/once-stream/x", targets: 1, script: &[Pause(2, 1_900)], runs: 1 },
    Case { name: "plain", path: "/read/x", targets: 1, script: &[Pause(0, 1_300)], runs: 1 },
    Case { name: "plain once", path: "/pay/x", targets: 1, script: &[Pause(0, 1_900)], runs: 1 },
    Case {
        name: "attempts used up",
        path: "/talk/x",
        targets: 2,
        script: &[Pause(2, 1_700), Pause(0, 1_700)],
        runs: 2,
    },
    Case {
        name: "attempts used up within the stream",
        path: "/talk/x",
        targets: 2,
        script: &[Pause(2, 1_700), Pause(1, 1_900)],
        runs: 2,
    },
    Case {
        name: "plain attempts used up",
        path: "/read/x",
        targets: 2,
        script: &[Pause(0, 1_300), Pause(0, 1_300)],
        runs: 2,
    },
    Case {
        name: "the other target declines",
        path: "/talk/x",
        targets: 2,
        script: &[Pause(2, 1_700), Decline, Decline, Serve],
        runs: 2,
    },
    Case { name: "byte by byte", path: "/talk/x", targets: 1, script: &[Drip(2, 1_500)], runs: 1 },
    Case { name: "moved", path: "/talk/x", targets: 2, script: &[Hang(2)], runs: 2 },
];

/// Checks that the caller of each case receives the whole answer; `meanwhile` runs once the first
/// target has the request.
async fn check(cases: &[Case], meanwhile: impl AsyncFn(&Testbed)) {
    for case in cases {
        let options = TargetOptions::default();
        options.script.extend(case.script);
        let testbed = Testbed::start_with(case.targets, case.targets, options).await;
        let is_stream = case.path.contains("stream") || case.path.contains("talk");
        let targets = if is_stream { &testbed.models } else { &testbed.plains };
        let (id, request) = testbed.request(case.path);
        let answer = tokio::spawn(request.send());
        until("a target has the request", async || {
            targets.iter().any(|target| target.runs(&id) > 0)
        })
        .await;
        meanwhile(&testbed).await;
        let answer = answer.await.expect("the task ends").expect("the gateway answers");
        let (status, text) = (answer.status(), answer.text().await);
        let trace = testbed.trace(&id);
        let want =
            if is_stream { (1..=5).map(|number| event(&id, number)).collect() } else { body(&id) };
        assert_eq!((status.as_u16(), text.ok()), (200, Some(want)), "{}: {trace:?}", case.name);
        let runs: usize = targets.iter().map(|target| target.runs(&id)).sum();
        assert_eq!(runs, case.runs, "{}: {trace:?}", case.name);
    }
}

/// Guards against ending the answer of a sound target because it was silent for a second or two.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_is_not_ended_because_its_target_pauses() {
    check(CASES, async |_| {}).await;
}

/// Guards against ending answers of targets that pause beside a change of the configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_is_not_ended_because_the_configuration_changes_during_a_pause() {
    let changes = [
        ("/routes/0/timeoutMs", 9_000),
        ("/routes/0/targetLatencyMs", 300),
        ("/routes/0/maxAttempts", 1),
        ("/limits/idleTimeoutMs", 500),
    ];
    for (field, value) in changes {
        check(&CASES[..2], async |testbed| {
            let mut changed = configuration(2);
            let slot = changed.pointer_mut(field).expect("a field of the configuration");
            *slot = value.into();
            testbed.store.configure(&changed);
        })
        .await;
    }
}

/// Guards against taking bytes that complete no event for progress of a stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_moves_from_a_target_that_sends_no_events() {
    for behaviour in [Comment(0, 4_000), Comment(2, 4_000), Drip(0, 4_000), Drip(2, 4_000)] {
        let options = TargetOptions::default();
        options.script.extend(&[behaviour]);
        let testbed = Testbed::start_with(2, 0, options).await;
        let (id, answer) = testbed.send("/talk/x").await;
        let text = answer.text().await.expect("a whole stream");
        let comment = std::str::from_utf8(COMMENT).expect("comments are text");
        let want: String = (1..=5).map(|number| event(&id, number)).collect();
        assert_eq!(text.replace(comment, ""), want, "{behaviour:?}: {:?}", testbed.trace(&id));
        let moved = testbed.trace(&id).contains(&("attempt_ended".into(), "silent".into()));
        assert!(moved, "{behaviour:?}: {:?}", testbed.trace(&id));
    }
}

/// Guards against ending a stream that makes progress just within the allowed silence.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_of_slow_events_is_passed_on_to_its_end() {
    let delay = Duration::from_millis(900);
    let options = TargetOptions { delay, ..TargetOptions::default() };
    let testbed = Testbed::start_with(2, 0, options).await;
    let (id, answer) = testbed.send("/talk/x").await;
    let want: String = (1..=5).map(|number| event(&id, number)).collect();
    assert_eq!(answer.text().await.expect("a whole stream"), want);
    let runs: usize = testbed.models.iter().map(|target| target.runs(&id)).sum();
    assert_eq!(runs, 1, "{:?}", testbed.trace(&id));
}

/// Guards against counting the time in which the instance itself was suspended as its targets'
/// silence.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_suspended_instance_does_not_take_its_targets_for_silent() {
    for millis in [1_200, 3_000] {
        let options = TargetOptions {
            events: 60,
            slots: 20,
            delay: Duration::from_millis(50),
            ..TargetOptions::default()
        };
        let testbed = Testbed::start_with(2, 0, options).await;
        let mut streams = Vec::new();
        for _ in 0..20 {
            let (id, answer) = testbed.send("/talk/x").await;
            assert_eq!(answer.status(), 200, "{:?}", testbed.trace(&id));
            streams.push((id, tokio::spawn(answer.text())));
        }
        testbed.gateway.pause(Duration::from_millis(millis)).await;
        for (id, stream) in streams {
            let text = stream.await.expect("the task ends").expect("a whole stream");
            let want: String = (1..=60).map(|number| event(&id, number)).collect();
            assert_eq!(text, want, "{:?}", testbed.trace(&id));
            let trace = testbed.trace(&id);
            assert!(!trace.iter().any(|(_, cause)| cause == "silent"), "{millis} ms: {trace:?}");
        }
    }
}

/// Guards against refusing requests that wait, though answers that leave them slots arrived while the
/// instance was suspended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_suspended_instance_refuses_no_requests_before_it_reads_answers() {
    let options = TargetOptions { delay: Duration::from_millis(60), ..TargetOptions::default() };
    let testbed = Testbed::start_with(1, 0, options).await;
    for round in 0..5 {
        let mut answers = Vec::new();
        for _ in 0..6 {
            let (id, request) = testbed.request("/talk/x");
            answers.push((id, tokio::spawn(request.send())));
        }
        until("four requests run", async || {
            answers.iter().map(|(id, _)| testbed.models[0].runs(id)).sum::<usize>() == 4
        })
        .await;
        testbed.gateway.pause(Duration::from_millis(1_000)).await;
        for (id, answer) in answers {
            let answer = answer.await.expect("the task ends").expect("the gateway answers");
            assert_eq!(answer.status(), 200, "{round}: {:?}", testbed.trace(&id));
        }
    }
}

/// Guards against never moving a stream from a silent target, since the instance stalls often.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_stalls_often_moves_a_stream_from_a_silent_target() {
    let options = TargetOptions::default();
    options.script.extend(&[Hang(2)]);
    let testbed = Testbed::start_with(2, 0, options).await;
    let (id, answer) = testbed.send("/talk/x").await;
    let stream = tokio::spawn(answer.text());
    while !stream.is_finished() {
        testbed.gateway.pause(Duration::from_millis(170)).await;
        tokio::time::sleep(Duration::from_millis(130)).await;
    }
    let text = stream.await.expect("the task ends").ok();
    let want: String = (1..=5).map(|number| event(&id, number)).collect();
    assert_eq!(text, Some(want), "{:?}", testbed.trace(&id));
}

/// Guards against taking a suspension of the instance for a pause of its target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_suspension_is_no_pause_of_a_target() {
    let options =
        TargetOptions { events: 30, delay: Duration::from_millis(30), ..TargetOptions::default() };
    let testbed = Testbed::start_with(1, 0, options).await;
    let (_, answer) = testbed.send("/talk/x").await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    testbed.gateway.pause(Duration::from_millis(600)).await;
    answer.text().await.expect("a whole stream");
    let (id, answer) = testbed.send("/talk/x").await;
    answer.text().await.expect("a whole stream");
    let lines = testbed.gateway.log_lines();
    let line = lines.iter().find(|line| line["request"] == id && line["event"] == "dispatched");
    let pause = line.and_then(|line| line["target_pause_ms"].as_u64()).expect("a pause");
    assert!((20..300).contains(&pause), "{line:?}");
}
