//! Plan of configuration changes and signals in a run, drawn from its seed.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::configuration::Aspect;
use crate::plan::{Fault, LEAD_TIME, PlannedFault, SETTLE_TIME};

/// Mean time between the starts of two operations.
const MEAN_INTERVAL: Duration = Duration::from_millis(800);

/// Bounds on the duration of an operation in milliseconds.
const LENGTH_MS: (u64, u64) = (300, 2_500);

/// Longest time between two operations that overlap, in milliseconds.
const OVERLAP_MS: u64 = 400;

/// Bounds on the pause of a target in milliseconds.
const PAUSE_MS: (u64, u64) = (500, 2_000);

/// Draws the operations of a run of `length`, which leave instances and targets sound except for
/// those that are killed. Half of the changes overlap with an operation on an instance.
pub fn plan(
    rng: &mut impl Rng,
    length: Duration,
    instances: usize,
    targets: usize,
) -> Vec<PlannedFault> {
    let mut planned = Vec::new();
    let mut at = LEAD_TIME;
    let end = length.saturating_sub(SETTLE_TIME);
    while at < end {
        let length = Duration::from_millis(rng.random_range(LENGTH_MS.0..LENGTH_MS.1));
        let length = length.min(end - at);
        let fault = operation(rng, instances, targets);
        planned.push(PlannedFault { at, length, fault });
        if matches!(fault, Fault::Change(..)) && rng.random() {
            let at = at + Duration::from_millis(rng.random_range(0..OVERLAP_MS));
            planned.push(PlannedFault { at, length, fault: on_instance(rng, instances) });
        }
        at += MEAN_INTERVAL.mul_f64(rng.random_range(0.1..1.9));
    }
    planned
}

fn operation(rng: &mut impl Rng, instances: usize, targets: usize) -> Fault {
    let target = rng.random_range(0..targets);
    match rng.random_range(0..20) {
        0..10 => {
            let aspect = Aspect::ALL[rng.random_range(0..Aspect::ALL.len())];
            Fault::Change(aspect, rng.random_range(1..5))
        }
        10..13 => on_instance(rng, instances),
        13..18 => {
            let target = (rng.random_range(0..3) > 0).then_some(target);
            let (events, pause) =
                (rng.random_range(0..6), rng.random_range(PAUSE_MS.0..PAUSE_MS.1));
            Fault::TargetPause(target, events, pause)
        }
        18 => Fault::TargetLeaves(target),
        _ => Fault::Kill(rng.random_range(0..instances)),
    }
}

fn on_instance(rng: &mut impl Rng, instances: usize) -> Fault {
    let instance = rng.random_range(0..instances);
    match rng.random_range(0..8) {
        0..3 => Fault::Reload(instance),
        3..5 => Fault::Stop(instance),
        5..7 => Fault::StopWithSignals(instance),
        _ => Fault::RollingStop,
    }
}
