//! Hedged attempts: a second attempt of a repeatable request whose first one takes unusually long.
//!
//! The second attempt is a request of its own in the gateway, with its own ticket, that shares the
//! arrival of the first one. Whichever attempt answers first goes on, and the other one is
//! superseded. Hedges are a fraction of an instance's first attempts, so that the fraction holds over
//! all instances without an exchange, and are sent only while targets have places to spare.

mod allowance;
mod quantile;

use std::time::Duration;

use sesamewind_protocol::Time;

pub(crate) use self::allowance::Hedges;
use crate::arrival::Ticket;
use crate::event::{Action, AttemptOutcome, Dispatch, Step};
use crate::flow::MAX_SENDS;
use crate::gateway::Gateway;
use crate::request::{History, Request, State};
use crate::selection::{self, Candidates};
use crate::table::Repeat;
use crate::targets::Index;

/// Fraction of a target's slots that may be in use, including the hedge, for it to take a hedge. The
/// rest is left to first attempts.
const MAX_LOAD_FRACTION: f64 = 0.5;

/// Fraction of its latency objective after which an attempt is slow, whatever the route's attempts usually
/// take. The second attempt needs the rest.
const LATEST_FRACTION: f64 = 0.5;

/// Longest time for which two targets may work on the same stream. Targets that continue a stream
/// expect the earlier one to be told at once.
const MAX_STREAM_OVERLAP: Duration = Duration::from_millis(200);

/// Why a slow request gets no second attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeObstacle {
    /// It has ended, or has begun to get an answer.
    Begun,
    /// As many targets as its route allows may have run it.
    AttemptsUsed,
    /// Targets have ended before answers to a part of its prompt began.
    Quarantined,
    /// Hedges already are the configured fraction of the requests.
    LimitReached,
    /// Requests wait, or no target has places to spare.
    NoPlace,
    /// The service's retry budget is exhausted.
    BudgetExhausted,
}

impl HedgeObstacle {
    /// Returns the reason as written in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Begun => "begun",
            Self::AttemptsUsed => "attempts_used",
            Self::Quarantined => "quarantined",
            Self::LimitReached => "limit_reached",
            Self::NoPlace => "no_place",
            Self::BudgetExhausted => "budget_exhausted",
        }
    }
}

/// Second attempt of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Hedge {
    /// The attempt.
    pub dispatch: Dispatch,
    /// Time after which the first attempt ends even if neither has begun to answer; none if both may go
    /// on.
    pub overlap: Option<Duration>,
}

impl Gateway {
    /// Returns the time after which an attempt of `request` at the target at `index` counts as slow;
    /// none if it gets no second attempt.
    pub(crate) fn hedge_delay(
        &self,
        request: &Request,
        index: Index,
        ahead: u32,
    ) -> Option<Duration> {
        let route = &request.arrival.route;
        let is_eligible = self.tuning.hedge_share > 0.0
            && route.repeat != Repeat::Never
            && !request.hedged
            && !request.started
            && request.runs + 1 < route.attempts;
        if !is_eligible || !self.targets.get(index).is_listed() {
            return None;
        }
        let ratio = self.services.get(&request.service)?.hedges.slow_ratio(&route.name)?;
        let millis = ratio * selection::estimate_ms(request.prompt(), ahead);
        let latest = route.objective.mul_f64(LATEST_FRACTION);
        Some(Duration::from_secs_f64(millis / 1_000.0).min(latest))
    }

    /// Decides whether the slow request `ticket` gets a second attempt, which has the ticket `second`.
    pub(crate) fn slow(&mut self, ticket: Ticket, second: Ticket, now: Time) {
        let step = match self.hedge_target(ticket, now) {
            Ok(index) => {
                self.send_hedge(ticket, second, index, now);
                return;
            }
            Err(obstacle) => Step::Unhedged(obstacle),
        };
        self.out.push(Action { ticket, step });
    }

