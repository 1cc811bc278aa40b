//! What reached an engine and what became of it.

use serde::{Deserialize, Serialize};
use sesamewind_protocol::WallTime;

/// How a dispatched request ended at the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DispatchEnd {
    /// It waits or runs.
    Running,
    /// All its tokens were generated.
    Complete,
    /// It was cancelled by order.
    Cancelled,
    /// Nobody read its answer for too long.
    Abandoned,
    /// The version failed it.
    Failed,
    /// The engine died, or its version was unloaded.
    Killed,
}

/// A request that the engine admitted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The request's id, from `x-request-id`.
    pub request: String,
    /// The version that served it.
    pub version: String,
    /// The route, from `x-route`, else `chat` or `completions`.
    pub route: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer when whole.
    pub output_tokens: u32,
    /// When it was admitted.
    pub at: WallTime,
    /// When its first token was generated.
    pub first_token: Option<WallTime>,
    /// When it ended.
    pub ended: Option<WallTime>,
    /// How it ended.
    pub end: DispatchEnd,
    /// Prompt tokens that were prefilled for it.
    pub prefill_spent: u32,
    /// Prompt tokens found in the cache.
    pub cache_hit: u32,
    /// Output tokens generated.
    pub produced: u32,
    /// Whether the engine had asked for no new work.
    pub leaving: bool,
    /// Connections that read its answer, resumes included.
    pub reads: u32,
}

/// An order that reached the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderEntry {
    /// The fencing number that it carried.
    pub fence: u64,
    /// `load` or `unload`.
    pub order: String,
    /// The version.
    pub version: String,
    /// When it arrived.
    pub at: WallTime,
    /// Whether it was refused for its old fencing number.
    pub refused: bool,
    /// Whether it did harm: it unloaded a version under an old fencing number or while in use.
    pub harmful: bool,
}

/// Everything that reached an engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLog {
    /// Admitted requests, in order.
    pub dispatches: Vec<Dispatch>,
    /// Orders, in order.
    pub orders: Vec<OrderEntry>,
    /// Requests refused before running.
    pub refused: u64,
    /// Requests for a version that was not loaded; refused before running.
    pub unknown_version: u64,
    /// Load reports given.
    pub load_polls: u64,
    /// Resumed reads.
    pub resumes: u64,
    /// Cancel orders.
    pub cancels: u64,
    /// When the engine began to ask for no new work.
    pub left: Option<WallTime>,
}

impl EngineLog {
    /// Orders that did harm.
    pub fn harmful_orders(&self) -> usize {
        self.orders.iter().filter(|order| order.harmful).count()
    }

    /// Prompt tokens prefilled.
    pub fn prefill_total(&self) -> u64 {
        self.dispatches.iter().map(|entry| u64::from(entry.prefill_spent)).sum()
    }

    /// Times that `request` was admitted.
    pub fn dispatch_count(&self, request: &str) -> usize {
        self.dispatches.iter().filter(|entry| entry.request == request).count()
    }
}
