//! Selection of a target for a request.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sesamewind_protocol::{Time, VersionId};

use crate::config::Kind;
use crate::event::Prefix;
use crate::target::TargetState;

/// Margin on predictions before a request is taken to miss its time.
const SAFETY_FACTOR: f64 = 1.1;
/// Streams that no target is given more of.
const MAX_STREAMS: f64 = 512.0;
/// Slow-down of streams from which more of them add little to an engine's output.
const MAX_SLOWDOWN: f64 = 3.0;
/// Streams beyond those that a target was seen to run that the max_streams urgent tier may try.
const PEAK_STREAMS_FACTOR: f64 = 1.1;
/// Slow-down that is always borne.
const MIN_SLOWDOWN: f64 = 1.5;
/// Range of what an instance counts the streams at a target as.
const MIN_COUNT_FACTOR: f64 = 0.8;
const MAX_COUNT_FACTOR: f64 = 1.25;
/// Targets within this factor and span of the best score count as equally good.
const NEAR_FACTOR: f64 = 1.1;
const NEAR_SPAN: f64 = 0.005;
/// Load over the mean that a target with the prefix cached, or preference for it, may have.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;
const AFFINITY_LOAD_MARGIN: f64 = 2.0;
/// Delay that a saved second of prefill is worth, since it is saved for others too.
const SAVED_FACTOR: f64 = 3.0;

/// What a request needs of a target.
#[derive(Debug)]
pub(crate) struct SelectionRequest<'a> {
    pub(crate) kind: Kind,
    pub(crate) version: &'a VersionId,
    pub(crate) prompt: f64,
    pub(crate) output: f64,
    pub(crate) prefix: Option<Prefix>,
    /// Whether it belongs to the max_streams urgent tier.
    pub(crate) urgent: bool,
    /// Whether its prompt is long.
    pub(crate) long: bool,
    pub(crate) first_within: Duration,
    pub(crate) total_within: Duration,
    /// Target that refused it before.
    pub(crate) avoid: Option<usize>,
    pub(crate) now: Time,
}

impl SelectionRequest<'_> {
    /// Part of its times that a request uses up that has its first token after `first` seconds and
    /// its end after `end`.
    fn score(&self, first: f64, end: f64) -> f64 {
        let used = |seconds: f64, within: Duration| seconds / within.as_secs_f64().max(0.001);
        used(first, self.first_within) + used(end, self.total_within)
    }
}

/// Bounds on what is given to targets.
#[derive(Debug)]
pub(crate) struct Bounds {
    /// Seconds of prefill that may wait at a target.
    pub(crate) window: f64,
    /// Share of a target's capacity kept for the max_streams urgent tier.
    pub(crate) headroom: f64,
    /// Seconds per output token that the max_streams urgent tier can bear.
    pub(crate) step_budget: Option<f64>,
    pub(crate) cache_retention: Duration,
    /// This instance's part of what is asked of all instances.
    pub(crate) own_share: f64,
}

/// A chosen target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pick {
    pub(crate) target: usize,
    pub(crate) uncached: f64,
    /// Tokens to be prefilled before and with the prompt.
    pub(crate) work: f64,
    /// Predicted time to the first token, in seconds.
    pub(crate) first: f64,
    pub(crate) cached: bool,
}

/// Result of a choice.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Selection {
    /// Dispatch there.
    Target(Pick),
    /// There is no room now.
    Wait,
    /// There is no room on the targets that take long prompts, whereas others may have some.
    WaitLong,
    /// It would miss its time on every target, even on an idle one.
    Unreachable,
    /// No usable target has the version loaded.
    NoTarget,
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    pick: Pick,
    /// Part of its time to the first token and of its total time that the request would use up.
    score: f64,
    requests: f64,
    /// The same for the prefill that the cache likely saves.
    saved: f64,
    fits: bool,
}

