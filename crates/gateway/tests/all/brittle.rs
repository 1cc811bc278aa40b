//! Targets that fall over if they reject too many requests in a second.

use sesamewind_gateway::{AttemptOutcome, BrittleTotals, Event, Ticket};
use sesamewind_protocol::relay::StorePosition;
use sesamewind_protocol::{InstanceId, Time};

use crate::brittle_fleet::{Plan, play};
use crate::support::{Bench, at, bench};

/// Falls in one brittle time that the plays allow.
const MAX_FALLS: usize = 1;

/// Falls in one brittle time that are too many at the plays' targets.
const TOO_MANY_FALLS: usize = 3;

/// Fraction of the slots in use with demand for them.
const MIN_USED: f64 = 0.85;

fn plans() -> Vec<(&'static str, Plan)> {
    let usual = Plan::default;
    vec![
        ("six instances", usual()),
        ("one instance", Plan { instances: 1, ..usual() }),
        ("model engines", Plan { route: "urgent", ..usual() }),
        ("burst", Plan { burst: Some(8_000..10_000), ..usual() }),
        ("restart of all", Plan { instances: 33, restart: Some(9_000), ..usual() }),
        ("cut instances", Plan { instances: 12, cut: (4, 3_000..12_000), ..usual() }),
        ("hot instance", Plan { instances: 12, hot: 0.6, ..usual() }),
        ("unequal targets", Plan { slots: vec![4, 8, 32, 64, 2], ..usual() }),
        ("few rejections", Plan { instances: 12, allowed: 3, ..usual() }),
        ("many instances", Plan { instances: 69, length: 12_000, ..usual() }),
    ]
}

#[test]
fn brittle_targets_do_not_fall_over() {
    for (name, plan) in plans() {
        for seed in 0..6 {
            let report = play(&plan, seed);
            println!("{name} {seed}: {report:?}");
            assert!(report.falls <= MAX_FALLS, "{name}, seed {seed}: {report:?}");
        }
    }
}

/// The plays show something: targets that fall over without stating it get the load that fells them.
#[test]
fn targets_that_do_not_state_it_fall_over_under_the_same_load() {
    for (name, plan) in plans().into_iter().filter(|(_, plan)| plan.route == "read") {
        let report = play(&Plan { told: false, ..plan }, 0);
        println!("{name}: {report:?}");
        assert!(report.falls >= TOO_MANY_FALLS, "{name}: {report:?}");
    }
}

fn check_use(cases: &[(usize, usize)]) {
    let mut missed = Vec::new();
    for &(instances, targets) in cases {
        let length = if instances > 100 { 10_000 } else { 12_000 };
        let plan = Plan { instances, slots: vec![16; targets], length, ..Plan::default() };
        let report = play(&plan, 0);
        println!("{instances} instances, {targets} targets: {report:?}");
        if report.used < MIN_USED {
            missed.push((instances, targets, report.used));
        }
    }
    assert!(missed.is_empty(), "{missed:?}");
}

#[test]
fn room_of_brittle_targets_is_used() {
    check_use(&[(1, 3), (1, 20), (6, 3), (6, 20), (33, 60), (69, 20), (300, 60)]);
}

#[test]
fn room_of_few_brittle_targets_is_used_by_many_instances() {
    check_use(&[(33, 3), (69, 3), (300, 3)]);
}

/// Sends `count` requests and returns those that got a target.
fn send(bench: &mut Bench, count: usize, now: Time) -> Vec<Ticket> {
    let sent: Vec<Ticket> = (0..count).map(|_| bench.arrive("read", 0, now)).collect();
    sent.into_iter().filter(|ticket| bench.dispatch(*ticket).is_some()).collect()
}

#[test]
fn nothing_changes_unless_targets_state_it() {
    let mut bench = bench(0, 2);
    let sent = send(&mut bench, 20, at(10));
    for &ticket in &sent {
        bench.send(Event::TargetBrittle(ticket, None), at(20));
    }
    assert_eq!(sent.len(), 12, "one and a half for each of eight slots");
    assert_eq!(bench.gateway.brittle_totals(), BrittleTotals::default());
    assert!(bench.gateway.take_brittle_changes().is_empty());
    let to = InstanceId::new("i2");
    let update = bench.gateway.peer_update(&to, StorePosition::default(), Time::ZERO, at(30));
    assert!(update.brittle.is_empty());
}

#[test]
fn places_follow_statements_and_rejections() {
    let mut bench = bench(0, 2);
    bench.send(Event::Tick, at(4_000));
    let first = send(&mut bench, 1, at(4_000))[0];
    bench.send(Event::TargetBrittle(first, Some(2)), at(4_010));
    bench.end(first, AttemptOutcome::Whole, at(4_020));
    let change = bench.gateway.take_brittle_changes().pop().expect("they are brittle");
    // Four slots and half of the two rejections for each target.
    assert_eq!((change.allowed, change.targets, change.room, change.share), (Some(2), 2, 10, 10));
    let sent = send(&mut bench, 20, at(4_100));
    assert_eq!(sent.len(), 10);
    let total = |bench: &Bench| bench.gateway.brittle_totals();
    bench.end(sent[0], AttemptOutcome::Declined, at(4_200));
    assert_eq!((total(&bench).room, total(&bench).rejections), (9, 1), "a rejection costs a place");
    bench.send(Event::Tick, at(6_300));
    assert_eq!(total(&bench).room, 10, "which returns");
    // An answer to an earlier request ends nothing, nor one soon after a statement.
    bench.send(Event::TargetBrittle(sent[1], Some(2)), at(6_400));
    bench.send(Event::TargetBrittle(sent[2], None), at(6_500));
    bench.end(sent[1], AttemptOutcome::Whole, at(6_500));
    assert_eq!(total(&bench).targets, 2);
    bench.end(sent[2], AttemptOutcome::Whole, at(8_500));
    let last = send(&mut bench, 1, at(8_500))[0];
    bench.send(Event::TargetBrittle(last, None), at(8_510));
    assert_eq!(total(&bench).targets, 0);
    let change = bench.gateway.take_brittle_changes().pop().expect("they no longer are");
    assert_eq!(change.allowed, None);
}
