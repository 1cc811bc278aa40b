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
/// Room reserved for short requests over their share of the demand.
const SHORT_MARGIN_FACTOR: f64 = 1.5;

/// A service, its queue and what was learned of its traffic.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) id: ServiceId,
    pub(super) kind: Kind,
    pub(super) active: bool,
    /// Indices of its targets, in an order that is the same on every instance.
    pub(super) targets: Vec<usize>,
    /// Number of `targets` at the front that take long prompts.
    pub(super) long_targets: usize,
    pub(super) queue: Queue,
    pub(super) retries: RetryBudget,
    /// Requests in in_flight by rank.
    pub(super) running: BTreeMap<u8, usize>,
    /// Whether a request waits because of want of room at targets.
    pub(super) blocked: Option<u8>,
    /// Share of the requested output that answers really have.
    pub(super) output_ratio: f64,
    /// Output tokens of the most urgent tier's answers.
    pub(super) urgent_output: Option<f64>,
    pub(super) last_cancel: Time,
    /// Rounds of cancelling since the tier floor began to press.
    pub(super) cancel_rounds: u32,
    /// Prompt tokens asked for lately, by class.
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
            // Until traffic was seen, short requests are taken to come.
            demand: [INITIAL_SHORT_TOKENS, 0.0],
            demand_at: Time::ZERO,
        }
    }

    /// Least urgent rank that runs.
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

    /// Notes the length of a whole answer.
    pub(super) fn observe_output(&mut self, urgent: bool, requested: u32, produced: u32) {
        let ratio = f64::from(produced) / f64::from(requested.max(1));
        self.output_ratio += OUTPUT_GAIN * (ratio.clamp(0.01, 1.0) - self.output_ratio);
        if urgent {
            let seen = f64::from(produced);
            let old = self.urgent_output.unwrap_or(seen);
            self.urgent_output = Some(old + OUTPUT_GAIN * (seen - old));
        }
    }

    /// Notes a request's prompt.
    pub(super) fn observe_demand(&mut self, class: Class, tokens: u32, now: Time) {
        let age = now.since(self.demand_at).as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        self.demand = self.demand.map(|demand| demand * (-age).exp());
        self.demand_at = now;
        self.demand[class as usize] += f64::from(tokens);
    }

    /// Keeps targets free of long prompts in proportion to the short demand, a share of `headroom`
    /// at least and no more than `long_share` leaves. Counted by targets and not by their speeds,
    /// so that instances draw the line at the same target.
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
