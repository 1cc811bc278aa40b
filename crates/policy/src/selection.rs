//! Selection of a target for a request.
//!
//! Predicts the request's times on each usable target and chooses among those that have room.
//! Requests with a shared prefix prefer targets that hold it.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sesamewind_protocol::{Time, VersionId};

use crate::config::Kind;
use crate::event::Prefix;
use crate::target::TargetState;

/// Safety margin on predicted times when they are compared with the request's limits.
const SAFETY_FACTOR: f64 = 1.1;
/// Maximum number of streams at one target.
const MAX_STREAMS: f64 = 512.0;
/// Slow-down of each stream from which further streams add little to an engine's throughput.
const MAX_SLOWDOWN: f64 = 3.0;
/// The most urgent tier may exceed the observed peak of a target's streams by this factor.
const PEAK_STREAMS_FACTOR: f64 = 1.1;
/// Slow-down that is always accepted.
const MIN_SLOWDOWN: f64 = 1.5;
/// Range in which an instance adjusts the number of streams at a target, as factors.
const MIN_COUNT_FACTOR: f64 = 0.8;
const MAX_COUNT_FACTOR: f64 = 1.25;
/// Scores up to the best one times this factor plus the span count as equally good.
const NEAR_FACTOR: f64 = 1.1;
const NEAR_SPAN: f64 = 0.005;
/// A target that holds the prefix or is preferred for it may have this multiple of the mean load
/// plus the margin.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;
const AFFINITY_LOAD_MARGIN: f64 = 2.0;
/// Delay accepted per second of saved prefill, which also saves time for other requests.
const SAVED_FACTOR: f64 = 3.0;

/// Requirements of a request on its target.
#[derive(Debug)]
pub(crate) struct SelectionRequest<'a> {
    pub(crate) kind: Kind,
    pub(crate) version: &'a VersionId,
    pub(crate) prompt: f64,
    pub(crate) output: f64,
    pub(crate) prefix: Option<Prefix>,
    /// Whether it belongs to the most urgent tier.
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
    /// Returns the sum of the fractions that the request uses of its time to the first token and of
    /// its total time, if its first token comes after `first` seconds and its end after `end`.
    fn score(&self, first: f64, end: f64) -> f64 {
        let used = |seconds: f64, within: Duration| seconds / within.as_secs_f64().max(0.001);
        used(first, self.first_within) + used(end, self.total_within)
    }
}

/// Limits on the work given to targets.
#[derive(Debug)]
pub(crate) struct Bounds {
    /// Seconds of prefill that may wait at a target.
    pub(crate) window: f64,
    /// Share of a target's capacity reserved for the most urgent tier.
    pub(crate) headroom: f64,
    /// Seconds per output token that the most urgent tier accepts.
    pub(crate) step_budget: Option<f64>,
    pub(crate) cache_retention: Duration,
    /// This instance's share of the demand on all instances.
    pub(crate) own_share: f64,
}

/// A selected target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pick {
    pub(crate) target: usize,
    pub(crate) uncached: f64,
    /// Tokens to prefill up to the end of the prompt, including work queued before it.
    pub(crate) work: f64,
    /// Predicted time to the first token, in seconds.
    pub(crate) first: f64,
    pub(crate) cached: bool,
}

/// Result of a selection.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Selection {
    /// Dispatch to this target.
    Target(Pick),
    /// No target has room now.
    Wait,
    /// The targets that take long prompts have no room, but others may have some.
    WaitLong,
    /// The request would be late on every target, even on an idle one.
    Unreachable,
    /// No usable target has the version loaded.
    NoTarget,
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    pick: Pick,
    /// Score of the predicted times; see `SelectionRequest::score`.
    score: f64,
    requests: f64,
    /// Score of the prefill time that the cache probably saves.
    saved: f64,
    fits: bool,
}

/// Selects among `order`, the targets of a service, of which the first `long_targets` take long
/// prompts.
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
    let mut fits_if_idle = false;
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
        fits_if_idle |= idle_fits;
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
        return match (request.kind, fits_if_idle, has_short_room) {
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

/// Predicts the request's times on a model engine. Also returns whether they would be in time if
/// the engine were idle.
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
    // The speed may have changed if it was not observed for a while. Only a new request can
    // show it.
    let unknown = !speed.is_current(request.now);
    let pick = Pick { target: index, uncached, work, first, cached: cached > 0.0 };
    let fits = unknown || within(first, end);
    let saved = request.score(cached / prefill, cached / prefill);
    let candidate =
        Candidate { pick, score: request.score(first, end), requests: load.requests, saved, fits };
    (candidate, unknown || within(idle_first, idle_end))
}

/// Returns whether a target has room for the request beside its present work.
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
    // The most urgent tier may exceed the useful number of streams as long as the target keeps up.
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
    // A prompt that exceeds the window by itself may still go to a target without waiting prefill.
    let idle = waiting < 0.05 * window;
    if request.urgent { waiting <= window } else { idle || waiting + own <= window }
}

/// Returns the number of streams at a target, adjusted for fairness between instances: higher if
/// this instance runs more than `own_share` of `all`, lower if it runs less.
///
/// An instance learns of its own finished requests at once, but of its peers' only with the next
/// heartbeat. With the plain number, instances that already have work in flight would take every
/// free slot.
fn weighted_streams(all: f64, own: f64, own_share: f64) -> f64 {
    let as_if_shared = own / own_share;
    (0.5 * (all + as_if_shared)).clamp(all * MIN_COUNT_FACTOR, all * MAX_COUNT_FACTOR)
}

/// Picks among the candidates. Targets that probably have the prefix cached come first, then the
/// one preferred for the prefix, each while its load is near the mean. Otherwise picks one of the
/// nearly best at random.
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
    // Each instance considers a random half, so that instances with the same view don't all choose
    // the same target.
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

/// Returns the rank of a target for a prefix, which is the same on every instance.
fn rendezvous(prefix: u64, target: &str) -> u64 {
    use std::hash::Hasher;
    let mut hasher = siphasher::sip::SipHasher13::new_with_keys(prefix, 0);
    hasher.write(target.as_bytes());
    hasher.finish()
}
