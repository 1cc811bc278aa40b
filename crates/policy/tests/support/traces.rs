//! Synthetic traffic: short replies, long quotes and background tagging.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::fleet::{EngineSpec, Fault, Policy, Setup, TraceRequest, merge, stream};
use super::{LOW, URGENT, config};

pub const REPLY: TraceRequest = TraceRequest {
    at_ms: 0,
    account: "a",
    rank: URGENT,
    prompt: 200,
    output: 60,
    prefix: Some((0, 150)),
    first_ms: 1_000,
    total_ms: 10_000,
};

pub const QUOTE: TraceRequest = TraceRequest {
    at_ms: 0,
    account: "b",
    rank: 1,
    prompt: 20_000,
    output: 150,
    prefix: Some((1_000, 16_000)),
    first_ms: 8_000,
    total_ms: 30_000,
};

pub const TAG: TraceRequest = TraceRequest {
    at_ms: 0,
    account: "c",
    rank: LOW,
    prompt: 1_000,
    output: 30,
    prefix: None,
    first_ms: 60_000,
    total_ms: 120_000,
};

/// Nine engines of three generations.
pub fn engines() -> Vec<EngineSpec> {
    let spec = |prefill, decode| EngineSpec {
        prefill,
        decode,
        doubling_streams: 16.0,
        cache: 200_000,
        batch: 512,
    };
    let kinds = [spec(24_000.0, 120.0), spec(16_000.0, 80.0), spec(8_000.0, 40.0)];
    (0..9).map(|at| kinds[at / 3].clone()).collect()
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    None,
    SlowEngine,
    KilledEngine,
    LateReports,
    LostCacheEvents,
    Burst,
}

pub const SCENARIOS: [Scenario; 6] = [
    Scenario::None,
    Scenario::SlowEngine,
    Scenario::KilledEngine,
    Scenario::LateReports,
    Scenario::LostCacheEvents,
    Scenario::Burst,
];

/// Half a minute of mixed traffic. `load` scales it; at 1 the engines are near their capacity.
pub fn mixed(policy: Policy, scenario: Scenario, load: f64, seed: u64) -> Setup {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let end = 30_000;
    let mut streams = vec![
        stream(&mut rng, &REPLY, 60.0 * load, 0, end, 20),
        stream(&mut rng, &QUOTE, 4.0 * load, 0, end, 40),
        stream(&mut rng, &TAG, 25.0 * load, 0, end, 1),
    ];
    if scenario == Scenario::Burst {
        streams.push(stream(&mut rng, &REPLY, 240.0 * load, 12_000, 18_000, 20));
    }
    let faults = match scenario {
        Scenario::SlowEngine => vec![Fault::Slow { engine: 0, at_ms: 8_000, factor: 3.0 }],
        Scenario::KilledEngine => vec![Fault::Kill { engine: 1, at_ms: 8_000, until_ms: 20_000 }],
        _ => Vec::new(),
    };
    Setup {
        config: config(9),
        engines: engines(),
        instances: 8,
        requests: merge(streams),
        faults,
        policy,
        report_lag_ms: if scenario == Scenario::LateReports { 2_000 } else { 100 },
        cache_loss: if scenario == Scenario::LostCacheEvents { 0.7 } else { 0.0 },
        entry: None,
        until_ms: end + 30_000,
        seed,
    }
}
