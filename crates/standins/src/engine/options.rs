//! What an engine is like.

use std::time::Duration;

/// What an engine is like.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// The engine's name.
    pub name: String,
    /// The service that it serves.
    pub service: String,
    /// Versions loaded at the start; the first serves requests that name none.
    pub versions: Vec<String>,
    /// Prompt tokens that it takes in a second; prompts are taken in one after another.
    pub prefill_tokens_per_s: f64,
    /// Output tokens a second of a stream that is alone.
    pub decode_tokens_per_s: f64,
    /// Streams beyond the first that halve the speed of each.
    pub batch_knee: f64,
    /// Requests that run at the same time; more wait inside the engine.
    pub max_batch: usize,
    /// Prefix tokens that the cache holds.
    pub cache_tokens: u64,
    /// Age of the load that `/load` reports.
    pub report_lag: Duration,
    /// Age that a cache event must have before `/events` shows it.
    pub event_lag: Duration,
    /// Share of cache events that are never shown, in `[0, 1]`.
    pub event_loss: f64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fence: bool,
    /// Time from the order to load a version until it is loaded.
    pub load_time: Duration,
    /// Time after which a stream that nobody reads is given up.
    pub abandon_after: Duration,
    /// Time for which a finished stream can still be resumed.
    pub keep: Duration,
    /// Seed of the choice of lost cache events.
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
            keep: Duration::from_secs(30),
            seed: 1,
        }
    }
}
