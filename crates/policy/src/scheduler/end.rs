//! Ends of requests without a complete answer.

use std::time::Duration;

use sesamewind_protocol::Code;

use crate::action::Action;
use crate::attempt::Refusal;
use crate::config::Kind;
use crate::event::{Arrival, Ticket};

use super::request::{InFlight, Request, Stage, frees_record};
use super::{Context, Scheduler};

const PREEMPT_RETRY_AFTER: Duration = Duration::from_secs(2);

impl Scheduler {
    /// Removes a request's load from its target and service.
    pub(super) fn release_target(
        &mut self,
        service: usize,
        rank: u8,
        in_flight: &InFlight,
        cx: Context<'_>,
    ) {
        self.targets[in_flight.target].remove_request(
            in_flight.prompt_left(),
            in_flight.output_left(),
            cx.now,
        );
        self.services[service].ended(rank);
    }

    /// Updates the request's record with the result in a refusal.
    pub(super) fn close_record(&mut self, arrival: &Arrival, refusal: &Refusal, cx: Context<'_>) {
        if !arrival.has_key {
            return;
        }
        if frees_record(refusal) {
            self.records.release(arrival.key, cx.now);
        } else {
            self.records.end(arrival.key, refusal.code(), refusal.run(), cx.now);
        }
    }

    /// Ends an attempt with a refusal, at any stage.
    pub(super) fn abandon(
        &mut self,
        request: Request,
        code: Code,
        retry_after: Option<Duration>,
        cx: Context<'_>,
    ) {
        let refusal = self.remove_request(request, code, retry_after, cx);
        self.refuse(refusal);
    }

    /// Ends an attempt that may have run.
    pub(super) fn abandon_sent(&mut self, request: Request, code: Code, cx: Context<'_>) {
        let refusal = self.remove_request(request, code, None, cx);
        self.refuse(refusal);
    }

    /// Removes a request from its queue and target, and closes its record.
    fn remove_request(
        &mut self,
        request: Request,
        code: Code,
        retry_after: Option<Duration>,
        cx: Context<'_>,
    ) -> Refusal {
        let Request { arrival, service, class, stage, .. } = request;
        if matches!(stage, Stage::Queued(_)) {
            let queue = &mut self.services[service].queue;
            queue.remove(arrival.rank, class, &arrival.account, arrival.ticket);
        }
        if let Some(in_flight) = stage.in_flight() {
            self.release_target(service, arrival.rank, in_flight, cx);
        }
        let refusal = stage.abandon(code, retry_after);
        self.close_record(&arrival, &refusal, cx);
        refusal
    }

    /// Cancels a request at its target.
    pub(super) fn cancel(
        &mut self,
        request: Request,
        code: Code,
        retry_after: Option<Duration>,
        cx: Context<'_>,
    ) {
        let ticket = request.arrival.ticket;
        let refusal = self.remove_request(request, code, retry_after, cx);
        self.count(&refusal);
        self.out.push(Action::Cancel { ticket, refusal });
    }

    /// Cancels a request in favour of a more urgent tier.
    pub(super) fn preempt(&mut self, ticket: Ticket, cx: Context<'_>) {
        let Some(request) = self.requests.remove(&ticket) else { return };
        let Some(in_flight) = request.stage.in_flight() else {
            self.requests.insert(ticket, request);
            return;
        };
        let prefill = self.targets[in_flight.target].speed.prefill();
        self.counters.preempted += 1;
        self.counters.preempted_tokens += in_flight.work_done(prefill, cx.now) as u64;
        self.cancel(request, Code::Preempted, Some(PREEMPT_RETRY_AFTER), cx);
    }

    pub(super) fn caller_gone(&mut self, ticket: Ticket, cx: Context<'_>) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let model = self.services[request.service].kind == Kind::Model;
        let sent = matches!(request.stage, Stage::Sent(..) | Stage::Streaming(..));
        if sent && (request.arrival.has_key || !model) {
            // A resend may fetch the answer, and calls of plain services are never interrupted.
            request.orphaned_since = Some(cx.now);
            return;
        }
        let service = request.service;
        let Some(request) = self.requests.remove(&ticket) else { return };
        self.cancel(request, Code::CallerGone, None, cx);
        self.dispatch_waiting(service, cx);
    }

    pub(super) fn caller_back(&mut self, ticket: Ticket) {
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.orphaned_since = None;
        }
    }
}
