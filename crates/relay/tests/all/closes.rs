//! Why connections end.

use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http::Request;
use sesamewind_relay::answer::{Answer, AnswerAborted, AnswerBody};
use sesamewind_relay::server::Phase;
use sesamewind_relay::watched::RequestBody;
use tokio::task::LocalSet;
use tokio::time::sleep;

use crate::support::{Caller, END, Listener, limits, lines, record_lines};

/// Pause in which what was sent is read.
const PAUSE: Duration = Duration::from_millis(100);

/// Answers never, or with a stream that breaks off after one event. The request's path is its
/// identity in the log.
async fn break_off(request: Request<RequestBody>) -> Answer {
    let path = request.uri().path();
    request.body().activity().identify(path);
    if path.contains("hang") {
        std::future::pending::<()>().await;
    }
    let events = [Ok(Bytes::from_static(b"data: 1\n\n")), Err(AnswerAborted)];
    let events = futures_util::stream::iter(events).then(async |event| {
        sleep(PAUSE).await;
        event
    });
    Answer::new(AnswerBody::Stream(events.boxed_local()))
}

/// The counter tells the ends of connections apart.
#[tokio::test]
async fn ends_of_connections_are_counted_by_reason() {
    struct Case {
        reason: &'static str,
        idle: Duration,
        sent: &'static str,
        phase: Phase,
    }
    const LONG: Duration = Duration::from_secs(60);
    const SHORT: Duration = Duration::from_millis(200);
    let cases = [
        Case { reason: "idle", idle: SHORT, sent: "", phase: Phase::Serving },
        Case { reason: "stop", idle: LONG, sent: "", phase: Phase::Closed },
        Case { reason: "head_timeout", idle: SHORT, sent: "GET / HT", phase: Phase::Serving },
        Case { reason: "malformed", idle: LONG, sent: "\0\r\n\r\n", phase: Phase::Serving },
        Case {
            reason: "announced",
            idle: LONG,
            sent: "GET / HTTP/1.1\r\nhost: h\r\n\r\n",
            phase: Phase::Closing,
        },
        Case {
            reason: "caller",
            idle: LONG,
            sent: "GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n",
            phase: Phase::Serving,
        },
    ];
    for case in cases {
        let run = async {
            let idle = limits(case.idle);
            let answer = || Answer::new(AnswerBody::Whole(Bytes::from_static(b"done")));
            let listener = Listener::start(move |_| std::future::ready(answer()), idle);
            let mut caller = Caller::connect(&listener).await;
            listener.phase.send_replace(case.phase);
            caller.send(case.sent).await;
            caller.read_until(END).await;
            tokio::task::yield_now().await;
            let rendered = listener.metrics.render();
            let reason = case.reason;
            let label = format!("sesamewind_connections_closed_total{{reason=\"{reason}\"}} 1");
            assert!(rendered.contains(&label), "{reason}: {rendered}");
        };
        LocalSet::new().run_until(run).await;
    }
}

/// The line of a connection tells its request, which side ended it, and what was read and written.
#[tokio::test]
async fn the_end_of_a_connection_is_logged_with_its_side_and_bytes() {
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    enum Leave {
        Close,
        ShutDown,
        Reset,
        Stay,
    }
    struct Case {
        path: &'static str,
        leave: Leave,
        /// Bytes that the caller sends after its request.
        more: &'static str,
        reason: &'static str,
        side: &'static str,
        unread: usize,
        is_answered: bool,
    }
    let cases = [
        Case {
            path: "/hang-close",
            leave: Leave::Close,
            more: "",
            reason: "incomplete",
            side: "ended",
            unread: 0,
            is_answered: false,
        },
        Case {
            path: "/hang-shutdown",
            leave: Leave::ShutDown,
            more: "",
            reason: "incomplete",
            side: "ended",
            unread: 0,
            is_answered: false,
        },
        Case {
            path: "/hang-reset",
            leave: Leave::Reset,
            more: "",
            reason: "error",
            side: "reset",
            unread: 0,
            is_answered: false,
        },
        Case {
            path: "/abort",
            leave: Leave::Stay,
            more: "",
            reason: "aborted",
            side: "open",
            unread: 0,
            is_answered: true,
        },
        Case {
            path: "/abort-unread",
            leave: Leave::Stay,
            more: "GET",
            reason: "aborted",
            side: "open",
            unread: 3,
            is_answered: true,
        },
        Case {
            path: "/abort-shutdown",
            leave: Leave::ShutDown,
            more: "GET",
            reason: "aborted",
            side: "ended",
            unread: 3,
            is_answered: true,
        },
    ];
    record_lines();
    for case in cases {
        let run = async {
            let listener = Listener::start(break_off, limits(PAUSE * 100));
            let mut caller = Caller::connect(&listener).await;
            caller.send(&format!("GET {} HTTP/1.1\r\nhost: h\r\n\r\n", case.path)).await;
            sleep(PAUSE / 2).await;
            caller.send(case.more).await;
            match case.leave {
                Leave::Close => drop(caller),
                Leave::ShutDown => caller.shut_down().await,
                Leave::Reset => caller.reset(),
                Leave::Stay => {}
            }
            sleep(PAUSE * 3).await;
        };
        LocalSet::new().run_until(run).await;
        let wanted = format!("last_request={} ", case.path);
        let lines = lines("connection_closed");
        let line = lines.iter().find(|line| line.contains(&wanted)).expect(case.path);
        let fields = [
            format!("reason={} ", case.reason),
            format!("caller_side={} ", case.side),
            format!("unread={} ", case.unread),
            "usage=request ".to_owned(),
        ];
        assert!(fields.iter().all(|field| line.contains(field)), "{}: {line}", case.path);
        assert_eq!(!line.contains("written=0 "), case.is_answered, "{}: {line}", case.path);
    }
}
