//! A target as this instance sees it: state, load, speed and cached prefixes.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use sesamewind_protocol::target::LoadReport;
use sesamewind_protocol::traffic::TargetUsage;
use sesamewind_protocol::{Incarnation, InstanceId, TargetId, Time, VersionId, WallTime};

use crate::batch::BatchLimit;
use crate::event::Prefix;
use crate::speed::{Prior, Speed};

/// Interval and retention of the samples with which late load reports are compared.
const HISTORY_INTERVAL: Duration = Duration::from_millis(40);
const HISTORY_RETENTION: Duration = Duration::from_secs(5);
/// Decay of the peak number of streams with each load report.
const PEAK_DECAY: f64 = 0.99;
/// Half-life of reported load that neither this instance nor its peers account for.
const UNACCOUNTED_HALF_LIFE_SECONDS: f64 = 2.0;
/// Maximum number of prefixes per target whose caching is tracked.
const MAX_HINTS: usize = 512;
/// Fraction of the prompts without a first token that always counts as not prefilled.
const MIN_PENDING_FRACTION: f64 = 0.1;
/// Time after which half of a prefix is assumed to be evicted.
const HINT_HALF_LIFE_SECONDS: f64 = 60.0;

/// Work at a target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Load {
    pub(crate) requests: f64,
    /// Prompt tokens not prefilled yet.
    pub(crate) prefill: f64,
    /// Prompt and output tokens not processed yet.
    pub(crate) tokens: f64,
}

impl Load {
    fn plus(self, other: Load) -> Load {
        Load {
            requests: self.requests + other.requests,
            prefill: self.prefill + other.prefill,
            tokens: self.tokens + other.tokens,
        }
    }

    /// Returns the part of `self` that exceeds `other`.
    fn excess_over(self, other: Load) -> Load {
        Load {
            requests: (self.requests - other.requests).max(0.0),
            prefill: (self.prefill - other.prefill).max(0.0),
            tokens: (self.tokens - other.tokens).max(0.0),
        }
    }

    fn scaled(self, factor: f64) -> Load {
        Load {
            requests: self.requests * factor,
            prefill: self.prefill * factor,
            tokens: self.tokens * factor,
        }
    }
}

/// State of a target that failed to answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Suspicion {
    pub(crate) since: Time,
    pub(crate) since_wall: WallTime,
    pub(crate) next_probe: Time,
}

#[derive(Debug, Clone, Copy)]
struct Hint {
    tokens: u32,
    at: Time,
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    at: WallTime,
    load: Load,
}

/// A target.
#[derive(Debug)]
pub(crate) struct TargetState {
    pub(crate) id: TargetId,
    /// Index of its service.
    pub(crate) service: usize,
    /// Whether the present configuration contains the target.
    pub(crate) active: bool,
    pub(crate) versions: Vec<VersionId>,
    /// Whether the target itself has reported its loaded versions.
    reported: bool,
    incarnation: Incarnation,
    leaving: Option<Incarnation>,
    pub(crate) suspicion: Option<Suspicion>,
    pub(crate) probing_since: Option<Time>,
    pub(crate) own: Load,
    /// Prompt tokens of this instance and its peers not prefilled yet at `pending_at`.
    pending_prefill: f64,
    pending_at: Time,
    peers: BTreeMap<InstanceId, (Time, Load)>,
    peer_total: Load,
    /// Load that neither this instance nor its peers account for.
    unaccounted: Load,
    unaccounted_at: Time,
    /// Decaying maximum of the streams that the target was seen to run at once.
    peak_streams: f64,
    /// Limit on the streams that the target runs at once.
    pub(crate) batch: BatchLimit,
    history: VecDeque<Sample>,
    pub(crate) speed: Speed,
    hints: HashMap<u64, Hint>,
}

impl TargetState {
    pub(crate) fn new(id: TargetId, service: usize) -> Self {
        Self {
            id,
            service,
            active: true,
            versions: Vec::new(),
            reported: false,
            incarnation: Incarnation::default(),
            leaving: None,
            suspicion: None,
            probing_since: None,
            own: Load::default(),
            pending_prefill: 0.0,
            pending_at: Time::ZERO,
            peers: BTreeMap::new(),
            peer_total: Load::default(),
            unaccounted: Load::default(),
            unaccounted_at: Time::ZERO,
            peak_streams: 0.0,
            batch: BatchLimit::default(),
            history: VecDeque::new(),
            speed: Speed::new(Prior::default()),
            hints: HashMap::new(),
        }
    }

