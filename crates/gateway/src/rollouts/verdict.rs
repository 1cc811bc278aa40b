//! Decides whether the evidence of all instances shows the new version to be bad.
//!
//! Failures are compared route by route, since routes differ in how often their requests fail with
//! any version. Latencies are compared on a logarithmic scale, by intervals instead of requests.
//! Evidence that rests on one instance, or on a few of the new version's targets, does not decide:
//! a crash, a pause or a faulty target is not the version's fault. Without the evidence of the
//! instance, or of the quarter of the targets, that speaks most against the version, a weaker
//! difference must remain. If what remains is too little to differ from the whole, all evidence
//! decides, and must be stronger: one instance or target may serve nearly all requests of the version.

use std::collections::BTreeMap;

use sesamewind_protocol::RouteId;
use sesamewind_protocol::relay::{
    ArmCounts, LatencyCounts, LatencyReport, RolloutCounts, TARGET_GROUPS,
};
use sesamewind_rollout::rule::MaxSprt;
use statrs::distribution::{Binomial, DiscreteCDF};

use super::status::{LatencyAverage, LatencyComparison};

/// Weight, in requests, of the service's failure rate in the expected rate of one route.
const PRIOR_REQUESTS: f64 = 5.0;

/// Upper limit on the rate that is expected of a route with few requests.
const MAX_PRIOR_RATE: f64 = 0.05;

/// Number of requests below which the old version's failure rate is not taken for zero.
const MIN_BASELINE: f64 = 20.0;

/// Failure rate that any version is allowed.
const FAILURE_FLOOR: f64 = 0.002;

/// Number of standard deviations added to the expected failures. It compensates for evaluating the
/// counts many times.
const EXPECTATION_MARGIN: f64 = 1.0;

/// Standard deviation of an interval's average logarithmic latency ratio.
const LOG_DEVIATION: f64 = 0.6;

/// Required strength of the evidence.
#[derive(Debug, Clone, Copy)]
struct Thresholds {
    /// Minimum number of failures.
    failures: f64,
    /// Log-likelihood ratio of the failures that must be exceeded.
    log_ratio: f64,
    /// Minimum number of intervals with latencies of each version.
    intervals: f64,
    /// Tolerated ratio of the average latencies. Bad versions are several times slower, and targets
    /// of the same version differ among themselves.
    slowdown: f64,
    /// Number of standard deviations by which the difference of the averages must exceed it.
    margin: f64,
}

/// Required strength of all evidence, and of what remains without the most adverse part.
#[derive(Debug, Clone, Copy)]
struct Level {
    all: Thresholds,
    remainder: Thresholds,
    /// For all evidence where the remainder does not differ from it.
    concentrated: Thresholds,
}

/// Probability below which the remainder does not differ from all evidence by chance, and the number of
/// standard deviations that correspond to it.
const CHANCE: f64 = 0.25;
const CHANCE_DEVIATIONS: f64 = 0.67;

/// Part of all evidence below which the remainder can't differ from it.
const MIN_REMAINDER: f64 = 0.25;

/// Evidence for rolling the version back at any time.
const BAD: Level = Level {
    all: Thresholds { failures: 8.0, log_ratio: 4.5, intervals: 8.0, slowdown: 2.0, margin: 2.0 },
    remainder: Thresholds {
        failures: 3.0,
        log_ratio: 1.0,
        intervals: 1.0,
        slowdown: 1.5,
        margin: 2.0,
    },
    concentrated: Thresholds {
        failures: 16.0,
        log_ratio: 9.0,
        intervals: 16.0,
        slowdown: 2.0,
        margin: 3.0,
    },
};

const SUSPECT_OF_ALL: Thresholds =
    Thresholds { failures: 4.0, log_ratio: 2.0, intervals: 5.0, slowdown: 1.8, margin: 2.0 };

/// Evidence for not sending the version more requests, and for rolling it back when the rollout
/// should complete.
const SUSPECT: Level = Level {
    all: SUSPECT_OF_ALL,
    concentrated: SUSPECT_OF_ALL,
    remainder: Thresholds {
        failures: 1.0,
        log_ratio: 0.2,
        intervals: 1.0,
        slowdown: 1.5,
        margin: 2.0,
    },
};

const UNCLEAR_OF_ALL: Thresholds =
    Thresholds { failures: 2.0, log_ratio: 1.5, intervals: 3.0, slowdown: 1.5, margin: 0.0 };

/// Evidence for not increasing the version's share yet. Unlike the others it needs no significance:
/// a good version is delayed until its averages show it to be one.
const UNCLEAR: Level = Level {
    all: UNCLEAR_OF_ALL,
    concentrated: UNCLEAR_OF_ALL,
    remainder: Thresholds {
        failures: 1.0,
        log_ratio: 0.5,
        intervals: 1.0,
        slowdown: 1.4,
        margin: 0.0,
    },
};

