//! Life cycle of a request: arrival, queueing, dispatch, and the handling of an attempt's outcome.

use std::time::Duration;

use rand::RngExt;
use sesamewind_protocol::{ServiceId, Time};

use crate::admission;
use crate::arrival::{Arrival, Ticket};
use crate::budget::RetryShare;
use crate::event::{Action, AttemptOutcome, Dispatch, Failure, NoRetry, Step};
use crate::gateway::Gateway;
use crate::homes::Homes;
use crate::proof::{NotRunProof, Refusal, RefusalReason};
use crate::queue::Standing;
use crate::request::{Attempt, History, Request, State};
use crate::rollouts::AllowedVersions;
use crate::selection::{self, Candidates, SelectionRequest};
use crate::service::ServiceState;
use crate::table::Repeat;
use crate::targets::Index;
use crate::tuning::Tuning;

/// Fraction of its latency objective that a request may wait for a slot. The target needs the rest.
const MAX_WAIT_FRACTION: f64 = 0.75;

/// Fraction of its latency objective that a request waits for a target with short enough pauses
/// while other targets have free slots. Several slots of a group become free in that time.
const PAUSE_WAIT_FRACTION: f64 = 0.2;

/// Minimum number of events in a stream for its longest pause to show the speed of its target.
const LONG_STREAM_EVENTS: u64 = 8;

/// Maximum number of attempts of one request, including those that certainly did not run.
pub(crate) const MAX_SENDS: u32 = 6;

/// Silence timeout of a stream whose request can be resumed at another target. Callers abandon a
/// silent stream after two seconds or more, and the other target needs time for the prompt.
const STREAM_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Silence timeout of a plain target whose request can be repeated: several times the slowest usual
/// response.
const PLAIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// Bounds on the retry delay of a refused caller, as fractions of the time left until its deadline.
/// Callers honor up to a third of their timeout, and most retry only once, so a late retry is more
/// likely to find a free slot than an early one.
const RETRY_AFTER_FRACTIONS: (f64, f64) = (MIN_RETRY_AFTER_FRACTION, MAX_RETRY_AFTER_FRACTION);
pub(crate) const MIN_RETRY_AFTER_FRACTION: f64 = 0.18;
pub(crate) const MAX_RETRY_AFTER_FRACTION: f64 = 0.32;

/// Fraction of its latency objective that a request may have to wait because of the queue's length.
/// A longer queue would only delay requests beyond their objective.
const QUEUE_WAIT_FRACTION: f64 = 0.4;

/// Number of waiting requests that are tried for free slots at once. A request that no target can
/// take yet does not block those behind it.
const MAX_SCANNED: usize = 16;

impl Gateway {
    /// Takes a request that has just arrived; `is_passed` tells whether from a peer.
    pub(crate) fn arrive(&mut self, arrival: Arrival, is_passed: bool, now: Time) {
        let proof = NotRunProof::at_arrival();
        if self.stopping {
            return self.refuse(&arrival, proof, RefusalReason::Stopping, now);
        }
        let service = arrival.route.service_at(arrival.point);
        if let Some(reason) = self.barrier(service, &arrival, now) {
            return self.refuse(&arrival, proof, reason, now);
        }
        let Err(proof) = self.pass_arrival(&arrival, proof, is_passed, now) else { return };
        self.admit(arrival, proof, is_passed, now);
    }

