//! Rollouts of another version of a service's targets.
//!
//! A rollout starts by sending the new version a small share of the requests, selected by their
//! split position so that no instance exceeds the share. All instances count the outcomes of both
//! versions and add the counts that their peers report. A verdict against the new version sets its
//! share to zero, immediately on the instance that reaches the verdict and on the others as soon as
//! they receive it. Without such a verdict, the new version takes all requests well before the
//! deadline, and the rollout is recorded as complete while there is still time to do so.

mod evidence;
mod schedule;
mod status;
mod unordered;
mod verdict;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use sesamewind_protocol::relay::{ArmCounts, RolloutCounts, RolloutOutcome, RolloutProgress};
use sesamewind_protocol::{Incarnation, InstanceId, RouteId, ServiceId, TargetId, Time, VersionId};

use self::evidence::{Arm, Evidence};
use self::schedule::{Progress, Schedule, Stage};
use self::status::StatusLimit;
pub use self::status::{LatencyAverage, LatencyComparison, RolloutStatus};
use self::unordered::Unordered;
pub use self::verdict::EvidenceLevel;
use self::verdict::{Measure, Verdict};

/// Delay after which an instance writes an outcome that the instances before it in the order should
/// have written, for each of those.
const WRITER_DELAY: Duration = Duration::from_millis(400);

/// Minimum number of requests of the new version for its rollout to complete. Of a version that
/// fails half of its requests, so many show it.
const MIN_REQUESTS: u32 = 10;

/// Number of instances that write an outcome if those before them in the order do not.
const MAX_WRITERS: usize = 4;

/// Time after an instance has learned of an overdue rollout in which it does not roll it back: peers
/// that know the outcome report it in this time.
const OUTCOME_REPORT_TIME: Duration = Duration::from_secs(1);

/// Time after which targets that are gone are no longer listed.
const LISTING_TIMEOUT: Duration = Duration::from_secs(5);

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
    /// Any version except these.
    Except(Vec<VersionId>),
    /// This version, or another one if it has no free slot.
    Prefer(VersionId),
}

impl AllowedVersions {
    /// Returns whether a target of `version` may take the request.
    pub fn allows(&self, version: &VersionId) -> bool {
        match self {
            Self::Any | Self::Prefer(_) => true,
            Self::Only(only) => only == version,
            Self::Except(others) => !others.contains(version),
        }
    }
}

/// Slots of a service's targets that may receive requests, while a version is rolled out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionSlots {
    /// Slots of the new version.
    pub new: u32,
    /// Slots of all other versions.
    pub others: u32,
}

impl VersionSlots {
    /// Returns the slots of the new version relative to the others; zero if it has none.
    fn ratio(self) -> f64 {
        if self.new == 0 { 0.0 } else { f64::from(self.new) / f64::from(self.others) }
    }

    /// Returns whether only the new version can serve requests.
    fn is_only_new(self) -> bool {
        self.new > 0 && self.others == 0
    }
}

/// State of one rollout.
#[derive(Debug, Clone)]
struct Rollout {
    order: RolloutOrder,
    schedule: Schedule,
    /// When this instance learned of the order.
    added: Time,
    /// Age of the rollout at a point in time. The order may be older than this instance.
    known_age: (Time, Duration),
    own: Evidence,
    peers: BTreeMap<InstanceId, (Incarnation, RolloutCounts)>,
    /// Slots at the last evaluation.
    slots: VersionSlots,
    /// Current share of the new version.
    stage: Stage,
    /// When the share was last set.
    evaluated: Option<Time>,
    /// Since when this instance sends all requests to the new version.
    only_new: Option<Time>,
    /// Known outcome, and since when it is known.
    outcome: Option<(RolloutOutcome, Time)>,
    /// State of the rollout that the store is known to hold.
    recorded: Option<RecordedState>,
    /// Latest conclusion of this instance, and whether it has been returned.
    conclusion: Option<Conclusion>,
    is_conclusion_due: bool,
    /// Latest status, and what limits how often it is returned.
    status: Option<RolloutStatus>,
    status_limit: StatusLimit,
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
    /// Time since the rollout was ordered.
    pub age: Duration,
}