    /// Returns whether the target takes new work.
    pub(crate) fn is_usable(&self) -> bool {
        self.active && self.suspicion.is_none() && !self.is_leaving()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.is_some_and(|incarnation| incarnation >= self.incarnation)
    }

    /// Marks an incarnation as leaving until a later incarnation reports.
    pub(crate) fn mark_leaving(&mut self, incarnation: Incarnation) {
        self.leaving = self.leaving.max(Some(incarnation));
    }

    /// Assumes versions as loaded until the target itself reports.
    pub(crate) fn assume_versions(&mut self, versions: &[VersionId]) {
        if !self.reported {
            self.versions = versions.to_vec();
        }
    }

    /// Applies a load report as of the time it was measured. Load that this instance and its peers
    /// account for at that time is subtracted, and what they sent since is added by `load`.
    pub(crate) fn apply_report(&mut self, report: &LoadReport, now: Time) {
        if report.incarnation < self.incarnation {
            return;
        }
        if report.incarnation > self.incarnation {
            self.incarnation = report.incarnation;
            self.hints.clear();
            self.history.clear();
        }
        self.reported = true;
        self.versions.clone_from(&report.versions);
        if report.leaving {
            self.mark_leaving(report.incarnation);
        }
        if self.suspicion.is_some_and(|suspicion| report.measured > suspicion.since_wall) {
            self.suspicion = None;
        }
        let reported = Load {
            requests: f64::from(report.running + report.waiting),
            prefill: report.prefill_tokens as f64,
            tokens: report.prefill_tokens as f64,
        };
        self.unaccounted = reported.excess_over(self.accounted(report.measured));
        self.unaccounted_at = now;
        if self.batch.report(report, self.speed.prefill(), now) {
            // The earlier waits inside the target were mistaken for slow prefill.
            self.speed.forget_prefill();
        }
        self.peak_streams = (self.peak_streams * PEAK_DECAY).max(f64::from(report.running));
    }

    /// Returns the load that this instance and its peers accounted for at `at`.
    fn accounted(&self, at: WallTime) -> Load {
        let earlier = self.history.iter().rev().find(|sample| sample.at <= at);
        let sample = earlier.or(self.history.front());
        sample.map_or(self.own.plus(self.peer_total), |sample| sample.load)
    }

    /// Samples the accounted load, so that late reports can be compared with the load of their
    /// time.
    pub(crate) fn sample_load(&mut self, wall: WallTime) {
        if self.history.back().is_some_and(|last| wall.since(last.at) < HISTORY_INTERVAL) {
            return;
        }
        self.history.push_back(Sample { at: wall, load: self.own.plus(self.peer_total) });
        while self.history.front().is_some_and(|first| wall.since(first.at) > HISTORY_RETENTION) {
            self.history.pop_front();
        }
    }

    /// Applies a peer's work in flight.
    pub(crate) fn set_peer_usage(
        &mut self,
        from: &InstanceId,
        usage: Option<&TargetUsage>,
        now: Time,
    ) {
        let before = self.peers.get(from).map_or(0.0, |peer| peer.1.prefill);
        match usage {
            Some(usage) => {
                let load = Load {
                    requests: f64::from(usage.requests),
                    prefill: usage.prefill as f64,
                    tokens: usage.tokens as f64,
                };
                self.peers.insert(from.clone(), (now, load));
                self.speed.observe_peer_prefill(f64::from(usage.prefill_speed));
                // A decrease was prefilled in the meantime, which the elapsed time already accounts
                // for.
                self.add_pending((load.prefill - before).max(0.0), now);
            }
            None if self.peers.remove(from).is_none() => return,
            None => {}
        }
        self.update_peer_total();
    }

    /// Estimates the prompt tokens of this instance and its peers that are not prefilled yet.
    fn pending_prefill(&self, now: Time) -> f64 {
        let done = now.since(self.pending_at).as_secs_f64() * self.speed.prefill();
        let max_tokens = self.own.prefill + self.peer_total.prefill;
        // Prompts without a first token are not prefilled, however long they take.
        let min_tokens = self.own.prefill * MIN_PENDING_FRACTION;
        (self.pending_prefill - done).min(max_tokens).max(min_tokens)
    }

    fn add_pending(&mut self, tokens: f64, now: Time) {
        self.pending_prefill = self.pending_prefill(now).max(0.0) + tokens;
        self.pending_at = now;
    }

