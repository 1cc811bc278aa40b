//! What targets report of themselves: load, state and results.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, TargetId, VersionId, WallTime};

/// A load report of a model engine, as polled from it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The engine that reports.
    pub target: TargetId,
    /// The engine's life that the report speaks of.
    pub incarnation: Incarnation,
    /// When the engine measured, by its own clock.
    pub measured: WallTime,
    /// Requests that wait inside the engine.
    pub waiting: u32,
    /// Requests that the engine generates for.
    pub running: u32,
    /// Tokens of prompts not prefilled yet.
    pub prefill_tokens: u64,
    /// Versions that are loaded.
    pub versions: Vec<VersionId>,
    /// Whether the engine asks for no new work.
    pub leaving: bool,
}

/// A change in an engine's prefix cache; late and with gaps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event at its engine, rising by one.
    pub seq: u64,
    /// The prefix that the event speaks of.
    pub prefix: String,
    /// Tokens of the prefix that are held now; zero after eviction.
    pub tokens: u32,
}
