//! Stages of a rollout and when each may begin.
//!
//! The plan divides the time between start and deadline. The steps end, and full share is reached,
//! by six tenths of it; the rest is for observation. A step ends early once enough requests have
//! been judged. With too little traffic it ends with its time window, because a larger share brings
//! more requests to judge. Full share and completion still need [`MIN_JUDGED_REQUESTS`]; without
//! them the rollout is rolled back at the deadline.

use std::time::Duration;

use sesamewind_protocol::WallTime;
use sesamewind_protocol::evidence::Stage;

/// Requests of the new version that are required before it gets full share or is completed.
pub const MIN_JUDGED_REQUESTS: u64 = 20;

/// Requests of the new version, over all stages, after which each step may end early.
const STEP_REQUESTS: [u64; 4] = [40, 80, 150, 300];
/// Factor between the shares of two consecutive steps.
const SHARE_GROWTH: f64 = 3.0;
/// Largest share of a step before full share.
const MAX_STEP_SHARE: f64 = 0.5;
/// Fraction of the time from start to deadline by which full share should be reached.
const FULL_SHARE_FRACTION: f64 = 0.6;
/// Fraction of the time from start to deadline within which every target should load the new
/// version.
const LOAD_FRACTION: f64 = 0.2;
/// Minimum duration of a stage as a fraction of the time from start to deadline.
const MIN_STAGE_FRACTION: f64 = 0.02;
/// Lower bound on the minimum duration of a stage.
const MIN_STAGE_TIME: Duration = Duration::from_secs(2);
/// Upper bound on the minimum duration of a stage.
const MAX_MIN_STAGE_TIME: Duration = Duration::from_secs(600);
/// Fraction of the time from start to deadline that is reserved for recording the completion.
const COMPLETION_LEAD_FRACTION: f64 = 0.1;
/// Lower bound on the time reserved for recording the completion.
const MIN_COMPLETION_LEAD: Duration = Duration::from_secs(5);
/// Upper bound on the time reserved for recording the completion.
const MAX_COMPLETION_LEAD: Duration = Duration::from_secs(300);

/// Number of the first full stage in evidence.
const FIRST_FULL_NUMBER: u8 = 200;
/// Highest round with stage numbers of its own; later rounds share its numbers.
const MAX_ROUND: u8 = 27;

/// Returns the number of a stage in evidence.
pub(crate) fn stage_number(stage: Stage) -> u8 {
    match stage {
        Stage::Loading => 0,
        Stage::Step(step) => step.min(FIRST_FULL_NUMBER - 2) + 1,
        Stage::Full(round) => FIRST_FULL_NUMBER + 2 * round.min(MAX_ROUND),
        Stage::Recheck(round) => FIRST_FULL_NUMBER + 2 * round.min(MAX_ROUND) + 1,
    }
}

/// Returns whether `number` is a full stage, in which the old version gets no requests.
pub(crate) fn is_full(number: u8) -> bool {
    number >= FIRST_FULL_NUMBER && number.is_multiple_of(2)
}

/// Returns whether `number` is a recheck after a full stage.
pub(crate) fn is_recheck(number: u8) -> bool {
    number > FIRST_FULL_NUMBER && !number.is_multiple_of(2)
}

/// The stages between start and deadline.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    started: WallTime,
    span: Duration,
    shares: Vec<f64>,
}

impl Plan {
    /// Creates a plan whose steps begin at `first_share`.
    pub fn new(first_share: f64, started: WallTime, deadline: WallTime) -> Self {
        let mut share = first_share.clamp(0.001, MAX_STEP_SHARE);
        let mut shares = Vec::new();
        while shares.len() + 1 < STEP_REQUESTS.len() && share < MAX_STEP_SHARE / SHARE_GROWTH.sqrt()
        {
            shares.push(share);
            share = (share * SHARE_GROWTH).min(MAX_STEP_SHARE);
        }
        shares.push(share);
        Self { started, span: deadline.since(started), shares }
    }

    /// Returns the share of the new version at `stage`.
    pub fn share(&self, stage: Stage) -> f64 {
        match stage {
            Stage::Loading => 0.0,
            Stage::Step(step) => self.step_share(usize::from(step)),
            Stage::Full(_) => 1.0,
            Stage::Recheck(_) => MAX_STEP_SHARE,
        }
    }

    /// Returns the stage that follows `stage`.
    pub fn next(&self, stage: Stage) -> Stage {
        match stage {
            Stage::Loading => Stage::Step(0),
            Stage::Step(step) if usize::from(step) + 1 < self.shares.len() => Stage::Step(step + 1),
            Stage::Step(_) => Stage::Full(0),
            Stage::Full(round) => Stage::Recheck(round),
            Stage::Recheck(round) => Stage::Full(round.saturating_add(1)),
        }
    }

    /// Returns the time until which every target must have loaded the new version before the first
    /// step. After it, most targets suffice.
    pub fn load_by(&self) -> WallTime {
        self.started + self.span.mul_f64(LOAD_FRACTION)
    }

    /// Returns the end of the time window of `step`, after which too little traffic no longer
    /// delays the next stage.
    ///
    /// Windows are longer at larger shares, where more requests arrive in the same time.
    pub fn window_end(&self, step: u8) -> WallTime {
        let passed: f64 = (0..=usize::from(step)).map(|step| self.step_share(step).sqrt()).sum();
        let total: f64 = self.shares.iter().map(|share| share.sqrt()).sum();
        self.started + self.span.mul_f64(FULL_SHARE_FRACTION * passed / total)
    }

    /// Returns the requests of the new version after which `step` may end before its time window
    /// does.
    pub fn step_requests(&self, step: u8) -> u64 {
        let later_steps = self.shares.len() - 1 - usize::from(step).min(self.shares.len() - 1);
        STEP_REQUESTS[STEP_REQUESTS.len() - 1 - later_steps.min(STEP_REQUESTS.len() - 1)]
    }

    /// Returns the minimum duration of a stage.
    pub fn min_stage_time(&self) -> Duration {
        self.span.mul_f64(MIN_STAGE_FRACTION).clamp(MIN_STAGE_TIME, MAX_MIN_STAGE_TIME)
    }

    /// Returns the time from which the completion may be recorded.
    pub fn complete_from(&self) -> WallTime {
        let lead = self
            .span
            .mul_f64(COMPLETION_LEAD_FRACTION)
            .clamp(MIN_COMPLETION_LEAD, MAX_COMPLETION_LEAD)
            .min(self.span / 2);
        self.started + (self.span - lead)
    }

    fn step_share(&self, step: usize) -> f64 {
        self.shares[step.min(self.shares.len() - 1)]
    }
}
