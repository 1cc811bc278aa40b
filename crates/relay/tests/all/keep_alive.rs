//! Connections that callers reuse, and requests that arrive while a connection is about to close.

use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http::Request;
use http_body_util::BodyExt;
use sesamewind_relay::answer::{Answer, AnswerBody};
use sesamewind_relay::server::{Limits, Phase};
use sesamewind_relay::watched::RequestBody;
use tokio::task::LocalSet;
use tokio::time::sleep;

use crate::support::{Caller, END, Listener, limits};

/// Idle time of most connections here; the head timeout is longer.
const IDLE: Duration = Duration::from_millis(200);

/// A request whose answer is [`DONE`].
const GET: &str = "GET /x HTTP/1.1\r\nhost: host.example\r\n\r\n";

/// End of each complete answer of [`answer`], whole or streamed.
const DONE: &str = "done";

/// End of a streamed answer.
const STREAM_END: &str = "done\r\n0\r\n\r\n";

/// Answers with [`DONE`] after the request's body has arrived; `/stream` sends it in an event after
/// several times the idle time.
async fn answer(request: Request<RequestBody>) -> Answer {
    let is_stream = request.uri().path() == "/stream";
    if request.into_body().collect().await.is_err() {
        return Answer::new(AnswerBody::Whole(Bytes::from_static(b"broken")));
    }
    if !is_stream {
        return Answer::new(AnswerBody::Whole(Bytes::from_static(DONE.as_bytes())));
    }
    let events = futures_util::stream::iter([" ", " ", " ", DONE]).then(async |event| {
        sleep(IDLE).await;
        Ok(Bytes::from_static(event.as_bytes()))
    });
    Answer::new(AnswerBody::Stream(events.boxed_local()))
}

async fn connect(limits: Limits) -> (Listener, Caller) {
    let listener = Listener::start(answer, limits);
    let caller = Caller::connect(&listener).await;
    (listener, caller)
}

/// Sends a request on a connection and checks that it is answered.
async fn call(caller: &mut Caller, name: &str) {
    caller.send(GET).await;
    let text = caller.read_until(DONE).await;
    assert!(text.starts_with("HTTP/1.1 200") && text.ends_with(DONE), "{name}: {text}");
}

/// The idle time of a connection starts when its last answer has ended.
#[tokio::test]
async fn a_stream_longer_than_the_idle_time_does_not_close_its_connection() {
    let run = async {
        let (_listener, mut caller) = connect(limits(IDLE)).await;
        caller.send(&GET.replace("/x", "/stream")).await;
        let text = caller.read_until(STREAM_END).await;
        assert!(text.ends_with(STREAM_END), "{text}");
        assert!(!text.contains("close"), "{text}");
        sleep(IDLE / 2).await;
        call(&mut caller, "after the stream").await;
    };
    LocalSet::new().run_until(run).await;
}

/// What makes a listener close idle connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    IdleTime,
    Stop,
}

/// Part of the request has arrived when the connection would be closed. The rest follows.
#[tokio::test]
async fn a_request_that_has_arrived_in_part_is_answered_despite_a_close() {
    let post = "POST /x HTTP/1.1\r\nhost: host.example\r\ncontent-length: 8\r\n\r\nthe body";
    let chunked = "POST /x HTTP/1.1\r\nhost: host.example\r\ntransfer-encoding: chunked\r\n\r\n\
                   4\r\nthe \r\n4\r\nbody\r\n0\r\n\r\n";
    struct Case {
        name: &'static str,
        request: &'static str,
        first: usize,
    }
    let cases = [
        Case { name: "one byte", request: GET, first: 1 },
        Case { name: "half of the head", request: GET, first: GET.len() / 2 },
        Case { name: "all but one byte of the head", request: GET, first: GET.len() - 1 },
        Case { name: "part of the body", request: post, first: post.len() - 4 },
        Case { name: "none of the body", request: post, first: post.len() - 8 },
        Case { name: "part of a chunk", request: chunked, first: chunked.len() - 9 },
    ];
    for cause in [Cause::IdleTime, Cause::Stop] {
        for served in [0, 1] {
            for case in &cases {
                let name = format!("{}, {cause:?}, {served} served", case.name);
                let run = async {
                    let idle = if cause == Cause::Stop { IDLE * 100 } else { IDLE };
                    let (listener, mut caller) = connect(limits(idle)).await;
                    for _ in 0..served {
                        call(&mut caller, &name).await;
                    }
                    sleep(IDLE / 2).await;
                    let (first, rest) = case.request.split_at(case.first);
                    caller.send(first).await;
                    if cause == Cause::Stop {
                        sleep(IDLE / 4).await;
                        listener.phase.send_replace(Phase::Closed);
                    }
                    sleep(IDLE).await;
                    caller.send(rest).await;
                    let text = caller.read_until(DONE).await;
                    assert!(text.starts_with("HTTP/1.1 200"), "{name}: {text}");
                    if cause == Cause::Stop {
                        assert!(text.contains("connection: close"), "{name}: {text}");
                        assert!(caller.ends_within(IDLE).await, "{name}");
                    }
                };
                LocalSet::new().run_until(run).await;
            }
        }
    }
}

