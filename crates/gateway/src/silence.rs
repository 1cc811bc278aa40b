//! Requests whose target makes no progress for a while.
//!
//! A sound target may pause, so silence alone ends no attempt: the attempt goes on until another
//! target can take the request at once, or until the deadline.

use sesamewind_protocol::Time;

use crate::arrival::Ticket;
use crate::event::{Action, AttemptOutcome, Step};
use crate::flow::MAX_SENDS;
use crate::gateway::Gateway;
use crate::request::{History, Request, State};
use crate::selection::Candidates;
use crate::table::Repeat;
use crate::targets::Index;

impl Gateway {
    pub(crate) fn silent(&mut self, ticket: Ticket, now: Time) {
        let Some(mut request) = self.requests.remove(&ticket) else {
            return self.out.push(Action { ticket, step: Step::Wait });
        };
        let State::InFlight(attempt) = &mut request.state else {
            self.requests.insert(ticket, request);
            return self.out.push(Action { ticket, step: Step::Wait });
        };
        let target = attempt.target;
        if !std::mem::replace(&mut attempt.silent, true) {
            self.targets.get_mut(target).record_silence(now);
            self.record_possible_start(target, AttemptOutcome::Silent, now);
            self.reach.record_attempt(target, AttemptOutcome::Silent, now);
        }
        let Some(mut request) = self.pass_silent(ticket, request, now) else { return };
        match self.next_target(&mut request, target, now) {
            Some(next) => self.leave_silent(ticket, request, next, now),
            None => {
                self.requests.insert(ticket, request);
                self.out.push(Action { ticket, step: Step::Wait });
            }
        }
    }

    pub(crate) fn silence_ended(&mut self, ticket: Ticket, now: Time) {
        self.reach.record_answer(now);
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let State::InFlight(attempt) = &mut request.state else { return };
        if std::mem::take(&mut attempt.silent) {
            self.targets.get_mut(attempt.target).record_progress();
        }
    }

    /// Returns a target that can take the request from the silent `target` at once, after charging
    /// the move to the retry budget.
    fn next_target(&mut self, request: &mut Request, target: Index, now: Time) -> Option<Index> {
        let route = &request.arrival.route;
        let is_allowed = route.repeat != Repeat::Never
            && !request.hedged
            && request.runs + 1 < route.attempts
            && request.sends < MAX_SENDS
            && now < request.arrival.deadline
            && !self.quarantine.is_held(&request.arrival.parts);
        if !is_allowed {
            return None;
        }
        if !request.tried.contains(&target) {
            request.tried.push(target);
        }
        let next = self.select_among(Candidates::Sound, request, None, now)?;
        self.acquire_retry(&request.service, AttemptOutcome::Silent, now).then_some(next)
    }

    /// Ends the attempt at a silent target and sends the request to the target `next`.
    fn leave_silent(&mut self, ticket: Ticket, mut request: Request, next: Index, now: Time) {
        let waiting =
            State::Waiting { position: (request.arrived, ticket), history: History::MayHaveRun };
        if let State::InFlight(attempt) = std::mem::replace(&mut request.state, waiting) {
            self.release(&attempt, request.prompt());
            self.record_cancel(attempt.target, now);
            self.count_failure(&request, &attempt);
        }
        request.runs += 1;
        let service = request.service.clone();
        self.dispatch(ticket, request, next, History::MayHaveRun, now);
        self.dispatch_waiting(&service, now);
    }
}
