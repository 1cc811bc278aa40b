//! Rollouts of another version of a service's targets.
//!
//! A rollout starts by sending the new version a small share of the requests, selected by their
//! split position so that no instance exceeds the share. All instances count the outcomes of both
//! versions and add the counts that their peers report. A verdict against the new version sets its
//! share to zero, immediately on the instance that reaches the verdict and on the others as soon as
//! they receive it. Without such a verdict, the new version takes all requests well before the
//! deadline, and the rollout is recorded as complete while there is still time to do so.

use std::collections::HashMap;
use std::time::Duration;

use sesamewind_protocol::relay::{RolloutCounts, RolloutOutcome, RolloutProgress};
use sesamewind_protocol::{Incarnation, InstanceId, ServiceId, Time, VersionId};
use sesamewind_rollout::rule::MaxSprt;

/// Share of the requests that the new version receives in the first stage. Deployments allow a bad
/// version a tenth of the requests; the difference covers what the later stage may add before a
/// verdict.
const FIRST_SHARE: f64 = 0.05;

/// Fraction of the duration after which the new version takes all requests that it has slots for.
const FULL_FRACTION: f64 = 0.55;

/// Fraction of the duration after which the old version receives no requests. Its targets are
/// stopped as soon as the rollout is complete.
const ONLY_NEW_FRACTION: f64 = 0.7;

/// Fraction of the duration after which the rollout is recorded as complete.
const COMPLETE_FRACTION: f64 = 0.8;

/// Minimum number of failures of the new version for a verdict, since one crashing target fails the
/// few requests that it holds.
const MIN_FAILURES: u64 = 8;

/// Number of standard deviations added to the expected failures. It compensates for evaluating the
/// counts many times.
const EXPECTATION_MARGIN: f64 = 1.0;

/// Failure rate that any version is allowed.
const FAILURE_FLOOR: f64 = 0.002;

/// Minimum number of timed requests of each version before their latencies are compared.
const MIN_TIMED_REQUESTS: u64 = 40;

/// Ratio of the average latencies above which the new version is rolled back. Bad versions are
/// several times slower, and targets of the same version differ among themselves.
const SLOW_FACTOR: f64 = 2.5;

/// Upper limit on a request's counted latency ratio, so that a single outlier doesn't decide.
const MAX_RATIO: f64 = 20.0;

/// An operator's order to roll out a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service to update.
    pub service: ServiceId,
    /// Version to roll out.
    pub version: VersionId,
    /// Duration of the rollout, counted from the order.
    pub duration: Duration,
}

/// Versions that may take a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AllowedVersions {
    /// Any version.
    Any,
    /// Only this version.
    Only(VersionId),
    /// Any version except this one.
    Except(VersionId),
    /// This version, or another one if it has no free slot.
    Prefer(VersionId),
}

impl AllowedVersions {
    /// Returns whether a target of `version` may take the request.
    pub fn allows(&self, version: &VersionId) -> bool {
        match self {
            Self::Any | Self::Prefer(_) => true,
            Self::Only(only) => only == version,
            Self::Except(other) => other != version,
        }
    }
}

/// State of one rollout.
#[derive(Debug)]
struct Rollout {
    order: RolloutOrder,
    /// Earliest known time of the order.
    started: Time,
    own: RolloutCounts,
    peers: HashMap<InstanceId, (Incarnation, RolloutCounts)>,
    outcome: Option<RolloutOutcome>,
    /// State of the rollout that the store is known to hold.
    recorded: Option<RecordedState>,
}

/// State of a rollout in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordedState {
    /// The rollout is in progress.
    Running,
    /// The rollout has ended.
    Ended(RolloutOutcome),
}

/// Record of a rollout in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutRecord {
    /// Service of the rollout.
    pub service: ServiceId,
    /// Version that is rolled out.
    pub version: VersionId,
    /// State to record.
    pub state: RecordedState,
}

/// Latest rollout of each service.
#[derive(Debug, Default)]
pub struct Rollouts {
    rollouts: HashMap<ServiceId, Rollout>,
}

impl Rollouts {
    /// Starts the ordered rollout in place of the service's previous one. Does nothing if the
    /// previous one has the same order.
    pub fn add_order(&mut self, order: RolloutOrder, now: Time) {
        if self.rollouts.get(&order.service).is_some_and(|rollout| rollout.order == order) {
            return;
        }
        let service = order.service.clone();
        let rollout = Rollout {
            order,
            started: now,
            own: RolloutCounts::default(),
            peers: HashMap::new(),
            outcome: None,
            recorded: None,
        };
        self.rollouts.insert(service, rollout);
    }

    /// Returns the versions that may take a request to `service` at `point`, a split position in
    /// `[0, 1)`.
    pub fn allowed_versions(&self, service: &ServiceId, point: f64, now: Time) -> AllowedVersions {
        let Some(rollout) = self.rollouts.get(service) else { return AllowedVersions::Any };
        let version = rollout.order.version.clone();
        match rollout.outcome {
            Some(RolloutOutcome::Completed) => return AllowedVersions::Prefer(version),
            Some(RolloutOutcome::TakenBack) => return AllowedVersions::Except(version),
            None => {}
        }
        let elapsed_fraction = rollout.elapsed_fraction(now);
        if elapsed_fraction >= ONLY_NEW_FRACTION {
            AllowedVersions::Only(version)
        } else if elapsed_fraction >= FULL_FRACTION {
            AllowedVersions::Prefer(version)
        } else if point < FIRST_SHARE {
            AllowedVersions::Only(version)
        } else {
            AllowedVersions::Except(version)
        }
    }

