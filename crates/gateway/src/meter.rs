//! Use of one client account's limit over a sliding window, as one instance knows it.

use std::collections::VecDeque;
use std::time::Duration;

use sesamewind_protocol::Time;

/// Slots that the window is divided into.
const BUCKETS: u32 = 64;

/// Time over which the instances' shares of what is free follow their use.
pub(crate) const SHARE_INTERVAL: Duration = Duration::from_secs(2);

/// How fast an account may be used between two reports, as a multiple of its limit's rate. While more
/// than that is free, each instance uses what it needs; of less, it takes its share only. The
/// deployments' accounts ask for up to four times their limit.
const SURGE_FACTOR: f64 = 4.0;

/// Part of a limit's rate that is divided evenly when shares are made, so that an instance that had no
/// requests of an account can serve its first ones.
const EVEN_FRACTION: f64 = 0.25;

/// Step between two roundings: its multiples fill the interval from zero to one evenly.
pub(crate) const GOLDEN_FRACTION: f64 = 0.618_033_988_75;

/// Use within one slot of time.
#[derive(Debug, Clone, Copy)]
struct Bucket {
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
    buckets: VecDeque<Bucket>,
    pub(crate) total: f64,
    /// Use at this instance since its start.
    pub(crate) used: f64,
    /// The latest of it, with its times.
    own: VecDeque<(Time, f64)>,
    /// When a request was refused last.
    pub(crate) last_refusal: Option<Time>,
    /// Rounding of this instance's share to whole requests, and when it was drawn.
    rounding: (f64, Time),
    /// What is known of the use before the start, and since when.
    pub(crate) basis: (Basis, Time),
}

/// Use of one account at the peers that are heard.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PeersUsage {
    /// The peers.
    pub(crate) count: u32,
    /// Age of the oldest report.
    pub(crate) age: Duration,
    /// Units that they are likely to have used since their reports.
    pub(crate) unreported: f64,
    /// Units a second.
    pub(crate) smoothed_rate: f64,
}

impl Meter {
    pub(crate) fn new(rounding: f64) -> Self {
        Self {
            limit: 0.0,
            tolerance: 0.0,
            buckets: VecDeque::new(),
            total: 0.0,
            used: 0.0,
            own: VecDeque::new(),
            last_refusal: None,
            rounding: (rounding, Time::ZERO),
            basis: (Basis::Known, Time::ZERO),
        }
    }

    /// Whether `cost` units may be used of the `room` that is free. Near the limit all instances see
    /// the same room until they hear of one another, so each takes its share only.
    pub(crate) fn is_allowed(
        &mut self,
        cost: f64,
        available: f64,
        others: &PeersUsage,
        window: Duration,
        now: Time,
    ) -> bool {
        if available < cost {
            return false;
        }
        let rate = self.limit / window.as_secs_f64();
        // Reports are half as old as the oldest one on average.
        let surge = SURGE_FACTOR * rate * others.age.as_secs_f64() / 2.0;
        // Callers who were refused are about to return.
        let recently_refused = self.last_refusal.is_some_and(|at| now.since(at) < SHARE_INTERVAL);
        if others.count == 0 || (available >= cost + surge && !recently_refused) {
            return true;
        }
        let even = EVEN_FRACTION * rate / f64::from(others.count + 1);
        let own = self.recent_own(SHARE_INTERVAL, now) / SHARE_INTERVAL.as_secs_f64() + even;
        let share = own / (own + others.smoothed_rate + even * f64::from(others.count));
        let recent = self.recent_own(others.age, now);
        recent + cost <= share * (available + recent) + self.rounding(others.age, now) * cost
    }

    /// Part of a request that may be used beyond a share, so that shares smaller than a request add
    /// up to what is free.
    fn rounding(&mut self, age: Duration, now: Time) -> f64 {
        if now.since(self.rounding.1) >= age {
            self.rounding = ((self.rounding.0 + GOLDEN_FRACTION).fract(), now);
        }
        self.rounding.0
    }

