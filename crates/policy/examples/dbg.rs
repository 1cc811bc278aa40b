#[path = "../tests/support/mod.rs"]
mod support;
use support::fleet::{Policy, run};
use support::traces::{TROUBLES, mixed};
fn main() {
    let seed: u64 = std::env::args().nth(1).unwrap().parse().unwrap();
    let load: f64 = std::env::args().nth(2).unwrap().parse().unwrap();
    for t in TROUBLES {
        let o = run(&mixed(Policy::Sesamewind, t, load, seed));
        println!(
            "{t:?} tiers {:?} codes {:?} preempted {} resumed {} waste {:.3} engines {:?}",
            o.tiers,
            o.codes,
            o.preempted,
            o.resumed,
            o.waste(),
            o.by_engine
        );
        for (k, mut v) in o.first_ms {
            v.sort();
            println!(
                "   first {k:?} n {} p50 {} p95 {} p99 {} max {}",
                v.len(),
                v[v.len() / 2],
                v[v.len() * 95 / 100],
                v[v.len() * 99 / 100],
                v[v.len() - 1]
            );
        }
        println!("   speeds {:?}", o.speeds);
        println!("   late {:?}", o.late_at.len());
        println!("   low {:?}", o.low_by_5s);
    }
}
