//! Counts of ended requests: this instance's own and those merged from its peers.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewind_protocol::evidence::{Arm, EvidenceCell};
use sesamewind_protocol::{Incarnation, InstanceId, RolloutId, RouteId};

use crate::histogram;
use crate::input::EndState;

/// Highest length class.
const MAX_CLASS: u8 = 6;
/// Cells that are kept at most; further ones are not taken.
const MAX_CELLS: usize = 50_000;

/// The length class of a prompt, by powers of ten of its tokens.
pub fn length_class(prompt_tokens: u64) -> u8 {
    let digits = prompt_tokens.checked_ilog10().unwrap_or(0);
    u8::try_from(digits).unwrap_or(MAX_CLASS).min(MAX_CLASS)
}

/// What a cell counts, apart from its rollout.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CellKey {
    /// The stage.
    pub(crate) stage: u8,
    /// The route.
    pub(crate) route: RouteId,
    /// The length class.
    pub(crate) class: u8,
    /// The arm.
    pub(crate) arm: Arm,
    /// The instance that counted.
    pub(crate) instance: InstanceId,
    /// Its life.
    pub(crate) incarnation: Incarnation,
}

/// Counts of one cell.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tally {
    /// Requests that ended.
    pub(crate) requests: u64,
    /// Those that failed.
    pub(crate) failures: u64,
    /// The others by duration.
    pub(crate) durations: Vec<u32>,
    /// Change number of the last change.
    changed: u64,
}

/// Grow-only counts of all rollouts.
///
/// Each cell is written by one life of one instance, so the larger of two counts is the later one
/// and merging is idempotent and commutative.
#[derive(Debug, Default)]
pub struct Evidence {
    cells: BTreeMap<RolloutId, BTreeMap<CellKey, Tally>>,
    cell_count: usize,
    changes: u64,
}

impl Evidence {
    /// Counts one request that ended at the instance named in `key`.
    pub(crate) fn count(
        &mut self,
        rollout: &RolloutId,
        key: CellKey,
        outcome: EndState,
        duration: Duration,
    ) {
        self.changes += 1;
        let changes = self.changes;
        let Some(tally) = self.tally_mut(rollout, key) else { return };
        tally.changed = changes;
        tally.requests += 1;
        match outcome {
            EndState::Failed => tally.failures += 1,
            EndState::Ok => {
                histogram::count(&mut tally.durations, histogram::bucket_of(duration));
            }
        }
    }

    /// Merges a cell; true if it held something new.
    pub fn merge(&mut self, cell: &EvidenceCell) -> bool {
        let key = CellKey {
            stage: cell.stage,
            route: cell.route.clone(),
            class: cell.class.min(MAX_CLASS),
            arm: cell.arm,
            instance: cell.instance.clone(),
            incarnation: cell.incarnation,
        };
        let changes = self.changes + 1;
        let Some(tally) = self.tally_mut(&cell.rollout, key) else { return false };
        if cell.requests <= tally.requests {
            return false;
        }
        tally.requests = cell.requests;
        tally.failures = tally.failures.max(cell.failures);
        histogram::raise(&mut tally.durations, &cell.durations);
        tally.changed = changes;
        self.changes = changes;
        true
    }

    /// Drops the counts of a rollout.
    pub(crate) fn forget(&mut self, rollout: &RolloutId) {
        if let Some(cells) = self.cells.remove(rollout) {
            self.cell_count -= cells.len();
        }
    }

    /// Number of the last change, to be handed to [`Evidence::changed_since`] later.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Cells that changed after change number `mark`; zero for all.
    pub fn changed_since(&self, after: u64) -> Vec<EvidenceCell> {
        let mut changed = Vec::new();
        for (rollout, cells) in &self.cells {
            for (key, tally) in cells.iter().filter(|(_, tally)| tally.changed > after) {
                changed.push(cell_of(rollout, key, tally));
            }
        }
        changed
    }

    /// The cells of one rollout.
    pub(crate) fn cells_of(&self, rollout: &RolloutId) -> impl Iterator<Item = (&CellKey, &Tally)> {
        self.cells.get(rollout).into_iter().flatten()
    }

    /// Requests that ended at `arm` during any stage.
    pub(crate) fn requests(&self, rollout: &RolloutId, arm: Arm) -> u64 {
        let cells = self.cells_of(rollout).filter(|(key, _)| key.arm == arm);
        cells.map(|(_, tally)| tally.requests).sum()
    }

    fn tally_mut(&mut self, rollout: &RolloutId, key: CellKey) -> Option<&mut Tally> {
        let cells = self.cells.entry(rollout.clone()).or_default();
        if !cells.contains_key(&key) {
            if self.cell_count >= MAX_CELLS {
                return None;
            }
            self.cell_count += 1;
        }
        Some(cells.entry(key).or_default())
    }
}

fn cell_of(rollout: &RolloutId, key: &CellKey, tally: &Tally) -> EvidenceCell {
    EvidenceCell {
        instance: key.instance.clone(),
        incarnation: key.incarnation,
        rollout: rollout.clone(),
        stage: key.stage,
        arm: key.arm,
        route: key.route.clone(),
        class: key.class,
        requests: tally.requests,
        failures: tally.failures,
        durations: tally.durations.clone(),
    }
}
