//! Serves callers' requests: resolves the route, then follows the gateway's decisions.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{Request, Response, request, response};
use hyper::body::Incoming;
use rand::RngExt;
use sesamewind_gateway::sse::EventScanner;
use sesamewind_gateway::table::Resolved;
use sesamewind_gateway::{
    Arrival, AttemptOutcome, Event, Failure, Gateway, NoRetry, PassOn, PassOutcome, Refusal,
    RefusalReason, Repeat, Route, Step,
};
use sesamewind_protocol::{PartId, RequestKey, Time, bytes_hash, text_hash};

use crate::activity::Activity;
use crate::answer::{Answer, AnswerBody};
use crate::attempt::{Call, Received};
use crate::body::BodyError;
use crate::driver::{CallerGuard, Driver};
use crate::hedge::{self, Attempted};
use crate::journal;
use crate::passing::{self, NotRun, Passed, Taken};
use crate::pool::Connection;
use crate::stream;
use crate::watched::RequestBody;
use crate::wire_format::{CallerHead, RequestError};

/// Retry delay for callers of an instance that has no configuration yet.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Average retry delay for callers whose bodies find no memory. It is about the time for which the
/// bodies of other requests are kept, and differs between callers that are refused together.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves one request. Dropping the future means that the caller disconnected.
pub async fn serve(driver: Rc<Driver>, request: Request<RequestBody>) -> Answer {
    let arrived = driver.now();
    let (head, body) = request.into_parts();
    let caller = match driver.wire_format.read_caller(&head) {
        Ok(caller) => caller,
        Err(err) => {
            journal::rejected("", err.as_str(), 0);
            return driver.wire_format.malformed(err);
        }
    };
    let connection = body.activity();
    connection.identify(&caller.id);
    let Some(table) = driver.with_gateway(|gateway| gateway.table().cloned()) else {
        journal::rejected(&caller.id, RefusalReason::Unconfigured.as_str(), 0);
        return unconfigured(&driver);
    };
    let resolved = match table.resolve(&caller.host, head.uri.path(), caller.key.as_deref()) {
        Ok(resolved) => resolved,
        Err(rejection) => {
            journal::rejected(&caller.id, rejection.as_str(), table.revision.0);
            return driver.wire_format.rejected(rejection);
        }
    };
    let wait = wait_time(caller.timeout, &resolved.route);
    let mut guard = CallerGuard::new(Rc::clone(&driver), &caller.id, arrived, connection);
    let read = driver.body_memory.read(body, table.limits.body_bytes, wait);
    let body = match read.await {
        Ok(body) => body,
        Err(error) => {
            guard.disarm();
            journal::rejected(&caller.id, error.as_str(), table.revision.0);
            return match error {
                BodyError::TooLarge => driver.wire_format.too_large(),
                BodyError::Broken => driver.wire_format.malformed(RequestError::BrokenBody),
                BodyError::TooSlow => {
                    let refusal = Refusal::before_arrival(RefusalReason::Expired, Duration::ZERO);
                    driver.wire_format.refused(&refusal)
                }
                BodyError::NoMemory => {
                    let wait = MEMORY_RETRY_AFTER.mul_f64(rand::rng().random_range(0.5..1.5));
                    let refusal = Refusal::before_arrival(RefusalReason::NoMemory, wait);
                    driver.metrics.refusal(refusal.reason.as_str());
                    driver.wire_format.refused(&refusal)
                }
            };
        }
    };
    let call = enter(driver, (head, caller, body), resolved, &mut guard, arrived);
    let event = Event::Arrive(call.arrival());
    call.serve(event, guard).await
}

/// Returns the call of a request that enters the gateway now, and whose caller `guard` watches.
fn enter(
    driver: Rc<Driver>,
    (head, caller, body): (request::Parts, CallerHead, Bytes),
    Resolved { route, account }: Resolved,
    guard: &mut CallerGuard,
    arrived: Time,
) -> Call {
    let ticket = driver.new_ticket();
    guard.enter_gateway(ticket);
    let timing = Cell::default();
    Call { driver, ticket, head, caller, body, route, account, arrived, timing }
}

fn unconfigured(driver: &Driver) -> Answer {
    let refusal = Refusal::before_arrival(RefusalReason::Unconfigured, UNCONFIGURED_RETRY_AFTER);
    NotRun::of(&refusal).mark(driver.wire_format.refused(&refusal))
}

