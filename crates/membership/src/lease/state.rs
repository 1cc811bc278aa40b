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
pub(super) struct Seen {
    pub(super) revision: u64,
    pub(super) row: Option<LeaseRow>,
    pub(super) since: Time,
}

/// Another instance or nobody holds the lease.
#[derive(Debug)]
pub(super) struct Free {
    pub(super) seen: Option<Seen>,
}

/// A write that takes the lease over has been sent or is to be sent.
#[derive(Debug)]
pub(super) struct Acquiring {
    /// The row that the write replaces.
    pub(super) seen: Seen,
    pub(super) fence: u64,
    /// When the first write was sent whose result is not known.
    pub(super) unsettled: Option<Time>,
}

/// The lease is held, or was until it ran out and nobody has taken it over yet.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) revision: u64,
    pub(super) fence: u64,
    pub(super) valid_until: Time,
    /// When the first renewal was sent whose result is not known.
    pub(super) unsettled: Option<Time>,
}

/// The row is being written back as free.
#[derive(Debug)]
pub(super) struct Releasing {
    pub(super) revision: u64,
    pub(super) fence: u64,
}

impl Lease<Free> {
    pub(super) fn new(me: Holder, timing: LeaseTiming) -> Self {
        Self { me, timing, state: Free { seen: None } }
    }

    /// Takes note of the row. Only a row that was not seen at this revision before starts a new
    /// watch: an unchanged revision means that there was no write in between.
    pub(super) fn see(&mut self, revision: u64, row: Option<LeaseRow>, now: Time) {
        if self.state.seen.as_ref().is_some_and(|seen| seen.revision == revision) {
            return;
        }
        self.state.seen = Some(Seen { revision, row, since: now });
    }

    /// The row as last seen, if the lease may be taken over at `now`.
    pub(super) fn open_row(&self, now: Time) -> Option<Seen> {
        let seen = self.state.seen.as_ref()?;
        self.is_open(seen, now).then(|| seen.clone())
    }

    fn is_open(&self, seen: &Seen, now: Time) -> bool {
        let Some(row) = seen.row.as_ref().filter(|row| row.holder.is_some()) else {
            return true;
        };
        // An earlier write of this very life: nobody else acts under it.
        if row.is_held_by(&self.me) {
            return true;
        }
        let length = row.length().max(self.timing.length);
        now.since(seen.since) >= length + self.timing.margin
    }

    /// Sets out to take over the row `seen`.
    pub(super) fn acquire(self, seen: Seen) -> Lease<Acquiring> {
        let fence = seen.row.as_ref().map_or(0, |row| row.fence) + 1;
        let state = Acquiring { seen, fence, unsettled: None };
        Lease { me: self.me, timing: self.timing, state }
    }
}

impl Lease<Acquiring> {
    /// The take-over is in the row under `revision`; its first possible write was sent at `sent`.
    pub(super) fn hold(self, revision: u64, sent: Time) -> Lease<Held> {
        let valid_until = sent + self.timing.length - self.timing.margin;
        let fence = self.state.fence;
        let state = Held { revision, fence, valid_until, unsettled: None };
        Lease { me: self.me, timing: self.timing, state }
    }

    /// Another was faster, or the write surely had no effect.
    pub(super) fn give_up(self) -> Lease<Free> {
        Lease { me: self.me, timing: self.timing, state: Free { seen: Some(self.state.seen) } }
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
        self.state.unsettled = None;
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
    pub(super) fn done(self) -> Lease<Free> {
        Lease::new(self.me, self.timing)
    }
}