/// Strength of the evidence against a new version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvidenceLevel {
    /// There is none, or not enough.
    #[default]
    None,
    /// The version's share must not grow.
    Unclear,
    /// The version must not receive more requests.
    Suspect,
    /// The version must be rolled back.
    Bad,
}

impl EvidenceLevel {
    /// Returns the level as written in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Unclear => "unclear",
            Self::Suspect => "suspect",
            Self::Bad => "bad",
        }
    }
}

/// What is measured of the speed of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Measure {
    /// Time to the first byte.
    Latency,
    /// Time between two events of a stream. A slow version lengthens all of it, but only a part of
    /// the time to the first byte.
    Pace,
}

impl Measure {
    const ALL: [Self; 2] = [Self::Latency, Self::Pace];

    fn of(self, counts: &RolloutCounts) -> &LatencyReport {
        match self {
            Self::Latency => &counts.latency,
            Self::Pace => &counts.pace,
        }
    }
}

/// Evidence of all instances.
#[derive(Debug, Clone)]
pub(super) struct Verdict<'a> {
    reports: Vec<&'a RolloutCounts>,
    /// Counts of all reports.
    totals: BTreeMap<&'a RouteId, RouteTotal>,
    baseline: Baseline<'a>,
}

/// Counts of one route over several instances.
#[derive(Debug, Clone, Copy, Default)]
struct RouteTotal {
    old: ArmCounts,
    new: [ArmCounts; TARGET_GROUPS],
}

/// Parts of the evidence to leave out.
#[derive(Debug, Clone, Copy, Default)]
struct Omitted {
    /// Position of an instance's report.
    report: Option<usize>,
    /// Groups of targets.
    groups: [bool; TARGET_GROUPS],
}

impl<'a> Verdict<'a> {
    /// Prepares a verdict on the reports of all instances.
    pub(super) fn new(reports: Vec<&'a RolloutCounts>) -> Self {
        let totals = totals(&reports, None);
        let baseline = Baseline::new(&totals);
        Self { reports, totals, baseline }
    }

    /// Returns the strongest level that also holds without the most adverse part.
    pub(super) fn level(&self) -> EvidenceLevel {
        strongest(|level| {
            self.is_failing(level)
                || Measure::ALL.iter().any(|&measure| self.is_slow(measure, level))
        })
    }

    /// Returns the strongest level that all evidence holds for.
    pub(super) fn level_of_all(&self) -> EvidenceLevel {
        let all = Omitted::default();
        strongest(|level| {
            self.exceeds_failures(all, &level.all)
                || Measure::ALL
                    .iter()
                    .any(|&measure| self.exceeds_latency(measure, all, &level.all))
        })
    }

    /// Returns the number of requests sent to the new version.
    pub(super) fn new_sent(&self) -> u64 {
        self.reports.iter().map(|report| u64::from(report.new_sent)).sum()
    }

    /// Returns the averages of one measure at both versions.
    pub(super) fn comparison(&self, measure: Measure) -> LatencyComparison {
        let average = |(log, intervals): (f64, f64)| LatencyAverage { intervals, ratio: log.exp() };
        LatencyComparison {
            new: average(self.new_average(measure, Omitted::default())),
            old: average(self.old_average(measure)),
        }
    }

    fn is_failing(&self, level: &Level) -> bool {
        let excess =
            |new: &ArmCounts, rate: f64| f64::from(new.failures) - rate * f64::from(new.requests);
        let all = Omitted::default();
        if !self.exceeds_failures(all, &level.all) {
            return false;
        }
        let rates = &self.baseline;
        let by_group = |group: usize| {
            let cells = self.reports.iter().flat_map(|report| &report.routes);
            cells.map(|route| excess(&route.new[group], rates.rate(&route.route))).sum()
        };
        let by_report = |report: &RolloutCounts| {
            let cells = report.routes.iter().flat_map(|route| {
                let rate = rates.rate(&route.route);
                route.new.iter().map(move |new| excess(new, rate))
            });
            cells.sum()
        };
        let requests = |counts: &RolloutCounts, group: usize| {
            counts.routes.iter().any(|route| route.new[group].requests > 0)
        };
        self.without_worst(by_group, by_report, requests).iter().all(|&omitted| {
            self.exceeds_failures(omitted, &level.remainder)
                || !self.are_failures_concentrated(omitted)
                    && self.exceeds_failures(all, &level.concentrated)
        })
    }