/// Part of the second request comes with the first one.
#[tokio::test]
async fn a_pipelined_request_that_has_arrived_in_part_is_answered_despite_a_close() {
    for cause in [Cause::IdleTime, Cause::Stop] {
        let run = async {
            let idle = if cause == Cause::Stop { IDLE * 100 } else { IDLE };
            let (listener, mut caller) = connect(limits(idle)).await;
            let (first, rest) = GET.split_at(GET.len() / 2);
            caller.send(&format!("{GET}{first}")).await;
            let text = caller.read_until(DONE).await;
            assert!(text.ends_with(DONE), "{cause:?}: {text}");
            if cause == Cause::Stop {
                listener.phase.send_replace(Phase::Closed);
            }
            sleep(IDLE + IDLE / 2).await;
            caller.send(rest).await;
            let text = caller.read_until(DONE).await;
            assert!(text.starts_with("HTTP/1.1 200"), "{cause:?}: {text}");
        };
        LocalSet::new().run_until(run).await;
    }
}

/// A request may only start within the head timeout; its caller learns that it has not run.
#[tokio::test]
async fn a_head_that_does_not_arrive_in_time_is_answered() {
    for first in [1, GET.len() - 1] {
        for served in [0, 1] {
            let run = async {
                let (listener, mut caller) = connect(limits(IDLE * 100)).await;
                for _ in 0..served {
                    call(&mut caller, "before").await;
                }
                caller.send(&GET[..first]).await;
                let text = caller.read_until("\r\n\r\n").await;
                assert!(text.starts_with("HTTP/1.1 408"), "{first}, {served}: {text}");
                assert!(caller.ends_within(IDLE).await);
                let rendered = listener.metrics.render();
                assert!(rendered.contains("reason=\"head_timeout\"} 1"), "{rendered}");
            };
            LocalSet::new().run_until(run).await;
        }
    }
}

/// An open connection gets the benefit of a longer limit at once, and keeps the idle time that held
/// when it became idle.
#[tokio::test]
async fn changed_limits_hold_for_open_connections() {
    let long = limits(IDLE * 100);
    struct Case {
        name: &'static str,
        before: Limits,
        after: Limits,
        /// Time without a request after the change.
        wait: Duration,
        /// Length of the second request's head.
        head: usize,
        served: bool,
    }
    let large = Limits { head_bytes: 100_000, ..long };
    let cases = [
        Case {
            name: "idle longer",
            before: limits(IDLE),
            after: long,
            wait: IDLE * 3,
            head: 0,
            served: true,
        },
        Case {
            name: "idle shorter",
            before: limits(IDLE * 4),
            after: limits(IDLE / 2),
            wait: IDLE * 2,
            head: 0,
            served: true,
        },
        Case {
            name: "head larger",
            before: long,
            after: large,
            wait: IDLE / 4,
            head: 50_000,
            served: true,
        },
        Case {
            name: "head smaller",
            before: large,
            after: long,
            wait: IDLE / 4,
            head: 50_000,
            served: false,
        },
    ];
    for case in cases {
        let run = async {
            let (listener, mut caller) = connect(case.before).await;
            call(&mut caller, case.name).await;
            listener.set_limits(case.after);
            sleep(case.wait).await;
            let filler = "x".repeat(case.head);
            caller.send(&GET.replace("\r\n\r\n", &format!("\r\nfiller: {filler}\r\n\r\n"))).await;
            let text = caller.read_until(if case.served { DONE } else { "\r\n\r\n" }).await;
            let status = if case.served { "HTTP/1.1 200" } else { "HTTP/1.1 431" };
            assert!(text.starts_with(status), "{}: {text}", case.name);
        };
        LocalSet::new().run_until(run).await;
    }
}

