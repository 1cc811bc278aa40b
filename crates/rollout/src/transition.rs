//! The leader's decision on one rollout: the next record to write.
//!
//! Only the lease holder writes, and each write is conditional on the record's revision, so a
//! leader that lost its lease without noticing cannot overwrite a newer record. A completion is
//! written only before the deadline; after it, only a rollback is.

use std::time::Duration;

use sesamewind_protocol::evidence::{Arm, Counts, Outcome, Reason, RolloutRecord, Stage};
use sesamewind_protocol::{Revision, RolloutId, Time, WallTime};

use crate::entry::Entry;
use crate::evidence::Evidence;
use crate::input::{ClusterState, LeaseGrant};
use crate::plan::{MIN_JUDGED_REQUESTS, Plan, stage_number};
use crate::spec::RolloutSpec;

/// Longest time for which the leader's lease is valid without renewal.
pub const LEASE_LENGTH: Duration = Duration::from_secs(15);
/// Longest time from sending an order until it has taken effect or can no longer do so.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time before the deadline during which no completion is written.
pub const COMPLETION_MARGIN: Duration = Duration::from_secs(2);

/// Requests of the new version at a recheck after which the rollout returns to full share.
const RECHECK_REQUESTS: u64 = 60;
/// Requests of the new version that a recheck needs for the rollout to be completed from it.
const MIN_RECHECKED: u64 = 10;
/// Maximum number of returns to full share after a recheck.
const MAX_RECHECK_ROUNDS: u8 = 3;

/// Input of the leader's decision on one rollout.
pub(crate) struct TransitionContext<'a> {
    pub(crate) id: &'a RolloutId,
    pub(crate) entry: &'a Entry,
    pub(crate) evidence: &'a Evidence,
    pub(crate) config: Revision,
    pub(crate) lease: LeaseGrant,
    pub(crate) wall: WallTime,
    pub(crate) cluster: &'a dyn ClusterState,
    /// Whether an unload of the new version may still be in transit to a target.
    pub(crate) unloading: bool,
    /// Whether the rollout is the one of its service that may advance.
    pub(crate) active: bool,
}

/// How many of the reachable targets have loaded the new version.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Coverage {
    /// Reachable targets that have loaded it.
    pub(crate) loaded: usize,
    /// Reachable targets.
    pub(crate) reachable: usize,
}

impl Coverage {
    pub(crate) fn of(spec: &RolloutSpec, cluster: &dyn ClusterState) -> Self {
        let mut coverage = Self::default();
        for versions in spec.targets.iter().filter_map(|target| cluster.versions(target)) {
            coverage.reachable += 1;
            coverage.loaded += usize::from(versions.contains(&spec.to));
        }
        coverage
    }

    fn is_full(self) -> bool {
        self.reachable > 0 && self.loaded == self.reachable
    }

    /// Returns whether at least three in four reachable targets have loaded it.
    fn has_most(self) -> bool {
        self.reachable > 0 && self.loaded * 4 >= self.reachable * 3
    }
}

