//! The share of requests that goes to the new version.

use crate::simulation::{SERVICE, Simulation, good, id, key, spec};
use sesamewind_protocol::evidence::Stage;
use sesamewind_protocol::{RouteId, ServiceId};

const SAMPLES: u64 = 2_000;

#[test]
fn no_instance_exceeds_the_recorded_share() {
    let mut sim = Simulation::new(6, &[spec(60, 0.05)]);
    let mut steps = 0;
    for second in 0..1500 {
        if second == 40 {
            sim.cut_zone = Some(1);
        }
        if second == 400 {
            sim.cut_zone = None;
        }
        if second % 97 == 0 {
            sim.restart(second % 6);
        }
        sim.run(1, 4, good);
        let recorded = sim.record().map_or(0.0, |record| record.share);
        steps += usize::from(matches!(sim.stage(), Some(Stage::Step(_))));
        if second % 50 == 0 {
            for number in 0..6 {
                let share = sim.requests_to_new(number, SAMPLES) as f64 / SAMPLES as f64;
                let error = 4.0 * (recorded * (1.0 - recorded) / SAMPLES as f64).sqrt();
                assert!(share <= recorded + error, "{share} over {recorded} at {second} s");
            }
        }
    }
    assert!(steps > 100, "{steps} s in steps");
    assert!(matches!(sim.stage(), Some(Stage::Full(_))), "{:?}", sim.stage());
}

#[test]
fn instances_agree_on_each_request() {
    let mut sim = Simulation::new(4, &[spec(60, 0.1)]);
    sim.run(90, 4, good);
    assert!(matches!(sim.stage(), Some(Stage::Step(_))));
    let (service, route) = (ServiceId::from(SERVICE), RouteId::from("quote"));
    let mut new = 0;
    for number in 0..2_000 {
        let chosen: Vec<_> = sim
            .nodes
            .iter()
            .map(|node| node.rollouts.version_for(&service, &route, &key(number), sim.wall()))
            .collect();
        assert!(chosen.windows(2).all(|pair| pair[0] == pair[1]), "request {number}");
        new += usize::from(chosen[0].as_ref().is_some_and(|version| version.as_str() == "v2"));
    }
    assert!(new > 100, "{new} of 2000 at the new version");
}

#[test]
fn first_step_never_exceeds_the_sheet() {
    for share in [0.01, 0.2, 0.9] {
        let mut sim = Simulation::new(2, &[spec(60, share)]);
        while sim.stage() != Some(Stage::Step(0)) {
            sim.run(1, 1, good);
        }
        let record = sim.record().expect("the stage is recorded");
        assert!(record.share > 0.0 && record.share <= share, "{} for {share}", record.share);
    }
}

#[test]
fn services_without_rollout_are_unaffected() {
    let sim = Simulation::new(1, &[spec(60, 0.1)]);
    let (service, route) = (ServiceId::from("payments"), RouteId::from("POST /charge"));
    let rollouts = &sim.nodes[0].rollouts;
    assert_eq!(rollouts.version_for(&service, &route, &key(1), sim.wall()), None);
    assert_eq!(rollouts.view(sim.wall())[0].id, id());
}
