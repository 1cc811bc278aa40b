//! The brake: a bad version gets no more requests, with or without the store.

use crate::world::{Behaviour, StoreMode, World, failing, good, id, instance, slow, spec, target};
use sesamewind_protocol::evidence::{Counts, Outcome, Reason, Stage, VerdictEntry};
use sesamewind_protocol::{RouteId, VersionId};
use sesamewind_rollout::{EndState, RolloutEvent};

fn quote_fails(route: &str, number: u64) -> (EndState, u64) {
    if route == "quote" { failing(route, number) } else { good(route, number) }
}

fn one_in_twenty_fails(route: &str, number: u64) -> (EndState, u64) {
    seeded_fails::<0>(route, number)
}

/// One in twenty fails; which ones, `SEED` decides.
fn seeded_fails<const SEED: u64>(route: &str, number: u64) -> (EndState, u64) {
    if (number + SEED * 1_000_003).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32 < (1u64 << 32) / 20 {
        failing(route, number)
    } else {
        good(route, number)
    }
}

/// Runs until the record has an outcome, or for `seconds`. Returns the requests that reached the
/// new version.
fn until_ended(world: &mut World, seconds: u64, bad: Behaviour) -> u64 {
    let mut exposed = 0;
    for _ in 0..seconds {
        if world.outcome().is_some() {
            break;
        }
        exposed += world.run(1, 4, bad);
    }
    exposed
}

#[test]
fn bad_versions_are_taken_back() {
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
        let mut world = World::new(3, &[spec(60, 0.05)]);
        let exposed = until_ended(&mut world, 3_600, case.bad);
        let Some(Outcome::RolledBack { reason, route, counts, .. }) = world.outcome() else {
            panic!("{}: {:?}", case.name, world.record());
        };
        assert_eq!(reason.as_str(), case.reason, "{}", case.name);
        assert_eq!(route.clone(), case.route.map(RouteId::from), "{}", case.name);
        assert!(exposed <= case.exposed, "{}: {exposed} exposed", case.name);
        assert!(counts.new_bad >= 3 && counts.new_requests >= counts.new_bad, "{}", case.name);
        for number in 0..3 {
            assert_eq!(world.sent_new(number, 1_000), 0, "{}", case.name);
        }
    }
}

#[test]
fn good_version_completes() {
    let mut world = World::new(3, &[spec(60, 0.05)]);
    until_ended(&mut world, 3_700, good);
    assert_eq!(world.ended(), "completed");
    world.run(2, 1, good);
    assert_eq!(world.sent_new(1, 1_000), 1_000);
    let events = &world.nodes[1].events;
    let stages = events.iter().filter(|event| matches!(event, RolloutEvent::Staged { .. }));
    assert!(stages.count() >= 4, "{events:?}");
    assert!(events.iter().any(|event| event.kind() == "completed"), "{events:?}");
}

#[test]
fn brakes_without_the_store() {
    for cut in [false, true] {
        let mut world = World::new(6, &[spec(60, 0.2)]);
        while !matches!(world.stage(), Some(Stage::Step(0))) {
            world.run(1, 8, good);
        }
        world.run(3, 8, good);
        if cut {
            world.cut = Some(0);
        }
        world.store = StoreMode::Down;
        let mut seconds = 0;
        while world.nodes.iter().any(|node| node.rollouts.verdicts().is_empty()) {
            world.run(1, 8, failing);
            seconds += 1;
            assert!(seconds < 60, "cut {cut}: no verdict everywhere");
        }
        let sent: u64 = (0..6).map(|number| world.sent_new(number, 1_000)).sum();
        assert_eq!(sent, 0, "cut {cut}");
        assert_eq!(world.ended(), "none", "cut {cut}");
        world.store = StoreMode::Up;
        world.cut = None;
        world.run(30, 8, good);
        assert_eq!(world.ended(), "failing", "cut {cut}");
        assert_eq!(world.outcomes(), 1, "cut {cut}");
    }
}

#[test]
fn verdict_spreads_within_one_exchange_of_the_crossing() {
    let mut world = World::new(4, &[spec(60, 0.2)]);
    while !matches!(world.stage(), Some(Stage::Step(0))) {
        world.run(1, 8, good);
    }
    world.store = StoreMode::Down;
    let mut after = 0;
    for _ in 0..60 {
        let judged = world.nodes.iter().any(|node| !node.rollouts.verdicts().is_empty());
        let exposed = world.run(1, 8, failing);
        after += if judged { exposed } else { 0 };
    }
    assert_eq!(after, 0, "requests sent a second after the first verdict");
}

#[test]
fn verdicts_are_never_unlearned() {
    let mut world = World::new(3, &[spec(60, 0.2)]);
    while world.outcome().is_none() {
        world.run(1, 8, failing);
    }
    world.store = StoreMode::Down;
    world.restart(2);
    assert_eq!(world.nodes[2].rollouts.verdicts().len(), 0);
    world.gossip(1, 2);
    let learned = world.nodes[2].rollouts.verdicts();
    assert_eq!(learned[0].reason, Reason::Failing);
    world.run(600, 8, good);
    let moved = spec(120, 0.2);
    world.submit(&[moved]);
    world.run(60, 8, good);
    for number in 0..3 {
        assert_eq!(world.nodes[number].rollouts.verdicts().len(), 1);
        assert_eq!(world.sent_new(number, 1_000), 0);
    }
    assert_eq!(world.outcomes(), 1);
}

