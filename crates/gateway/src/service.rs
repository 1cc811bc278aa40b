//! State of one service: its targets, queue and retry budget.

use std::collections::HashMap;
use std::time::Duration;

use sesamewind_protocol::{RouteId, Time, ZoneId};

use crate::budget::RetryBudget;
use crate::hedging::Hedges;
use crate::queue::Queue;
use crate::rate::Rate;
use crate::selection::SelectionContext;
use crate::table::ColdStart;
use crate::targets::Index;
use crate::tuning::Tuning;

/// Requests sent to a model engine per slot. Further requests would wait inside the engine, in
/// order of arrival.
const MODEL_REQUESTS_PER_SLOT: f64 = 1.0;

/// Requests sent to a plain target per slot. The requests are short, and leaving a slot empty for a
/// round trip costs more than the wait at the target.
const PLAIN_REQUESTS_PER_SLOT: f64 = 1.5;

/// Fraction of a model engine's slots reserved for the most urgent routes: one of eight slots.
const HEADROOM_FRACTION: f64 = 0.125;

/// Reserved fraction while the most urgent requests find no free slot on arrival: two of eight
/// slots.
const SHORTAGE_HEADROOM_FRACTION: f64 = 0.25;

/// Fraction of a model engine's slots that requests leave free that can no longer meet their
/// objective: three of ten slots, more than is reserved for the most urgent routes.
const LATE_HEADROOM_FRACTION: f64 = 0.3;

/// How long the larger reservation lasts after a shortage: about the duration of one request.
const SHORTAGE_TIME: Duration = Duration::from_millis(1_000);

/// Weight of the newest stream in a route's average number of events; about the last ten streams
/// count.
const EVENTS_WEIGHT: f64 = 0.1;

/// Number of requests that may wait while almost no request leaves the queue.
const MIN_QUEUE_LEN: usize = 2;

/// State of one service.
#[derive(Debug, Clone)]
pub(crate) struct ServiceState {
    /// Whether the targets are model engines.
    pub(crate) model: bool,
    /// What its targets take while they are cold.
    pub(crate) cold: Option<ColdStart>,
    /// Rank of the most urgent route to the service.
    pub(crate) top_rank: u8,
    /// Average number of events in the streams of each route.
    events: HashMap<RouteId, f64>,
    /// When a request of a most urgent route last found no free slot.
    pub(crate) last_shortage: Option<Time>,
    /// Targets of the service. Retired targets are removed with the next change of the target list.
    pub(crate) targets: Vec<Index>,
    /// Waiting requests.
    pub(crate) queue: Queue,
    /// Rate of this instance's requests that leave the queue for a target.
    pub(crate) dispatched: Rate,
    /// When the last of the callers returns that were refused because of request limits.
    pub(crate) next_return: Time,
    /// Retry budget.
    pub(crate) budget: RetryBudget,
    /// Second attempts of slow requests.
    pub(crate) hedges: Hedges,
}

impl ServiceState {
    /// Creates a service without targets.
    pub(crate) fn new(tuning: &Tuning) -> Self {
        Self {
            model: false,
            cold: None,
            top_rank: 0,
            events: HashMap::new(),
            last_shortage: None,
            targets: Vec::new(),
            queue: Queue::default(),
            dispatched: Rate::default(),
            next_return: Time::ZERO,
            budget: RetryBudget::new(tuning.retry_ratio, tuning.retry_extra, tuning.retry_window),
            hedges: Hedges::default(),
        }
    }

    /// Returns how many requests can wait and still leave the queue within `wait`.
    pub(crate) fn queue_limit(&mut self, wait: Duration, now: Time) -> usize {
        let leaving = self.dispatched.per_second(now) * wait.as_secs_f64();
        (leaving as usize).max(MIN_QUEUE_LEN)
    }

    /// Returns the fraction of a target's slots that a request of a route of `rank` must leave free
    /// for more urgent routes. The slots are reserved in advance because a slot in use by a long
    /// request can't be reclaimed, and the instance that frees a slot may have no urgent request
    /// waiting while another instance has one.
    pub(crate) fn headroom(&self, rank: u8, now: Time) -> f64 {
        if !self.model || rank <= self.top_rank {
            return 0.0;
        }
        let is_short = self.last_shortage.is_some_and(|at| now.since(at) < SHORTAGE_TIME);
        if is_short { SHORTAGE_HEADROOM_FRACTION } else { HEADROOM_FRACTION }
    }

    /// Returns the fraction of a target's slots that a request must leave free that can no longer
    /// meet its objective. One of a most urgent route counts as less urgent, so that it isn't served
    /// less often than less urgent requests.
    pub(crate) fn late_headroom(&self, rank: u8, now: Time) -> f64 {
        if !self.model {
            0.0
        } else if rank <= self.top_rank {
            self.headroom(rank.saturating_add(1), now)
        } else {
            LATE_HEADROOM_FRACTION
        }
    }

    /// Returns the average number of events in a stream of `route`, if known.
    pub(crate) fn events(&self, route: &RouteId) -> Option<f64> {
        self.events.get(route).copied()
    }

    /// Records the number of events in a complete stream.
    pub(crate) fn observe_events(&mut self, route: &RouteId, events: u64) {
        let events = events as f64;
        let average = self.events.entry(route.clone()).or_insert(events);
        *average += EVENTS_WEIGHT * (events - *average);
    }

    /// Records that a request of a route of `rank` found no free slot on arrival.
    pub(crate) fn record_shortage(&mut self, rank: u8, now: Time) {
        if rank <= self.top_rank {
            self.last_shortage = Some(now);
        }
    }

    /// Returns the state that selections of an instance in `zone` depend on, which leaves `margin` slots
    /// free at targets of other groups.
    pub(crate) fn selection_context<'a>(
        &self,
        zone: &'a ZoneId,
        margin: u32,
        now: Time,
    ) -> SelectionContext<'a> {
        SelectionContext { zone, slot_requests: self.requests_per_slot(), margin, now }
    }

    /// Returns the number of requests sent to a target per slot.
    pub(crate) fn requests_per_slot(&self) -> f64 {
        if self.model { MODEL_REQUESTS_PER_SLOT } else { PLAIN_REQUESTS_PER_SLOT }
    }
}
