//! What a target can do, learned from what it does.
//!
//! The speed of prefill moves a bounded step with each first token, up or down by whether it came
//! sooner or later than predicted, and so settles at the median: a prompt that was cached
//! unexpectedly, or that stood behind work of others, can't throw it off. Time per output token is
//! a line over the number of streams, since engines that batch slow down with each. Both follow
//! the target when it speeds up or slows down; no setting describes an engine.

use std::time::Duration;

use sesamewind_protocol::Time;

const DEFAULT_PREFILL: f64 = 5_000.0;
const DEFAULT_STEP: f64 = 0.03;
/// Share of the deviation, in logarithms, by which one observation moves the speed of prefill.
const PREFILL_GAIN: f64 = 0.25;
/// The same for a peer's view of the speed.
const PEER_GAIN: f64 = 0.05;
/// Greatest deviation that counts, in logarithms.
const PREFILL_CLIP: f64 = 0.5;
/// Prefill that is shorter tells of the overhead rather than of the speed, in seconds.
const SHORT_PREFILL: f64 = 0.02;
const DEFAULT_OVERHEAD: f64 = 0.005;
const STEP_DECAY: f64 = 0.995;
/// Spread of the observed points, over the square of their mean, that determines a slope.
const MIN_SPREAD: f64 = 0.05;
const OVERHEAD_RANGE: (f64, f64) = (0.001, 0.5);
const PLAIN_GAIN: f64 = 0.1;
/// How long an observation of prefill counts as current.
const CURRENT: Duration = Duration::from_secs(10);

/// Learned speeds of one target.
#[derive(Debug, Clone)]
pub(crate) struct Speed {
    /// Prompt tokens a second, once seen.
    prefill: Option<f64>,
    /// Seconds to the first token apart from prefill.
    overhead: f64,
    seen: Option<Time>,
    /// Seconds per output token over streams beyond the first.
    steps: Fit,
    /// Share by which each further stream slows all down.
    crowd: f64,
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
        Self { prefill: DEFAULT_PREFILL, step: DEFAULT_STEP }
    }
}

/// Decaying least squares of seconds over a load.
#[derive(Debug, Clone, Copy)]
struct Fit {
    decay: f64,
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Fit {
    fn new(decay: f64) -> Self {
        Self { decay, n: 0.0, x: 0.0, y: 0.0, xx: 0.0, xy: 0.0 }
    }

    fn add(&mut self, x: f64, y: f64) {
        self.n = self.n * self.decay + 1.0;
        self.x = self.x * self.decay + x;
        self.y = self.y * self.decay + y;
        self.xx = self.xx * self.decay + x * x;
        self.xy = self.xy * self.decay + x * y;
    }

    fn mean(&self) -> Option<(f64, f64)> {
        (self.n >= 1.0).then(|| (self.x / self.n, self.y / self.n))
    }

    /// Intercept and slope, if the points lie far enough apart and both are sound.
    fn line(&self) -> Option<(f64, f64)> {
        let (mean_x, mean_y) = self.mean()?;
        let spread = self.xx / self.n - mean_x * mean_x;
        if spread < MIN_SPREAD * mean_x * mean_x || spread <= 0.0 {
            return None;
        }
        let slope = (self.xy / self.n - mean_x * mean_y) / spread;
        let intercept = mean_y - slope * mean_x;
        (slope > 0.0 && intercept >= 0.0).then_some((intercept, slope))
    }
}

impl Speed {
    pub(crate) fn new(prior: Prior) -> Self {
        Self {
            prefill: None,
            overhead: DEFAULT_OVERHEAD,
            seen: None,
            steps: Fit::new(STEP_DECAY),
            crowd: 0.0,
            call: None,
            prior,
        }
    }

    /// Whether prefill was seen at all.
    pub(crate) fn learned(&self) -> bool {
        self.seen.is_some()
    }

    /// Whether prefill was seen of late.
    pub(crate) fn known(&self, now: Time) -> bool {
        self.seen.is_some_and(|seen| now.since(seen) < CURRENT)
    }

    /// Notes that `tokens` were prefilled in `elapsed`. `certainty`, from 0 to 1, tells how sure it
    /// is that just these tokens were.
    pub(crate) fn saw_prefill(
        &mut self,
        tokens: f64,
        certainty: f64,
        elapsed: Duration,
        now: Time,
    ) {
        self.seen = Some(now);
        let seen = elapsed.as_secs_f64().max(1e-4);
        let Some(speed) = self.prefill else {
            let own = (seen - self.overhead).max(seen / 2.0);
            // A short prompt at first says too little to start from.
            let start = if own >= SHORT_PREFILL { tokens / own } else { self.prior.prefill };
            self.prefill = Some(start);
            return;
        };
        let own = tokens / speed;
        let deviation = ((self.overhead + own) / seen).ln().clamp(-PREFILL_CLIP, PREFILL_CLIP);
        if own >= SHORT_PREFILL.max(self.overhead) {
            self.prefill = Some(speed * (PREFILL_GAIN * certainty * deviation).exp());
        } else {
            let moved = self.overhead * (-PREFILL_GAIN * certainty * deviation).exp();
            self.overhead = moved.clamp(OVERHEAD_RANGE.0, OVERHEAD_RANGE.1);
        }
    }

    /// Takes a peer's view of the speed of prefill into account.
    pub(crate) fn heard_prefill(&mut self, peer: f64) {
        if peer <= 0.0 {
            return;
        }
        let own = self.prefill.unwrap_or(peer);
        self.prefill = Some(own * (PEER_GAIN * (peer / own).ln()).exp());
    }

    /// Speed of prefill for peers, once learned here.
    pub(crate) fn prefill_news(&self) -> f32 {
        self.prefill.filter(|_| self.seen.is_some()).unwrap_or(0.0) as f32
    }

    /// Notes the time per output token while `streams` streams ran.
    pub(crate) fn saw_step(&mut self, streams: f64, seconds: f64) {
        self.steps.add((streams - 1.0).max(0.0), seconds);
        if let Some((solo, slope)) = self.steps.line() {
            self.crowd = slope / solo.max(1e-6);
        }
    }

    /// Notes how long a call of a plain service took.
    pub(crate) fn saw_call(&mut self, elapsed: Duration) {
        let seen = elapsed.as_secs_f64();
        let old = self.call.unwrap_or(seen);
        self.call = Some(old + PLAIN_GAIN * (seen - old));
    }

    /// Seconds that one call of a plain service takes.
    pub(crate) fn call(&self) -> f64 {
        self.call.unwrap_or(DEFAULT_STEP)
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
    ///
    /// Until a slope was seen, more streams are taken to be as fast as few, so that they are tried.
    pub(crate) fn step(&self, streams: f64) -> f64 {
        let Some((others, seconds)) = self.steps.mean() else { return self.prior.step };
        let solo = seconds / (1.0 + self.crowd * others);
        solo * (1.0 + self.crowd * (streams - 1.0).max(0.0))
    }

    /// Speeds for others to assume.
    pub(crate) fn as_prior(&self) -> Prior {
        Prior { prefill: self.prefill(), step: self.step(1.0) }
    }

    pub(crate) fn set_prior(&mut self, prior: Prior) {
        self.prior = prior;
    }
}
