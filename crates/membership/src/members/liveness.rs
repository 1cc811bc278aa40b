//! Failure detection: suspicion, removal and recovery of peers by the time since the last message.

use std::time::Duration;

use sesamewind_protocol::Time;
use sesamewind_protocol::message::MemberState;

use super::{MemberEvent, Members};
use crate::Timing;
use crate::peer::Peer;

impl Members {
    /// Returns the time added to the heartbeat timeout for instances of other zones. They are
    /// silent for longer because each round contacts only a few of them.
    pub(super) fn compute_remote_grace(&self) -> Duration {
        let remote = self.peers.values().filter(|peer| peer.zone != self.me.zone).count();
        // Each of them calls, and is called, once in this many rounds.
        let rounds = remote.div_ceil(self.fan_out().max(1)).saturating_sub(1);
        self.timing.interval * u32::try_from(rounds).unwrap_or(u32::MAX)
    }

    /// Returns the time added to the heartbeat timeout for instances of the own zone: three times
    /// the amount by which a crowded zone extends the interval.
    pub(super) fn compute_zone_grace(&self) -> Duration {
        let zone_peers = self.peers.values().filter(|peer| peer.zone == self.me.zone).count();
        (self.timing.zone_interval(zone_peers) - self.timing.interval) * 3
    }
}

/// Updates the state of one peer by the time since its last message.
///
/// `grace` is the part of the expected time between two messages that exceeds the interval.
pub(super) fn check_silence(
    peer: &mut Peer,
    grace: Duration,
    timing: &Timing,
    now: Time,
) -> Option<MemberEvent> {
    let silence = now.since(peer.last_received);
    let instance = peer.instance.clone();
    match peer.state {
        MemberState::Live | MemberState::Leaving if silence > timing.suspect_after + grace => {
            peer.set_state(MemberState::Suspect, now, timing.relay_count);
            Some(MemberEvent::Suspected(instance))
        }
        MemberState::Suspect if silence > timing.suspect_after + timing.remove_after + grace => {
            peer.set_state(MemberState::Removed, now, timing.relay_count);
            Some(MemberEvent::Removed(instance))
        }
        MemberState::Suspect | MemberState::Removed if silence <= timing.suspect_after => {
            if peer.last_received <= peer.state_since
                || now.since(peer.contact_since) < peer.probation(now, timing)
            {
                return None;
            }
            peer.set_state(MemberState::Live, now, timing.relay_count);
            Some(MemberEvent::Recovered(instance))
        }
        _ => None,
    }
}

/// Whether a peer can be dropped from the view.
pub(super) fn is_expired(peer: &Peer, timing: &Timing, now: Time) -> bool {
    let is_gone = peer.state == MemberState::Removed && !peer.listed;
    is_gone && now.since(peer.last_received) > timing.retention
}
