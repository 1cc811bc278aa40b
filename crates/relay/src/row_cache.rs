//! The rows of one topic as this instance has them, for itself and for its peers.

use std::collections::BTreeMap;

use sesamewind_protocol::relay::{RowsReply, StoreRow};

/// Rows of one topic. Dropped rows stay, so that peers learn of their removal.
#[derive(Debug, Default)]
pub struct RowCache {
    rows: BTreeMap<String, StoreRow>,
    /// Newest version when all rows were last read; what was dropped before is not known.
    base: u64,
    newest: u64,
}

impl RowCache {
    /// Newest version of a row.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Takes changed rows, and returns those that are newer than what was known.
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

    /// Takes all rows there are in place of what was known.
    pub fn replace(&mut self, rows: &[StoreRow]) {
        self.rows = rows.iter().map(|row| (row.key.clone(), row.clone())).collect();
        let newest = rows.iter().map(|row| row.version).max().unwrap_or(0);
        self.newest = self.newest.max(newest);
        self.base = self.newest;
    }

    /// Rows for a peer that has everything up to `after`.
    pub fn since(&self, after: u64) -> RowsReply {
        let whole = after < self.base;
        let rows = self
            .rows
            .values()
            .filter(|row| if whole { row.value.is_some() } else { row.version > after });
        RowsReply { whole, newest: self.newest, rows: rows.cloned().collect() }
    }
}
