//! Simulated requests and engines.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::cases::{Case, Condition, Fault, User};

/// Routes with their fraction of the requests and the median tokens of their prompts.
pub(crate) const ROUTES: [(&str, f64, f64); 6] = [
    ("quote", 0.10, 4000.0),
    ("reply", 0.30, 300.0),
    ("tag", 0.25, 120.0),
    ("summary", 0.10, 1500.0),
    ("answer", 0.20, 60.0),
    ("notes", 0.05, 500.0),
];

/// Number of engines of the service.
pub(crate) const ENGINES: usize = 9;
/// Failure rate of any version.
const BASE_FAILURE_RATE: f64 = 0.002;
/// Standard deviation of the logarithm of the time to first token on one engine.
const LATENCY_SIGMA: f64 = 0.5;
/// Standard deviation of the logarithm of a route's prompt tokens.
const PROMPT_SIGMA: f64 = 0.6;
/// Average time between two episodes in which one engine is slow.
const SLOW_INTERVAL_MINUTES: f64 = 60.0;
/// Duration of such an episode in minutes, and the factor on the time to first token.
const SLOW_EPISODE: (f64, f64) = (2.0, 5.0);
/// Average time between two crashes of one engine.
const CRASH_INTERVAL_MINUTES: f64 = 120.0;
/// Time for which a crashed engine fails requests before it is no longer selected.
const CRASH_MINUTES: f64 = 0.1;
/// Duration of a burst in minutes, and the factor on the request rate.
const BURST: (f64, f64) = (10.0, 5.0);

/// An engine with the start and end of an episode in minutes.
type Episode = (usize, f64, f64);

/// The simulated requests and engines of one run.
#[derive(Debug)]
pub(crate) struct Traffic {
    rng: ChaCha8Rng,
    case: Case,
    rate: f64,
    minutes: f64,
    phase: f64,
    burst: f64,
    slow: Vec<Episode>,
    crashes: Vec<Episode>,
    speeds: [f64; ENGINES],
    has_shown_fault: bool,
}

/// A request and how the engine serves it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request {
    pub(crate) route: usize,
    pub(crate) prompt_tokens: u64,
    /// Time to the first token at the old version, in milliseconds.
    pub(crate) millis: f64,
    pub(crate) fails: bool,
}

impl Traffic {
    pub(crate) fn new(case: Case, user: &User, mut rng: ChaCha8Rng) -> Self {
        let minutes = user.hours * 60.0;
        let slow = episodes(&mut rng, minutes, SLOW_INTERVAL_MINUTES, SLOW_EPISODE.0);
        let crashes = episodes(&mut rng, minutes, CRASH_INTERVAL_MINUTES, CRASH_MINUTES);
        let old = if case.condition == Condition::OldGeneration { (4, 4.0) } else { (3, 1.8) };
        let speeds = std::array::from_fn(|engine| if engine < old.0 { old.1 } else { 1.0 });
        let burst = rng.random::<f64>() * (minutes - BURST.0);
        let phase = rng.random::<f64>();
        let rate = user.per_hour / 60.0;
        let has_shown_fault = false;
        Self { rng, case, rate, minutes, phase, burst, slow, crashes, speeds, has_shown_fault }
    }

    /// Returns the time until the next request after `minute`, in minutes.
    pub(crate) fn gap(&mut self, minute: f64) -> f64 {
        let uniform: f64 = self.rng.random();
        -(1.0 - uniform).ln() / (self.rate * self.load(minute))
    }

    /// Returns the request rate relative to the average.
    fn load(&self, minute: f64) -> f64 {
        let angle = (minute / self.minutes * 2.0 + self.phase) * std::f64::consts::TAU;
        let burst = if self.in_burst(minute) { BURST.1 } else { 1.0 };
        (1.0 + 0.6 * angle.sin()) * burst
    }

    fn in_burst(&self, minute: f64) -> bool {
        self.case.condition == Condition::Burst
            && (self.burst..self.burst + BURST.0).contains(&minute)
    }

    pub(crate) fn request(&mut self, minute: f64) -> Request {
        let mut pick: f64 = self.rng.random();
        let route = ROUTES.iter().position(|route| {
            pick -= route.1;
            pick < 0.0
        });
        let route = route.unwrap_or(0);
        let prompt = (ROUTES[route].2 * (PROMPT_SIGMA * self.normal()).exp()).max(1.0);
        let engine = self.rng.random_range(0..ENGINES);
        let during = |episodes: &[Episode]| {
            episodes.iter().any(|(on, from, to)| *on == engine && (*from..*to).contains(&minute))
        };
        let slowdown = if during(&self.slow) { SLOW_EPISODE.1 } else { 1.0 };
        let crashed = during(&self.crashes);
        let queue = 1.0 + 0.5 * self.load(minute).powi(2);
        let base = (40.0 + 0.15 * prompt) * self.speeds[engine] * slowdown * queue;
        let millis = base * (LATENCY_SIGMA * self.normal()).exp();
        let fails = crashed || self.rng.random::<f64>() < BASE_FAILURE_RATE;
        Request { route, prompt_tokens: prompt as u64, millis, fails }
    }

    /// Returns how `request` ends at the new version, `used` minutes after the version's first
    /// request.
    pub(crate) fn on_new_version(&mut self, request: Request, minute: f64, used: f64) -> Request {
        let chance: f64 = self.rng.random();
        let peak = 1.6;
        let (fails, factor) = match self.case.fault {
            Fault::None => (false, 1.0),
            Fault::Fails(rate) => (chance < rate, 1.0),
            Fault::FailsFrom(from) => (used >= from, 1.0),
            Fault::FailsUnderLoad(rate) => (self.load(minute) > peak / 2.0 && chance < rate, 1.0),
            Fault::FailsOnRoute(rate) => (request.route == 1 && chance < rate, 1.0),
            Fault::Slower(factor) => (false, factor),
            Fault::FailsFromFraction(fraction) => (minute >= fraction * self.minutes, 1.0),
        };
        self.has_shown_fault |= match self.case.fault {
            Fault::FailsFrom(_) | Fault::FailsFromFraction(_) | Fault::FailsUnderLoad(_) => fails,
            _ => true,
        };
        Request { fails: request.fails || fails, millis: request.millis * factor, ..request }
    }

    /// Returns whether the new version's fault has had an effect.
    pub(crate) fn has_shown_fault(&self) -> bool {
        self.has_shown_fault
    }

    fn normal(&mut self) -> f64 {
        let (a, b): (f64, f64) = (self.rng.random(), self.rng.random());
        (-2.0 * (1.0 - a).ln()).sqrt() * (std::f64::consts::TAU * b).cos()
    }
}

fn episodes(rng: &mut ChaCha8Rng, minutes: f64, interval: f64, length: f64) -> Vec<Episode> {
    let mut episodes = Vec::new();
    let mut at = 0.0;
    loop {
        let uniform: f64 = rng.random();
        at += -(1.0 - uniform).ln() * interval;
        if at >= minutes {
            return episodes;
        }
        episodes.push((rng.random_range(0..ENGINES), at, at + length));
    }
}
