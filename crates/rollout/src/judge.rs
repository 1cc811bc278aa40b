//! Judges the merged evidence on one rollout. Every instance does this itself, so that it can halt
//! a bad version without the leader or the store.

use sesamewind_protocol::evidence::{Reason, Stage, VerdictEntry};
use sesamewind_protocol::{InstanceId, RolloutId, WallTime};

use crate::compare::{Comparison, Strata, compare};
use crate::entry::Entry;
use crate::evidence::Evidence;
use crate::plan::stage_number;
use crate::rule::Rule;

/// Fraction of all bad requests that one route must have for the verdict to name that route.
const ROUTE_FRACTION: f64 = 0.8;

/// Judges the evidence on `rollout`. Returns whether a verdict was reached or the full stage became
/// suspect.
pub(crate) fn judge(
    entry: &mut Entry,
    rollout: &RolloutId,
    evidence: &Evidence,
    rule: &dyn Rule,
    instance: &InstanceId,
    wall: WallTime,
) -> bool {
    entry.changed = false;
    if entry.verdict.is_some() || entry.has_ended() || entry.spec.is_none() {
        return false;
    }
    let stage = entry.stage();
    let whole = Strata::of(evidence, rollout);
    let recent = entry.snapshots.recent(&whole);
    let number = stage_number(stage);
    let mut comparisons = vec![compare(&whole, &whole, number)];
    if let Some(recent) = recent {
        let mut recent_failures = compare(&recent, &whole, number);
        // A temporarily slow engine can bias a few dozen recent requests, so these are judged by
        // failures only.
        recent_failures.retain(|comparison| comparison.reason == Reason::Failing);
        comparisons.push(recent_failures);
    }
    if let Some(worst) = comparisons.iter().find_map(|all| decisive(all, rule)) {
        entry.verdict = Some(VerdictEntry {
            rollout: rollout.clone(),
            instance: instance.clone(),
            reason: worst.reason,
            route: worst.route.clone(),
            counts: worst.counts,
            at: wall,
        });
        return true;
    }
    let Stage::Full(round) = stage else { return false };
    if !comparisons.iter().flatten().any(|comparison| rule.is_significant(comparison)) {
        return false;
    }
    entry.suspect = Some(round);
    true
}

/// Returns the comparison that the verdict rests on. Failures take precedence over slowness. A
/// single route takes precedence over all routes if it has nearly all bad requests.
fn decisive<'a>(all: &'a [Comparison], rule: &dyn Rule) -> Option<&'a Comparison> {
    let concurrent =
        || all.iter().filter(|comparison| comparison.concurrent && rule.is_significant(comparison));
    let reason = [Reason::Failing, Reason::Slow]
        .into_iter()
        .find(|reason| concurrent().any(|comparison| comparison.reason == *reason))?;
    let of_reason = || concurrent().filter(|comparison| comparison.reason == reason);
    let total = all
        .iter()
        .find(|found| found.reason == reason && found.concurrent && found.route.is_none())?;
    let routes = all
        .iter()
        .filter(|found| found.reason == reason && found.concurrent && found.route.is_some());
    let several = routes.count() > 1;
    let single = of_reason().find(|comparison| {
        let dominant = comparison.observed >= ROUTE_FRACTION * total.observed;
        comparison.route.is_some() && dominant && several
    });
    single
        .or_else(|| of_reason().find(|found| found.route.is_none()))
        .or_else(|| of_reason().next())
}

/// Requests of the new version between two snapshots.
const SNAPSHOT_INTERVAL_REQUESTS: u64 = 64;

/// Earlier counts. They allow recent requests to be judged on their own, so that the good requests
/// of a version that turns bad do not hide its failures.
#[derive(Debug, Default)]
pub(crate) struct Snapshots {
    last: Strata,
    previous: Strata,
}

impl Snapshots {
    /// Returns the counts added since the previous snapshot, or `None` if there is none yet.
    fn recent(&mut self, whole: &Strata) -> Option<Strata> {
        if whole.new_requests() >= self.last.new_requests() + SNAPSHOT_INTERVAL_REQUESTS {
            self.previous = std::mem::replace(&mut self.last, whole.clone());
        }
        (self.previous.new_requests() > 0).then(|| whole.since(&self.previous))
    }
}
