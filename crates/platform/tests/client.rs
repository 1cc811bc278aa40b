//! The client: retries, guards, request format and results of calls.

mod fake;

use std::time::Duration;

use fake::{Act, ScriptedTransport};
use sesamewind_membership::{LeaseAnswer, LeaseCall, LeaseRow, SubmitAnswer, SubmitCall};
use sesamewind_platform::{
    BreakerTiming, BudgetRate, HttpTransport, Options, Platform, Put, Row, StoreError, control,
};
use sesamewind_protocol::Incarnation;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::Instant;

const DEADLINE: Duration = Duration::from_secs(3);

fn options() -> Options {
    Options { seed: Some(5), deadline: DEADLINE, ..Options::default() }
}

fn platform(acts: &[Act]) -> (Platform, ScriptedTransport) {
    let script = ScriptedTransport::new(acts);
    (Platform::with_transport(script.clone(), options()), script)
}

#[derive(Debug, PartialEq, Eq)]
enum Kind {
    Done,
    Unavailable,
    Unknown,
    RateLimited,
    Refused,
    Malformed,
}

fn kind<T>(result: &Result<T, StoreError>) -> Kind {
    match result {
        Ok(_) => Kind::Done,
        Err(StoreError::Unavailable(_)) => Kind::Unavailable,
        Err(StoreError::Unknown(_)) => Kind::Unknown,
        Err(StoreError::RateLimited) => Kind::RateLimited,
        Err(StoreError::Refused { .. }) => Kind::Refused,
        Err(StoreError::Malformed(_)) => Kind::Malformed,
    }
}

