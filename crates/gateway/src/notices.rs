//! What targets say about themselves in their answers: that they are leaving, or that they want no
//! requests from this instance for a while.

use std::time::Duration;

use sesamewind_protocol::{ServiceId, Time};

use crate::arrival::Ticket;
use crate::gateway::Gateway;
use crate::request::State;
use crate::targets::Index;

impl Gateway {
    /// Stops sending requests to a target that is leaving. Those that wait go elsewhere.
    pub(crate) fn target_leaving(&mut self, ticket: Ticket, now: Time) {
        let Some((index, _)) = self.attempt_of(ticket) else { return };
        self.targets.get_mut(index).record_leaving(now);
    }

    /// Sends no requests to a target for the time that it asked for.
    pub(crate) fn target_resting(&mut self, ticket: Ticket, rest: Duration, now: Time) {
        let Some((index, _)) = self.attempt_of(ticket) else { return };
        self.targets.get_mut(index).record_rest(rest, now);
    }

    /// Returns the target of a request's attempt and when the attempt was sent.
    pub(crate) fn attempt_of(&self, ticket: Ticket) -> Option<(Index, Time)> {
        match &self.requests.get(&ticket)?.state {
            State::InFlight(attempt) => Some((attempt.target, attempt.sent)),
            State::Waiting { .. } | State::Passed(_) | State::Moving => None,
        }
    }

    /// Returns how long all usable targets of a service get no requests of this instance; none if one
    /// of them takes requests.
    pub(crate) fn pause_of_all(&self, service: &ServiceId, now: Time) -> Option<Duration> {
        self.targets.shortest_pause(&self.services.get(service)?.targets, now)
    }
}
