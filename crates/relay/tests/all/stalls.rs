//! Times in which the event loop did not run.

use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use http::{HeaderMap, request, response};
use sesamewind_gateway::gateway::Identity;
use sesamewind_gateway::table::Rejection;
use sesamewind_gateway::{AttemptOutcome, Gateway, Refusal, Tuning};
use sesamewind_protocol::Incarnation;
use sesamewind_relay::answer::Answer;
use sesamewind_relay::driver::Driver;
use sesamewind_relay::passing::PeerLink;
use sesamewind_relay::silence::{Silence, Wait};
use sesamewind_relay::wire_format::{
    AnswerClass, CallerHead, ForwardHead, RequestError, TargetNotice, WireFormat,
};
use sesamewind_runtime::clock::Clock;
use sesamewind_settings::Secret;
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{interval, sleep};

/// A wire format for tests without requests.
#[derive(Debug)]
struct NoFormat;

impl WireFormat for NoFormat {
    fn read_caller(&self, _: &request::Parts) -> Result<CallerHead, RequestError> {
        unreachable!()
    }

    fn target_headers(&self, _: &request::Parts, _: &ForwardHead<'_>) -> HeaderMap {
        unreachable!()
    }

    fn classify_answer(&self, _: &response::Parts, _: &str) -> AnswerClass {
        unreachable!()
    }

    fn target_notice(&self, _: &response::Parts, _: &str) -> TargetNotice {
        unreachable!()
    }

    fn probe_path(&self) -> &'static str {
        unreachable!()
    }

    fn keep_alive(&self, _: &response::Parts) -> Option<Duration> {
        unreachable!()
    }

    fn answer_headers(&self, _: HeaderMap) -> HeaderMap {
        unreachable!()
    }

    fn refused(&self, _: &Refusal) -> Answer {
        unreachable!()
    }

    fn rejected(&self, _: Rejection) -> Answer {
        unreachable!()
    }

    fn malformed(&self, _: RequestError) -> Answer {
        unreachable!()
    }

    fn too_large(&self) -> Answer {
        unreachable!()
    }

    fn failed(&self, _: AttemptOutcome) -> Answer {
        unreachable!()
    }
}

/// Starts a driver whose event loop is observed all the time.
fn driver() -> Rc<Driver> {
    let me = Identity {
        instance: "i1".into(),
        incarnation: Incarnation(1),
        zone: "z1".into(),
        address: "127.0.0.1:7600".into(),
    };
    let gateway = Gateway::new(me, Tuning::default(), 7);
    let peer_link = PeerLink::new(Secret::new("token"));
    let driver = Rc::new(Driver::new(gateway, Clock::start(), Rc::new(NoFormat), peer_link));
    let observed = Rc::clone(&driver);
    spawn_local(async move {
        let mut tick = interval(Duration::from_millis(20));
        loop {
            tick.tick().await;
            observed.observe_turn(Instant::now().into());
        }
    });
    driver
}

/// Returns a message that another thread sends after `delay`, and that passes through several tasks
/// as one from a socket does; it never comes without a delay.
async fn message(delay: Option<Duration>) {
    let (sender, mut receiver) = oneshot::channel();
    let Some(delay) = delay else { return std::future::pending().await };
    thread::spawn(move || {
        thread::sleep(delay);
        let _ = sender.send(());
    });
    for _ in 0..5 {
        let (sender, next) = oneshot::channel();
        let received = std::mem::replace(&mut receiver, next);
        spawn_local(async move {
            if received.await.is_ok() {
                let _ = sender.send(());
            }
        });
    }
    receiver.await.expect("the message is passed on");
}

/// Guards against taking a peer for lost since its answer arrived during a stall of this instance.
#[tokio::test]
async fn a_timeout_counts_the_time_that_the_event_loop_runs() {
    struct Case {
        name: &'static str,
        stall: Option<(u64, u64)>,
        delay: Option<u64>,
        in_time: bool,
        /// Fewest milliseconds that the wait takes.
        least: u64,
    }
    const LIMIT: u64 = 300;
    let cases = [
        Case { name: "in time", stall: None, delay: Some(200), in_time: true, least: 200 },
        Case { name: "too late", stall: None, delay: Some(1_000), in_time: false, least: 300 },
        Case {
            name: "arrives in a stall",
            stall: Some((100, 600)),
            delay: Some(400),
            in_time: true,
            least: 600,
        },
        Case {
            name: "arrives after a stall",
            stall: Some((100, 600)),
            delay: Some(700),
            in_time: true,
            least: 700,
        },
        Case {
            name: "never arrives",
            stall: Some((100, 600)),
            delay: None,
            in_time: false,
            least: 780,
        },
    ];
    for Case { name, stall, delay, in_time, least } in cases {
        let run = async {
            let driver = driver();
            if let Some((start, end)) = stall {
                spawn_local(async move {
                    sleep(Duration::from_millis(start)).await;
                    thread::sleep(Duration::from_millis(end - start));
                });
            }
            let start = Instant::now();
            let work = message(delay.map(Duration::from_millis));
            let done = driver.timeout(Duration::from_millis(LIMIT), work).await;
            assert_eq!(done.is_ok(), in_time, "{name}");
            let took = start.elapsed();
            assert!(took >= Duration::from_millis(least), "{name}: {took:?}");
        };
        LocalSet::new().run_until(run).await;
    }
}

/// Guards against never asking about a silent target since stalls come one after the other, and
/// against asking before data that has arrived during a stall can have been read.
#[test]
fn silence_is_counted_while_the_event_loop_runs() {
    struct Case {
        name: &'static str,
        /// Milliseconds that the event loop runs before each stall, and those of the stall.
        run: u64,
        stall: u64,
        /// Milliseconds for which it has run when the gateway is asked.
        asked: u64,
        /// Milliseconds since the last stall at that time.
        since: u64,
    }
    const TIMEOUT: Duration = Duration::from_millis(1_000);
    let cases = [
        Case { name: "no stall", run: 9_000, stall: 0, asked: 1_000, since: 1_000 },
        Case { name: "early", run: 600, stall: 2_000, asked: 1_000, since: 400 },
        Case { name: "late", run: 900, stall: 1_200, asked: 1_150, since: 250 },
        Case { name: "every 250 ms", run: 100, stall: 150, asked: 1_500, since: 0 },
        Case { name: "most of the time", run: 40, stall: 210, asked: 1_500, since: 20 },
    ];
    for Case { name, run, stall, asked, since } in cases {
        let is_stalled = |now: u64| now % (run + stall) >= run;
        let mut silence = Silence::default();
        let (mut now, mut ran, mut since_stall) = (0, 0, 0);
        while let Some(left) = silence.time_left(Some(TIMEOUT)).filter(|left| !left.is_zero()) {
            let end = now + left.as_millis() as u64;
            let (before, mut has_stalled) = (ran, false);
            while now < end || is_stalled(now) {
                if is_stalled(now) {
                    (has_stalled, since_stall) = (true, 0);
                } else {
                    (ran, since_stall) = (ran + 1, since_stall + 1);
                }
                now += 1;
                assert!(now < 60_000, "{name}: the gateway is never asked");
            }
            let wait = Wait {
                ran: Duration::from_millis(ran - before),
                since_stall: has_stalled.then_some(Duration::from_millis(since_stall)),
            };
            silence.add(Some(TIMEOUT), wait);
        }
        assert_eq!((ran, since_stall), (asked, since), "{name}");
    }
}
