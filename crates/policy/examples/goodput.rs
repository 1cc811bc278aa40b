//! Prints goodput and wasted prefill of the scheduler and two baselines on synthetic traffic.
//!
//! `cargo run --release -p sesamewind-policy --example goodput [seeds] [load]`

#[path = "../tests/support/mod.rs"]
mod support;

use support::fleet::{Outcome, Policy, run};
use support::traces::{SCENARIOS, mixed};

fn main() {
    let mut args = std::env::args().skip(1);
    let seeds: u64 = args.next().and_then(|arg| arg.parse().ok()).unwrap_or(10);
    let load: f64 = args.next().and_then(|arg| arg.parse().ok()).unwrap_or(1.0);
    println!("load {load}, seeds 1 to {seeds}: minimum and median");
    for scenario in SCENARIOS {
        for policy in [Policy::Sesamewind, Policy::LeastInflight, Policy::RoundRobin] {
            let outcomes: Vec<Outcome> =
                (1..=seeds).map(|seed| run(&mixed(policy, scenario, load, seed))).collect();
            let of = |pick: &dyn Fn(&Outcome) -> f64| {
                let mut values: Vec<f64> = outcomes.iter().map(pick).collect();
                values.sort_by(f64::total_cmp);
                (values[0], values[values.len() / 2], values[values.len() - 1])
            };
            let tiers: Vec<String> = (0..3)
                .map(|rank| {
                    let (least, median, _) = of(&|outcome| outcome.goodput(rank) * 100.0);
                    format!("{least:5.1}/{median:5.1}")
                })
                .collect();
            let (_, waste, most) = of(&|outcome| outcome.waste() * 100.0);
            let shed: u32 = outcomes.iter().map(|outcome| outcome.shed_while_lower).sum();
            let late: u32 = outcomes.iter().map(|outcome| outcome.late_while_lower).sum();
            let false_not_run: u32 = outcomes.iter().map(|outcome| outcome.false_not_run).sum();
            let (_, peak, _) = of(&|outcome| outcome.peak_to_mean);
            println!(
                "{:16} {:14} reply {} quote {} tag {} waste {waste:4.1} (max {most:4.1}) peak {peak:4.2} shed {shed} late {late} false not-run {false_not_run}",
                format!("{scenario:?}"),
                format!("{policy:?}"),
                tiers[0],
                tiers[1],
                tiers[2],
            );
        }
    }
}
