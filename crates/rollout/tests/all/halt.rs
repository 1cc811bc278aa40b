//! Verdicts and the local halt: a bad version gets no more requests, even when the store is
//! unavailable.

use crate::simulation::{
    Behaviour, Simulation, StoreMode, failing, good, id, instance, slow, spec, target,
};
use sesamewind_protocol::evidence::{Counts, Outcome, Reason, Stage, VerdictEntry};
use sesamewind_protocol::{RouteId, VersionId};
use sesamewind_rollout::{EndState, RolloutEvent};

fn quote_fails(route: &str, number: u64) -> (EndState, u64) {
    if route == "quote" { failing(route, number) } else { good(route, number) }
}

fn one_in_twenty_fails(route: &str, number: u64) -> (EndState, u64) {
    seeded_fails::<0>(route, number)
}

/// One in twenty requests fails. `SEED` selects which ones.
fn seeded_fails<const SEED: u64>(route: &str, number: u64) -> (EndState, u64) {
    if (number + SEED * 1_000_003).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32 < (1u64 << 32) / 20 {
        failing(route, number)
    } else {
        good(route, number)
    }
}

/// Runs until the record has an outcome, or for `seconds`. Returns the number of requests that
/// reached the new version.
fn until_ended(sim: &mut Simulation, seconds: u64, bad: Behaviour) -> u64 {
    let mut exposed = 0;
    for _ in 0..seconds {
        if sim.outcome().is_some() {
            break;
        }
        exposed += sim.run(1, 4, bad);
    }
    exposed
}

#[test]
fn bad_versions_are_rolled_back() {
    struct Case {
        name: &'static str,
        bad: Behaviour,
        reason: &'static str,
        route: Option<&'static str>,
        exposed: u64,
    }
    let cases = [
        Case { name: "fails outright", bad: failing, reason: "failing", route: None, exposed: 10 },
        Case {
            name: "fails on one route",
            bad: quote_fails,
            reason: "failing",
            route: Some("quote"),
            exposed: 60,
        },
        Case {
            name: "fails one in twenty",
            bad: one_in_twenty_fails,
            reason: "failing",
            route: None,
            exposed: 400,
        },
        Case { name: "three times slower", bad: slow, reason: "slow", route: None, exposed: 60 },
    ];
    for case in cases {
        let mut sim = Simulation::new(3, &[spec(60, 0.05)]);
        let exposed = until_ended(&mut sim, 3_600, case.bad);
        let Some(Outcome::RolledBack { reason, route, counts, .. }) = sim.outcome() else {
            panic!("{}: {:?}", case.name, sim.record());
        };
        assert_eq!(reason.as_str(), case.reason, "{}", case.name);
        assert_eq!(route.clone(), case.route.map(RouteId::from), "{}", case.name);
        assert!(exposed <= case.exposed, "{}: {exposed} exposed", case.name);
        assert!(counts.new_bad >= 3 && counts.new_requests >= counts.new_bad, "{}", case.name);
        for number in 0..3 {
            assert_eq!(sim.requests_to_new(number, 1_000), 0, "{}", case.name);
        }
    }
}

#[test]
fn good_version_completes() {
    let mut sim = Simulation::new(3, &[spec(60, 0.05)]);
    until_ended(&mut sim, 3_700, good);
    assert_eq!(sim.outcome_name(), "completed");
    sim.run(2, 1, good);
    assert_eq!(sim.requests_to_new(1, 1_000), 1_000);
    let events = &sim.nodes[1].events;
    let stages = events.iter().filter(|event| matches!(event, RolloutEvent::Staged { .. }));
    assert!(stages.count() >= 4, "{events:?}");
    assert!(events.iter().any(|event| event.kind() == "completed"), "{events:?}");
}

#[test]
fn halts_without_the_store() {
    for cut in [false, true] {
        let mut sim = Simulation::new(6, &[spec(60, 0.2)]);
        while !matches!(sim.stage(), Some(Stage::Step(0))) {
            sim.run(1, 8, good);
        }
        sim.run(3, 8, good);
        if cut {
            sim.cut_zone = Some(0);
        }
        sim.store = StoreMode::Down;
        let mut seconds = 0;
        while sim.nodes.iter().any(|node| node.rollouts.verdicts().is_empty()) {
            sim.run(1, 8, failing);
            seconds += 1;
            assert!(seconds < 60, "cut {cut}: no verdict everywhere");
        }
        let sent: u64 = (0..6).map(|number| sim.requests_to_new(number, 1_000)).sum();
        assert_eq!(sent, 0, "cut {cut}");
        assert_eq!(sim.outcome_name(), "none", "cut {cut}");
        sim.store = StoreMode::Up;
        sim.cut_zone = None;
        sim.run(30, 8, good);
        assert_eq!(sim.outcome_name(), "failing", "cut {cut}");
        assert_eq!(sim.outcome_count(), 1, "cut {cut}");
    }
}