    fn is_slow(&self, measure: Measure, level: &Level) -> bool {
        let all = Omitted::default();
        if !self.exceeds_latency(measure, all, &level.all) {
            return false;
        }
        let (old, _) = self.old_average(measure);
        let excess = |new: &LatencyCounts| new.logs - f64::from(new.intervals) * old;
        let by_group = |group: usize| {
            self.reports.iter().map(|report| excess(&measure.of(report).new[group])).sum()
        };
        let by_report = |report: &RolloutCounts| measure.of(report).new.iter().map(excess).sum();
        let timed =
            |counts: &RolloutCounts, group: usize| measure.of(counts).new[group].intervals > 0;
        self.without_worst(by_group, by_report, timed).iter().all(|&omitted| {
            self.exceeds_latency(measure, omitted, &level.remainder)
                || !self.is_slowness_concentrated(measure, omitted)
                    && self.exceeds_latency(measure, all, &level.concentrated)
        })
    }

    /// Returns what to leave out in turn: the quarter of the target groups with the largest
    /// `by_group`, and the instance with the largest `by_report`. A single group is not left out,
    /// nor is one of two instances.
    fn without_worst(
        &self,
        by_group: impl Fn(usize) -> f64,
        by_report: impl Fn(&RolloutCounts) -> f64,
        is_present: impl Fn(&RolloutCounts, usize) -> bool,
    ) -> Vec<Omitted> {
        let mut omitted = Vec::new();
        let mut groups: Vec<usize> = (0..TARGET_GROUPS)
            .filter(|&group| self.reports.iter().any(|report| is_present(report, group)))
            .collect();
        if groups.len() > 1 {
            groups.sort_by(|&a, &b| by_group(b).total_cmp(&by_group(a)));
            let mut worst = Omitted::default();
            for &group in &groups[..groups.len().div_ceil(4)] {
                worst.groups[group] = true;
            }
            omitted.push(worst);
        }
        let mut reports: Vec<usize> = (0..self.reports.len())
            .filter(|&at| (0..TARGET_GROUPS).any(|group| is_present(self.reports[at], group)))
            .collect();
        if reports.len() > 2 {
            let excess = |at: usize| by_report(self.reports[at]);
            reports.sort_by(|&a, &b| excess(b).total_cmp(&excess(a)));
            omitted.push(Omitted { report: reports.first().copied(), ..Omitted::default() });
        }
        omitted
    }

    /// Returns whether the failures of the new version exceed what the old version's failures let
    /// expect.
    fn exceeds_failures(&self, omitted: Omitted, thresholds: &Thresholds) -> bool {
        self.sums(omitted).iter().any(|sum| {
            f64::from(sum.new.failures) >= thresholds.failures
                && sum.log_ratio() > thresholds.log_ratio
        })
    }

    /// Returns whether the failures fall on the omitted part by more than chance, on the routes that
    /// show most against the version.
    fn are_failures_concentrated(&self, omitted: Omitted) -> bool {
        let (all, remainder) = (self.sums(Omitted::default()), self.sums(omitted));
        let pairs = all.iter().zip(&remainder);
        let strongest = pairs.max_by(|(a, _), (b, _)| a.log_ratio().total_cmp(&b.log_ratio()));
        let Some((all, remainder)) = strongest else { return false };
        let share = f64::from(remainder.new.requests) / f64::from(all.new.requests.max(1));
        share >= MIN_REMAINDER
            && Binomial::new(share, u64::from(all.new.failures))
                .is_ok_and(|chance| chance.cdf(u64::from(remainder.new.failures)) < CHANCE)
    }

    /// Adds up the routes in the order of their expected failure rates and returns all sums. The most
    /// significant of them counts: a route whose requests often fail anyway would hide the difference
    /// on the others.
    fn sums(&self, omitted: Omitted) -> Vec<Sum> {
        let reduced = omitted.report.map(|report| totals(&self.reports, Some(report)));
        let totals = reduced.as_ref().unwrap_or(&self.totals);
        let routes = self.totals.keys().map(|route| {
            let total = totals.get(route).copied().unwrap_or_default();
            (self.baseline.rate(route), total.new_counts(omitted.groups))
        });
        let mut routes: Vec<_> = routes.collect();
        routes.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut sum = Sum::default();
        let sums = routes.iter().map(|(rate, new)| {
            sum.new.add(new);
            sum.expected += rate * f64::from(new.requests);
            sum
        });
        sums.collect()
    }

    /// Returns the average logarithmic ratio of the new version and the number of intervals it
    /// covers.
    fn new_average(&self, measure: Measure, omitted: Omitted) -> (f64, f64) {
        let reports = self.reports.iter().enumerate();
        let kept = reports.filter(|(at, _)| omitted.report != Some(*at));
        let new = kept.flat_map(|(_, report)| measure.of(report).new.iter().enumerate());
        average(new.filter(|(group, _)| !omitted.groups[*group]).map(|(_, counts)| counts))
    }

    /// Returns the same of the other versions.
    fn old_average(&self, measure: Measure) -> (f64, f64) {
        average(self.reports.iter().map(|report| &measure.of(report).old))
    }