    fn hedge_target(&mut self, ticket: Ticket, now: Time) -> Result<Index, HedgeObstacle> {
        let Some(request) = self.requests.get(&ticket) else { return Err(HedgeObstacle::Begun) };
        let State::InFlight(attempt) = &request.state else { return Err(HedgeObstacle::Begun) };
        if attempt.started || request.hedged {
            return Err(HedgeObstacle::Begun);
        }
        let first = attempt.target;
        let route = &request.arrival.route;
        if request.runs + 1 >= route.attempts || request.sends >= MAX_SENDS {
            return Err(HedgeObstacle::AttemptsUsed);
        }
        let parts = &request.arrival.parts;
        if self.quarantine.is_held(parts) || self.quarantine.is_suspect(parts) {
            return Err(HedgeObstacle::Quarantined);
        }
        let service = request.service.clone();
        let Some(state) = self.services.get(&service) else { return Err(HedgeObstacle::NoPlace) };
        if !state.queue.is_empty() {
            return Err(HedgeObstacle::NoPlace);
        }
        if !state.hedges.has_allowance() {
            return Err(HedgeObstacle::LimitReached);
        }
        let index = self.spare_target(ticket, first, now).ok_or(HedgeObstacle::NoPlace)?;
        if !self.acquire_retry(&service, AttemptOutcome::Silent, now) {
            return Err(HedgeObstacle::BudgetExhausted);
        }
        if let Some(state) = self.services.get_mut(&service) {
            state.hedges.take();
        }
        Ok(index)
    }

    /// Returns a target with places to spare, of another availability zone than `first` if there is
    /// one, since what slows a target down may affect its neighbors.
    fn spare_target(&mut self, ticket: Ticket, first: Index, now: Time) -> Option<Index> {
        let mut request = self.requests.remove(&ticket)?;
        let tried = request.tried.len();
        request.tried.push(first);
        let zone = self.targets.get(first).listed.zone.clone();
        let targets = self.services.get(&request.service).map_or(&[][..], |state| &state.targets);
        let near = targets.iter().filter(|&&one| self.targets.get(one).listed.zone == zone);
        request.tried.extend(near.copied());
        let far = self.select_among(Candidates::Sound, &request, None, now);
        let mut found = far.filter(|&index| self.has_spare_place(index));
        if found.is_none() {
            request.tried.truncate(tried + 1);
            let near = self.select_among(Candidates::Sound, &request, None, now);
            found = near.filter(|&index| self.has_spare_place(index));
        }
        request.tried.truncate(tried);
        self.requests.insert(ticket, request);
        found
    }

    fn has_spare_place(&self, index: Index) -> bool {
        let target = self.targets.get(index);
        f64::from(target.load() + 1) <= f64::from(target.listed.slots) * MAX_LOAD_FRACTION
    }

    fn send_hedge(&mut self, ticket: Ticket, second: Ticket, index: Index, now: Time) {
        let Some(first) = self.requests.get_mut(&ticket) else { return };
        let State::InFlight(attempt) = &mut first.state else { return };
        attempt.record_other_run();
        let target = attempt.target;
        first.hedged = true;
        first.runs += 1;
        let mut hedge = first.second_attempt(second);
        hedge.tried.push(target);
        let overlap = hedge.arrival.route.stream.then_some(MAX_STREAM_OVERLAP);
        let dispatch = self.start_attempt(second, hedge, index, History::MayHaveRun, now);
        self.out.push(Action { ticket, step: Step::Hedge(Hedge { dispatch, overlap }) });
    }

    /// Ends one of the two attempts of a hedged request while the other one goes on. Without an
    /// `outcome`, it was cancelled because the other one has begun to answer or is preferred.
    pub(crate) fn superseded(
        &mut self,
        ticket: Ticket,
        outcome: Option<AttemptOutcome>,
        now: Time,
    ) {
        let Some(request) = self.requests.remove(&ticket) else { return };
        let State::InFlight(attempt) = &request.state else {
            self.requests.insert(ticket, request);
            return self.caller_left(ticket, now);
        };
        self.release(attempt, request.prompt());
        match outcome {
            Some(outcome) => self.record_end(&request, attempt, outcome, now),
            None => {
                self.record_cancel(attempt.target, now);
                self.observe_slow(&request, now);
            }
        }
        let service = request.service.clone();
        self.dispatch_waiting(&service, now);
    }

    /// Learns from a cancelled attempt that its target takes at least as long as it had.
    fn observe_slow(&mut self, request: &Request, now: Time) {
        let State::InFlight(attempt) = &request.state else { return };
        if attempt.started {
            return;
        }
        let took = self.elapsed(attempt.sent, now).as_secs_f64() * 1_000.0;
        let ratio = took / selection::estimate_ms(request.prompt(), attempt.ahead);
        let target = self.targets.get_mut(attempt.target);
        if ratio > target.latency_ratio {
            target.observe_latency(ratio);
        }
    }
}
