//! The cases.

mod grace;
mod parted;
mod quarantined;
mod stale_peer;
mod uploads;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::Gateway;
use crate::record::Record;
use crate::store::Store;

/// What all cases use.
#[derive(Debug)]
pub struct Stage {
    /// Root of the repository.
    pub root: PathBuf,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    /// The store.
    pub store: Arc<Store>,
    /// What happened.
    pub record: Arc<Record>,
}

/// How a case ended.
#[derive(Debug)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken, in this way.
    Broken(String),
}

impl Stage {
    /// Creates a stage with an empty store.
    pub fn new(root: PathBuf, folder: PathBuf, has_trouble: bool) -> Self {
        Self { root, folder, has_trouble, store: Store::start(), record: Arc::new(Record::new()) }
    }

    /// Prepares an instance that uses the store directly.
    pub fn gateway(&self, name: &str) -> Gateway {
        Gateway::new(name, self.store.address, &self.root, &self.folder)
    }

    /// Waits until `at` on the record's clock.
    pub fn wait_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.record.now()));
    }
}

/// Plays the case with this name.
pub fn play(case: &str, stage: &Stage) -> Result<Verdict, String> {
    match case {
        "grace" => grace::play(stage),
        "stale-peer" => stale_peer::play(stage),
        "parted" => parted::play(stage),
        "quarantined" => quarantined::play(stage),
        "uploads" => uploads::play(stage),
        other => Err(format!("there is no case {other}")),
    }
}
