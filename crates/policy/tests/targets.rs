//! Choice of targets against two baselines, on a small deterministic fleet.

mod support;

use support::LOW;
use support::fleet::{Outcome, Policy, run};
use support::setups::{lengths, slowing, steady, unlike};
use support::traces::{TROUBLES, Trouble, mixed};

const BASELINES: [Policy; 2] = [Policy::LeastInflight, Policy::RoundRobin];

fn percentile(outcome: &Outcome, share: f64) -> u64 {
    let mut times = outcome.first_ms[&(0, false)].clone();
    times.sort_unstable();
    times[((times.len() - 1) as f64 * share) as usize]
}

#[test]
fn top_tier_beats_both_baselines_under_every_trouble() {
    for trouble in TROUBLES {
        let ours = run(&mixed(Policy::Sesamewind, trouble, 1.0, 1));
        assert_eq!(ours.shed_while_lower, 0, "{trouble:?}");
        assert_eq!(ours.false_not_run, 0, "{trouble:?}");
        for baseline in BASELINES {
            let theirs = run(&mixed(baseline, trouble, 1.0, 1)).goodput(0);
            let got = ours.goodput(0);
            assert!(got > 1.15 * theirs, "{trouble:?}: {got} against {theirs} of {baseline:?}");
        }
    }
}

#[test]
fn load_that_fits_is_answered_in_time() {
    let outcome = run(&mixed(Policy::Sesamewind, Trouble::None, 0.7, 1));
    assert!(outcome.goodput(0) >= 0.99, "reply {}", outcome.goodput(0));
    assert!(outcome.goodput(1) >= 0.99, "quote {}", outcome.goodput(1));
    assert!(outcome.goodput(LOW) >= 0.99, "tag {}", outcome.goodput(LOW));
    assert!(outcome.waste() < 0.05, "waste {}", outcome.waste());
}

#[test]
fn stale_reports_do_not_pile_work_on_one_target() {
    for seed in 1..=3 {
        let outcome = run(&steady(Policy::Sesamewind, seed));
        assert!(outcome.peak_to_mean < 1.5, "seed {seed}: {}", outcome.peak_to_mean);
        assert!(outcome.goodput(0) > 0.99);
    }
}

#[test]
fn slower_generation_gets_work_in_proportion() {
    let outcome = run(&unlike(Policy::Sesamewind, 1));
    let fast: u32 = outcome.by_engine[..3].iter().sum();
    let slow: u32 = outcome.by_engine[3..].iter().sum();
    let ratio = f64::from(fast) / f64::from(slow);
    assert!((2.0..=4.5).contains(&ratio), "{:?}", outcome.by_engine);
    let blind = run(&unlike(Policy::RoundRobin, 1));
    assert!(outcome.goodput(0) > 1.15 * blind.goodput(0), "{}", outcome.goodput(0));
}

#[test]
fn slow_down_is_learned() {
    let speeds = run(&slowing(1)).speeds;
    let (slowed, others) = (speeds[0], &speeds[1..4]);
    assert!(slowed < 10_000.0, "truth 5333, learned {slowed}");
    assert!(others.iter().all(|speed| (11_000.0..22_000.0).contains(speed)), "{others:?}");
}

#[test]
fn short_requests_do_not_stand_behind_long_ones() {
    let ours = percentile(&run(&lengths(Policy::Sesamewind, 1)), 0.95);
    assert!(ours < 250, "{ours} ms");
    let theirs = percentile(&run(&lengths(Policy::LeastInflight, 1)), 0.95);
    assert!(theirs > 4 * ours, "{theirs} ms");
}
