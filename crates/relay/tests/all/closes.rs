//! Why connections end.

use std::time::Duration;

use bytes::Bytes;
use sesamewind_relay::answer::{Answer, AnswerBody};
use sesamewind_relay::server::Phase;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::timeout;

use crate::support::{Listener, limits};

/// Time limit of each wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time in which a connection is accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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
            let listener = Listener::start(move |_| std::future::ready(answer()), move || idle);
            let mut stream = TcpStream::connect(listener.addr).await.expect("it accepts");
            tokio::time::sleep(ACCEPT_PAUSE).await;
            listener.phase.send_replace(case.phase);
            stream.write_all(case.sent.as_bytes()).await.expect("the bytes are sent");
            let read = timeout(WAIT_TIMEOUT, stream.read_to_end(&mut Vec::new())).await;
            read.unwrap_or_else(|_| panic!("{} does not end", case.reason)).expect("no reset");
            tokio::task::yield_now().await;
            let rendered = listener.metrics.render();
            let reason = case.reason;
            let label = format!("sesamewind_connections_closed_total{{reason=\"{reason}\"}} 1");
            assert!(rendered.contains(&label), "{reason}: {rendered}");
        };
        LocalSet::new().run_until(run).await;
    }
}
