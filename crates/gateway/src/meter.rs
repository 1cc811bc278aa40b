//! Use of one client account's limit over a sliding window, as one instance knows it.

use std::collections::VecDeque;
use std::time::Duration;

use sesamewind_protocol::Time;

/// Slots that the window is divided into.
const SLOTS: u32 = 64;

/// Time over which the instances' shares of what is free follow their use.
pub(crate) const PACE_TIME: Duration = Duration::from_secs(2);

/// How fast an account may be used between two reports, as a multiple of its limit's rate. While more
/// than that is free, each instance uses what it needs; of less, it takes its share only. The
/// deployments' accounts ask for up to four times their limit.
const SURGE: f64 = 4.0;

/// Part of a limit's rate that is divided evenly when shares are made, so that an instance that had no
/// requests of an account can serve its first ones.
const EVEN_PART: f64 = 0.25;

/// Step between two roundings: its multiples fill the interval from zero to one evenly.
pub(crate) const GOLDEN_PART: f64 = 0.618_033_988_75;

/// Use within one slot of time.
#[derive(Debug, Clone, Copy)]
struct Slot {
    end: Time,
    amount: f64,
}

/// What an instance's knowledge of the use before its start rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Basis {
    /// It was there, or a peer that was has told it.
    Known,
    /// On what was saved, which may be older than the start.
    Restored,
    /// On nothing.
    Assumed,
}

/// Use of one account by all instances, as far as it is known here.
#[derive(Debug)]
pub(crate) struct Meter {
    /// The limit within the window.
    pub(crate) limit: f64,
    /// Tolerance over the limit.
    pub(crate) tolerance: f64,
    slots: VecDeque<Slot>,
    pub(crate) total: f64,
    /// Use at this instance since its start.
    pub(crate) used: f64,
    /// The latest of it, with its times.
    own: VecDeque<(Time, f64)>,
    /// When a request was refused last.
    pub(crate) refused: Option<Time>,
    /// Rounding of this instance's share to whole requests, and when it was drawn.
    rounding: (f64, Time),
    /// What is known of the use before the start, and since when.
    pub(crate) basis: (Basis, Time),
}

/// Use of one account at the peers that are heard.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Others {
    /// The peers.
    pub(crate) count: u32,
    /// Age of the oldest report.
    pub(crate) age: Duration,
    /// Units that they are likely to have used since their reports.
    pub(crate) unseen: f64,
    /// Units a second.
    pub(crate) pace: f64,
}

impl Meter {
    pub(crate) fn new(rounding: f64) -> Self {
        Self {
            limit: 0.0,
            tolerance: 0.0,
            slots: VecDeque::new(),
            total: 0.0,
            used: 0.0,
            own: VecDeque::new(),
            refused: None,
            rounding: (rounding, Time::ZERO),
            basis: (Basis::Known, Time::ZERO),
        }
    }

    /// Whether `cost` units may be used of the `room` that is free. Near the limit all instances see
    /// the same room until they hear of one another, so each takes its share only.
    pub(crate) fn fits(
        &mut self,
        cost: f64,
        room: f64,
        others: &Others,
        window: Duration,
        now: Time,
    ) -> bool {
        if room < cost {
            return false;
        }
        let rate = self.limit / window.as_secs_f64();
        // Reports are half as old as the oldest one on average.
        let surge = SURGE * rate * others.age.as_secs_f64() / 2.0;
        // Callers who were refused are about to return.
        let greedy = self.refused.is_some_and(|at| now.since(at) < PACE_TIME);
        if others.count == 0 || (room >= cost + surge && !greedy) {
            return true;
        }
        let even = EVEN_PART * rate / f64::from(others.count + 1);
        let own = self.recent_own(PACE_TIME, now) / PACE_TIME.as_secs_f64() + even;
        let share = own / (own + others.pace + even * f64::from(others.count));
        let recent = self.recent_own(others.age, now);
        recent + cost <= share * (room + recent) + self.rounding(others.age, now) * cost
    }

    /// Part of a request that may be used beyond a share, so that shares smaller than a request add
    /// up to what is free.
    fn rounding(&mut self, age: Duration, now: Time) -> f64 {
        if now.since(self.rounding.1) >= age {
            self.rounding = ((self.rounding.0 + GOLDEN_PART).fract(), now);
        }
        self.rounding.0
    }