#[test]
fn verdict_reaches_all_instances_within_one_exchange() {
    let mut sim = Simulation::new(4, &[spec(60, 0.2)]);
    while !matches!(sim.stage(), Some(Stage::Step(0))) {
        sim.run(1, 8, good);
    }
    sim.store = StoreMode::Down;
    let mut after = 0;
    for _ in 0..60 {
        let judged = sim.nodes.iter().any(|node| !node.rollouts.verdicts().is_empty());
        let exposed = sim.run(1, 8, failing);
        after += if judged { exposed } else { 0 };
    }
    assert_eq!(after, 0, "requests sent a second after the first verdict");
}

#[test]
fn verdicts_are_never_dropped() {
    let mut sim = Simulation::new(3, &[spec(60, 0.2)]);
    while sim.outcome().is_none() {
        sim.run(1, 8, failing);
    }
    sim.store = StoreMode::Down;
    sim.restart(2);
    assert_eq!(sim.nodes[2].rollouts.verdicts().len(), 0);
    sim.exchange(1, 2);
    let learned = sim.nodes[2].rollouts.verdicts();
    assert_eq!(learned[0].reason, Reason::Failing);
    sim.run(600, 8, good);
    let moved = spec(120, 0.2);
    sim.submit(&[moved]);
    sim.run(60, 8, good);
    for number in 0..3 {
        assert_eq!(sim.nodes[number].rollouts.verdicts().len(), 1);
        assert_eq!(sim.requests_to_new(number, 1_000), 0);
    }
    assert_eq!(sim.outcome_count(), 1);
}

#[test]
fn fault_after_full_share_is_rolled_back() {
    struct Case {
        name: &'static str,
        bad: Behaviour,
        store: StoreMode,
        reason: &'static str,
        exposed: u64,
    }
    let cases = [
        Case { name: "fails", bad: failing, store: StoreMode::Up, reason: "failing", exposed: 25 },
        Case {
            name: "fails without store",
            bad: failing,
            store: StoreMode::Down,
            reason: "failing",
            exposed: 25,
        },
        Case { name: "slow", bad: slow, store: StoreMode::Up, reason: "slow", exposed: 400 },
    ];
    for case in cases {
        let mut sim = Simulation::new(3, &[spec(60, 0.05)]);
        while !matches!(sim.stage(), Some(Stage::Full(_))) {
            sim.run(1, 4, good);
        }
        sim.run(1200, 4, good);
        sim.store = case.store;
        let mut exposed = 0;
        while sim.nodes.iter().any(|node| node.rollouts.verdicts().is_empty()) {
            exposed += sim.run(1, 4, case.bad);
            assert!(exposed < 5_000, "{}", case.name);
        }
        assert!(exposed <= case.exposed, "{}: {exposed}", case.name);
        assert_eq!(sim.requests_to_new(0, 1_000), 0, "{}", case.name);
        let holds_old =
            sim.engines.values().all(|engine| engine.versions.contains(&VersionId::from("v1")));
        assert!(holds_old, "{}", case.name);
        sim.store = StoreMode::Up;
        sim.run(40, 4, good);
        assert_eq!(sim.outcome_name(), case.reason, "{}", case.name);
    }
}

fn one_in_four_fails(route: &str, number: u64) -> (EndState, u64) {
    if number.is_multiple_of(4) { failing(route, number) } else { good(route, number) }
}

/// Applies the same fault to both versions for five minutes at full share, and then removes it.
fn check_common_fault(fault: Behaviour) {
    let mut sim = Simulation::new(3, &[spec(60, 0.05)]);
    while !matches!(sim.stage(), Some(Stage::Full(_))) {
        sim.run(1, 4, good);
    }
    // The recheck at a reduced share shows that the old version has the same fault.
    sim.run_with_old(300, 8, fault, fault);
    let rechecked = sim.history.iter().any(|record| matches!(record.stage, Stage::Recheck(_)));
    assert!(rechecked, "{:?}", sim.history.last());
    until_ended(&mut sim, 3_600, good);
    assert_eq!(sim.outcome_name(), "completed");
}

