//! Selection of a target for a request.
//!
//! Model engines admit requests in order of arrival and slow down with concurrent load, so targets
//! are ranked by the predicted time to the first token: the target's learned latency ratio times
//! the estimate for the prompt and the prompts ahead of it. Plain targets are ranked by the same
//! rule with an empty prompt.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use sesamewind_protocol::{Time, ZoneId, text_hash};

use crate::gateway::Identity;
use crate::groups::{self, MemberPosition};
use crate::homes::Homes;
use crate::rollouts::AllowedVersions;
use crate::targets::{Index, Target, Targets};

/// Estimated time to the first byte without a prompt at a latency ratio of 1, in milliseconds. Only
/// its relation to [`TOKEN_MS`] matters, since the latency ratio of each target is learned.
const BASE_MS: f64 = 50.0;

/// Estimated time to process one prompt token at a latency ratio of 1, in milliseconds.
const TOKEN_MS: f64 = 0.01;

/// Delay of a request at a target with one slot left, in milliseconds at a latency ratio of 1. At
/// less loaded targets the delay is proportionally shorter.
const FULL_PENALTY_MS: f64 = 25.0;

/// Penalty for a target in another availability zone, in milliseconds.
const ZONE_PENALTY_MS: f64 = 4.0;

/// Number of targets of a service that one instance prefers. With few instances sharing a target,
/// each knows its load well.
const PREFERRED_TARGETS: usize = 8;

/// Penalty for a target that this instance does not prefer, in milliseconds. It is smaller than the
/// gain of a fast target with a free slot over a slow one.
const NOT_PREFERRED_MS: f64 = 20.0;

/// Slots left free at targets of other groups, whose load is known only after a delay.
pub(crate) const OTHER_GROUP_MARGIN: u32 = 3;

/// Maximum number of this instance's requests at a target of another group, since dozens of
/// instances may see the same target as free.
const OTHER_GROUP_MAX_OWN: u32 = 2;

/// Range of the random penalty for a target of another group, in milliseconds. It exceeds the score
/// differences between targets with free slots, so that instances that see the same free targets
/// choose different ones.
const OTHER_GROUP_JITTER_MS: f64 = 80.0;

/// Fraction of the allowed pause above which a target's average pause counts as too long, since
/// half of the streams pause for longer than the average.
const PAUSE_LIMIT_FRACTION: f64 = 0.8;

/// Factor over the mean pause of all targets above which a target counts as slow. Slow targets are
/// several times slower than the others.
const SLOW_PAUSE_FACTOR: f64 = 1.5;

/// Penalty for a target whose pauses are likely to exceed the limit, in milliseconds: the latency
/// objective of most streams.
const LONG_PAUSE_PENALTY_MS: f64 = 600.0;

/// Penalty for using a fast target for a stream that a slow target serves as well, in milliseconds:
/// the extra time that a slow target takes to the first byte.
const FAST_TARGET_PENALTY_MS: f64 = 150.0;

/// Weight of a target's failure rate: at a failure rate of 1, its predicted time is multiplied by
/// this factor plus one.
const FAILURE_FACTOR: f64 = 8.0;

/// Random fraction added to the score, so that instances with the same view spread their requests.
const JITTER_FRACTION: f64 = 0.15;

/// Requirements of the request that a target is selected for.
#[derive(Debug, Clone, Copy)]
pub struct SelectionRequest<'a> {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Targets to exclude.
    pub tried: &'a [Index],
    /// Upper limit on the predicted time to the first byte.
    pub latency_limit: Option<Duration>,
    /// Fraction of each target's slots that is left to more urgent requests.
    pub headroom: f64,
    /// Longest allowed pause in the request's stream; zero for no limit.
    pub pause_limit: Duration,
    /// Whether the request's stream is expected to be long, if known.
    pub long_stream: Option<bool>,
    /// Whether to exclude targets whose pauses exceed the limit if some usable target stays within
    /// it.
    pub strict_pause: bool,
    /// Targets that may be selected despite recent failures.
    pub candidates: Candidates,
    /// Versions that may take the request.
    pub versions: &'a AllowedVersions,
    /// Regions that may have the request.
    pub homes: Homes<'a>,
}

