//! Speeds of a target, learned from observations.
//!
//! Each first token moves the estimated prefill speed by a bounded step, up or down depending on
//! whether the token came sooner or later than predicted. The estimate thus converges to the
//! median, and prompts that were cached unexpectedly or waited behind other work can't distort it.
//! Time per output token is modelled as linear in the number of streams, since batching engines
//! slow down with each stream. Both estimates follow changes of the target's speed, and no setting
//! describes an engine.

use std::time::Duration;

use sesamewind_protocol::Time;

const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 5_000.0;
const DEFAULT_STEP_SECONDS: f64 = 0.03;
/// Fraction of the logarithmic deviation by which one observation moves the prefill speed.
const PREFILL_GAIN: f64 = 0.25;
/// The same fraction for a peer's estimate of the speed.
const PEER_GAIN: f64 = 0.05;
/// Largest logarithmic deviation that counts, before and after the speed is learned.
const FIRST_LOG_CLIP: f64 = 2.0;
const PREFILL_LOG_CLIP: f64 = 0.5;
/// Sum of certainties of observations from which the prefill speed counts as learned.
const LEARNED_CONFIDENCE: f64 = 2.0;
/// Shorter prefill times show the overhead rather than the speed.
const SHORT_PREFILL_SECONDS: f64 = 0.02;
const DEFAULT_OVERHEAD_SECONDS: f64 = 0.005;
const STEP_GAIN: f64 = 0.02;
const STEP_DECAY: f64 = 0.9995;
/// Slow-down of a stream per other stream until it is learned, as a fraction.
const DEFAULT_SLOWDOWN: f64 = 0.05;
const SLOWDOWN_RANGE: (f64, f64) = (0.002, 1.0);
/// Weight of the default slow-down, as a variance of the number of streams.
const SLOWDOWN_WEIGHT: f64 = 2.0;
/// Largest ratio of the observed to the expected time per token that counts.
const MAX_STEP_RATIO: f64 = 4.0;
const OVERHEAD_RANGE_SECONDS: (f64, f64) = (0.001, 0.5);
const CALL_GAIN: f64 = 0.1;
/// How long an observation of prefill counts as current.
const CURRENT_PERIOD: Duration = Duration::from_secs(10);

/// Learned speeds of one target.
#[derive(Debug, Clone)]
pub(crate) struct Speed {
    /// Prompt tokens per second, once observed.
    prefill: Option<f64>,
    /// Sum of the certainties of observations.
    confidence: f64,
    /// Seconds to the first token apart from prefill.
    overhead: f64,
    observed_at: Option<Time>,
    /// Seconds per output token of a single stream, once observed.
    solo: Option<f64>,
    /// Seconds per output token over the number of other streams.
    steps: LinearFit,
    /// Slow-down of every stream per further stream, as a fraction.
    slowdown: f64,
    /// Seconds per call of a plain service.
    call: Option<f64>,
    /// Speeds of the service's other targets, used until this one is observed.
    prior: Prior,
}

/// Speeds assumed for a target without observations.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Prior {
    /// Prompt tokens per second.
    pub(crate) prefill: f64,
    /// Seconds per output token.
    pub(crate) step: f64,
}

impl Default for Prior {
    fn default() -> Self {
        Self { prefill: DEFAULT_PREFILL_TOKENS_PER_S, step: DEFAULT_STEP_SECONDS }
    }
}

/// Decaying moments of a linear fit of seconds over load.
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

    /// Returns slope over intercept, drawn towards the default while the loads vary little.
    fn slowdown(&self) -> f64 {
        let (mean_x, mean_y) = (self.x / self.n, self.y / self.n);
        let variance = self.xx / self.n - mean_x * mean_x;
        let covariance = self.xy / self.n - mean_x * mean_y;
        let slope = covariance / variance.max(1e-9);
        let solo = (mean_y - slope * mean_x).max(mean_y / (1.0 + mean_x));
        let observed = covariance / solo.max(1e-6);
        let slowdown =
            (observed + SLOWDOWN_WEIGHT * DEFAULT_SLOWDOWN) / (variance + SLOWDOWN_WEIGHT);
        slowdown.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1)
    }
}

impl Speed {
    pub(crate) fn new(prior: Prior) -> Self {
        Self {
            prefill: None,
            confidence: 0.0,
            overhead: DEFAULT_OVERHEAD_SECONDS,
            observed_at: None,
            solo: None,
            steps: LinearFit::default(),
            slowdown: DEFAULT_SLOWDOWN,
            call: None,
            prior,
        }
    }

