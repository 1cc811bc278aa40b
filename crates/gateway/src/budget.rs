//! Retry budget of one service: the number of retries that this instance may make.
//!
//! The bound applies to all instances together. Each instance computes what it may use locally, from
//! the number of its own first attempts and its share of the rest, so the bound holds without
//! coordination. A restart loses the counts, so an instance has no share until what the one before it
//! may have used has left the window.

use std::collections::VecDeque;
use std::time::Duration;

use sesamewind_protocol::Time;

/// Number of time buckets that the window is divided into.
const BUCKETS: u32 = 10;

/// Fraction of the bound that is used. The rest covers retries that arrive later than they were
/// charged, and first attempts whose counts are lost in a restart.
const USED_FRACTION: f64 = 0.7;

/// Counts of one time bucket.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    start: Time,
    first: u32,
    retries: u32,
}

/// Attempts counted since the last report.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RetryCounts {
    /// First attempts.
    pub first: u32,
    /// Retries that were charged.
    pub retries: u32,
    /// Retries that the budget did not allow.
    pub denied: u32,
}

/// Use of a retry budget at one instance, for the log and metrics.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryReport {
    /// Attempts since the last report.
    pub counts: RetryCounts,
    /// Retries within the window.
    pub used: u32,
    /// Retries that this instance may make within the window.
    pub allowed: f64,
    /// Fraction of the retries beyond the ratio that this instance may make.
    pub share: f64,
}

/// Retry budget of one service at one instance.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    extra: f64,
    window: Duration,
    buckets: VecDeque<Bucket>,
    first: u32,
    retries: u32,
    unreported: RetryCounts,
}

impl RetryBudget {
    /// Creates a budget that allows, within each `window`, `ratio` retries for each first attempt
    /// plus `extra` retries over all instances.
    pub fn new(ratio: f64, extra: f64, window: Duration) -> Self {
        Self {
            ratio,
            extra,
            window,
            buckets: VecDeque::new(),
            first: 0,
            retries: 0,
            unreported: RetryCounts::default(),
        }
    }

    /// Replaces `ratio`, `extra` and `window`.
    pub fn retune(&mut self, ratio: f64, extra: f64, window: Duration) {
        self.ratio = ratio;
        self.extra = extra;
        self.window = window;
    }

    /// Counts a first attempt.
    pub fn record_first(&mut self, now: Time) {
        self.bucket(now).first += 1;
        self.first += 1;
        self.unreported.first += 1;
    }

    /// Charges one retry to the budget; returns false if the budget is exhausted. `share` is this
    /// instance's fraction of the retries beyond the ratio.
    pub fn acquire(&mut self, share: f64, now: Time) -> bool {
        self.bucket(now);
        if f64::from(self.retries) + 1.0 > self.allowed(share) {
            self.unreported.denied += 1;
            return false;
        }
        self.bucket(now).retries += 1;
        self.retries += 1;
        self.unreported.retries += 1;
        true
    }

    /// Returns the use of the budget; none if no attempt was counted since the last report.
    pub fn take_report(&mut self, share: f64, now: Time) -> Option<RetryReport> {
        let counts = std::mem::take(&mut self.unreported);
        if counts == RetryCounts::default() {
            return None;
        }
        self.bucket(now);
        Some(RetryReport { counts, used: self.retries, allowed: self.allowed(share), share })
    }

    /// Returns the retries that this instance may make within the window.
    fn allowed(&self, share: f64) -> f64 {
        USED_FRACTION * (self.ratio * f64::from(self.first) + self.extra * share)
    }

    /// Returns the bucket for `now`, after adding it if needed and dropping buckets that have left
    /// the window.
    fn bucket(&mut self, now: Time) -> &mut Bucket {
        let width = self.window / BUCKETS;
        // Keeps one bucket beyond the window, so that any interval of the window's length is
        // covered.
        while let Some(bucket) = self.buckets.front() {
            if now.since(bucket.start) <= self.window + width {
                break;
            }
            self.first -= bucket.first;
            self.retries -= bucket.retries;
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| now.since(bucket.start) >= width) {
            self.buckets.push_back(Bucket { start: now, first: 0, retries: 0 });
        }
        self.buckets.back_mut().expect("a missing bucket was just added")
    }
}
