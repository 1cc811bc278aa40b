//! What targets report of themselves: load, state and cache events.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, TargetId, VersionId, WallTime};

/// Load report polled from a model engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The engine that reports.
    pub target: TargetId,
    /// The engine's incarnation that the report is about.
    pub incarnation: Incarnation,
    /// When the engine took the measurements, by its own clock.
    pub measured: WallTime,
    /// Requests waiting inside the engine.
    pub waiting: u32,
    /// Requests for which the engine is generating output.
    pub running: u32,
    /// Prompt tokens not prefilled yet.
    pub prefill_tokens: u64,
    /// Versions that are loaded.
    pub versions: Vec<VersionId>,
    /// Whether the engine asks to be sent no new work.
    pub leaving: bool,
}

/// A change in an engine's prefix cache. Events may arrive late, and some may be missing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event at its engine, increasing by one.
    pub seq: u64,
    /// The prefix that changed.
    pub prefix: String,
    /// Tokens of the prefix that are now cached; zero after eviction.
    pub tokens: u32,
}
