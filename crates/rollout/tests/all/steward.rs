//! The steward: take-overs, frozen holders, lost answers, loading and unloading.

use sesamewind_protocol::evidence::Stage;
use sesamewind_protocol::{Time, VersionId};
use sesamewind_rollout::{
    Action, LEASE_LENGTH, LeaseGrant, ORDER_TIMEOUT, OrderKind, RolloutSpec, ViewState,
};

use crate::world::{StoreMode, World, failing, good, id, spec, target};

/// Seconds from one disturbance to the next.
const PERIOD: u64 = 70;

#[derive(Debug, Clone, Copy)]
enum Fault {
    /// The holder dies and comes back empty later.
    Kill,
    /// The holder freezes past its lease; on waking its checks stop what it had decided.
    Freeze,
    /// As before, but it froze after the checks.
    FreezeLate,
    /// A second instance believes that it holds the lease, with the next fencing number.
    Two,
    /// The second one has the same fencing number.
    TwoAlike,
    /// Answers to writes are lost after they took effect.
    LoseAnswers,
}

fn disturb(world: &mut World, fault: Fault) {
    let Some((holder, _)) = world.lease else { return };
    let other = (holder + 1) % world.nodes.len();
    match fault {
        Fault::Kill => {
            world.nodes[holder].alive = false;
            world.run(30, 4, good);
            world.restart(holder);
        }
        Fault::Freeze | Fault::FreezeLate => {
            world.nodes[holder].holds = true;
            world.run(2, 4, good);
            world.nodes[holder].alive = false;
            world.run(20, 4, good);
            world.nodes[holder].alive = true;
            world.wake(holder, matches!(fault, Fault::FreezeLate));
        }
        Fault::Two | Fault::TwoAlike => {
            let valid_until = world.now() + 4 * LEASE_LENGTH;
            world.fence += u64::from(matches!(fault, Fault::Two));
            world.nodes[other].lease = Some(LeaseGrant { fence: world.fence, valid_until });
        }
        Fault::LoseAnswers => {
            world.store = StoreMode::LosesAnswers;
            world.run(PERIOD / 2, 4, good);
            world.store = StoreMode::Up;
        }
    }
}

#[test]
fn one_outcome_under_every_fault() {
    struct Case {
        name: &'static str,
        fault: Fault,
    }
    let cases = [
        Case { name: "killed", fault: Fault::Kill },
        Case { name: "frozen", fault: Fault::Freeze },
        Case { name: "frozen after its checks", fault: Fault::FreezeLate },
        Case { name: "two holders", fault: Fault::Two },
        Case { name: "two holders with one number", fault: Fault::TwoAlike },
        Case { name: "lost answers", fault: Fault::LoseAnswers },
    ];
    for case in cases {
        for checks in [true, false] {
            for phase in [5, 23, 41] {
                let mut world = World::new(3, &[spec(12, 0.1)]);
                world.engines.values_mut().for_each(|engine| engine.checks = checks);
                world.run(phase, 4, good);
                for _ in 0..9 {
                    disturb(&mut world, case.fault);
                    world.run(PERIOD, 4, good);
                }
                world.run(120, 4, good);
                let context = (case.name, checks, phase);
                assert_eq!(world.ended(), "completed", "{context:?}");
                assert_eq!(world.outcomes(), 1, "{context:?}");
                assert!(world.stages_in_order(), "{context:?}: {:?}", world.history);
                assert_eq!(world.harmful, 0, "{context:?}");
                let old = VersionId::from("v1");
                let unloaded = world.engines.values().all(|engine| !engine.versions.contains(&old));
                assert!(unloaded, "{context:?}");
            }
        }
    }
}

