//! Forwards a stream of events to a caller and resumes it at another target if it breaks.

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::{self, LocalBoxStream};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sesamewind_gateway::event::Dispatch;
use sesamewind_gateway::sse::EventScanner;
use sesamewind_gateway::{AttemptOutcome, Event, NoRetry, Step};

use crate::answer::AnswerAborted;
use crate::attempt::{AttemptEnd, Call, OpenStream, Received};
use crate::driver::CallerGuard;
use crate::journal;
use crate::pace::PaceMeter;
use crate::pool::Connection;
use crate::silence::Silence;

/// An event stream that is being forwarded to a caller.
struct StreamRelay {
    call: Call,
    dispatch: Dispatch,
    scanner: EventScanner,
    guard: CallerGuard,
    upstream: Option<(Incoming, Connection)>,
    pace: PaceMeter,
    /// Complete events that were already received when the stream was opened.
    first: Option<Bytes>,
    ended: bool,
    silence: Silence,
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
        pace: PaceMeter::new(scanner.events(), call.driver.now()),
        call,
        dispatch,
        scanner,
        guard,
        first: Some(opened.first),
        upstream: Some((opened.body, opened.connection)),
        ended: opened.ended,
        silence: opened.silence,
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
        let end = match relay.read().await {
            Ok(Some(bytes)) => {
                relay.record_pace();
                return Some((Ok(relay.forward(bytes)), Some(relay)));
            }
            Ok(None) => {
                relay.complete();
                return None;
            }
            Err(end) => end,
        };
        match relay.resume(end).await {
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

    /// Reads the next complete events and comments; none at the end of the stream.
    async fn read(&mut self) -> Result<Option<Bytes>, AttemptEnd> {
        if self.ended {
            return Ok(None);
        }
        let Some((body, _)) = &mut self.upstream else {
            return Err(AttemptOutcome::Broken.into());
        };
        let received = self.scanner.events();
        loop {
            let frame = self.call.wait_for(&self.dispatch, &mut self.silence, body.frame());
            match frame.await? {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let whole = self.scanner.push(&data).map_err(|err| self.call.broken(&err))?;
                    if self.scanner.events() > received {
                        self.call.end_silence(&self.dispatch, &mut self.silence);
                        self.call.record_part();
                        self.call.driver.target_heard();
                    }
                    if !whole.is_empty() {
                        return Ok(Some(Bytes::from(whole)));
                    }
                }
                None if self.scanner.is_between_events() => return Ok(None),
                Some(Err(_)) | None => return Err(AttemptOutcome::Broken.into()),
            }
        }
    }

    /// Resumes the stream at another target and returns the first events from there; none if the
    /// stream must be aborted.
    async fn resume(&mut self, mut end: AttemptEnd) -> Option<Bytes> {
        loop {
            // Closes the connection first: the target must notice the cancellation before another
            // target continues the stream.
            self.upstream = None;
            self.scanner.drop_partial();
            let (cause, events) = (end.outcome().as_str(), self.scanner.events());
            let step = self.call.step_after(&self.dispatch, end, events);
            let dispatch = match step.await {
                Step::Dispatch(dispatch) => dispatch,
                last => {
                    self.guard.disarm();
                    let no_retry = no_retry(&last);
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
                    self.silence = opened.silence;
                    self.pace = PaceMeter::new(self.scanner.events(), self.call.driver.now());
                    return Some(opened.first);
                }
                Received::Whole(..) | Received::Failing(..) => {
                    end = AttemptOutcome::Broken.into();
                }
                Received::Ended(ended) => end = ended,
            }
        }
    }

    fn record_pace(&mut self) {
        let took = self.call.driver.elapsed(self.pace.start());
        if let Some(pace) = self.pace.record(self.scanner.events(), took) {
            self.call.driver.handle(Event::Paced(self.call.ticket, pace));
        }
    }

    fn complete(&mut self) {
        if let Some(pace) = self.pace.finish() {
            self.call.driver.handle(Event::Paced(self.call.ticket, pace));
        }
        if let Some((_, connection)) = self.upstream.take() {
            self.call.driver.pool.put(connection);
        }
        self.guard.disarm();
        let (events, pause) = (self.scanner.events(), self.call.timing.get().target_pause);
        self.call.driver.handle(Event::Streamed(self.call.ticket, events, pause));
        self.call.driver.handle(Event::Ended(self.call.ticket, AttemptOutcome::Whole));
        journal::answered(&self.call, "served", "whole", self.scanner.events());
    }
}

/// Returns why a stream whose last step is `step` is not resumed.
fn no_retry(step: &Step) -> NoRetry {
    match step {
        Step::Fail(failure) => failure.no_retry,
        // The target's failure can't be passed on within a stream.
        Step::DeliverFailure => NoRetry::NotRepeatable,
        Step::Refuse(_) | Step::DeliverRefusal(_) => NoRetry::NoTarget,
        Step::Dispatch(_) | Step::PassOn(_) | Step::Wait | Step::Hedge(_) | Step::Unhedged(_) => {
            NoRetry::Undecided
        }
    }
}
