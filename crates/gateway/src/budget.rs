//! The retry budget of one service: how many further attempts this instance may make.
//!
//! The bound holds for all instances together. Each takes its share by itself, in proportion to
//! the first attempts that it makes and to the number of instances, so it holds without messages.

use std::collections::VecDeque;
use std::time::Duration;

use sesamewind_protocol::Time;

/// Slots that the window is divided into.
const SLOTS: u32 = 10;

/// Part of the bound that is used; the rest covers instances that restart and forget.
const USED_PART: f64 = 0.7;

/// Counts of one slot of time.
#[derive(Debug, Clone, Copy)]
struct Slot {
    start: Time,
    first: u32,
    further: u32,
}

/// Retry budget of one service at one instance.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    extra: f64,
    window: Duration,
    slots: VecDeque<Slot>,
    first: u32,
    further: u32,
}

impl RetryBudget {
    /// A budget of `ratio` further attempts for each first one plus `extra` over all instances, in
    /// each span of `window`.
    pub fn new(ratio: f64, extra: f64, window: Duration) -> Self {
        Self { ratio, extra, window, slots: VecDeque::new(), first: 0, further: 0 }
    }

    /// Takes new bounds.
    pub fn retune(&mut self, ratio: f64, extra: f64) {
        self.ratio = ratio;
        self.extra = extra;
    }

    /// Counts a first attempt.
    pub fn first(&mut self, now: Time) {
        self.slot(now).first += 1;
        self.first += 1;
    }

    /// Takes one further attempt out of the budget; false if there is none left.
    pub fn take(&mut self, instances: usize, now: Time) -> bool {
        self.slot(now);
        let share = self.extra / instances.max(1) as f64;
        let allowed = USED_PART * (self.ratio * f64::from(self.first) + share);
        if f64::from(self.further) + 1.0 > allowed {
            return false;
        }
        self.slot(now).further += 1;
        self.further += 1;
        true
    }

    /// The slot of `now`; slots that left the window are dropped.
    fn slot(&mut self, now: Time) -> &mut Slot {
        let width = self.window / SLOTS;
        // One slot more than the window, so that any span of the window's length is covered.
        while let Some(slot) = self.slots.front() {
            if now.since(slot.start) <= self.window + width {
                break;
            }
            self.first -= slot.first;
            self.further -= slot.further;
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| now.since(slot.start) >= width) {
            self.slots.push_back(Slot { start: now, first: 0, further: 0 });
        }
        self.slots.back_mut().expect("a slot was just added")
    }
}
