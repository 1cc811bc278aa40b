//! An instance that was frozen while a rollout ended writes the state of that rollout over the state
//! of the next one.

use std::thread;
use std::time::{Duration, Instant};

use crate::common::{Outcome, Run, account, configuration, route, start_gateways};
use crate::rollouts::{Operator, Traffic, order, start_engines, stop_engines};
use crate::store::Store;

/// The instance that freezes.
const FROZEN: usize = 1;

/// Durations of the two rollouts in seconds.
const FIRST_DURATION: f64 = 8.0;
const SECOND_DURATION: f64 = 4.0;

/// When the instance freezes after the first order, and for how long.
const FREEZE_AT: Duration = Duration::from_millis(5_900);
const FREEZE_TIME: Duration = Duration::from_millis(4_000);

/// Time from the end of the first rollout to the second order.
const PAUSE: Duration = Duration::from_millis(300);

pub fn run(run: &Run) -> Outcome {
    let store = Store::start();
    let accounts = vec![account("tenant", "key", 0.0, 0.0)];
    store.put("op", "config", &configuration(10, vec![route("read")], accounts));
    let first = start_engines(&store, "v1", "v1");
    let Some(gateways) = start_gateways(run, store.address) else { return Outcome::NotRun };
    let _traffic = Traffic::start(&gateways);
    // Longer than `contactMs`, so that all instances are in touch.
    thread::sleep(Duration::from_secs(4));

    let mut operator = Operator::new(run, &store);
    let second = start_engines(&store, "v2", "v2");
    order(run, &store, "v2", FIRST_DURATION);
    let ordered = Instant::now();
    let (freeze, wake) = (ordered + FREEZE_AT, ordered + FREEZE_AT + FREEZE_TIME);
    let (mut is_frozen, mut is_awake) = (false, false);
    let (mut old, mut middle, mut third) = (Some(first), Some(second), None);
    let mut succeeded: Option<Instant> = None;
    let mut deadline: Option<Instant> = None;
    let has_succeeded = loop {
        let now = Instant::now();
        if run.trouble && !is_frozen && now >= freeze {
            is_frozen = true;
            gateways[FROZEN].freeze(true);
            run.note(&format!("{} freezes", gateways[FROZEN].name));
        }
        if is_frozen && !is_awake && now >= wake {
            is_awake = true;
            gateways[FROZEN].freeze(false);
            run.note(&format!("{} goes on", gateways[FROZEN].name));
        }
        operator.look();
        if succeeded.is_none() && operator.is_at("v2", "succeeded") {
            succeeded = Some(now);
            stop_engines(old.take(), &store);
            run.note("the engines of v1 stop");
            third = Some(start_engines(&store, "v3", "v3"));
        }
        if deadline.is_none() && succeeded.is_some_and(|at| now >= at + PAUSE) {
            order(run, &store, "v3", SECOND_DURATION);
            deadline = Some(Instant::now() + Duration::from_secs_f64(SECOND_DURATION));
        }
        if middle.is_some() && operator.is_at("v3", "succeeded") {
            stop_engines(middle.take(), &store);
            run.note("the engines of v2 stop");
        }
        if deadline.is_some_and(|deadline| now >= deadline) {
            break operator.is_at("v3", "succeeded");
        }
        if now >= ordered + Duration::from_secs_f64(FIRST_DURATION + 2.0) && succeeded.is_none() {
            run.note("the first rollout did not succeed");
            return Outcome::NotRun;
        }
        thread::sleep(Duration::from_millis(5));
    };
    run.note("the deadline of the order to move to v3");
    thread::sleep(Duration::from_secs(3));
    operator.look();
    drop(third);
    let was_recorded = middle.is_none();
    if has_succeeded {
        run.note("the status tells that v3 has succeeded");
        Outcome::Held
    } else if was_recorded {
        run.note(
            "Duty: the status told that v3 had succeeded, and was overwritten with a state of v2",
        );
        Outcome::Broken
    } else {
        run.note("v3 has not succeeded");
        Outcome::NotRun
    }
}
