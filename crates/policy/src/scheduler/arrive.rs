//! Admission of arriving requests: record, account limit, queue.

use std::cmp::Reverse;
use std::time::Duration;

use sesamewind_protocol::{Code, InstanceId, RunState};

use crate::action::Action;
use crate::attempt::{Received, Refusal};
use crate::config::Kind;
use crate::event::{Arrival, Ticket};
use crate::queue::Class;
use crate::records::Claim;

use super::request::{Request, Stage};
use super::{Context, Scheduler};

const STOP_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Urgent requests may exceed the queue's limit up to this multiple of it while lower-tier work is
/// cancelled.
const URGENT_OVERFLOW_FACTOR: usize = 4;
/// A request is refused at once if even this fraction of the time predicted for an idle target
/// exceeds the time that the request has left.
const UNREACHABLE_FRACTION: f64 = 0.8;

impl Scheduler {
    pub(super) fn arrive(&mut self, arrival: Arrival, cx: Context<'_>) {
        let claim = if arrival.has_key {
            self.records.claim(&arrival, self.join.has_joined(), cx.now)
        } else {
            Claim::Held
        };
        let received = Received::new(arrival.ticket);
        match claim {
            Claim::Held => self.admit(arrival, received, cx),
            Claim::Ask(peers) => self.look_up(arrival, received, peers, cx),
            Claim::Attach(to) => {
                self.out.push(Action::AttachLocal { ticket: arrival.ticket, to });
            }
            Claim::Resolved(code, run) => self.refuse(received.end(code, run, None)),
            Claim::KeyReused => {
                self.refuse(received.end(Code::KeyReused, RunState::Unknown, None));
            }
        }
    }

    /// Admits a request whose record is held here.
    fn admit(&mut self, arrival: Arrival, received: Received, cx: Context<'_>) {
        let claimed = received.claim();
        let service = match self.check_admission(&arrival, cx) {
            Ok(service) => service,
            Err((code, retry_after)) => {
                let refusal = claimed.refuse(code, retry_after);
                self.close_record(&arrival, &refusal, cx);
                return self.refuse(refusal);
            }
        };
        let request = self.new_request(arrival, service, Stage::Queued(claimed.enqueue()), cx);
        self.enqueue(request, cx);
    }

    /// Looks up a possible resend at the peers.
    fn look_up(
        &mut self,
        arrival: Arrival,
        received: Received,
        peers: Vec<InstanceId>,
        cx: Context<'_>,
    ) {
        let service = match self.check_admission(&arrival, cx) {
            Ok(service) => service,
            Err((code, retry_after)) => {
                self.records.release(arrival.key, cx.now);
                return self.refuse(received.end(code, RunState::Unknown, retry_after));
            }
        };
        let (ticket, key) = (arrival.ticket, arrival.key);
        let request = self.new_request(arrival, service, Stage::Received(received), cx);
        self.requests.insert(ticket, request);
        self.ask_peers(ticket, key, peers);
    }

    /// Returns the index of the request's service if the request may be admitted.
    fn check_admission(
        &mut self,
        arrival: &Arrival,
        cx: Context<'_>,
    ) -> Result<usize, (Code, Option<Duration>)> {
        if self.stopped {
            return Err((Code::Stopping, Some(STOP_RETRY_AFTER)));
        }
        let known = self.service_index.get(&arrival.service).copied();
        let active = known.filter(|index| self.services[*index].active);
        let service = active.ok_or((Code::UnknownService, None))?;
        let tokens = arrival.prompt_tokens.saturating_add(arrival.output_tokens);
        let charged = self.accounts.charge(&arrival.account, tokens, cx.now);
        charged.map_err(|wait| (Code::AccountLimit, Some(wait)))?;
        Ok(service)
    }

    fn new_request(
        &self,
        arrival: Arrival,
        service: usize,
        stage: Stage,
        cx: Context<'_>,
    ) -> Request {
        Request {
            class: self.class(service, &arrival),
            arrival,
            service,
            stage,
            queued_at: cx.now,
            avoid: None,
            tries: 0,
            orphaned_since: None,
        }
    }

    /// Queues a request after every peer has voided its lookup.
    pub(super) fn cleared(&mut self, ticket: Ticket, cx: Context<'_>) {
        let Some(mut request) = self.requests.remove(&ticket) else { return };
        let Stage::Received(received) = request.stage else {
            self.requests.insert(ticket, request);
            return;
        };
        let claimed = received.claim();
        if self.stopped {
            let refusal = claimed.refuse(Code::Stopping, Some(STOP_RETRY_AFTER));
            self.close_record(&request.arrival, &refusal, cx);
            return self.refuse(refusal);
        }
        request.stage = Stage::Queued(claimed.enqueue());
        self.enqueue(request, cx);
    }