/// Serves a request that a peer has passed on over `connection`.
pub async fn serve_passed(driver: Rc<Driver>, message: &[u8], connection: Rc<Activity>) -> Answer {
    let arrived = driver.now();
    let Taken { head, body, left, counted } = match passing::read(message) {
        Ok(request) => request,
        Err(err) => {
            log::warn!(event = "peer_unreadable"; "passed request can't be read: {err}");
            let answer = driver.wire_format.malformed(RequestError::BrokenBody);
            return passing::finish(NotRun::Declined.mark(answer));
        }
    };
    let mut caller = match driver.wire_format.read_caller(&head) {
        Ok(caller) => caller,
        Err(err) => {
            return passing::finish(NotRun::Refused.mark(driver.wire_format.malformed(err)));
        }
    };
    caller.timeout = Some(left);
    connection.identify(&caller.id);
    let Some(table) = driver.with_gateway(|gateway| gateway.table().cloned()) else {
        return passing::finish(unconfigured(&driver));
    };
    let resolved = match table.resolve(&caller.host, head.uri.path(), caller.key.as_deref()) {
        Ok(resolved) => resolved,
        Err(rejection) => {
            journal::rejected(&caller.id, rejection.as_str(), table.revision.0);
            let answer = driver.wire_format.rejected(rejection);
            return passing::finish(NotRun::Refused.mark(answer));
        }
    };
    driver.metrics.taken();
    let mut guard = CallerGuard::new(Rc::clone(&driver), &caller.id, arrived, connection);
    let call = enter(driver, (head, caller, body), resolved, &mut guard, arrived);
    let event = Event::ArrivePassed(Arrival { counted, ..call.arrival() });
    passing::finish(call.serve(event, guard).await)
}

/// Returns how long a caller that states `timeout` waits for its answer.
pub(crate) fn wait_time(timeout: Option<Duration>, route: &Route) -> Duration {
    timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout))
}

impl Call {
    fn arrival(&self) -> Arrival {
        Arrival {
            ticket: self.ticket,
            route: self.route.clone(),
            account: self.account.clone(),
            prompt_tokens: self.caller.prompt_tokens,
            output_tokens: self.caller.output_tokens,
            parts: self.parts(),
            point: split_point(&self.caller.id),
            deadline: self.arrived + wait_time(self.caller.timeout, &self.route),
            counted: false,
        }
    }

    /// Returns the parts of the prompt and the fingerprint. A request may have all of its parts in
    /// common with sound ones.
    fn parts(&self) -> Arc<[PartId]> {
        self.caller.parts.iter().copied().chain([self.fingerprint()]).collect()
    }

    /// Returns what is the same for all requests with the same account, method, path and body.
    pub(crate) fn fingerprint(&self) -> PartId {
        let account = self.account.as_ref().map_or("", |account| account.name.as_str());
        let method = self.head.method.as_str();
        let path = self.head.uri.path_and_query().map_or("", PathAndQuery::as_str);
        let whole = [account.as_bytes(), method.as_bytes(), path.as_bytes(), &self.body];
        PartId(bytes_hash(&whole))
    }

    /// Serves the request, which enters the gateway with `arrival`.
    async fn serve(self, arrival: Event<'_>, mut guard: CallerGuard) -> Answer {
        let mut call = self;
        let resumed = call.caller.last_event.as_deref();
        let mut scanner = EventScanner::after(resumed.filter(|_| call.is_resumable()));
        let step = call.driver.next_step(call.ticket, arrival);
        let mut step = step.await.unwrap_or(Step::Fail(Failure::UNDECIDED));
        let mut held = None;
        loop {
            let dispatch = match step {
                Step::Dispatch(dispatch) => dispatch,
                Step::PassOn(pass) => match call.pass_on(&pass).await {
                    Passed::Answer(head, body, connection) => {
                        return call.deliver_passed(pass, guard, (head, body, connection)).await;
                    }
                    Passed::Refused(head, body) => {
                        step = call.step_after_pass(PassOutcome::Refused).await;
                        if matches!(step, Step::DeliverRefusal(_)) {
                            guard.disarm();
                            return call.deliver_refusal(head, body);
                        }
                        continue;
                    }
                    Passed::Ended(outcome) => {
                        step = call.step_after_pass(outcome).await;
                        continue;
                    }
                },
                last => {
                    guard.disarm();
                    return call.conclude(last, held);
                }
            };
            journal::dispatched(&call, &dispatch);
            call.driver.metrics.waited(&call.route.name, dispatch.waited.as_secs_f64());
            let attempted = hedge::attempt(call, dispatch, scanner, &mut guard).await;
            let Attempted { dispatch, received, failing, .. } = attempted;
            (call, scanner) = (attempted.call, attempted.scanner);
            held = failing.or(held);
            let end = match received {
                Received::Stream(head, opened) => {
                    call.observe_first_byte();
                    let mut answer = call.answer(*head, AnswerBody::Whole(Bytes::new()));
                    let events = stream::events(call, dispatch, scanner, guard, opened);
                    *answer.body_mut() = AnswerBody::Stream(events);
                    return answer;
                }
                Received::Whole(head, body) => {
                    call.observe_first_byte();
                    guard.disarm();
                    return call.whole_answer(head, body);
                }
                Received::Failing(head, body) => {
                    held = Some((head, body));
                    AttemptOutcome::Failing.into()
                }
                Received::Ended(end) => end,
            };
            scanner.drop_partial();
            step = call.step_after(&dispatch, end, 0).await;
        }
    }