    /// Removes the load of peers that no longer report.
    pub(crate) fn expire_peers(&mut self, timeout: Duration, now: Time) {
        let before = self.peers.len();
        self.peers.retain(|_, (received, _)| now.since(*received) < timeout);
        if self.peers.len() != before {
            self.update_peer_total();
        }
    }

    fn update_peer_total(&mut self) {
        self.peer_total = self.peers.values().fold(Load::default(), |sum, peer| sum.plus(peer.1));
    }

    /// Adds the load of a dispatched request.
    pub(crate) fn add_request(&mut self, prompt: f64, output: f64, now: Time) {
        self.add_pending(prompt, now);
        self.own.requests += 1.0;
        self.own.prefill += prompt;
        self.own.tokens += prompt + output;
    }

    /// Removes a prompt that was prefilled after `took`. When it was sent, `work` tokens had to be
    /// prefilled up to its end. Whatever the estimate still counts before it is prefilled as well.
    pub(crate) fn prefilled(&mut self, prompt: f64, work: f64, took: Duration, now: Time) {
        let overestimate = (work - took.as_secs_f64() * self.speed.prefill()).max(0.0);
        self.pending_prefill = (self.pending_prefill(now) - overestimate).max(0.0);
        self.pending_at = now;
        self.own.prefill = (self.own.prefill - prompt).max(0.0);
        self.own.tokens = (self.own.tokens - prompt).max(0.0);
    }

    /// Removes generated output tokens.
    pub(crate) fn generated(&mut self, tokens: f64) {
        self.own.tokens = (self.own.tokens - tokens).max(0.0);
    }

    /// Removes a request that ended with `prompt` and `output` tokens not processed.
    pub(crate) fn remove_request(&mut self, prompt: f64, output: f64, now: Time) {
        self.pending_prefill = (self.pending_prefill(now) - prompt).max(0.0);
        self.pending_at = now;
        self.own.requests = (self.own.requests - 1.0).max(0.0);
        self.own.prefill = (self.own.prefill - prompt).max(0.0);
        self.own.tokens = (self.own.tokens - prompt - output).max(0.0);
        if self.own.requests < 0.5 {
            self.own = Load::default();
        }
    }

    /// Estimates the load at the target from all instances.
    pub(crate) fn load(&self, now: Time) -> Load {
        let mut load = self.own.plus(self.peer_total);
        load.prefill = self.pending_prefill(now);
        if self.unaccounted.requests > 0.0 || self.unaccounted.prefill > 0.0 {
            let age = now.since(self.unaccounted_at).as_secs_f64();
            load =
                load.plus(self.unaccounted.scaled((-age / UNACCOUNTED_HALF_LIFE_SECONDS).exp2()));
        }
        load
    }

    /// Returns the decaying maximum of the streams that the target was seen to run at once.
    pub(crate) fn peak_streams(&self) -> f64 {
        self.peak_streams
    }

    /// Returns the tokens of `prefix` that are probably cached.
    pub(crate) fn cached_tokens(&self, prefix: &Prefix, retention: Duration, now: Time) -> f64 {
        let Some(hint) = self.hints.get(&prefix.hash) else { return 0.0 };
        let age = now.since(hint.at);
        if age >= retention {
            return 0.0;
        }
        let decay = (-age.as_secs_f64() / HINT_HALF_LIFE_SECONDS).exp2();
        f64::from(hint.tokens.min(prefix.tokens)) * decay
    }

    /// Records that `tokens` of the prefix are cached; zero after an eviction.
    pub(crate) fn set_hint(&mut self, hash: u64, tokens: u32, now: Time) {
        if tokens == 0 {
            self.hints.remove(&hash);
            return;
        }
        self.hints.insert(hash, Hint { tokens, at: now });
    }

    /// Removes old hints, and the oldest ones beyond the limit.
    pub(crate) fn expire_hints(&mut self, retention: Duration, now: Time) {
        self.hints.retain(|_, hint| now.since(hint.at) < retention);
        while self.hints.len() > MAX_HINTS {
            let oldest = self
                .hints
                .iter()
                .min_by_key(|(hash, hint)| (hint.at, **hash))
                .map(|(hash, _)| *hash);
            oldest.and_then(|hash| self.hints.remove(&hash));
        }
    }

    /// Returns the incarnation that reported last.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }
}
