//! The deadline: completed before it or taken back, and the same on every instance.

use sesamewind_protocol::evidence::{Outcome, Reason, Stage};
use sesamewind_protocol::{VersionId, WallTime};
use sesamewind_rollout::{Action, LEASE_LENGTH, LeaseGrant, RolloutSpec, ViewState};

use crate::world::{START, StoreMode, World, good, id, spec};

const MINUTE: u64 = 60;
/// Minutes from the start to the deadline in these tests.
const DEADLINE: u64 = 12;

/// Runs until `minute` minutes after the start.
fn run_to(world: &mut World, second: u64) {
    let passed = (world.ms - START) / 1000;
    world.run(second.saturating_sub(passed), 4, good);
}

/// Checks that there is one outcome, kept in time, that all instances report it and send alike.
fn check(world: &mut World, name: &str, want: &str) {
    assert_eq!(world.ended(), want, "{name}");
    assert_eq!(world.outcomes(), 1, "{name}");
    assert!(world.stages_in_order(), "{name}: {:?}", world.history);
    assert_eq!(world.harmful, 0, "{name}");
    let record = world.record().expect("the outcome is recorded");
    if let Some(Outcome::Completed { at }) = record.outcome {
        assert!(at < record.deadline, "{name}");
    }
    let expected = if want == "completed" { 100 } else { 0 };
    for number in 0..world.nodes.len() {
        assert_eq!(world.sent_new(number, 100), expected, "{name}: instance {number}");
        let view = world.nodes[number].rollouts.view(world.wall());
        let Some(view) = view.first() else { continue };
        let told = match &view.state {
            ViewState::Completed { .. } => "completed",
            ViewState::RolledBack { reason, .. } => reason.as_str(),
            ViewState::Running { .. } => "running",
        };
        assert_eq!(told, want, "{name}: instance {number}");
    }
}

#[test]
fn store_down_across_the_deadline() {
    struct Case {
        name: &'static str,
        down: (u64, u64),
        want: &'static str,
    }
    let end = DEADLINE * MINUTE;
    let cases = [
        Case { name: "never", down: (0, 0), want: "completed" },
        Case { name: "until long before", down: (400, 500), want: "completed" },
        Case { name: "until shortly before", down: (500, end - 20), want: "completed" },
        Case { name: "across", down: (600, end + 60), want: "deadline-passed" },
        Case { name: "from the start", down: (0, end + 60), want: "deadline-passed" },
    ];
    for case in cases {
        let mut world = World::new(4, &[spec(DEADLINE, 0.1)]);
        run_to(&mut world, case.down.0);
        if case.down.1 > 0 {
            world.store = StoreMode::Down;
        }
        run_to(&mut world, case.down.1.min(end));
        if case.down.1 > end {
            world.run(1, 4, good);
            for number in 0..4 {
                assert_eq!(world.sent_new(number, 100), 0, "{}", case.name);
            }
            run_to(&mut world, case.down.1);
        }
        world.store = StoreMode::Up;
        run_to(&mut world, end + 100);
        check(&mut world, case.name, case.want);
    }
}

#[test]
fn zone_cut_across_the_deadline() {
    for zone in 0..3 {
        let mut world = World::new(6, &[spec(DEADLINE, 0.1)]);
        run_to(&mut world, 500);
        world.cut = Some(zone);
        run_to(&mut world, DEADLINE * MINUTE + 30);
        assert_eq!(world.ended(), "completed", "zone {zone}");
        // The zone that was cut off does not know the outcome and has gone back.
        assert_eq!(world.sent_new(zone, 100), 0, "zone {zone}");
        let old = VersionId::from("v1");
        assert!(world.engines.values().all(|engine| engine.versions.contains(&old)));
        world.cut = None;
        world.run(60, 4, good);
        check(&mut world, &format!("zone {zone}"), "completed");
    }
}

#[test]
fn deadline_during_a_pause_of_the_steward() {
    for late in [false, true] {
        let mut world = World::new(1, &[spec(DEADLINE, 0.1)]);
        run_to(&mut world, 640);
        world.nodes[0].holds = true;
        run_to(&mut world, DEADLINE * MINUTE + 30);
        assert!(world.outcome().is_none());
        world.wake(0, late);
        world.run(60, 4, good);
        if late {
            // The write had left before the deadline and took effect after it: it stands.
            check(&mut world, "late", "completed");
        } else {
            check(&mut world, "checked", "deadline-passed");
        }
    }
}

#[test]
fn moved_and_withdrawn() {
    struct Case {
        name: &'static str,
        at: u64,
        minutes: Option<u64>,
        want: &'static str,
    }
    let cases = [
        Case { name: "moved later", at: 300, minutes: Some(20), want: "completed" },
        Case { name: "moved earlier", at: 300, minutes: Some(10), want: "completed" },
        Case { name: "moved into the past", at: 300, minutes: Some(4), want: "deadline-passed" },
        Case { name: "withdrawn while loading", at: 2, minutes: None, want: "withdrawn" },
        Case { name: "withdrawn at a step", at: 60, minutes: None, want: "withdrawn" },
        Case { name: "withdrawn at full share", at: 600, minutes: None, want: "withdrawn" },
        Case { name: "withdrawn after the end", at: 715, minutes: None, want: "completed" },
        Case { name: "moved after the end", at: 715, minutes: Some(30), want: "completed" },
    ];
    for case in cases {
        let mut world = World::new(3, &[spec(DEADLINE, 0.1)]);
        run_to(&mut world, case.at);
        let rows: Vec<RolloutSpec> =
            case.minutes.map(|minutes| spec(minutes, 0.1)).into_iter().collect();
        world.submit(&rows);
        world.specs = if rows.is_empty() { vec![spec(DEADLINE, 0.1)] } else { rows.clone() };
        run_to(&mut world, 35 * MINUTE);
        assert_eq!(world.ended(), case.want, "{}", case.name);
        assert_eq!(world.outcomes(), 1, "{}", case.name);
        if !rows.is_empty() {
            check(&mut world, case.name, case.want);
        }
    }
}