/// A new version that was rolled back, and how its requests ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolledBack {
    /// Service of the rollout.
    pub service: ServiceId,
    /// Version that was rolled back.
    pub version: VersionId,
    /// Requests of the new version.
    pub new: ArmCounts,
    /// Requests of the other versions.
    pub old: ArmCounts,
}

/// What the outcome of a rollout follows from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeBasis {
    /// Evidence against the new version.
    Evidence,
    /// The new version has not taken all requests, or has served too few of them, in time.
    Overdue,
    /// The new version has served all requests.
    Served,
}

impl OutcomeBasis {
    /// Returns the basis as written in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Evidence => "evidence",
            Self::Overdue => "overdue",
            Self::Served => "served",
        }
    }
}

/// The outcome of a rollout that this instance has concluded, and what it knew then.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conclusion {
    /// Service of the rollout.
    pub service: ServiceId,
    /// Version that is rolled out.
    pub version: VersionId,
    /// The outcome.
    pub outcome: RolloutOutcome,
    /// What it follows from.
    pub basis: OutcomeBasis,
    /// Time since the order.
    pub age: Duration,
    /// Time since this instance has known the order.
    pub known: Duration,
    /// Requests of the new version.
    pub new: ArmCounts,
    /// Requests of the other versions.
    pub old: ArmCounts,
}

/// Latest rollout of each service.
#[derive(Debug, Clone, Default)]
pub struct Rollouts {
    rollouts: HashMap<ServiceId, Rollout>,
    /// Era of the store; see [`Rollouts::enter_era`].
    era: u64,
    /// What was observed of services without a rollout.
    earlier: HashMap<ServiceId, Evidence>,
    /// Versions that no known order names.
    unordered: HashMap<ServiceId, Unordered>,
    /// Number of instances whose reports are expected, including this one.
    instances: usize,
}

impl Rollouts {
    /// Returns whether the rollout of this order is the latest known one of its service.
    pub fn knows(&self, order: &RolloutOrder) -> bool {
        self.rollouts.get(&order.service).is_some_and(|rollout| rollout.order == *order)
    }

    /// Starts the ordered rollout in place of the service's previous one. Does nothing if the
    /// previous one has the same order.
    pub fn add_order(&mut self, order: RolloutOrder, now: Time) {
        if self.knows(&order) {
            return;
        }
        let schedule = Schedule::new(order.duration);
        let service = order.service.clone();
        let earlier = self.earlier.remove(&service).unwrap_or_default();
        let unordered = self.unordered.entry(service.clone()).or_default();
        let outcome = unordered.order(&order.version).map(|outcome| (outcome, now));
        let rollout = Rollout {
            order,
            schedule,
            added: now,
            known_age: (now, Duration::ZERO),
            own: Evidence::starting_from(earlier),
            peers: BTreeMap::new(),
            slots: VersionSlots::default(),
            stage: Stage::Share(0.0),
            evaluated: None,
            only_new: None,
            outcome,
            recorded: None,
            conclusion: None,
            is_conclusion_due: false,
            status: None,
            status_limit: StatusLimit::default(),
        };
        self.rollouts.insert(service, rollout);
    }

    /// Sets the number of instances whose reports are expected, including this one. Until all have
    /// reported, the others are taken to be like those that have.
    pub fn expect_instances(&mut self, count: usize) {
        self.instances = count;
    }

    /// Returns the versions that may take a request to `service` at `point`, a split position in
    /// `[0, 1)`.
    pub fn allowed_versions(&self, service: &ServiceId, point: f64) -> AllowedVersions {
        let allowed = self.versions_by_order(service, point);
        match self.unordered.get(service) {
            Some(unordered) => unordered.restrict(allowed, point),
            None => allowed,
        }
    }