#[tokio::test(start_paused = true)]
async fn writes_are_retried_only_if_they_had_no_effect() {
    struct Case {
        name: &'static str,
        acts: Vec<Act>,
        want: Kind,
        sent: usize,
    }
    let done = Act::Reply(200, r#"{"revision":8}"#);
    let cases = [
        Case { name: "done", acts: vec![done], want: Kind::Done, sent: 1 },
        Case { name: "not connected", acts: vec![Act::NotSent, done], want: Kind::Done, sent: 2 },
        Case { name: "outage", acts: vec![Act::Reply(503, ""), done], want: Kind::Done, sent: 2 },
        Case { name: "limited", acts: vec![Act::Reply(429, ""), done], want: Kind::Done, sent: 2 },
        Case { name: "lost", acts: vec![Act::NoAnswer, done], want: Kind::Unknown, sent: 1 },
        Case { name: "silent", acts: vec![Act::Hang, done], want: Kind::Unknown, sent: 1 },
        Case { name: "fault", acts: vec![Act::Reply(500, ""), done], want: Kind::Unknown, sent: 1 },
        Case { name: "garbled", acts: vec![Act::Reply(200, "{")], want: Kind::Unknown, sent: 1 },
        Case { name: "refused", acts: vec![Act::Reply(400, "")], want: Kind::Refused, sent: 1 },
    ];
    for case in cases {
        let (platform, script) = platform(&case.acts);
        let result = platform.put_row("config", 7, &serde_json::json!({})).await;
        assert_eq!(kind(&result), case.want, "{}", case.name);
        assert_eq!(script.sent().len(), case.sent, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn reads_are_retried_until_the_deadline() {
    struct Case {
        name: &'static str,
        acts: Vec<Act>,
        want: Kind,
    }
    let row = Act::Reply(200, r#"{"revision":8,"value":1}"#);
    let cases = [
        Case { name: "done", acts: vec![row], want: Kind::Done },
        Case { name: "absent", acts: vec![Act::Reply(404, "")], want: Kind::Done },
        Case { name: "silent once", acts: vec![Act::Hang, row], want: Kind::Done },
        Case {
            name: "lost twice",
            acts: vec![Act::NoAnswer, Act::NoAnswer, row],
            want: Kind::Done,
        },
        Case { name: "outage", acts: vec![Act::Reply(503, "")], want: Kind::Unavailable },
        Case {
            name: "rate-limited throughout",
            acts: vec![Act::Reply(429, "")],
            want: Kind::RateLimited,
        },
        Case { name: "silent throughout", acts: vec![Act::Hang], want: Kind::Unknown },
        Case { name: "garbled", acts: vec![Act::Reply(200, "{")], want: Kind::Malformed },
    ];
    for case in cases {
        let (platform, _) = platform(&case.acts);
        let start = Instant::now();
        let result = platform.row("config").await;
        assert_eq!(kind(&result), case.want, "{}", case.name);
        assert!(start.elapsed() <= DEADLINE, "{} took {:?}", case.name, start.elapsed());
    }
}

#[tokio::test(start_paused = true)]
async fn a_lost_object_write_is_not_reported_as_not_done() {
    let (platform, script) = platform(&[Act::NoAnswer, Act::Reply(503, "")]);
    let result = platform.put_object("aa", "content".into()).await;
    assert_eq!(kind(&result), Kind::Unknown);
    assert!(script.sent().len() > 1, "a write under the hash of its content is retried");
}

#[tokio::test(start_paused = true)]
async fn an_open_breaker_sends_nothing() {
    let breaker = BreakerTiming { threshold: 2, ..BreakerTiming::default() };
    let script = ScriptedTransport::new(&[Act::NotSent]);
    let platform = Platform::with_transport(script.clone(), Options { breaker, ..options() });
    for _ in 0..10 {
        let result = platform.put_row("a", 0, &serde_json::json!(1)).await;
        assert_eq!(kind(&result), Kind::Unavailable);
    }
    let counts = platform.counts();
    assert!(counts.stopped >= 9, "{counts:?}");
    assert!(script.sent().len() <= 3, "{} sent", script.sent().len());
}

#[tokio::test(start_paused = true)]
async fn the_budget_spreads_calls() {
    let budget = BudgetRate { per_s: 10.0, burst: 1.0 };
    let script = ScriptedTransport::new(&[Act::Reply(404, "")]);
    let platform = Platform::with_transport(script, Options { budget, ..options() });
    let start = Instant::now();
    for _ in 0..11 {
        platform.row("a").await.unwrap();
    }
    assert!(start.elapsed() >= Duration::from_millis(999), "{:?}", start.elapsed());
}

#[tokio::test(start_paused = true)]
async fn requests_have_the_form_that_the_platform_expects() {
    struct Case {
        name: &'static str,
        path: &'static str,
        body: &'static str,
    }
    let (platform, script) = platform(&[Act::Reply(404, "")]);
    let _ = platform.row("rollout.a/b c").await;
    let _ = platform.rows("rollout.").await;
    let _ = platform.put_row("lease.x", 3, &serde_json::json!({"a": 1})).await;
    let _ = platform.object("00ff").await;
    let _ = platform.list().await;
    let cases = [
        Case { name: "row", path: "/table/rollout.a%2Fb%20c", body: "" },
        Case { name: "rows", path: "/table?prefix=rollout.", body: "" },
        Case { name: "write", path: "/table/lease.x", body: r#"{"expected":3,"value":{"a":1}}"# },
        Case { name: "object", path: "/objects/00ff", body: "" },
        Case { name: "list", path: "/list", body: "" },
    ];
    for (case, sent) in cases.iter().zip(script.sent()) {
        assert_eq!(sent.path, case.path, "{}", case.name);
        assert_eq!(sent.body, case.body, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn conflicts_return_the_current_row() {
    let (platform, _) = platform(&[Act::Reply(409, r#"{"revision":9,"value":"x"}"#)]);
    let got = platform.put_row("a", 3, &serde_json::json!(1)).await;
    let row = Row { revision: 9, value: serde_json::json!("x") };
    assert_eq!(got, Ok(Put::Conflict(row)));
}

#[tokio::test(start_paused = true)]
async fn lease_and_submission_calls_distinguish_unknown_from_unavailable() {
    struct Case {
        name: &'static str,
        act: Act,
        lease: LeaseAnswer,
        submit: SubmitAnswer,
    }
    let row = LeaseRow { holder: None, incarnation: Incarnation(3), fence: 4, length_ms: 9_000 };
    let cases = [
        Case {
            name: "stored",
            act: Act::Reply(200, r#"{"revision":8}"#),
            lease: LeaseAnswer::Stored { revision: 8 },
            submit: SubmitAnswer::Stored,
        },
        Case {
            name: "lost",
            act: Act::NoAnswer,
            lease: LeaseAnswer::Unknown,
            submit: SubmitAnswer::Unknown,
        },
        Case {
            name: "outage",
            act: Act::Reply(503, ""),
            lease: LeaseAnswer::Unavailable,
            submit: SubmitAnswer::Unavailable,
        },
        Case {
            name: "conflict with no row",
            act: Act::Reply(409, r#"{"revision":0,"value":null}"#),
            lease: LeaseAnswer::Absent,
            submit: SubmitAnswer::Conflict(None),
        },
    ];
    for case in cases {
        let key = "lease.a".to_owned();
        let call = LeaseCall::Write { key, expected: 7, row: row.clone() };
        let got = control::call_lease(&platform(&[case.act]).0, &call).await;
        assert_eq!(got, case.lease, "{}", case.name);
        let call = SubmitCall::WritePointer { expected: 7, row: Default::default() };
        let content = Default::default();
        let got = control::call_submit(&platform(&[case.act]).0, &call, &content).await;
        assert_eq!(got, case.submit, "{}", case.name);
    }
}

#[tokio::test]
async fn the_http_transport_distinguishes_not_sent_from_no_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        let mut request = [0; 64];
        let _ = socket.read(&mut request).await;
    });
    let transport = HttpTransport::new(&format!("http://{address}"), Duration::from_secs(1));
    let breaker = BreakerTiming { threshold: u32::MAX, ..BreakerTiming::default() };
    let options = Options { breaker, deadline: Duration::from_millis(400), ..options() };
    let platform = Platform::with_transport(transport, options);
    let value = serde_json::json!(1);
    assert_eq!(
        kind(&platform.put_row("a", 0, &value).await),
        Kind::Unknown,
        "connection closed without an answer"
    );
    assert_eq!(kind(&platform.put_row("a", 0, &value).await), Kind::Unavailable, "not listening");
}
