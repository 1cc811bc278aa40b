//! Ways in which callers send requests, each beside changed limits.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use http::Request;
use http_body_util::BodyExt;
use sesamewind_relay::answer::{Answer, AnswerBody};
use sesamewind_relay::server::Limits;
use sesamewind_relay::watched::RequestBody;
use tokio::task::LocalSet;
use tokio::time::sleep;

use crate::support::{Caller, END, Listener, limits};

/// Time that a handler takes.
const WORK: Duration = Duration::from_millis(60);

const GET: &str = "GET /x HTTP/1.1\r\nhost: host.example\r\n\r\n";

/// Answers with the request's body after it has arrived.
async fn echo(request: Request<RequestBody>) -> Answer {
    let body = request.into_body().collect().await;
    sleep(WORK).await;
    let text = body.map_or(Bytes::from_static(b"broken"), http_body_util::Collected::to_bytes);
    let text = if text.is_empty() { Bytes::from_static(b"none") } else { text };
    Answer::new(AnswerBody::Whole(text))
}

/// Limits that a new configuration may bring.
fn changes() -> [(&'static str, Limits); 4] {
    let before = limits(WORK * 100);
    [
        ("none", before),
        ("larger heads", Limits { head_bytes: 65_536, ..before }),
        ("smaller heads", Limits { head_bytes: 1_024, ..before }),
        ("shorter times", Limits { idle_timeout: WORK * 4, head_timeout: WORK * 4, ..before }),
    ]
}

struct Case {
    name: &'static str,
    /// Parts of the requests, with a pause before each but the first.
    parts: Vec<String>,
    /// Bodies of the answers, in order.
    answers: Vec<&'static str>,
    closes: bool,
}

impl Case {
    /// Sends the requests and checks the answers.
    async fn run(&self, caller: &mut Caller, name: &str) {
        for (number, part) in self.parts.iter().enumerate() {
            if number > 0 {
                sleep(WORK * 2 / 3).await;
            }
            caller.send(part).await;
        }
        let mut text = String::new();
        for answer in &self.answers {
            let end = format!("\r\n\r\n{answer}");
            while !text.contains(&end) {
                text += &caller.read_until(answer).await;
            }
            let (_, after) = text.split_once(&end).expect("it contains the end");
            text = after.to_owned();
        }
        assert!(text.is_empty(), "{name}: {text}");
        if self.closes {
            assert!(caller.ends_within(WORK * 10).await, "{name}");
        } else {
            caller.send(GET).await;
            let text = caller.read_until("none").await;
            assert!(text.starts_with("HTTP/1.1 200"), "{name}: {text}");
        }
    }
}

/// No request or answer is lost on a connection whose limits change at any moment.
#[tokio::test]
async fn each_whole_request_is_answered_beside_a_change_of_limits() {
    let post = |fields: &str, body: &str| {
        format!("POST /x HTTP/1.1\r\nhost: host.example\r\n{fields}\r\n\r\n{body}")
    };
    let (first, rest) = GET.split_at(GET.len() / 2);
    let chunks = "4\r\nthe \r\n4\r\nbody\r\n0\r\n\r\n";
    let cases = [
        Case { name: "one", parts: vec![GET.into()], answers: vec!["none"], closes: false },
        Case {
            name: "three pipelined",
            parts: vec![GET.repeat(3)],
            answers: vec!["none"; 3],
            closes: false,
        },
        Case {
            name: "part of the next head with a request",
            parts: vec![format!("{GET}{first}"), rest.into()],
            answers: vec!["none"; 2],
            closes: false,
        },
        Case {
            name: "part of the next head within the answer",
            parts: vec![GET.into(), first.into(), rest.into()],
            answers: vec!["none"; 2],
            closes: false,
        },
        Case {
            name: "body with length, in parts",
            parts: vec![post("content-length: 8", "the "), "body".into()],
            answers: vec!["the body"],
            closes: false,
        },
        Case {
            name: "chunks, and the next request with the last one",
            parts: vec![post("transfer-encoding: chunked", ""), format!("{chunks}{GET}")],
            answers: vec!["the body", "none"],
            closes: false,
        },
        Case {
            name: "invited body",
            parts: vec![post("expect: 100-continue\r\ncontent-length: 8", ""), "the body".into()],
            answers: vec!["the body"],
            closes: false,
        },
        Case {
            name: "body that does not wait for its invitation",
            parts: vec![post("expect: 100-continue\r\ncontent-length: 8", "the body")],
            answers: vec!["the body"],
            closes: false,
        },
        Case {
            name: "last request",
            parts: vec![GET.replace("host:", "connection: close\r\nhost:")],
            answers: vec!["none"],
            closes: true,
        },
        Case {
            name: "last request after another",
            parts: vec![GET.to_owned() + &post("connection: close\r\ncontent-length: 1", "1")],
            answers: vec!["none", "1"],
            closes: true,
        },
        Case {
            name: "HTTP/1.0",
            parts: vec![GET.replace("1.1", "1.0")],
            answers: vec!["none"],
            closes: true,
        },
        Case {
            name: "HTTP/1.0, body, and wish to keep the connection",
            parts: vec![
                post("connection: keep-alive\r\ncontent-length: 8", "the body")
                    .replace("1.1", "1.0"),
            ],
            answers: vec!["the body"],
            closes: true,
        },
    ];
    let mut exchanges = Vec::new();
    for case in &cases {
        for (change, changed) in changes() {
            // Before the request, within it, and after its answer.
            for moment in [0, 1, 3, 5] {
                let name = format!("{}, {change} at {moment}", case.name);
                exchanges.push(async move {
                    let listener = Listener::start(echo, limits(WORK * 100));
                    let mut caller = Caller::connect(&listener).await;
                    let change = async {
                        sleep(WORK / 2 * moment).await;
                        listener.set_limits(changed);
                    };
                    tokio::join!(change, case.run(&mut caller, &name));
                });
            }
        }
    }
    LocalSet::new().run_until(join_all(exchanges)).await;
}

/// An answer of which a part waits for its caller is written to its end.
#[tokio::test]
async fn a_change_of_limits_leaves_an_answer_that_is_being_written() {
    const LENGTH: usize = 8 << 20;
    for (change, changed) in changes() {
        let run = async {
            let large =
                |_| std::future::ready(Answer::new(AnswerBody::Whole(vec![b'x'; LENGTH].into())));
            let listener = Listener::start(large, limits(WORK * 100));
            let mut caller = Caller::connect(&listener).await;
            for _ in 0..2 {
                caller.send(GET).await;
                sleep(WORK).await;
                listener.set_limits(changed);
                sleep(WORK).await;
                let head = caller.read_answer(LENGTH).await;
                assert!(head.starts_with("HTTP/1.1 200"), "{change}: {head}");
                listener.set_limits(limits(WORK * 100));
            }
        };
        LocalSet::new().run_until(run).await;
    }
}

/// A socket can't tell a caller that ends its sending side from one that closes its connection.
#[tokio::test]
async fn a_caller_that_ends_its_sending_side_is_taken_to_have_left() {
    for pause in [Duration::ZERO, WORK / 2] {
        let run = async {
            let listener = Listener::start(echo, limits(WORK * 100));
            let mut caller = Caller::connect(&listener).await;
            caller.send(GET).await;
            sleep(pause).await;
            caller.shut_down().await;
            assert_eq!(caller.read_until(END).await, "", "{pause:?}");
            let rendered = listener.metrics.render();
            assert!(rendered.contains("reason=\"incomplete\"} 1"), "{pause:?}: {rendered}");
        };
        LocalSet::new().run_until(run).await;
    }
}
