//! Drives one lease through its states, one call at a time.

use sesamewind_protocol::Time;

use super::row::{Grant, Holder, LeaseAnswer, LeaseCall, LeaseRow, LeaseTiming};
use super::state::{Acquiring, Free, Held, Lease, Releasing};

/// Prefix of the keys of lease rows.
const KEY_PREFIX: &str = "lease.";

#[derive(Debug)]
enum Phase {
    Free(Lease<Free>),
    Acquiring(Lease<Acquiring>),
    Held(Lease<Held>),
    Releasing(Lease<Releasing>),
}

/// Acquires, renews and releases the lease `lease.<name>` for one incarnation of an instance.
#[derive(Debug)]
pub struct LeaseManager {
    key: String,
    me: Holder,
    timing: LeaseTiming,
    /// `None` only during a transition.
    phase: Option<Phase>,
    /// When the call in flight was returned by [`LeaseManager::tick`].
    pending: Option<Time>,
    next_call: Time,
    stopped: bool,
}

impl LeaseManager {
    /// Creates a manager that does not hold the lease. The first tick reads the row.
    pub fn new(name: &str, me: Holder, timing: LeaseTiming) -> Self {
        let lease = Lease::new(me.clone(), timing);
        Self {
            key: format!("{KEY_PREFIX}{name}"),
            me,
            timing,
            phase: Some(Phase::Free(lease)),
            pending: None,
            next_call: Time::ZERO,
            stopped: false,
        }
    }

    /// Returns the key of the lease's row.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Returns the grant if the lease is held at `now`. The caller checks it immediately before
    /// each use.
    pub fn grant(&self, now: Time) -> Option<Grant> {
        match &self.phase {
            Some(Phase::Held(lease)) if !self.stopped => lease.grant(now),
            _ => None,
        }
    }

    /// Releases the lease for good. The grant ends immediately.
    pub fn release(&mut self, now: Time) {
        self.stopped = true;
        self.next_call = now;
        self.phase = match self.phase.take() {
            Some(Phase::Held(lease)) => Some(Phase::Releasing(lease.release())),
            other => other,
        };
        if self.pending.is_none() {
            self.abandon_acquire();
        }
    }

    /// Whether the release started by [`LeaseManager::release`] is complete.
    pub fn is_released(&self) -> bool {
        self.stopped && self.pending.is_none() && matches!(self.phase, Some(Phase::Free(_)))
    }

    /// Returns the next call to make at `now`. At most one call is in flight.
    pub fn tick(&mut self, now: Time) -> Option<LeaseCall> {
        if self.pending.is_some() || now < self.next_call || self.is_released() {
            return None;
        }
        self.start_acquire(now);
        let call = self.call()?;
        self.pending = Some(now);
        Some(call)
    }

    fn start_acquire(&mut self, now: Time) {
        if self.stopped {
            return;
        }
        self.phase = match self.phase.take() {
            Some(Phase::Free(lease)) => Some(match lease.available_row(now) {
                Some(observed) => Phase::Acquiring(lease.acquire(observed)),
                None => Phase::Free(lease),
            }),
            other => other,
        };
    }

    fn call(&self) -> Option<LeaseCall> {
        let key = self.key.clone();
        Some(match self.phase.as_ref()? {
            Phase::Free(_) => LeaseCall::Read { key },
            // The lease is no longer wanted, but the result of a lost write must be known before
            // the write can be undone.
            Phase::Acquiring(_) if self.stopped => LeaseCall::Read { key },
            Phase::Acquiring(lease) => {
                let Acquiring { observed, fence, .. } = &lease.state;
                LeaseCall::Write { key, expected: observed.revision, row: self.row(true, *fence) }
            }
            Phase::Held(lease) => {
                let Held { revision, fence, .. } = lease.state;
                LeaseCall::Write { key, expected: revision, row: self.row(true, fence) }
            }
            Phase::Releasing(lease) => {
                let Releasing { revision, fence } = lease.state;
                LeaseCall::Write { key, expected: revision, row: self.row(false, fence) }
            }
        })
    }

