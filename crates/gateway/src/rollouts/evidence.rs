//! Outcomes and latencies that one instance observes during a rollout.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewind_protocol::relay::{
    ArmCounts, LatencyCounts, LatencyReport, RolloutCounts, RouteCounts, TARGET_GROUPS,
};
use sesamewind_protocol::{RouteId, TargetId, Time, text_hash};

/// Latencies within this interval count as one, since a pause of an instance or target delays all
/// requests that are in flight.
const INTERVAL: Duration = Duration::from_millis(250);

/// Bounds on a latency ratio, so that a single outlier doesn't decide.
const RATIO_BOUNDS: (f64, f64) = (0.05, 20.0);

/// Time between two events that counts as a ratio of 1. It only places the usual times within the
/// bounds, since versions are compared with each other.
const USUAL_PACE: Duration = Duration::from_millis(30);

/// Version that served a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Arm {
    /// Any version except the new one.
    Old,
    /// The new version, at a target of this group.
    New(usize),
}

impl Arm {
    /// Returns the arm of a target of the new version.
    pub(super) fn of_new(target: &TargetId) -> Self {
        let groups = TARGET_GROUPS as u64;
        Self::New((text_hash(target.as_str()) % groups) as usize)
    }
}

/// Average of the latencies in the current interval.
#[derive(Debug, Clone, Copy, Default)]
struct Interval {
    /// Number of the interval since the instance's start.
    number: u128,
    requests: u32,
    logs: f64,
}

impl Interval {
    /// Ends the interval if `number` is a later one.
    fn advance(&mut self, number: u128, counts: &mut LatencyCounts) {
        if number == self.number {
            return;
        }
        if self.requests > 0 {
            counts.intervals += 1;
            counts.logs += self.logs / f64::from(self.requests);
        }
        *self = Self { number, requests: 0, logs: 0.0 };
    }
}

/// Number of earlier requests of a route, and of earlier intervals, that count at the start of a
/// rollout. They tell what to expect of any version while the rollout's own counts are small.
const HISTORY_REQUESTS: u32 = 50;
const HISTORY_INTERVALS: u32 = 20;

/// Times of one kind that one instance observes.
#[derive(Debug, Clone, Default)]
struct Latencies {
    counts: LatencyReport,
    old_interval: Interval,
    new_intervals: [Interval; TARGET_GROUPS],
}

impl Latencies {
    /// Returns the latencies at the start of a rollout, from what was counted before.
    fn starting_from(earlier: &Self) -> Self {
        let mut old = earlier.counts.old;
        if old.intervals > HISTORY_INTERVALS {
            old.logs *= f64::from(HISTORY_INTERVALS) / f64::from(old.intervals);
            old.intervals = HISTORY_INTERVALS;
        }
        Self { counts: LatencyReport { old, ..LatencyReport::default() }, ..Self::default() }
    }

    /// Counts a time, relative to the estimate.
    fn count(&mut self, arm: Arm, ratio: f64, now: Time) {
        self.advance(now);
        let interval = match arm {
            Arm::Old => &mut self.old_interval,
            Arm::New(group) => &mut self.new_intervals[group],
        };
        interval.requests += 1;
        interval.logs += ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1).ln();
    }

    /// Ends the intervals that have passed at `now`.
    fn advance(&mut self, now: Time) {
        let number = now.since(Time::ZERO).as_millis() / INTERVAL.as_millis();
        self.old_interval.advance(number, &mut self.counts.old);
        for (interval, counts) in self.new_intervals.iter_mut().zip(&mut self.counts.new) {
            interval.advance(number, counts);
        }
    }
}

/// Evidence of one instance.
#[derive(Debug, Clone, Default)]
pub(super) struct Evidence {
    routes: BTreeMap<RouteId, RouteCounts>,
    /// Requests since the start of the rollout.
    requests: u32,
    /// Requests sent to the new version since then.
    new_sent: u32,
    /// Times to the first byte.
    latencies: Latencies,
    /// Times between two events of a stream.
    paces: Latencies,
}

impl Evidence {
    /// Returns the evidence at the start of a rollout, from what was counted before.
    pub(super) fn starting_from(earlier: Self) -> Self {
        let routes = earlier.routes.into_iter().map(|(route, counts)| {
            let old = counts.old.reduced_to(HISTORY_REQUESTS);
            (route.clone(), RouteCounts { old, ..RouteCounts::new(route) })
        });
        Self {
            routes: routes.collect(),
            latencies: Latencies::starting_from(&earlier.latencies),
            paces: Latencies::starting_from(&earlier.paces),
            ..Self::default()
        }
    }

    /// Counts a request sent to a target.
    pub(super) fn count_sent(&mut self, arm: Arm) {
        self.new_sent += u32::from(arm != Arm::Old);
    }

    /// Counts a request to a target that has begun to answer, or has failed before.
    pub(super) fn count_request(&mut self, route: &RouteId, arm: Arm) {
        self.counts(route, arm).requests += 1;
        self.requests += 1;
    }

    /// Counts the failure of a request that was counted before.
    pub(super) fn count_failure(&mut self, route: &RouteId, arm: Arm) {
        self.counts(route, arm).failures += 1;
    }

    /// Counts a time to the first byte, relative to the estimate.
    pub(super) fn count_latency(&mut self, arm: Arm, ratio: f64, now: Time) {
        self.latencies.count(arm, ratio, now);
    }

    /// Counts the average time between the first events of a stream.
    pub(super) fn count_pace(&mut self, arm: Arm, pace: Duration, now: Time) {
        let ratio = pace.as_secs_f64() / USUAL_PACE.as_secs_f64();
        self.paces.count(arm, ratio, now);
    }

    /// Ends the intervals that have passed at `now`.
    pub(super) fn advance(&mut self, now: Time) {
        self.latencies.advance(now);
        self.paces.advance(now);
    }

    /// Returns the counts to report to peers.
    pub(super) fn report(&self) -> RolloutCounts {
        RolloutCounts {
            requests: self.requests,
            new_sent: self.new_sent,
            routes: self.routes.values().cloned().collect(),
            latency: self.latencies.counts,
            pace: self.paces.counts,
        }
    }

    fn counts(&mut self, route: &RouteId, arm: Arm) -> &mut ArmCounts {
        let counts =
            self.routes.entry(route.clone()).or_insert_with(|| RouteCounts::new(route.clone()));
        match arm {
            Arm::Old => &mut counts.old,
            Arm::New(group) => &mut counts.new[group],
        }
    }
}
