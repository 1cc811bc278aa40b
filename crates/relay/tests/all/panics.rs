//! Panics in the tasks of connections.

use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use sesamewind_relay::answer::{Answer, AnswerBody};
use sesamewind_relay::watchdog;
use tokio::task::LocalSet;

use crate::support::{Caller, END, Listener, limits, lines, record_lines};

/// Pause before each event, in which the event before it is written.
const EVENT_PAUSE: Duration = Duration::from_millis(100);

/// Where a handler panics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    Handler,
    Body,
}

async fn answer(place: Place) -> Answer {
    assert_ne!(place, Place::Handler, "panic of the test");
    let events = futures_util::stream::iter(0..2).then(async |number| {
        tokio::time::sleep(EVENT_PAUSE).await;
        assert_eq!(number, 0, "panic of the test");
        Ok(Bytes::from_static(b"data: 1\n\n"))
    });
    Answer::new(AnswerBody::Stream(events.boxed_local()))
}

/// The caller gets an answer or its connection is closed, and the panic is logged and counted.
#[tokio::test]
async fn a_panic_leaves_no_caller_waiting() {
    record_lines();
    let places =
        [(Place::Handler, "HTTP/1.1 502", "announced"), (Place::Body, "HTTP/1.1 200", "panic")];
    for (place, status, reason) in places {
        let run = async {
            let idle = limits(Duration::from_secs(10));
            let listener = Listener::start(move |_| answer(place), idle);
            watchdog::log_panics(&listener.metrics);
            let mut caller = Caller::connect(&listener).await;
            caller.send("GET / HTTP/1.1\r\nhost: h\r\n\r\n").await;
            let text = caller.read_until(END).await;
            assert!(text.starts_with(status), "{place:?}: {text}");
            assert!(!text.ends_with("0\r\n\r\n"), "{place:?}: the answer looks complete");
            let rendered = listener.metrics.render();
            assert!(rendered.contains("sesamewind_panics_total 1"), "{place:?}: {rendered}");
            let label = format!("sesamewind_connections_closed_total{{reason=\"{reason}\"}} 1");
            assert!(rendered.contains(&label), "{place:?}: {rendered}");
        };
        LocalSet::new().run_until(run).await;
        let _ = std::panic::take_hook();
    }
    let panics = lines("panic");
    assert_eq!(panics.len(), 2, "{panics:?}");
    assert!(panics.iter().all(|line| line.contains("panics.rs")), "{panics:?}");
}
