//! Requests in flight: write check, progress and end.

use std::time::Duration;

use sesamewind_protocol::{Code, TargetId, Time};

use crate::action::Action;
use crate::attempt::NotRunProof;
use crate::config::Kind;
use crate::event::{AttemptOutcome, Prefix, Ticket};
use crate::view::RetryReason;

use super::request::{InFlight, Request, Stage};
use super::{Context, Scheduler};

/// Dispatches of one request after which no further one is tried.
const MAX_TRIES: u32 = 4;
/// A first token that arrives sooner than this over a resumed connection was ready before the
/// resume.
const RESUMED_MIN_GAP: Duration = Duration::from_millis(100);

impl Scheduler {
    /// Decides right before the write whether the bytes may be sent. An abandoned attempt, or one
    /// past its deadline, must not be written, even if this instance was frozen since the dispatch.
    pub(super) fn write_check(&mut self, ticket: Ticket, cx: Context<'_>) {
        let Some(mut request) = self.requests.remove(&ticket) else {
            return self.out.push(Action::NoGo { ticket, refusal: None });
        };
        let (dispatching, mut in_flight) = match request.stage {
            Stage::Dispatching(dispatching, in_flight) => (dispatching, in_flight),
            stage => {
                request.stage = stage;
                self.requests.insert(ticket, request);
                return self.out.push(Action::NoGo { ticket, refusal: None });
            }
        };
        if cx.now >= request.arrival.deadline {
            self.release_target(request.service, request.arrival.rank, &in_flight, cx);
            let queued = dispatching.withdraw(NotRunProof::write_denied());
            let refusal = queued.refuse(Code::DeadlinePassed, None);
            self.close_record(&request.arrival, &refusal, cx);
            self.count(&refusal);
            return self.out.push(Action::NoGo { ticket, refusal: Some(refusal) });
        }
        in_flight.sent = cx.now;
        in_flight.last_progress = cx.now;
        request.stage = Stage::Sent(dispatching.send(), in_flight);
        self.requests.insert(ticket, request);
        self.out.push(Action::Go { ticket });
    }

    pub(super) fn accepted(&mut self, ticket: Ticket, cx: Context<'_>) {
        let Some(mut request) = self.requests.remove(&ticket) else { return };
        request.stage = match request.stage {
            Stage::Sent(sent, mut in_flight) => {
                in_flight.last_progress = cx.now;
                Stage::Streaming(sent.accept(), in_flight)
            }
            Stage::Streaming(streaming, mut in_flight) => {
                in_flight.last_progress = cx.now;
                in_flight.verified = true;
                in_flight.silent = false;
                Stage::Streaming(streaming, in_flight)
            }
            stage => stage,
        };
        self.requests.insert(ticket, request);
    }

    pub(super) fn tokens(&mut self, ticket: Ticket, n: u32, cx: Context<'_>) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let service = request.service;
        let prefix = request.arrival.prefix;
        let Some(in_flight) = request.stage.in_flight_mut() else { return };
        if n == 0 {
            return;
        }
        let target = &mut self.targets[in_flight.target];
        let first = in_flight.produced == 0;
        let streams = target.load(cx.now).requests;
        let gap = cx.now.since(in_flight.last_progress);
        // A gap that includes a pause of the connection doesn't show the target's speed.
        let steady = !in_flight.silent && !in_flight.verified;
        in_flight.last_progress = cx.now;
        in_flight.silent = false;
        in_flight.verified = false;
        in_flight.timeout_factor = 1;
        if first {
            let took = cx.now.since(in_flight.sent);
            target.prefilled(in_flight.uncached, in_flight.work, took, cx.now);
            // A token that arrives at once over a resumed connection was ready before the resume.
            let fresh = in_flight.resumes == 0 || gap >= RESUMED_MIN_GAP;
            if fresh && !target.batch.may_have_queued(in_flight.sent) {
                target.speed.observe_prefill(in_flight.work, in_flight.certainty, took, cx.now);
            }
            if let Some(Prefix { hash, tokens }) = prefix {
                target.set_hint(hash, tokens, cx.now);
            }
        } else if steady {
            let streams = 0.5 * (streams + in_flight.streams);
            target.speed.observe_step(streams, gap.as_secs_f64() / f64::from(n));
        }
        in_flight.streams = streams;
        in_flight.produced += n;
        target.generated(f64::from(n));
        if first && self.services[service].blocked.is_some() {
            self.dispatch_waiting(service, cx);
        }
    }

