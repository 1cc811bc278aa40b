//! What the quarantine of prompt parts does to requests.

use sesamewind_protocol::Time;

use crate::arrival::Ticket;
use crate::event::AttemptOutcome;
use crate::gateway::Gateway;
use crate::proof::RefusalReason;
use crate::request::{Attempt, Request, State};

impl Gateway {
    /// Records that an attempt ended. Only one that broke before any answer to its request began is
    /// evidence against the parts of its prompt.
    pub(crate) fn observe_break(
        &mut self,
        request: &Request,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        now: Time,
    ) {
        if outcome == AttemptOutcome::Broken && !request.started {
            let listed = &self.targets.get(attempt.target).listed;
            self.quarantine.record_break(attempt.target, listed, &request.arrival.parts, now);
        }
    }

    /// Returns whether this instance decides on trials of held parts. Nobody does while there may be a
    /// cut, since each side of it would.
    pub(crate) fn may_try_held(&self, now: Time) -> bool {
        self.sharers.is_settled()
            && !self.sharers.has_silent(now)
            && self.peers.is_first(&self.me.instance, now)
    }

    /// Returns whether a request whose attempt has ended may end a further target.
    pub(crate) fn may_end_target(&self, request: &Request, outcome: AttemptOutcome) -> bool {
        let parts = &request.arrival.parts;
        let is_suspect = outcome == AttemptOutcome::Broken && !request.started;
        self.quarantine.is_held(parts) || (is_suspect && self.quarantine.is_suspect(parts))
    }

    /// Decides which targets of broken attempts have ended.
    pub(crate) fn confirm_breaks(&mut self, now: Time) {
        let (requests, targets) = (&self.requests, &self.targets);
        let is_alive = |target, since| {
            let remains = |request: &Request| match &request.state {
                State::InFlight(attempt) => attempt.target == target && attempt.sent <= since,
                State::Waiting { .. } | State::Passed(_) | State::Moving => false,
            };
            targets.get(target).has_succeeded_since(since) || requests.values().any(remains)
        };
        self.quarantine.confirm(is_alive, now);
        self.refuse_quarantined(now);
    }

    /// Ends the waiting requests with parts that are held from now on.
    pub(crate) fn refuse_quarantined(&mut self, now: Time) {
        if !self.quarantine.take_holds() {
            return;
        }
        let is_held = |request: &Request| {
            matches!(request.state, State::Waiting { .. })
                && self.quarantine.is_held(&request.arrival.parts)
        };
        let requests = self.requests.iter().filter(|(_, request)| is_held(request));
        let held: Vec<Ticket> = requests.map(|(&ticket, _)| ticket).collect();
        for ticket in held {
            let Some(request) = self.requests.remove(&ticket) else { continue };
            self.abandon_for(ticket, request, RefusalReason::Quarantined, now);
        }
    }
}
