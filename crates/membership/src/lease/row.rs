//! The row of a lease, the calls on it and their results.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sesamewind_protocol::{Incarnation, InstanceId, Time};

/// One life of an instance, as the holder of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The instance.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// Content of a lease's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The instance that holds the lease; `None` after a release.
    pub holder: Option<InstanceId>,
    /// The holder's life.
    pub incarnation: Incarnation,
    /// Fencing counter; each take-over raises it and nothing lowers it.
    pub fence: u64,
    /// Length of the lease, in milliseconds.
    pub length_ms: u64,
}

impl LeaseRow {
    /// Length of the lease.
    pub fn length(&self) -> Duration {
        Duration::from_millis(self.length_ms)
    }

    /// Whether `holder` holds the lease by this row.
    pub fn is_held_by(&self, holder: &Holder) -> bool {
        self.holder.as_ref() == Some(&holder.instance) && self.incarnation == holder.incarnation
    }
}

/// A call on the row of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseCall {
    /// Read the row.
    Read {
        /// Key of the row.
        key: String,
    },
    /// Write the row if it has the expected revision.
    Write {
        /// Key of the row.
        key: String,
        /// Revision that the row must have; zero if it must not exist.
        expected: u64,
        /// New content.
        row: LeaseRow,
    },
}

/// Result of a [`LeaseCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// The row does not exist.
    Absent,
    /// The row as read, or as it stood when a write was refused.
    Row {
        /// Revision of the row.
        revision: u64,
        /// Content.
        row: LeaseRow,
    },
    /// The write took effect.
    Stored {
        /// New revision of the row.
        revision: u64,
    },
    /// The call surely had no effect.
    Unavailable,
    /// The call may have taken effect or may still do so.
    Unknown,
}

/// Spans of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Length of the lease.
    pub length: Duration,
    /// Taken off the length by the holder and added to it by all others.
    pub margin: Duration,
    /// Time between renewals.
    pub renew: Duration,
    /// Time between two looks at a row that another holds.
    pub poll: Duration,
    /// Wait before a call that failed is made again.
    pub retry: Duration,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            length: Duration::from_secs(9),
            margin: Duration::from_secs(1),
            renew: Duration::from_secs(3),
            poll: Duration::from_secs(3),
            retry: Duration::from_millis(500),
        }
    }
}

impl LeaseTiming {
    /// Reads a second of one lease's row that are aimed at over all instances.
    const READS_PER_S: f64 = 10.0;

    /// The spans for a deployment of `instances`: the more look at a row, the less often each does,
    /// but never less often than it takes to tell that the holder is gone.
    pub fn for_size(mut self, instances: usize) -> Self {
        let shared = Duration::from_secs_f64(instances as f64 / Self::READS_PER_S);
        self.poll = shared.clamp(self.poll, (self.length + self.margin).max(self.poll));
        self
    }
}

/// The right to act under a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Fencing counter that each write and order under the lease carries.
    pub fence: u64,
    /// When the right ends unless renewed; checked immediately before each use.
    pub valid_until: Time,
}
