//! What an instance knows of one rollout.

use std::collections::BTreeMap;

use sesamewind_protocol::evidence::{Outcome, RolloutRecord, Stage, VerdictEntry};
use sesamewind_protocol::record::InstanceIncarnation;
use sesamewind_protocol::{TargetId, VersionId, WallTime};

use crate::judge::Snapshots;
use crate::plan::{Plan, stage_number};
use crate::spec::RolloutSpec;

/// A peer's knowledge of the outcome.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerEntry {
    /// Revision of the record that the peer holds.
    pub(crate) revision: u64,
    /// The peer's requests in flight to the version that lost.
    pub(crate) draining: u32,
}

/// Stage changes that are remembered; requests dispatched before them count for the oldest.
const MAX_STAGE_CHANGES: usize = 16;

/// One rollout in this instance's view.
#[derive(Debug, Default)]
pub(crate) struct Entry {
    /// Its row in the accepted sheet, while there is one.
    pub(crate) spec: Option<RolloutSpec>,
    /// Revision of the record; zero if none is known.
    pub(crate) revision: u64,
    /// The record.
    pub(crate) record: Option<RolloutRecord>,
    /// The verdict; once set it stays.
    pub(crate) verdict: Option<VerdictEntry>,
    /// The full stage whose requests gave rise to a recheck, until the record shows a later one.
    pub(crate) suspect: Option<u8>,
    /// What peers know of the record.
    pub(crate) peers: BTreeMap<InstanceIncarnation, PeerEntry>,
    /// Whether evidence changed since it was last judged.
    pub(crate) changed: bool,
    /// Stage numbers in force here and since when, oldest first.
    stage_changes: Vec<(WallTime, u8)>,
    /// Counts at earlier judgements.
    pub(crate) snapshots: Snapshots,
    /// Reachable targets that lack the new version, as of the last tick.
    pub(crate) missing: Vec<TargetId>,
    /// Whether fewer than half of the reachable targets held the old version at the last tick.
    pub(crate) old_unloaded: bool,
    /// Targets of the row that could not be reached at the last tick.
    pub(crate) unreachable: Vec<TargetId>,
}

impl Entry {
    /// The outcome, once one is recorded.
    pub(crate) fn outcome(&self) -> Option<&Outcome> {
        self.record.as_ref()?.outcome.as_ref()
    }

    /// Whether an outcome is recorded.
    pub(crate) fn has_ended(&self) -> bool {
        self.outcome().is_some()
    }

    /// Whether the record belongs to the move that the sheet states.
    pub(crate) fn matches_spec(&self) -> bool {
        match (&self.spec, &self.record) {
            (Some(spec), Some(record)) => {
                spec.service == record.service && spec.from == record.from && spec.to == record.to
            }
            _ => true,
        }
    }

    /// The stage in force here: the record's, lowered to a recheck on suspicion.
    pub(crate) fn stage(&self) -> Stage {
        let stage = self.record.as_ref().map_or(Stage::Loading, |record| record.stage);
        match (stage, self.suspect) {
            (Stage::Full(round), Some(suspect)) if suspect == round => Stage::Recheck(round),
            _ => stage,
        }
    }

    /// Notes the stage in force from `wall` on, if it is another than before.
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

    /// Number of the stage that was in force here at `wall`.
    ///
    /// A request counts for the stage of its dispatch: its arm was chosen by that stage's share,
    /// and those which end late would otherwise tilt the next stage.
    pub(crate) fn stage_at(&self, wall: WallTime) -> u8 {
        let before = self.stage_changes.iter().rev().find(|(since, _)| *since <= wall);
        before.or(self.stage_changes.first()).map_or(0, |(_, number)| *number)
    }

    /// The plan, if the rollout has a row and a record.
    pub(crate) fn plan(&self) -> Option<Plan> {
        let spec = self.spec.as_ref()?;
        let record = self.record.as_ref()?;
        Some(Plan::new(spec.first_share, record.started, spec.deadline))
    }

    /// Share of requests that go to the new version at `wall`.
    ///
    /// A verdict goes before everything else, but for one that arrives after the completion, when
    /// the old version may be loaded no longer. After the deadline only a known completion gives
    /// the new version requests.
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

    /// The version that lost, once the outcome is recorded.
    pub(crate) fn losing(&self) -> Option<&VersionId> {
        let record = self.record.as_ref()?;
        match record.outcome.as_ref()? {
            Outcome::Completed { .. } => Some(&record.from),
            Outcome::RolledBack { .. } => Some(&record.to),
        }
    }
}
