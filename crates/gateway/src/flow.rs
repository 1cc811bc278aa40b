//! A request's way: arrival, queue, dispatch, and what follows an attempt's end.

use std::time::Duration;

use rand::RngExt;
use sesamewind_protocol::{ServiceId, Time};

use crate::arrival::{Arrival, Ticket};
use crate::event::{Action, AttemptOutcome, Dispatch, Step};
use crate::gateway::Gateway;
use crate::proof::{NotRunProof, Refusal, RefusalReason};
use crate::request::{Flight, History, Request, State};
use crate::rollouts::Admitted;
use crate::selection::{self, Need, Place};
use crate::service::ServiceState;
use crate::table::Repeat;
use crate::targets::Index;

/// Part of its objective for which a request waits for a place; the rest is the target's.
const PATIENCE_PART: f64 = 0.75;

/// Part of its objective for which a request waits for a target whose pauses are short enough while others
/// have places: several places of a group come free in that time.
const QUICK_PART: f64 = 0.2;

/// Events of a stream from which on its longest pause tells how fast its target is.
const LONG_EVENTS: u64 = 8;

/// Sends of one request at most, those that certainly did not run included.
const MAX_SENDS: u32 = 6;

/// Longest silence of a stream whose request can go on elsewhere. Callers leave a silent stream
/// after two seconds or more, and the other target needs time for the prompt.
const STREAM_SILENCE: Duration = Duration::from_millis(1_000);

/// Longest silence of a plain target whose request can be repeated: several times the slowest
/// usual answer.
const PLAIN_SILENCE: Duration = Duration::from_millis(700);

/// Bounds on the part of its remaining time after which a refused caller is asked to come back.
/// Callers honour up to a third, and most come back only once, so that a late return finds a place
/// more likely than an early one.
const COME_BACK_PARTS: (f64, f64) = (0.18, 0.32);

/// Part of its objective for which a request may have to wait by the queue's length. A longer queue
/// would only turn requests that are in time into late ones.
const QUEUE_PART: f64 = 0.4;

/// How many waiting requests are looked at beyond one that no target can take yet.
const PUMP_DEPTH: usize = 16;

impl Gateway {
    pub(crate) fn arrive(&mut self, arrival: Arrival, now: Time) {
        let ticket = arrival.ticket;
        let proof = NotRunProof::at_arrival();
        let service = arrival.route.service_at(arrival.point).clone();
        let cost = arrival.cost();
        if self.stopping {
            return self.refuse(&arrival, proof, RefusalReason::Stopping, now);
        }
        if let Some(account) = &arrival.account
            && let Err(wait) = self.quotas.take(&account.name, cost, now)
        {
            let wait = wait.max(self.come_back(&arrival, now));
            return self.refuse_for(&arrival, proof, RefusalReason::OverLimit, wait, now);
        }
        let state =
            self.services.entry(service.clone()).or_insert_with(|| ServiceState::new(&self.tuning));
        state.budget.first(now);
        let until = (now + arrival.route.objective.mul_f64(PATIENCE_PART)).min(arrival.deadline);
        let position = state.queue.push(ticket, arrival.rank(), now, until);
        let request = Request {
            arrival,
            service: service.clone(),
            arrived: now,
            sends: 0,
            runs: 0,
            started: false,
            tried: Vec::new(),
            cost,
            state: State::Waiting { position, history: History::NotRun(proof) },
        };
        let wait = request.arrival.route.objective.mul_f64(QUEUE_PART);
        let rank = request.arrival.route.rank;
        self.requests.insert(ticket, request);
        self.pump(&service, now);
        let waits = |request: &Request| matches!(request.state, State::Waiting { .. });
        if self.requests.get(&ticket).is_some_and(waits)
            && let Some(state) = self.services.get_mut(&service)
        {
            state.found_none(rank, now);
        }
        self.shorten_queue(&service, wait, now);
    }

    /// Refuses the last requests of a queue that is too long for them to be in time. Their callers
    /// learn at once what they would learn later anyway.
    fn shorten_queue(&mut self, service: &ServiceId, wait: Duration, now: Time) {
        loop {
            let Some(state) = self.services.get_mut(service) else { return };
            if state.queue.len() <= state.queue_limit(wait, now) {
                return;
            }
            let Some(ticket) = state.queue.last() else { return };
            let Some(request) = self.requests.remove(&ticket) else { return };
            self.give_up(ticket, request, now);
        }
    }

