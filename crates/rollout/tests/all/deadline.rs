//! The deadline: a rollout is completed before it or rolled back, with the same outcome on every
//! instance.

use sesamewind_protocol::evidence::{Outcome, Reason, Stage};
use sesamewind_protocol::{VersionId, WallTime};
use sesamewind_rollout::{Action, LEASE_LENGTH, LeaseGrant, RolloutSpec, ViewState};

use crate::simulation::{START_MS, Simulation, StoreMode, good, id, spec};

const MINUTE_SECONDS: u64 = 60;
/// Time from the start to the deadline in these tests.
const DEADLINE_MINUTES: u64 = 12;

/// Runs until `second` seconds after the start.
fn run_to(sim: &mut Simulation, second: u64) {
    let passed = (sim.ms - START_MS) / 1000;
    sim.run(second.saturating_sub(passed), 4, good);
}

/// Checks that there is exactly one outcome, that a completion precedes the deadline, and that all
/// instances report the outcome and send requests accordingly.
fn check(sim: &mut Simulation, name: &str, want: &str) {
    assert_eq!(sim.outcome_name(), want, "{name}");
    assert_eq!(sim.outcome_count(), 1, "{name}");
    assert!(sim.has_ordered_stages(), "{name}: {:?}", sim.history);
    assert_eq!(sim.harmful_unloads, 0, "{name}");
    let record = sim.record().expect("the outcome is recorded");
    if let Some(Outcome::Completed { at }) = record.outcome {
        assert!(at < record.deadline, "{name}");
    }
    let expected = if want == "completed" { 100 } else { 0 };
    for number in 0..sim.nodes.len() {
        assert_eq!(sim.requests_to_new(number, 100), expected, "{name}: instance {number}");
        let view = sim.nodes[number].rollouts.view(sim.wall());
        let Some(view) = view.first() else { continue };
        let reported = match &view.state {
            ViewState::Completed { .. } => "completed",
            ViewState::RolledBack { reason, .. } => reason.as_str(),
            ViewState::Running { .. } => "running",
        };
        assert_eq!(reported, want, "{name}: instance {number}");
    }
}

#[test]
fn store_down_across_the_deadline() {
    struct Case {
        name: &'static str,
        down: (u64, u64),
        want: &'static str,
    }
    let end = DEADLINE_MINUTES * MINUTE_SECONDS;
    let cases = [
        Case { name: "never", down: (0, 0), want: "completed" },
        Case { name: "until long before", down: (400, 500), want: "completed" },
        Case { name: "until shortly before", down: (500, end - 20), want: "completed" },
        Case { name: "across", down: (600, end + 60), want: "deadline-passed" },
        Case { name: "from the start", down: (0, end + 60), want: "deadline-passed" },
    ];
    for case in cases {
        let mut sim = Simulation::new(4, &[spec(DEADLINE_MINUTES, 0.1)]);
        run_to(&mut sim, case.down.0);
        if case.down.1 > 0 {
            sim.store = StoreMode::Down;
        }
        run_to(&mut sim, case.down.1.min(end));
        if case.down.1 > end {
            sim.run(1, 4, good);
            for number in 0..4 {
                assert_eq!(sim.requests_to_new(number, 100), 0, "{}", case.name);
            }
            run_to(&mut sim, case.down.1);
        }
        sim.store = StoreMode::Up;
        run_to(&mut sim, end + 100);
        check(&mut sim, case.name, case.want);
    }
}

#[test]
fn zone_cut_across_the_deadline() {
    for zone in 0..3 {
        let mut sim = Simulation::new(6, &[spec(DEADLINE_MINUTES, 0.1)]);
        run_to(&mut sim, 500);
        sim.cut_zone = Some(zone);
        run_to(&mut sim, DEADLINE_MINUTES * MINUTE_SECONDS + 30);
        assert_eq!(sim.outcome_name(), "completed", "zone {zone}");
        // The zone that was cut off does not know the outcome and sends requests to the old version
        // again.
        assert_eq!(sim.requests_to_new(zone, 100), 0, "zone {zone}");
        let old = VersionId::from("v1");
        assert!(sim.engines.values().all(|engine| engine.versions.contains(&old)));
        sim.cut_zone = None;
        sim.run(60, 4, good);
        check(&mut sim, &format!("zone {zone}"), "completed");
    }
}