/// The next idle time of an open connection is the shorter one.
#[tokio::test]
async fn a_shorter_idle_time_holds_after_the_next_answer() {
    let run = async {
        let (listener, mut caller) = connect(limits(IDLE * 100)).await;
        call(&mut caller, "before").await;
        listener.set_limits(limits(IDLE));
        call(&mut caller, "after").await;
        assert!(caller.ends_within(IDLE * 10).await);
    };
    LocalSet::new().run_until(run).await;
}

/// An answer before the end of the request's body says whether the connection closes.
#[tokio::test]
async fn an_early_answer_says_whether_its_connection_closes() {
    struct Case {
        name: &'static str,
        head: &'static str,
        body: &'static str,
        closes: bool,
    }
    let cases = [
        Case { name: "whole body", head: "content-length: 4", body: "body", closes: false },
        Case { name: "part of a body", head: "content-length: 9", body: "body", closes: true },
        Case {
            name: "whole chunked body",
            head: "transfer-encoding: chunked",
            body: "4\r\nbody\r\n0\r\n\r\n",
            closes: false,
        },
        Case {
            name: "part of a chunked body",
            head: "transfer-encoding: chunked",
            body: "4\r\nbody\r\n",
            closes: true,
        },
        Case {
            name: "body that waits for an invitation",
            head: "expect: 100-continue\r\ncontent-length: 4",
            body: "",
            closes: true,
        },
    ];
    for case in cases {
        let run = async {
            let early = |_| std::future::ready(Answer::new(AnswerBody::Whole(DONE.into())));
            let listener = Listener::start(early, limits(IDLE * 100));
            let mut caller = Caller::connect(&listener).await;
            let head = format!("POST /x HTTP/1.1\r\nhost: host.example\r\n{}\r\n\r\n", case.head);
            caller.send(&head).await;
            caller.send(case.body).await;
            let text = caller.read_until(DONE).await;
            assert!(text.starts_with("HTTP/1.1 200"), "{}: {text}", case.name);
            assert_eq!(text.contains("connection: close"), case.closes, "{}: {text}", case.name);
            if case.closes {
                assert!(caller.ends_within(IDLE * 10).await, "{}", case.name);
            } else {
                call(&mut caller, case.name).await;
            }
        };
        LocalSet::new().run_until(run).await;
    }
}

/// The caller sends its whole request before it reads the answer, which comes before the end.
#[tokio::test]
async fn an_early_answer_reaches_a_caller_that_is_still_sending() {
    const LENGTH: usize = 4 << 20;
    struct Case {
        name: &'static str,
        head: String,
        status: &'static str,
        /// Last bytes of the answer.
        last: &'static str,
    }
    let cases = [
        Case {
            name: "body",
            head: format!("content-length: {LENGTH}"),
            status: "HTTP/1.1 413",
            last: DONE,
        },
        Case {
            name: "head",
            head: "filler: ".to_owned(),
            status: "HTTP/1.1 431",
            last: "\r\n\r\n",
        },
    ];
    for case in cases {
        let run = async {
            let early = |_| {
                let mut answer = Answer::new(AnswerBody::Whole(DONE.into()));
                *answer.status_mut() = http::StatusCode::PAYLOAD_TOO_LARGE;
                std::future::ready(answer)
            };
            let listener = Listener::start(early, limits(IDLE * 100));
            let mut caller = Caller::connect(&listener).await;
            let end = if case.name == "body" { "\r\n\r\n" } else { "" };
            caller
                .send(&format!("POST /x HTTP/1.1\r\nhost: h.example\r\n{}{end}", case.head))
                .await;
            for _ in 0..LENGTH / 65_536 {
                caller.send(&"x".repeat(65_536)).await;
                sleep(IDLE / 100).await;
            }
            let text = caller.read_until(case.last).await;
            assert!(text.starts_with(case.status) && text.ends_with(case.last), "{text}");
            assert!(text.contains("connection: close"), "{}: {text}", case.name);
        };
        LocalSet::new().run_until(run).await;
    }
}