/// Chooses among `order`, the targets of a service; the first `long_targets` take long prompts.
pub(crate) fn select_target(
    targets: &[TargetState],
    order: &[usize],
    long_targets: usize,
    request: &SelectionRequest<'_>,
    bounds: &Bounds,
    rng: &mut ChaCha8Rng,
) -> Selection {
    let usable =
        |i: &usize| targets[*i].is_usable() && targets[*i].versions.contains(request.version);
    let mut candidates: Vec<Candidate> = Vec::with_capacity(order.len());
    let mut is_reachable = false;
    let mut has_short_room = false;
    let mut usable_targets = 0;
    for (position, index) in order.iter().enumerate().filter(|(_, index)| usable(index)) {
        usable_targets += 1;
        let target = &targets[*index];
        if request.kind == Kind::Plain {
            candidates.push(plain_candidate(target, *index, request));
            continue;
        }
        let (candidate, idle_fits) = model_candidate(target, *index, request, bounds);
        is_reachable |= idle_fits;
        if !has_room(target, request, bounds, &candidate) || !candidate.fits {
            continue;
        }
        if request.long && position >= long_targets {
            has_short_room = true;
            continue;
        }
        candidates.push(candidate);
    }
    if usable_targets == 0 {
        return Selection::NoTarget;
    }
    if candidates.len() > 1 {
        candidates.retain(|candidate| Some(candidate.pick.target) != request.avoid);
    }
    if candidates.is_empty() {
        return match (request.kind, is_reachable, has_short_room) {
            (Kind::Model, false, _) => Selection::Unreachable,
            (_, _, true) => Selection::WaitLong,
            _ => Selection::Wait,
        };
    }
    Selection::Target(pick_candidate(targets, &candidates, request, rng))
}

fn plain_candidate(
    target: &TargetState,
    index: usize,
    request: &SelectionRequest<'_>,
) -> Candidate {
    let requests = target.load(request.now).requests;
    let first = (requests + 1.0) * target.speed.call();
    let pick = Pick { target: index, uncached: 0.0, work: 0.0, first, cached: false };
    Candidate { pick, score: request.score(first, first), requests, saved: 0.0, fits: true }
}

/// Predicts a model engine's times; tells also whether an idle one of its kind would be in time.
fn model_candidate(
    target: &TargetState,
    index: usize,
    request: &SelectionRequest<'_>,
    bounds: &Bounds,
) -> (Candidate, bool) {
    let load = target.load(request.now);
    let speed = &target.speed;
    let cached = request
        .prefix
        .map_or(0.0, |prefix| target.cached_tokens(&prefix, bounds.cache_retention, request.now));
    let uncached = (request.prompt - cached).max(1.0);
    let prefill = speed.prefill();
    let idle_first = speed.overhead() + uncached / prefill;
    let work = load.prefill + uncached;
    let first = speed.overhead() + work / prefill;
    let step = speed.step(load.requests + 1.0);
    let end = first + request.output * step;
    let idle_end = idle_first + request.output * speed.step(1.0);
    let within = |first: f64, end: f64| {
        first * SAFETY_FACTOR <= request.first_within.as_secs_f64()
            && end * SAFETY_FACTOR <= request.total_within.as_secs_f64()
    };
    // What was not seen for a while may have changed; a request finds out.
    let unknown = !speed.is_current(request.now);
    let pick = Pick { target: index, uncached, work, first, cached: cached > 0.0 };
    let fits = unknown || within(first, end);
    let saved = request.score(cached / prefill, cached / prefill);
    let candidate =
        Candidate { pick, score: request.score(first, end), requests: load.requests, saved, fits };
    (candidate, unknown || within(idle_first, idle_end))
}

