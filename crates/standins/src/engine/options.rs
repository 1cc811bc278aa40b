//! Options of an engine stand-in.

use std::time::Duration;

/// Options of an engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Name of the engine.
    pub name: String,
    /// The service that it serves.
    pub service: String,
    /// Versions loaded at the start; the first one serves requests without a version.
    pub versions: Vec<String>,
    /// Prompt tokens prefilled per second; prompts are prefilled one at a time.
    pub prefill_tokens_per_s: f64,
    /// Output tokens per second of a stream that runs alone.
    pub decode_tokens_per_s: f64,
    /// Number of streams beyond the first at which each stream has half its speed.
    pub batch_knee: f64,
    /// Requests that run at the same time; further ones wait in the engine.
    pub max_batch: usize,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// How far the load that `/load` reports lags behind the actual load.
    pub report_lag: Duration,
    /// Delay until `/events` returns a cache event.
    pub event_lag: Duration,
    /// Share of cache events that `/events` never returns, in `[0, 1]`.
    pub event_loss: f64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fence: bool,
    /// Time from the order to load a version until it is loaded.
    pub load_time: Duration,
    /// Time without readers after which a stream is abandoned.
    pub abandon_after: Duration,
    /// How long a finished stream can still be resumed.
    pub retention: Duration,
    /// Seed for choosing the cache events that are lost.
    pub seed: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            name: "engine".to_owned(),
            service: "assistant".to_owned(),
            versions: vec!["v1".to_owned()],
            prefill_tokens_per_s: 20_000.0,
            decode_tokens_per_s: 200.0,
            batch_knee: 16.0,
            max_batch: 32,
            cache_tokens: 100_000,
            report_lag: Duration::ZERO,
            event_lag: Duration::ZERO,
            event_loss: 0.0,
            checks_fence: true,
            load_time: Duration::from_millis(100),
            abandon_after: Duration::from_secs(10),
            retention: Duration::from_secs(30),
            seed: 1,
        }
    }
}