    /// Counts `cost` units as used here.
    pub(crate) fn record_own(&mut self, cost: f64, now: Time) {
        self.used += cost;
        self.own.push_back((now, cost));
        while self.own.front().is_some_and(|(at, _)| now.since(*at) > SHARE_INTERVAL) {
            self.own.pop_front();
        }
        self.rounding.0 = (self.rounding.0 + GOLDEN_FRACTION).fract();
    }

    /// Units that were used here in the last `span`, at most [`PACE_TIME`].
    fn recent_own(&self, span: Duration, now: Time) -> f64 {
        let recent = self.own.iter().rev().take_while(|(at, _)| now.since(*at) <= span);
        recent.map(|(_, cost)| cost).sum()
    }

    /// Counts `amount` as used evenly over the `span` before `now`.
    pub(crate) fn assume(&mut self, amount: f64, span: Duration, window: Duration, now: Time) {
        let span = span.min(window);
        let part = amount / f64::from(BUCKETS);
        let ends = (1..=BUCKETS).map(|bucket| now + (window - span) + span / BUCKETS * bucket);
        self.buckets.extend(ends.map(|end| Bucket { end, amount: part }));
        self.buckets.make_contiguous().sort_by_key(|bucket| bucket.end);
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
        self.buckets.clear();
        self.total = 0.0;
        self.basis = (basis, now);
        for (left, amount) in amounts {
            if *left > age {
                let end = now + left.saturating_sub(age);
                self.buckets.push_back(Bucket { end, amount: *amount });
                self.total += amount;
            }
        }
        self.add(self.used, window, now);
    }

    /// Use within the window that was counted before `since`.
    pub(crate) fn added_before(&self, since: Time, window: Duration) -> f64 {
        let end = since + window;
        self.buckets.iter().take_while(|bucket| bucket.end <= end).map(|bucket| bucket.amount).sum()
    }

    /// Use within the last `span`.
    pub(crate) fn recent(&self, span: Duration, now: Time) -> f64 {
        // An amount stays for a window, so the newest ones leave last.
        let Some(newest) = self.buckets.back() else { return 0.0 };
        let oldest = newest.end.max(now) - span;
        self.buckets
            .iter()
            .rev()
            .take_while(|bucket| bucket.end > oldest)
            .map(|bucket| bucket.amount)
            .sum()
    }

    /// Amounts with the time after which each leaves the window.
    pub(crate) fn amounts(&self, now: Time) -> Vec<(Duration, f64)> {
        self.buckets.iter().map(|bucket| (bucket.end.since(now), bucket.amount)).collect()
    }

    pub(crate) fn add(&mut self, amount: f64, window: Duration, now: Time) {
        self.expire(window, now);
        self.total += amount;
        let end = now + window;
        let width = window / BUCKETS;
        match self.buckets.back_mut() {
            Some(bucket) if end.since(bucket.end) < width => bucket.amount += amount,
            _ => self.buckets.push_back(Bucket { end: end + width, amount }),
        }
    }

    pub(crate) fn expire(&mut self, window: Duration, now: Time) {
        // Nothing from before the start is left in the window.
        if now.since(self.basis.1) >= window {
            self.basis = (Basis::Known, now);
        }
        while let Some(bucket) = self.buckets.front() {
            if bucket.end > now {
                return;
            }
            self.total -= bucket.amount;
            self.buckets.pop_front();
        }
        // Rounding would leave a rest behind.
        self.total = 0.0;
    }

    /// Time until `cost` units leave the window.
    pub(crate) fn time_until_free(&self, cost: f64, allowed: f64, now: Time) -> Duration {
        let mut over = self.total + cost - allowed;
        for bucket in &self.buckets {
            over -= bucket.amount;
            if over <= 0.0 {
                return bucket.end.since(now);
            }
        }
        self.buckets.back().map_or(Duration::ZERO, |bucket| bucket.end.since(now))
    }
}