    /// Applies the slots of each version of `service` that is listed now.
    pub fn observe_versions(
        &mut self,
        service: &ServiceId,
        slots: &BTreeMap<&VersionId, u32>,
        now: Time,
    ) {
        let ordered = self.rollouts.get(service).map(|rollout| &rollout.order.version);
        self.unordered.entry(service.clone()).or_default().observe(slots, ordered, now);
    }

    /// Returns the versions that may take a request by the known order.
    fn versions_by_order(&self, service: &ServiceId, point: f64) -> AllowedVersions {
        let Some(rollout) = self.rollouts.get(service) else { return AllowedVersions::Any };
        let version = rollout.order.version.clone();
        match rollout.outcome {
            Some((RolloutOutcome::Completed, _)) => return AllowedVersions::Prefer(version),
            Some((RolloutOutcome::TakenBack, _)) => return AllowedVersions::Except(vec![version]),
            None => {}
        }
        match rollout.stage {
            Stage::Only => AllowedVersions::Only(version),
            Stage::Preferred => AllowedVersions::Prefer(version),
            Stage::Share(share) if point < share => AllowedVersions::Prefer(version),
            Stage::Share(_) => AllowedVersions::Except(vec![version]),
        }
    }

    /// Counts a request sent to a target of `version`.
    pub fn count_sent(&mut self, service: &ServiceId, target: (&TargetId, &VersionId)) {
        let Some((evidence, arm)) = self.evidence(service, target) else { return };
        evidence.count_sent(arm);
    }

    /// Counts a request at a target of `version` that has begun to answer. `ratio` is the time to
    /// the first byte relative to the estimate.
    pub fn count_start(
        &mut self,
        service: &ServiceId,
        route: &RouteId,
        target: (&TargetId, &VersionId),
        ratio: f64,
        now: Time,
    ) {
        let Some((evidence, arm)) = self.evidence(service, target) else { return };
        evidence.count_request(route, arm);
        evidence.count_latency(arm, ratio, now);
    }

    /// Counts the average time between the first events of a stream from a target of `version`.
    pub fn count_pace(
        &mut self,
        service: &ServiceId,
        target: (&TargetId, &VersionId),
        pace: Duration,
        now: Time,
    ) {
        let Some((evidence, arm)) = self.evidence(service, target) else { return };
        evidence.count_pace(arm, pace, now);
    }

    /// Counts the failure of a request at a target of `version`. `started` tells whether the
    /// target had begun to answer.
    pub fn count_failure(
        &mut self,
        service: &ServiceId,
        route: &RouteId,
        target: (&TargetId, &VersionId),
        started: bool,
    ) {
        let Some((evidence, arm)) = self.evidence(service, target) else { return };
        if !started {
            evidence.count_request(route, arm);
        }
        evidence.count_failure(route, arm);
    }

    /// Returns where to count a request at a target: with the running rollout of the service, or
    /// as what to expect in the next one. Requests at a version without an order, which may have one
    /// soon, are not counted.
    fn evidence(
        &mut self,
        service: &ServiceId,
        target: (&TargetId, &VersionId),
    ) -> Option<(&mut Evidence, Arm)> {
        if self.unordered.get(service).is_some_and(|known| known.contains(target.1)) {
            return None;
        }
        let counted = match self.rollouts.get_mut(service) {
            Some(rollout) if rollout.outcome.is_none() => {
                let arm = rollout.arm(target);
                (&mut rollout.own, arm)
            }
            _ => (self.earlier.entry(service.clone()).or_default(), Arm::Old),
        };
        Some(counted)
    }

    /// Returns the progress to report to peers.
    pub fn progress(&self, now: Time) -> Vec<RolloutProgress> {
        let progress = self.rollouts.values().map(|rollout| {
            let outcome = rollout.outcome.map(|(outcome, _)| outcome);
            RolloutProgress {
                service: rollout.order.service.clone(),
                version: rollout.order.version.clone(),
                age: rollout.age(now),
                counts: if outcome.is_none() {
                    rollout.own.report()
                } else {
                    RolloutCounts::default()
                },
                outcome,
                recorded: match rollout.recorded {
                    Some(RecordedState::Ended(_)) => Some(self.era),
                    Some(RecordedState::Running) | None => None,
                },
            }
        });
        progress.collect()
    }

