//! Scratch.
#[path = "../tests/support/mod.rs"]
mod support;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::fleet::*;
use support::traces::*;
use support::*;
fn setup(engines: Vec<Spec>, asks: Vec<Ask>, policy: Policy, until: u64, seed: u64) -> Setup {
    Setup { config: config(engines.len()), engines, instances: 8, asks, faults: vec![], policy, report_lag_ms: 2000, cache_loss: 0.0, entry: None, until_ms: until, seed }
}
fn main() {
    let spec = |f: f64| Spec { prefill: 16_000.0 / f, decode: 80.0 / f, knee: 16.0, cache: 200_000 };
    for seed in 1..=3 {
        // stale load
        for policy in [Policy::Sesamewind, Policy::LeastInflight, Policy::RoundRobin] {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let plain = Ask { prefix: None, ..REPLY };
            let asks = stream(&mut rng, &plain, 70.0, 0, 20_000, 1);
            let o = run(&setup(vec![spec(1.0); 9], asks, policy, 25_000, seed));
            println!("stale {policy:?} peak {:.2} engines {:?} good {:.3}", o.peak_to_mean, o.by_engine, o.goodput(0));
        }
        // unlike
        for policy in [Policy::Sesamewind, Policy::LeastInflight, Policy::RoundRobin] {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let plain = Ask { prefix: None, ..REPLY };
            let asks = stream(&mut rng, &plain, 70.0, 0, 20_000, 1);
            let engines = (0..6).map(|at| spec(if at < 3 { 1.0 } else { 3.0 })).collect();
            let o = run(&setup(engines, asks, policy, 35_000, seed));
            println!("unlike {policy:?} engines {:?} good {:.3} first {:?}", o.by_engine, o.goodput(0), o.codes);
        }
        // short behind long
        for policy in [Policy::Sesamewind, Policy::LeastInflight, Policy::RoundRobin] {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let quote = Ask { rank: 0, prefix: None, first_ms: 20_000, total_ms: 40_000, ..QUOTE };
            let plain = Ask { prefix: None, ..REPLY };
            let asks = merge(vec![stream(&mut rng, &plain, 40.0, 0, 20_000, 1), stream(&mut rng, &quote, 7.0, 0, 20_000, 1)]);
            let mut o = run(&setup(vec![spec(1.0); 9], asks, policy, 60_000, seed));
            let mut v = o.first_ms.remove(&(0, false)).unwrap(); v.sort();
            println!("short {policy:?} engines {:?} good {:.3} p50 {} p95 {} p99 {} codes {:?}", o.by_engine, o.goodput(0), v[v.len()/2], v[v.len()*95/100], v[v.len()*99/100], o.codes);
        }
        // tags and burst
        for policy in [Policy::Sesamewind, Policy::LeastInflight] {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let asks = merge(vec![stream(&mut rng, &TAG, 100.0, 0, 40_000, 1), stream(&mut rng, &REPLY, 130.0, 10_000, 16_000, 20)]);
            let o = run(&setup(vec![spec(1.0); 6], asks, policy, 100_000, seed));
            println!("burst {policy:?} good {:.3} tags {:.3} shed {} late {} pre {} waste {:.3} low {:?} codes {:?}", o.goodput(0), o.goodput(2), o.shed_while_lower, o.late_while_lower, o.preempted, o.waste(), o.low_by_5s, o.codes);
        }
        // fairness
        for wake in [false, true] { for policy in [Policy::Sesamewind, Policy::LeastInflight] {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let b = Ask { account: "b", ..REPLY };
            let mut s = vec![stream(&mut rng, &REPLY, 30.0, 0, 25_000, 20)];
            s.push(stream(&mut rng, &b, 6.0, 0, 10_000, 20));
            if wake { s.push(stream(&mut rng, &b, 300.0, 10_000, 20_000, 20)); }
            let o = run(&setup(vec![spec(1.0); 6], merge(s), policy, 40_000, seed));
            println!("fair wake {wake} {policy:?} a {:.3} b {:.3}", o.account("a"), o.account("b"));
        } }
        for entry in [None, Some(0)] {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut st = setup(vec![spec(0.2); 9], stream(&mut rng, &REPLY, 200.0, 0, 30_000, 20), Policy::Sesamewind, 35_000, seed);
            st.entry = entry;
            st.config.accounts = vec![account("a", Some(10_000.0))];
            let o = run(&st);
            println!("limit {entry:?} {:.0} tokens/s codes {:?}", o.tokens["a"] as f64 / 30.0, o.codes);
        }
    }
}