impl TransitionContext<'_> {
    /// Returns the record to write next, if any.
    pub(crate) fn next_record(&self) -> Option<RolloutRecord> {
        let Some(record) = &self.entry.record else { return self.first_record() };
        let outdated = record.config > self.config || record.fence > self.lease.fence;
        if record.outcome.is_some() || outdated {
            return None;
        }
        let Some(spec) = self.entry.spec.as_ref().filter(|_| self.entry.matches_spec()) else {
            return Some(self.rolled_back(record, Reason::Withdrawn));
        };
        if self.entry.verdict.is_some() {
            return Some(self.with_verdict(record));
        }
        if self.wall >= spec.deadline {
            return Some(self.rolled_back(record, self.deadline_reason(record)));
        }
        if record.deadline != spec.deadline {
            return Some(RolloutRecord { deadline: spec.deadline, ..self.stamped(record) });
        }
        if self.active { self.next_stage(spec, record) } else { None }
    }

    fn first_record(&self) -> Option<RolloutRecord> {
        let spec = self.entry.spec.as_ref()?;
        let record = RolloutRecord {
            service: spec.service.clone(),
            from: spec.from.clone(),
            to: spec.to.clone(),
            deadline: spec.deadline,
            config: self.config,
            stage: Stage::Loading,
            share: 0.0,
            started: self.wall,
            staged: self.wall,
            fence: self.lease.fence,
            outcome: None,
        };
        if self.entry.verdict.is_some() {
            return Some(self.with_verdict(&record));
        }
        if self.wall >= spec.deadline {
            return Some(self.rolled_back(&record, Reason::DeadlinePassed));
        }
        self.active.then_some(record)
    }

    /// Returns the record with the next stage or the completion, if its time has come.
    fn next_stage(&self, spec: &RolloutSpec, record: &RolloutRecord) -> Option<RolloutRecord> {
        let plan = Plan::new(spec.first_share, record.started, spec.deadline);
        if self.may_complete(&plan, spec, record) {
            let outcome = Outcome::Completed { at: self.wall };
            return Some(RolloutRecord { outcome: Some(outcome), ..self.stamped(record) });
        }
        if !self.may_advance(&plan, spec, record) {
            return None;
        }
        let stage = plan.next(record.stage);
        let share = plan.share(stage);
        Some(RolloutRecord { stage, share, staged: self.wall, ..self.stamped(record) })
    }

    fn may_complete(&self, plan: &Plan, spec: &RolloutSpec, record: &RolloutRecord) -> bool {
        let due = self.wall >= plan.complete_from();
        let early = self.wall + COMPLETION_MARGIN < spec.deadline;
        let judged = match self.entry.stage() {
            Stage::Full(_) => self.judged_requests() >= MIN_JUDGED_REQUESTS,
            Stage::Recheck(round) => self.stage_requests(Stage::Recheck(round)) >= MIN_RECHECKED,
            Stage::Loading | Stage::Step(_) => false,
        };
        due && early && judged && self.has_min_duration(plan, record)
    }

    fn may_advance(&self, plan: &Plan, spec: &RolloutSpec, record: &RolloutRecord) -> bool {
        let coverage = Coverage::of(spec, self.cluster);
        match record.stage {
            Stage::Loading => {
                let most = self.wall >= plan.load_by() && coverage.has_most();
                !self.unloading && (coverage.is_full() || most)
            }
            Stage::Step(step) => {
                coverage.has_most()
                    && self.has_min_duration(plan, record)
                    && self.is_step_judged(plan, step)
            }
            Stage::Full(round) => self.entry.suspect == Some(round),
            Stage::Recheck(round) => {
                let judged = self.stage_requests(record.stage) >= RECHECK_REQUESTS;
                round < MAX_RECHECK_ROUNDS
                    && judged
                    && coverage.has_most()
                    && self.has_min_duration(plan, record)
            }
        }
    }

    /// Returns whether the step has had enough requests, or its time window has ended with fewer.
    fn is_step_judged(&self, plan: &Plan, step: u8) -> bool {
        let requests = self.judged_requests();
        if requests >= plan.step_requests(step) {
            return true;
        }
        let last = matches!(plan.next(Stage::Step(step)), Stage::Full(_));
        let enough = !last || requests >= MIN_JUDGED_REQUESTS;
        self.wall >= plan.window_end(step) && enough
    }

    fn has_min_duration(&self, plan: &Plan, record: &RolloutRecord) -> bool {
        self.wall.since(record.staged) >= plan.min_stage_time()
    }

    fn judged_requests(&self) -> u64 {
        self.evidence.requests(self.id, Arm::New)
    }

    fn stage_requests(&self, stage: Stage) -> u64 {
        let number = stage_number(stage);
        let cells = self.evidence.cells_of(self.id);
        let cells = cells.filter(|(key, _)| key.arm == Arm::New && key.stage == number);
        cells.map(|(_, tally)| tally.requests).sum()
    }

    fn deadline_reason(&self, record: &RolloutRecord) -> Reason {
        match record.stage {
            Stage::Loading => Reason::NotLoaded,
            Stage::Step(_) | Stage::Full(_) if self.judged_requests() < MIN_JUDGED_REQUESTS => {
                Reason::TooLittleTraffic
            }
            Stage::Recheck(_) if self.stage_requests(record.stage) < MIN_RECHECKED => {
                Reason::TooLittleTraffic
            }
            _ => Reason::DeadlinePassed,
        }
    }

    fn with_verdict(&self, record: &RolloutRecord) -> RolloutRecord {
        let Some(verdict) = &self.entry.verdict else { return self.stamped(record) };
        let outcome = Outcome::RolledBack {
            reason: verdict.reason,
            route: verdict.route.clone(),
            counts: verdict.counts,
            at: self.wall,
        };
        RolloutRecord { share: 0.0, outcome: Some(outcome), ..self.stamped(record) }
    }

    fn rolled_back(&self, record: &RolloutRecord, reason: Reason) -> RolloutRecord {
        let outcome =
            Outcome::RolledBack { reason, route: None, counts: self.counts(), at: self.wall };
        RolloutRecord { share: 0.0, outcome: Some(outcome), ..self.stamped(record) }
    }

    fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for (key, tally) in self.evidence.cells_of(self.id) {
            let (requests, bad) = match key.arm {
                Arm::Old => (&mut counts.old_requests, &mut counts.old_bad),
                Arm::New => (&mut counts.new_requests, &mut counts.new_bad),
            };
            *requests += tally.requests;
            *bad += tally.failures;
        }
        counts
    }

    /// Returns a copy of the record with the current revision and fencing number.
    fn stamped(&self, record: &RolloutRecord) -> RolloutRecord {
        RolloutRecord { config: self.config, fence: self.lease.fence, ..record.clone() }
    }
}

/// Returns the lease if it is valid at `now`.
pub(crate) fn valid_lease(lease: Option<LeaseGrant>, now: Time) -> Option<LeaseGrant> {
    lease.filter(|lease| now < lease.valid_until)
}