    fn class(&self, service: usize, arrival: &Arrival) -> Class {
        let long = arrival.prompt_tokens >= self.limits.long_prompt;
        let model = self.services[service].kind == Kind::Model;
        if long && model { Class::Long } else { Class::Short }
    }

    /// Puts a request into the queue.
    fn enqueue(&mut self, mut request: Request, cx: Context<'_>) {
        let ticket = request.arrival.ticket;
        request.queued_at = cx.now;
        if self.is_deadline_unreachable(&request, cx) {
            return self.abandon(request, Code::DeadlineUnreachable, None, cx);
        }
        let (service, rank, class) = (request.service, request.arrival.rank, request.class);
        let state = &mut self.services[service];
        state.observe_demand(class, request.arrival.prompt_tokens, cx.now);
        let first = state.queue.head(rank, class).is_none();
        state.queue.push(rank, class, &request.arrival.account, ticket);
        self.deadlines.push(Reverse((request.expires(), ticket)));
        self.requests.insert(ticket, request);
        self.enforce_queue_limit(service, rank, cx);
        // If the service is blocked, a request that isn't the first of its class can't be
        // dispatched now.
        if first || self.services[service].blocked.is_none() {
            self.dispatch_waiting(service, cx);
        }
    }

    /// Keeps the queue within its limit. The least urgent tier is shed first, and within it the
    /// account with the most waiting requests.
    fn enforce_queue_limit(&mut self, service: usize, rank: u8, cx: Context<'_>) {
        let limit = self.limits.queue_requests;
        let queue = &self.services[service].queue;
        if queue.len() <= limit {
            return;
        }
        let Some(last) = queue.last_rank() else { return };
        let overflow = queue.len() > limit * URGENT_OVERFLOW_FACTOR;
        if last <= rank && !overflow && !self.may_shed(service, rank, cx) {
            return;
        }
        let Some(ticket) = self.services[service].queue.shed_candidate(last) else { return };
        let Some(request) = self.requests.remove(&ticket) else { return };
        let code = if last > rank { Code::TierShed } else { Code::QueueFull };
        let retry_after = Some(self.retry_delay(service, cx));
        self.abandon(request, code, retry_after, cx);
    }

    /// Returns whether the request would be late by far even on an idle target.
    fn is_deadline_unreachable(&self, request: &Request, cx: Context<'_>) -> bool {
        let state = &self.services[request.service];
        if cx.now >= request.expires() {
            return true;
        }
        if state.kind == Kind::Plain || state.targets.is_empty() {
            return false;
        }
        let arrival = &request.arrival;
        let first_within = arrival.first_token_by.since(cx.now).as_secs_f64();
        let total_within = arrival.deadline.since(cx.now).as_secs_f64();
        let output = f64::from(arrival.output_tokens) * state.output_ratio;
        state.targets.iter().all(|index| {
            let target = &self.targets[*index];
            if !target.speed.is_current(cx.now) {
                return false;
            }
            let retention = self.limits.cache_retention;
            let cached = arrival
                .prefix
                .map_or(0.0, |prefix| target.cached_tokens(&prefix, retention, cx.now));
            let prompt = (f64::from(arrival.prompt_tokens) - cached).max(1.0);
            let first = prompt / target.speed.prefill();
            let end = first + output * target.speed.step(1.0);
            first * UNREACHABLE_FRACTION > first_within || end * UNREACHABLE_FRACTION > total_within
        })
    }

    /// Returns the time after which a caller that was refused for lack of room may retry.
    pub(super) fn retry_delay(&self, service: usize, cx: Context<'_>) -> Duration {
        const MIN_DELAY: Duration = Duration::from_millis(500);
        const MAX_DELAY: Duration = Duration::from_secs(10);
        let queue = &self.services[service].queue;
        let head = queue
            .next_rank(0)
            .and_then(|rank| Class::ALL.iter().find_map(|class| queue.head(rank, *class)));
        let waited = head
            .and_then(|ticket| self.requests.get(&ticket))
            .map_or(Duration::ZERO, |request| cx.now.since(request.queued_at));
        waited.clamp(MIN_DELAY, MAX_DELAY)
    }

    /// Counts and sends a refusal.
    pub(super) fn refuse(&mut self, refusal: Refusal) {
        self.count(&refusal);
        self.out.push(Action::Refuse(refusal));
    }

    pub(super) fn count(&mut self, refusal: &Refusal) {
        *self.counters.refusals.entry(refusal.code()).or_default() += 1;
    }

    /// Ends an attempt that waits for its record with the result of another attempt.
    pub(super) fn resolve(&mut self, ticket: Ticket, code: Code, run: RunState) {
        let Some(request) = self.requests.remove(&ticket) else { return };
        let Stage::Received(received) = request.stage else {
            self.requests.insert(ticket, request);
            return;
        };
        self.refuse(received.end(code, run, None));
    }
}
