//! Local copy of the rows of one topic, used by this instance and served to its peers.

use std::collections::BTreeMap;

use sesamewind_protocol::relay::{RowsReply, StorePosition, StoreRow};

/// Rows of one topic. Deleted rows are kept without a value, so that peers learn of the deletion.
#[derive(Debug, Default)]
pub struct RowCache {
    /// Rows by key; all versions are of the era of `newest`.
    rows: BTreeMap<String, StoreRow>,
    /// Rows of an earlier era that the store has lost or has in an older version, until they are
    /// written again.
    retained: BTreeMap<String, StoreRow>,
    /// Newest version when all rows were last read. Deletions up to this version are unknown, so a
    /// peer with an older version is sent all rows.
    base: u64,
    newest: StorePosition,
}

impl RowCache {
    /// Returns the newest position of any row.
    pub fn newest(&self) -> StorePosition {
        self.newest
    }

    /// Applies changed rows of the current era and returns those that are newer than the cached
    /// ones.
    pub fn apply_changes(&mut self, rows: Vec<StoreRow>) -> Vec<StoreRow> {
        let mut newer = Vec::new();
        for row in rows {
            if self.rows.get(&row.key).is_none_or(|known| known.version < row.version) {
                self.newest.version = self.newest.version.max(row.version);
                self.retained.remove(&row.key);
                self.rows.insert(row.key.clone(), row.clone());
                newer.push(row);
            }
        }
        newer
    }

    /// Replaces the cached rows by a complete set that was read in `era`.
    pub fn replace(&mut self, rows: &[StoreRow], era: u64) {
        if era > self.newest.era {
            self.newest = StorePosition { era, version: 0 };
            self.retained.clear();
        }
        self.rows = rows.iter().map(|row| (row.key.clone(), row.clone())).collect();
        let newest = rows.iter().map(|row| row.version).max().unwrap_or(0);
        self.newest.version = self.newest.version.max(newest);
        self.base = self.newest.version;
    }

    /// Replaces the cached rows after the store came back from an older copy. Rows that this copy
    /// does not have as they were are retained for peers until they are written again.
    pub fn replace_and_retain(&mut self, rows: &[StoreRow], era: u64) {
        let mut lost = std::mem::take(&mut self.retained);
        lost.extend(std::mem::take(&mut self.rows));
        self.replace(rows, era);
        lost.retain(|key, row| {
            let kept = self.rows.get(key).is_some_and(|known| known.value == row.value);
            row.value.is_some() && !kept
        });
        self.retained = lost;
    }

    /// Returns the rows for a peer that has all changes up to `after`.
    pub fn since(&self, after: StorePosition) -> RowsReply {
        let whole = after.era != self.newest.era || after.version < self.base;
        let rows = self
            .rows
            .values()
            .filter(|row| if whole { row.value.is_some() } else { row.version > after.version });
        RowsReply {
            whole,
            newest: self.newest,
            rows: rows.cloned().collect(),
            retained: self.retained.values().cloned().collect(),
        }
    }
}
