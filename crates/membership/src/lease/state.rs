//! Life cycle of a lease: free, being acquired, held, being released.
//!
//! Each state is a type of its own and each transition consumes the one before, so that only a held
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

/// The row as last seen, and since when it has not changed.
#[derive(Debug, Clone)]
pub(super) struct Observed {
    pub(super) revision: u64,
    pub(super) row: Option<LeaseRow>,
    pub(super) since: Time,
}

/// Another instance or nobody holds the lease.
#[derive(Debug)]
pub(super) struct Free {
    pub(super) observed: Option<Observed>,
}

/// A write that takes the lease over has been sent or is to be sent.
#[derive(Debug)]
pub(super) struct Acquiring {
    /// The row that the write replaces.
    pub(super) observed: Observed,
    pub(super) fence: u64,
    /// When the first write was sent whose result is not known.
    pub(super) unresolved: Option<Time>,
}

/// The lease is held, or was until it ran out and nobody has taken it over yet.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) revision: u64,
    pub(super) fence: u64,
    pub(super) valid_until: Time,
    /// When the first renewal was sent whose result is not known.
    pub(super) unresolved: Option<Time>,
}

/// The row is being written back as free.
#[derive(Debug)]
pub(super) struct Releasing {
    pub(super) revision: u64,
    pub(super) fence: u64,
}

impl Lease<Free> {
    pub(super) fn new(me: Holder, timing: LeaseTiming) -> Self {
        Self { me, timing, state: Free { observed: None } }
    }

    /// Takes note of the row. Only a row that was not seen at this revision before starts a new
    /// watch: an unchanged revision means that there was no write in between.
    pub(super) fn observe(&mut self, revision: u64, row: Option<LeaseRow>, now: Time) {
        if self.state.observed.as_ref().is_some_and(|observed| observed.revision == revision) {
            return;
        }
        self.state.observed = Some(Observed { revision, row, since: now });
    }

    /// The row as last seen, if the lease may be taken over at `now`.
    pub(super) fn available_row(&self, now: Time) -> Option<Observed> {
        let observed = self.state.observed.as_ref()?;
        self.is_available(observed, now).then(|| observed.clone())
    }

    fn is_available(&self, observed: &Observed, now: Time) -> bool {
        let Some(row) = observed.row.as_ref().filter(|row| row.holder.is_some()) else {
            return true;
        };
        // An earlier write of this very life: nobody else acts under it.
        if row.is_held_by(&self.me) {
            return true;
        }
        let length = row.length().max(self.timing.length);
        now.since(observed.since) >= length + self.timing.margin
    }

    /// Sets out to take over the row `seen`.
    pub(super) fn acquire(self, observed: Observed) -> Lease<Acquiring> {
        let fence = observed.row.as_ref().map_or(0, |row| row.fence) + 1;
        let state = Acquiring { observed, fence, unresolved: None };
        Lease { me: self.me, timing: self.timing, state }
    }
}

impl Lease<Acquiring> {
    /// The take-over is in the row under `revision`; its first possible write was sent at `sent`.
    pub(super) fn acquired(self, revision: u64, sent: Time) -> Lease<Held> {
        let valid_until = sent + self.timing.length - self.timing.margin;
        let fence = self.state.fence;
        let state = Held { revision, fence, valid_until, unresolved: None };
        Lease { me: self.me, timing: self.timing, state }
    }

    /// Another was faster, or the write surely had no effect.
    pub(super) fn abandon(self) -> Lease<Free> {
        Lease {
            me: self.me,
            timing: self.timing,
            state: Free { observed: Some(self.state.observed) },
        }
    }
}

impl Lease<Held> {
    /// The right to act at `now`.
    pub(super) fn grant(&self, now: Time) -> Option<Grant> {
        let Held { fence, valid_until, .. } = self.state;
        (now < valid_until).then_some(Grant { fence, valid_until })
    }

    /// The row has `revision` by a renewal that was sent at `sent` or later.
    pub(super) fn renew(&mut self, revision: u64, sent: Time) {
        self.state.revision = revision;
        let until = sent + self.timing.length - self.timing.margin;
        self.state.valid_until = self.state.valid_until.max(until);
        self.state.unresolved = None;
    }

    /// Another has taken the lease over.
    pub(super) fn lose(self) -> Lease<Free> {
        Lease::new(self.me, self.timing)
    }

    /// Gives the lease back; from here on there is no grant.
    pub(super) fn release(self) -> Lease<Releasing> {
        let Held { revision, fence, .. } = self.state;
        Lease { me: self.me, timing: self.timing, state: Releasing { revision, fence } }
    }
}

impl Lease<Releasing> {
    /// The row is free, or another's.
    pub(super) fn finish(self) -> Lease<Free> {
        Lease::new(self.me, self.timing)
    }
}
