//! The brake: judging the merged evidence on one rollout.

use sesamewind_protocol::evidence::{Reason, Stage, VerdictNote};
use sesamewind_protocol::{InstanceId, RolloutId, Wall};

use crate::compare::{Comparison, compare};
use crate::entry::Entry;
use crate::evidence::Evidence;
use crate::plan::stage_number;
use crate::rule::Rule;

/// Part of all bad requests that one route must have for the verdict to name it.
const ROUTE_PART: f64 = 0.8;

/// Judges the evidence on `rollout`; true if a verdict or a suspicion is new.
pub(crate) fn judge(
    entry: &mut Entry,
    rollout: &RolloutId,
    evidence: &Evidence,
    rule: &dyn Rule,
    me: &InstanceId,
    wall: Wall,
) -> bool {
    entry.changed = false;
    if entry.verdict.is_some() || entry.ended() || entry.spec.is_none() {
        return false;
    }
    let stage = entry.stage();
    let comparisons = compare(evidence, rollout, stage_number(stage));
    let decided: Vec<&Comparison> =
        comparisons.iter().filter(|comparison| rule.decides(comparison)).collect();
    if let Some(worst) = decisive(&comparisons, &decided) {
        entry.verdict = Some(VerdictNote {
            rollout: rollout.clone(),
            instance: me.clone(),
            reason: worst.reason,
            route: worst.route.clone(),
            counts: worst.counts,
            at: wall,
        });
        return true;
    }
    let Stage::Full(round) = stage else { return false };
    if decided.is_empty() {
        return false;
    }
    entry.suspect = Some(round);
    true
}

/// The comparison that the verdict rests on: failures before slowness, and a single route before
/// all together if nearly all bad requests are its own.
fn decisive<'a>(all: &'a [Comparison], decided: &[&'a Comparison]) -> Option<&'a Comparison> {
    let concurrent = || decided.iter().copied().filter(|comparison| comparison.concurrent);
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
        let own = comparison.observed >= ROUTE_PART * total.observed;
        comparison.route.is_some() && own && several
    });
    single
        .or_else(|| of_reason().find(|found| found.route.is_none()))
        .or_else(|| of_reason().next())
}