    async fn step_after_pass(&self, outcome: PassOutcome) -> Step {
        let step = self.driver.next_step(self.ticket, Event::PassEnded(self.ticket, outcome));
        step.await.unwrap_or(Step::Fail(Failure::UNDECIDED))
    }

    /// Delivers the refusal of a peer. The gateway has the proof that the request has not run here.
    fn deliver_refusal(&self, head: response::Parts, body: Bytes) -> Answer {
        journal::answered(self, "refused", PassOutcome::Refused.as_str(), 0);
        self.answer(head, AnswerBody::Whole(body))
    }

    /// Delivers the answer of a peer, a stream as it arrives and any other answer whole.
    async fn deliver_passed(
        self,
        pass: PassOn,
        mut guard: CallerGuard,
        (head, body, connection): (response::Parts, Incoming, Connection),
    ) -> Answer {
        self.observe_first_byte();
        let mut answer = self.answer(head, AnswerBody::Whole(Bytes::new()));
        if self.route.stream && answer.status().is_success() {
            *answer.body_mut() =
                AnswerBody::Stream(passing::forward(self, pass, guard, body, connection));
            return answer;
        }
        let bytes = passing::read_whole(&self, &pass, body, connection).await;
        guard.disarm();
        let outcome = bytes.as_ref().map_or_else(|outcome| *outcome, |_| PassOutcome::Answered);
        self.driver.handle(Event::PassEnded(self.ticket, outcome));
        match bytes {
            Ok(bytes) => {
                journal::answered(&self, "passed", outcome.as_str(), 0);
                *answer.body_mut() = AnswerBody::Whole(bytes);
                answer
            }
            Err(_) => {
                let no_retry = NoRetry::PassedOn;
                journal::unanswered(&self, "unknown", outcome.as_str(), no_retry, 0);
                self.driver.wire_format.failed(AttemptOutcome::Broken)
            }
        }
    }

    /// Returns whether the route's streams can be resumed after an event.
    fn is_resumable(&self) -> bool {
        self.route.stream && self.route.repeat == Repeat::Resume
    }

    fn observe_first_byte(&self) {
        self.record_part();
        let took = self.timing.get().first_byte.unwrap_or_default();
        self.driver.metrics.first_byte(&self.route.name, took.as_secs_f64());
    }

    /// Returns the final answer to a request that is not sent to any further target.
    ///
    /// `held` is the last answer in which a target reported a failure.
    fn conclude(&self, step: Step, held: Option<(response::Parts, Bytes)>) -> Answer {
        match (step, held) {
            (Step::Refuse(refusal), _) => {
                journal::refused(self, &refusal, self.driver.with_gateway(Gateway::waiting));
                NotRun::of(&refusal).mark(self.driver.wire_format.refused(&refusal))
            }
            (_, Some((head, body))) => {
                journal::answered(self, "failed", AttemptOutcome::Failing.as_str(), 0);
                self.answer(head, AnswerBody::Whole(body))
            }
            (Step::Fail(Failure { outcome, no_retry }), None) => {
                journal::unanswered(self, "unknown", outcome.as_str(), no_retry, 0);
                self.driver.wire_format.failed(outcome)
            }
            (
                Step::DeliverFailure
                | Step::DeliverRefusal(_)
                | Step::Dispatch(_)
                | Step::PassOn(_)
                | Step::Wait
                | Step::Hedge(_)
                | Step::Unhedged(_),
                None,
            ) => {
                log::error!(
                    request = self.caller.id.as_str();
                    "no answer of a target is available to deliver"
                );
                self.driver.wire_format.failed(AttemptOutcome::Broken)
            }
        }
    }

    fn whole_answer(self, head: response::Parts, body: Bytes) -> Answer {
        self.driver.handle(Event::Ended(self.ticket, AttemptOutcome::Whole));
        journal::answered(&self, "served", "whole", 0);
        self.answer(head, AnswerBody::Whole(body))
    }

    fn answer(&self, head: response::Parts, body: AnswerBody) -> Answer {
        let mut answer = Response::new(body);
        *answer.status_mut() = head.status;
        *answer.headers_mut() = self.driver.wire_format.answer_headers(head.headers);
        answer
    }
}

/// Returns the request's position in weighted splits, which depends only on its identity and so
/// is the same at every instance.
fn split_point(id: &str) -> f64 {
    RequestKey(0, text_hash(id)).position("split")
}
