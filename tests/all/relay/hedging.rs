//! Second attempts of slow requests at a real gateway.

use std::fs;

use sesamewind_standins::relay::Behaviour::{self, Fail, Hang, Pause, Serve};
use sesamewind_standins::relay::{RelayTarget, TargetOptions, body, event};

use super::testbed::{Testbed, until};

/// Number of requests after which the gateway knows what answers usually take.
const LEARNED: usize = 60;

/// Starts a gateway that may send a second attempt for each second request.
async fn start() -> Testbed {
    let testbed = Testbed::start_with(3, 3, TargetOptions::default()).await;
    let path = testbed.gateway.settings();
    let text = fs::read_to_string(path).expect("settings are read");
    fs::write(path, format!("{text}[hedging]\nshare = \"0.5\"\n")).expect("settings are written");
    testbed.gateway.reload();
    until("the settings are in force", async || {
        testbed.gateway.log_lines().iter().any(|line| line["event"] == "reloaded")
    })
    .await;
    testbed
}

fn running(targets: &[RelayTarget], id: &str) -> usize {
    targets.iter().filter(|target| target.runs(id) > 0).count()
}

#[tokio::test]
async fn a_slow_request_is_answered_by_the_target_that_answers_first() {
    struct Case {
        name: &'static str,
        path: &'static str,
        script: &'static [Behaviour],
        end: &'static str,
    }
    let cases = [
        Case { name: "second wins", path: "/read/x", script: &[Hang(0), Serve], end: "won" },
        Case {
            name: "first wins",
            path: "/read/x",
            script: &[Pause(0, 900), Pause(0, 2_000)],
            end: "lost",
        },
        Case {
            name: "second fails",
            path: "/read/x",
            script: &[Pause(0, 900), Fail],
            end: "failed",
        },
        Case { name: "stream", path: "/talk/x", script: &[Hang(0), Serve], end: "won" },
    ];
    let testbed = start().await;
    for path in ["/read/x", "/talk/x"] {
        for _ in 0..LEARNED {
            let (_, answer) = testbed.send(path).await;
            answer.text().await.expect("a whole answer");
        }
    }
    for case in cases {
        testbed.models[0].script().extend(case.script);
        let (id, answer) = testbed.send(case.path).await;
        let text = answer.text().await.expect("a whole answer");
        let is_stream = case.path == "/talk/x";
        let want =
            if is_stream { (1..=5).map(|number| event(&id, number)).collect() } else { body(&id) };
        assert_eq!(text, want, "{}", case.name);
        let targets = if is_stream { &testbed.models } else { &testbed.plains };
        assert_eq!(running(targets, &id), 2, "{}", case.name);
        until(case.name, async || {
            let trace = testbed.trace(&id);
            trace.contains(&("hedge_ended".to_owned(), case.end.to_owned()))
        })
        .await;
        testbed.models[0].script().clear();
    }
}

/// Guards against a second attempt of a request that may run only once.
#[tokio::test]
async fn a_slow_request_that_may_run_once_has_one_attempt() {
    let testbed = start().await;
    for _ in 0..LEARNED {
        testbed.send("/pay/x").await;
    }
    testbed.models[0].script().extend(&[Pause(0, 1_500)]);
    let (id, answer) = testbed.send("/pay/x").await;
    assert_eq!(answer.text().await.expect("a whole answer"), body(&id));
    assert_eq!(running(&testbed.plains, &id), 1);
}
