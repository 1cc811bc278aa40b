//! The leader: lease changes, frozen lease holders, lost responses, loads and unloads.

use sesamewind_protocol::evidence::Stage;
use sesamewind_protocol::{Time, VersionId};
use sesamewind_rollout::{
    Action, LEASE_LENGTH, LeaseGrant, ORDER_TIMEOUT, OrderKind, RolloutSpec, ViewState,
};

use crate::simulation::{Simulation, StoreMode, failing, good, id, spec, target};

/// Time between two faults.
const PERIOD_SECONDS: u64 = 70;

#[derive(Debug, Clone, Copy)]
enum Fault {
    /// The holder dies and is later replaced by an instance without state.
    Kill,
    /// The holder freezes until its lease has expired. When it resumes, its checks before sending
    /// stop the actions that it had decided on.
    Freeze,
    /// Like `Freeze`, but the holder froze after these checks.
    FreezeAfterChecks,
    /// A second instance also holds a lease, with the next fencing number.
    TwoHolders,
    /// A second instance also holds a lease, with the same fencing number.
    TwoHoldersSameFence,
    /// Writes take effect, but their responses are lost.
    LoseAnswers,
}

fn inject(sim: &mut Simulation, fault: Fault) {
    let Some((holder, _)) = sim.lease else { return };
    let other = (holder + 1) % sim.nodes.len();
    match fault {
        Fault::Kill => {
            sim.nodes[holder].alive = false;
            sim.run(30, 4, good);
            sim.restart(holder);
        }
        Fault::Freeze | Fault::FreezeAfterChecks => {
            sim.nodes[holder].frozen = true;
            sim.run(2, 4, good);
            sim.nodes[holder].alive = false;
            sim.run(20, 4, good);
            sim.nodes[holder].alive = true;
            sim.resume(holder, matches!(fault, Fault::FreezeAfterChecks));
        }
        Fault::TwoHolders | Fault::TwoHoldersSameFence => {
            let valid_until = sim.now() + 4 * LEASE_LENGTH;
            sim.fence += u64::from(matches!(fault, Fault::TwoHolders));
            sim.nodes[other].lease = Some(LeaseGrant { fence: sim.fence, valid_until });
        }
        Fault::LoseAnswers => {
            sim.store = StoreMode::LosesAnswers;
            sim.run(PERIOD_SECONDS / 2, 4, good);
            sim.store = StoreMode::Up;
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
        Case { name: "frozen after its checks", fault: Fault::FreezeAfterChecks },
        Case { name: "two holders", fault: Fault::TwoHolders },
        Case { name: "two holders with one number", fault: Fault::TwoHoldersSameFence },
        Case { name: "lost answers", fault: Fault::LoseAnswers },
    ];
    for case in cases {
        for checks in [true, false] {
            for phase in [5, 41] {
                let mut sim = Simulation::new(3, &[spec(12, 0.1)]);
                sim.engines.values_mut().for_each(|engine| engine.checks_fence = checks);
                sim.run(phase, 4, good);
                for _ in 0..9 {
                    inject(&mut sim, case.fault);
                    sim.run(PERIOD_SECONDS, 4, good);
                }
                sim.run(120, 4, good);
                let context = (case.name, checks, phase);
                assert_eq!(sim.outcome_name(), "completed", "{context:?}");
                assert_eq!(sim.outcome_count(), 1, "{context:?}");
                assert!(sim.has_ordered_stages(), "{context:?}: {:?}", sim.history);
                assert_eq!(sim.harmful_unloads, 0, "{context:?}");
                let old = VersionId::from("v1");
                let unloaded = sim.engines.values().all(|engine| !engine.versions.contains(&old));
                assert!(unloaded, "{context:?}");
            }
        }
    }
}

#[test]
fn late_unload_of_a_former_leader_harms_no_later_rollout() {
    let mut sim = Simulation::new(3, &[spec(30, 0.1)]);
    while sim.outcome().is_none() {
        sim.run(1, 4, failing);
    }
    assert_eq!(sim.outcome_name(), "failing");
    let holder = sim.lease.map_or(0, |(holder, _)| holder);
    sim.nodes[holder].frozen = true;
    while !sim.nodes[holder]
        .held_actions
        .iter()
        .any(|action| matches!(action, Action::Order { order: OrderKind::Unload, .. }))
    {
        sim.run(1, 4, good);
    }
    let second = RolloutSpec { id: "move-2".into(), ..spec(90, 0.1) };
    sim.submit(&[second]);
    sim.run(LEASE_LENGTH.as_secs() + 5, 4, good);
    sim.resume(holder, true);
    sim.run(120, 4, good);
    assert_eq!(sim.harmful_unloads, 0);
    let loaded = VersionId::from("v2");
    assert!(sim.engines.values().all(|engine| engine.versions.contains(&loaded)));
}

#[test]
fn loads_run_at_a_bounded_rate_and_in_time() {
    let mut many = spec(60, 0.1);
    many.targets = (0..40).map(target).collect();
    let mut sim = Simulation::new(2, &[many]);
    let engine = sim.engines[&target(0)].clone();
    sim.engines = (0..40).map(|number| (target(number), engine.clone())).collect();
    sim.load_ms = 20_000;
    sim.run(60, 4, good);
    let view = sim.nodes[0].rollouts.view(sim.wall());
    let ViewState::Running { waits, .. } = &view[0].state else { panic!("{view:?}") };
    assert!(waits.contains("engine-39"), "{waits}");
    sim.run(440, 4, good);
    assert!(sim.peak_loads <= 2, "{} at a time", sim.peak_loads);
    assert!(matches!(sim.stage(), Some(Stage::Step(_))), "{:?}", sim.stage());
}

#[test]
fn unreachable_target_does_not_stop_the_rollout() {
    let mut sim = Simulation::new(2, &[spec(30, 0.1)]);
    sim.engines.get_mut(&target(3)).expect("four targets").reachable = false;
    sim.run(31 * 60, 4, good);
    assert_eq!(sim.outcome_name(), "completed");
}

#[test]
fn old_version_stays_until_it_drained_and_all_reachable_instances_know() {
    let old = VersionId::from("v1");
    let holding = |sim: &Simulation| {
        sim.engines.values().filter(|engine| engine.versions.contains(&old)).count()
    };
    for own in [true, false] {
        let mut sim = Simulation::new(3, &[spec(12, 0.1)]);
        while sim.outcome().is_none() {
            sim.run(1, 4, good);
        }
        let holder = sim.lease.map_or(0, |(holder, _)| holder);
        let other = (holder + 1) % 3;
        sim.draining = Some(if own { holder } else { other });
        sim.run(120, 4, good);
        assert_eq!(holding(&sim), 4, "own {own}");
        // The new incarnation of a reachable instance has not reported what it knows; the previous
        // one had.
        sim.draining = None;
        sim.exchange(holder, other);
        sim.restart((holder + 2) % 3);
        for _ in 0..60 {
            sim.ms += 1000;
            sim.renew_lease();
            sim.tick(holder);
        }
        assert_eq!(holding(&sim), 4, "own {own}");
        sim.run(60, 4, good);
        assert_eq!(holding(&sim), 0, "own {own}");
        assert_eq!(sim.harmful_unloads, 0, "own {own}");
    }
}

#[test]
fn old_version_stays_while_a_counting_instance_is_cut_off() {
    let mut sim = Simulation::new(3, &[spec(12, 0.1)]);
    sim.run(300, 4, good);
    sim.cut_zone = Some(2);
    sim.run(600, 4, good);
    assert_eq!(sim.outcome_name(), "completed");
    let old = VersionId::from("v1");
    assert!(sim.engines.values().all(|engine| engine.versions.contains(&old)));
    sim.ms += 1800 * 1000;
    sim.run(120, 4, good);
    assert!(!sim.engines.values().any(|engine| engine.versions.contains(&old)));
}

#[test]
fn former_holder_writes_nothing_after_a_later_one_wrote() {
    let mut sim = Simulation::new(2, &[spec(12, 0.1)]);
    sim.run(20, 4, good);
    assert_eq!(sim.stage(), Some(Stage::Step(0)));
    let valid_until = sim.now() + 100 * LEASE_LENGTH;
    let fence = sim.fence;
    sim.fence += 1;
    sim.nodes[1].lease = Some(LeaseGrant { fence: sim.fence, valid_until });
    // Only the later holder reaches the next step, and the former one learns of it.
    sim.nodes[0].alive = false;
    while sim.stage() != Some(Stage::Step(1)) {
        sim.run(1, 4, good);
    }
    sim.nodes[0].alive = true;
    sim.exchange(0, 1);
    sim.nodes[0].lease = Some(LeaseGrant { fence, valid_until });
    sim.nodes[1].alive = false;
    let written = sim.history.len();
    sim.lease = None;
    for _ in 0..800 {
        sim.ms += 1000;
        sim.traffic(4, good, good);
        sim.tick(0);
    }
    assert_eq!(sim.history.len(), written);
}

#[test]
fn winner_is_loaded_before_the_loser_is_unloaded() {
    let mut sim = Simulation::new(3, &[spec(12, 0.1)]);
    let late_target = target(3);
    sim.engines.get_mut(&late_target).expect("four targets").reachable = false;
    while sim.outcome().is_none() {
        sim.run(1, 4, good);
    }
    sim.engines.get_mut(&late_target).expect("four targets").reachable = true;
    sim.run(120, 4, good);
    for (name, engine) in &sim.engines {
        assert_eq!(engine.versions.len(), 1, "{name}");
        let old = engine.versions.contains(&VersionId::from("v1"));
        assert_eq!(old, *name == late_target, "{name}");
    }
}

#[test]
fn new_leader_waits_before_it_unloads() {
    let mut sim = Simulation::new(3, &[spec(12, 0.1)]);
    while sim.outcome().is_none() {
        sim.run(1, 4, good);
    }
    let unloads = |sim: &Simulation| {
        sim.orders.iter().filter(|(_, _, order)| *order == OrderKind::Unload).count()
    };
    sim.draining = Some(0);
    sim.run(5, 4, good);
    let holder = sim.lease.map_or(0, |(holder, _)| holder);
    sim.nodes[holder].alive = false;
    sim.draining = None;
    while sim.lease.is_none_or(|(now, _)| now == holder) {
        sim.run(1, 4, good);
    }
    let taken_over: Time = sim.now();
    while unloads(&sim) == 0 {
        sim.run(1, 4, good);
        assert!(sim.now().since(taken_over).as_secs() < 600, "never unloaded");
    }
    let waited = sim.now().since(taken_over);
    assert!(waited >= LEASE_LENGTH + ORDER_TIMEOUT, "{waited:?}");
    assert_eq!(sim.nodes[1].rollouts.view(sim.wall())[0].id, id());
}
