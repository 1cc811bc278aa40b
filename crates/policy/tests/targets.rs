//! Selection of targets compared with two baselines, on a small deterministic fleet.

mod support;

use sesamewind_policy::{AttemptOutcome, Event};
use sesamewind_protocol::Incarnation;
use sesamewind_protocol::target::LoadReport;

use support::fleet::{Outcome, Policy, run};
use support::setups::{mixed_lengths, mixed_speeds, slowing, steady};
use support::traces::{SCENARIOS, Scenario, mixed};
use support::{LOW, arrival, at, config, dispatched, instance, scheduler, step, wall};

const BASELINES: [Policy; 2] = [Policy::LeastInflight, Policy::RoundRobin];

fn percentile(outcome: &Outcome, share: f64) -> u64 {
    let mut times = outcome.first_ms[&(0, false)].clone();
    times.sort_unstable();
    times[((times.len() - 1) as f64 * share) as usize]
}

#[test]
fn top_tier_beats_both_baselines_in_every_scenario() {
    for scenario in SCENARIOS {
        let ours = run(&mixed(Policy::Sesamewind, scenario, 1.0, 1));
        assert_eq!(ours.shed_while_lower, 0, "{scenario:?}");
        assert_eq!(ours.false_not_run, 0, "{scenario:?}");
        for baseline in BASELINES {
            let theirs = run(&mixed(baseline, scenario, 1.0, 1)).goodput(0);
            let got = ours.goodput(0);
            assert!(got > 1.15 * theirs, "{scenario:?}: {got} against {theirs} of {baseline:?}");
        }
    }
}

#[test]
fn load_that_fits_is_answered_in_time() {
    let outcome = run(&mixed(Policy::Sesamewind, Scenario::None, 0.7, 1));
    assert!(outcome.goodput(0) >= 0.99, "reply {}", outcome.goodput(0));
    assert!(outcome.goodput(1) >= 0.99, "quote {}", outcome.goodput(1));
    assert!(outcome.goodput(LOW) >= 0.99, "tag {}", outcome.goodput(LOW));
    assert!(outcome.waste() < 0.05, "waste {}", outcome.waste());
}

#[test]
fn stale_reports_do_not_overload_one_target() {
    for seed in 1..=3 {
        let outcome = run(&steady(Policy::Sesamewind, seed));
        assert!(outcome.peak_to_mean < 1.5, "seed {seed}: {}", outcome.peak_to_mean);
        assert!(outcome.goodput(0) > 0.99);
    }
}

#[test]
fn slower_generation_gets_work_in_proportion() {
    let outcome = run(&mixed_speeds(Policy::Sesamewind, 1));
    let fast: u32 = outcome.by_engine[..3].iter().sum();
    let slow: u32 = outcome.by_engine[3..].iter().sum();
    let ratio = f64::from(fast) / f64::from(slow);
    assert!((2.0..=4.5).contains(&ratio), "{:?}", outcome.by_engine);
    let blind = run(&mixed_speeds(Policy::RoundRobin, 1));
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
fn short_requests_do_not_wait_behind_long_ones() {
    let ours = percentile(&run(&mixed_lengths(Policy::Sesamewind, 1)), 0.95);
    assert!(ours < 250, "{ours} ms");
    let theirs = percentile(&run(&mixed_lengths(Policy::LeastInflight, 1)), 0.95);
    assert!(theirs > 4 * ours, "{theirs} ms");
}

/// The limit of an engine that runs 16 requests at once is detected from the requests that wait in
/// it over several reports.
#[test]
fn batch_limit_is_found_from_reports() {
    for (waiting, level, want) in [(4, true, 16), (0, true, 24), (4, false, 24)] {
        let mut node = scheduler(&config(1), instance("a", 1));
        let mut running: Vec<u64> = Vec::new();
        for ticket in 1..=24 {
            let now = at(ticket * 30);
            let actions = step(&mut node, Event::Arrive(arrival(ticket, ticket, now)), now);
            running.extend(dispatched(&actions).iter().map(|(ticket, _)| ticket));
            step(&mut node, Event::WriteCheck { ticket }, now);
            step(&mut node, Event::Accepted { ticket }, now);
            step(&mut node, Event::Tokens { ticket, n: 1 }, now);
        }
        assert_eq!(running.len(), 24);
        for round in 0..3 {
            let now = at(800 + round * 250);
            let report = LoadReport {
                target: "engine-0".into(),
                incarnation: Incarnation(1),
                measured: wall(now),
                waiting,
                running: if level { 16 } else { 12 + 3 * round as u32 },
                prefill_tokens: 200,
                versions: vec!["v1".into()],
                leaving: false,
            };
            step(&mut node, Event::TargetReport(&report), now);
        }
        // For each request that ends, another arrives. The target keeps as many as it runs at once.
        let now = at(1_400);
        for ticket in 25..=60 {
            let done = running.remove(0);
            let end = AttemptOutcome::Complete;
            let mut actions = step(&mut node, Event::Finished { ticket: done, end }, now);
            actions.extend(step(&mut node, Event::Arrive(arrival(ticket, ticket, now)), now));
            running.extend(dispatched(&actions).iter().map(|(ticket, _)| ticket));
            for ticket in running.clone() {
                step(&mut node, Event::WriteCheck { ticket }, now);
                step(&mut node, Event::Accepted { ticket }, now);
                step(&mut node, Event::Tokens { ticket, n: 1 }, now);
            }
        }
        assert_eq!(running.len(), want, "waiting {waiting}, level {level}");
    }
}
