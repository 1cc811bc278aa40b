//! Request limits of targets: when targets name them in a run, and whether they were kept.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use crate::check::{Arrived, Evidence, breach};
use crate::plan::{Fault, LEAD_TIME, PlannedFault, SETTLE_TIME};
use crate::record::Breach;

/// Rates that targets name, in thousandths of a request a second.
const RATES: [u32; 6] = [0, 300, 1_000, 2_300, 3_000, 10_000];

/// Bounds on the time for which a target names a limit in milliseconds.
const LENGTH_MS: (u64, u64) = (4_000, 12_000);

/// Mean time between two limits.
const MEAN_INTERVAL: Duration = Duration::from_secs(4);

/// Time from a target's first statement of a limit until the bound holds.
const CONTACT: Duration = Duration::from_secs(3);

/// Time after an instance has passed on a statement from which its requests count.
const TOLD: Duration = Duration::from_millis(500);

/// Window in which requests at a target are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests allowed within the window: this factor times what the limit allows, and so many more.
const BOUND: (f64, f64) = (1.5, 5.0);

/// Draws the limits in a run of `length`. Each target names one at a time.
pub fn plan(rng: &mut impl Rng, length: Duration, targets: usize) -> Vec<PlannedFault> {
    let mut planned = Vec::new();
    let mut free = vec![LEAD_TIME; targets];
    let end = length.saturating_sub(SETTLE_TIME);
    let mut at = LEAD_TIME;
    while at < end {
        let target = rng.random_range(0..targets);
        let rate = RATES[rng.random_range(0..RATES.len())];
        let length = Duration::from_millis(rng.random_range(LENGTH_MS.0..LENGTH_MS.1));
        if free[target] <= at {
            let length = length.min(end - at);
            planned.push(PlannedFault { at, length, fault: Fault::TargetLimit(target, rate) });
            free[target] = at + length;
        }
        at += MEAN_INTERVAL.mul_f64(rng.random_range(0.1..1.9));
    }
    planned
}

/// Targets that name a limit get no more requests than that allows from instances that they have told.
pub fn check(evidence: &Evidence<'_>) -> Vec<Breach> {
    let mut by_target: HashMap<&str, Vec<&Arrived>> = HashMap::new();
    for arrived in evidence.arrived {
        by_target.entry(&arrived.target).or_default().push(arrived);
    }
    let sent = evidence.events.sent.iter();
    let answered: HashMap<&str, Answered> =
        sent.map(|sent| (sent.id.as_str(), (sent.instance, sent.ended))).collect();
    let mut breaches = Vec::new();
    for (target, arrived) in by_target {
        // Times without requests between two limits can't be told from one limit.
        for episode in arrived.chunk_by(|a, b| a.received.limit == b.received.limit) {
            let Some(rate) = episode[0].received.limit else { continue };
            let most = most(episode, &answered);
            let allowed = BOUND.0 * rate * WINDOW.as_secs_f64() + BOUND.1;
            if most as f64 > allowed {
                let seen = format!("{target} with {rate} a second got {most} in 4 s of {allowed}");
                breaches.push(breach("request limit", seen));
            }
        }
    }
    breaches
}

/// Instance, with its incarnation, at which a request was answered, and when.
type Answered = ((usize, u32), Instant);

/// Returns the most requests within the window among those of instances that were told.
fn most(episode: &[&Arrived], answered: &HashMap<&str, Answered>) -> usize {
    let mut told: HashMap<(usize, u32), Instant> = HashMap::new();
    for arrived in episode {
        if let Some((instance, at)) = answered.get(arrived.id()) {
            let first = told.entry(*instance).or_insert(*at);
            *first = (*first).min(*at);
        }
    }
    let is_counted = |arrived: &&&Arrived| {
        let told = answered.get(arrived.id()).and_then(|(instance, _)| told.get(instance));
        told.is_some_and(|told| *told + TOLD <= arrived.received.at)
    };
    let counted: Vec<Instant> =
        episode.iter().filter(is_counted).map(|arrived| arrived.received.at).collect();
    let holds_from = episode[0].received.at + CONTACT;
    let within = |end: &Instant| {
        counted.iter().filter(|at| *at <= end && end.duration_since(**at) < WINDOW).count()
    };
    counted.iter().filter(|end| **end >= holds_from).map(within).max().unwrap_or(0)
}