    /// Merges the progress that a peer reports. An outcome that the store holds replaces a known
    /// one; any other outcome of a peer does not. Of a rollout whose order is not known, the outcome
    /// counts, and while it runs its version gets no more than the probing share.
    pub fn apply_progress(
        &mut self,
        peer: &InstanceId,
        incarnation: Incarnation,
        progress: &[RolloutProgress],
        now: Time,
    ) {
        for entry in progress {
            let is_recorded = entry.recorded.is_some_and(|era| era >= self.era);
            let rollout = match self.rollouts.get_mut(&entry.service) {
                Some(rollout) if rollout.order.version == entry.version => rollout,
                // The peer has an older order.
                Some(rollout) if rollout.age(now) <= entry.age => continue,
                Some(_) | None => {
                    let unordered = self.unordered.entry(entry.service.clone()).or_default();
                    unordered.report(&entry.version, entry.outcome, is_recorded, now);
                    continue;
                }
            };
            rollout.learn_age(entry.age, now);
            rollout.peers.insert(peer.clone(), (incarnation, entry.counts.clone()));
            let Some(outcome) = entry.outcome else { continue };
            if is_recorded {
                rollout.recorded = Some(RecordedState::Ended(outcome));
                rollout.outcome = Some((outcome, now));
            } else if rollout.outcome.is_none() {
                rollout.outcome = Some((outcome, now));
            }
        }
    }

    /// Enters an era of the store, which may have lost what was written last: the states of all
    /// rollouts are written again. Their outcomes stay as they are known, and reports that a peer
    /// saw one recorded in an earlier era no longer count.
    pub fn enter_era(&mut self, era: u64) {
        self.era = era;
        for rollout in self.rollouts.values_mut() {
            rollout.recorded = None;
        }
    }

    /// Evaluates all rollouts and updates the shares of the new versions. `slots` returns the slots
    /// of the usable targets of a service's version and of its other versions. Returns the new
    /// versions that are rolled back by this call.
    pub fn evaluate(
        &mut self,
        slots: impl Fn(&ServiceId, &VersionId) -> VersionSlots,
        now: Time,
    ) -> Vec<RolledBack> {
        self.unordered.values_mut().for_each(|unordered| unordered.expire(now));
        let mut rolled_back = Vec::new();
        for rollout in self.rollouts.values_mut().filter(|rollout| rollout.outcome.is_none()) {
            rollout.own.advance(now);
            let own = rollout.own.report();
            let reports = rollout.reports(&own);
            let (new, old) = totals(&reports);
            let requests = reports.iter().map(|report| u64::from(report.requests)).sum::<u64>();
            let unheard = (self.instances as f64 / reports.len() as f64).max(1.0);
            let of_all = |count: u64| (count as f64 * unheard) as u64;
            let age = rollout.age(now);
            let verdict = Verdict::new(reports);
            let level = verdict.level();
            let slots = slots(&rollout.order.service, &rollout.order.version);
            let (stage, reason) = rollout.schedule.stage(Progress {
                age,
                requests: of_all(requests),
                new_requests: of_all(u64::from(new.requests)),
                new_sent: of_all(verdict.new_sent()),
                level,
                previous: rollout.evaluated.map(|at| (rollout.stage, now.since(at))),
                is_late: rollout.is_late(now),
                is_only_version: slots.is_only_new(),
                capacity: slots.ratio(),
            });
            let status = RolloutStatus {
                service: rollout.order.service.clone(),
                version: rollout.order.version.clone(),
                age,
                share: stage.share(),
                is_exclusive: stage == Stage::Only,
                reason: reason.as_str(),
                capacity: slots.ratio(),
                level,
                level_of_all: verdict.level_of_all(),
                new_sent: verdict.new_sent(),
                new,
                old,
                latency: verdict.comparison(Measure::Latency),
                pace: verdict.comparison(Measure::Pace),
            };
            rollout.slots = slots;
            rollout.stage = stage;
            rollout.evaluated = Some(now);
            rollout.status = Some(status);
            rollout.only_new = match rollout.stage {
                Stage::Only => rollout.only_new.or(Some(now)),
                Stage::Preferred | Stage::Share(_) => None,
            };
            if level == EvidenceLevel::Bad && rollout.has_alternative(&old, now) {
                rollout.outcome = Some((RolloutOutcome::TakenBack, now));
                rollout.conclude(
                    RolloutOutcome::TakenBack,
                    OutcomeBasis::Evidence,
                    (new, old),
                    now,
                );
                let RolloutOrder { service, version, .. } = rollout.order.clone();
                rolled_back.push(RolledBack { service, version, new, old });
            }
        }
        rolled_back
    }

