//! Compares the rules for verdicts in seeded simulations at the request rates of two users.
//!
//! `cargo run --release -p sesamewind-rollout --example verdict_study -- [SEEDS] [FIRST] [RULE] [USER]`
//! prints the tables of `docs/design/rollouts.md`. Each run drives the whole crate: a sheet row,
//! load orders, stages, local halt and outcome. Only the requests and the engines are simulated.

mod bound;
mod cases;
mod run;
mod traffic;

use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use cases::{CASES, Case, USERS, User};
use run::{Outcome, run};
use sesamewind_rollout::rule::{FixedThresholds, GammaPoisson, MaxSprt, Rule};

/// Threads that share the runs.
const THREADS: usize = 4;
/// Default number of seeds per case.
const SEEDS: u64 = 200;

type MakeRule = fn() -> Box<dyn Rule + Send + Sync>;

const RULES: [(&str, MakeRule); 9] = [
    ("thresholds ratio 3", || Box::new(FixedThresholds { ratio: 3.0, ..Default::default() })),
    ("thresholds ratio 4", || Box::new(FixedThresholds::default())),
    ("thresholds ratio 6", || Box::new(FixedThresholds { ratio: 6.0, ..Default::default() })),
    ("maxsprt 3.5", || Box::new(MaxSprt { critical: 3.5, ..Default::default() })),
    ("maxsprt 4.5", || Box::new(MaxSprt::default())),
    ("maxsprt 6", || Box::new(MaxSprt { critical: 6.0, ..Default::default() })),
    ("gamma-poisson 0.01", || Box::new(GammaPoisson { max_posterior: 0.01, ..Default::default() })),
    ("gamma-poisson 0.001", || Box::new(GammaPoisson::default())),
    ("gamma-poisson flat 0.001", || {
        Box::new(GammaPoisson { shape: 0.5, rate: 0.1, ..Default::default() })
    }),
];

fn main() {
    let mut arguments = std::env::args().skip(1);
    let seeds = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(SEEDS);
    let first = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(0);
    let rule = arguments.next().unwrap_or_default();
    let user = arguments.next().unwrap_or_default();
    for user in USERS.iter().filter(|known| user.is_empty() || known.name == user) {
        for (name, make) in
            RULES.iter().filter(|known| rule.is_empty() || known.0.starts_with(&rule))
        {
            println!(
                "\n{} at {} requests per hour, {} h: {name}",
                user.name, user.per_hour, user.hours
            );
            println!(
                "| case | rolled back | before full share | completed | rolled back otherwise \
                 | exposed median | exposed 95th |"
            );
            println!("|---|---|---|---|---|---|---|");
            for case in &CASES {
                report(case, &runs(case, user, *make, first..first + seeds));
            }
        }
    }
    bound::print();
}

fn runs(case: &Case, user: &User, make: MakeRule, seeds: Range<u64>) -> Vec<Outcome> {
    let next = AtomicU64::new(seeds.start);
    let outcomes = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        break;
                    }
                    let outcome = run(case, user, make(), seed);
                    outcomes.lock().expect("no run panics").push(outcome);
                }
            });
        }
    });
    outcomes.into_inner().expect("no run panics")
}

fn report(case: &Case, outcomes: &[Outcome]) {
    let count = |keep: fn(&&Outcome) -> bool| outcomes.iter().filter(keep).count();
    let judged = count(|outcome| outcome.judged);
    let before = count(|outcome| outcome.judged && !outcome.full);
    let completed = count(|outcome| outcome.completed);
    let otherwise = outcomes.len() - completed - judged;
    let mut exposed: Vec<u64> =
        outcomes.iter().filter(|outcome| outcome.judged).map(|outcome| outcome.exposed).collect();
    exposed.sort_unstable();
    let quantile = |fraction: f64| {
        let index = (exposed.len() as f64 * fraction) as usize;
        exposed.get(index.min(exposed.len().saturating_sub(1))).map_or("-".into(), u64::to_string)
    };
    println!(
        "| {} | {judged} | {before} | {completed} | {otherwise} | {} | {} |",
        case.name,
        quantile(0.5),
        quantile(0.95),
    );
}
