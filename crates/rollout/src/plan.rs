//! Stages of a rollout and when the next one may begin.
//!
//! The time between start and deadline is divided: the steps have ended and full share is reached
//! by six tenths of it, the rest is for watching. A step ends early once enough requests were judged.
//! With too little traffic for that, a step ends at its slot's end, so that a larger share brings
//! more requests to judge; full share and completion still need [`MIN_JUDGED_REQUESTS`] requests, without
//! which the version is taken back at the deadline.

use std::time::Duration;

use sesamewind_protocol::WallTime;
use sesamewind_protocol::evidence::Stage;

/// Requests of the new version without which it never gets full share and is never completed.
pub const MIN_JUDGED_REQUESTS: u64 = 20;

/// Requests of the new version, over all stages, at which each step may end early.
const STEP_REQUESTS: [u64; 4] = [40, 80, 150, 300];
/// Factor between the shares of two steps.
const SHARE_GROWTH: f64 = 3.0;
/// Largest share of a step before full share.
const MAX_STEP_SHARE: f64 = 0.5;
/// Part of the time until the deadline by which full share is to be reached.
const FULL_SHARE_FRACTION: f64 = 0.6;
/// Part of the time until the deadline during which loading is waited for on every target.
const LOAD_FRACTION: f64 = 0.2;
/// Part of the time until the deadline that a stage lasts at least.
const MIN_STAGE_FRACTION: f64 = 0.02;
/// Shortest stage.
const MIN_STAGE_TIME: Duration = Duration::from_secs(2);
/// Longest time that a stage has to last.
const MAX_MIN_STAGE_TIME: Duration = Duration::from_secs(600);
/// Part of the time until the deadline that is kept for recording the completion.
const COMPLETION_LEAD_FRACTION: f64 = 0.1;
/// Shortest time kept for recording the completion.
const MIN_COMPLETION_LEAD: Duration = Duration::from_secs(5);
/// Longest time kept for recording the completion.
const MAX_COMPLETION_LEAD: Duration = Duration::from_secs(300);

/// Number of the first full stage in evidence.
const FIRST_FULL_NUMBER: u8 = 200;
/// Rounds of full share that evidence tells apart.
const MAX_ROUND: u8 = 27;

/// Number of a stage in evidence.
pub(crate) fn stage_number(stage: Stage) -> u8 {
    match stage {
        Stage::Loading => 0,
        Stage::Step(step) => step.min(FIRST_FULL_NUMBER - 2) + 1,
        Stage::Full(round) => FIRST_FULL_NUMBER + 2 * round.min(MAX_ROUND),
        Stage::Recheck(round) => FIRST_FULL_NUMBER + 2 * round.min(MAX_ROUND) + 1,
    }
}

/// Whether a stage number of evidence is one at full share, where the old version gets nothing.
pub(crate) fn is_full(number: u8) -> bool {
    number >= FIRST_FULL_NUMBER && number.is_multiple_of(2)
}

/// Whether a stage number of evidence is one of a recheck after full share.
pub(crate) fn is_recheck(number: u8) -> bool {
    number > FIRST_FULL_NUMBER && !number.is_multiple_of(2)
}

/// The stages between a start and a deadline.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    started: WallTime,
    span: Duration,
    shares: Vec<f64>,
}

impl Plan {
    /// Plans the steps from `first_share` upwards.
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

    /// Share of the new version at `stage`.
    pub fn share(&self, stage: Stage) -> f64 {
        match stage {
            Stage::Loading => 0.0,
            Stage::Step(step) => self.step_share(usize::from(step)),
            Stage::Full(_) => 1.0,
            Stage::Recheck(_) => MAX_STEP_SHARE,
        }
    }

    /// The stage after `stage`.
    pub fn next(&self, stage: Stage) -> Stage {
        match stage {
            Stage::Loading => Stage::Step(0),
            Stage::Step(step) if usize::from(step) + 1 < self.shares.len() => Stage::Step(step + 1),
            Stage::Step(_) => Stage::Full(0),
            Stage::Full(round) => Stage::Recheck(round),
            Stage::Recheck(round) => Stage::Full(round.saturating_add(1)),
        }
    }

    /// Until when loading is waited for on every target; later most of them suffice.
    pub fn load_by(&self) -> WallTime {
        self.started + self.span.mul_f64(LOAD_FRACTION)
    }

    /// End of the slot of `step`, when too little traffic no longer holds it.
    ///
    /// Slots are longer at larger shares, where more requests come in the same time.
    pub fn window_end(&self, step: u8) -> WallTime {
        let passed: f64 = (0..=usize::from(step)).map(|step| self.step_share(step).sqrt()).sum();
        let total: f64 = self.shares.iter().map(|share| share.sqrt()).sum();
        self.started + self.span.mul_f64(FULL_SHARE_FRACTION * passed / total)
    }

    /// Requests of the new version at which `step` may end before its slot does.
    pub fn step_requests(&self, step: u8) -> u64 {
        let later_steps = self.shares.len() - 1 - usize::from(step).min(self.shares.len() - 1);
        STEP_REQUESTS[STEP_REQUESTS.len() - 1 - later_steps.min(STEP_REQUESTS.len() - 1)]
    }

    /// How long a stage lasts at least.
    pub fn min_stage_time(&self) -> Duration {
        self.span.mul_f64(MIN_STAGE_FRACTION).clamp(MIN_STAGE_TIME, MAX_MIN_STAGE_TIME)
    }

    /// From when the completion is to be recorded.
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
