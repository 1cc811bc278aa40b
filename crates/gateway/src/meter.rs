//! Usage of one client account over a sliding window, as known to one instance.

use std::collections::VecDeque;
use std::time::Duration;

use sesamewind_protocol::Time;

use crate::table::Unit;

/// Number of time buckets that the window is divided into.
const BUCKETS: u32 = 64;

/// Interval over which an instance's share of the available units follows its own usage.
pub(crate) const SHARE_INTERVAL: Duration = Duration::from_secs(2);

/// Assumed maximum rate of usage between two reports, as a multiple of the limit's rate. While more
/// than that is available, each instance uses what it needs; otherwise it uses only its share. The
/// deployments' accounts request up to four times their limit.
const SURGE_FACTOR: f64 = 4.0;

/// Fraction of a limit's rate that is divided evenly between instances, so that an instance without
/// recent requests of an account can serve its first ones.
const EVEN_FRACTION: f64 = 0.25;

/// Step between two roundings, the fractional part of the golden ratio. Its multiples modulo 1 are
/// spread evenly.
pub(crate) const GOLDEN_FRACTION: f64 = 0.618_033_988_75;

/// Usage in one time bucket.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    end: Time,
    amount: f64,
    /// Part of the amount that was used some time before it was counted.
    late: f64,
}

/// Source of the usage that an instance counts for the time before its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Basis {
    /// This instance was running, or a peer that was running has reported the usage.
    Known,
    /// Saved usage, which may be older than the start.
    Restored,
    /// An assumption.
    Assumed,
    /// None yet, since the account has had no limit here.
    Unknown,
}

/// Usage of one account at all instances, as known to this instance.
///
/// It outlives the account's limit: a configuration may leave the account out for a moment, and peers
/// count usage as a total since the start of this instance.
#[derive(Debug, Clone)]
pub(crate) struct Meter {
    /// Whether the active configuration limits the account.
    pub(crate) is_limited: bool,
    /// Unit of the limit, if there has been one.
    unit: Option<Unit>,
    /// Latest limit within the window.
    pub(crate) limit: f64,
    /// Tolerance over the limit.
    pub(crate) tolerance: f64,
    buckets: VecDeque<Bucket>,
    pub(crate) total: f64,
    /// Buckets and total in the other unit, in which the account may have a limit again.
    other_unit: (VecDeque<Bucket>, f64),
    /// Usage at this instance since its start.
    pub(crate) used: f64,
    /// Recent usage at this instance, with times.
    own: VecDeque<(Time, f64)>,
    /// When a request was last refused.
    pub(crate) last_refusal: Option<Time>,
    /// Rounding of this instance's share to whole requests, and when it was chosen.
    rounding: (f64, Time),
    /// Source of the usage counted for the time before the start, and since when it applies.
    pub(crate) basis: (Basis, Time),
}

/// Usage of one account at the peers that report.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PeersUsage {
    /// Number of peers.
    pub(crate) count: u32,
    /// Age of the oldest report.
    pub(crate) age: Duration,
    /// Estimated units used since the reports.
    pub(crate) unreported: f64,
    /// Units per second.
    pub(crate) smoothed_rate: f64,
}

impl Meter {
    pub(crate) fn new(rounding: f64, basis: (Basis, Time)) -> Self {
        Self {
            is_limited: false,
            unit: None,
            limit: 0.0,
            tolerance: 0.0,
            buckets: VecDeque::new(),
            total: 0.0,
            other_unit: (VecDeque::new(), 0.0),
            used: 0.0,
            own: VecDeque::new(),
            last_refusal: None,
            rounding: (rounding, Time::ZERO),
            basis,
        }
    }

    /// Sets the limit and the tolerance over it. Usage in the other unit does not count against it.
    pub(crate) fn set_limit(&mut self, unit: Unit, limit: f64, tolerance: f64) {
        if self.unit.is_some_and(|known| !known.is_same(unit)) {
            std::mem::swap(&mut self.buckets, &mut self.other_unit.0);
            std::mem::swap(&mut self.total, &mut self.other_unit.1);
            self.own.clear();
        }
        self.is_limited = true;
        self.unit = Some(unit);
        self.limit = limit;
        self.tolerance = tolerance;
    }

    /// Returns whether `cost` of the `available` units may be used. Near the limit, all instances
    /// see the same available units until they receive each other's reports, so each uses only its
    /// share.
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
        // On average, reports are half as old as the oldest one.
        let surge = SURGE_FACTOR * rate * others.age.as_secs_f64() / 2.0;
        // Refused callers are about to retry.
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

