//! Requests from arrival to end, as evidence on the versions that serve them.

use std::collections::HashMap;
use std::time::Duration;

use sesamewind_policy::{Action, Arrival, AttemptOutcome, Event, Refusal, Ticket};
use sesamewind_protocol::{Code, RouteId, ServiceId, Time, VersionId, WallTime};
use sesamewind_rollout::{EndState, Observation, Rollouts};

/// A request under way.
#[derive(Debug)]
struct Request {
    service: ServiceId,
    route: RouteId,
    tokens: u64,
    dispatched: Option<Dispatched>,
}

/// A dispatch of a request.
#[derive(Debug)]
struct Dispatched {
    version: VersionId,
    at: Time,
    wall: WallTime,
    /// From dispatch to the first token or byte.
    first_token: Option<Duration>,
}

/// All requests under way.
#[derive(Debug, Default)]
pub struct Requests(HashMap<Ticket, Request>);

impl Requests {
    /// Requests in flight to `version` of `service`.
    pub fn in_flight(&self, service: &ServiceId, version: &VersionId) -> u32 {
        let is_on_version = |request: &&Request| {
            let dispatched = request.dispatched.as_ref();
            request.service == *service
                && dispatched.is_some_and(|dispatched| dispatched.version == *version)
        };
        u32::try_from(self.0.values().filter(is_on_version).count()).unwrap_or(u32::MAX)
    }

    /// Requests under way, dispatched or not.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no request is under way.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Follows an event before the scheduler takes it.
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

    /// Follows an action that the scheduler asked for.
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
                    request.dispatched = Some(Dispatched {
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

    /// Forgets a request whose job has ended.
    pub fn close(&mut self, ticket: Ticket) {
        self.0.remove(&ticket);
    }

    fn on_arrival(&mut self, arrival: &Arrival) {
        let request = Request {
            service: arrival.service.clone(),
            route: arrival.route.clone(),
            tokens: u64::from(arrival.prompt_tokens),
            dispatched: None,
        };
        self.0.insert(arrival.ticket, request);
    }

    /// A plain call's answer begins with its head; a model's begins with its first token.
    fn on_accepted(&mut self, ticket: Ticket, now: Time) {
        if self.0.get(&ticket).is_some_and(|request| request.tokens == 0) {
            self.on_first_token(ticket, now);
        }
    }

    fn on_first_token(&mut self, ticket: Ticket, now: Time) {
        let dispatched = self.0.get_mut(&ticket).and_then(|request| request.dispatched.as_mut());
        if let Some(dispatched) = dispatched.filter(|dispatched| dispatched.first_token.is_none()) {
            dispatched.first_token = Some(now.since(dispatched.at));
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
            // Nothing ran, or the stream may yet be resumed: the refusal that follows tells.
            AttemptOutcome::RefusedNotRun
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::Broken { .. } => return,
        };
        self.observe(ticket, outcome, rollouts, now, wall);
    }

    /// A dispatched request that ends by the target's fault speaks against the version.
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
        let Some(dispatched) = request.dispatched.take() else { return };
        rollouts.observe(Observation {
            service: &request.service,
            version: &dispatched.version,
            route: &request.route,
            prompt_tokens: request.tokens,
            outcome,
            duration: dispatched.first_token.unwrap_or_else(|| now.since(dispatched.at)),
            sent: dispatched.wall,
            wall,
        });
    }
}