    /// Queues a request for a target of this instance, unless it must be refused.
    pub(crate) fn admit(
        &mut self,
        mut arrival: Arrival,
        proof: NotRunProof,
        is_passed: bool,
        now: Time,
    ) {
        let ticket = arrival.ticket;
        let service = arrival.route.service_at(arrival.point).clone();
        let may_try = self.may_try_held(now);
        if let Err(wait) = self.quarantine.admit(&arrival.parts, may_try, now) {
            return self.refuse_for(&arrival, proof, RefusalReason::Quarantined, wait);
        }
        let charged = match &arrival.account {
            Some(account) => self.quotas.acquire(&account.name, arrival.cost(), now),
            None => Ok(0.0),
        };
        let charged = match charged {
            Ok(charged) => charged,
            Err(wait) => {
                let wait = wait.max(self.retry_delay(&arrival, now));
                let reason = RefusalReason::OverLimit;
                return self.refuse_with_delay(&arrival, proof, reason, wait, now);
            }
        };
        let state =
            self.services.entry(service.clone()).or_insert_with(|| ServiceState::new(&self.tuning));
        if !std::mem::replace(&mut arrival.counted, true) {
            state.budget.record_first(now);
            state.hedges.record_first(self.tuning.hedge_share);
        }
        let route = &arrival.route;
        let left = arrival.deadline.since(now);
        let since = now - self.stated.waited(&route.name, left, route.timeout, now);
        let latest = since + route.objective.mul_f64(MAX_WAIT_FRACTION);
        let late = state.model && latest <= now;
        let lag = self.shares.lag(arrival.account.as_deref(), &self.quotas, now);
        let standing = Standing { rank: arrival.rank(), lag, late };
        let (until, wait) = if late {
            let until = admission::late_wait_end(arrival.deadline, now);
            (until, until.since(now))
        } else {
            let wait = route.objective.mul_f64(QUEUE_WAIT_FRACTION);
            (latest.min(arrival.deadline), wait)
        };
        let position = state.queue.push(ticket, standing, now, until);
        let waiting = State::Waiting { position, history: History::NotRun(proof) };
        let mut request = Request::new(arrival, service.clone(), charged, waiting, now);
        request.passed = is_passed;
        (request.since, request.late) = (since, late);
        let rank = request.arrival.route.rank;
        self.requests.insert(ticket, request);
        self.dispatch_waiting(&service, now);
        let waits = |request: &Request| matches!(request.state, State::Waiting { .. });
        if self.requests.get(&ticket).is_some_and(waits)
            && let Some(state) = self.services.get_mut(&service)
        {
            if !late {
                state.record_shortage(rank, now);
            }
            self.note_held_off(ticket, now);
            self.refuse_without_place(ticket, &service, now);
        }
        self.shorten_queue(&service, late, wait, now);
        self.refuse_during_pause(&service, now);
    }

    /// Refuses the last requests of a queue that is too long for them to leave it within `wait`, so
    /// that their callers are refused immediately instead of later. Late requests, which leave the
    /// others their slots, count separately.
    fn shorten_queue(&mut self, service: &ServiceId, late: bool, wait: Duration, now: Time) {
        // With limits, the turns to come are known; see `refuse_during_pause`.
        if now < self.read_until || self.is_limited(service, now) {
            return;
        }
        loop {
            let Some(state) = self.services.get_mut(service) else { return };
            if state.queue.len_by(late) <= state.queue_limit(wait, now) {
                return;
            }
            let requests = &self.requests;
            let is_held = |ticket: &Ticket| requests.get(ticket).is_some_and(|one| one.held);
            let last = state.queue.tickets_by(late).rev().find(|ticket| !is_held(ticket));
            let Some(ticket) = last else { return };
            let Some(request) = self.requests.remove(&ticket) else { return };
            self.abandon(ticket, request, now);
        }
    }

