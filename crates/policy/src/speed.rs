//! What a target can do, learned from what it does.
//!
//! The speed of prefill moves a bounded step with each first token, up or down by whether it came
//! sooner or later than predicted, and so settles at the median: a prompt that was cached
//! unexpectedly, or that stood behind work of others, can't throw it off. Time per output token is
//! a line over the number of streams, since engines that batch slow down with each. Both follow
//! the target when it speeds up or slows down; no setting describes an engine.

use std::time::Duration;

use sesamewind_protocol::Time;

const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 5_000.0;
const DEFAULT_STEP_SECONDS: f64 = 0.03;
/// Share of the deviation, in logarithms, by which one observation moves the speed of prefill.
const PREFILL_GAIN: f64 = 0.25;
/// The same for a peer's view of the speed.
const PEER_GAIN: f64 = 0.05;
/// Greatest deviation that counts, in logarithms, at first and later.
const FIRST_LOG_CLIP: f64 = 2.0;
const PREFILL_LOG_CLIP: f64 = 0.5;
/// Observations, by their certainty, after which the speed of prefill counts as learned.
const LEARNED_CONFIDENCE: f64 = 2.0;
/// Prefill that is shorter tells of the overhead rather than of the speed, in seconds.
const SHORT_PREFILL_SECONDS: f64 = 0.02;
const DEFAULT_OVERHEAD_SECONDS: f64 = 0.005;
const STEP_GAIN: f64 = 0.02;
const STEP_DECAY: f64 = 0.9995;
/// Share by which a stream slows the others down until it is learned.
const DEFAULT_SLOWDOWN: f64 = 0.05;
const SLOWDOWN_RANGE: (f64, f64) = (0.002, 1.0);
/// Weight of that share, as a variance of the number of streams.
const SLOWDOWN_WEIGHT: f64 = 2.0;
/// Greatest ratio of an observed time per token to the expected one that counts.
const MAX_STEP_RATIO: f64 = 4.0;
const OVERHEAD_RANGE_SECONDS: (f64, f64) = (0.001, 0.5);
const CALL_GAIN: f64 = 0.1;
/// How long an observation of prefill counts as current.
const CURRENT_PERIOD: Duration = Duration::from_secs(10);

/// Learned speeds of one target.
#[derive(Debug, Clone)]
pub(crate) struct Speed {
    /// Prompt tokens a second, once seen.
    prefill: Option<f64>,
    /// Observations behind it, by their certainty.
    confidence: f64,
    /// Seconds to the first token apart from prefill.
    overhead: f64,
    seen: Option<Time>,
    /// Seconds per output token of a stream alone, once seen.
    solo: Option<f64>,
    /// Seconds per output token over streams beyond the first.
    steps: LinearFit,
    /// Share by which each further stream slows all down.
    slowdown: f64,
    /// Seconds per call of a plain service.
    call: Option<f64>,
    /// Speeds of the service's other targets, until this one was seen.
    prior: Prior,
}

/// Speeds to assume of a target that was not seen yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Prior {
    /// Prompt tokens a second.
    pub(crate) prefill: f64,
    /// Seconds per output token.
    pub(crate) step: f64,
}

impl Default for Prior {
    fn default() -> Self {
        Self { prefill: DEFAULT_PREFILL_TOKENS_PER_S, step: DEFAULT_STEP_SECONDS }
    }
}

/// Decaying moments of seconds over a load.
#[derive(Debug, Clone, Copy, Default)]
struct LinearFit {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LinearFit {
    fn add(&mut self, x: f64, y: f64) {
        self.n = self.n * STEP_DECAY + 1.0;
        self.x = self.x * STEP_DECAY + x;
        self.y = self.y * STEP_DECAY + y;
        self.xx = self.xx * STEP_DECAY + x * x;
        self.xy = self.xy * STEP_DECAY + x * y;
    }

    /// Slope over intercept, drawn towards the default as long as the loads hardly differ.
    fn slowdown(&self) -> f64 {
        let (mean_x, mean_y) = (self.x / self.n, self.y / self.n);
        let variance = self.xx / self.n - mean_x * mean_x;
        let covariance = self.xy / self.n - mean_x * mean_y;
        let slope = covariance / variance.max(1e-9);
        let solo = (mean_y - slope * mean_x).max(mean_y / (1.0 + mean_x));
        let seen = covariance / solo.max(1e-6);
        let slowdown = (seen + SLOWDOWN_WEIGHT * DEFAULT_SLOWDOWN) / (variance + SLOWDOWN_WEIGHT);
        slowdown.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1)
    }
}

impl Speed {
    pub(crate) fn new(prior: Prior) -> Self {
        Self {
            prefill: None,
            confidence: 0.0,
            overhead: DEFAULT_OVERHEAD_SECONDS,
            seen: None,
            solo: None,
            steps: LinearFit::default(),
            slowdown: DEFAULT_SLOWDOWN,
            call: None,
            prior,
        }
    }