    /// Counts `cost` units as used here.
    pub(crate) fn took(&mut self, cost: f64, now: Time) {
        self.used += cost;
        self.own.push_back((now, cost));
        while self.own.front().is_some_and(|(at, _)| now.since(*at) > PACE_TIME) {
            self.own.pop_front();
        }
        self.rounding.0 = (self.rounding.0 + GOLDEN_PART).fract();
    }

    /// Units that were used here in the last `span`, at most [`PACE_TIME`].
    fn recent_own(&self, span: Duration, now: Time) -> f64 {
        let recent = self.own.iter().rev().take_while(|(at, _)| now.since(*at) <= span);
        recent.map(|(_, cost)| cost).sum()
    }

    /// Counts `amount` as used evenly over the `span` before `now`.
    pub(crate) fn assume(&mut self, amount: f64, span: Duration, window: Duration, now: Time) {
        let span = span.min(window);
        let part = amount / f64::from(SLOTS);
        let ends = (1..=SLOTS).map(|slot| now + (window - span) + span / SLOTS * slot);
        self.slots.extend(ends.map(|end| Slot { end, amount: part }));
        self.slots.make_contiguous().sort_by_key(|slot| slot.end);
        self.total += amount;
    }

    /// Counts `amounts`, as they were known `age` ago, in place of what rests on less.
    pub(crate) fn rebase(
        &mut self,
        basis: Basis,
        amounts: &[(Duration, f64)],
        age: Duration,
        window: Duration,
        now: Time,
    ) {
        self.slots.clear();
        self.total = 0.0;
        self.basis = (basis, now);
        for (left, amount) in amounts {
            if *left > age {
                let end = now + left.saturating_sub(age);
                self.slots.push_back(Slot { end, amount: *amount });
                self.total += amount;
            }
        }
        self.add(self.used, window, now);
    }

    /// Use within the window that was counted before `since`.
    pub(crate) fn added_before(&self, since: Time, window: Duration) -> f64 {
        let end = since + window;
        self.slots.iter().take_while(|slot| slot.end <= end).map(|slot| slot.amount).sum()
    }

    /// Use within the last `span`.
    pub(crate) fn recent(&self, span: Duration, now: Time) -> f64 {
        // An amount stays for a window, so the newest ones leave last.
        let Some(newest) = self.slots.back() else { return 0.0 };
        let oldest = newest.end.max(now) - span;
        self.slots.iter().rev().take_while(|slot| slot.end > oldest).map(|slot| slot.amount).sum()
    }

    /// Amounts with the time after which each leaves the window.
    pub(crate) fn amounts(&self, now: Time) -> Vec<(Duration, f64)> {
        self.slots.iter().map(|slot| (slot.end.since(now), slot.amount)).collect()
    }

    pub(crate) fn add(&mut self, amount: f64, window: Duration, now: Time) {
        self.expire(window, now);
        self.total += amount;
        let end = now + window;
        let width = window / SLOTS;
        match self.slots.back_mut() {
            Some(slot) if end.since(slot.end) < width => slot.amount += amount,
            _ => self.slots.push_back(Slot { end: end + width, amount }),
        }
    }

    pub(crate) fn expire(&mut self, window: Duration, now: Time) {
        // Nothing from before the start is left in the window.
        if now.since(self.basis.1) >= window {
            self.basis = (Basis::Known, now);
        }
        while let Some(slot) = self.slots.front() {
            if slot.end > now {
                return;
            }
            self.total -= slot.amount;
            self.slots.pop_front();
        }
        // Rounding would leave a rest behind.
        self.total = 0.0;
    }

    /// Time until `cost` units leave the window.
    pub(crate) fn free_in(&self, cost: f64, allowed: f64, now: Time) -> Duration {
        let mut over = self.total + cost - allowed;
        for slot in &self.slots {
            over -= slot.amount;
            if over <= 0.0 {
                return slot.end.since(now);
            }
        }
        self.slots.back().map_or(Duration::ZERO, |slot| slot.end.since(now))
    }
}
