//! Counts of calls, and of failed calls by reason.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts since the client was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reads sent.
    pub reads: u64,
    /// Writes sent.
    pub writes: u64,
    /// Attempts after the first of a call.
    pub retries: u64,
    /// Calls stopped by the circuit breaker.
    pub stopped: u64,
    /// Calls that ended as unavailable, including those stopped by the breaker.
    pub unavailable: u64,
    /// Calls whose effect is unknown.
    pub unknown: u64,
    /// Calls that failed because of a rate limit.
    pub limited: u64,
    /// Calls that the platform refused or whose answer was malformed.
    pub refused: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) reads: AtomicU64,
    pub(crate) writes: AtomicU64,
    pub(crate) retries: AtomicU64,
    pub(crate) stopped: AtomicU64,
    pub(crate) unavailable: AtomicU64,
    pub(crate) unknown: AtomicU64,
    pub(crate) limited: AtomicU64,
    pub(crate) refused: AtomicU64,
}

impl Counters {
    pub(crate) fn increment(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn read(&self) -> Counts {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Counts {
            reads: get(&self.reads),
            writes: get(&self.writes),
            retries: get(&self.retries),
            stopped: get(&self.stopped),
            unavailable: get(&self.unavailable),
            unknown: get(&self.unknown),
            limited: get(&self.limited),
            refused: get(&self.refused),
        }
    }
}
