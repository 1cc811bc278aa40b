//! Metrics of one instance in the OpenMetrics text format.
//!
//! Label values are names from the sheet, codes and reasons. They never contain client accounts or
//! requests, so the number of series does not grow with them.

use std::fmt::{self, Display, Write};
use std::sync::atomic::Ordering;
use std::time::Duration;

use prometheus_client::encoding::text;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use sesamewind_protocol::operator::{RefusalRow, RefusalsBody, RetryRow};
use sesamewind_protocol::{Code, Revision, ServiceId, VersionId};

/// Reasons for retrying a request or resuming a stream.
pub const RETRY_REASONS: [&str; 4] =
    ["target-refused", "connect-failed", "stream-broken", "stream-silent"];

/// Metrics of one instance. Cheap to update from any thread.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    refusals: Family<CodeLabels, Counter>,
    retries: Family<ReasonLabels, Counter>,
    dispatches: Family<VersionLabels, Counter>,
    first_token: TierHistogram,
    between_tokens: TierHistogram,
    queue_wait: TierHistogram,
    control_bytes: Family<DirectionLabels, Counter>,
    control_messages: Family<DirectionLabels, Counter>,
    rollout_changes: Family<RolloutLabels, Counter>,
    dropped_answers: Counter,
    queued: Gauge,
    in_flight: Gauge,
    revision: Gauge,
}

type TierHistogram = Family<TierLabels, Histogram, fn() -> Histogram>;

/// Direction of a message between instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Direction {
    /// Sent by this instance.
    Sent,
    /// Received by this instance.
    Received,
}

impl EncodeLabelValue for Direction {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        encoder.write_str(match self {
            Self::Sent => "sent",
            Self::Received => "received",
        })
    }
}

/// A name from the sheet as a label value.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Name<T>(T);

