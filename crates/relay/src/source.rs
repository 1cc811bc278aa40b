//! The platform's store as the watchers see it.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use sesamewind_gateway::Routing;
use sesamewind_gateway::quota::SavedUsage;
use sesamewind_gateway::rollouts::{RolloutOrder, RolloutRecord};
use sesamewind_gateway::targets::TargetChange;
use sesamewind_protocol::relay::{StoreRow, Topic};
use sesamewind_protocol::{InstanceId, ZoneId};

/// One thing that changed.
#[derive(Debug, Clone, PartialEq)]
pub enum Notice {
    /// A configuration.
    Routing(Box<Routing>),
    /// A target.
    Target(TargetChange),
    /// An order to move a service to another version.
    Order(RolloutOrder),
    /// An entry that can't be read.
    Damaged {
        /// Its key.
        key: String,
        /// What is wrong with it.
        fault: String,
    },
}

/// What a read brought.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// Version of the store that the batch reaches to.
    pub version: u64,
    /// Rows that changed, in order, or all there are.
    pub rows: Vec<StoreRow>,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SourceError {
    /// The history that was asked for is gone; read the whole.
    #[error("history is gone")]
    HistoryGone,
    /// The store turned the call away without doing anything.
    #[error("turned away with status {0}")]
    Rejected(u16),
    /// No answer came, so the call may have been done.
    #[error("no answer: {0}")]
    Lost(String),
    /// The answer can't be read.
    #[error("unreadable answer: {0}")]
    Unreadable(String),
}

/// Another instance as it announced itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Name.
    pub instance: InstanceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address of its inner listener.
    pub address: SocketAddr,
}

/// Saved use of account limits.
#[derive(Debug, Clone, PartialEq)]
pub struct AgedUsage {
    /// Time since it was saved.
    pub age: Duration,
    /// The use.
    pub usage: Vec<SavedUsage>,
}

/// The platform's store.
pub trait Source: fmt::Debug {
    /// Reads everything there is of `topic`.
    fn read(&self, topic: Topic) -> LocalBoxFuture<'_, Result<Batch, SourceError>>;

    /// Waits up to `wait` for changes of `topic` after version `after`.
    fn changes(
        &self,
        topic: Topic,
        after: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Batch, SourceError>>;

    /// What rows say.
    fn decode(&self, topic: Topic, rows: &[StoreRow]) -> Vec<Notice>;

    /// Records the state of a move, unless the store has its outcome already. Returns what the
    /// store says afterwards.
    fn record_rollout<'a>(
        &'a self,
        record: &'a RolloutRecord,
    ) -> LocalBoxFuture<'a, Result<RolloutRecord, SourceError>>;

    /// Saves use of account limits in place of what was saved before.
    fn save_usage<'a>(
        &'a self,
        usage: &'a [SavedUsage],
    ) -> LocalBoxFuture<'a, Result<(), SourceError>>;

    /// Reads what was saved, with its age; none if nothing ever was.
    fn saved_usage(&self) -> LocalBoxFuture<'_, Result<Option<AgedUsage>, SourceError>>;

    /// Writes this instance's announcement.
    fn announce<'a>(&'a self, me: &'a Announcement) -> LocalBoxFuture<'a, Result<(), SourceError>>;

    /// Reads the announcements of all instances.
    fn instances(&self) -> LocalBoxFuture<'_, Result<Vec<Announcement>, SourceError>>;
}
