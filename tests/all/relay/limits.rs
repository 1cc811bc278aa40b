//! Targets that state how many requests a second they take from all instances together.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sesamewind_adapter::names;
use sesamewind_standins::relay::{Behaviour, Received, RelayTarget, TargetOptions};
use tokio::time::sleep;

use super::testbed::{Gateway, Testbed, tally, until};

/// Time from a target's first statement of a limit until the bound holds.
const CONTACT: Duration = Duration::from_secs(3);

/// Time after an instance has passed on a statement from which its requests count.
const TOLD: Duration = Duration::from_millis(500);

/// Time over which requests at a target are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests allowed within the window: this factor times what the limit allows, and so many more.
const BOUND: (f64, f64) = (1.5, 5.0);

/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(40);

/// Number of callers at each gateway.
const CALLERS: usize = 2;

/// When each request was answered, and the gateway that it was sent to.
type Answered = Arc<Mutex<HashMap<String, (usize, Instant)>>>;

/// A testbed with further gateways.
struct Fleet {
    testbed: Arc<Testbed>,
    gateways: Arc<Vec<Gateway>>,
    answered: Answered,
}

impl Fleet {
    async fn start(gateways: usize, targets: usize) -> Self {
        let testbed = Testbed::start_with(targets, 0, TargetOptions::default()).await;
        let start = |number| Gateway::start(&format!("h{number}"), testbed.store.addr());
        let gateways: Vec<Gateway> = (0..gateways).map(start).collect();
        for gateway in &gateways {
            gateway.wait_ready().await;
        }
        Self {
            testbed: Arc::new(testbed),
            gateways: Arc::new(gateways),
            answered: Answered::default(),
        }
    }

    /// Sends requests through all gateways for a while. Returns how many were served and refused.
    async fn send_for(&self, length: Duration) -> (usize, usize) {
        let end = Instant::now() + length;
        let mut tasks = Vec::new();
        for number in 0..self.gateways.len() * CALLERS {
            let (testbed, gateways) = (Arc::clone(&self.testbed), Arc::clone(&self.gateways));
            let answered = Arc::clone(&self.answered);
            tasks.push(tokio::spawn(async move {
                let gateway = number / CALLERS;
                let (mut served, mut refused) = (0, 0);
                while Instant::now() < end {
                    let (id, request) = testbed.request_to(&gateways[gateway], "/talk/x");
                    let answer = request.send().await.expect("the gateway answers");
                    match answer.status().as_u16() {
                        200 => served += 1,
                        503 => refused += 1,
                        // The target's own failure.
                        500 => {}
                        other => panic!("status {other}"),
                    }
                    answer.text().await.expect("the answer is whole");
                    let ended = (gateway, Instant::now());
                    answered.lock().expect("no panic").insert(id, ended);
                    sleep(PAUSE).await;
                }
                (served, refused)
            }));
        }
        tally(tasks).await
    }

    /// Returns the target that has got most requests, which gateways go on to use.
    fn busiest(&self) -> &RelayTarget {
        let targets = self.testbed.models.iter();
        targets.max_by_key(|target| target.received().len()).expect("there are targets")
    }

    /// Returns when each gateway was told of the limit by `target`.
    fn told(&self, target: &RelayTarget) -> HashMap<usize, Instant> {
        let answered = self.answered.lock().expect("no panic");
        let mut told = HashMap::new();
        for received in target.received().iter().filter(|one| one.limit.is_some()) {
            let Some((gateway, at)) = answered.get(received.header(names::REQUEST_ID)) else {
                continue;
            };
            let first = told.entry(*gateway).or_insert(*at);
            *first = (*first).min(*at);
        }
        told
    }

