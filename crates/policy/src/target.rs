//! A target as this instance sees it: state, load, speed and cached prefixes.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use sesamewind_protocol::target::LoadReport;
use sesamewind_protocol::traffic::TargetUsage;
use sesamewind_protocol::{Incarnation, InstanceId, TargetId, Time, VersionId, WallTime};

use crate::batch::Batch;
use crate::event::Prefix;
use crate::speed::{Prior, Speed};

const HISTORY_STEP: Duration = Duration::from_millis(40);
const HISTORY_SPAN: Duration = Duration::from_secs(5);
/// What remains of the most streams seen with each load report.
const RUNNING_DECAY: f64 = 0.99;
const EXTRA_HALF_LIFE: f64 = 2.0;
const MAX_HINTS: usize = 512;
/// Least share of the prompts without a first token that counts as not prefilled.
const UNDONE_SHARE: f64 = 0.1;
/// Time after which half of a prefix is taken to be evicted.
const HINT_HALF_LIFE: f64 = 60.0;

/// Work at a target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Load {
    pub(crate) requests: f64,
    /// Prompt tokens that are not prefilled yet.
    pub(crate) prefill: f64,
    /// Prompt and output tokens that are not done yet.
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

    /// What of `self` goes beyond `other`.
    fn beyond(self, other: Load) -> Load {
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

/// Doubt about a target that failed to answer.
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
    /// Whether the configuration names it.
    pub(crate) active: bool,
    pub(crate) versions: Vec<VersionId>,
    /// Whether the target itself said what it has loaded.
    reported: bool,
    incarnation: Incarnation,
    leaving: Option<Incarnation>,
    pub(crate) suspicion: Option<Suspicion>,
    pub(crate) probing: Option<Time>,
    pub(crate) own: Load,
    /// Prompt tokens of this instance and its peers still to be prefilled at `ahead_at`.
    ahead: f64,
    ahead_at: Time,
    peers: BTreeMap<InstanceId, (Time, Load)>,
    peer_sum: Load,
    /// Load that neither this instance nor its peers account for.
    extra: Load,
    extra_at: Time,
    /// Most streams that the target was seen to run at once of late.
    seen_running: f64,
    /// How many streams the target runs at once at most.
    pub(crate) batch: Batch,
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
            probing: None,
            own: Load::default(),
            ahead: 0.0,
            ahead_at: Time::ZERO,
            peers: BTreeMap::new(),
            peer_sum: Load::default(),
            extra: Load::default(),
            extra_at: Time::ZERO,
            seen_running: 0.0,
            batch: Batch::default(),
            history: VecDeque::new(),
            speed: Speed::new(Prior::default()),
            hints: HashMap::new(),
        }
    }

    /// Whether the target takes new work.
    pub(crate) fn usable(&self) -> bool {
        self.active && self.suspicion.is_none() && !self.is_leaving()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.is_some_and(|life| life >= self.incarnation)
    }

    /// Marks a life as leaving; it stays so until a later life reports.
    pub(crate) fn leave(&mut self, life: Incarnation) {
        self.leaving = self.leaving.max(Some(life));
    }

    /// Takes versions as loaded until the target itself reports.
    pub(crate) fn assume(&mut self, versions: &[VersionId]) {
        if !self.reported {
            self.versions = versions.to_vec();
        }
    }

    /// Takes a load report as of its own time: what this instance and its peers account for at
    /// that time is set off, and what they sent since counts on its own.
    pub(crate) fn report(&mut self, report: &LoadReport, now: Time) {
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
            self.leave(report.incarnation);
        }
        if self.suspicion.is_some_and(|doubt| report.measured > doubt.since_wall) {
            self.suspicion = None;
        }
        let reported = Load {
            requests: f64::from(report.running + report.waiting),
            prefill: report.prefill_tokens as f64,
            tokens: report.prefill_tokens as f64,
        };
        self.extra = reported.beyond(self.accounted(report.measured));
        self.extra_at = now;
        if self.batch.report(report, self.speed.prefill(), now) {
            // The waits so far were taken for slow prefill.
            self.speed.forget_prefill();
        }
        self.seen_running = (self.seen_running * RUNNING_DECAY).max(f64::from(report.running));
    }

    /// Load that this instance and its peers accounted for at `at`.
    fn accounted(&self, at: WallTime) -> Load {
        let earlier = self.history.iter().rev().find(|sample| sample.at <= at);
        let sample = earlier.or(self.history.front());
        sample.map_or(self.own.plus(self.peer_sum), |sample| sample.load)
    }

    /// Remembers the load accounted for, for reports that come late.
    pub(crate) fn remember(&mut self, wall: WallTime) {
        if self.history.back().is_some_and(|last| wall.since(last.at) < HISTORY_STEP) {
            return;
        }
        self.history.push_back(Sample { at: wall, load: self.own.plus(self.peer_sum) });
        while self.history.front().is_some_and(|first| wall.since(first.at) > HISTORY_SPAN) {
            self.history.pop_front();
        }
    }

    /// Takes a peer's work in flight.
    pub(crate) fn peer_use(&mut self, from: &InstanceId, usage: Option<&TargetUsage>, now: Time) {
        let before = self.peers.get(from).map_or(0.0, |peer| peer.1.prefill);
        match usage {
            Some(usage) => {
                let load = Load {
                    requests: f64::from(usage.requests),
                    prefill: usage.prefill as f64,
                    tokens: usage.tokens as f64,
                };
                self.peers.insert(from.clone(), (now, load));
                self.speed.heard_prefill(f64::from(usage.prefill_speed));
                // What became less was prefilled meanwhile, which the passing time accounts for.
                self.add_ahead((load.prefill - before).max(0.0), now);
            }
            None if self.peers.remove(from).is_none() => return,
            None => {}
        }
        self.sum_peers();
    }

    /// Prompt tokens still to be prefilled, as far as this instance and its peers account for them.
    fn ahead(&self, now: Time) -> f64 {
        let done = now.since(self.ahead_at).as_secs_f64() * self.speed.prefill();
        let most = self.own.prefill + self.peer_sum.prefill;
        // Prompts without a first token are not done, however long they take.
        let least = self.own.prefill * UNDONE_SHARE;
        (self.ahead - done).min(most).max(least)
    }

    fn add_ahead(&mut self, tokens: f64, now: Time) {
        self.ahead = self.ahead(now).max(0.0) + tokens;
        self.ahead_at = now;
    }

    /// Drops what silent peers said.
    pub(crate) fn expire_peers(&mut self, timeout: Duration, now: Time) {
        let before = self.peers.len();
        self.peers.retain(|_, (heard, _)| now.since(*heard) < timeout);
        if self.peers.len() != before {
            self.sum_peers();
        }
    }

    fn sum_peers(&mut self) {
        self.peer_sum = self.peers.values().fold(Load::default(), |sum, peer| sum.plus(peer.1));
    }

    /// Notes work sent.
    pub(crate) fn sent(&mut self, prompt: f64, output: f64, now: Time) {
        self.add_ahead(prompt, now);
        self.own.requests += 1.0;
        self.own.prefill += prompt;
        self.own.tokens += prompt + output;
    }

    /// Notes that a prompt was prefilled after `took`, of which `work` tokens were to be prefilled
    /// up to its end when it was sent. What the estimate still has before it is done as well.
    pub(crate) fn prefilled(&mut self, prompt: f64, work: f64, took: Duration, now: Time) {
        let early = (work - took.as_secs_f64() * self.speed.prefill()).max(0.0);
        self.ahead = (self.ahead(now) - early).max(0.0);
        self.ahead_at = now;
        self.own.prefill = (self.own.prefill - prompt).max(0.0);
        self.own.tokens = (self.own.tokens - prompt).max(0.0);
    }

    /// Notes that output tokens came.
    pub(crate) fn generated(&mut self, tokens: f64) {
        self.own.tokens = (self.own.tokens - tokens).max(0.0);
    }

    /// Notes that a request left the target with `prompt` and `output` tokens undone.
    pub(crate) fn left(&mut self, prompt: f64, output: f64, now: Time) {
        self.ahead = (self.ahead(now) - prompt).max(0.0);
        self.ahead_at = now;
        self.own.requests = (self.own.requests - 1.0).max(0.0);
        self.own.prefill = (self.own.prefill - prompt).max(0.0);
        self.own.tokens = (self.own.tokens - prompt - output).max(0.0);
        if self.own.requests < 0.5 {
            self.own = Load::default();
        }
    }

    /// Load at the target from all instances, estimated.
    pub(crate) fn load(&self, now: Time) -> Load {
        let mut load = self.own.plus(self.peer_sum);
        load.prefill = self.ahead(now);
        if self.extra.requests > 0.0 || self.extra.prefill > 0.0 {
            let age = now.since(self.extra_at).as_secs_f64();
            load = load.plus(self.extra.scaled((-age / EXTRA_HALF_LIFE).exp2()));
        }
        load
    }

    /// Most streams that the target was seen to run at once of late.
    pub(crate) fn seen_running(&self) -> f64 {
        self.seen_running
    }

    /// Tokens of `prefix` that are likely cached.
    pub(crate) fn cached(&self, prefix: &Prefix, keep: Duration, now: Time) -> f64 {
        let Some(hint) = self.hints.get(&prefix.hash) else { return 0.0 };
        let age = now.since(hint.at);
        if age >= keep {
            return 0.0;
        }
        let decay = (-age.as_secs_f64() / HINT_HALF_LIFE).exp2();
        f64::from(hint.tokens.min(prefix.tokens)) * decay
    }

    /// Notes that `tokens` of the prefix are held; zero after eviction.
    pub(crate) fn hint(&mut self, hash: u64, tokens: u32, now: Time) {
        if tokens == 0 {
            self.hints.remove(&hash);
            return;
        }
        self.hints.insert(hash, Hint { tokens, at: now });
    }

    /// Forgets hints that are old, or too many.
    pub(crate) fn expire_hints(&mut self, keep: Duration, now: Time) {
        self.hints.retain(|_, hint| now.since(hint.at) < keep);
        while self.hints.len() > MAX_HINTS {
            let oldest = self
                .hints
                .iter()
                .min_by_key(|(hash, hint)| (hint.at, **hash))
                .map(|(hash, _)| *hash);
            oldest.and_then(|hash| self.hints.remove(&hash));
        }
    }

    /// Life that reported last.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }
}
