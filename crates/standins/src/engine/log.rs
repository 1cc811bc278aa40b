//! Log of the requests and orders that an engine received, and of their outcomes.

use serde::{Deserialize, Serialize};
use sesamewind_protocol::WallTime;

/// How a dispatched request ended at the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DispatchEnd {
    /// It is waiting or running.
    Running,
    /// All its tokens were generated.
    Complete,
    /// The caller cancelled it.
    Cancelled,
    /// No connection read its answer for too long.
    Abandoned,
    /// A fault of the version failed it.
    Failed,
    /// The engine was killed, or its version was unloaded.
    Killed,
}

/// A request that the engine admitted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The request's id, from `x-request-id`.
    pub request: String,
    /// The version that served it.
    pub version: String,
    /// The route, from `x-route`; without that header `chat` or `completions`.
    pub route: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the complete answer.
    pub output_tokens: u32,
    /// When it was admitted.
    pub at: WallTime,
    /// When its first token was generated.
    pub first_token: Option<WallTime>,
    /// When it ended.
    pub ended: Option<WallTime>,
    /// How it ended.
    pub end: DispatchEnd,
    /// Prompt tokens prefilled for it.
    pub prefill_spent: u32,
    /// Prompt tokens found in the cache.
    pub cache_hit: u32,
    /// Output tokens generated.
    pub produced: u32,
    /// Whether the engine was asking for no new work.
    pub leaving: bool,
    /// Number of connections that read its answer, including resumes.
    pub reads: u32,
}

/// An order that the engine received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderEntry {
    /// Fencing number of the order.
    pub fence: u64,
    /// `load` or `unload`.
    pub order: String,
    /// The version.
    pub version: String,
    /// When it arrived.
    pub at: WallTime,
    /// Whether it was refused for its old fencing number.
    pub refused: bool,
    /// Whether it unloaded a version that was in use, or did so with an old fencing number.
    pub harmful: bool,
}

/// Everything that an engine received.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLog {
    /// Admitted requests, in order.
    pub dispatches: Vec<Dispatch>,
    /// Orders, in order.
    pub orders: Vec<OrderEntry>,
    /// Number of requests that the engine refused before running them.
    pub refused: u64,
    /// Number of requests refused because their version was not loaded.
    pub unknown_version: u64,
    /// Number of load reports returned.
    pub load_polls: u64,
    /// Number of resumed streams.
    pub resumes: u64,
    /// Number of requests to cancel a stream.
    pub cancels: u64,
    /// When the engine started asking for no new work; none if it does not ask for that now.
    pub left: Option<WallTime>,
}

impl EngineLog {
    /// Returns the number of harmful orders; see [`OrderEntry::harmful`].
    pub fn harmful_orders(&self) -> usize {
        self.orders.iter().filter(|order| order.harmful).count()
    }

    /// Returns the number of prompt tokens prefilled for all requests.
    pub fn prefill_total(&self) -> u64 {
        self.dispatches.iter().map(|entry| u64::from(entry.prefill_spent)).sum()
    }

    /// Returns how often `request` was admitted.
    pub fn dispatch_count(&self, request: &str) -> usize {
        self.dispatches.iter().filter(|entry| entry.request == request).count()
    }
}