#[test]
fn late_unload_of_a_former_steward_harms_no_later_rollout() {
    let mut world = World::new(3, &[spec(30, 0.1)]);
    while world.outcome().is_none() {
        world.run(1, 4, failing);
    }
    assert_eq!(world.ended(), "failing");
    let holder = world.lease.map_or(0, |(holder, _)| holder);
    world.nodes[holder].holds = true;
    while !world.nodes[holder]
        .held
        .iter()
        .any(|action| matches!(action, Action::Order { order: OrderKind::Unload, .. }))
    {
        world.run(1, 4, good);
    }
    let again = RolloutSpec { id: "move-2".into(), ..spec(90, 0.1) };
    world.submit(&[again]);
    world.run(LEASE_LENGTH.as_secs() + 5, 4, good);
    world.wake(holder, true);
    world.run(120, 4, good);
    assert_eq!(world.harmful, 0);
    let loaded = VersionId::from("v2");
    assert!(world.engines.values().all(|engine| engine.versions.contains(&loaded)));
}

#[test]
fn loads_run_at_a_bounded_rate_and_in_time() {
    let mut many = spec(60, 0.1);
    many.targets = (0..40).map(target).collect();
    let mut world = World::new(2, &[many]);
    let engine = world.engines[&target(0)].clone();
    world.engines = (0..40).map(|number| (target(number), engine.clone())).collect();
    world.load_ms = 20_000;
    world.run(60, 4, good);
    let view = world.nodes[0].rollouts.view(world.wall());
    let ViewState::Running { waits, .. } = &view[0].state else { panic!("{view:?}") };
    assert!(waits.contains("engine-39"), "{waits}");
    world.run(440, 4, good);
    assert!(world.most_loading <= 2, "{} at a time", world.most_loading);
    assert!(matches!(world.stage(), Some(Stage::Step(_))), "{:?}", world.stage());
}

#[test]
fn a_target_that_cannot_be_reached_does_not_stop_the_move() {
    let mut world = World::new(2, &[spec(30, 0.1)]);
    world.engines.get_mut(&target(3)).expect("four targets").reachable = false;
    world.run(31 * 60, 4, good);
    assert_eq!(world.ended(), "completed");
}

#[test]
fn old_version_stays_until_all_reachable_instances_know() {
    let old = VersionId::from("v1");
    let mut world = World::new(3, &[spec(12, 0.1)]);
    while world.outcome().is_none() {
        world.run(1, 4, good);
    }
    world.in_flight_old = 1;
    world.run(120, 4, good);
    assert!(world.engines.values().all(|engine| engine.versions.contains(&old)));
    world.in_flight_old = 0;
    // A new life of a reachable instance has not said yet what it knows; the former life had.
    world.restart(2);
    for _ in 0..60 {
        world.ms += 1000;
        world.renew();
        world.tick(0);
    }
    assert!(world.engines.values().all(|engine| engine.versions.contains(&old)));
    world.run(60, 4, good);
    assert!(!world.engines.values().any(|engine| engine.versions.contains(&old)));
    assert_eq!(world.harmful, 0);
}

#[test]
fn new_steward_waits_before_it_unloads() {
    let mut world = World::new(3, &[spec(12, 0.1)]);
    while world.outcome().is_none() {
        world.run(1, 4, good);
    }
    let unloads = |world: &World| {
        world.orders.iter().filter(|(_, _, order)| *order == OrderKind::Unload).count()
    };
    world.in_flight_old = 1;
    world.run(5, 4, good);
    let holder = world.lease.map_or(0, |(holder, _)| holder);
    world.nodes[holder].alive = false;
    world.in_flight_old = 0;
    while world.lease.is_none_or(|(now, _)| now == holder) {
        world.run(1, 4, good);
    }
    let taken: Time = world.now();
    while unloads(&world) == 0 {
        world.run(1, 4, good);
        assert!(world.now().since(taken).as_secs() < 600, "never unloaded");
    }
    let waited = world.now().since(taken);
    assert!(waited >= LEASE_LENGTH + ORDER_TIMEOUT, "{waited:?}");
    assert_eq!(world.nodes[1].rollouts.view(world.wall())[0].id, id());
}
