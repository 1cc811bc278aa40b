//! Compares the new version with the old one per stage, route and length class.
//!
//! Within one stage the share is constant and requests are assigned by hash, so both arms are
//! exposed to the same times, loads and targets. A stratum is one combination of stage, route and
//! length class. For each stratum the module estimates how many of the new version's requests would
//! have failed or been slow at the old version, and adds these estimates up. A burst of requests or
//! a slow engine affects both arms alike and does not bias the total.

use std::collections::BTreeMap;

use sesamewind_protocol::evidence::{Arm, Counts, Reason};
use sesamewind_protocol::{RolloutId, RouteId};

use crate::evidence::{Evidence, Tally};
use crate::histogram;
use crate::plan::{is_full, is_recheck};

/// Fraction of the old version's requests that count as slow.
const SLOW_FRACTION: f64 = 0.1;
/// Requests of the old version that a stratum needs before its latency quantile is used.
const MIN_CONTROL_REQUESTS: u64 = 8;
/// Lower bound on the estimated failure rate of any version.
const MIN_FAILURE_RATE: f64 = 0.001;
/// Weight, in requests, of the rate from other strata when the rate of one stratum is estimated.
const STRATUM_PRIOR_REQUESTS: f64 = 50.0;
/// Weight, in requests, of [`OVERALL_PRIOR_FAILURES`] when the rate over all strata is estimated.
const OVERALL_PRIOR_REQUESTS: f64 = 100.0;
/// Failures assumed among [`OVERALL_PRIOR_REQUESTS`].
const OVERALL_PRIOR_FAILURES: f64 = 0.5;
/// Weight, in requests, of the prior when the rate over all strata of a stage is estimated.
/// [`Control`] adds them as requests without failures.
const STAGE_PRIOR_REQUESTS: f64 = 10.0;
/// Standard deviations added to the expected number of bad requests.
const EXPECTATION_MARGIN_SIGMAS: f64 = 1.0;

/// A comparison of both arms, over all routes or for one route.
#[derive(Debug, Clone, PartialEq)]
pub struct Comparison {
    /// What counts as bad: [`Reason::Failing`] or [`Reason::Slow`].
    pub reason: Reason,
    /// The route, or `None` for all routes.
    pub route: Option<RouteId>,
    /// Whether the old version served requests at the same time. If not, the comparison uses its
    /// earlier requests.
    pub concurrent: bool,
    /// Number of bad requests of the new version.
    pub observed: f64,
    /// Number of bad requests that the old version would have had with the same traffic, plus a
    /// margin for the uncertainty of the estimate.
    pub expected: f64,
    /// Requests of both arms.
    pub counts: Counts,
}

/// Totals over the strata of one scope.
#[derive(Debug, Default)]
struct ScopeTotal {
    expected: f64,
    variance: f64,
    counts: Counts,
    stages: BTreeMap<u8, Counts>,
}

impl ScopeTotal {
    fn add(&mut self, stage: u8, rate: f64, variance: f64, old: (u64, u64), new: (u64, u64)) {
        self.expected += rate * new.0 as f64;
        self.variance += variance * (new.0 as f64).powi(2);
        for counts in [&mut self.counts, self.stages.entry(stage).or_default()] {
            counts.old_requests += old.0;
            counts.old_bad += old.1;
            counts.new_requests += new.0;
            counts.new_bad += new.1;
        }
    }

    /// Returns the expected number of failures from the old version's failure rate in each stage,
    /// over all its strata.
    ///
    /// When an engine crashes, a few requests fail in each of many strata, and the estimate for
    /// each stratum stays close to the usual rate. The rate over the whole stage shows the full
    /// effect on the old version.
    fn pooled_expectation(&self, recheck_control: Control) -> f64 {
        let (mut expected, mut variance) = (0.0, 0.0);
        for (stage, counts) in &self.stages {
            let stage_control = Control { requests: counts.old_requests, bad: counts.old_bad };
            let control = if is_recheck(*stage) {
                stage_control.max_by_rate(recheck_control)
            } else {
                stage_control
            };
            let ratio = counts.new_requests as f64 / control.weight();
            expected += control.bad as f64 * ratio;
            variance += control.bad as f64 * ratio.powi(2);
        }
        expected + EXPECTATION_MARGIN_SIGMAS * variance.sqrt()
    }

