//! The brake: judging the merged evidence on one rollout.

use sesamewind_protocol::evidence::{Reason, Stage, VerdictEntry};
use sesamewind_protocol::{InstanceId, RolloutId, WallTime};

use crate::compare::{Comparison, Strata, compare};
use crate::entry::Entry;
use crate::evidence::Evidence;
use crate::plan::stage_number;
use crate::rule::Rule;

/// Part of all bad requests that one route must have for the verdict to name it.
const ROUTE_FRACTION: f64 = 0.8;

/// Judges the evidence on `rollout`; true if a verdict or a suspicion is new.
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
        // An engine that is slow for a while tilts a few dozen requests, but not all of them.
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

/// The comparison that the verdict rests on: failures before slowness, and a single route before
/// all together if nearly all bad requests are its own.
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

/// Requests of the new version between two marks.
const SNAPSHOT_INTERVAL_REQUESTS: u64 = 64;

/// Earlier counts, so that the most recent requests are judged by themselves as well: a version
/// that turns bad is not excused by the many requests that it served before.
#[derive(Debug, Default)]
pub(crate) struct Snapshots {
    last: Strata,
    previous: Strata,
}

impl Snapshots {
    /// What was counted since the mark before the last one; `None` if that is everything.
    fn recent(&mut self, whole: &Strata) -> Option<Strata> {
        if whole.new_requests() >= self.last.new_requests() + SNAPSHOT_INTERVAL_REQUESTS {
            self.previous = std::mem::replace(&mut self.last, whole.clone());
        }
        (self.previous.new_requests() > 0).then(|| whole.since(&self.previous))
    }
}