    pub(super) fn finished(&mut self, ticket: Ticket, end: AttemptOutcome, cx: Context<'_>) {
        let Some(request) = self.requests.remove(&ticket) else { return };
        let Some(target) = request.stage.in_flight().map(|in_flight| in_flight.target) else {
            self.requests.insert(ticket, request);
            return;
        };
        let service = request.service;
        match end {
            AttemptOutcome::Complete => self.completed(request, cx),
            AttemptOutcome::RefusedNotRun => self.not_run(request, RetryReason::TargetRefused, cx),
            AttemptOutcome::ConnectFailed | AttemptOutcome::Broken { sent: false } => {
                self.suspect_and_probe(target, cx);
                self.not_run(request, RetryReason::ConnectFailed, cx);
            }
            AttemptOutcome::Broken { sent: true } => self.broken(request, cx),
            AttemptOutcome::Failed => self.failed(request, cx),
        }
        self.dispatch_waiting(service, cx);
    }

    fn completed(&mut self, request: Request, cx: Context<'_>) {
        let Some(in_flight) = request.stage.in_flight() else { return };
        self.release_target(request.service, request.arrival.rank, in_flight, cx);
        let urgent = self.is_urgent(request.arrival.rank);
        let state = &mut self.services[request.service];
        state.retries.success();
        if state.kind == Kind::Plain {
            let took = cx.now.since(in_flight.sent);
            self.targets[in_flight.target].speed.observe_call(took);
        } else if in_flight.produced > 0 {
            state.observe_output(urgent, request.arrival.output_tokens, in_flight.produced);
        }
        if request.arrival.has_key {
            self.records.complete(request.arrival.key, request.arrival.ticket, cx.now);
        }
        self.counters.completed += 1;
    }

    /// Handles an attempt that did not run: queues the request again if another try is allowed.
    fn not_run(&mut self, mut request: Request, reason: RetryReason, cx: Context<'_>) {
        let (queued, in_flight) = match request.stage {
            Stage::Dispatching(stage, work) => (stage.withdraw(NotRunProof::reported()), work),
            Stage::Sent(stage, work) => (stage.withdraw(NotRunProof::reported()), work),
            // The target no longer has a stream that ran, or can't be reached to resume it.
            Stage::Streaming(..) => {
                let lost = reason == RetryReason::ConnectFailed;
                return if lost { self.await_target(request, cx) } else { self.lost(request, cx) };
            }
            Stage::Received(_) | Stage::Queued(_) => return,
        };
        request.stage = Stage::Queued(queued);
        self.release_target(request.service, request.arrival.rank, &in_flight, cx);
        request.avoid = Some(in_flight.target);
        let state = &mut self.services[request.service];
        // Failed connections cost targets nothing. Only refusals by targets use the retry budget.
        let allowed = match reason {
            RetryReason::ConnectFailed => request.tries < MAX_TRIES,
            _ => request.tries < MAX_TRIES && state.retries.spend(),
        };
        if !allowed {
            let is_exhausted = request.tries >= MAX_TRIES || reason == RetryReason::ConnectFailed;
            let code = if is_exhausted { Code::TargetRefused } else { Code::RetryBudget };
            let retry_after = Some(self.retry_delay(request.service, cx));
            return self.abandon(request, code, retry_after, cx);
        }
        *self.counters.retries.entry(reason).or_default() += 1;
        let (rank, class) = (request.arrival.rank, request.class);
        let ticket = request.arrival.ticket;
        state.queue.push_front(rank, class, &request.arrival.account, ticket);
        self.requests.insert(ticket, request);
    }

