//! The choice of a target.
//!
//! Model engines admit requests in order of arrival and slow down with what runs beside, so the
//! choice goes by the predicted time to the first token: the target's learned pace times the
//! prompt and the prompts before it. Plain targets are chosen by the same rule with no prompt.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use sesamewind_protocol::{Time, ZoneId, text_hash};

use crate::gateway::Identity;
use crate::groups::{self, MemberPosition};
use crate::rollouts::AllowedVersions;
use crate::targets::{Index, Target, Targets};

/// Estimate of the time to the first byte at pace one, without a prompt, in milliseconds. Only the
/// ratio to [`TOKEN_MS`] matters, since each target's pace is learned.
const BASE_MS: f64 = 50.0;

/// Estimate of the time to read one prompt token at pace one, in milliseconds.
const TOKEN_MS: f64 = 0.01;

/// How much a target that is full but for one place delays a request, in milliseconds at pace one.
const FULL_PENALTY_MS: f64 = 25.0;

/// Charge for a target in another availability zone, in milliseconds.
const ZONE_PENALTY_MS: f64 = 4.0;

/// Targets of a service that one instance prefers. Few instances share a target then, so that each
/// knows its load well.
const PREFERRED_TARGETS: usize = 8;

/// Charge for a target that others prefer, in milliseconds: less than what a fast target with a
/// free place gains over a slow one.
const NOT_PREFERRED_MS: f64 = 20.0;

/// Places that are left free at targets of other groups, whose load is known late.
pub(crate) const OTHER_GROUP_MARGIN: u32 = 3;

/// Requests of one instance at a target of another group: dozens of instances may see the same one free.
const OTHER_GROUP_MAX_OWN: u32 = 2;

/// Part of the score of a target of another group that is drawn at random, in milliseconds: more than
/// targets with free places differ by, so that instances that see the same ones free choose unlike ones.
const OTHER_GROUP_JITTER_MS: f64 = 80.0;

/// Part of the allowed pause from which a target's average counts as likely to be too long: half of the
/// streams pause for longer than the average.
const PAUSE_LIMIT_FRACTION: f64 = 0.8;

/// Pauses of a slow target relative to the average of all; the slow ones are several times as slow.
const SLOW_PAUSE_FACTOR: f64 = 1.5;

/// Charge for a target at which the stream is likely to be late, in milliseconds: the objective of most
/// streams.
const LONG_PAUSE_PENALTY_MS: f64 = 600.0;

/// Charge for a quick target to a stream that a slow one serves as well, in milliseconds: what a slow one
/// takes longer to the first byte.
const FAST_TARGET_PENALTY_MS: f64 = 150.0;

/// How much a target's failures weigh: at a failure rate of one its time counts this many times
/// more.
const FAILURE_FACTOR: f64 = 8.0;

/// Part of the score that is drawn at random, so that instances with the same view spread out.
const JITTER_FRACTION: f64 = 0.15;

/// What is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct SelectionRequest<'a> {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Targets not to be used again.
    pub tried: &'a [Index],
    /// Longest predicted time to the first byte.
    pub latency_limit: Option<Duration>,
    /// Part of each target's slots that is left to others.
    pub headroom: f64,
    /// Longest pause that its stream may have; zero for any.
    pub pause_limit: Duration,
    /// Whether its stream is long, if that is known.
    pub long_stream: Option<bool>,
    /// Whether it waits for a target whose pauses are short enough, if there is one.
    pub strict_pause: bool,
    /// Versions that may take it.
    pub versions: &'a AllowedVersions,
}

/// Where and when the choice is made.
#[derive(Debug, Clone, Copy)]
pub struct SelectionContext<'a> {
    /// Availability zone of this instance.
    pub zone: &'a ZoneId,
    /// Requests that a target takes for each of its slots.
    pub slot_requests: f64,
    /// Places that are left free at targets that others prefer.
    pub margin: u32,
    /// The present time.
    pub now: Time,
}

/// Time to the first byte that the service's estimate gives for a prompt behind `ahead` tokens of
/// others, in milliseconds at pace one.
pub fn estimate_ms(prompt: u32, ahead: u32) -> f64 {
    BASE_MS + TOKEN_MS * (f64::from(prompt) + f64::from(ahead))
}

/// Marks the targets that the instance `me` prefers among `candidates`: those of its group, if it has
/// a `rank`, and otherwise those of its availability zone first, in an order that differs for each
/// instance.
pub(crate) fn mark_preferred(
    targets: &mut Targets,
    candidates: &[Index],
    me: &Identity,
    position: Option<MemberPosition>,
) {
    if let Some(position) = position {
        let is_own = |index: &Index| targets.get(*index).listed.zone == me.zone;
        let (own, others): (Vec<Index>, Vec<Index>) =
            candidates.iter().partition(|one| is_own(one));
        groups::assign(targets, &own, position);
        for index in others {
            targets.get_mut(index).preferred = own.is_empty();
        }
        return;
    }
    let mut order: Vec<_> = candidates
        .iter()
        .map(|&index| {
            let listed = &targets.get(index).listed;
            let pair = format!("{} {}", me.instance, listed.id);
            (listed.zone != me.zone, text_hash(&pair), index)
        })
        .collect();
    order.sort_unstable();
    for (nth, (_, _, index)) in order.into_iter().enumerate() {
        targets.get_mut(index).preferred = nth < PREFERRED_TARGETS;
    }
}

