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
    pub(super) fn count_beyond_gap(&self) -> Duration {
        let beyond = self.peers.values().filter(|peer| peer.zone != self.me.zone).count();
        // Each is called and calls once in this many rounds.
        let rounds = beyond.div_ceil(self.fan_out().max(1)).saturating_sub(1);
        self.timing.interval * u32::try_from(rounds).unwrap_or(u32::MAX)
    }

    /// Time beyond the heartbeat timeout that an instance of the own zone may be silent: three times
    /// what a crowded zone adds to the interval.
    pub(super) fn count_near_gap(&self) -> Duration {
        let near = self.peers.values().filter(|peer| peer.zone == self.me.zone).count();
        (self.timing.near_interval(near) - self.timing.interval) * 3
    }
}

/// Judges the silence of one instance; `gap` is the time between two expected messages beyond the
/// interval.
pub(super) fn judge(
    peer: &mut Peer,
    gap: Duration,
    timing: &Timing,
    now: Time,
) -> Option<MemberEvent> {
    let silence = now.since(peer.heard);
    let instance = peer.instance.clone();
    match peer.state {
        MemberState::Live | MemberState::Leaving if silence > timing.suspect_after + gap => {
            peer.set_state(MemberState::Suspect, now, timing.relay_count);
            Some(MemberEvent::Suspected(instance))
        }
        MemberState::Suspect if silence > timing.suspect_after + timing.remove_after + gap => {
            peer.set_state(MemberState::Removed, now, timing.relay_count);
            Some(MemberEvent::Removed(instance))
        }
        MemberState::Suspect | MemberState::Removed if silence <= timing.suspect_after => {
            if peer.heard <= peer.since || now.since(peer.steady) < peer.probation(now, timing) {
                return None;
            }
            peer.set_state(MemberState::Live, now, timing.relay_count);
            Some(MemberEvent::Recovered(instance))
        }
        _ => None,
    }
}

/// Whether an instance need not be known of any more.
pub(super) fn is_over(peer: &Peer, timing: &Timing, now: Time) -> bool {
    let is_gone = peer.state == MemberState::Removed && !peer.listed;
    is_gone && now.since(peer.heard) > timing.retention
}