    pub(crate) fn started(&mut self, ticket: Ticket, now: Time) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let prompt = request.prompt();
        let State::Flying(flight) = &mut request.state else { return };
        if std::mem::replace(&mut flight.started, true) {
            return;
        }
        request.started = true;
        let took = now.since(flight.sent).as_secs_f64() * 1_000.0;
        let ratio = took / selection::estimate_ms(prompt, flight.ahead);
        flight.ratio = Some(ratio);
        let target = self.targets.get_mut(flight.target);
        target.own_prefill = target.own_prefill.saturating_sub(prompt);
        target.observe_pace(ratio);
    }

    /// Learns from a stream's events and longest pause what its route is like and how fast its target is.
    /// A stream that went on elsewhere paused for that.
    pub(crate) fn streamed(&mut self, ticket: Ticket, events: u64, pause: Duration) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let State::Flying(flight) = &request.state else { return };
        if request.sends > 1 {
            return;
        }
        let Some(service) = self.services.get_mut(&request.service) else { return };
        service.observe_events(&request.arrival.route.name, events);
        if events >= LONG_EVENTS {
            self.targets.get_mut(flight.target).pauses.observe(pause);
        }
    }

    pub(crate) fn left(&mut self, ticket: Ticket, now: Time) {
        let Some(request) = self.requests.remove(&ticket) else { return };
        match &request.state {
            State::Waiting { position, history } => {
                if let Some(service) = self.services.get_mut(&request.service) {
                    service.queue.remove(*position);
                }
                if matches!(history, History::NotRun(_)) {
                    self.give_back(&request, now);
                }
            }
            State::Flying(flight) => self.release(flight, request.prompt()),
        }
        self.pump(&request.service, now);
    }

    pub(crate) fn ended(&mut self, ticket: Ticket, end: AttemptOutcome, now: Time) {
        let Some(mut request) = self.requests.remove(&ticket) else { return };
        let waiting =
            State::Waiting { position: (request.arrived, ticket), history: History::MayHaveRun };
        let State::Flying(flight) = std::mem::replace(&mut request.state, waiting) else { return };
        self.release(&flight, request.prompt());
        self.judge(flight.target, end, now);
        if !end.is_not_run() && end != AttemptOutcome::Expired {
            let version = &self.targets.get(flight.target).listed.version;
            self.moves.count(&request.service, version, end == AttemptOutcome::Whole, flight.ratio);
        }
        let service = request.service.clone();
        match end {
            AttemptOutcome::Whole => {}
            AttemptOutcome::Expired => self.finish(ticket, &request, flight.history(end), end, now),
            _ => self.continue_elsewhere(ticket, request, flight, end, now),
        }
        self.pump(&service, now);
    }

    /// Sends the request to another target if that is allowed, or ends it.
    fn continue_elsewhere(
        &mut self,
        ticket: Ticket,
        mut request: Request,
        flight: Flight,
        end: AttemptOutcome,
        now: Time,
    ) {
        let target = flight.target;
        let history = flight.history(end);
        if !end.is_not_run() {
            request.runs += 1;
        }
        request.tried.push(target);
        let repeatable = end.is_not_run()
            || match request.arrival.route.repeat {
                Repeat::Never => false,
                Repeat::Whole => true,
                Repeat::Resume => end != AttemptOutcome::Failing || !request.started,
            };
        let allowed = repeatable
            && request.runs < request.arrival.route.attempts
            && request.sends < MAX_SENDS
            && now < request.arrival.deadline
            && self.may_send_again(&request.service, end, now);
        if !allowed {
            return self.finish(ticket, &request, history, end, now);
        }
        let choice = self.find(&request, None, now).or_else(|| {
            request.tried.clear();
            request.tried.push(target);
            self.find(&request, None, now)
        });
        match choice {
            Some(target) => self.dispatch(ticket, request, target, history, now),
            None if end != AttemptOutcome::Failing => {
                self.wait_again(ticket, request, history, now)
            }
            None => self.finish(ticket, &request, history, end, now),
        }
    }

    /// Puts a request that has to be sent again into the queue, before all that arrived later.
    fn wait_again(&mut self, ticket: Ticket, mut request: Request, history: History, now: Time) {
        let until = (now + request.arrival.route.objective).min(request.arrival.deadline);
        let Some(service) = self.services.get_mut(&request.service) else { return };
        let position = service.queue.push(ticket, 0, request.arrived, until);
        request.state = State::Waiting { position, history };
        self.requests.insert(ticket, request);
    }

    /// A connection that did not come about reaches no target and costs nothing.
    fn may_send_again(&mut self, service: &ServiceId, end: AttemptOutcome, now: Time) -> bool {
        let instances = self.peers.instances();
        end == AttemptOutcome::Unconnected
            || self
                .services
                .get_mut(service)
                .is_some_and(|service| service.budget.take(instances, now))
    }

    /// Ends a request that will not be sent again.
    fn finish(
        &mut self,
        ticket: Ticket,
        request: &Request,
        history: History,
        end: AttemptOutcome,
        now: Time,
    ) {
        match history {
            History::NotRun(proof) => {
                self.give_back(request, now);
                let reason = match end {
                    AttemptOutcome::Expired => RefusalReason::Expired,
                    _ => RefusalReason::Refused,
                };
                self.refuse(&request.arrival, proof, reason, now);
            }
            History::MayHaveRun => {
                let step =
                    if end == AttemptOutcome::Failing { Step::Deliver } else { Step::Fail(end) };
                self.out.push(Action { ticket, step });
            }
        }
    }

    fn refuse(&mut self, arrival: &Arrival, proof: NotRunProof, reason: RefusalReason, now: Time) {
        let wait = self.come_back(arrival, now);
        self.refuse_for(arrival, proof, reason, wait, now);
    }

    /// A time to come back, drawn at random so that refused callers don't return together.
    fn come_back(&mut self, arrival: &Arrival, now: Time) -> Duration {
        let part = self.rng.random_range(COME_BACK_PARTS.0..COME_BACK_PARTS.1);
        arrival.deadline.since(now).mul_f64(part)
    }

    fn refuse_for(
        &mut self,
        arrival: &Arrival,
        proof: NotRunProof,
        reason: RefusalReason,
        wait: Duration,
        now: Time,
    ) {
        let left = arrival.deadline.since(now).mul_f64(COME_BACK_PARTS.1);
        let refusal = Refusal::new(proof, reason, wait.min(left));
        self.out.push(Action { ticket: arrival.ticket, step: Step::Refuse(refusal) });
    }

    fn give_back(&mut self, request: &Request, now: Time) {
        if let Some(account) = &request.arrival.account {
            self.quotas.give_back(&account.name, request.cost, now);
        }
    }

    /// Takes the attempt off its target's load.
    fn release(&mut self, flight: &Flight, prompt: u32) {
        let target = self.targets.get_mut(flight.target);
        target.own = target.own.saturating_sub(1);
        if !flight.started {
            target.own_prefill = target.own_prefill.saturating_sub(prompt);
        }
    }

    /// Counts an attempt's end for or against its target.
    fn judge(&mut self, target: Index, end: AttemptOutcome, now: Time) {
        let target = self.targets.get_mut(target);
        match end {
            AttemptOutcome::Whole => target.succeeded(now),
            AttemptOutcome::Failing => target.answered_failure(),
            AttemptOutcome::Replaced => {
                target.failed(now);
                target.standing = crate::targets::Standing::Retired;
            }
            AttemptOutcome::Unconnected
            | AttemptOutcome::Declined
            | AttemptOutcome::Broken
            | AttemptOutcome::Silent => target.failed(now),
            AttemptOutcome::Expired => {}
        }
    }

    /// The target for a request, by its prompt; `within` bounds the predicted time to the first
    /// byte.
    fn find(&mut self, request: &Request, within: Option<Duration>, now: Time) -> Option<Index> {
        let service = self.services.get(&request.service)?;
        let admitted = self.moves.admitted(&request.service, request.arrival.point, now);
        // Without a bound in time the request has waited long enough to go first.
        let headroom = within.map_or(0.0, |_| service.headroom(request.arrival.route.rank, now));
        let prompt = request.prompt();
        let route = &request.arrival.route;
        let patience = route.objective.mul_f64(QUICK_PART);
        let need = Need {
            prompt,
            tried: &request.tried,
            within,
            headroom,
            pause: route.pause,
            long: service.events(&route.name).map(|events| events >= LONG_EVENTS as f64),
            picky: within.is_some() && now.since(request.arrived) < patience,
            admitted: &admitted,
        };
        let margin = self.margin();
        let place = Place { zone: &self.me.zone, fill: service.fill(), margin, now };
        if let Admitted::Rather(version) = &admitted {
            let only = Admitted::Only(version.clone());
            let need = Need { admitted: &only, ..need };
            let rng = &mut self.rng;
            let found = selection::choose(&self.targets, &service.targets, need, place, rng);
            if found.is_some() {
                return found;
            }
        }
        selection::choose(&self.targets, &service.targets, need, place, &mut self.rng)
    }

    fn dispatch(
        &mut self,
        ticket: Ticket,
        mut request: Request,
        index: Index,
        history: History,
        now: Time,
    ) {
        let prompt = request.prompt();
        let target = self.targets.get_mut(index);
        let ahead = target.prefill();
        target.own += 1;
        target.own_prefill = target.own_prefill.saturating_add(prompt);
        request.sends += 1;
        let route = &request.arrival.route;
        let left = request.arrival.deadline.since(now);
        let silence = match (route.repeat, route.stream) {
            (Repeat::Never, _) => left,
            (_, true) => STREAM_SILENCE.max(route.pause * 2),
            (_, false) => PLAIN_SILENCE,
        };
        let last = request.runs + 1 >= route.attempts && !route.stream;
        let step = Step::Dispatch(Dispatch {
            target: target.listed.id.clone(),
            address: target.listed.address,
            attempt: request.sends,
            silence_timeout: if last { left } else { silence.min(left) },
            deadline: request.arrival.deadline,
            load: target.load(),
            pause: target.pauses.millis(),
            waited: now.since(request.arrived),
            revision: self.table.as_ref().map_or_else(Default::default, |table| table.revision),
            once: route.repeat == Repeat::Never,
        });
        request.state = State::Flying(Flight::new(index, now, ahead, history));
        self.requests.insert(ticket, request);
        self.out.push(Action { ticket, step });
    }

    pub(crate) fn pump_all(&mut self, now: Time) {
        let waiting = self.services.iter().filter(|(_, service)| !service.queue.is_empty());
        let names: Vec<ServiceId> = waiting.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.pump(&name, now);
        }
    }

    /// Gives waiting requests the places that are free.
    fn pump(&mut self, service: &ServiceId, now: Time) {
        let Some(state) = self.services.get(service) else { return };
        let next: Vec<Ticket> = state.queue.tickets().take(PUMP_DEPTH).collect();
        for ticket in next {
            let Some(request) = self.requests.remove(&ticket) else { continue };
            let objective = request.arrival.route.objective;
            // A request that is late already goes wherever there is a place.
            let within = objective.checked_sub(now.since(request.arrived));
            match self.find(&request, within, now) {
                Some(target) => self.leave_queue(ticket, request, target, now),
                None => {
                    self.requests.insert(ticket, request);
                }
            }
        }
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

    /// Sends requests that waited long enough wherever there is a place, and refuses the rest.
    pub(crate) fn expire_waiting(&mut self, now: Time) {
        let overdue: Vec<Ticket> =
            self.services.values().flat_map(|service| service.queue.overdue(now)).collect();
        for ticket in overdue {
            let Some(request) = self.requests.remove(&ticket) else { continue };
            let in_time = now < request.arrival.deadline;
            match self.find(&request, None, now).filter(|_| in_time) {
                Some(target) => self.leave_queue(ticket, request, target, now),
                None => self.give_up(ticket, request, now),
            }
        }
    }

    fn give_up(&mut self, ticket: Ticket, request: Request, now: Time) {
        let usable = self.services.get(&request.service).is_some_and(|service| {
            service.targets.iter().any(|&index| self.targets.get(index).is_usable(now))
        });
        let reason = if usable { RefusalReason::Full } else { RefusalReason::NoTarget };
        if let Some(service) = self.services.get_mut(&request.service)
            && let State::Waiting { position, .. } = &request.state
        {
            service.queue.remove(*position);
        }
        self.give_back(&request, now);
        match request.state {
            State::Waiting { history: History::NotRun(proof), .. } => {
                self.refuse(&request.arrival, proof, reason, now);
            }
            _ => self.out.push(Action { ticket, step: Step::Fail(AttemptOutcome::Expired) }),
        }
    }
}
