//! Inputs and counts of a run of the fleet.

use std::collections::BTreeMap;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sesamewind_policy::Config;
use sesamewind_protocol::Code;

/// A request of a trace.
#[derive(Debug, Clone)]
pub struct TraceRequest {
    pub at_ms: u64,
    pub account: &'static str,
    pub rank: u8,
    pub prompt: u32,
    pub output: u32,
    pub prefix: Option<(u64, u32)>,
    pub first_ms: u64,
    pub total_ms: u64,
}

/// Properties of an engine.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    pub prefill: f64,
    pub decode: f64,
    /// Number of further streams that doubles the time per token.
    pub doubling_streams: f64,
    pub cache: u64,
    /// Requests that run at once. Further ones wait inside the engine.
    pub batch: usize,
}

/// A fault to inject and its time.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    Slow { engine: usize, at_ms: u64, factor: f64 },
    Kill { engine: usize, at_ms: u64, until_ms: u64 },
    Refuse { at_ms: u64, until_ms: u64 },
    Freeze { instance: usize, at_ms: u64, until_ms: u64 },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    Sesamewind,
    RoundRobin,
    LeastInflight,
}

/// Inputs of one run.
#[derive(Debug, Clone)]
pub struct Setup {
    pub config: Config,
    pub engines: Vec<EngineSpec>,
    pub instances: usize,
    pub requests: Vec<TraceRequest>,
    pub faults: Vec<Fault>,
    pub policy: Policy,
    pub report_lag_ms: u64,
    pub cache_loss: f64,
    /// Instance that receives every request. If absent, requests are spread over all instances.
    pub entry: Option<usize>,
    pub until_ms: u64,
    pub seed: u64,
}

/// Counts of one run.
#[derive(Debug, Default, Clone)]
pub struct Outcome {
    /// By rank: offered, answered in time.
    pub tiers: BTreeMap<u8, (u32, u32)>,
    /// By account: offered, answered in time.
    pub accounts: BTreeMap<&'static str, (u32, u32)>,
    /// By account: tokens admitted to engines.
    pub tokens: BTreeMap<&'static str, u64>,
    pub prefill: f64,
    pub wasted: f64,
    pub codes: BTreeMap<(u8, Code), u32>,
    /// Requests refused for lack of room while lower-tier work ran at an engine.
    pub shed_while_lower: u32,
    /// Requests refused after their time to the first token while lower-tier work ran at an engine.
    pub late_while_lower: u32,
    pub false_not_run: u32,
    /// Requests offered to engines.
    pub offered: u32,
    /// Requests by engine.
    pub by_engine: Vec<u32>,
    /// Mean over samples of the ratio of the most loaded engine's streams to the average.
    pub peak_to_mean: f64,
    /// Times to first token by rank and length (long or not), in milliseconds.
    pub first_ms: BTreeMap<(u8, bool), Vec<u64>>,
    /// Lower-tier answers in time, by 5 s intervals of arrival.
    pub low_by_5s: BTreeMap<u64, u32>,
    pub preempted: u64,
    pub resumed: u64,
    /// Prefill speeds learned by the first instance, by engine.
    pub speeds: Vec<f64>,
}

impl Outcome {
    pub fn goodput(&self, rank: u8) -> f64 {
        share(self.tiers.get(&rank))
    }

    pub fn account(&self, name: &str) -> f64 {
        share(self.accounts.get(name))
    }

    pub fn waste(&self) -> f64 {
        self.wasted / self.prefill.max(1.0)
    }
}

fn share(counts: Option<&(u32, u32)>) -> f64 {
    counts.map_or(1.0, |(offered, good)| f64::from(*good) / f64::from((*offered).max(1)))
}

/// Returns requests of one kind at random times, `per_s` per second, from `from_ms` to `to_ms`.
pub fn stream(
    rng: &mut ChaCha8Rng,
    kind: &TraceRequest,
    per_s: f64,
    from_ms: u64,
    to_ms: u64,
    prefixes: u64,
) -> Vec<TraceRequest> {
    let mut requests = Vec::new();
    let mut at = from_ms as f64;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / per_s * 1_000.0;
        if at >= to_ms as f64 {
            return requests;
        }
        let vary = |rng: &mut ChaCha8Rng, n: u32| {
            ((f64::from(n) * rng.random_range(0.5..1.5)) as u32).max(1)
        };
        let mut req = TraceRequest { at_ms: at as u64, ..kind.clone() };
        req.prompt = vary(rng, kind.prompt);
        req.output = vary(rng, kind.output);
        req.prefix = kind
            .prefix
            .map(|(base, tokens)| (base + rng.random_range(0..prefixes), tokens.min(req.prompt)));
        requests.push(req);
    }
}

/// Merges streams of requests by time.
pub fn merge(streams: Vec<Vec<TraceRequest>>) -> Vec<TraceRequest> {
    let mut requests: Vec<TraceRequest> = streams.into_iter().flatten().collect();
    requests.sort_by_key(|request| request.at_ms);
    requests
}