impl<T: Display> EncodeLabelValue for Name<T> {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        write!(encoder, "{}", self.0)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CodeLabels {
    code: u16,
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct VersionLabels {
    service: Name<ServiceId>,
    version: Name<VersionId>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TierLabels {
    tier: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DirectionLabels {
    direction: Direction,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RolloutLabels {
    service: Name<ServiceId>,
    state: String,
}

impl Metrics {
    /// Creates and registers the metrics. The counter of each refusal code and retry reason starts
    /// at zero, so that its first occurrence is visible as an increase.
    pub fn new() -> Self {
        let metrics = Self {
            registry: Registry::with_prefix("sesamewind"),
            refusals: Family::default(),
            retries: Family::default(),
            dispatches: Family::default(),
            first_token: Family::new_with_constructor(seconds_histogram),
            between_tokens: Family::new_with_constructor(seconds_histogram),
            queue_wait: Family::new_with_constructor(seconds_histogram),
            control_bytes: Family::default(),
            control_messages: Family::default(),
            rollout_changes: Family::default(),
            dropped_answers: Counter::default(),
            queued: Gauge::default(),
            in_flight: Gauge::default(),
            revision: Gauge::default(),
        };
        for code in refusal_codes() {
            drop(metrics.refusals.get_or_create(&code_labels(code)));
        }
        for reason in RETRY_REASONS {
            drop(metrics.retries.get_or_create(&ReasonLabels { reason }));
        }
        metrics.register_all()
    }

    fn register_all(mut self) -> Self {
        let registry = &mut self.registry;
        registry.register("refusals", "Refusals by result code", self.refusals.clone());
        registry.register("retries", "Retries and resumes by reason", self.retries.clone());
        registry.register(
            "dispatches",
            "Requests dispatched to a target, by service and version",
            self.dispatches.clone(),
        );
        registry.register(
            "first_token_seconds",
            "Time from arrival to the first token, by tier",
            self.first_token.clone(),
        );
        registry.register(
            "between_tokens_seconds",
            "Time between two tokens of one answer, by tier",
            self.between_tokens.clone(),
        );
        registry.register(
            "queue_wait_seconds",
            "Time from arrival to dispatch, by tier",
            self.queue_wait.clone(),
        );
        registry.register(
            "control_bytes",
            "Bytes of messages between instances, by direction",
            self.control_bytes.clone(),
        );
        registry.register(
            "control_messages",
            "Messages between instances, by direction",
            self.control_messages.clone(),
        );
        registry.register(
            "rollout_changes",
            "Changes of state of rollouts, by service and new state",
            self.rollout_changes.clone(),
        );
        registry.register(
            "dropped_answers",
            "Answers, or parts of them, that belonged to no live request",
            self.dropped_answers.clone(),
        );
        registry.register("queued", "Requests in the queue", self.queued.clone());
        registry.register("in_flight", "Requests dispatched and not ended", self.in_flight.clone());
        registry.register(
            "config_revision",
            "Revision of the configuration in force",
            self.revision.clone(),
        );
        self
    }

    /// Counts a refusal. [`Code::Ok`] is not a refusal and is ignored.
    pub fn refused(&self, code: Code) {
        if code != Code::Ok {
            self.refusals.get_or_create(&code_labels(code)).inc();
        }
    }

    /// Sets the counters of retries and resumes, which never decrease. Ignores rows whose reason is
    /// not one of [`RETRY_REASONS`].
    pub fn set_retries(&self, rows: &[RetryRow]) {
        for row in rows {
            let reason = RETRY_REASONS.iter().find(|reason| **reason == row.reason);
            let Some(reason) = reason else { continue };
            let counter = self.retries.get_or_create(&ReasonLabels { reason });
            counter.inner().fetch_max(row.count, Ordering::Relaxed);
        }
    }

    /// Counts a dispatch.
    pub fn dispatched(&self, service: &ServiceId, version: &VersionId) {
        let labels =
            VersionLabels { service: Name(service.clone()), version: Name(version.clone()) };
        self.dispatches.get_or_create(&labels).inc();
    }

    /// Records the time from a request's arrival to its first token.
    pub fn first_token(&self, tier: &str, duration: Duration) {
        observe(&self.first_token, tier, duration);
    }

    /// Records the time between two tokens of one answer.
    pub fn between_tokens(&self, tier: &str, duration: Duration) {
        observe(&self.between_tokens, tier, duration);
    }

    /// Records the time from a request's arrival to its dispatch.
    pub fn queue_wait(&self, tier: &str, duration: Duration) {
        observe(&self.queue_wait, tier, duration);
    }

    /// Counts a message between instances.
    pub fn control(&self, direction: Direction, bytes: usize) {
        let labels = DirectionLabels { direction };
        self.control_messages.get_or_create(&labels).inc();
        self.control_bytes.get_or_create(&labels).inc_by(bytes as u64);
    }

    /// Counts the change of a rollout to `state`.
    pub fn rollout_changed(&self, service: &ServiceId, state: &str) {
        let labels = RolloutLabels { service: Name(service.clone()), state: state.to_owned() };
        self.rollout_changes.get_or_create(&labels).inc();
    }

    /// Counts an answer, or a part of one, that belonged to no open request.
    pub fn answer_dropped(&self) {
        self.dropped_answers.inc();
    }

    /// Sets the number of queued requests and of requests in flight.
    pub fn set_load(&self, queued: u64, in_flight: u64) {
        self.queued.set(i64::try_from(queued).unwrap_or(i64::MAX));
        self.in_flight.set(i64::try_from(in_flight).unwrap_or(i64::MAX));
    }

    /// Sets the revision of the configuration in force.
    pub fn set_revision(&self, revision: Revision) {
        self.revision.set(i64::try_from(revision.0).unwrap_or(i64::MAX));
    }

    /// Returns the counts of refusals and retries that are not zero.
    pub fn refusals(&self) -> RefusalsBody {
        let refusals = refusal_codes().filter_map(|code| {
            let count = self.refusals.get(&code_labels(code))?.get();
            (count > 0).then(|| RefusalRow { code, reason: code.slug().to_owned(), count })
        });
        let retries = RETRY_REASONS.iter().filter_map(|reason| {
            let count = self.retries.get(&ReasonLabels { reason })?.get();
            (count > 0).then(|| RetryRow { reason: (*reason).to_owned(), count })
        });
        RefusalsBody { refusals: refusals.collect(), retries: retries.collect() }
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = text::encode(&mut text, &self.registry);
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn refusal_codes() -> impl Iterator<Item = Code> {
    Code::ALL.iter().copied().filter(|code| *code != Code::Ok)
}

fn code_labels(code: Code) -> CodeLabels {
    CodeLabels { code: code.number(), reason: code.slug() }
}

/// Creates a histogram with buckets from one millisecond to about two minutes.
fn seconds_histogram() -> Histogram {
    const FIRST_S: f64 = 0.001;
    const FACTOR: f64 = 2.0;
    const BUCKETS: u16 = 18;
    Histogram::new(exponential_buckets(FIRST_S, FACTOR, BUCKETS))
}

fn observe(family: &TierHistogram, tier: &str, duration: Duration) {
    let labels = TierLabels { tier: tier.to_owned() };
    family.get_or_create(&labels).observe(duration.as_secs_f64());
}