/// Guards against a caller that reads nothing and so keeps its connection and its answer in memory.
#[tokio::test]
async fn a_connection_whose_caller_reads_no_answer_is_closed() {
    let run = async {
        let large =
            |_| std::future::ready(Answer::new(AnswerBody::Whole(vec![b'x'; 32 << 20].into())));
        let listener = Listener::start(large, limits(IDLE));
        let mut caller = Caller::connect(&listener).await;
        caller.send(GET).await;
        sleep(IDLE * 50).await;
        let rendered = listener.metrics.render();
        assert!(rendered.contains("connections_closed_total{"), "it is still open: {rendered}");
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against a reset that destroys an answer because further requests were not read.
#[tokio::test]
async fn a_last_answer_reaches_a_caller_that_has_sent_further_requests() {
    const LENGTH: usize = 8 << 20;
    let run = async {
        let large =
            |_| std::future::ready(Answer::new(AnswerBody::Whole(vec![b'x'; LENGTH].into())));
        let listener = Listener::start(large, limits(IDLE * 100));
        let mut caller = Caller::connect(&listener).await;
        listener.phase.send_replace(Phase::Closing);
        for _ in 0..3 {
            caller.send(GET).await;
            sleep(IDLE / 4).await;
        }
        let text = caller.read_until(END).await;
        let (head, body) = text.split_once("\r\n\r\n").expect("a head");
        assert!(head.contains("connection: close"), "{head}");
        assert_eq!(body.len(), LENGTH, "{head}");
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against a request that crosses the close of its connection, since its caller can't know the idle time.
#[tokio::test]
async fn an_answer_says_how_long_its_connection_is_kept() {
    struct Case {
        name: &'static str,
        idle: Duration,
        request: String,
        phase: Phase,
        announced: Option<&'static str>,
    }
    let second = Duration::from_secs(1);
    let cases = [
        Case {
            name: "whole answer",
            idle: second * 15,
            request: GET.into(),
            phase: Phase::Serving,
            announced: Some("timeout=14"),
        },
        Case {
            name: "stream",
            idle: second * 9 / 2,
            request: GET.replace("/x", "/stream"),
            phase: Phase::Serving,
            announced: Some("timeout=3"),
        },
        Case {
            name: "time too short",
            idle: second * 3 / 2,
            request: GET.into(),
            phase: Phase::Serving,
            announced: None,
        },
        Case {
            name: "last request",
            idle: second * 15,
            request: GET.replace("host:", "connection: close\r\nhost:"),
            phase: Phase::Serving,
            announced: None,
        },
        Case {
            name: "HTTP/1.0",
            idle: second * 15,
            request: GET.replace("1.1", "1.0"),
            phase: Phase::Serving,
            announced: None,
        },
        Case {
            name: "stop",
            idle: second * 15,
            request: GET.into(),
            phase: Phase::Closing,
            announced: None,
        },
    ];
    for case in cases {
        let run = async {
            let (listener, mut caller) = connect(limits(case.idle)).await;
            listener.phase.send_replace(case.phase);
            caller.send(&case.request).await;
            let mut text = String::new();
            while !text.contains(DONE) {
                text += &caller.read_part().await;
            }
            let head = text.to_lowercase();
            let value = head.lines().find_map(|line| line.strip_prefix("keep-alive: "));
            assert_eq!(value, case.announced, "{}: {text}", case.name);
        };
        LocalSet::new().run_until(run).await;
    }
}

/// Guards against a shorter idle time that is configured after an answer has announced a longer one.
#[tokio::test]
async fn a_connection_is_kept_for_the_announced_time_despite_a_change() {
    let run = async {
        let (listener, mut caller) = connect(limits(Duration::from_secs(3))).await;
        caller.send(&GET.replace("/x", "/stream")).await;
        sleep(IDLE * 2).await;
        listener.set_limits(limits(IDLE));
        caller.read_until(STREAM_END).await;
        sleep(Duration::from_millis(1_900)).await;
        call(&mut caller, "within the announced time").await;
        assert!(caller.ends_within(IDLE * 5).await, "the next idle time is the shorter one");
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against closing a connection without notice after an answer that says it is kept.
#[tokio::test]
async fn a_connection_that_an_answer_keeps_lasts_for_the_idle_time() {
    for request in [
        "GET /a HTTP/1.1\r\nhost: h\r\n\r\n",
        "GET /a HTTP/1.0\r\nhost: h\r\nconnection: keep-alive\r\n\r\n",
    ] {
        let run = async {
            let whole = |_| {
                let body = AnswerBody::Whole(Bytes::from_static(b"done"));
                std::future::ready(Answer::new(body))
            };
            // The head timeout is 500 ms.
            let listener = Listener::start(whole, limits(Duration::from_secs(5)));
            let mut caller = Caller::connect(&listener).await;
            caller.send(request).await;
            let first = caller.read_until("done").await.to_ascii_lowercase();
            if !first.contains("http/1.1") && !first.contains("connection: keep-alive") {
                return;
            }
            sleep(Duration::from_millis(900)).await;
            caller.send(request).await;
            let second = caller.read_until("done").await;
            assert!(second.ends_with("done"), "{request:?}: {first:?}, then {second:?}");
        };
        LocalSet::new().run_until(run).await;
    }
}
