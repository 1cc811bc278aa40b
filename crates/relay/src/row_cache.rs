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
    /// Version of the store when all rows were last read. Deletions up to this version are unknown,
    /// so a peer with an older version is sent all rows.
    base: u64,
    newest: StorePosition,
    /// Position up to which all changes are in `rows`. It exceeds `newest` where the newest change
    /// was a deletion before all rows were read, or was of another topic.
    complete: StorePosition,
}

impl RowCache {
    /// Returns the newest position of any row.
    pub fn newest(&self) -> StorePosition {
        self.newest
    }

    /// Returns the position up to which the rows are complete.
    pub fn complete(&self) -> StorePosition {
        self.complete
    }

    /// Applies changed rows of the current era, which are all changes up to `position`, and returns
    /// those that are newer than the cached ones.
    pub fn apply_changes(&mut self, rows: Vec<StoreRow>, position: StorePosition) -> Vec<StoreRow> {
        let mut newer = Vec::new();
        for row in rows {
            if self.rows.get(&row.key).is_none_or(|known| known.version < row.version) {
                self.newest.version = self.newest.version.max(row.version);
                self.retained.remove(&row.key);
                self.rows.insert(row.key.clone(), row.clone());
                newer.push(row);
            }
        }
        self.complete = self.complete.max(position);
        newer
    }

    /// Replaces the cached rows by a complete set that was read at `position`, and returns those
    /// that are not in the set as deleted ones.
    pub fn replace(&mut self, rows: &[StoreRow], position: StorePosition) -> Vec<StoreRow> {
        if position.era > self.newest.era {
            self.newest = StorePosition { era: position.era, version: 0 };
            self.retained.clear();
        }
        let read = rows.iter().map(|row| (row.key.clone(), row.clone())).collect();
        let known = std::mem::replace(&mut self.rows, read).into_values();
        let missing = known
            .filter(|row| row.value.is_some() && !self.rows.contains_key(&row.key))
            .map(|row| StoreRow { version: position.version, value: None, ..row })
            .collect();
        let newest = rows.iter().map(|row| row.version).max().unwrap_or(0);
        self.newest.version = self.newest.version.max(newest);
        self.complete = self.complete.max(position);
        self.base = position.version;
        missing
    }

    /// Replaces the cached rows after the store came back from an older copy. Rows that this copy
    /// does not have as they were are retained for peers until they are written again.
    pub fn replace_and_retain(&mut self, rows: &[StoreRow], position: StorePosition) {
        let mut lost = std::mem::take(&mut self.retained);
        lost.extend(std::mem::take(&mut self.rows));
        self.replace(rows, position);
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
