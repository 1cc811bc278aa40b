//! Bodies and results of the calls to the platform.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sesamewind_membership::{ListedInstance, ListedTarget};

/// The platform's list of instances and targets; it may be out of date.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Entry instances.
    #[serde(default)]
    pub instances: Vec<ListedInstance>,
    /// Targets.
    #[serde(default)]
    pub targets: Vec<ListedTarget>,
}

/// A row of the table service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Revision of the row; it rises with each write.
    pub revision: u64,
    /// Content.
    pub value: Value,
}

/// A row with its key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyedRow {
    /// Key of the row.
    pub key: String,
    /// Revision of the row; it rises with each write.
    pub revision: u64,
    /// Content.
    pub value: Value,
}

/// Outcome of a conditional write that the table service processed.
#[derive(Debug, Clone, PartialEq)]
pub enum Put {
    /// The write took effect; the row now has this revision.
    Stored(u64),
    /// The row has another revision than expected, and nothing was written. A row that does not
    /// exist is given with revision zero and a null value.
    Conflict(Row),
}

/// Body of a conditional write.
#[derive(Debug, Serialize)]
pub(crate) struct PutBody<'a> {
    /// Revision that the row must have; zero if it must not exist.
    pub(crate) expected: u64,
    /// New content.
    pub(crate) value: &'a Value,
}

/// Answer to a conditional write that took effect.
#[derive(Debug, Deserialize)]
pub(crate) struct Stored {
    /// New revision.
    pub(crate) revision: u64,
}

/// Answer to a read of several rows.
#[derive(Debug, Deserialize)]
pub(crate) struct Rows {
    /// The rows.
    pub(crate) rows: Vec<KeyedRow>,
}