    /// Whether prefill was seen at all.
    pub(crate) fn is_learned(&self) -> bool {
        self.seen.is_some()
    }

    /// Whether prefill was seen of late.
    pub(crate) fn is_current(&self, now: Time) -> bool {
        self.seen.is_some_and(|seen| now.since(seen) < CURRENT_PERIOD)
    }

    /// Notes that `tokens` were prefilled in `elapsed`. `certainty`, from 0 to 1, tells how confidence it
    /// is that just these tokens were.
    pub(crate) fn observe_prefill(
        &mut self,
        tokens: f64,
        certainty: f64,
        elapsed: Duration,
        now: Time,
    ) {
        self.seen = Some(now);
        let seen = elapsed.as_secs_f64().max(1e-4);
        let speed = self.prefill();
        let own = tokens / speed;
        let clip =
            if self.confidence < LEARNED_CONFIDENCE { FIRST_LOG_CLIP } else { PREFILL_LOG_CLIP };
        let deviation = ((self.overhead + own) / seen).ln().clamp(-clip, clip);
        if own < SHORT_PREFILL_SECONDS.max(self.overhead) {
            let overhead = self.overhead * (-PREFILL_GAIN * certainty * deviation).exp();
            self.overhead = overhead.clamp(OVERHEAD_RANGE_SECONDS.0, OVERHEAD_RANGE_SECONDS.1);
            return;
        }
        // The first observations move it max_seconds.
        let gain = PREFILL_GAIN.max(1.0 / (1.0 + self.confidence));
        self.prefill = Some(speed * (gain * certainty * deviation).exp());
        self.confidence += certainty;
    }

    /// Forgets what was learned of prefill, when it turns out that something else was seen.
    pub(crate) fn forget_prefill(&mut self) {
        self.prefill = None;
        self.confidence = 0.0;
        self.overhead = DEFAULT_OVERHEAD_SECONDS;
        self.seen = None;
    }

    /// Takes a peer's view of the speed of prefill into account.
    pub(crate) fn observe_peer_prefill(&mut self, peer: f64) {
        if peer <= 0.0 {
            return;
        }
        if self.confidence < LEARNED_CONFIDENCE {
            self.prefill = Some(peer);
            return;
        }
        let own = self.prefill();
        self.prefill = Some(own * (PEER_GAIN * (peer / own).ln()).exp());
    }

    /// Speed of prefill for peers, once learned here.
    pub(crate) fn reported_prefill(&self) -> f32 {
        self.prefill.filter(|_| self.confidence >= LEARNED_CONFIDENCE).unwrap_or(0.0) as f32
    }

    /// Notes the time per output token while `streams` streams ran.
    pub(crate) fn observe_step(&mut self, streams: f64, seconds: f64) {
        let others = (streams - 1.0).max(0.0);
        let expected = self.step(streams);
        let max_seconds = expected * MAX_STEP_RATIO;
        let seen = if self.solo.is_some() { seconds.min(max_seconds) } else { seconds };
        self.steps.add(others, seen);
        self.slowdown = self.steps.slowdown();
        let solo = seen / (1.0 + self.slowdown * others);
        let old = self.solo.unwrap_or(solo);
        self.solo = Some(old + STEP_GAIN * (solo - old));
    }

    /// Notes how long a call of a plain service took.
    pub(crate) fn observe_call(&mut self, elapsed: Duration) {
        let seen = elapsed.as_secs_f64();
        let old = self.call.unwrap_or(seen);
        self.call = Some(old + CALL_GAIN * (seen - old));
    }

    /// Seconds that one call of a plain service takes.
    pub(crate) fn call(&self) -> f64 {
        self.call.unwrap_or(DEFAULT_STEP_SECONDS)
    }

    /// Seconds from dispatch to the first token apart from prefill.
    pub(crate) fn overhead(&self) -> f64 {
        self.overhead
    }

    /// Prompt tokens a second.
    pub(crate) fn prefill(&self) -> f64 {
        self.prefill.unwrap_or(self.prior.prefill)
    }

    /// Seconds per output token of one stream beside others, `streams` in all.
    pub(crate) fn step(&self, streams: f64) -> f64 {
        let solo = self.solo.unwrap_or(self.prior.step);
        solo * (1.0 + self.slowdown * (streams - 1.0).max(0.0))
    }

    /// Speeds for others to assume.
    pub(crate) fn as_prior(&self) -> Prior {
        Prior { prefill: self.prefill(), step: self.step(1.0) }
    }

    pub(crate) fn set_prior(&mut self, prior: Prior) {
        self.prior = prior;
    }
}