    /// Returns the latest statuses that are due: those that differ in stage or evidence level from
    /// the one returned before, and those of rollouts without one for a second.
    pub fn due_statuses(&mut self, now: Time) -> Vec<RolloutStatus> {
        let statuses = self.rollouts.values_mut().filter_map(|rollout| {
            let status = rollout.status.take()?;
            rollout.status_limit.admits(&status, now).then_some(status)
        });
        statuses.collect()
    }

    /// Returns the outcomes that this instance has concluded since the last call.
    pub fn take_conclusions(&mut self) -> Vec<Conclusion> {
        let due = self.rollouts.values_mut().filter(|rollout| rollout.is_conclusion_due);
        due.filter_map(|rollout| {
            rollout.is_conclusion_due = false;
            rollout.conclusion.clone()
        })
        .collect()
    }

    /// Returns the records that the store is not known to hold. `position` is the number of
    /// instances that should write them before this one.
    pub fn pending_records(&mut self, position: usize, now: Time) -> Vec<RolloutRecord> {
        let records = self.rollouts.values_mut().filter_map(|rollout| {
            if matches!(rollout.recorded, Some(RecordedState::Ended(_))) {
                return None;
            }
            let state = rollout.state_to_record(position, now)?;
            (rollout.recorded != Some(state)).then(|| RolloutRecord {
                service: rollout.order.service.clone(),
                version: rollout.order.version.clone(),
                state,
                age: rollout.age(now),
            })
        });
        records.collect()
    }

    /// Applies a record that was read from the store.
    pub fn apply_record(&mut self, record: &RolloutRecord, now: Time) {
        let Some(rollout) = self.rollouts.get_mut(&record.service) else { return };
        if rollout.order.version != record.version {
            return;
        }
        rollout.learn_age(record.age, now);
        rollout.recorded = Some(record.state);
        if let RecordedState::Ended(outcome) = record.state {
            rollout.outcome = Some((outcome, now));
        }
    }
}

impl Rollout {
    /// Returns the time since the order.
    fn age(&self, now: Time) -> Duration {
        let (at, age) = self.known_age;
        age + now.since(at)
    }

    /// Corrects the age by that which another instance knows. An instance that started after the
    /// order, or that was suspended, takes the rollout for younger than it is.
    fn learn_age(&mut self, age: Duration, now: Time) {
        if age > self.age(now) {
            self.known_age = (now, age);
        }
    }

    /// Returns whether this instance learned of the order when the outcome was already due, so that
    /// it can't know how the new version has done.
    fn is_late(&self, now: Time) -> bool {
        self.age(now).saturating_sub(now.since(self.added)) >= self.schedule.last
    }