    /// Returns the fraction of a request that may be used beyond a share, so that shares smaller
    /// than one request add up to the available units.
    fn rounding(&mut self, age: Duration, now: Time) -> f64 {
        if now.since(self.rounding.1) >= age {
            self.rounding = ((self.rounding.0 + GOLDEN_FRACTION).fract(), now);
        }
        self.rounding.0
    }

    /// Counts `cost` units as used at this instance.
    pub(crate) fn record_own(&mut self, cost: f64, now: Time) {
        self.used += cost;
        self.own.push_back((now, cost));
        while self.own.front().is_some_and(|(at, _)| now.since(*at) > SHARE_INTERVAL) {
            self.own.pop_front();
        }
        self.rounding.0 = (self.rounding.0 + GOLDEN_FRACTION).fract();
    }

    /// Returns the units used at this instance within the last `span`, at most [`SHARE_INTERVAL`].
    fn recent_own(&self, span: Duration, now: Time) -> f64 {
        let recent = self.own.iter().rev().take_while(|(at, _)| now.since(*at) <= span);
        recent.map(|(_, cost)| cost).sum()
    }

    /// Counts `amount` as used evenly over the `span` before `now`.
    pub(crate) fn assume(&mut self, amount: f64, span: Duration, window: Duration, now: Time) {
        let span = span.min(window);
        let per_bucket = amount / f64::from(BUCKETS);
        let ends = (1..=BUCKETS).map(|bucket| now + (window - span) + span / BUCKETS * bucket);
        self.buckets.extend(ends.map(|end| Bucket { end, amount: per_bucket, late: 0.0 }));
        self.buckets.make_contiguous().sort_by_key(|bucket| bucket.end);
        self.total += amount;
    }

    /// Replaces the counted usage by `amounts`, known as of `age` ago, plus the usage at this
    /// instance.
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
                self.buckets.push_back(Bucket { end, amount: *amount, late: 0.0 });
                self.total += amount;
            }
        }
        self.add(self.used, window, now);
    }

    /// Returns the usage within the window that was counted before `since`.
    pub(crate) fn added_before(&self, since: Time, window: Duration) -> f64 {
        let end = since + window;
        self.buckets.iter().take_while(|bucket| bucket.end <= end).map(|bucket| bucket.amount).sum()
    }

    /// Returns the usage within the last `span`, without what was used before and counted then.
    pub(crate) fn recent(&self, span: Duration, now: Time) -> f64 {
        // Each amount stays for one window, so the newest amounts leave last.
        let Some(newest) = self.buckets.back() else { return 0.0 };
        let oldest = newest.end.max(now) - span;
        self.buckets
            .iter()
            .rev()
            .take_while(|bucket| bucket.end > oldest)
            .map(|bucket| bucket.amount - bucket.late)
            .sum()
    }

    /// Returns the amounts, each with the time until it leaves the window.
    pub(crate) fn amounts(&self, now: Time) -> Vec<(Duration, f64)> {
        self.buckets.iter().map(|bucket| (bucket.end.since(now), bucket.amount)).collect()
    }

    pub(crate) fn add(&mut self, amount: f64, window: Duration, now: Time) {
        self.bucket(window, now).amount += amount;
        self.total += amount;
    }

    /// Counts usage of the last while as if it had just been used, since it is not known when it
    /// was.
    pub(crate) fn add_late(&mut self, amount: f64, window: Duration, now: Time) {
        self.add(amount, window, now);
        self.bucket(window, now).late += amount;
    }

    /// Returns the bucket of the present.
    fn bucket(&mut self, window: Duration, now: Time) -> &mut Bucket {
        self.expire(window, now);
        let end = now + window;
        let width = window / BUCKETS;
        if self.buckets.back().is_none_or(|bucket| end.since(bucket.end) >= width) {
            self.buckets.push_back(Bucket { end: end + width, amount: 0.0, late: 0.0 });
        }
        let newest = self.buckets.len() - 1;
        &mut self.buckets[newest]
    }

    pub(crate) fn expire(&mut self, window: Duration, now: Time) {
        // The window no longer includes the time before the start.
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
        // Clears the remaining rounding error.
        self.total = 0.0;
    }

    /// Returns the time until enough usage leaves the window for `cost` units.
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
