//! Retry budget of one service: the number of retries that this instance may make.
//!
//! The bound applies to all instances together. Each instance computes what it may use locally, from
//! the number of its own first attempts and its share of the rest, so the bound holds without
//! coordination. A restart loses the counts, so an instance has no share until what the one before it
//! may have used has left the window. Callers that come from another instance, or from the one before
//! a restart, may have had their retries there, so first attempts count less while they grow in number.

use std::collections::VecDeque;
use std::time::Duration;

use sesamewind_protocol::Time;

/// Number of time buckets that the window is divided into.
const BUCKETS: u32 = 10;

/// Fraction of the bound that is used, for as many first attempts as in the window before.
const USED_FRACTION: f64 = 0.7;

/// Fraction that is used for first attempts in excess of those. Together with [`USED_FRACTION`], it
/// covers callers whose retries two instances allow within a window.
const GROWTH_FRACTION: f64 = 0.3;

/// What one instance may use of the retries that all of them may make.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryShare {
    /// Fraction of the retries beyond the ratio.
    pub fraction: f64,
    /// Fraction of the window before the current one in which the deployment has been running.
    pub earlier: f64,
}

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
    /// Share that this follows from.
    pub share: RetryShare,
}

/// Retry budget of one service at one instance.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    extra: f64,
    window: Duration,
    /// Counts of the last two windows.
    buckets: VecDeque<Bucket>,
    unreported: RetryCounts,
}

impl RetryBudget {
    /// Creates a budget that allows, within each `window`, `ratio` retries for each first attempt
    /// plus `extra` retries over all instances.
    pub fn new(ratio: f64, extra: f64, window: Duration) -> Self {
        Self { ratio, extra, window, buckets: VecDeque::new(), unreported: RetryCounts::default() }
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
        self.unreported.first += 1;
    }

    /// Charges one retry to the budget; returns false if the budget is exhausted. `share` is what
    /// this instance may use now.
    pub fn acquire(&mut self, share: RetryShare, now: Time) -> bool {
        if f64::from(self.used(now)) + 1.0 > self.allowed(share, now) {
            self.unreported.denied += 1;
            return false;
        }
        self.bucket(now).retries += 1;
        self.unreported.retries += 1;
        true
    }

    /// Returns the use of the budget; none if no attempt was counted since the last report.
    pub fn take_report(&mut self, share: RetryShare, now: Time) -> Option<RetryReport> {
        let counts = std::mem::take(&mut self.unreported);
        if counts == RetryCounts::default() {
            return None;
        }
        let (used, allowed) = (self.used(now), self.allowed(share, now));
        Some(RetryReport { counts, used, allowed, share })
    }

    /// Returns the retries within the window.
    fn used(&self, now: Time) -> u32 {
        // One bucket beyond the window, so that any interval of the window's length is covered.
        let oldest = self.window + self.bucket_width();
        let recent = self.buckets.iter().filter(|bucket| now.since(bucket.start) <= oldest);
        recent.map(|bucket| bucket.retries).sum()
    }

    /// Returns the retries that this instance may make within the window.
    fn allowed(&self, share: RetryShare, now: Time) -> f64 {
        let (mut recent, mut before) = (0, 0);
        for bucket in &self.buckets {
            let age = now.since(bucket.start);
            if age <= self.window {
                recent += bucket.first;
            } else if age <= self.window * 2 {
                before += bucket.first;
            }
        }
        let recent = f64::from(recent);
        // Time before the deployment's start counts like the time since.
        let usual = f64::from(before) + (1.0 - share.earlier) * recent;
        let growth = (recent - usual).max(0.0);
        let first = USED_FRACTION * (recent - growth) + GROWTH_FRACTION * growth;
        self.ratio * first + USED_FRACTION * self.extra * share.fraction
    }

    /// Returns the bucket for `now`, after adding it if needed and dropping buckets that are older than
    /// two windows.
    fn bucket(&mut self, now: Time) -> &mut Bucket {
        let width = self.bucket_width();
        let oldest = self.window * 2 + width;
        while self.buckets.front().is_some_and(|bucket| now.since(bucket.start) > oldest) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| now.since(bucket.start) >= width) {
            self.buckets.push_back(Bucket { start: now, first: 0, retries: 0 });
        }
        self.buckets.back_mut().expect("a missing bucket was just added")
    }

    fn bucket_width(&self) -> Duration {
        self.window / BUCKETS
    }
}
