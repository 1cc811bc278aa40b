//! Requests that end the engines that answer them.

use crate::crash_fleet::{Culprit, Form, Plan, Report, play};

/// Requests that may reach engines later than allowed.
const LATE_BOUND: usize = 3;

/// Fraction of the usual share of sound requests that must begin at the first attempt.
const BEGUN_FRACTION: f64 = 0.5;

/// Seeds of each case.
const SEEDS: std::ops::Range<u64> = 1..9;

fn culprit(form: Form, rate: f64) -> Culprit {
    Culprit { form, rate, during: 5_000..30_000 }
}

fn plan(culprits: Vec<Culprit>) -> Plan {
    Plan { culprits, length: 35_000, ..Plan::default() }
}

fn assert_held_back(name: &str, seed: u64, report: &Report) {
    for ends in &report.ends {
        assert!(ends.late <= LATE_BOUND, "{name}, seed {seed}: {ends:?}");
    }
    let usual = report.before.begun_share();
    assert!(usual > 0.9, "{name}, seed {seed}: {report:?}");
    let (after, all) = (report.after, report.all);
    let is_served = after.asked < 20 || after.begun_share() >= BEGUN_FRACTION * usual;
    assert!(is_served, "{name}, seed {seed}: {after:?} {all:?}");
}

#[test]
fn a_prompt_part_that_crashes_engines_is_held_back() {
    struct Case {
        name: &'static str,
        plan: Plan,
    }
    let part = |position, rate| vec![culprit(Form::Part(position), rate)];
    let cases = [
        Case { name: "first part", plan: plan(part(0, 1.5)) },
        Case { name: "second part", plan: plan(part(1, 1.5)) },
        Case { name: "last but one, often", plan: plan(part(3, 6.0)) },
        Case { name: "seldom", plan: plan(part(2, 0.5)) },
        Case {
            name: "two at a time",
            plan: plan(vec![culprit(Form::Part(2), 1.0), culprit(Form::Part(1), 2.0)]),
        },
        Case {
            name: "beside other ends",
            plan: Plan {
                crashes: vec![6_000, 8_000, 9_000, 9_010, 12_000, 20_000],
                ..plan(part(2, 1.5))
            },
        },
    ];
    for Case { name, plan } in &cases {
        for seed in SEEDS {
            assert_held_back(name, seed, &play(plan, seed));
        }
    }
}

#[test]
fn a_request_that_crashes_engines_is_held_back() {
    for rate in [0.5, 1.5, 4.0] {
        let plan = plan(vec![culprit(Form::Whole, rate)]);
        for seed in SEEDS {
            assert_held_back(&format!("{rate} a second"), seed, &play(&plan, seed));
        }
    }
}

#[test]
fn an_instance_that_starts_or_was_cut_off_holds_back_what_others_do() {
    struct Case {
        name: &'static str,
        plan: Plan,
    }
    let parts = || plan(vec![culprit(Form::Part(2), 2.0)]);
    let cases = [
        Case {
            name: "restarts in turn",
            plan: Plan {
                restarts: (0..8).map(|n| (10_000 + 1_500 * n, n as usize)).collect(),
                ..parts()
            },
        },
        Case {
            name: "all restart at once, three times",
            plan: Plan {
                restarts: (0..24).map(|n| (10_000 + 6_000 * (n / 8), n as usize % 8)).collect(),
                ..plan(vec![culprit(Form::Part(2), 1.0)])
            },
        },
        Case {
            name: "three cut off",
            plan: Plan { cuts: (0..3).map(|n| (6_000..15_000, n)).collect(), ..parts() },
        },
    ];
    for Case { name, plan } in &cases {
        for seed in SEEDS {
            assert_held_back(name, seed, &play(plan, seed));
        }
    }
}