/// Whether a target may be given the request beside what it has.
fn has_room(
    target: &TargetState,
    request: &SelectionRequest<'_>,
    bounds: &Bounds,
    candidate: &Candidate,
) -> bool {
    if candidate.requests < 0.5 {
        return true;
    }
    let streams = 1.0 + weighted_streams(candidate.requests, target.own.requests, bounds.own_share);
    let share = if request.urgent { 1.0 } else { 1.0 - bounds.headroom };
    let solo = target.speed.step(1.0);
    let budget = bounds.step_budget.unwrap_or(f64::INFINITY);
    let tolerable_step = (budget * share).max(solo * MIN_SLOWDOWN);
    let useful_step = solo * MAX_SLOWDOWN * share;
    let step = target.speed.step(streams);
    // The max_streams urgent tier may go beyond what is useful_step as long as the target keeps_up.
    let keeps_up = request.urgent && streams <= target.peak_streams() * PEAK_STREAMS_FACTOR + 1.0;
    let max_streams = target.batch.limit(request.now).unwrap_or(MAX_STREAMS);
    if streams > (max_streams * share).max(1.0)
        || step > tolerable_step
        || step > useful_step && !keeps_up
    {
        return false;
    }
    let prefill = target.speed.prefill();
    let waiting = (candidate.pick.work - candidate.pick.uncached) / prefill;
    let own = candidate.pick.uncached / prefill;
    let window = bounds.window * share;
    // A prompt that exceeds the window by itself may still go where no other is prefilled.
    let idle = waiting < 0.05 * window;
    if request.urgent { waiting <= window } else { idle || waiting + own <= window }
}

/// Streams at a target as an instance counts them that runs `own` of `all` and is entitled to
/// `own_share`: more if it has more than its part, fewer if less.
///
/// An instance learns of its own finished requests at once and of its peers' with the next
/// heartbeat, so by `all` alone those that have work in in_flight would keep every free place.
fn weighted_streams(all: f64, own: f64, own_share: f64) -> f64 {
    let as_if_shared = own / own_share;
    (0.5 * (all + as_if_shared)).clamp(all * MIN_COUNT_FACTOR, all * MAX_COUNT_FACTOR)
}

/// Picks among the candidates: a target that likely has the prefix cached, then the one preference for
/// the prefix, each while its load is near the mean, else any of the near-best at random.
fn pick_candidate(
    targets: &[TargetState],
    candidates: &[Candidate],
    request: &SelectionRequest<'_>,
    rng: &mut ChaCha8Rng,
) -> Pick {
    let mean = candidates.iter().map(|c| c.requests).sum::<f64>() / candidates.len() as f64;
    let bound = mean * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_MARGIN;
    let least = candidates.iter().map(|c| c.score).fold(f64::INFINITY, f64::min);
    if let Some(prefix) = request.prefix {
        let lightly_loaded = candidates.iter().filter(|c| c.requests <= bound);
        let worth =
            |c: &&Candidate| c.saved > 0.0 && c.score <= least + SAVED_FACTOR * c.saved + NEAR_SPAN;
        let holders = lightly_loaded.clone().filter(worth);
        if let Some(holder) = holders.min_by(|a, b| a.score.total_cmp(&b.score)) {
            return holder.pick;
        }
        let near = lightly_loaded.filter(|c| c.score <= least * NEAR_FACTOR + NEAR_SPAN);
        let preference =
            |c: &&Candidate| rendezvous(prefix.hash, targets[c.pick.target].id.as_str());
        if let Some(preferred) = near.max_by_key(preference) {
            return preferred.pick;
        }
    }
    // Looking at a random half keeps instances with the same view apart.
    let mut sample: Vec<&Candidate> = candidates.iter().collect();
    let size = (sample.len() / 2).max(2).min(sample.len());
    for at in 0..size {
        let other = rng.random_range(at..sample.len());
        sample.swap(at, other);
    }
    sample.truncate(size);
    let best = sample.iter().map(|c| c.score).fold(f64::INFINITY, f64::min);
    sample.retain(|c| c.score <= best * NEAR_FACTOR + NEAR_SPAN);
    let at = rng.random_range(0..sample.len());
    sample[at].pick
}

/// Rank of a target for a prefix, the same on every instance.
fn rendezvous(prefix: u64, target: &str) -> u64 {
    use std::hash::Hasher;
    let mut hasher = siphasher::sip::SipHasher13::new_with_keys(prefix, 0);
    hasher.write(target.as_bytes());
    hasher.finish()
}