    pub(crate) fn started(&mut self, ticket: Ticket, now: Time) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let State::InFlight(attempt) = &request.state else { return };
        let took = self.elapsed(attempt.sent, now).as_secs_f64() * 1_000.0;
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let prompt = request.prompt();
        let State::InFlight(attempt) = &mut request.state else { return };
        if std::mem::replace(&mut attempt.started, true) {
            return;
        }
        request.started = true;
        self.quarantine.record_begin(&request.arrival.parts, now);
        self.reach.record_answer(now);
        let ratio = took / selection::estimate_ms(prompt, attempt.ahead);
        let target = self.targets.get_mut(attempt.target);
        target.own_prefill = target.own_prefill.saturating_sub(prompt);
        target.observe_latency(ratio);
        let listed = &target.listed;
        let route = &request.arrival.route.name;
        let (id, version) = (&listed.id, &listed.version);
        if self.tuning.hedge_share > 0.0
            && let Some(service) = self.services.get_mut(&request.service)
        {
            service.hedges.observe(route, ratio);
        }
        self.rollouts.count_start(&request.service, route, (id, version), ratio, now);
    }

    pub(crate) fn paced(&mut self, ticket: Ticket, pace: Duration, now: Time) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let State::InFlight(attempt) = &request.state else { return };
        let listed = &self.targets.get(attempt.target).listed;
        self.rollouts.count_pace(&request.service, (&listed.id, &listed.version), pace, now);
    }

    /// Learns from a stream's number of events and longest pause how long the route's streams are
    /// and how fast the target is. Streams that were resumed are ignored, since resuming them
    /// caused a pause.
    pub(crate) fn streamed(&mut self, ticket: Ticket, events: u64, pause: Duration) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let State::InFlight(attempt) = &request.state else { return };
        if request.sends > 1 {
            return;
        }
        let Some(service) = self.services.get_mut(&request.service) else { return };
        service.observe_events(&request.arrival.route.name, events);
        if events >= LONG_STREAM_EVENTS {
            self.targets.get_mut(attempt.target).pauses.observe(pause);
        }
    }

    pub(crate) fn caller_left(&mut self, ticket: Ticket, now: Time) {
        let Some(request) = self.requests.remove(&ticket) else { return };
        match &request.state {
            State::Waiting { position, history } => {
                if let Some(service) = self.services.get_mut(&request.service) {
                    service.queue.remove(*position);
                }
                if matches!(history, History::NotRun(_)) {
                    self.refund(&request, now);
                }
            }
            State::InFlight(attempt) => {
                self.release(attempt, request.prompt());
                self.record_cancel(attempt.target, now);
            }
            State::Passed(passed) => self.reach.record_pass_end(&passed.peer, None, now),
            State::Moving => {}
        }
        self.dispatch_waiting(&request.service, now);
    }

    pub(crate) fn ended(&mut self, ticket: Ticket, outcome: AttemptOutcome, now: Time) {
        let Some(mut request) = self.requests.remove(&ticket) else { return };
        let waiting =
            State::Waiting { position: (request.arrived, ticket), history: History::MayHaveRun };
        let State::InFlight(attempt) = std::mem::replace(&mut request.state, waiting) else {
            return;
        };
        self.release(&attempt, request.prompt());
        self.record_end(&request, &attempt, outcome, now);
        let service = request.service.clone();
        match outcome {
            AttemptOutcome::Whole => {}
            AttemptOutcome::Expired => {
                let failure = Failure { outcome, no_retry: NoRetry::DeadlinePassed };
                self.finish(ticket, &request, attempt.history(outcome), failure, now);
            }
            _ => self.retry_elsewhere(ticket, request, attempt, outcome, now),
        }
        self.dispatch_waiting(&service, now);
    }

    /// Records how an attempt ended, for its target, its version and the parts of its prompt.
    pub(crate) fn record_end(
        &mut self,
        request: &Request,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        now: Time,
    ) {
        self.record_outcome(attempt.target, outcome, now);
        self.record_possible_start(attempt.target, outcome, now);
        self.record_brittle_end(attempt.target, outcome, now);
        self.observe_break(request, attempt, outcome, now);
        let is_failure = match outcome {
            AttemptOutcome::Whole => false,
            AttemptOutcome::Expired => attempt.silent,
            _ => !outcome.is_not_run(),
        };
        if is_failure {
            self.count_failure(request, attempt);
        }
    }

    /// Counts an attempt that failed against the version of its target.
    pub(crate) fn count_failure(&mut self, request: &Request, attempt: &Attempt) {
        let listed = &self.targets.get(attempt.target).listed;
        self.rollouts.count_failure(
            &request.service,
            &request.arrival.route.name,
            (&listed.id, &listed.version),
            attempt.started,
        );
    }

    /// Sends the request to another target if that is allowed, and otherwise ends it.
    fn retry_elsewhere(
        &mut self,
        ticket: Ticket,
        mut request: Request,
        attempt: Attempt,
        outcome: AttemptOutcome,
        now: Time,
    ) {
        let target = attempt.target;
        let mut history = attempt.history(outcome);
        if outcome == AttemptOutcome::Unconnected {
            match self.pass_again(ticket, request, history, now) {
                None => return,
                Some(back) => (request, history) = back,
            }
        }
        if !outcome.is_not_run() {
            request.runs += 1;
        }
        request.tried.push(target);
        request.held = outcome.is_not_run() && request.runs > 0;
        let obstacle = self.retry_obstacle(&request, outcome, now);
        // A request that is held can wait for the budget.
        let is_uncharged = request.held && obstacle == Some(NoRetry::BudgetExhausted);
        if let Some(no_retry) = obstacle.filter(|_| !is_uncharged) {
            let failure = Failure { outcome, no_retry };
            return self.finish(ticket, &request, history, failure, now);
        }
        if !is_uncharged {
            match self.pass_again(ticket, request, history, now) {
                None => return,
                Some(back) => (request, history) = back,
            }
        }
        if request.held {
            request.uncharged = is_uncharged;
            // Targets that ran the request stay excluded for as long as others may take it.
            request.tried.pop();
            return self.requeue(ticket, request, history, now);
        }
        let choice = self.select_target(&request, None, now).or_else(|| {
            request.tried.clear();
            request.tried.push(target);
            self.select_target(&request, None, now)
        });
        match choice {
            Some(target) => self.dispatch(ticket, request, target, history, now),
            None if outcome != AttemptOutcome::Failing => {
                self.requeue(ticket, request, history, now);
                self.refuse_if_barred(ticket, now);
            }
            None => {
                let failure = Failure { outcome, no_retry: NoRetry::NoTarget };
                self.finish(ticket, &request, history, failure, now);
            }
        }
    }

    /// Returns why the request may not be sent again; `None` if it may, which is then charged to
    /// the retry budget.
    fn retry_obstacle(
        &mut self,
        request: &Request,
        outcome: AttemptOutcome,
        now: Time,
    ) -> Option<NoRetry> {
        let route = &request.arrival.route;
        let repeatable = outcome.is_not_run()
            || match route.repeat {
                Repeat::Never => false,
                Repeat::Whole => true,
                Repeat::Resume => outcome != AttemptOutcome::Failing || !request.started,
            };
        if !repeatable {
            Some(NoRetry::NotRepeatable)
        } else if request.runs >= route.attempts {
            Some(NoRetry::AttemptsUsed)
        } else if request.sends >= MAX_SENDS && !request.held {
            Some(NoRetry::SendsUsed)
        } else if now >= request.arrival.deadline {
            Some(NoRetry::DeadlinePassed)
        } else if self.may_end_target(request, outcome) {
            Some(NoRetry::Quarantined)
        } else if !self.acquire_retry(&request.service, outcome, now) {
            Some(NoRetry::BudgetExhausted)
        } else {
            None
        }
    }

    /// Returns a request that has to be sent again to the queue, ahead of all that arrived later.
    fn requeue(&mut self, ticket: Ticket, mut request: Request, history: History, now: Time) {
        let until = (now + request.arrival.route.objective).min(request.arrival.deadline);
        let Some(service) = self.services.get_mut(&request.service) else { return };
        let position = service.queue.push(ticket, Standing::FIRST, request.arrived, until);
        request.state = State::Waiting { position, history };
        self.requests.insert(ticket, request);
    }

    /// Charges a retry to the retry budget; returns false if the budget is exhausted. The retry of
    /// an attempt without a connection is not charged, since that attempt reached no target.
    pub(crate) fn acquire_retry(
        &mut self,
        service: &ServiceId,
        outcome: AttemptOutcome,
        now: Time,
    ) -> bool {
        let share = self.retry_share(now);
        outcome == AttemptOutcome::Unconnected
            || self
                .services
                .get_mut(service)
                .is_some_and(|service| service.budget.acquire(share, now))
    }

    /// Returns what this instance may use of the retries that all of them may make.
    pub(crate) fn retry_share(&self, now: Time) -> RetryShare {
        let Tuning { retry_window, joined, .. } = self.tuning;
        let earlier = self.sharers.run_time(now).saturating_sub(retry_window);
        let earlier = earlier.as_secs_f64() / retry_window.as_secs_f64();
        RetryShare {
            fraction: self.sharers.share_within(retry_window, joined, now),
            earlier: if joined { 1.0 } else { earlier.min(1.0) },
        }
    }

    /// Ends a request that will not be sent again.
    fn finish(
        &mut self,
        ticket: Ticket,
        request: &Request,
        history: History,
        failure: Failure,
        now: Time,
    ) {
        match history {
            History::NotRun(proof) => {
                self.refund(request, now);
                let reason = match failure.outcome {
                    AttemptOutcome::Expired => RefusalReason::Expired,
                    _ => RefusalReason::Refused,
                };
                self.refuse(&request.arrival, proof, reason, now);
            }
            History::MayHaveRun => {
                let step = if failure.outcome == AttemptOutcome::Failing {
                    Step::DeliverFailure
                } else {
                    Step::Fail(failure)
                };
                self.out.push(Action { ticket, step });
            }
        }
    }

    pub(crate) fn refuse(
        &mut self,
        arrival: &Arrival,
        proof: NotRunProof,
        reason: RefusalReason,
        now: Time,
    ) {
        if reason == RefusalReason::Limited {
            return self.refuse_for_limits(arrival, proof, now);
        }
        let pause = self.pause_of_all(arrival.route.service_at(arrival.point), now);
        let wait = self.retry_delay(arrival, now).max(pause.unwrap_or_default());
        self.refuse_with_delay(arrival, proof, reason, wait, now);
    }

    /// Returns a random retry delay, so that refused callers don't retry at the same time.
    fn retry_delay(&mut self, arrival: &Arrival, now: Time) -> Duration {
        let fraction = self.rng.random_range(RETRY_AFTER_FRACTIONS.0..RETRY_AFTER_FRACTIONS.1);
        arrival.deadline.since(now).mul_f64(fraction)
    }

    fn refuse_with_delay(
        &mut self,
        arrival: &Arrival,
        proof: NotRunProof,
        reason: RefusalReason,
        wait: Duration,
        now: Time,
    ) {
        let left = arrival.deadline.since(now).mul_f64(RETRY_AFTER_FRACTIONS.1);
        self.refuse_for(arrival, proof, reason, wait.min(left));
    }

    /// Refuses a request whose caller may return after `wait`.
    fn refuse_for(
        &mut self,
        arrival: &Arrival,
        proof: NotRunProof,
        reason: RefusalReason,
        wait: Duration,
    ) {
        let refusal = Refusal::new(proof, reason, wait);
        self.out.push(Action { ticket: arrival.ticket, step: Step::Refuse(refusal) });
    }

    pub(crate) fn refund(&mut self, request: &Request, now: Time) {
        if let Some(account) = &request.arrival.account {
            self.quotas.refund(&account.name, request.cost, now);
        }
    }

    /// Removes the attempt from its target's load.
    pub(crate) fn release(&mut self, attempt: &Attempt, prompt: u32) {
        let target = self.targets.get_mut(attempt.target);
        target.own_requests = target.own_requests.saturating_sub(1);
        if attempt.silent {
            target.silent_requests = target.silent_requests.saturating_sub(1);
        }
        if !attempt.started {
            target.own_prefill = target.own_prefill.saturating_sub(prompt);
        }
    }

    /// Records an attempt's outcome in the state of its target.
    fn record_outcome(&mut self, target: Index, outcome: AttemptOutcome, now: Time) {
        self.reach.record_attempt(target, outcome, now);
        let target = self.targets.get_mut(target);
        match outcome {
            AttemptOutcome::Whole => target.record_success(now),
            AttemptOutcome::Failing => target.record_failed_answer(),
            AttemptOutcome::Replaced => {
                target.record_failure(now);
                target.usability = crate::targets::Usability::Retired;
            }
            // The target has said itself when it takes requests again.
            AttemptOutcome::Declined if !target.rest_left(now).is_zero() => {}
            AttemptOutcome::Unconnected
            | AttemptOutcome::Declined
            | AttemptOutcome::Broken
            | AttemptOutcome::Silent => target.record_failure(now),
            AttemptOutcome::Expired => {}
        }
    }

    /// Selects the target for a request. `latency_limit` bounds the predicted time to the first
    /// byte.
    fn select_target(
        &mut self,
        request: &Request,
        latency_limit: Option<Duration>,
        now: Time,
    ) -> Option<Index> {
        let candidates = if request.held { Candidates::Ready } else { Candidates::All };
        self.select_among(candidates, request, latency_limit, now)
    }

    pub(crate) fn select_among(
        &mut self,
        candidates: Candidates,
        request: &Request,
        latency_limit: Option<Duration>,
        now: Time,
    ) -> Option<Index> {
        let versions = self.rollouts.allowed_versions(&request.service, request.arrival.point);
        let margin = self.margin();
        let service = self.services.get(&request.service)?;
        let context = service.selection_context(&self.me.zone, margin, now);
        let query = SelectionRequest {
            candidates,
            ..selection_request(request, latency_limit, (service, &versions), &self.tuning, now)
        };
        let rng = &mut self.rng;
        if let AllowedVersions::Prefer(version) = &versions {
            let only = AllowedVersions::Only(version.clone());
            let query = SelectionRequest { versions: &only, ..query };
            let found = selection::choose(&self.targets, &service.targets, query, context, rng);
            if found.is_some() {
                return found;
            }
        }
        selection::choose(&self.targets, &service.targets, query, context, rng)
    }

    pub(crate) fn dispatch(
        &mut self,
        ticket: Ticket,
        request: Request,
        index: Index,
        history: History,
        now: Time,
    ) {
        let dispatch = self.start_attempt(ticket, request, index, history, now);
        self.out.push(Action { ticket, step: Step::Dispatch(dispatch) });
    }

    /// Puts the request at the target at `index` and returns the attempt to make.
    pub(crate) fn start_attempt(
        &mut self,
        ticket: Ticket,
        mut request: Request,
        index: Index,
        history: History,
        now: Time,
    ) -> Dispatch {
        let prompt = request.prompt();
        let is_held_off = std::mem::take(&mut request.held_off);
        let limits = is_held_off.then(|| self.limit_summary(&request.service, now)).flatten();
        let target = self.targets.get_mut(index);
        let ahead = target.prefill();
        target.own_requests += 1;
        target.own_prefill = target.own_prefill.saturating_add(prompt);
        target.record_send(now);
        request.sends += 1;
        request.late = false;
        let (id, version) = (&target.listed.id, &target.listed.version);
        self.rollouts.count_sent(&request.service, (id, version));
        let hedge_after = self.hedge_delay(&request, index, ahead);
        let target = self.targets.get(index);
        let route = &request.arrival.route;
        let is_last = request.runs + 1 >= route.attempts;
        let silence_timeout = match (route.repeat, route.stream) {
            (Repeat::Never, _) => None,
            (_, true) => Some(STREAM_SILENCE_TIMEOUT.max(route.pause * 2)),
            (_, false) => (!is_last).then_some(PLAIN_SILENCE_TIMEOUT),
        };
        let dispatch = Dispatch {
            target: target.listed.id.clone(),
            address: target.listed.address,
            attempt: request.sends,
            silence_timeout,
            deadline: request.arrival.deadline,
            load: target.load(),
            pause: target.pauses.average_ms(),
            waited: now.since(request.arrived),
            revision: self.table.as_ref().map_or_else(Default::default, |table| table.revision),
            once: route.repeat == Repeat::Never,
            limits,
            hedge_after,
        };
        request.state = State::InFlight(Attempt::new(index, now, ahead, history));
        self.requests.insert(ticket, request);
        dispatch
    }

    pub(crate) fn dispatch_all_waiting(&mut self, now: Time) {
        let waiting = self.services.iter().filter(|(_, service)| !service.queue.is_empty());
        let names: Vec<ServiceId> = waiting.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.dispatch_waiting(&name, now);
        }
    }

    /// Dispatches waiting requests to free slots.
    pub(crate) fn dispatch_waiting(&mut self, service: &ServiceId, now: Time) {
        let Some(state) = self.services.get(service) else { return };
        let next: Vec<Ticket> = state.queue.tickets().take(MAX_SCANNED).collect();
        let mut full_for_late = false;
        for ticket in next {
            if full_for_late && self.requests.get(&ticket).is_some_and(|request| request.late) {
                continue;
            }
            let Some(mut request) = self.requests.remove(&ticket) else { continue };
            let latency_limit = request.latency_limit(now);
            let choice = self.select_target(&request, latency_limit, now);
            match choice.filter(|_| self.charge_retry(&mut request, now)) {
                Some(target) => self.leave_queue(ticket, request, target, now),
                None => {
                    full_for_late |= request.late;
                    self.requests.insert(ticket, request);
                }
            }
        }
    }

    /// Charges the retry that a waiting request may still owe; returns whether it may be sent.
    fn charge_retry(&mut self, request: &mut Request, now: Time) -> bool {
        if request.uncharged {
            request.uncharged =
                !self.acquire_retry(&request.service, AttemptOutcome::Declined, now);
        }
        !request.uncharged
    }

    fn leave_queue(&mut self, ticket: Ticket, mut request: Request, target: Index, now: Time) {
        let placeholder =
            State::Waiting { position: (request.arrived, ticket), history: History::MayHaveRun };
        let State::Waiting { position, history } =
            std::mem::replace(&mut request.state, placeholder)
        else {
            return;
        };
        if let Some(service) = self.services.get_mut(&request.service) {
            service.queue.remove(position);
            service.dispatched.count(now);
        }
        self.dispatch(ticket, request, target, history, now);
    }

    /// Dispatches requests that have reached the end of their wait, if a slot is free for requests
    /// that miss their objective, and refuses the others.
    pub(crate) fn expire_waiting(&mut self, now: Time) {
        let overdue: Vec<Ticket> =
            self.services.values().flat_map(|service| service.queue.overdue(now)).collect();
        for ticket in overdue {
            let Some(mut request) = self.requests.remove(&ticket) else { continue };
            let in_time = now < request.arrival.deadline;
            if in_time && now < self.read_until && !request.postponed {
                self.postpone(ticket, request);
                continue;
            }
            let is_model = self.services.get(&request.service).is_some_and(|state| state.model);
            request.late |= is_model && request.sends == 0;
            let choice = self.select_target(&request, None, now).filter(|_| in_time);
            match choice.filter(|_| self.charge_retry(&mut request, now)) {
                Some(target) => self.leave_queue(ticket, request, target, now),
                None if request.held && in_time => self.wait_again(ticket, request, now),
                None => self.abandon(ticket, request, now),
            }
        }
    }

    /// Keeps a request in the queue until answers that have arrived during a stall are read. That
    /// happens once for each request, so that an instance that stalls often still refuses some.
    fn postpone(&mut self, ticket: Ticket, mut request: Request) {
        request.postponed = true;
        let until = self.read_until.min(request.arrival.deadline);
        if let State::Waiting { position, .. } = &request.state
            && let Some(service) = self.services.get_mut(&request.service)
        {
            service.queue.postpone(*position, until);
        }
        self.requests.insert(ticket, request);
    }

    /// Keeps a request that can't be refused in the queue, also for targets that were tried.
    fn wait_again(&mut self, ticket: Ticket, mut request: Request, now: Time) {
        request.tried.clear();
        if let State::Waiting { position, .. } = &request.state
            && let Some(service) = self.services.get_mut(&request.service)
        {
            service.queue.remove(*position);
        }
        self.requeue(ticket, request, History::MayHaveRun, now);
    }

    pub(crate) fn abandon(&mut self, ticket: Ticket, request: Request, now: Time) {
        let usable = self.services.get(&request.service).is_some_and(|service| {
            service.targets.iter().any(|&index| self.targets.get(index).is_usable(now))
        });
        let barrier = self.barrier(&request.service, &request.arrival, now);
        let reason = if let Some(barrier) = barrier {
            barrier
        } else if !usable {
            RefusalReason::NoTarget
        } else if self.is_limited(&request.service, now) {
            RefusalReason::Limited
        } else if request.has_returned() {
            RefusalReason::Late
        } else {
            RefusalReason::Full
        };
        self.abandon_for(ticket, request, reason, now);
    }

    /// Ends a waiting request that will not be sent.
    pub(crate) fn abandon_for(
        &mut self,
        ticket: Ticket,
        request: Request,
        reason: RefusalReason,
        now: Time,
    ) {
        if let Some(service) = self.services.get_mut(&request.service)
            && let State::Waiting { position, .. } = &request.state
        {
            service.queue.remove(*position);
        }
        if matches!(request.state, State::Waiting { history: History::NotRun(_), .. }) {
            self.refund(&request, now);
        }
        match request.state {
            State::Waiting { history: History::NotRun(proof), .. } => {
                self.refuse(&request.arrival, proof, reason, now);
            }
            _ => {
                let failure = match reason {
                    RefusalReason::Quarantined => {
                        Failure { outcome: AttemptOutcome::Broken, no_retry: NoRetry::Quarantined }
                    }
                    _ => Failure { outcome: AttemptOutcome::Expired, no_retry: NoRetry::NoTarget },
                };
                self.out.push(Action { ticket, step: Step::Fail(failure) });
            }
        }
    }
}

/// Returns what a request asks of its target: a version that `versions` allows among the targets of
/// `service`. `latency_limit` bounds the predicted time to the first byte.
pub(crate) fn selection_request<'a>(
    request: &'a Request,
    latency_limit: Option<Duration>,
    (service, versions): (&ServiceState, &'a AllowedVersions),
    tuning: &'a Tuning,
    now: Time,
) -> SelectionRequest<'a> {
    let route = &request.arrival.route;
    let headroom = match latency_limit {
        _ if request.late => service.late_headroom(route.rank, now),
        Some(_) => service.headroom(route.rank, now),
        // A request that was sent before may use the reserved slots.
        None => 0.0,
    };
    let pause_wait = route.objective.mul_f64(PAUSE_WAIT_FRACTION);
    let events = service.events(&route.name);
    SelectionRequest {
        prompt: request.prompt(),
        tried: &request.tried,
        latency_limit,
        headroom,
        pause_limit: route.pause,
        long_stream: events.map(|events| events >= LONG_STREAM_EVENTS as f64),
        strict_pause: latency_limit.is_some() && now.since(request.arrived) < pause_wait,
        candidates: Candidates::All,
        versions,
        homes: Homes::of(&request.arrival, &tuning.regions),
    }
}
