//! Judges silence: how long is usual, and what follows when it is exceeded.

use std::time::Duration;

use sesamewind_protocol::Time;
use sesamewind_protocol::message::MemberState;

use super::{MemberEvent, Members};
use crate::Timing;
use crate::peer::Peer;

impl Members {
    /// Time beyond the heartbeat timeout that an instance beyond the zone may be silent, since a
    /// round reaches a few of them only.
    pub(super) fn compute_remote_grace(&self) -> Duration {
        let remote = self.peers.values().filter(|peer| peer.zone != self.me.zone).count();
        // Each is called and calls once in this many rounds.
        let rounds = remote.div_ceil(self.fan_out().max(1)).saturating_sub(1);
        self.timing.interval * u32::try_from(rounds).unwrap_or(u32::MAX)
    }

    /// Time beyond the heartbeat timeout that an instance of the own zone may be silent: three times
    /// what a crowded zone adds to the interval.
    pub(super) fn compute_zone_grace(&self) -> Duration {
        let zone_peers = self.peers.values().filter(|peer| peer.zone == self.me.zone).count();
        (self.timing.zone_interval(zone_peers) - self.timing.interval) * 3
    }
}

/// Judges the silence of one instance; `gap` is the time between two expected messages beyond the
/// interval.
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

/// Whether an instance need not be known of any more.
pub(super) fn is_expired(peer: &Peer, timing: &Timing, now: Time) -> bool {
    let is_gone = peer.state == MemberState::Removed && !peer.listed;
    is_gone && now.since(peer.last_received) > timing.retention
}