    /// Returns whether other versions can serve the requests if the new one is rolled back. `old`
    /// counts their requests.
    ///
    /// An instance that learns of the order late may meet targets that were stopped after the
    /// rollout had completed and are still listed, or a record that is older than the outcome.
    fn has_alternative(&self, old: &ArmCounts, now: Time) -> bool {
        let known = now.since(self.added);
        let is_serving = old.requests > old.failures || known >= LISTING_TIMEOUT;
        let is_certain = !self.is_late(now) || (known >= OUTCOME_REPORT_TIME && is_serving);
        self.slots.others > 0 && is_certain
    }

    /// Remembers an outcome that this instance has concluded from `counts` of both versions, unless it
    /// concluded the same before.
    fn conclude(
        &mut self,
        outcome: RolloutOutcome,
        basis: OutcomeBasis,
        (new, old): (ArmCounts, ArmCounts),
        now: Time,
    ) {
        let RolloutOrder { service, version, .. } = self.order.clone();
        let (age, known) = (self.age(now), now.since(self.added));
        let conclusion = Conclusion { service, version, outcome, basis, age, known, new, old };
        let known = self.conclusion.as_ref().map(|known| (known.outcome, known.basis));
        if known != Some((outcome, basis)) {
            self.conclusion = Some(conclusion);
            self.is_conclusion_due = true;
        }
    }

    fn arm(&self, (target, version): (&TargetId, &VersionId)) -> Arm {
        if self.order.version == *version { Arm::of_new(target) } else { Arm::Old }
    }

    fn reports<'a>(&'a self, own: &'a RolloutCounts) -> Vec<&'a RolloutCounts> {
        let peers = self.peers.values().map(|(_, counts)| counts);
        std::iter::once(own).chain(peers).collect()
    }

    /// Returns the state that this instance should record, if any.
    ///
    /// The first instance in the order records it. Others follow if the outcome stays unrecorded,
    /// since the first one may be cut off from the store or have ended. A version that is suspect
    /// when the rollout should complete is rolled back, and so is one that soon after has still not
    /// taken all requests or has served too few; but not while no other version can serve requests.
    fn state_to_record(&mut self, position: usize, now: Time) -> Option<RecordedState> {
        let delay = WRITER_DELAY * u32::try_from(position).unwrap_or(u32::MAX);
        if position >= MAX_WRITERS {
            return None;
        }
        if let Some((outcome, since)) = self.outcome {
            return (now.since(since) >= delay).then_some(RecordedState::Ended(outcome));
        }
        if self.age(now) < self.schedule.complete + delay {
            return (position == 0).then_some(RecordedState::Running);
        }
        let own = self.own.report();
        let reports = self.reports(&own);
        let counts = totals(&reports);
        let full_since = self.only_new.filter(|_| counts.0.requests >= MIN_REQUESTS);
        let is_overdue = full_since.is_none() && self.age(now) >= self.schedule.last + delay;
        let is_suspect = Verdict::new(reports).level() >= EvidenceLevel::Suspect;
        if (is_overdue || is_suspect) && self.has_alternative(&counts.1, now) {
            let basis = if is_suspect { OutcomeBasis::Evidence } else { OutcomeBasis::Overdue };
            self.outcome = Some((RolloutOutcome::TakenBack, now));
            self.conclude(RolloutOutcome::TakenBack, basis, counts, now);
            return Some(RecordedState::Ended(RolloutOutcome::TakenBack));
        }
        let is_drained = full_since.is_some_and(|since| now.since(since) >= self.schedule.drain);
        if is_drained && !is_suspect {
            self.conclude(RolloutOutcome::Completed, OutcomeBasis::Served, counts, now);
            return Some(RecordedState::Ended(RolloutOutcome::Completed));
        }
        (position == 0).then_some(RecordedState::Running)
    }
}

/// Returns the counts of the new version and of the others over all routes.
fn totals(reports: &[&RolloutCounts]) -> (ArmCounts, ArmCounts) {
    let (mut new, mut old) = (ArmCounts::default(), ArmCounts::default());
    for route in reports.iter().flat_map(|report| &report.routes) {
        for counts in &route.new {
            new.add(counts);
        }
        old.add(&route.old);
    }
    (new, old)
}
