//! State of one service.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewind_protocol::{ServiceId, Time};

use crate::config::{Kind, Limits};
use crate::queue::{Class, Queue};
use crate::retry::RetryBudget;

const DEMAND_WINDOW: Duration = Duration::from_secs(10);
const INITIAL_SHORT_TOKENS: f64 = 100.0;
const OUTPUT_GAIN: f64 = 0.05;
/// Targets reserved for short requests, as a factor on their share of the demand.
const SHORT_MARGIN_FACTOR: f64 = 1.5;

/// A service with its queue and learned traffic.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) id: ServiceId,
    pub(super) kind: Kind,
    pub(super) active: bool,
    /// Indices of its targets, in the same order on every instance.
    pub(super) targets: Vec<usize>,
    /// Number of `targets`, from the front, that take long prompts.
    pub(super) long_targets: usize,
    pub(super) queue: Queue,
    pub(super) retries: RetryBudget,
    /// Requests in flight by rank.
    pub(super) running: BTreeMap<u8, usize>,
    /// Most urgent rank with a request that waits for room at the targets, if any.
    pub(super) blocked: Option<u8>,
    /// Average fraction of the requested output tokens that answers contain.
    pub(super) output_ratio: f64,
    /// Average output tokens in answers of the most urgent tier.
    pub(super) urgent_output: Option<f64>,
    pub(super) last_cancel: Time,
    /// Rounds of cancelling since the tier floor began to preempt.
    pub(super) cancel_rounds: u32,
    /// Decaying sum of prompt tokens requested, by length class.
    demand: [f64; 2],
    demand_at: Time,
}

impl ServiceState {
    pub(super) fn new(id: ServiceId, kind: Kind, limits: &Limits) -> Self {
        Self {
            id,
            kind,
            active: true,
            targets: Vec::new(),
            long_targets: 0,
            queue: Queue::default(),
            retries: RetryBudget::new(limits.retry_ratio, limits.retry_burst),
            running: BTreeMap::new(),
            blocked: None,
            output_ratio: 1.0,
            urgent_output: None,
            last_cancel: Time::ZERO,
            cancel_rounds: 0,
            // Assumes short requests until the first traffic arrives.
            demand: [INITIAL_SHORT_TOKENS, 0.0],
            demand_at: Time::ZERO,
        }
    }

    /// Returns the least urgent rank with a request in flight.
    pub(super) fn lowest_running(&self) -> Option<u8> {
        self.running.iter().rev().find(|(_, n)| **n > 0).map(|(rank, _)| *rank)
    }

    pub(super) fn started(&mut self, rank: u8) {
        *self.running.entry(rank).or_default() += 1;
    }

    pub(super) fn ended(&mut self, rank: u8) {
        if let Some(n) = self.running.get_mut(&rank) {
            *n = n.saturating_sub(1);
        }
    }

    /// Records the length of a complete answer.
    pub(super) fn observe_output(&mut self, urgent: bool, requested: u32, produced: u32) {
        let ratio = f64::from(produced) / f64::from(requested.max(1));
        self.output_ratio += OUTPUT_GAIN * (ratio.clamp(0.01, 1.0) - self.output_ratio);
        if urgent {
            let seen = f64::from(produced);
            let old = self.urgent_output.unwrap_or(seen);
            self.urgent_output = Some(old + OUTPUT_GAIN * (seen - old));
        }
    }

    /// Records the demand of a request's prompt.
    pub(super) fn observe_demand(&mut self, class: Class, tokens: u32, now: Time) {
        let age = now.since(self.demand_at).as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        self.demand = self.demand.map(|demand| demand * (-age).exp());
        self.demand_at = now;
        self.demand[class as usize] += f64::from(tokens);
    }

    /// Reserves targets for short prompts in proportion to the short demand: at least the fraction
    /// `headroom`, and at most what `long_share` leaves. Targets are counted regardless of their
    /// speeds, so that all instances split them at the same position.
    pub(super) fn assign_long_targets(&mut self, limits: &Limits, now: Time) {
        let n = self.targets.len();
        let [short, long] = self.demand;
        let age = now.since(self.demand_at).as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        if n < 2 || short * (-age).exp() < 1.0 {
            self.long_targets = n;
            return;
        }
        let share = short / (short + long);
        let reserved =
            (SHORT_MARGIN_FACTOR * share).max(limits.headroom).min(1.0 - limits.long_share);
        let reserved = ((reserved * n as f64).ceil() as usize).clamp(1, n - 1);
        self.long_targets = n - reserved;
    }
}
