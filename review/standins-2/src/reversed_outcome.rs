//! All processes end while the store comes back from a copy that is older than the outcome of a rollout.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::common::{Outcome, Run, account, configuration, route, start_gateways, wait_until};
use crate::http;
use crate::rollouts::{Operator, Traffic, order, start_engines, stop_engines};
use crate::store::Store;

/// Duration of the rollout in seconds, as on the site.
const DURATION: f64 = 16.0;

/// Age of the copy when the store comes back from it.
const COPY_AGE: Duration = Duration::from_millis(4_000);

/// Time from the outcome to the final fault, and for which processes and store are down.
const FAULT_AFTER: Duration = Duration::from_millis(700);
const DOWN_TIME: Duration = Duration::from_millis(850);

/// Time after which the operator and the engines have written again what the store has lost.
const REWRITE_TIME: Duration = Duration::from_millis(200);

/// Bounds of `derwent-hands`.
const RECOVERY: Duration = Duration::from_secs(12);

/// Time for which requests are judged, and the interval between them at one instance.
const JUDGED_TIME: Duration = Duration::from_secs(10);
const INTERVAL: Duration = Duration::from_millis(100);

/// Sends requests to all instances for `span`; returns how many were sent, and served.
fn count_served(run: &Run, fronts: &[SocketAddr], name: &str, span: Duration) -> (usize, usize) {
    let (mut next, mut calls) = (Instant::now(), Vec::new());
    let end = next + span;
    while Instant::now() < end {
        for &front in fronts {
            let id = format!("{name}-{}", calls.len());
            calls.push(thread::spawn(move || {
                let headers = [
                    ("Request-Id", id.as_str()),
                    ("Authorization", "Token key"),
                    ("Deadline-Ms", "1500"),
                ];
                let answer = http::get(front, "/read/x", &headers);
                (id, answer)
            }));
        }
        next += INTERVAL;
        wait_until(next);
    }
    let sent = calls.len();
    let answers = calls.into_iter().filter_map(|call| call.join().ok());
    let served = answers.filter(|(id, answer)| {
        run.note_at(answer.sent, &format!("request {id}: answer {}", answer.text()));
        answer.status == Some(200)
    });
    (sent, served.count())
}

pub fn run(run: &Run) -> Outcome {
    let store = Store::start();
    let accounts = vec![account("tenant", "key", 0.0, 0.0)];
    store.put("op", "config", &configuration(10, vec![route("read")], accounts));
    let mut old = Some(start_engines(&store, "v1", "v1"));
    let Some(mut gateways) = start_gateways(run, store.address) else { return Outcome::NotRun };
    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.front).collect();
    let traffic = Traffic::start(&gateways);
    thread::sleep(Duration::from_secs(4));

    let mut operator = Operator::new(run, &store);
    let _new = start_engines(&store, "v2", "v2");
    order(run, &store, "v2", DURATION);
    let deadline = Instant::now() + Duration::from_secs_f64(DURATION);
    // The store is copied each 0.1 s, so that there is a copy of the age that is wanted.
    let mut copies = Vec::new();
    while !operator.is_at("v2", "succeeded") {
        if Instant::now() >= deadline {
            run.note("the rollout did not succeed");
            return Outcome::NotRun;
        }
        copies.push((Instant::now(), store.copy()));
        operator.wait_for("v2", "succeeded", Instant::now() + Duration::from_millis(100));
    }
    let ended = Instant::now();
    let first = old.take().unwrap_or_default();
    first.iter().for_each(|engine| engine.stop(&store));
    run.note("the engines of v1 stop");
    wait_until(ended + FAULT_AFTER);
    drop(traffic);
    let (sent_before, before) = count_served(run, &fronts, "before", Duration::from_secs(1));

    gateways.iter_mut().for_each(|gateway| gateway.kill());
    run.note("all processes are killed");
    if run.trouble {
        store.go_away();
        run.note("the store is away");
    }
    thread::sleep(DOWN_TIME);
    if run.trouble {
        let wanted = Instant::now() - COPY_AGE;
        let old_enough = copies.into_iter().filter(|(at, _)| *at <= wanted);
        let Some((at, copy)) = old_enough.last() else { return Outcome::NotRun };
        store.come_back(copy);
        let age = at.elapsed().as_secs_f64();
        run.note(&format!("the store comes back from a copy that is {age:.1} s old"));
        operator.look();
        thread::sleep(REWRITE_TIME);
        // All else that the operator and the engines wrote is older than the copy.
        stop_engines(Some(first), &store);
        run.note("the entries of the engines of v1 are removed again");
    }
    gateways.iter_mut().for_each(|gateway| gateway.restart(run));
    let back = Instant::now();
    run.note("all processes are started again");
    while Instant::now() < back + RECOVERY {
        operator.look();
        thread::sleep(Duration::from_millis(20));
    }
    let (sent, served) = count_served(run, &fronts, "after", JUDGED_TIME);
    operator.look();
    run.note(&format!(
        "before the fault {before} of {sent_before} requests were served; of those sent later than \
         recoveryS after the processes are back {served} of {sent}"
    ));
    if 4 * before < sent_before {
        Outcome::NotRun
    } else if 4 * served < sent {
        run.note("RECOVER");
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
