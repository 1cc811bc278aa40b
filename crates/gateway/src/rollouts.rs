//! Planned moves of a service to another version of its targets' software.
//!
//! A move begins with a small share of the requests, by their position, so that no instance exceeds
//! it. All instances count how the two versions answer and add up one another's counts. A verdict
//! against the new version takes its share to zero at once, on the instance that reaches it and on
//! the others as soon as they hear of it. Without a verdict the new version takes all requests well
//! before the deadline, and the move is recorded as complete while there is time to do so.

use std::collections::HashMap;
use std::time::Duration;

use sesamewind_protocol::relay::{RolloutCounts, RolloutOutcome, RolloutProgress};
use sesamewind_protocol::{Incarnation, InstanceId, ServiceId, Time, VersionId};
use sesamewind_rollout::rule::MaxSprt;

/// Share of the requests that the new version gets while it is judged; the deployments' bound on a
/// bad version is a tenth, less what the later stage may add before a verdict.
const FIRST_SHARE: f64 = 0.05;

/// Part of the time after which the new version takes all requests that it has room for.
const FULL_FRACTION: f64 = 0.55;

/// Part of the time after which the old version gets no requests any more: its targets are stopped
/// as soon as the move is complete.
const ONLY_NEW_FRACTION: f64 = 0.7;

/// Part of the time after which the move is recorded as complete.
const COMPLETE_FRACTION: f64 = 0.8;

/// Failures of the new version before a verdict: one target that crashes fails the few that it has.
const MIN_FAILURES: u64 = 8;

/// Standard deviations of the expected failures that are added to them, since they are looked at
/// many times.
const EXPECTATION_MARGIN: f64 = 1.0;

/// Failures of a request that any version may have.
const FAILURE_FLOOR: f64 = 0.002;

/// Requests of both versions before their times are compared.
const MIN_TIMED_REQUESTS: u64 = 40;

/// How many times slower the new version may be on average before it is taken back; bad versions are
/// several times slower, and targets of one version differ among themselves.
const SLOW_FACTOR: f64 = 2.5;

/// Longest time of one request relative to the estimate that is counted, so that one odd request
/// does not decide.
const MAX_RATIO: f64 = 20.0;

/// An operator's order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceId,
    /// The version that is to take over.
    pub version: VersionId,
    /// Time for the move, from the order.
    pub duration: Duration,
}

/// Which versions may take a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AllowedVersions {
    /// All.
    Any,
    /// This one only.
    Only(VersionId),
    /// All but this one.
    Except(VersionId),
    /// This one, or another where it has no place.
    Prefer(VersionId),
}

impl AllowedVersions {
    /// Whether a target of `version` may take the request.
    pub fn allows(&self, version: &VersionId) -> bool {
        match self {
            Self::Any | Self::Prefer(_) => true,
            Self::Only(only) => only == version,
            Self::Except(other) => other != version,
        }
    }
}

/// One move.
#[derive(Debug)]
struct Rollout {
    order: RolloutOrder,
    /// When the order was given, as far as it is known.
    started: Time,
    own: RolloutCounts,
    peers: HashMap<InstanceId, (Incarnation, RolloutCounts)>,
    outcome: Option<RolloutOutcome>,
    /// Whether the store has the outcome, or that the move runs.
    recorded: Option<RecordedState>,
}

/// What the store says of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordedState {
    /// It runs.
    Running,
    /// It ended.
    Ended(RolloutOutcome),
}

/// A record to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutRecord {
    /// The service.
    pub service: ServiceId,
    /// The version.
    pub version: VersionId,
    /// What to record.
    pub state: RecordedState,
}

/// All moves.
#[derive(Debug, Default)]
pub struct Rollouts {
    rollouts: HashMap<ServiceId, Rollout>,
}

impl Rollouts {
    /// Takes an order; one that is known already changes nothing.
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

    /// Versions that may take a request to `service` at `point`, a position in `[0, 1)`.
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

    /// Counts how a request that a target of `version` took has ended. `ratio` is the time to the
    /// first byte relative to the estimate, if there was one.
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

    /// What peers are told.
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

    /// Takes a peer's notes. A verdict is never unlearned; of two outcomes the store's counts, and
    /// without one a version that was taken back stays so.
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

    /// Judges all moves. Returns those that have just been taken back.
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

    /// Records that the store lacks.
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

    /// Takes what the store says of a move.
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
    /// Part of the time that has passed.
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

/// Whether the counts speak against the new version.
fn is_bad(counts: &RolloutCounts) -> bool {
    let (new, old) = (&counts.new, &counts.old);
    // One failure is added to the old version's, so that a few lucky requests don't make it perfect.
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
