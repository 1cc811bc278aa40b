//! Prints the effect of single mechanisms compared with two baselines.
//!
//! `cargo run --release -p sesamewind-policy --example mechanisms [seeds]`

#[path = "../tests/support/mod.rs"]
mod support;

use support::fleet::{Outcome, Policy, run};
use support::setups::{
    account_burst, batched, burst, burst_with_freeze, limited, mixed_lengths, mixed_speeds,
    slowing, steady,
};

const POLICIES: [Policy; 3] = [Policy::Sesamewind, Policy::LeastInflight, Policy::RoundRobin];

fn first(outcome: &Outcome, share: f64) -> u64 {
    let mut times = outcome.first_ms.get(&(0, false)).cloned().unwrap_or_default();
    times.sort_unstable();
    times[((times.len() - 1) as f64 * share) as usize]
}

fn main() {
    let seeds: u64 = std::env::args().nth(1).and_then(|arg| arg.parse().ok()).unwrap_or(3);
    for seed in 1..=seeds {
        println!("seed {seed}");
        for policy in POLICIES {
            let outcome = run(&steady(policy, seed));
            println!("  stale load    {policy:?}: peak to mean {:.2}", outcome.peak_to_mean);
        }
        for policy in POLICIES {
            let outcome = run(&mixed_speeds(policy, seed));
            let good = outcome.goodput(0) * 100.0;
            println!("  mixed speeds  {policy:?}: in time {good:.1}%, {:?}", outcome.by_engine);
        }
        for policy in POLICIES {
            let outcome = run(&mixed_lengths(policy, seed));
            let (p50, p95) = (first(&outcome, 0.5), first(&outcome, 0.95));
            println!("  short first token {policy:?}: p50 {p50} ms, p95 {p95} ms");
        }
        for policy in POLICIES {
            let outcome = run(&burst(policy, seed));
            println!(
                "  burst         {policy:?}: urgent {:.1}% background {:.1}% shed {} late {} preempted {} waste {:.1}%",
                outcome.goodput(0) * 100.0,
                outcome.goodput(2) * 100.0,
                outcome.shed_while_lower,
                outcome.late_while_lower,
                outcome.preempted,
                outcome.waste() * 100.0
            );
        }
        for policy in POLICIES {
            let outcome = run(&batched(policy, seed));
            println!("  batch limit   {policy:?}: urgent {:.1}%", outcome.goodput(0) * 100.0);
        }
        let frozen = run(&burst_with_freeze(seed));
        println!(
            "  burst, frozen: urgent {:.1}% shed {} late {}",
            frozen.goodput(0) * 100.0,
            frozen.shed_while_lower,
            frozen.late_while_lower
        );
        for policy in POLICIES {
            let (alone, beside) =
                (run(&account_burst(false, policy, seed)), run(&account_burst(true, policy, seed)));
            let (alone, beside) = (alone.account("a") * 100.0, beside.account("a") * 100.0);
            println!(
                "  account burst {policy:?}: usual account {alone:.1}% alone, {beside:.1}% beside"
            );
        }
        for entry in [None, Some(0)] {
            let rate = run(&limited(entry, seed)).tokens["a"] as f64 / 30.0;
            println!("  limit 10000/s entry {entry:?}: {rate:.0} tokens/s");
        }
        let speeds = run(&slowing(seed)).speeds;
        println!("  speeds (truth 5333, 16000 x 3): {:.0?}", &speeds[..4]);
    }
}
