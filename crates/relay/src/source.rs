//! Interface to the platform's store, as used by [`crate::watch`].

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use sesamewind_gateway::quota::SavedUsage;
use sesamewind_gateway::rollouts::{RolloutOrder, RolloutRecord};
use sesamewind_gateway::targets::TargetChange;
use sesamewind_gateway::{Routing, SavedPart};
use sesamewind_protocol::relay::{StorePosition, StoreRow, Topic};
use sesamewind_protocol::{InstanceId, PartId, ZoneId};

/// A decoded change of a row.
#[derive(Debug, Clone, PartialEq)]
pub enum Notice {
    /// A new configuration.
    Routing(Box<Routing>),
    /// A listed or removed target.
    Target(TargetChange),
    /// An order to roll a service out to another version.
    Order(RolloutOrder),
    /// An order to evacuate an availability zone, or its removal.
    Zone {
        /// The zone.
        zone: ZoneId,
        /// Whether the order exists.
        evacuated: bool,
        /// Version of the store at the row's last change.
        version: u64,
    },
    /// An entry that can't be decoded.
    Damaged {
        /// Key of the entry.
        key: String,
        /// Description of the error.
        fault: String,
    },
}

/// Rows returned by a read of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// Position of the store up to which the batch is complete. The versions of all rows are of its
    /// era.
    pub position: StorePosition,
    /// Changed rows in order, or all rows.
    pub rows: Vec<StoreRow>,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SourceError {
    /// The requested history is no longer available; all rows must be read again.
    #[error("history is no longer available")]
    HistoryGone,
    /// The store rejected the call without executing it.
    #[error("rejected with status {0}")]
    Rejected(u16),
    /// No answer was received, so the call may have been executed.
    #[error("no answer: {0}")]
    Lost(String),
    /// The answer can't be decoded.
    #[error("unreadable answer: {0}")]
    Unreadable(String),
}

/// Announcement of an instance in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address of the inner listener.
    pub address: SocketAddr,
}

/// Saved usage of account limits and its age.
#[derive(Debug, Clone, PartialEq)]
pub struct AgedUsage {
    /// Time since the usage was saved.
    pub age: Duration,
    /// Saved usage by account.
    pub usage: Vec<SavedUsage>,
}

/// Client of the platform's store.
pub trait Source: fmt::Debug {
    /// Reads all rows of `topic`.
    fn read(&self, topic: Topic) -> LocalBoxFuture<'_, Result<Batch, SourceError>>;

    /// Waits up to `wait` for changes of `topic` after `after`, and returns them. If the store's era
    /// has changed since, the batch only tells the new one and has no rows.
    fn changes(
        &self,
        topic: Topic,
        after: StorePosition,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Batch, SourceError>>;

    /// Decodes rows of `topic`.
    fn decode(&self, topic: Topic, rows: &[StoreRow]) -> Vec<Notice>;

    /// Records the state of a rollout, unless its outcome is already recorded. Returns the record
    /// that the store has afterwards.
    fn record_rollout<'a>(
        &'a self,
        record: &'a RolloutRecord,
    ) -> LocalBoxFuture<'a, Result<RolloutRecord, SourceError>>;

    /// Saves usage of account limits, replacing the previously saved one.
    fn save_usage<'a>(
        &'a self,
        usage: &'a [SavedUsage],
    ) -> LocalBoxFuture<'a, Result<(), SourceError>>;

    /// Reads the saved usage with its age; none if nothing was saved yet.
    fn saved_usage(&self) -> LocalBoxFuture<'_, Result<Option<AgedUsage>, SourceError>>;

    /// Saves the state of a prompt part; without a hold, its requests are accepted again.
    fn save_part<'a>(
        &'a self,
        part: PartId,
        saved: Option<&'a SavedPart>,
    ) -> LocalBoxFuture<'a, Result<(), SourceError>>;

    /// Reads the prompt parts whose requests are refused.
    fn saved_parts(&self) -> LocalBoxFuture<'_, Result<Vec<SavedPart>, SourceError>>;

    /// Writes this instance's announcement.
    fn announce<'a>(&'a self, me: &'a Announcement) -> LocalBoxFuture<'a, Result<(), SourceError>>;

    /// Reads the announcements of all instances.
    fn instances(&self) -> LocalBoxFuture<'_, Result<Vec<Announcement>, SourceError>>;
}