    fn exceeds_latency(&self, measure: Measure, omitted: Omitted, thresholds: &Thresholds) -> bool {
        let (old, old_intervals) = self.old_average(measure);
        let (new, new_intervals) = self.new_average(measure, omitted);
        if new_intervals < thresholds.intervals || old_intervals < thresholds.intervals {
            return false;
        }
        let deviation = LOG_DEVIATION * (1.0 / new_intervals + 1.0 / old_intervals).sqrt();
        new - old > thresholds.slowdown.ln() + thresholds.margin * deviation
    }

    /// Returns whether the omitted part is slower than the remainder by more than chance.
    fn is_slowness_concentrated(&self, measure: Measure, omitted: Omitted) -> bool {
        let (all, all_intervals) = self.new_average(measure, Omitted::default());
        let (remainder, intervals) = self.new_average(measure, omitted);
        let deviation = LOG_DEVIATION / intervals.sqrt();
        intervals >= MIN_REMAINDER * all_intervals
            && all - remainder > CHANCE_DEVIATIONS * deviation
    }
}

/// Requests of the new version on several routes.
#[derive(Debug, Clone, Copy, Default)]
struct Sum {
    new: ArmCounts,
    /// Failures that the rates of the routes let expect.
    expected: f64,
}

impl Sum {
    /// Returns the log-likelihood ratio of the failures.
    fn log_ratio(&self) -> f64 {
        let rule = MaxSprt::default();
        let margin = EXPECTATION_MARGIN * self.expected.sqrt();
        let expected = rule.tolerated * (self.expected + margin);
        MaxSprt::log_ratio(f64::from(self.new.failures), expected)
    }
}

/// Returns the strongest level that `holds`.
fn strongest(holds: impl Fn(&Level) -> bool) -> EvidenceLevel {
    if holds(&BAD) {
        EvidenceLevel::Bad
    } else if holds(&SUSPECT) {
        EvidenceLevel::Suspect
    } else if holds(&UNCLEAR) {
        EvidenceLevel::Unclear
    } else {
        EvidenceLevel::None
    }
}

/// Failure rates to expect of the new version.
#[derive(Debug, Clone)]
struct Baseline<'a> {
    service: f64,
    routes: BTreeMap<&'a RouteId, f64>,
}

impl<'a> Baseline<'a> {
    /// Derives the rates from the old version's requests.
    fn new(totals: &BTreeMap<&'a RouteId, RouteTotal>) -> Self {
        let mut all = ArmCounts::default();
        for total in totals.values() {
            all.add(&total.old);
        }
        // One failure is added, so that a short run without failures doesn't make the rate zero.
        let requests = (f64::from(all.requests) + 1.0).max(MIN_BASELINE);
        let service =
            ((f64::from(all.failures) + 1.0) / requests).clamp(FAILURE_FLOOR, MAX_PRIOR_RATE);
        let routes = totals.iter().map(|(&route, total)| {
            let failures = f64::from(total.old.failures) + PRIOR_REQUESTS * service;
            let requests = f64::from(total.old.requests) + PRIOR_REQUESTS;
            let rate = failures / requests;
            let deviation = (rate / requests).sqrt();
            (route, (rate + deviation).max(FAILURE_FLOOR))
        });
        Self { service, routes: routes.collect() }
    }

    fn rate(&self, route: &RouteId) -> f64 {
        self.routes.get(route).copied().unwrap_or(self.service)
    }
}

/// Adds up the counts of each route, except those of the report at `omitted`.
fn totals<'a>(
    reports: &[&'a RolloutCounts],
    omitted: Option<usize>,
) -> BTreeMap<&'a RouteId, RouteTotal> {
    let mut totals: BTreeMap<&RouteId, RouteTotal> = BTreeMap::new();
    for (at, report) in reports.iter().enumerate() {
        if omitted == Some(at) {
            continue;
        }
        for route in &report.routes {
            let total = totals.entry(&route.route).or_default();
            total.old.add(&route.old);
            for (sum, new) in total.new.iter_mut().zip(&route.new) {
                sum.add(new);
            }
        }
    }
    totals
}

impl RouteTotal {
    fn new_counts(&self, omitted: [bool; TARGET_GROUPS]) -> ArmCounts {
        let mut sum = ArmCounts::default();
        for (new, is_omitted) in self.new.iter().zip(omitted) {
            if !is_omitted {
                sum.add(new);
            }
        }
        sum
    }
}

/// Returns the average logarithmic latency ratio and the number of intervals it covers.
fn average<'c>(counts: impl Iterator<Item = &'c LatencyCounts>) -> (f64, f64) {
    let (mut intervals, mut logs) = (0.0, 0.0);
    for counts in counts {
        intervals += f64::from(counts.intervals);
        logs += counts.logs;
    }
    (if intervals > 0.0 { logs / intervals } else { 0.0 }, intervals)
}
