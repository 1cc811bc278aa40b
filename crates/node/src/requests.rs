//! Tracks requests from arrival to end, and reports their outcomes to the rollouts as evidence on
//! the versions that served them.

use std::collections::HashMap;
use std::time::Duration;

use sesamewind_policy::{Action, Arrival, AttemptOutcome, Event, Refusal, Ticket};
use sesamewind_protocol::{Code, RouteId, ServiceId, Time, VersionId, WallTime};
use sesamewind_rollout::{EndState, Observation, Rollouts};

/// An open request.
#[derive(Debug)]
struct Request {
    service: ServiceId,
    route: RouteId,
    tokens: u64,
    dispatch: Option<Dispatch>,
}

/// The current dispatch of a request.
#[derive(Debug)]
struct Dispatch {
    version: VersionId,
    at: Time,
    wall: WallTime,
    /// Time from the dispatch to the first token, or to the response head of a plain call.
    first_token: Option<Duration>,
}

/// All open requests.
#[derive(Debug, Default)]
pub struct Requests(HashMap<Ticket, Request>);

impl Requests {
    /// Returns the number of requests in flight to `version` of `service`.
    pub fn in_flight(&self, service: &ServiceId, version: &VersionId) -> u32 {
        let is_on_version = |request: &&Request| {
            let dispatch = request.dispatch.as_ref();
            request.service == *service
                && dispatch.is_some_and(|dispatch| dispatch.version == *version)
        };
        u32::try_from(self.0.values().filter(is_on_version).count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of open requests, dispatched or not.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there is no open request.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Updates the requests by an event, before the scheduler processes it.
    pub fn on_event(
        &mut self,
        event: &Event<'_>,
        rollouts: &mut Rollouts,
        now: Time,
        wall: WallTime,
    ) {
        match event {
            Event::Arrive(arrival) => self.on_arrival(arrival),
            Event::Accepted { ticket } => self.on_accepted(*ticket, now),
            Event::Tokens { ticket, .. } => self.on_first_token(*ticket, now),
            Event::Finished { ticket, end } => self.on_finished(*ticket, *end, rollouts, now, wall),
            _ => {}
        }
    }

    /// Updates the requests by an action of the scheduler.
    pub fn on_action(
        &mut self,
        action: &Action,
        rollouts: &mut Rollouts,
        now: Time,
        wall: WallTime,
    ) {
        match action {
            Action::Dispatch { ticket, version, .. } => {
                if let Some(request) = self.0.get_mut(ticket) {
                    request.dispatch = Some(Dispatch {
                        version: version.clone(),
                        at: now,
                        wall,
                        first_token: None,
                    });
                }
            }
            Action::Refuse(refusal) | Action::Cancel { refusal, .. } => {
                self.on_refusal(refusal, rollouts, now, wall);
            }
            _ => {}
        }
    }

    /// Removes a request whose job has ended.
    pub fn close(&mut self, ticket: Ticket) {
        self.0.remove(&ticket);
    }

    fn on_arrival(&mut self, arrival: &Arrival) {
        let request = Request {
            service: arrival.service.clone(),
            route: arrival.route.clone(),
            tokens: u64::from(arrival.prompt_tokens),
            dispatch: None,
        };
        self.0.insert(arrival.ticket, request);
    }

    /// Records the start of the answer to a plain call, which is the response head. The answer of a
    /// model starts with its first token instead. A request without prompt tokens is a plain call.
    fn on_accepted(&mut self, ticket: Ticket, now: Time) {
        if self.0.get(&ticket).is_some_and(|request| request.tokens == 0) {
            self.on_first_token(ticket, now);
        }
    }

    fn on_first_token(&mut self, ticket: Ticket, now: Time) {
        let dispatch = self.0.get_mut(&ticket).and_then(|request| request.dispatch.as_mut());
        if let Some(dispatch) = dispatch.filter(|dispatch| dispatch.first_token.is_none()) {
            dispatch.first_token = Some(now.since(dispatch.at));
        }
    }

    fn on_finished(
        &mut self,
        ticket: Ticket,
        end: AttemptOutcome,
        rollouts: &mut Rollouts,
        now: Time,
        wall: WallTime,
    ) {
        let outcome = match end {
            AttemptOutcome::Complete => EndState::Ok,
            AttemptOutcome::Failed => EndState::Failed,
            // Nothing ran, or the stream may still be resumed. If the request fails for good, a
            // refusal follows and is counted then.
            AttemptOutcome::RefusedNotRun
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::Broken { .. } => return,
        };
        self.observe(ticket, outcome, rollouts, now, wall);
    }

    /// Counts a dispatched request that ended by the target's fault as a failure of its version.
    fn on_refusal(
        &mut self,
        refusal: &Refusal,
        rollouts: &mut Rollouts,
        now: Time,
        wall: WallTime,
    ) {
        let is_target_fault = matches!(
            refusal.code(),
            Code::AnswerBroken
                | Code::OutcomeUnknown
                | Code::TargetFailed
                | Code::TargetSilent
                | Code::DeadlinePassed
        );
        if is_target_fault {
            self.observe(refusal.ticket(), EndState::Failed, rollouts, now, wall);
        }
    }

    fn observe(
        &mut self,
        ticket: Ticket,
        outcome: EndState,
        rollouts: &mut Rollouts,
        now: Time,
        wall: WallTime,
    ) {
        let Some(request) = self.0.get_mut(&ticket) else { return };
        let Some(dispatch) = request.dispatch.take() else { return };
        rollouts.observe(Observation {
            service: &request.service,
            version: &dispatch.version,
            route: &request.route,
            prompt_tokens: request.tokens,
            outcome,
            duration: dispatch.first_token.unwrap_or_else(|| now.since(dispatch.at)),
            sent: dispatch.wall,
            wall,
        });
    }
}
