//! Metrics of one instance in the OpenMetrics text format.

use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use sesamewind_gateway::BrittleTotals;
use sesamewind_gateway::budget::RetryCounts;
use sesamewind_protocol::relay::ReachState;
use sesamewind_protocol::{RouteId, ServiceId, ZoneId};

/// Buckets of the latency histograms: first bound in seconds, factor, and number of bounds. They
/// cover 5 ms to 20 s.
const BUCKETS: (f64, f64, u16) = (0.005, 2.0, 13);

/// Labels of the request counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    route: String,
    outcome: String,
}

/// Label of counters by reason or kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: String,
}

/// Label of histograms by route.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteLabels {
    route: String,
}

/// Label of gauges by availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ZoneLabels {
    zone: String,
}

/// Label of gauges by whose places they count.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RoomLabels {
    of: &'static str,
}

/// Labels of the counter of first attempts and retries.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabels {
    service: String,
    kind: &'static str,
}

type RouteHistogram = Family<RouteLabels, Histogram, fn() -> Histogram>;

/// Metrics of one instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    outcomes: Family<OutcomeLabels, Counter>,
    refusals: Family<ReasonLabels, Counter>,
    attempts: Family<ReasonLabels, Counter>,
    hedges: Family<ReasonLabels, Counter>,
    retries: Family<AttemptLabels, Counter>,
    lost: Family<ReasonLabels, Counter>,
    closed: Family<ReasonLabels, Counter>,
    panics: Counter,
    stalls: Counter,
    longest_stall: Gauge,
    store_era: Gauge,
    held_parts: Gauge,
    limited_targets: Gauge,
    cold_targets: Gauge,
    brittle_targets: Gauge,
    brittle_room: Family<RoomLabels, Gauge>,
    brittle_rejections: Counter,
    brittle_falls: Counter,
    held_off: Counter,
    evacuated_zones: Family<ZoneLabels, Gauge>,
    evacuated_requests: Family<ZoneLabels, Gauge>,
    reach: Gauge,
    probes: Family<ReasonLabels, Counter>,
    passed: Family<ReasonLabels, Counter>,
    taken: Counter,
    first_byte: RouteHistogram,
    waited: RouteHistogram,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Registers all metrics, starting at zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("sesamewind");
        let histogram = || -> Histogram {
            Histogram::new(exponential_buckets(BUCKETS.0, BUCKETS.1, BUCKETS.2))
        };
        let this = Self {
            outcomes: Family::default(),
            refusals: Family::default(),
            attempts: Family::default(),
            hedges: Family::default(),
            retries: Family::default(),
            lost: Family::default(),
            closed: Family::default(),
            panics: Counter::default(),
            stalls: Counter::default(),
            longest_stall: Gauge::default(),
            store_era: Gauge::default(),
            held_parts: Gauge::default(),
            limited_targets: Gauge::default(),
            cold_targets: Gauge::default(),
            brittle_targets: Gauge::default(),
            brittle_room: Family::default(),
            brittle_rejections: Counter::default(),
            brittle_falls: Counter::default(),
            held_off: Counter::default(),
            evacuated_zones: Family::default(),
            evacuated_requests: Family::default(),
            reach: Gauge::default(),
            probes: Family::default(),
            passed: Family::default(),
            taken: Counter::default(),
            first_byte: Family::new_with_constructor(histogram),
            waited: Family::new_with_constructor(histogram),
            registry: Registry::default(),
        };
        registry.register("requests", "Requests by route and outcome", this.outcomes.clone());
        registry.register("refusals", "Refusals by reason", this.refusals.clone());
        registry.register("attempts", "Attempts at targets by end", this.attempts.clone());
        registry.register(
            "hedges",
            "Second attempts of slow requests by end, and why others had none",
            this.hedges.clone(),
        );
        registry.register(
            "retry_budget",
            "First attempts, retries and denied retries by service",
            this.retries.clone(),
        );
        registry.register("lost", "Lost dependencies by kind", this.lost.clone());
        registry.register(
            "connections_closed",
            "Connections of the listeners that ended, by reason",
            this.closed.clone(),
        );
        registry.register("panics", "Panics of this program", this.panics.clone());
        registry.register("loop_stalls", "Late turns of the event loop", this.stalls.clone());
        registry.register(
            "longest_loop_stall_milliseconds",
            "Longest delay of a turn of the event loop",
            this.longest_stall.clone(),
        );
        registry.register("store_era", "Latest known era of the store", this.store_era.clone());
        registry.register(
            "held_prompt_parts",
            "Prompt parts whose requests are refused",
            this.held_parts.clone(),
        );
        registry.register(
            "limited_targets",
            "Targets that take only so many requests a second from all instances together",
            this.limited_targets.clone(),
        );
        registry.register(
            "cold_targets",
            "Targets that take few requests for a while after their start",
            this.cold_targets.clone(),
        );
        registry.register(
            "brittle_targets",
            "Targets that fall over if they reject too many requests in a second",
            this.brittle_targets.clone(),
        );
        registry.register(
            "brittle_room",
            "Places at brittle targets, of all instances together and of this one",
            this.brittle_room.clone(),
        );
        registry.register(
            "brittle_rejections",
            "Requests of this instance that brittle targets rejected",
            this.brittle_rejections.clone(),
        );
        registry.register(
            "brittle_falls",
            "Brittle targets that were found to accept no connection any more",
            this.brittle_falls.clone(),
        );
        registry.register(
            "held_off",
            "Requests that waited or were refused since request limits left no turn",
            this.held_off.clone(),
        );
        registry.register(
            "evacuated_zones",
            "Whether the targets of an availability zone get no new requests",
            this.evacuated_zones.clone(),
        );
        registry.register(
            "evacuated_zone_requests",
            "Requests at the targets of availability zones that are or were evacuated",
            this.evacuated_requests.clone(),
        );
        registry.register(
            "targets_unreachable",
            "Whether this instance reaches no target: 0 no, 1 in doubt, 2 yes",
            this.reach.clone(),
        );
        registry.register("probes", "Probes of targets by end", this.probes.clone());
        registry.register("passed", "Requests passed on to peers by end", this.passed.clone());
        registry.register("taken", "Requests that peers have passed on", this.taken.clone());
        registry.register(
            "first_byte_seconds",
            "Time from arrival to the first byte of the answer",
            this.first_byte.clone(),
        );
        registry.register(
            "queue_seconds",
            "Time from arrival to the first attempt",
            this.waited.clone(),
        );
        Self { registry, ..this }
    }

    /// Counts a request by its outcome.
    pub fn outcome(&self, route: &RouteId, outcome: &str) {
        let labels =
            OutcomeLabels { route: route.as_str().to_owned(), outcome: outcome.to_owned() };
        self.outcomes.get_or_create(&labels).inc();
    }

    /// Counts a refusal.
    pub fn refusal(&self, reason: &str) {
        self.refusals.get_or_create(&ReasonLabels { reason: reason.to_owned() }).inc();
    }

    /// Counts an attempt by its outcome.
    pub fn attempt(&self, end: &str) {
        self.attempts.get_or_create(&ReasonLabels { reason: end.to_owned() }).inc();
    }

    /// Counts a second attempt, its end, or why there was none.
    pub fn hedge(&self, reason: &str) {
        self.hedges.get_or_create(&ReasonLabels { reason: reason.to_owned() }).inc();
    }

    /// Records the latest era of the store.
    pub fn store_era(&self, era: u64) {
        self.store_era.set(i64::try_from(era).unwrap_or(i64::MAX));
    }

    /// Records the number of prompt parts whose requests are refused.
    pub fn held_parts(&self, parts: usize) {
        self.held_parts.set(i64::try_from(parts).unwrap_or(i64::MAX));
    }

    /// Records the number of targets with a request limit.
    pub fn limited_targets(&self, targets: usize) {
        self.limited_targets.set(i64::try_from(targets).unwrap_or(i64::MAX));
    }

    /// Records the number of cold targets.
    pub fn cold_targets(&self, targets: usize) {
        self.cold_targets.set(i64::try_from(targets).unwrap_or(i64::MAX));
    }

    /// Records the brittle targets.
    pub fn brittle(&self, totals: &BrittleTotals) {
        self.brittle_targets.set(i64::try_from(totals.targets).unwrap_or(i64::MAX));
        for (of, places) in [("all", totals.room), ("own", totals.share)] {
            self.brittle_room.get_or_create(&RoomLabels { of }).set(places.into());
        }
        for (counter, total) in
            [(&self.brittle_rejections, totals.rejections), (&self.brittle_falls, totals.falls)]
        {
            counter.inc_by(total.saturating_sub(counter.get()));
        }
    }

    /// Counts a request for which the request limits of targets left no turn.
    pub fn held_off(&self) {
        self.held_off.inc();
    }

    /// Records whether an availability zone is evacuated, and the requests at its targets.
    pub fn evacuated_zone(&self, zone: &ZoneId, evacuated: bool, running: u32) {
        let labels = ZoneLabels { zone: zone.as_str().to_owned() };
        self.evacuated_zones.get_or_create(&labels).set(evacuated.into());
        self.evacuated_requests.get_or_create(&labels).set(running.into());
    }

    /// Records whether this instance reaches targets.
    pub fn reach(&self, state: ReachState) {
        self.reach.set(match state {
            ReachState::Reaching => 0,
            ReachState::InDoubt => 1,
            ReachState::CutOff => 2,
        });
    }

    /// Counts a probe of a target by its end.
    pub fn probe(&self, end: &str) {
        self.probes.get_or_create(&ReasonLabels { reason: end.to_owned() }).inc();
    }

    /// Counts a request that was passed on to a peer by its end there.
    pub fn passed(&self, end: &str) {
        self.passed.get_or_create(&ReasonLabels { reason: end.to_owned() }).inc();
    }

    /// Adds attempts to those that the retry budget of a service has counted.
    pub fn retries(&self, service: &ServiceId, counts: &RetryCounts) {
        let kinds = [("first", counts.first), ("retry", counts.retries), ("denied", counts.denied)];
        for (kind, count) in kinds {
            let labels = AttemptLabels { service: service.as_str().to_owned(), kind };
            self.retries.get_or_create(&labels).inc_by(count.into());
        }
    }

    /// Counts a request that a peer has passed on.
    pub fn taken(&self) {
        self.taken.inc();
    }

    /// Counts the loss of a dependency, such as the store or a peer.
    pub fn dependency_lost(&self, kind: &str) {
        self.lost.get_or_create(&ReasonLabels { reason: kind.to_owned() }).inc();
    }

    /// Counts the end of a listener's connection.
    pub fn connection_closed(&self, reason: &str) {
        self.closed.get_or_create(&ReasonLabels { reason: reason.to_owned() }).inc();
    }

    /// Returns the counter of panics, which any thread may increment.
    pub fn panics(&self) -> Counter {
        self.panics.clone()
    }

    /// Counts a late turn of the event loop.
    pub fn loop_stalled(&self, delay: Duration) {
        self.stalls.inc();
        let millis = i64::try_from(delay.as_millis()).unwrap_or(i64::MAX);
        self.longest_stall.set(self.longest_stall.get().max(millis));
    }

    /// Observes the time to the first byte, in seconds.
    pub fn first_byte(&self, route: &RouteId, seconds: f64) {
        let labels = RouteLabels { route: route.as_str().to_owned() };
        self.first_byte.get_or_create(&labels).observe(seconds);
    }

    /// Observes the time in the queue, in seconds.
    pub fn waited(&self, route: &RouteId, seconds: f64) {
        let labels = RouteLabels { route: route.as_str().to_owned() };
        self.waited.get_or_create(&labels).observe(seconds);
    }

    /// Renders all metrics in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        if let Err(err) = text::encode(&mut text, &self.registry) {
            log::error!("metrics could not be encoded: {err}");
        }
        text
    }
}