    /// Returns whether prefill was ever observed.
    pub(crate) fn is_learned(&self) -> bool {
        self.observed_at.is_some()
    }

    /// Returns whether prefill was observed recently.
    pub(crate) fn is_current(&self, now: Time) -> bool {
        self.observed_at.is_some_and(|at| now.since(at) < CURRENT_PERIOD)
    }

    /// Records that `tokens` were prefilled in `elapsed`. `certainty`, from 0 to 1, tells how
    /// certain this number of tokens is.
    pub(crate) fn observe_prefill(
        &mut self,
        tokens: f64,
        certainty: f64,
        elapsed: Duration,
        now: Time,
    ) {
        self.observed_at = Some(now);
        let observed = elapsed.as_secs_f64().max(1e-4);
        let speed = self.prefill();
        let own = tokens / speed;
        let clip =
            if self.confidence < LEARNED_CONFIDENCE { FIRST_LOG_CLIP } else { PREFILL_LOG_CLIP };
        let deviation = ((self.overhead + own) / observed).ln().clamp(-clip, clip);
        if own < SHORT_PREFILL_SECONDS.max(self.overhead) {
            let overhead = self.overhead * (-PREFILL_GAIN * certainty * deviation).exp();
            self.overhead = overhead.clamp(OVERHEAD_RANGE_SECONDS.0, OVERHEAD_RANGE_SECONDS.1);
            return;
        }
        // The first observations have the largest effect.
        let gain = PREFILL_GAIN.max(1.0 / (1.0 + self.confidence));
        self.prefill = Some(speed * (gain * certainty * deviation).exp());
        self.confidence += certainty;
    }

    /// Discards the learned prefill speed after observations turned out to show something else.
    pub(crate) fn forget_prefill(&mut self) {
        self.prefill = None;
        self.confidence = 0.0;
        self.overhead = DEFAULT_OVERHEAD_SECONDS;
        self.observed_at = None;
    }

    /// Takes a peer's estimate of the prefill speed into account.
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

    /// Returns the prefill speed to report to peers, or zero until it is learned here.
    pub(crate) fn reported_prefill(&self) -> f32 {
        self.prefill.filter(|_| self.confidence >= LEARNED_CONFIDENCE).unwrap_or(0.0) as f32
    }

    /// Records the time per output token while `streams` streams ran.
    pub(crate) fn observe_step(&mut self, streams: f64, seconds: f64) {
        let others = (streams - 1.0).max(0.0);
        let expected = self.step(streams);
        let max_seconds = expected * MAX_STEP_RATIO;
        let observed = if self.solo.is_some() { seconds.min(max_seconds) } else { seconds };
        self.steps.add(others, observed);
        self.slowdown = self.steps.slowdown();
        let solo = observed / (1.0 + self.slowdown * others);
        let old = self.solo.unwrap_or(solo);
        self.solo = Some(old + STEP_GAIN * (solo - old));
    }

    /// Records the duration of a call of a plain service.
    pub(crate) fn observe_call(&mut self, elapsed: Duration) {
        let observed = elapsed.as_secs_f64();
        let old = self.call.unwrap_or(observed);
        self.call = Some(old + CALL_GAIN * (observed - old));
    }

    /// Returns the seconds that one call of a plain service takes.
    pub(crate) fn call(&self) -> f64 {
        self.call.unwrap_or(DEFAULT_STEP_SECONDS)
    }

    /// Returns the seconds from dispatch to the first token apart from prefill.
    pub(crate) fn overhead(&self) -> f64 {
        self.overhead
    }

    /// Returns the prompt tokens per second.
    pub(crate) fn prefill(&self) -> f64 {
        self.prefill.unwrap_or(self.prior.prefill)
    }

    /// Returns the seconds per output token of one stream when `streams` run in all.
    pub(crate) fn step(&self, streams: f64) -> f64 {
        let solo = self.solo.unwrap_or(self.prior.step);
        solo * (1.0 + self.slowdown * (streams - 1.0).max(0.0))
    }

    /// Returns the speeds to assume for other targets.
    pub(crate) fn as_prior(&self) -> Prior {
        Prior { prefill: self.prefill(), step: self.step(1.0) }
    }

    pub(crate) fn set_prior(&mut self, prior: Prior) {
        self.prior = prior;
    }
}
