//! Targets that fall over if they reject too many requests in a second.

use crate::brittle_fleet::{Plan, play};

/// Falls in one brittle time that the plays allow.
const MAX_FALLS: usize = 1;

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

#[test]
fn the_same_loads_fell_targets_that_do_not_state_it() {
    for (name, plan) in plans() {
        let report = play(&Plan { told: false, ..plan }, 0);
        println!("{name}: {report:?}");
    }
}

#[test]
fn room_of_brittle_targets_is_used() {
    let cases = [(1, 3), (1, 60), (6, 3), (6, 60), (33, 3), (33, 60)];
    for (instances, targets) in cases {
        let plan = Plan { instances, slots: vec![16; targets], ..Plan::default() };
        let report = play(&plan, 0);
        println!("{instances} {targets}: {report:?}");
        assert!(report.used >= MIN_USED, "{instances} instances, {targets} targets: {report:?}");
    }
}
