//! Forwards a stream of events to a caller and resumes it at another target if it breaks.

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::{self, LocalBoxStream};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sesamewind_gateway::event::Dispatch;
use sesamewind_gateway::sse::EventScanner;
use sesamewind_gateway::{AttemptOutcome, Event, NoRetry, Step};
use tokio::time::timeout_at;

use crate::answer::AnswerAborted;
use crate::attempt::{Call, OpenStream, Received};
use crate::driver::CallerGuard;
use crate::journal;
use crate::pool::Connection;

/// An event stream that is being forwarded to a caller.
struct StreamRelay {
    call: Call,
    dispatch: Dispatch,
    scanner: EventScanner,
    guard: CallerGuard,
    upstream: Option<(Incoming, Connection)>,
    /// Complete events that were already received when the stream was opened.
    first: Option<Bytes>,
    ended: bool,
}

/// Returns the events of the stream `opened` and of the streams that resume it.
pub fn events(
    call: Call,
    dispatch: Dispatch,
    scanner: EventScanner,
    guard: CallerGuard,
    opened: OpenStream,
) -> LocalBoxStream<'static, Result<Bytes, AnswerAborted>> {
    let relay = StreamRelay {
        call,
        dispatch,
        scanner,
        guard,
        first: Some(opened.first),
        upstream: Some((opened.body, opened.connection)),
        ended: opened.ended,
    };
    stream::unfold(Some(relay), next).boxed_local()
}

async fn next(
    relay: Option<StreamRelay>,
) -> Option<(Result<Bytes, AnswerAborted>, Option<StreamRelay>)> {
    let mut relay = relay?;
    if let Some(first) = relay.first.take()
        && !first.is_empty()
    {
        return Some((Ok(relay.forward(first)), Some(relay)));
    }
    loop {
        let outcome = match relay.read().await {
            Ok(Some(bytes)) => {
                relay.call.record_part();
                return Some((Ok(relay.forward(bytes)), Some(relay)));
            }
            Ok(None) => {
                relay.complete();
                return None;
            }
            Err(outcome) => outcome,
        };
        match relay.resume(outcome).await {
            Some(bytes) if bytes.is_empty() => {}
            Some(bytes) => return Some((Ok(relay.forward(bytes)), Some(relay))),
            None => return Some((Err(AnswerAborted), None)),
        }
    }
}

impl StreamRelay {
    /// Records that `bytes` are passed to the caller.
    fn forward(&mut self, bytes: Bytes) -> Bytes {
        self.guard.forwarded(bytes.len(), self.scanner.events());
        bytes
    }

    /// Reads the next complete events; none at the end of the stream.
    async fn read(&mut self) -> Result<Option<Bytes>, AttemptOutcome> {
        if self.ended {
            return Ok(None);
        }
        let wait_until = self.call.silence_deadline(&self.dispatch);
        let Some((body, _)) = &mut self.upstream else { return Err(AttemptOutcome::Broken) };
        loop {
            match timeout_at(wait_until, body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let whole = self.scanner.push(&data);
                    if !whole.is_empty() {
                        return Ok(Some(Bytes::from(whole)));
                    }
                }
                Ok(Some(Err(_))) => return Err(AttemptOutcome::Broken),
                Ok(None) if self.scanner.partial().is_empty() => return Ok(None),
                Ok(None) => return Err(AttemptOutcome::Broken),
                Err(_) => return Err(self.call.timeout_outcome(&self.dispatch)),
            }
        }
    }

    /// Resumes the stream at another target and returns the first events from there; none if the
    /// stream must be aborted.
    async fn resume(&mut self, mut outcome: AttemptOutcome) -> Option<Bytes> {
        loop {
            // Closes the connection first: the target must notice the cancellation before another
            // target continues the stream.
            self.upstream = None;
            self.scanner.drop_partial();
            journal::attempt_ended(&self.call, &self.dispatch, outcome, self.scanner.events());
            let step = self
                .call
                .driver
                .next_step(self.call.ticket, Event::Ended(self.call.ticket, outcome));
            let dispatch = match step.await {
                Ok(Step::Dispatch(dispatch)) => dispatch,
                last => {
                    let no_retry = no_retry(last.ok().as_ref());
                    self.guard.disarm();
                    let (cause, events) = (outcome.as_str(), self.scanner.events());
                    journal::unanswered(&self.call, "broken_off", cause, no_retry, events);
                    return None;
                }
            };
            self.dispatch = dispatch;
            journal::dispatched(&self.call, &self.dispatch);
            match self.call.attempt(&self.dispatch, &mut self.scanner).await {
                Received::Stream(_, opened) => {
                    self.upstream = Some((opened.body, opened.connection));
                    self.ended = opened.ended;
                    return Some(opened.first);
                }
                Received::Whole(..) | Received::Failing(..) => outcome = AttemptOutcome::Broken,
                Received::Ended(ended) => outcome = ended,
            }
        }
    }

    fn complete(&mut self) {
        if let Some((_, connection)) = self.upstream.take() {
            self.call.driver.pool.put(connection);
        }
        self.guard.disarm();
        let (events, pause) = (self.scanner.events(), self.call.timing.get().longest_pause);
        self.call.driver.handle(Event::Streamed(self.call.ticket, events, pause));
        self.call.driver.handle(Event::Ended(self.call.ticket, AttemptOutcome::Whole));
        journal::answered(&self.call, "served", "whole", self.scanner.events());
    }
}

/// Returns why a stream whose last step is `step` is not resumed.
fn no_retry(step: Option<&Step>) -> NoRetry {
    match step {
        Some(Step::Fail(failure)) => failure.no_retry,
        // The target's failure can't be passed on within a stream.
        Some(Step::DeliverFailure) => NoRetry::NotRepeatable,
        Some(Step::Refuse(_)) => NoRetry::NoTarget,
        Some(Step::Dispatch(_)) | None => NoRetry::Undecided,
    }
}