#[test]
fn deadline_during_a_pause_of_the_leader() {
    for skip_checks in [false, true] {
        let mut sim = Simulation::new(1, &[spec(DEADLINE_MINUTES, 0.1)]);
        run_to(&mut sim, 640);
        sim.nodes[0].frozen = true;
        run_to(&mut sim, DEADLINE_MINUTES * MINUTE_SECONDS + 30);
        assert!(sim.outcome().is_none());
        sim.resume(0, skip_checks);
        sim.run(60, 4, good);
        if skip_checks {
            // The write was sent before the deadline and took effect after it, so the completion is
            // valid.
            check(&mut sim, "late", "completed");
        } else {
            check(&mut sim, "checked", "deadline-passed");
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
        let mut sim = Simulation::new(3, &[spec(DEADLINE_MINUTES, 0.1)]);
        run_to(&mut sim, case.at);
        let rows: Vec<RolloutSpec> =
            case.minutes.map(|minutes| spec(minutes, 0.1)).into_iter().collect();
        sim.submit(&rows);
        sim.specs = if rows.is_empty() { vec![spec(DEADLINE_MINUTES, 0.1)] } else { rows.clone() };
        run_to(&mut sim, 35 * MINUTE_SECONDS);
        assert_eq!(sim.outcome_name(), case.want, "{}", case.name);
        assert_eq!(sim.outcome_count(), 1, "{}", case.name);
        if !rows.is_empty() {
            check(&mut sim, case.name, case.want);
        }
    }
}

#[test]
fn withdrawn_rollout_gets_no_requests_and_its_name_stays_used() {
    let mut sim = Simulation::new(3, &[spec(DEADLINE_MINUTES, 0.1)]);
    run_to(&mut sim, 200);
    sim.submit(&[]);
    assert_eq!(sim.requests_to_new(0, 1_000), 0);
    sim.run(10, 4, good);
    assert_eq!(sim.outcome_name(), "withdrawn");
    let other = RolloutSpec { to: VersionId::from("v3"), ..spec(30, 0.1) };
    sim.submit(&[other]);
    sim.run(60, 4, good);
    let view = sim.nodes[1].rollouts.view(sim.wall());
    let ViewState::Running { waits, .. } = &view[0].state else { panic!("{view:?}") };
    assert!(waits.contains("new name"), "{waits}");
    assert_eq!(sim.outcome_count(), 1);
}

#[test]
fn instance_behind_on_the_configuration_does_not_end_a_rollout() {
    // An operator moves the deadline, and the leader has not received the new sheet yet.
    let mut sim = Simulation::new(3, &[spec(DEADLINE_MINUTES, 0.1)]);
    run_to(&mut sim, 300);
    let holder = sim.lease.map_or(0, |(holder, _)| holder);
    let zone = sim.nodes[holder].zone;
    sim.cut_zone = Some(zone);
    sim.submit(&[spec(30, 0.1)]);
    sim.cut_zone = None;
    // Another instance becomes leader and writes under the new revision.
    sim.nodes[holder].frozen = true;
    sim.run(30, 4, good);
    let record = sim.record().expect("a record");
    assert_eq!(record.deadline, WallTime(START_MS + 30 * MINUTE_SECONDS * 1000));
    sim.nodes[holder].frozen = false;
    sim.nodes[holder].held_actions.clear();
    sim.lease = Some((holder, sim.ms + 15_000));
    sim.fence += 1;
    run_to(&mut sim, DEADLINE_MINUTES * MINUTE_SECONDS + 60);
    assert_eq!(sim.outcome_name(), "none", "the former deadline ended it");
    sim.configure(holder);
    run_to(&mut sim, 31 * MINUTE_SECONDS);
    check(&mut sim, "two operators", "completed");
}

#[test]
fn too_little_traffic_is_rolled_back_and_reported() {
    let mut sim = Simulation::new(3, &[spec(DEADLINE_MINUTES, 0.1)]);
    for _ in 0..13 {
        sim.run(59, 0, good);
        sim.run(1, 1, good);
    }
    sim.run(10, 0, good);
    let Some(Outcome::RolledBack { reason, counts, .. }) = sim.outcome() else {
        panic!("{:?}", sim.record());
    };
    assert_eq!(*reason, Reason::TooLittleTraffic);
    assert!(counts.new_requests < 20);
    assert_eq!(sim.nodes[0].rollouts.view(sim.wall())[0].id, id());
}

#[test]
fn no_completion_is_begun_close_to_the_deadline() {
    let mut sim = Simulation::new(1, &[spec(DEADLINE_MINUTES, 0.1)]);
    run_to(&mut sim, 640);
    sim.nodes[0].frozen = true;
    sim.ms = START_MS + DEADLINE_MINUTES * MINUTE_SECONDS * 1000 - 1_999;
    let valid_until = sim.now() + LEASE_LENGTH;
    sim.nodes[0].lease = Some(LeaseGrant { fence: sim.fence, valid_until });
    sim.tick(0);
    let begun = sim.nodes[0].held_actions.iter().any(
        |action| matches!(action, Action::WriteRecord { record, .. } if record.outcome.is_some()),
    );
    assert!(!begun, "{:?}", sim.nodes[0].held_actions);
    sim.resume(0, false);
    run_to(&mut sim, DEADLINE_MINUTES * MINUTE_SECONDS + 30);
    check(&mut sim, "close", "deadline-passed");
}

#[test]
fn few_requests_advance_by_time_windows() {
    let mut sim = Simulation::new(3, &[spec(60, 0.1)]);
    let mut stages = Vec::new();
    for _ in 0..360 {
        sim.run(9, 0, good);
        sim.run(1, 1, good);
        stages.push(sim.stage());
    }
    // The first step lacks requests and ends with its time window.
    assert_eq!(stages[30], Some(Stage::Step(0)));
    assert_eq!(sim.outcome_name(), "completed");
}

#[test]
fn lapsed_lease_gives_no_orders_and_no_writes() {
    let mut sim = Simulation::new(1, &[spec(DEADLINE_MINUTES, 0.1)]);
    run_to(&mut sim, 30);
    sim.store = StoreMode::Down;
    sim.run(LEASE_LENGTH.as_secs() + 1, 4, good);
    sim.nodes[0].frozen = true;
    for _ in 0..700 {
        sim.ms += 1000;
        sim.tick(0);
    }
    assert_eq!(sim.nodes[0].held_actions, []);
}
