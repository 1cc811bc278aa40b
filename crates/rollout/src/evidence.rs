//! Counts of ended requests, both this instance's own and those merged from peers.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewind_protocol::evidence::{Arm, EvidenceCell};
use sesamewind_protocol::{Incarnation, InstanceId, RolloutId, RouteId};

use crate::histogram;
use crate::input::EndState;

/// Highest length class.
const MAX_CLASS: u8 = 6;
/// Maximum number of cells; further ones are ignored.
const MAX_CELLS: usize = 50_000;

/// Returns the length class of a prompt: the power of ten of its token count.
pub fn length_class(prompt_tokens: u64) -> u8 {
    let digits = prompt_tokens.checked_ilog10().unwrap_or(0);
    u8::try_from(digits).unwrap_or(MAX_CLASS).min(MAX_CLASS)
}

/// Identifies a cell within its rollout.
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
    /// The instance that counted the requests.
    pub(crate) instance: InstanceId,
    /// The incarnation of the instance.
    pub(crate) incarnation: Incarnation,
}

/// Counts of one cell.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tally {
    /// Requests that ended.
    pub(crate) requests: u64,
    /// Requests that failed.
    pub(crate) failures: u64,
    /// Requests that did not fail, by duration bucket.
    pub(crate) durations: Vec<u32>,
    /// Number of the last change to this cell.
    changed: u64,
}

/// Grow-only counts of all rollouts.
///
/// Each cell is written by one incarnation of one instance, so of two counts the larger one is
/// newer, and merging is idempotent and commutative.
#[derive(Debug, Default)]
pub struct Evidence {
    cells: BTreeMap<RolloutId, BTreeMap<CellKey, Tally>>,
    cell_count: usize,
    changes: u64,
}

impl Evidence {
    /// Counts one ended request in the cell `key`.
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

    /// Merges a cell. Returns whether it contained new counts.
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

    /// Returns the number of the last change, to pass to [`Evidence::changed_since`] later.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the cells that changed after change number `after`, or all cells if it is zero.
    pub fn changed_since(&self, after: u64) -> Vec<EvidenceCell> {
        let mut changed = Vec::new();
        for (rollout, cells) in &self.cells {
            for (key, tally) in cells.iter().filter(|(_, tally)| tally.changed > after) {
                changed.push(cell_of(rollout, key, tally));
            }
        }
        changed
    }

    /// Returns the cells of one rollout.
    pub(crate) fn cells_of(&self, rollout: &RolloutId) -> impl Iterator<Item = (&CellKey, &Tally)> {
        self.cells.get(rollout).into_iter().flatten()
    }

    /// Returns the requests that ended at `arm`, over all stages.
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