    /// Returns the most requests that `target` got within the window from gateways that it had told.
    fn most(&self, target: &RelayTarget) -> usize {
        let told = self.told(target);
        let answered = self.answered.lock().expect("no panic");
        let received = target.received();
        let named = received.iter().find(|one| one.limit.is_some()).map(|one| one.at);
        let named = named.expect("the target has stated a limit");
        let counts = |one: &Received| {
            let gateway = answered.get(one.header(names::REQUEST_ID)).map(|(gateway, _)| gateway);
            let told = gateway.and_then(|gateway| told.get(gateway));
            told.is_some_and(|told| *told + TOLD <= one.at)
        };
        let counted: Vec<Instant> =
            received.iter().filter(|one| counts(one)).map(|one| one.at).collect();
        let ends = counted.iter().filter(|end| **end >= named + CONTACT);
        let within =
            |end: &Instant| counted.iter().filter(|at| *at <= end && *end - **at < WINDOW).count();
        ends.map(within).max().unwrap_or(0)
    }
}

fn allowed(rate: f64) -> usize {
    (BOUND.0 * rate * WINDOW.as_secs_f64() + BOUND.1) as usize
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_gets_no_more_requests_of_all_instances_than_it_names() {
    struct Case {
        name: &'static str,
        rate: f64,
        /// How the target handles some requests.
        behaviours: &'static [Behaviour],
    }
    let cases = [
        Case { name: "streams", rate: 2.3, behaviours: &[] },
        Case {
            name: "failures and refusals",
            rate: 3.0,
            behaviours: &[Behaviour::Fail, Behaviour::Decline, Behaviour::BreakOff(2)],
        },
    ];
    for case in cases {
        let fleet = Fleet::start(3, 3).await;
        fleet.send_for(Duration::from_secs(1)).await;
        let target = fleet.busiest();
        target.set_limit(Some(case.rate));
        target.script().extend(case.behaviours);
        fleet.send_for(Duration::from_secs(9)).await;
        let most = fleet.most(target);
        assert!(most <= allowed(case.rate), "{}: {most} of {}", case.name, allowed(case.rate));
        assert!(most > 0, "{}: the target is still used", case.name);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_is_used_as_before_after_its_limit_has_ended() {
    let fleet = Fleet::start(3, 2).await;
    fleet.send_for(Duration::from_secs(1)).await;
    let target = fleet.busiest();
    target.set_limit(Some(2.0));
    fleet.send_for(Duration::from_secs(4)).await;
    target.set_limit(None);
    fleet.send_for(Duration::from_secs(4)).await;
    let before = target.received().len();
    fleet.send_for(Duration::from_secs(2)).await;
    let got = target.received().len() - before;
    assert!(got > 20, "{got} requests in 2 s");
    until("every instance has logged the end", async || {
        fleet.gateways.iter().all(|gateway| gateway.log_text().contains("limit_ended"))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn while_all_targets_are_limited_requests_beyond_that_are_refused_and_logged() {
    let fleet = Fleet::start(2, 2).await;
    fleet.testbed.models.iter().for_each(|target| target.set_limit(Some(2.0)));
    fleet.send_for(Duration::from_secs(5)).await;
    let before = fleet.testbed.models.iter().map(|target| target.received().len()).sum::<usize>();
    let (served, refused) = fleet.send_for(Duration::from_secs(6)).await;
    let after = fleet.testbed.models.iter().map(|target| target.received().len()).sum::<usize>();
    assert_eq!(after - before, served, "a refused request has not run");
    // 4 a second, of which an instance without callers leaves a third unused.
    assert!((12..=24).contains(&served), "{served} in 6 s");
    assert!(refused > 5 * served, "{refused}");
    for gateway in fleet.gateways.iter() {
        let lines = gateway.log_lines();
        let held_off = lines.iter().find(|line| line["event"] == "held_off").expect("a line");
        assert_eq!((&held_off["targets"], &held_off["rate"]), (&2.into(), &4.0.into()));
        let refused = lines.iter().find(|line| line["cause"] == "limited").expect("a line");
        assert!(refused["retry_after_ms"].as_u64() >= Some(500), "{refused}");
        let metrics = reqwest::get(format!("http://{}/metrics", gateway.inner)).await;
        let metrics = metrics.expect("an answer").text().await.expect("text");
        assert!(metrics.contains("sesamewind_limited_targets 2"), "{metrics}");
    }
}