    fn comparison(&self, scope: &Scope, recheck_control: Control) -> Comparison {
        let stratified = self.expected + EXPECTATION_MARGIN_SIGMAS * self.variance.sqrt();
        let pooled = match scope.reason {
            Reason::Failing => self.pooled_expectation(recheck_control),
            _ => 0.0,
        };
        Comparison {
            reason: scope.reason,
            route: scope.route.clone(),
            concurrent: scope.concurrent,
            observed: self.counts.new_bad as f64,
            expected: stratified.max(pooled),
            counts: self.counts,
        }
    }
}

/// Requests of the old version that serve as the control group.
#[derive(Debug, Clone, Copy)]
struct Control {
    requests: u64,
    bad: u64,
}

impl Control {
    fn weight(self) -> f64 {
        self.requests as f64 + STAGE_PRIOR_REQUESTS
    }

    /// Returns the group with the higher rate of bad requests.
    fn max_by_rate(self, other: Self) -> Self {
        let rate = |control: Self| control.bad as f64 / control.weight();
        if rate(other) > rate(self) { other } else { self }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Stratum {
    stage: u8,
    route: RouteId,
    class: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Scope {
    reason: Reason,
    concurrent: bool,
    route: Option<RouteId>,
}

/// Counts of one arm in one stratum.
#[derive(Debug, Clone, Default)]
struct ArmTotal {
    requests: u64,
    failures: u64,
    durations: Vec<u64>,
}

impl ArmTotal {
    fn add(&mut self, tally: &Tally) {
        self.requests += tally.requests;
        self.failures += tally.failures;
        histogram::add(&mut self.durations, &tally.durations);
    }

    fn merge(&mut self, other: &Self) {
        self.requests += other.requests;
        self.failures += other.failures;
        if self.durations.len() < other.durations.len() {
            self.durations.resize(other.durations.len(), 0);
        }
        for (total, count) in self.durations.iter_mut().zip(&other.durations) {
            *total += count;
        }
    }

    fn subtract(&mut self, earlier: &Self) {
        self.requests = self.requests.saturating_sub(earlier.requests);
        self.failures = self.failures.saturating_sub(earlier.failures);
        for (count, before) in self.durations.iter_mut().zip(&earlier.durations) {
            *count = count.saturating_sub(*before);
        }
    }

    fn served(&self) -> u64 {
        self.durations.iter().sum()
    }
}

#[derive(Debug, Clone, Default)]
struct Arms {
    old: ArmTotal,
    new: ArmTotal,
}

impl Arms {
    fn add(&mut self, arm: Arm, tally: &Tally) {
        match arm {
            Arm::Old => self.old.add(tally),
            Arm::New => self.new.add(tally),
        }
    }
}

/// Counts of both arms per stratum, over all instances.
#[derive(Debug, Clone, Default)]
pub(crate) struct Strata {
    arms: BTreeMap<Stratum, Arms>,
}

impl Strata {
    /// Collects the counts of `rollout`.
    pub(crate) fn of(evidence: &Evidence, rollout: &RolloutId) -> Self {
        let mut arms: BTreeMap<Stratum, Arms> = BTreeMap::new();
        for (key, tally) in evidence.cells_of(rollout) {
            let stratum = Stratum { stage: key.stage, route: key.route.clone(), class: key.class };
            arms.entry(stratum).or_default().add(key.arm, tally);
        }
        Self { arms }
    }

    /// Returns the counts added since `earlier`.
    pub(crate) fn since(&self, earlier: &Self) -> Self {
        let mut recent = self.clone();
        for (stratum, arms) in &mut recent.arms {
            if let Some(before) = earlier.arms.get(stratum) {
                arms.old.subtract(&before.old);
                arms.new.subtract(&before.new);
            }
        }
        recent
    }

    /// Returns the number of requests of the new version.
    pub(crate) fn new_requests(&self) -> u64 {
        self.arms.values().map(|arms| arms.new.requests).sum()
    }

    /// Returns the old version's counts per stage, over all routes and length classes.
    fn old_by_stage(&self) -> BTreeMap<u8, ArmTotal> {
        let mut stages: BTreeMap<u8, ArmTotal> = BTreeMap::new();
        for (stratum, arms) in self.arms.iter().filter(|(stratum, _)| !is_full(stratum.stage)) {
            stages.entry(stratum.stage).or_default().merge(&arms.old);
        }
        stages
    }

    /// Returns the old version's failures over all rechecks. A recheck tests whether failures at
    /// full share affect both versions; rare failures need several rechecks to show that.
    fn recheck_control(&self) -> Control {
        let mut control = Control { requests: 0, bad: 0 };
        for (_, arms) in self.arms.iter().filter(|(stratum, _)| is_recheck(stratum.stage)) {
            control.requests += arms.old.requests;
            control.bad += arms.old.failures;
        }
        control
    }

    /// Returns the old version's counts over all stages, per route and length class and in total.
    fn history(&self) -> History {
        let mut history = History::default();
        for (stratum, arms) in &self.arms {
            let key = (stratum.route.clone(), stratum.class);
            history.routes.entry(key).or_default().merge(&arms.old);
            history.all.merge(&arms.old);
        }
        history
    }
}

#[derive(Debug, Default)]
struct History {
    routes: BTreeMap<(RouteId, u8), ArmTotal>,
    all: ArmTotal,
}

/// Compares the arms over `subset`, a part of `whole`: per route and over all routes.
///
/// `current` is the number of the current stage. Requests at an earlier full stage are left out,
/// because a recheck has followed it.
pub(crate) fn compare(subset: &Strata, whole: &Strata, current: u8) -> Vec<Comparison> {
    let history = whole.history();
    let prior = failure_rate(&history.all, OVERALL_PRIOR_FAILURES, OVERALL_PRIOR_REQUESTS);
    let stages = subset.old_by_stage();
    let mut totals: BTreeMap<Scope, ScopeTotal> = BTreeMap::new();
    for (stratum, arms) in &subset.arms {
        let superseded = is_full(stratum.stage) && stratum.stage != current;
        if arms.new.requests == 0 || superseded {
            continue;
        }
        let Some(history) = history.routes.get(&(stratum.route.clone(), stratum.class)) else {
            continue;
        };
        let base = failure_rate(history, prior * STRATUM_PRIOR_REQUESTS, STRATUM_PRIOR_REQUESTS);
        let stage_rate = match stages.get(&stratum.stage) {
            Some(stage) => failure_rate(stage, base * STAGE_PRIOR_REQUESTS, STAGE_PRIOR_REQUESTS),
            None => base,
        };
        add_failures(&mut totals, stratum, arms, stage_rate, history);
        add_slowness(&mut totals, stratum, arms, history);
    }
    let recheck_control = whole.recheck_control();
    totals.iter().map(|(scope, total)| total.comparison(scope, recheck_control)).collect()
}

fn failure_rate(arm: &ArmTotal, prior_failures: f64, prior_requests: f64) -> f64 {
    (arm.failures as f64 + prior_failures) / (arm.requests as f64 + prior_requests)
}

fn add_failures(
    totals: &mut BTreeMap<Scope, ScopeTotal>,
    stratum: &Stratum,
    arms: &Arms,
    stage_rate: f64,
    history: &ArmTotal,
) {
    let rate = failure_rate(&arms.old, stage_rate * STRATUM_PRIOR_REQUESTS, STRATUM_PRIOR_REQUESTS)
        .max(MIN_FAILURE_RATE);
    let weight = arms.old.requests.max(history.requests) as f64 + STRATUM_PRIOR_REQUESTS;
    let variance = rate / weight;
    let concurrent = !is_full(stratum.stage);
    let old = (arms.old.requests, arms.old.failures);
    let new = (arms.new.requests, arms.new.failures);
    for route in [None, Some(stratum.route.clone())] {
        let scope = Scope { reason: Reason::Failing, concurrent, route };
        totals.entry(scope).or_default().add(stratum.stage, rate, variance, old, new);
    }
}

fn add_slowness(
    totals: &mut BTreeMap<Scope, ScopeTotal>,
    stratum: &Stratum,
    arms: &Arms,
    history: &ArmTotal,
) {
    let concurrent = !is_full(stratum.stage);
    let control = if concurrent { &arms.old } else { history };
    let served = control.served();
    if served < MIN_CONTROL_REQUESTS {
        return;
    }
    let from = histogram::tail_bucket(&control.durations, SLOW_FRACTION);
    let slow = histogram::count_from(&control.durations, from);
    // The quantile comes from the same requests, so one request is added to both counts.
    let rate = (slow + 1) as f64 / (served + 1) as f64;
    let variance = rate * (1.0 - rate) / (served + 2) as f64;
    let old = (served, slow);
    let new = (arms.new.served(), histogram::count_from(&arms.new.durations, from));
    for route in [None, Some(stratum.route.clone())] {
        let scope = Scope { reason: Reason::Slow, concurrent, route };
        totals.entry(scope).or_default().add(stratum.stage, rate, variance, old, new);
    }
}
