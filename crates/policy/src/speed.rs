//! What a target can do, learned from what it does.
//!
//! Time to the first token is fitted as a line over the tokens that had to be prefilled; time per
//! output token is kept per number of streams, since engines that batch slow down with each. Both
//! follow the target when it speeds up or slows down, and no setting describes an engine.

use std::time::Duration;

use sesamewind_protocol::Time;

const DEFAULT_PREFILL: f64 = 5_000.0;
const DEFAULT_STEP: f64 = 0.03;
const FIT_DECAY: f64 = 0.94;
const STEP_GAIN: f64 = 0.08;
const CURVE_GAIN: f64 = 0.02;
const MAX_RATIO: f64 = 4.0;
const MAX_OVERHEAD: f64 = 0.5;
const STEP_BUCKETS: usize = 9;
const PLAIN_GAIN: f64 = 0.1;
/// How long an observation of prefill counts as current.
const CURRENT: Duration = Duration::from_secs(10);

/// Learned speeds of one target.
#[derive(Debug, Clone)]
pub(crate) struct Speed {
    fit: Fit,
    seen: Option<Time>,
    /// Seconds per output token, by the binary logarithm of the number of streams.
    steps: [Option<f32>; STEP_BUCKETS],
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

/// Decaying least squares of seconds over tokens.
#[derive(Debug, Clone, Copy, Default)]
struct Fit {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Fit {
    fn add(&mut self, x: f64, y: f64) {
        self.n = self.n * FIT_DECAY + 1.0;
        self.x = self.x * FIT_DECAY + x;
        self.y = self.y * FIT_DECAY + y;
        self.xx = self.xx * FIT_DECAY + x * x;
        self.xy = self.xy * FIT_DECAY + x * y;
    }

    /// Intercept in seconds and slope in seconds a token.
    fn line(&self) -> Option<(f64, f64)> {
        if self.n < 1.0 {
            return None;
        }
        let (mean_x, mean_y) = (self.x / self.n, self.y / self.n);
        let spread = self.xx / self.n - mean_x * mean_x;
        let through_origin = (0.0, mean_y / mean_x.max(1.0));
        // Points too close together say nothing of the intercept.
        if spread < 0.05 * mean_x * mean_x {
            return Some(through_origin);
        }
        let slope = (self.xy / self.n - mean_x * mean_y) / spread;
        let intercept = mean_y - slope * mean_x;
        if slope <= 0.0 || intercept < 0.0 {
            return Some(through_origin);
        }
        Some((intercept.min(MAX_OVERHEAD), slope))
    }
}

impl Speed {
    pub(crate) fn new(prior: Prior) -> Self {
        Self { fit: Fit::default(), seen: None, steps: [None; STEP_BUCKETS], call: None, prior }
    }

    /// Whether prefill was seen at all.
    pub(crate) fn learned(&self) -> bool {
        self.seen.is_some()
    }

    /// Whether prefill was seen of late.
    pub(crate) fn known(&self, now: Time) -> bool {
        self.seen.is_some_and(|seen| now.since(seen) < CURRENT)
    }

    /// Notes that `tokens` were prefilled in `elapsed`.
    pub(crate) fn saw_prefill(&mut self, tokens: f64, elapsed: Duration, now: Time) {
        self.seen = Some(now);
        self.fit.add(tokens.max(1.0), elapsed.as_secs_f64());
    }

    /// Notes the time per output token while `streams` streams ran.
    pub(crate) fn saw_step(&mut self, streams: f64, seconds: f64) {
        let expected = self.step(streams);
        let ratio = (seconds / expected.max(1e-6)).clamp(1.0 / MAX_RATIO, MAX_RATIO);
        // What slows one load level down mostly slows the others too.
        for step in self.steps.iter_mut().flatten() {
            *step *= (1.0 + CURVE_GAIN * (ratio - 1.0)) as f32;
        }
        let step = &mut self.steps[bucket(streams)];
        let old = f64::from(step.unwrap_or(seconds as f32));
        let seen = seconds.clamp(old / MAX_RATIO, old * MAX_RATIO);
        *step = Some((old + STEP_GAIN * (seen - old)) as f32);
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
        self.fit.line().map_or(0.0, |line| line.0)
    }

    /// Prompt tokens a second.
    pub(crate) fn prefill(&self) -> f64 {
        self.fit.line().map_or(self.prior.prefill, |line| 1.0 / line.1.max(1e-7))
    }

    /// Seconds per output token of one stream beside others, `streams` in all.
    ///
    /// A load that was not seen yet is taken to be as fast as the next lower one, so that it will
    /// be tried.
    pub(crate) fn step(&self, streams: f64) -> f64 {
        let at = bucket(streams);
        let lower = self.steps[..=at].iter().rev().flatten().next();
        let nearest = lower.or_else(|| self.steps[at..].iter().flatten().next());
        nearest.map_or(self.prior.step, |step| f64::from(*step))
    }

    /// Speeds for others to assume.
    pub(crate) fn as_prior(&self) -> Prior {
        Prior { prefill: self.prefill(), step: self.step(1.0) }
    }

    pub(crate) fn set_prior(&mut self, prior: Prior) {
        self.prior = prior;
    }
}

fn bucket(streams: f64) -> usize {
    let rounded = streams.max(1.0).round() as u64;
    (rounded.ilog2() as usize).min(STEP_BUCKETS - 1)
}