/// The target for `need` among `candidates`; none if all are full, retired or too slow.
pub fn choose(
    targets: &Targets,
    candidates: &[Index],
    request: SelectionRequest<'_>,
    context: SelectionContext<'_>,
    rng: &mut impl Rng,
) -> Option<Index> {
    let mut best: Option<(f64, Index)> = None;
    let summary = CandidateSummary::new(targets, candidates, request, context.now);
    for &index in candidates {
        let target = targets.get(index);
        if request.tried.contains(&index) || !summary.is_eligible(target, request, context) {
            continue;
        }
        let predicted = target.latency_ratio * estimate_ms(request.prompt, target.prefill());
        if request
            .latency_limit
            .is_some_and(|latency_limit| predicted > latency_limit.as_secs_f64() * 1_000.0)
        {
            continue;
        }
        let jitter = if context.is_other_group(target) { OTHER_GROUP_JITTER_MS } else { 0.0 };
        let score = score(target, predicted, request, context)
            + jitter * rng.random::<f64>()
            + pause_penalty(request, target, summary.slow_ms);
        let score = score * (1.0 + JITTER_FRACTION * rng.random::<f64>());
        if best.is_none_or(|(best_score, _)| score < best_score) {
            best = Some((score, index));
        }
    }
    best.map(|(_, index)| index)
}

/// What has to be known of all targets before one is chosen.
#[derive(Debug)]
struct CandidateSummary {
    /// Barred targets are used only where there are no others, full or not.
    all_backing_off: bool,
    /// Whether targets that are too slow for the stream are left out, since there is a quicker one to wait
    /// for.
    strict_pause: bool,
    /// Longest pauses from which a target counts as slow, in milliseconds.
    slow_ms: f64,
}

impl CandidateSummary {
    fn new(
        targets: &Targets,
        candidates: &[Index],
        request: SelectionRequest<'_>,
        now: Time,
    ) -> Self {
        let (mut all_backing_off, mut any_suitable) = (true, false);
        let (mut sum, mut count) = (0.0, 0.0);
        let all = candidates.iter().map(|&index| targets.get(index));
        for target in all.filter(|target| target.is_usable(now) && !target.is_backing_off(now)) {
            all_backing_off = false;
            any_suitable |= !exceeds_pause_limit(request, target);
            if let Some(average_ms) = target.pauses.average() {
                sum += average_ms;
                count += 1.0;
            }
        }
        let slow_ms = SLOW_PAUSE_FACTOR * sum / f64::max(count, 1.0);
        Self { all_backing_off, strict_pause: request.strict_pause && any_suitable, slow_ms }
    }

    /// Whether `target` may be given the request and has a place for it.
    fn is_eligible(
        &self,
        target: &Target,
        request: SelectionRequest<'_>,
        context: SelectionContext<'_>,
    ) -> bool {
        target.is_usable(context.now)
            && request.versions.allows(&target.listed.version)
            && (self.all_backing_off || !target.is_backing_off(context.now))
            && !(self.strict_pause && exceeds_pause_limit(request, target))
            && f64::from(target.load()) < context.capacity(target, request)
            && !(context.is_other_group(target) && target.own_requests >= OTHER_GROUP_MAX_OWN)
    }
}

impl SelectionContext<'_> {
    /// Whether the target belongs to another group.
    fn is_other_group(&self, target: &Target) -> bool {
        self.margin > 0 && !target.preferred
    }

    /// Requests that the target takes before it is full for such a request.
    fn capacity(&self, target: &Target, request: SelectionRequest<'_>) -> f64 {
        let slots = f64::from(target.listed.slots);
        let margin = if self.is_other_group(target) { f64::from(self.margin) } else { 0.0 };
        // Halves are rounded down, so that small targets keep their places in use.
        let headroom = (slots * request.headroom - 0.5).ceil().max(0.0);
        (slots * self.slot_requests - headroom - margin).max(1.0)
    }
}

/// Whether the stream is likely to pause for too long at `target`.
fn exceeds_pause_limit(request: SelectionRequest<'_>, target: &Target) -> bool {
    let allowed = request.pause_limit.as_secs_f64() * 1_000.0 * PAUSE_LIMIT_FRACTION;
    request.long_stream == Some(true)
        && allowed > 0.0
        && target.pauses.average().is_some_and(|average_ms| average_ms > allowed)
}

/// Charge for a target that is too slow for the stream, or so quick that others need it more.
fn pause_penalty(request: SelectionRequest<'_>, target: &Target, slow_ms: f64) -> f64 {
    let is_fast = target.pauses.average().is_none_or(|average_ms| average_ms < slow_ms);
    if exceeds_pause_limit(request, target) {
        LONG_PAUSE_PENALTY_MS
    } else if request.long_stream == Some(false) && is_fast {
        FAST_TARGET_PENALTY_MS
    } else {
        0.0
    }
}

fn score(
    target: &Target,
    predicted: f64,
    request: SelectionRequest<'_>,
    context: SelectionContext<'_>,
) -> f64 {
    let fullness = f64::from(target.load()) / context.capacity(target, request);
    let zone = if target.listed.zone == *context.zone { 0.0 } else { ZONE_PENALTY_MS };
    let penalty = zone + if target.preferred { 0.0 } else { NOT_PREFERRED_MS };
    let time = predicted + target.latency_ratio * FULL_PENALTY_MS * fullness + penalty;
    time * (1.0 + FAILURE_FACTOR * target.failure_rate)
}
