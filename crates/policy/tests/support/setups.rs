//! Setups that each test one mechanism.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::fleet::{EngineSpec, Fault, Policy, Setup, TraceRequest, merge, stream};
use super::traces::{QUOTE, REPLY, TAG};
use super::{URGENT, account, config};

/// An engine `factor` times slower than the usual one.
pub fn engine(factor: f64) -> EngineSpec {
    EngineSpec {
        prefill: 16_000.0 / factor,
        decode: 80.0 / factor,
        doubling_streams: 16.0,
        cache: 200_000,
        batch: 512,
    }
}

pub fn setup(
    engines: Vec<EngineSpec>,
    requests: Vec<TraceRequest>,
    policy: Policy,
    until_ms: u64,
    seed: u64,
) -> Setup {
    Setup {
        config: config(engines.len()),
        engines,
        instances: 8,
        requests,
        faults: Vec::new(),
        policy,
        report_lag_ms: 2_000,
        cache_loss: 0.0,
        entry: None,
        until_ms,
        seed,
    }
}

/// A reply without a shared prefix.
pub fn fresh_reply() -> TraceRequest {
    TraceRequest { prefix: None, ..REPLY }
}

/// Steady short replies on equal engines, observed through reports that are two seconds late.
pub fn steady(policy: Policy, seed: u64) -> Setup {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let requests = stream(&mut rng, &fresh_reply(), 70.0, 0, 20_000, 1);
    setup(vec![engine(1.0); 9], requests, policy, 25_000, seed)
}

/// Three engines and three that are three times slower, together near their capacity.
pub fn mixed_speeds(policy: Policy, seed: u64) -> Setup {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let requests = stream(&mut rng, &fresh_reply(), 70.0, 0, 20_000, 1);
    let engines = (0..6).map(|at| engine(if at < 3 { 1.0 } else { 3.0 })).collect();
    setup(engines, requests, policy, 35_000, seed)
}

/// Short replies among long quotes of the same tier.
pub fn mixed_lengths(policy: Policy, seed: u64) -> Setup {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let quote =
        TraceRequest { rank: URGENT, prefix: None, first_ms: 20_000, total_ms: 40_000, ..QUOTE };
    let requests = merge(vec![
        stream(&mut rng, &fresh_reply(), 40.0, 0, 20_000, 1),
        stream(&mut rng, &quote, 7.0, 0, 20_000, 1),
    ]);
    setup(vec![engine(1.0); 9], requests, policy, 60_000, seed)
}

/// Background work on every engine, and from 10 to 16 s more urgent replies than the engines can
/// serve beside it.
pub fn burst(policy: Policy, seed: u64) -> Setup {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let requests = merge(vec![
        stream(&mut rng, &TAG, 100.0, 0, 40_000, 1),
        stream(&mut rng, &REPLY, 130.0, 10_000, 16_000, 20),
    ]);
    setup(vec![engine(1.0); 6], requests, policy, 100_000, seed)
}

/// The same with one instance frozen while it holds background streams.
pub fn burst_with_freeze(seed: u64) -> Setup {
    let mut setup = burst(Policy::Sesamewind, seed);
    setup.faults = vec![Fault::Freeze { instance: 3, at_ms: 9_000, until_ms: 20_000 }];
    setup
}

/// Account `a` at its usual rate beside `b`, which sends 50 times its usual rate from 10 to 20 s.
pub fn account_burst(bursts: bool, policy: Policy, seed: u64) -> Setup {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let b = TraceRequest { account: "b", ..REPLY };
    let mut streams = vec![
        stream(&mut rng, &REPLY, 30.0, 0, 25_000, 20),
        stream(&mut rng, &b, 6.0, 0, 10_000, 20),
    ];
    if bursts {
        streams.push(stream(&mut rng, &b, 300.0, 10_000, 20_000, 20));
    }
    setup(vec![engine(1.0); 6], merge(streams), policy, 40_000, seed)
}

/// Half a minute of an account with a demand of five times its limit of 10,000 tokens per second.
pub fn limited(entry: Option<usize>, seed: u64) -> Setup {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let requests = stream(&mut rng, &REPLY, 200.0, 0, 30_000, 20);
    let mut setup = setup(vec![engine(0.2); 9], requests, Policy::Sesamewind, 35_000, seed);
    setup.entry = entry;
    setup.config.accounts = vec![account("a", Some(10_000.0))];
    setup
}

/// Replies on engines, one of which slows to a third of its speed at 5 s.
pub fn slowing(seed: u64) -> Setup {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut setup = setup(
        vec![engine(1.0); 4],
        stream(&mut rng, &TraceRequest { prompt: 1_000, ..fresh_reply() }, 20.0, 0, 40_000, 1),
        Policy::Sesamewind,
        41_000,
        seed,
    );
    setup.faults = vec![Fault::Slow { engine: 0, at_ms: 5_000, factor: 3.0 }];
    setup
}

/// Nine engines that run 16 requests at once, and for 6 s twice the replies that they can serve.
pub fn batched(policy: Policy, seed: u64) -> Setup {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let short = TraceRequest { output: 32, total_ms: 2_500, first_ms: 600, ..fresh_reply() };
    let requests = merge(vec![
        stream(&mut rng, &short, 15.0, 0, 30_000, 1),
        stream(&mut rng, &short, 400.0, 10_000, 16_000, 1),
        stream(&mut rng, &TAG, 20.0, 0, 30_000, 1),
    ]);
    let small = EngineSpec { doubling_streams: 8.0, batch: 16, ..engine(1.0) };
    let mut setup = setup(vec![small; 9], requests, policy, 60_000, seed);
    setup.config.tiers[0].first_token = std::time::Duration::from_millis(600);
    setup.config.tiers[0].total = std::time::Duration::from_millis(2_500);
    setup
}