    fn row(&self, held: bool, fence: u64) -> LeaseRow {
        LeaseRow {
            holder: held.then(|| self.me.instance.clone()),
            incarnation: self.me.incarnation,
            fence,
            length_ms: u64::try_from(self.timing.length.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Applies the result of `call`, which [`LeaseManager::tick`] returned last.
    pub fn on_result(&mut self, call: &LeaseCall, result: LeaseAnswer, now: Time) {
        let Some(sent) = self.pending.take() else {
            return;
        };
        match result {
            LeaseAnswer::Stored { revision } => self.on_stored(call, revision, sent, now),
            LeaseAnswer::Absent => self.on_row(0, None, now),
            LeaseAnswer::Row { revision, row } => self.on_row(revision, Some(row), now),
            LeaseAnswer::Unavailable => self.on_unavailable(now),
            LeaseAnswer::Unknown => self.on_unknown(call, sent, now),
        }
    }

    fn on_stored(&mut self, call: &LeaseCall, revision: u64, sent: Time, now: Time) {
        self.phase = match self.phase.take() {
            // Earlier writes expected the same revision, so they had no effect and will have none.
            Some(Phase::Acquiring(lease)) => Some(self.on_acquired(lease, revision, sent, now)),
            Some(Phase::Held(mut lease)) => {
                lease.renew(revision, sent);
                self.next_call = sent + self.timing.renew;
                Some(Phase::Held(lease))
            }
            Some(Phase::Releasing(lease)) if is_release(call) => Some(Phase::Free(lease.finish())),
            Some(Phase::Releasing(mut lease)) => {
                // A renewal that was in flight when the release was requested.
                lease.state.revision = revision;
                Some(Phase::Releasing(lease))
            }
            other => other,
        };
    }

    fn on_unavailable(&mut self, now: Time) {
        self.next_call = now + self.timing.retry;
        if self.stopped {
            self.abandon_acquire();
        }
    }

    /// Abandons an acquisition of which no write can have taken effect.
    fn abandon_acquire(&mut self) {
        self.phase = match self.phase.take() {
            Some(Phase::Acquiring(lease)) if lease.state.unresolved.is_none() => {
                Some(Phase::Free(lease.abandon()))
            }
            other => other,
        };
    }

    fn on_acquired(
        &mut self,
        lease: Lease<Acquiring>,
        revision: u64,
        sent: Time,
        now: Time,
    ) -> Phase {
        let lease = lease.acquired(revision, sent);
        self.next_call = (sent + self.timing.renew).max(now);
        if self.stopped {
            self.next_call = now;
            return Phase::Releasing(lease.release());
        }
        Phase::Held(lease)
    }

    /// Handles a write of unknown result. The next write expects the same revision; if the lost one
    /// took effect, the next is refused, and the row returned with the refusal shows it.
    fn on_unknown(&mut self, call: &LeaseCall, sent: Time, now: Time) {
        self.next_call = now + self.timing.retry;
        if matches!(call, LeaseCall::Read { .. }) {
            return;
        }
        match &mut self.phase {
            Some(Phase::Acquiring(lease)) => {
                lease.state.unresolved.get_or_insert(sent);
            }
            Some(Phase::Held(lease)) => {
                lease.state.unresolved.get_or_insert(sent);
            }
            _ => {}
        }
    }

    /// Applies the current row, which was read or returned by a refused write.
    fn on_row(&mut self, revision: u64, row: Option<LeaseRow>, now: Time) {
        self.next_call = now;
        self.phase = match self.phase.take() {
            Some(Phase::Free(mut lease)) => {
                lease.observe(revision, row, now);
                if lease.available_row(now).is_none() {
                    self.next_call = now + self.timing.poll;
                }
                Some(Phase::Free(lease))
            }
            Some(Phase::Acquiring(lease)) => Some(self.resolve_acquire(lease, revision, row, now)),
            Some(Phase::Held(lease)) => Some(self.resolve_renewal(lease, revision, row, now)),
            Some(Phase::Releasing(lease)) => Some(self.resolve_release(lease, revision, row)),
            None => None,
        };
    }

    fn resolve_acquire(
        &mut self,
        lease: Lease<Acquiring>,
        revision: u64,
        row: Option<LeaseRow>,
        now: Time,
    ) -> Phase {
        let fence = lease.state.fence;
        let is_own_row = self.is_own_row(row.as_ref(), fence);
        if let (true, Some(sent)) = (is_own_row, lease.state.unresolved) {
            return self.on_acquired(lease, revision, sent, now);
        }
        if revision == lease.state.observed.revision && !self.stopped {
            // The lost write has not taken effect yet. It and its retry expect the same revision,
            // so only one of them can.
            return Phase::Acquiring(lease);
        }
        let mut lease = lease.abandon();
        lease.observe(revision, row, now);
        self.next_call = now + self.timing.poll;
        Phase::Free(lease)
    }

    fn resolve_renewal(
        &mut self,
        mut lease: Lease<Held>,
        revision: u64,
        row: Option<LeaseRow>,
        now: Time,
    ) -> Phase {
        let fence = lease.state.fence;
        let is_own_row = self.is_own_row(row.as_ref(), fence);
        if !is_own_row {
            let mut lease = lease.lose();
            lease.observe(revision, row, now);
            self.next_call = now + self.timing.poll;
            return Phase::Free(lease);
        }
        if let (true, Some(sent)) = (revision != lease.state.revision, lease.state.unresolved) {
            lease.renew(revision, sent);
        }
        lease.state.revision = revision;
        Phase::Held(lease)
    }

    fn resolve_release(
        &mut self,
        mut lease: Lease<Releasing>,
        revision: u64,
        row: Option<LeaseRow>,
    ) -> Phase {
        let fence = lease.state.fence;
        let is_own_row = self.is_own_row(row.as_ref(), fence);
        if !is_own_row {
            return Phase::Free(lease.finish());
        }
        lease.state.revision = revision;
        Phase::Releasing(lease)
    }

    fn is_own_row(&self, row: Option<&LeaseRow>, fence: u64) -> bool {
        row.is_some_and(|row| row.is_held_by(&self.me) && row.fence == fence)
    }
}

fn is_release(call: &LeaseCall) -> bool {
    matches!(call, LeaseCall::Write { row, .. } if row.holder.is_none())
}
