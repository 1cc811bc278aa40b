//! Local copy of the rows of one topic, used by this instance and served to its peers.

use std::collections::BTreeMap;

use sesamewind_protocol::relay::{RowsReply, StoreRow};

/// Rows of one topic. Deleted rows are kept without a value, so that peers learn of the deletion.
#[derive(Debug, Default)]
pub struct RowCache {
    rows: BTreeMap<String, StoreRow>,
    /// Newest version when all rows were last read. Deletions up to this version are unknown, so a
    /// peer with an older version is sent all rows.
    base: u64,
    newest: u64,
}

impl RowCache {
    /// Returns the newest version of any row.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Applies changed rows and returns those that are newer than the cached ones.
    pub fn apply_changes(&mut self, rows: Vec<StoreRow>) -> Vec<StoreRow> {
        let mut newer = Vec::new();
        for row in rows {
            if self.rows.get(&row.key).is_none_or(|known| known.version < row.version) {
                self.newest = self.newest.max(row.version);
                self.rows.insert(row.key.clone(), row.clone());
                newer.push(row);
            }
        }
        newer
    }

    /// Replaces the cached rows by a complete set.
    pub fn replace(&mut self, rows: &[StoreRow]) {
        self.rows = rows.iter().map(|row| (row.key.clone(), row.clone())).collect();
        let newest = rows.iter().map(|row| row.version).max().unwrap_or(0);
        self.newest = self.newest.max(newest);
        self.base = self.newest;
    }

    /// Returns the rows for a peer that has all changes up to version `after`.
    pub fn since(&self, after: u64) -> RowsReply {
        let whole = after < self.base;
        let rows = self
            .rows
            .values()
            .filter(|row| if whole { row.value.is_some() } else { row.version > after });
        RowsReply { whole, newest: self.newest, rows: rows.cloned().collect() }
    }
}
