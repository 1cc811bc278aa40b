//! One service: its targets, queue and retry budget.

use std::collections::HashMap;
use std::time::Duration;

use sesamewind_protocol::{RouteId, Time};

use crate::budget::RetryBudget;
use crate::queue::Queue;
use crate::rate::Rate;
use crate::targets::Index;
use crate::tuning::Tuning;

/// Requests that a model engine is given for each of its slots. Further ones would wait in the
/// engine, in order of arrival.
const MODEL_REQUESTS_PER_SLOT: f64 = 1.0;

/// Requests that a plain target is given for each of its slots; the work is short, and a place
/// that stands empty for a round trip costs more than the wait.
const PLAIN_REQUESTS_PER_SLOT: f64 = 1.5;

/// Part of a model engine's slots that is left to the most urgent routes: one of eight slots.
const HEADROOM_FRACTION: f64 = 0.125;

/// The same while the most urgent requests find no place at once: two of eight slots.
const SHORTAGE_HEADROOM_FRACTION: f64 = 0.25;

/// How long that lasts after one found none: about as long as a request runs.
const SHORTAGE_TIME: Duration = Duration::from_millis(1_000);

/// Weight of the newest stream in a route's average of events: about the last ten count.
const EVENTS_WEIGHT: f64 = 0.1;

/// Requests that may wait while next to nothing leaves the queue.
const MIN_QUEUE_LEN: usize = 2;

/// One service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    /// Whether its targets are model engines.
    pub(crate) model: bool,
    /// Rank of the most urgent route to it.
    pub(crate) top_rank: u8,
    /// Events of a route's streams, on average.
    events: HashMap<RouteId, f64>,
    /// When a request of such a route last found no place.
    pub(crate) last_shortage: Option<Time>,
    /// Its targets, retired ones included until they have no requests.
    pub(crate) targets: Vec<Index>,
    /// Requests that wait.
    pub(crate) queue: Queue,
    /// Requests of this instance that left the queue for a target.
    pub(crate) dispatched: Rate,
    /// Further attempts that are allowed.
    pub(crate) budget: RetryBudget,
}

impl ServiceState {
    /// A service without targets.
    pub(crate) fn new(tuning: &Tuning) -> Self {
        Self {
            model: false,
            top_rank: 0,
            events: HashMap::new(),
            last_shortage: None,
            targets: Vec::new(),
            queue: Queue::default(),
            dispatched: Rate::default(),
            budget: RetryBudget::new(tuning.retry_ratio, tuning.retry_extra, tuning.retry_window),
        }
    }

    /// Requests that can wait and still leave the queue within `wait`.
    pub(crate) fn queue_limit(&mut self, wait: Duration, now: Time) -> usize {
        let leaving = self.dispatched.per_second(now) * wait.as_secs_f64();
        (leaving as usize).max(MIN_QUEUE_LEN)
    }

    /// Part of a target's slots that requests of a route of `rank` leave to those of more urgent routes.
    /// A slot that a long request has taken is not given back, and the instance that frees a place may
    /// have no urgent request waiting while another has.
    pub(crate) fn headroom(&self, rank: u8, now: Time) -> f64 {
        if !self.model || rank <= self.top_rank {
            return 0.0;
        }
        let is_short = self.last_shortage.is_some_and(|at| now.since(at) < SHORTAGE_TIME);
        if is_short { SHORTAGE_HEADROOM_FRACTION } else { HEADROOM_FRACTION }
    }

    /// Events of a stream of `route` on average, if that is known.
    pub(crate) fn events(&self, route: &RouteId) -> Option<f64> {
        self.events.get(route).copied()
    }

    /// Takes in the events of a whole stream.
    pub(crate) fn observe_events(&mut self, route: &RouteId, events: u64) {
        let events = events as f64;
        let average = self.events.entry(route.clone()).or_insert(events);
        *average += EVENTS_WEIGHT * (events - *average);
    }

    /// Takes in that a request of a route of `rank` found no place when it arrived.
    pub(crate) fn record_shortage(&mut self, rank: u8, now: Time) {
        if rank <= self.top_rank {
            self.last_shortage = Some(now);
        }
    }

    /// Requests for each slot of a target.
    pub(crate) fn requests_per_slot(&self) -> f64 {
        if self.model { MODEL_REQUESTS_PER_SLOT } else { PLAIN_REQUESTS_PER_SLOT }
    }
}
