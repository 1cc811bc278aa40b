//! States of a lease: free, being acquired, held, being released.
//!
//! Each state is a type of its own, and each transition consumes the previous state. Only a held
//! lease has a grant.

use sesamewind_protocol::Time;

use super::row::{Grant, Holder, LeaseRow, LeaseTiming};

/// A lease in state `S`.
#[derive(Debug)]
pub(super) struct Lease<S> {
    pub(super) me: Holder,
    pub(super) timing: LeaseTiming,
    pub(super) state: S,
}

/// The row as last observed, and the time since which it has not changed.
#[derive(Debug, Clone)]
pub(super) struct Observed {
    pub(super) revision: u64,
    pub(super) row: Option<LeaseRow>,
    pub(super) since: Time,
}

/// This instance does not hold the lease; another one may.
#[derive(Debug)]
pub(super) struct Free {
    pub(super) observed: Option<Observed>,
}

/// The write that acquires the lease is to be sent or has been sent.
#[derive(Debug)]
pub(super) struct Acquiring {
    /// The row that the write replaces.
    pub(super) observed: Observed,
    pub(super) fence: u64,
    /// When the first write of unknown result was sent.
    pub(super) unresolved: Option<Time>,
}

/// The lease is held, or has expired without being known to be taken over.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) revision: u64,
    pub(super) fence: u64,
    pub(super) valid_until: Time,
    /// When the first renewal of unknown result was sent.
    pub(super) unresolved: Option<Time>,
}

/// The row is being rewritten without a holder.
#[derive(Debug)]
pub(super) struct Releasing {
    pub(super) revision: u64,
    pub(super) fence: u64,
}

impl Lease<Free> {
    pub(super) fn new(me: Holder, timing: LeaseTiming) -> Self {
        Self { me, timing, state: Free { observed: None } }
    }

    /// Records the row. The time since which it has not changed restarts only if the revision
    /// differs from the last one: an equal revision means that there was no write in between.
    pub(super) fn observe(&mut self, revision: u64, row: Option<LeaseRow>, now: Time) {
        if self.state.observed.as_ref().is_some_and(|observed| observed.revision == revision) {
            return;
        }
        self.state.observed = Some(Observed { revision, row, since: now });
    }

    /// Returns the row as last observed if the lease may be acquired at `now`.
    pub(super) fn available_row(&self, now: Time) -> Option<Observed> {
        let observed = self.state.observed.as_ref()?;
        self.is_available(observed, now).then(|| observed.clone())
    }

    fn is_available(&self, observed: &Observed, now: Time) -> bool {
        let Some(row) = observed.row.as_ref().filter(|row| row.holder.is_some()) else {
            return true;
        };
        // An earlier write of this incarnation, so no other instance acts under the lease.
        if row.is_held_by(&self.me) {
            return true;
        }
        let length = row.length().max(self.timing.length);
        now.since(observed.since) >= length + self.timing.margin
    }

    /// Starts to acquire the lease by replacing the row `observed`.
    pub(super) fn acquire(self, observed: Observed) -> Lease<Acquiring> {
        let fence = observed.row.as_ref().map_or(0, |row| row.fence) + 1;
        let state = Acquiring { observed, fence, unresolved: None };
        Lease { me: self.me, timing: self.timing, state }
    }
}

impl Lease<Acquiring> {
    /// Turns the lease into a held one: the row has `revision`, written by this instance. The first
    /// write that may have written it was sent at `sent`.
    pub(super) fn acquired(self, revision: u64, sent: Time) -> Lease<Held> {
        let valid_until = sent + self.timing.length - self.timing.margin;
        let fence = self.state.fence;
        let state = Held { revision, fence, valid_until, unresolved: None };
        Lease { me: self.me, timing: self.timing, state }
    }

    /// Abandons the attempt: another instance was faster, or no write can have taken effect.
    pub(super) fn abandon(self) -> Lease<Free> {
        Lease {
            me: self.me,
            timing: self.timing,
            state: Free { observed: Some(self.state.observed) },
        }
    }
}

impl Lease<Held> {
    /// Returns the grant, unless it has expired at `now`.
    pub(super) fn grant(&self, now: Time) -> Option<Grant> {
        let Held { fence, valid_until, .. } = self.state;
        (now < valid_until).then_some(Grant { fence, valid_until })
    }

    /// Extends the lease: the row has `revision` through a renewal that was sent at `sent` or
    /// later.
    pub(super) fn renew(&mut self, revision: u64, sent: Time) {
        self.state.revision = revision;
        let until = sent + self.timing.length - self.timing.margin;
        self.state.valid_until = self.state.valid_until.max(until);
        self.state.unresolved = None;
    }

    /// Ends the lease because another instance has taken it over.
    pub(super) fn lose(self) -> Lease<Free> {
        Lease::new(self.me, self.timing)
    }

    /// Starts to release the lease, which ends the grant.
    pub(super) fn release(self) -> Lease<Releasing> {
        let Held { revision, fence, .. } = self.state;
        Lease { me: self.me, timing: self.timing, state: Releasing { revision, fence } }
    }
}

impl Lease<Releasing> {
    /// Ends the release: the row has no holder or names another one.
    pub(super) fn finish(self) -> Lease<Free> {
        Lease::new(self.me, self.timing)
    }
}
