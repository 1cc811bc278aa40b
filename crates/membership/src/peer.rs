//! The state kept for one other instance.

use std::time::Duration;

use sesamewind_protocol::message::{MemberEntry, MemberState};
use sesamewind_protocol::{Incarnation, InstanceId, Time, ZoneId};

use crate::Timing;

/// Consecutive failed exchanges after which a peer counts as unreachable.
const MAX_FAILURES: u32 = 2;

/// Snapshot of a peer, returned by [`crate::Members`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownPeer {
    /// The instance.
    pub instance: InstanceId,
    /// Its newest known incarnation; zero if only the list has named it.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region; empty if unknown.
    pub region: String,
    /// Address for messages between instances.
    pub address: String,
    /// Its membership state.
    pub state: MemberState,
    /// Whether it answers messages from this instance.
    pub reachable: bool,
    /// Whether messages from it are arriving.
    pub receiving: bool,
}

#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) instance: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) zone: ZoneId,
    pub(crate) region: String,
    pub(crate) address: String,
    pub(crate) state: MemberState,
    /// When `state` last changed.
    pub(crate) state_since: Time,
    /// Whether the latest list from the platform contains it.
    pub(crate) listed: bool,
    /// When its last message arrived; if none has, when it became known.
    pub(crate) last_received: Time,
    /// Start of the current period in which its messages arrive without a gap.
    pub(crate) contact_since: Time,
    /// When it last answered a message.
    pub(crate) last_answered: Option<Time>,
    /// When a message was last sent to it.
    pub(crate) last_sent: Option<Time>,
    /// Consecutive exchanges that it did not answer.
    pub(crate) failures: u32,
    /// Penalty for flapping, as of `penalty_at`.
    penalty: f64,
    penalty_at: Time,
    /// Number of messages in which its last change still has to be relayed.
    pub(crate) relays_left: u32,
}

impl Peer {
    pub(crate) fn new(instance: &InstanceId, zone: &ZoneId, address: &str, now: Time) -> Self {
        Self {
            instance: instance.clone(),
            incarnation: Incarnation::default(),
            zone: zone.clone(),
            region: String::new(),
            address: address.to_owned(),
            state: MemberState::Live,
            state_since: now,
            listed: false,
            last_received: now,
            contact_since: now,
            last_answered: None,
            last_sent: None,
            failures: 0,
            penalty: 0.0,
            penalty_at: now,
            relays_left: 0,
        }
    }

    /// Whether it is assumed to be running; it may be stopping.
    pub(crate) fn is_up(&self) -> bool {
        matches!(self.state, MemberState::Live | MemberState::Leaving)
    }

    /// Whether it answers messages from this instance. Until the first exchange has ended, a peer
    /// that is assumed to be running counts as reachable.
    pub(crate) fn is_reachable(&self, now: Time, timeout: Duration) -> bool {
        if self.failures >= MAX_FAILURES || self.state == MemberState::Removed {
            return false;
        }
        match self.last_answered {
            Some(answered) => now.since(answered) <= timeout || self.failures == 0 && self.is_up(),
            None => self.failures == 0 && self.is_up(),
        }
    }

    /// Whether messages should be sent to it. A removed peer is contacted only while it is listed.
    pub(crate) fn is_callable(&self) -> bool {
        !self.address.is_empty() && (self.listed || self.state != MemberState::Removed)
    }

    /// Whether both its address and its incarnation are known, so that it can be relayed.
    pub(crate) fn is_identified(&self) -> bool {
        !self.address.is_empty() && self.incarnation != Incarnation::default()
    }

    /// Time of the last exchange in either direction.
    pub(crate) fn last_exchange(&self) -> Option<Time> {
        self.last_answered
            .max(Some(self.last_received).filter(|_| self.incarnation != Incarnation::default()))
    }

    /// Sets the state and schedules the change for relaying; returns whether the state changed.
    pub(crate) fn set_state(&mut self, state: MemberState, now: Time, relay_count: u32) -> bool {
        if self.state == state {
            return false;
        }
        self.state = state;
        self.state_since = now;
        self.relays_left = relay_count;
        true
    }

    /// Starts a new incarnation and resets everything known about the previous one.
    pub(crate) fn restart(&mut self, incarnation: Incarnation, now: Time, relay_count: u32) {
        self.incarnation = incarnation;
        self.state = MemberState::Live;
        self.state_since = now;
        self.last_received = now;
        self.contact_since = now;
        self.last_answered = None;
        self.failures = 0;
        self.relays_left = relay_count;
    }

    /// Adds a penalty point for a return after a loss of contact.
    pub(crate) fn add_penalty(&mut self, now: Time, timing: &Timing) {
        self.penalty = self.penalty(now, timing) + 1.0;
        self.penalty_at = now;
    }

    fn penalty(&self, now: Time, timing: &Timing) -> f64 {
        let halvings = now.since(self.penalty_at).as_secs_f64() / timing.half_life.as_secs_f64();
        self.penalty * (-halvings).exp2()
    }

    /// Time for which it must send without a gap before it becomes live again.
    pub(crate) fn probation(&self, now: Time, timing: &Timing) -> Duration {
        let excess = self.penalty(now, timing) - timing.tolerance;
        if excess <= 0.0 {
            return Duration::ZERO;
        }
        let probation = timing.min_probation.as_secs_f64() * excess.exp2();
        Duration::from_secs_f64(probation.min(timing.max_probation.as_secs_f64()))
    }

    pub(crate) fn entry(&self) -> MemberEntry {
        MemberEntry {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            zone: self.zone.clone(),
            address: self.address.clone(),
            state: self.state,
        }
    }

    pub(crate) fn to_known(&self, now: Time, timeout: Duration) -> KnownPeer {
        KnownPeer {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            zone: self.zone.clone(),
            region: self.region.clone(),
            address: self.address.clone(),
            state: self.state,
            reachable: self.is_reachable(now, timeout),
            receiving: now.since(self.last_received) <= timeout,
        }
    }
}