#[test]
fn late_turn_after_full_share_is_taken_back() {
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
        let mut world = World::new(3, &[spec(60, 0.05)]);
        while !matches!(world.stage(), Some(Stage::Full(_))) {
            world.run(1, 4, good);
        }
        world.run(1200, 4, good);
        world.store = case.store;
        let mut exposed = 0;
        while world.nodes.iter().any(|node| node.rollouts.verdicts().is_empty()) {
            exposed += world.run(1, 4, case.bad);
            assert!(exposed < 5_000, "{}", case.name);
        }
        assert!(exposed <= case.exposed, "{}: {exposed}", case.name);
        assert_eq!(world.sent_new(0, 1_000), 0, "{}", case.name);
        let holds_old =
            world.engines.values().all(|engine| engine.versions.contains(&VersionId::from("v1")));
        assert!(holds_old, "{}", case.name);
        world.store = StoreMode::Up;
        world.run(40, 4, good);
        assert_eq!(world.ended(), case.reason, "{}", case.name);
    }
}

fn one_in_four_fails(route: &str, number: u64) -> (EndState, u64) {
    if number.is_multiple_of(4) { failing(route, number) } else { good(route, number) }
}

/// Lets both versions have the same trouble for five minutes at full share, and then none.
fn check_common_trouble(trouble: Behaviour) {
    let mut world = World::new(3, &[spec(60, 0.05)]);
    while !matches!(world.stage(), Some(Stage::Full(_))) {
        world.run(1, 4, good);
    }
    // The recheck at a part of the requests shows that the old version fares no better.
    world.run_with_old(300, 8, trouble, trouble);
    let rechecked = world.history.iter().any(|record| matches!(record.stage, Stage::Recheck(_)));
    assert!(rechecked, "{:?}", world.history.last());
    until_ended(&mut world, 3_600, good);
    assert_eq!(world.ended(), "completed");
}

#[test]
fn slowness_of_both_versions_at_full_share_is_not_held_against_the_new_one() {
    check_common_trouble(slow);
}

#[test]
fn failures_of_both_versions_at_full_share_are_not_held_against_the_new_one() {
    check_common_trouble(one_in_four_fails);
}

#[test]
fn rare_failures_of_both_versions_at_full_share_are_not_held_against_the_new_one() {
    check_common_trouble(one_in_twenty_fails);
}

#[test]
fn rare_failures_of_both_versions_are_not_held_against_the_new_one_with_other_seeds() {
    check_common_trouble(seeded_fails::<1>);
    check_common_trouble(seeded_fails::<2>);
}

#[test]
fn evidence_merges_in_any_order_and_repeatedly() {
    let mut world = World::new(3, &[spec(60, 0.2)]);
    world.run(40, 8, good);
    let cells = world.nodes[0].rollouts.evidence();
    assert!(!cells.is_empty());
    let mut forward = World::new(1, &[spec(60, 0.2)]);
    let mut backward = World::new(1, &[spec(60, 0.2)]);
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
    let mut world = World::new(1, &[spec(60, 0.05)]);
    while !matches!(world.stage(), Some(Stage::Full(_))) {
        world.run(1, 4, good);
    }
    // Dispatched at full share, ending after a recheck began: no request of the old version could
    // end beside them.
    let sent = world.wall();
    while !matches!(world.stage(), Some(Stage::Recheck(_))) {
        world.run_with_old(1, 8, slow, slow);
    }
    world.run(5, 8, good);
    for number in 0..60 {
        world.end(0, "v2", sent, slow("reply", number));
    }
    world.run(20, 8, good);
    assert_eq!(world.nodes[0].rollouts.verdicts(), []);
}

#[test]
fn completed_rollout_counts_no_more() {
    let mut world = World::new(1, &[spec(12, 0.05)]);
    until_ended(&mut world, 800, good);
    let before = world.nodes[0].rollouts.evidence().len();
    world.run(20, 8, failing);
    assert_eq!(world.nodes[0].rollouts.evidence().len(), before);
    assert_eq!(world.nodes[0].rollouts.verdicts(), []);
    assert_eq!(world.sent_new(0, 100), 100);
}

#[test]
fn verdict_after_the_completion_never_sends_to_an_unloaded_version() {
    for unloaded in [false, true] {
        let mut world = World::new(3, &[spec(12, 0.05)]);
        until_ended(&mut world, 800, good);
        world.draining = (!unloaded).then_some(1);
        world.run(120, 4, good);
        let holds_old = world.engines[&target(0)].versions.contains(&VersionId::from("v1"));
        assert_eq!(holds_old, !unloaded);
        let late = VerdictEntry {
            rollout: id(),
            instance: instance(9),
            reason: Reason::Failing,
            route: None,
            counts: Counts::default(),
            at: world.wall(),
        };
        world.nodes[0].rollouts.learn_verdicts(std::slice::from_ref(&late));
        world.draining = None;
        world.run(120, 4, good);
        assert_eq!(world.engines[&target(0)].versions.contains(&VersionId::from("v1")), !unloaded);
        let expected = if unloaded { 100 } else { 0 };
        for number in 0..3 {
            assert_eq!(world.sent_new(number, 100), expected, "unloaded {unloaded}");
            let view = world.nodes[number].rollouts.view(world.wall());
            assert_eq!(view[0].verdict, Some(late.clone()));
        }
    }
}
