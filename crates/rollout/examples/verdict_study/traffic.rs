//! Simulated requests and engines.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::cases::{Case, Fault, Scene, User};

/// Routes with their part of the requests and the median tokens of their prompts.
pub(crate) const ROUTES: [(&str, f64, f64); 6] = [
    ("quote", 0.10, 4000.0),
    ("reply", 0.30, 300.0),
    ("tag", 0.25, 120.0),
    ("summary", 0.10, 1500.0),
    ("answer", 0.20, 60.0),
    ("notes", 0.05, 500.0),
];

/// Engines of the service.
pub(crate) const ENGINES: usize = 9;
/// Part of the requests that fails at any version.
const BASE_FAILURES: f64 = 0.002;
/// Standard deviation of the logarithm of the time to first token on one engine.
const SPREAD: f64 = 0.5;
/// Standard deviation of the logarithm of a route's prompt tokens.
const PROMPT_SPREAD: f64 = 0.6;
/// Minutes between two episodes in which one engine is slow, on average.
const SLOW_EVERY: f64 = 60.0;
/// Minutes that such an episode lasts, and its factor.
const SLOW_EPISODE: (f64, f64) = (2.0, 5.0);
/// Minutes between two crashes of one engine, on average.
const CRASH_EVERY: f64 = 120.0;
/// Minutes during which a crashed engine fails requests before it is left out.
const CRASH_EPISODE: f64 = 0.1;
/// Minutes that a burst lasts, and its factor.
const BURST: (f64, f64) = (10.0, 5.0);

/// A time span in minutes on one engine.
type Episode = (usize, f64, f64);

/// The simulated surroundings of one run.
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
    shows: bool,
}

/// A request as the engine will serve it at either version.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request {
    pub(crate) route: usize,
    pub(crate) prompt_tokens: u64,
    /// Milliseconds to the first token at the old version.
    pub(crate) millis: f64,
    pub(crate) fails: bool,
}

impl Traffic {
    pub(crate) fn new(case: Case, user: &User, mut rng: ChaCha8Rng) -> Self {
        let minutes = user.hours * 60.0;
        let slow = episodes(&mut rng, minutes, SLOW_EVERY, SLOW_EPISODE.0);
        let crashes = episodes(&mut rng, minutes, CRASH_EVERY, CRASH_EPISODE);
        let old = if case.scene == Scene::OldGeneration { (4, 4.0) } else { (3, 1.8) };
        let speeds = std::array::from_fn(|engine| if engine < old.0 { old.1 } else { 1.0 });
        let burst = rng.random::<f64>() * (minutes - BURST.0);
        let phase = rng.random::<f64>();
        let rate = user.per_hour / 60.0;
        let shows = false;
        Self { rng, case, rate, minutes, phase, burst, slow, crashes, speeds, shows }
    }

    /// Minutes until the next request after `minute`.
    pub(crate) fn gap(&mut self, minute: f64) -> f64 {
        let uniform: f64 = self.rng.random();
        -(1.0 - uniform).ln() / (self.rate * self.load(minute))
    }

    /// Requests a minute relative to the average.
    fn load(&self, minute: f64) -> f64 {
        let turn = (minute / self.minutes * 2.0 + self.phase) * std::f64::consts::TAU;
        let burst = if self.in_burst(minute) { BURST.1 } else { 1.0 };
        (1.0 + 0.6 * turn.sin()) * burst
    }

    fn in_burst(&self, minute: f64) -> bool {
        self.case.scene == Scene::Burst && (self.burst..self.burst + BURST.0).contains(&minute)
    }

    pub(crate) fn request(&mut self, minute: f64) -> Request {
        let mut pick: f64 = self.rng.random();
        let route = ROUTES.iter().position(|route| {
            pick -= route.1;
            pick < 0.0
        });
        let route = route.unwrap_or(0);
        let prompt = (ROUTES[route].2 * (PROMPT_SPREAD * self.normal()).exp()).max(1.0);
        let engine = self.rng.random_range(0..ENGINES);
        let during = |episodes: &[Episode]| {
            episodes.iter().any(|(on, from, to)| *on == engine && (*from..*to).contains(&minute))
        };
        let hiccup = if during(&self.slow) { SLOW_EPISODE.1 } else { 1.0 };
        let crashed = during(&self.crashes);
        let queue = 1.0 + 0.5 * self.load(minute).powi(2);
        let base = (40.0 + 0.15 * prompt) * self.speeds[engine] * hiccup * queue;
        let millis = base * (SPREAD * self.normal()).exp();
        let fails = crashed || self.rng.random::<f64>() < BASE_FAILURES;
        Request { route, prompt_tokens: prompt as u64, millis, fails }
    }

    /// How `request` ends at the new version, `used` minutes after the version's first request.
    pub(crate) fn at_new(&mut self, request: Request, minute: f64, used: f64) -> Request {
        let chance: f64 = self.rng.random();
        let peak = 1.6;
        let (fails, factor) = match self.case.fault {
            Fault::None => (false, 1.0),
            Fault::Fails(part) => (chance < part, 1.0),
            Fault::FailsFrom(from) => (used >= from, 1.0),
            Fault::FailsUnderLoad(part) => (self.load(minute) > peak / 2.0 && chance < part, 1.0),
            Fault::FailsOnRoute(part) => (request.route == 1 && chance < part, 1.0),
            Fault::Slower(factor) => (false, factor),
            Fault::TurnsAt(part) => (minute >= part * self.minutes, 1.0),
        };
        self.shows |= match self.case.fault {
            Fault::FailsFrom(_) | Fault::TurnsAt(_) | Fault::FailsUnderLoad(_) => fails,
            _ => true,
        };
        Request { fails: request.fails || fails, millis: request.millis * factor, ..request }
    }

    /// Whether the new version's fault has shown itself.
    pub(crate) fn shows(&self) -> bool {
        self.shows
    }

    fn normal(&mut self) -> f64 {
        let (a, b): (f64, f64) = (self.rng.random(), self.rng.random());
        (-2.0 * (1.0 - a).ln()).sqrt() * (std::f64::consts::TAU * b).cos()
    }
}

fn episodes(rng: &mut ChaCha8Rng, minutes: f64, every: f64, length: f64) -> Vec<Episode> {
    let mut found = Vec::new();
    let mut at = 0.0;
    loop {
        let uniform: f64 = rng.random();
        at += -(1.0 - uniform).ln() * every;
        if at >= minutes {
            return found;
        }
        found.push((rng.random_range(0..ENGINES), at, at + length));
    }
}
