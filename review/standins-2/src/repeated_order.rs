//! A version whose engines failed while it was rolled out is ordered again once they are sound.

use std::thread;
use std::time::{Duration, Instant};

use crate::common::{Outcome, Run, account, configuration, route, start_gateways};
use crate::rollouts::{Operator, Traffic, order, start_engines, stop_engines};
use crate::store::Store;

/// Durations of the two orders in seconds.
const FIRST_DURATION: f64 = 8.0;
const SECOND_DURATION: f64 = 8.0;

/// Time from the end of the first rollout until its new engines drain, and until the second order.
const DRAIN_AFTER: Duration = Duration::from_millis(3_400);
const PAUSE: Duration = Duration::from_millis(6_000);

pub fn run(run: &Run) -> Outcome {
    let store = Store::start();
    let accounts = vec![account("tenant", "key", 0.0, 0.0)];
    store.put("op", "config", &configuration(10, vec![route("read")], accounts));
    let mut old = Some(start_engines(&store, "v1", "v1"));
    let Some(gateways) = start_gateways(run, store.address) else { return Outcome::NotRun };
    let _traffic = Traffic::start(&gateways);
    thread::sleep(Duration::from_secs(4));

    let mut operator = Operator::new(run, &store);
    let first = start_engines(&store, "v2-first", "v2");
    if run.trouble {
        first.iter().for_each(|engine| engine.turn_grey());
        run.note("the engines of v2 fail 45 in 100 requests while their health checks are good");
    }
    order(run, &store, "v2", FIRST_DURATION);
    let end = Instant::now() + Duration::from_secs_f64(FIRST_DURATION);
    let state = if run.trouble { "rolled_back" } else { "succeeded" };
    if !operator.wait_for("v2", state, end) {
        run.note("the first rollout did not end as expected");
        return Outcome::NotRun;
    }
    let mut second = None;
    let (mut first, ended) = (Some(first), Instant::now());
    if run.trouble {
        thread::sleep(DRAIN_AFTER);
        stop_engines(first.take(), &store);
        run.note("the engines of v2 drain, and others that are sound are started");
        second = Some(start_engines(&store, "v2-second", "v2"));
    } else {
        stop_engines(old.take(), &store);
        run.note("the engines of v1 stop");
    }
    thread::sleep((ended + PAUSE).saturating_duration_since(Instant::now()));
    order(run, &store, "v2", SECOND_DURATION);
    let deadline = Instant::now() + Duration::from_secs_f64(SECOND_DURATION);
    let has_succeeded = operator.wait_for("v2", "succeeded", deadline);
    run.note("the deadline of the second order to move to v2, or its success");
    drop((first, second));
    if has_succeeded {
        Outcome::Held
    } else {
        run.note("Duty: the good version has not succeeded");
        Outcome::Broken
    }
}