/// Targets that may be selected despite recent failures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Candidates {
    /// Targets that are not backing off, or all if there are no others.
    All,
    /// Targets that are not backing off.
    Ready,
    /// Targets without a recent failure.
    Sound,
}

/// Why a target may not receive a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Obstacle {
    /// An attempt of the request has failed there.
    Tried,
    /// Operators have evacuated its availability zone.
    Evacuated,
    /// It is leaving or gone.
    Leaving,
    /// It wants no requests from this instance for a while.
    Resting,
    /// What it takes a second from all instances leaves this one no turn.
    Limited,
    /// A rollout gives the request to another version.
    OtherVersion,
    /// It lies in no region that the route and the account allow.
    OtherRegion,
    /// Attempts have failed there recently.
    Failing,
    /// Its streams pause for too long, and another target stays within the limit.
    LongPauses,
    /// All places that this instance may use for the request are taken.
    Full,
    /// The predicted time to the first byte exceeds the time that is left.
    TooSlow,
}

impl Obstacle {
    /// Returns the obstacle as shown to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Tried => "tried",
            Self::Evacuated => "evacuated",
            Self::Leaving => "leaving",
            Self::Resting => "resting",
            Self::Limited => "limited",
            Self::OtherVersion => "other_version",
            Self::OtherRegion => "other_region",
            Self::Failing => "failing",
            Self::LongPauses => "long_pauses",
            Self::Full => "full",
            Self::TooSlow => "too_slow",
        }
    }
}

/// State of the instance that selects a target.
#[derive(Debug, Clone, Copy)]
pub struct SelectionContext<'a> {
    /// Availability zone of this instance.
    pub zone: &'a ZoneId,
    /// Number of requests sent to a target per slot.
    pub slot_requests: f64,
    /// Slots left free at targets of other groups; zero if there are no groups.
    pub margin: u32,
    /// Current time.
    pub now: Time,
}

/// Returns the estimated time to the first byte for a prompt behind `ahead` tokens of other
/// requests, in milliseconds at a latency ratio of 1.
pub fn estimate_ms(prompt: u32, ahead: u32) -> f64 {
    BASE_MS + TOKEN_MS * (f64::from(prompt) + f64::from(ahead))
}