    /// Handles a connection that broke after bytes may have been sent.
    fn broken(&mut self, mut request: Request, cx: Context<'_>) {
        let kind = self.services[request.service].kind;
        let resumes = self.limits.max_resumes;
        if let Stage::Streaming(_, in_flight) = &mut request.stage
            && kind == Kind::Model
            && in_flight.resumes < resumes
        {
            let ticket = request.arrival.ticket;
            let target = self.resume(in_flight, RetryReason::StreamBroken, cx);
            self.requests.insert(ticket, request);
            return self.out.push(Action::Resume { ticket, target });
        }
        self.lost(request, cx);
    }

    /// Counts another connection of a stream and returns the target to open it to.
    fn resume(
        &mut self,
        in_flight: &mut InFlight,
        reason: RetryReason,
        cx: Context<'_>,
    ) -> TargetId {
        in_flight.resumes += 1;
        in_flight.last_progress = cx.now;
        in_flight.verified = true;
        in_flight.silent = false;
        *self.counters.retries.entry(reason).or_default() += 1;
        self.targets[in_flight.target].id.clone()
    }

    /// Keeps a stream whose target can't be reached until a probe shows whether the target is
    /// alive.
    fn await_target(&mut self, mut request: Request, cx: Context<'_>) {
        let resumes = self.limits.max_resumes;
        let model = self.services[request.service].kind == Kind::Model;
        let ticket = request.arrival.ticket;
        match request.stage.in_flight_mut() {
            Some(in_flight) if model && in_flight.resumes < resumes => {
                in_flight.silent = true;
                self.requests.insert(ticket, request);
            }
            _ => self.lost(request, cx),
        }
    }

    /// Ends an attempt for which it is unknown whether it ran.
    pub(super) fn lost(&mut self, request: Request, cx: Context<'_>) {
        let code = match &request.stage {
            Stage::Streaming(_, in_flight) if in_flight.produced > 0 => Code::AnswerBroken,
            _ => Code::OutcomeUnknown,
        };
        self.abandon_sent(request, code, cx);
    }

    fn failed(&mut self, request: Request, cx: Context<'_>) {
        let (refusal, in_flight) = match request.stage {
            Stage::Dispatching(stage, in_flight) => (stage.end(Code::OutcomeUnknown), in_flight),
            Stage::Sent(stage, in_flight) => (stage.fail(Code::TargetFailed), in_flight),
            Stage::Streaming(stage, in_flight) => (stage.fail(Code::TargetFailed), in_flight),
            Stage::Received(_) | Stage::Queued(_) => return,
        };
        self.release_target(request.service, request.arrival.rank, &in_flight, cx);
        self.close_record(&request.arrival, &refusal, cx);
        self.refuse(refusal);
    }

    /// Resumes streams of a target over new connections: the silent ones, and those without progress
    /// since `quiet_since`.
    pub(super) fn resume_streams(&mut self, target: usize, quiet_since: Time, cx: Context<'_>) {
        let mut tickets: Vec<Ticket> = Vec::new();
        for (ticket, request) in &self.requests {
            if let Stage::Streaming(_, in_flight) = &request.stage
                && in_flight.target == target
                && (in_flight.silent
                    || in_flight.produced > 0 && in_flight.last_progress <= quiet_since)
                && self.services[request.service].kind == Kind::Model
            {
                tickets.push(*ticket);
            }
        }
        tickets.sort_unstable();
        for ticket in tickets {
            let Some(mut request) = self.requests.remove(&ticket) else { continue };
            let exhausted = match request.stage.in_flight_mut() {
                Some(in_flight) if in_flight.resumes < self.limits.max_resumes => {
                    let target = self.resume(in_flight, RetryReason::StreamSilent, cx);
                    self.out.push(Action::Resume { ticket, target });
                    false
                }
                _ => true,
            };
            if exhausted {
                self.lost(request, cx);
            } else {
                self.requests.insert(ticket, request);
            }
        }
    }
}