    /// Counts the outcome of a request at a target of `version`. `ratio` is the time to the first
    /// byte relative to the estimate, if known.
    pub fn count(
        &mut self,
        service: &ServiceId,
        version: &VersionId,
        ok: bool,
        ratio: Option<f64>,
    ) {
        let Some(rollout) = self.rollouts.get_mut(service) else { return };
        let counts = &mut rollout.own;
        let arm = if rollout.order.version == *version { &mut counts.new } else { &mut counts.old };
        arm.requests += 1;
        arm.failures += u64::from(!ok);
        if let Some(ratio) = ratio {
            arm.timed += 1;
            arm.ratios += ratio.clamp(0.0, MAX_RATIO);
        }
    }

    /// Returns the progress to report to peers.
    pub fn progress(&self, now: Time) -> Vec<RolloutProgress> {
        let progress = self.rollouts.values().map(|rollout| RolloutProgress {
            service: rollout.order.service.clone(),
            version: rollout.order.version.clone(),
            age: now.since(rollout.started),
            counts: rollout.own,
            outcome: rollout.outcome,
        });
        progress.collect()
    }

    /// Merges the progress that a peer reports. A known outcome is not replaced by a peer's; only
    /// the store's record may replace it.
    pub fn apply_progress(
        &mut self,
        peer: &InstanceId,
        incarnation: Incarnation,
        progress: &[RolloutProgress],
        now: Time,
    ) {
        for entry in progress {
            let Some(rollout) = self.rollouts.get_mut(&entry.service) else { continue };
            if rollout.order.version != entry.version {
                continue;
            }
            rollout.started = rollout.started.min(now - entry.age);
            rollout.peers.insert(peer.clone(), (incarnation, entry.counts));
            if rollout.outcome.is_none() {
                rollout.outcome = entry.outcome;
            }
        }
    }

    /// Evaluates all rollouts. Returns those that are rolled back by this call.
    pub fn evaluate(&mut self) -> Vec<(ServiceId, VersionId, RolloutCounts)> {
        let mut rolled_back = Vec::new();
        for (service, rollout) in &mut self.rollouts {
            let counts = rollout.total();
            if rollout.outcome.is_none() && is_bad(&counts) {
                rollout.outcome = Some(RolloutOutcome::TakenBack);
                rolled_back.push((service.clone(), rollout.order.version.clone(), counts));
            }
        }
        rolled_back
    }

    /// Returns the records that the store does not hold yet.
    pub fn pending_records(&self, now: Time) -> Vec<RolloutRecord> {
        let records = self.rollouts.values().filter_map(|rollout| {
            let state = match rollout.outcome {
                Some(outcome) => RecordedState::Ended(outcome),
                None if rollout.elapsed_fraction(now) >= COMPLETE_FRACTION => {
                    RecordedState::Ended(RolloutOutcome::Completed)
                }
                None => RecordedState::Running,
            };
            (rollout.recorded != Some(state)
                && !matches!(rollout.recorded, Some(RecordedState::Ended(_))))
            .then(|| RolloutRecord {
                service: rollout.order.service.clone(),
                version: rollout.order.version.clone(),
                state,
            })
        });
        records.collect()
    }

    /// Applies a record that was read from the store.
    pub fn apply_record(&mut self, record: &RolloutRecord) {
        let Some(rollout) = self.rollouts.get_mut(&record.service) else { return };
        if rollout.order.version != record.version {
            return;
        }
        rollout.recorded = Some(record.state);
        if let RecordedState::Ended(outcome) = record.state {
            rollout.outcome = Some(outcome);
        }
    }
}

impl Rollout {
    /// Returns the elapsed time as a fraction of the duration.
    fn elapsed_fraction(&self, now: Time) -> f64 {
        let duration = self.order.duration.as_secs_f64().max(f64::MIN_POSITIVE);
        now.since(self.started).as_secs_f64() / duration
    }

    fn total(&self) -> RolloutCounts {
        let mut total = self.own;
        for (_, counts) in self.peers.values() {
            total.add(counts);
        }
        total
    }
}

/// Returns whether the counts justify a verdict against the new version.
fn is_bad(counts: &RolloutCounts) -> bool {
    let (new, old) = (&counts.new, &counts.old);
    // Adds one failure to the old version's, so that a short run without failures doesn't make its
    // rate zero.
    let rate = (old.failures as f64 + 1.0) / (old.requests as f64 + 1.0).max(20.0);
    let mean = rate.max(FAILURE_FLOOR) * new.requests as f64;
    let rule = MaxSprt::default();
    let expected = rule.tolerated * (mean + EXPECTATION_MARGIN * mean.sqrt());
    let failing = new.failures >= MIN_FAILURES
        && MaxSprt::log_ratio(new.failures as f64, expected) > rule.critical;
    let timed = new.timed >= MIN_TIMED_REQUESTS && old.timed >= MIN_TIMED_REQUESTS;
    let slow =
        timed && new.ratios / new.timed as f64 > SLOW_FACTOR * (old.ratios / old.timed as f64);
    failing || slow
}
