//! State of one rollout at this instance.

use std::collections::BTreeMap;

use sesamewind_protocol::evidence::{Outcome, RolloutRecord, Stage, VerdictEntry};
use sesamewind_protocol::record::InstanceIncarnation;
use sesamewind_protocol::{TargetId, VersionId, WallTime};

use crate::judge::Snapshots;
use crate::plan::{Plan, stage_number};
use crate::spec::RolloutSpec;

/// What a peer has reported about the record.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerEntry {
    /// Revision of the record that the peer holds.
    pub(crate) revision: u64,
    /// The peer's requests in flight to the losing version.
    pub(crate) draining: u32,
}

/// Stage changes to keep. A request dispatched before the oldest one counts for the oldest stage.
const MAX_STAGE_CHANGES: usize = 16;

/// State of one rollout at this instance.
#[derive(Debug, Default)]
pub(crate) struct Entry {
    /// The row in the accepted sheet, if the sheet has one.
    pub(crate) spec: Option<RolloutSpec>,
    /// Revision of the record; zero if none is known.
    pub(crate) revision: u64,
    /// The newest known record.
    pub(crate) record: Option<RolloutRecord>,
    /// The verdict; never cleared or replaced.
    pub(crate) verdict: Option<VerdictEntry>,
    /// The round of the full stage whose requests caused a recheck. It has no effect once the
    /// record shows a later stage.
    pub(crate) suspect: Option<u8>,
    /// What each peer has reported about the record.
    pub(crate) peers: BTreeMap<InstanceIncarnation, PeerEntry>,
    /// Whether the evidence has changed since it was last judged.
    pub(crate) changed: bool,
    /// Stage numbers and the times from which they applied at this instance, oldest first.
    stage_changes: Vec<(WallTime, u8)>,
    /// Counts at earlier judgements.
    pub(crate) snapshots: Snapshots,
    /// Reachable targets without the new version, as of the last tick.
    pub(crate) missing: Vec<TargetId>,
    /// Whether fewer than half of the reachable targets had the old version loaded at the last
    /// tick.
    pub(crate) old_unloaded: bool,
    /// Targets of the sheet row that were unreachable at the last tick.
    pub(crate) unreachable: Vec<TargetId>,
}

impl Entry {
    /// Returns the recorded outcome.
    pub(crate) fn outcome(&self) -> Option<&Outcome> {
        self.record.as_ref()?.outcome.as_ref()
    }

    /// Returns whether an outcome is recorded.
    pub(crate) fn has_ended(&self) -> bool {
        self.outcome().is_some()
    }

    /// Returns whether the record has the same service and versions as the sheet row; true if
    /// either is missing.
    pub(crate) fn matches_spec(&self) -> bool {
        match (&self.spec, &self.record) {
            (Some(spec), Some(record)) => {
                spec.service == record.service && spec.from == record.from && spec.to == record.to
            }
            _ => true,
        }
    }

    /// Returns the stage that applies at this instance: the recorded one, or a recheck if the full
    /// stage is suspect.
    pub(crate) fn stage(&self) -> Stage {
        let stage = self.record.as_ref().map_or(Stage::Loading, |record| record.stage);
        match (stage, self.suspect) {
            (Stage::Full(round), Some(suspect)) if suspect == round => Stage::Recheck(round),
            _ => stage,
        }
    }

    /// Records the stage that applies from `wall` on, if it has changed.
    pub(crate) fn track_stage(&mut self, wall: WallTime) {
        let number = stage_number(self.stage());
        if self.stage_changes.last().is_some_and(|(_, last)| *last == number) {
            return;
        }
        if self.stage_changes.len() == MAX_STAGE_CHANGES {
            self.stage_changes.remove(0);
        }
        self.stage_changes.push((wall, number));
    }

    /// Returns the number of the stage that applied at this instance at `wall`.
    ///
    /// A request counts for the stage in which it was dispatched, because that stage's share
    /// decided its arm. Counting it at its end would bias the next stage with the slow requests of
    /// this one.
    pub(crate) fn stage_at(&self, wall: WallTime) -> u8 {
        let before = self.stage_changes.iter().rev().find(|(since, _)| *since <= wall);
        before.or(self.stage_changes.first()).map_or(0, |(_, number)| *number)
    }

    /// Returns the plan, if the rollout has both a row and a record.
    pub(crate) fn plan(&self) -> Option<Plan> {
        let spec = self.spec.as_ref()?;
        let record = self.record.as_ref()?;
        Some(Plan::new(spec.first_share, record.started, spec.deadline))
    }

    /// Returns the share of requests that go to the new version at `wall`.
    ///
    /// A verdict overrides everything else, except when it arrives after the completion and the old
    /// version may already be unloaded. After the deadline the new version gets requests only if a
    /// completion is known.
    pub(crate) fn share(&self, wall: WallTime) -> f64 {
        let (Some(spec), Some(record)) = (&self.spec, &self.record) else { return 0.0 };
        let completed = matches!(record.outcome, Some(Outcome::Completed { .. }));
        let rejected = self.verdict.is_some() && !(completed && self.old_unloaded);
        if rejected || !self.matches_spec() {
            return 0.0;
        }
        if completed {
            return 1.0;
        }
        if record.outcome.is_some() || wall >= spec.deadline {
            return 0.0;
        }
        let stage = self.stage();
        if stage == record.stage {
            return record.share;
        }
        self.plan().map_or(0.0, |plan| plan.share(stage).min(record.share))
    }

    /// Returns the version that lost, once an outcome is recorded.
    pub(crate) fn losing(&self) -> Option<&VersionId> {
        let record = self.record.as_ref()?;
        match record.outcome.as_ref()? {
            Outcome::Completed { .. } => Some(&record.from),
            Outcome::RolledBack { .. } => Some(&record.to),
        }
    }
}