/// Marks the `candidates` that the instance `me` prefers. With a `position` in the groups, these
/// are the targets of its group. Otherwise targets of its own availability zone come first, in an
/// order that differs between instances. Targets of evacuated zones are left out.
pub(crate) fn mark_preferred(
    targets: &mut Targets,
    candidates: &[Index],
    me: &Identity,
    position: Option<MemberPosition>,
) {
    let candidates: Vec<Index> =
        candidates.iter().copied().filter(|&index| !targets.get(index).evacuated).collect();
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

/// Returns for each of the `candidates` the predicted time to the first byte in milliseconds, or why
/// it may not receive the request.
pub(crate) fn assess(
    targets: &Targets,
    candidates: &[Index],
    request: SelectionRequest<'_>,
    context: SelectionContext<'_>,
) -> Vec<(Index, Result<f64, Obstacle>)> {
    let summary = CandidateSummary::new(targets, candidates, request, context.now);
    let assess = |index| summary.assess(index, targets.get(index), request, context);
    candidates.iter().map(|&index| (index, assess(index))).collect()
}

/// Selects the target with the lowest score among `candidates`. Returns `None` if all are excluded,
/// full, unusable or too slow.
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
        let Ok(predicted) = summary.assess(index, target, request, context) else { continue };
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

/// Properties of all candidates that the selection depends on.
#[derive(Debug)]
struct CandidateSummary {
    /// Whether all usable targets are backing off; only then is such a target selected.
    all_backing_off: bool,
    /// Whether targets with too long pauses are excluded because another target is suitable.
    strict_pause: bool,
    /// Average pause above which a target counts as slow, in milliseconds.
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
        let all = all.filter(|target| request.homes.allows(&target.listed.zone));
        for target in all.filter(|target| target.is_willing(now) && !target.is_backing_off(now)) {
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

    /// Returns whether the target's recent failures allow its selection.
    fn is_candidate(&self, target: &Target, candidates: Candidates, now: Time) -> bool {
        match candidates {
            Candidates::All => self.all_backing_off || !target.is_backing_off(now),
            Candidates::Ready => !target.is_backing_off(now),
            Candidates::Sound => target.is_sound(now),
        }
    }

    /// Returns the predicted time to the first byte in milliseconds if `target` may receive the
    /// request and has a free slot for it.
    fn assess(
        &self,
        index: Index,
        target: &Target,
        request: SelectionRequest<'_>,
        context: SelectionContext<'_>,
    ) -> Result<f64, Obstacle> {
        if request.tried.contains(&index) {
            return Err(Obstacle::Tried);
        }
        if let Some(obstacle) = self.obstacle(target, request, context) {
            return Err(obstacle);
        }
        let predicted = target.latency_ratio * estimate_ms(request.prompt, target.prefill());
        let limit_ms = request.latency_limit.map(|limit| limit.as_secs_f64() * 1_000.0);
        if limit_ms.is_some_and(|limit_ms| predicted > limit_ms) {
            return Err(Obstacle::TooSlow);
        }
        Ok(predicted)
    }

    /// Returns why `target` may not receive the request; none if it may and has a free slot for it.
    fn obstacle(
        &self,
        target: &Target,
        request: SelectionRequest<'_>,
        context: SelectionContext<'_>,
    ) -> Option<Obstacle> {
        let now = context.now;
        if target.evacuated {
            Some(Obstacle::Evacuated)
        } else if !target.is_usable(now) {
            Some(Obstacle::Leaving)
        } else if !target.rest_left(now).is_zero() {
            Some(Obstacle::Resting)
        } else if !target.pause_left(now).is_zero() {
            Some(Obstacle::Limited)
        } else if !request.versions.allows(&target.listed.version) {
            Some(Obstacle::OtherVersion)
        } else if !request.homes.allows(&target.listed.zone) {
            Some(Obstacle::OtherRegion)
        } else if !self.is_candidate(target, request.candidates, now) {
            Some(Obstacle::Failing)
        } else if self.strict_pause && exceeds_pause_limit(request, target) {
            Some(Obstacle::LongPauses)
        } else if !context.has_place(target, request) {
            Some(Obstacle::Full)
        } else {
            None
        }
    }
}

impl SelectionContext<'_> {
    /// Returns whether the target belongs to another group.
    fn is_other_group(&self, target: &Target) -> bool {
        self.margin > 0 && !target.preferred
    }

    /// Returns whether the target has a place for such a request. At a brittle target, only the places
    /// of this instance count, since the reported load of others is too old.
    fn has_place(&self, target: &Target, request: SelectionRequest<'_>) -> bool {
        if let Some(room) = &target.room {
            return room.is_open(target.own_requests, request.headroom, self.now);
        }
        f64::from(target.load()) < self.capacity(target, request)
            && !(self.is_other_group(target) && target.own_requests >= OTHER_GROUP_MAX_OWN)
    }

    /// Returns the number of requests at which the target is full for such a request.
    fn capacity(&self, target: &Target, request: SelectionRequest<'_>) -> f64 {
        let slots = f64::from(target.listed.slots);
        let margin = if self.is_other_group(target) { f64::from(self.margin) } else { 0.0 };
        // Rounds halves down, so that small targets keep all slots in use.
        let headroom = (slots * request.headroom - 0.5).ceil().max(0.0);
        (slots * self.slot_requests - headroom - margin).max(1.0)
    }
}

/// Returns whether the stream is likely to pause for too long at `target`.
fn exceeds_pause_limit(request: SelectionRequest<'_>, target: &Target) -> bool {
    let allowed = request.pause_limit.as_secs_f64() * 1_000.0 * PAUSE_LIMIT_FRACTION;
    request.long_stream == Some(true)
        && allowed > 0.0
        && target.pauses.average().is_some_and(|average_ms| average_ms > allowed)
}

/// Returns the penalty for a target that is too slow for the stream, or fast and better left to
/// other streams.
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
