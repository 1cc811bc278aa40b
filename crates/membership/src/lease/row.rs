//! The row of a lease, the calls on it, and their results.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sesamewind_protocol::{Incarnation, InstanceId, Time};

/// Holder of a lease: one incarnation of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The instance.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Content of a lease's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Instance that holds the lease; `None` after a release.
    pub holder: Option<InstanceId>,
    /// The holder's incarnation.
    pub incarnation: Incarnation,
    /// Fencing number; incremented by each takeover and never decreased.
    pub fence: u64,
    /// Length of the lease, in milliseconds.
    pub length_ms: u64,
}

impl LeaseRow {
    /// Returns the length of the lease.
    pub fn length(&self) -> Duration {
        Duration::from_millis(self.length_ms)
    }

    /// Whether this row names `holder` as the holder of the lease.
    pub fn is_held_by(&self, holder: &Holder) -> bool {
        self.holder.as_ref() == Some(&holder.instance) && self.incarnation == holder.incarnation
    }
}

/// A call on the row of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseCall {
    /// Reads the row.
    Read {
        /// Key of the row.
        key: String,
    },
    /// Writes the row if it has the expected revision.
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
    /// The row as read, or the current row if a write was refused.
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
    /// The call had no effect and will have none.
    Unavailable,
    /// The call may have taken effect, or may still do so.
    Unknown,
}

/// Length and intervals of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Length of the lease.
    pub length: Duration,
    /// Time that the holder subtracts from the length and all others add to it. It allows for
    /// clocks that run at different rates.
    pub margin: Duration,
    /// Time between renewals.
    pub renew: Duration,
    /// Time between two reads of the row while another instance holds the lease.
    pub poll: Duration,
    /// Delay before a failed call is retried.
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
    /// Target rate of reads of one lease's row, summed over all instances.
    const READS_PER_S: f64 = 10.0;

    /// Returns the timing for a deployment of `instances`.
    ///
    /// The poll interval grows with the number of instances, to limit the total rate of reads. It
    /// never exceeds the time after which a lease without renewals can be taken over.
    pub fn for_size(mut self, instances: usize) -> Self {
        let shared = Duration::from_secs_f64(instances as f64 / Self::READS_PER_S);
        self.poll = shared.clamp(self.poll, (self.length + self.margin).max(self.poll));
        self
    }
}

/// Permission to act under a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Fencing number that each write and order under the lease carries.
    pub fence: u64,
    /// When the grant expires unless renewed; checked immediately before each use.
    pub valid_until: Time,
}