#[test]
fn withdrawn_rollout_gets_no_requests_and_its_name_stays_used() {
    let mut world = World::new(3, &[spec(DEADLINE, 0.1)]);
    run_to(&mut world, 200);
    world.submit(&[]);
    assert_eq!(world.sent_new(0, 1_000), 0);
    world.run(10, 4, good);
    assert_eq!(world.ended(), "withdrawn");
    let other = RolloutSpec { to: VersionId::from("v3"), ..spec(30, 0.1) };
    world.submit(&[other]);
    world.run(60, 4, good);
    let view = world.nodes[1].rollouts.view(world.wall());
    let ViewState::Running { waits, .. } = &view[0].state else { panic!("{view:?}") };
    assert!(waits.contains("new name"), "{waits}");
    assert_eq!(world.outcomes(), 1);
}

#[test]
fn instance_behind_on_the_configuration_does_not_end_a_rollout() {
    // Two operators: one moves the deadline, and the steward has not heard of it yet.
    let mut world = World::new(3, &[spec(DEADLINE, 0.1)]);
    run_to(&mut world, 300);
    let holder = world.lease.map_or(0, |(holder, _)| holder);
    let zone = world.nodes[holder].zone;
    world.cut = Some(zone);
    world.submit(&[spec(30, 0.1)]);
    world.cut = None;
    // Another instance becomes steward and writes under the new revision.
    world.nodes[holder].holds = true;
    world.run(30, 4, good);
    let record = world.record().expect("a record");
    assert_eq!(record.deadline, WallTime(START + 30 * MINUTE * 1000));
    world.nodes[holder].holds = false;
    world.nodes[holder].held.clear();
    world.lease = Some((holder, world.ms + 15_000));
    world.fence += 1;
    run_to(&mut world, DEADLINE * MINUTE + 60);
    assert_eq!(world.ended(), "none", "the former deadline ended it");
    world.configure(holder);
    run_to(&mut world, 31 * MINUTE);
    check(&mut world, "two operators", "completed");
}

#[test]
fn too_little_traffic_is_taken_back_and_told() {
    let mut world = World::new(3, &[spec(DEADLINE, 0.1)]);
    for _ in 0..13 {
        world.run(59, 0, good);
        world.run(1, 1, good);
    }
    world.run(10, 0, good);
    let Some(Outcome::RolledBack { reason, counts, .. }) = world.outcome() else {
        panic!("{:?}", world.record());
    };
    assert_eq!(*reason, Reason::TooLittleTraffic);
    assert!(counts.new_requests < 20);
    assert_eq!(world.nodes[0].rollouts.view(world.wall())[0].id, id());
}

#[test]
fn no_completion_is_begun_close_to_the_deadline() {
    let mut world = World::new(1, &[spec(DEADLINE, 0.1)]);
    run_to(&mut world, 640);
    world.nodes[0].holds = true;
    world.ms = START + DEADLINE * MINUTE * 1000 - 1_999;
    let valid_until = world.now() + LEASE_LENGTH;
    world.nodes[0].lease = Some(LeaseGrant { fence: world.fence, valid_until });
    world.tick(0);
    let begun = world.nodes[0].held.iter().any(
        |action| matches!(action, Action::WriteRecord { record, .. } if record.outcome.is_some()),
    );
    assert!(!begun, "{:?}", world.nodes[0].held);
    world.wake(0, false);
    run_to(&mut world, DEADLINE * MINUTE + 30);
    check(&mut world, "close", "deadline-passed");
}

#[test]
fn few_requests_are_paced_by_the_deadline() {
    let mut world = World::new(3, &[spec(60, 0.1)]);
    let mut stages = Vec::new();
    for _ in 0..360 {
        world.run(9, 0, good);
        world.run(1, 1, good);
        stages.push(world.stage());
    }
    // The first step is held for want of requests, and ends with its slot.
    assert_eq!(stages[30], Some(Stage::Step(0)));
    assert_eq!(world.ended(), "completed");
}

#[test]
fn lapsed_lease_gives_no_orders_and_no_writes() {
    let mut world = World::new(1, &[spec(DEADLINE, 0.1)]);
    run_to(&mut world, 30);
    world.store = StoreMode::Down;
    world.run(LEASE_LENGTH.as_secs() + 1, 4, good);
    world.nodes[0].holds = true;
    for _ in 0..700 {
        world.ms += 1000;
        world.tick(0);
    }
    assert_eq!(world.nodes[0].held, []);
}
