//! The retry budget of one service: how many further attempts this instance may make.
//!
//! The bound holds for all instances together. Each takes its share by itself, in proportion to
//! the first attempts that it makes and to the number of instances, so it holds without messages.

use std::collections::VecDeque;
use std::time::Duration;

use sesamewind_protocol::Time;

/// Slots that the window is divided into.
const BUCKETS: u32 = 10;

/// Part of the bound that is used; the rest covers instances that restart and forget.
const USED_FRACTION: f64 = 0.7;

/// Counts of one slot of time.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    start: Time,
    first: u32,
    retries: u32,
}

/// Retry budget of one service at one instance.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    extra: f64,
    window: Duration,
    buckets: VecDeque<Bucket>,
    first: u32,
    retries: u32,
}

impl RetryBudget {
    /// A budget of `ratio` further attempts for each first one plus `extra` over all instances, in
    /// each span of `window`.
    pub fn new(ratio: f64, extra: f64, window: Duration) -> Self {
        Self { ratio, extra, window, buckets: VecDeque::new(), first: 0, retries: 0 }
    }

    /// Takes new bounds.
    pub fn retune(&mut self, ratio: f64, extra: f64) {
        self.ratio = ratio;
        self.extra = extra;
    }

    /// Counts a first attempt.
    pub fn record_first(&mut self, now: Time) {
        self.bucket(now).first += 1;
        self.first += 1;
    }

    /// Takes one further attempt out of the budget; false if there is none left.
    pub fn acquire(&mut self, instances: usize, now: Time) -> bool {
        self.bucket(now);
        let share = self.extra / instances.max(1) as f64;
        let allowed = USED_FRACTION * (self.ratio * f64::from(self.first) + share);
        if f64::from(self.retries) + 1.0 > allowed {
            return false;
        }
        self.bucket(now).retries += 1;
        self.retries += 1;
        true
    }

    /// The slot of `now`; slots that left the window are dropped.
    fn bucket(&mut self, now: Time) -> &mut Bucket {
        let width = self.window / BUCKETS;
        // One slot more than the window, so that any span of the window's length is covered.
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
        self.buckets.back_mut().expect("a bucket was just added")
    }
}