#[test]
fn slowness_of_both_versions_at_full_share_causes_no_rollback() {
    check_common_fault(slow);
}

#[test]
fn failures_of_both_versions_at_full_share_cause_no_rollback() {
    check_common_fault(one_in_four_fails);
}

#[test]
fn rare_failures_of_both_versions_at_full_share_cause_no_rollback() {
    check_common_fault(one_in_twenty_fails);
}

#[test]
fn rare_failures_of_both_versions_cause_no_rollback_with_other_seeds() {
    check_common_fault(seeded_fails::<1>);
    check_common_fault(seeded_fails::<2>);
}

#[test]
fn evidence_merges_in_any_order_and_repeatedly() {
    let mut sim = Simulation::new(3, &[spec(60, 0.2)]);
    sim.run(40, 8, good);
    let cells = sim.nodes[0].rollouts.evidence();
    assert!(!cells.is_empty());
    let mut forward = Simulation::new(1, &[spec(60, 0.2)]);
    let mut backward = Simulation::new(1, &[spec(60, 0.2)]);
    let reversed: Vec<_> = cells.iter().rev().cloned().collect();
    for _ in 0..2 {
        forward.nodes[0].rollouts.merge(&cells);
        backward.nodes[0].rollouts.merge(&reversed);
    }
    assert_eq!(forward.nodes[0].rollouts.evidence(), backward.nodes[0].rollouts.evidence());
    assert_eq!(forward.nodes[0].rollouts.evidence(), cells);
    let (mark, _) = forward.nodes[0].rollouts.evidence_since(0);
    forward.nodes[0].rollouts.merge(&cells);
    assert_eq!(forward.nodes[0].rollouts.evidence_since(mark).1, []);
}

#[test]
fn requests_count_for_the_stage_of_their_dispatch() {
    let mut sim = Simulation::new(1, &[spec(60, 0.05)]);
    while !matches!(sim.stage(), Some(Stage::Full(_))) {
        sim.run(1, 4, good);
    }
    // These requests are dispatched at full share and end after a recheck has begun. No request of
    // the old version can be compared with them.
    let sent = sim.wall();
    while !matches!(sim.stage(), Some(Stage::Recheck(_))) {
        sim.run_with_old(1, 8, slow, slow);
    }
    sim.run(5, 8, good);
    for number in 0..60 {
        sim.end_request(0, "v2", sent, slow("reply", number));
    }
    sim.run(20, 8, good);
    assert_eq!(sim.nodes[0].rollouts.verdicts(), []);
}

#[test]
fn completed_rollout_counts_no_requests() {
    let mut sim = Simulation::new(1, &[spec(12, 0.05)]);
    until_ended(&mut sim, 800, good);
    let before = sim.nodes[0].rollouts.evidence().len();
    sim.run(20, 8, failing);
    assert_eq!(sim.nodes[0].rollouts.evidence().len(), before);
    assert_eq!(sim.nodes[0].rollouts.verdicts(), []);
    assert_eq!(sim.requests_to_new(0, 100), 100);
}

#[test]
fn verdict_after_the_completion_never_sends_to_an_unloaded_version() {
    for unloaded in [false, true] {
        let mut sim = Simulation::new(3, &[spec(12, 0.05)]);
        until_ended(&mut sim, 800, good);
        sim.draining = (!unloaded).then_some(1);
        sim.run(120, 4, good);
        let holds_old = sim.engines[&target(0)].versions.contains(&VersionId::from("v1"));
        assert_eq!(holds_old, !unloaded);
        let late = VerdictEntry {
            rollout: id(),
            instance: instance(9),
            reason: Reason::Failing,
            route: None,
            counts: Counts::default(),
            at: sim.wall(),
        };
        sim.nodes[0].rollouts.learn_verdicts(std::slice::from_ref(&late));
        sim.draining = None;
        sim.run(120, 4, good);
        assert_eq!(sim.engines[&target(0)].versions.contains(&VersionId::from("v1")), !unloaded);
        let expected = if unloaded { 100 } else { 0 };
        for number in 0..3 {
            assert_eq!(sim.requests_to_new(number, 100), expected, "unloaded {unloaded}");
            let view = sim.nodes[number].rollouts.view(sim.wall());
            assert_eq!(view[0].verdict, Some(late.clone()));
        }
    }
}
