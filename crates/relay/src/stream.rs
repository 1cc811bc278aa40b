//! Passes a stream of events on to a caller, from one target or from several after one another.

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::{self, LocalBoxStream};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sesamewind_gateway::event::Dispatch;
use sesamewind_gateway::sse::EventScanner;
use sesamewind_gateway::{AttemptOutcome, Event, Step};
use tokio::time::timeout_at;

use crate::answer::BrokenOff;
use crate::attempt::{Call, Got, Opened};
use crate::driver::Presence;
use crate::journal;
use crate::pool::Connection;

/// A stream on its way to a caller.
struct Splice {
    call: Call,
    dispatch: Dispatch,
    scanner: EventScanner,
    presence: Presence,
    source: Option<(Incoming, Connection)>,
    /// Whole events that were read with the head.
    first: Option<Bytes>,
    ended: bool,
}

/// The events of a stream that was `opened`, and of those that continue it.
pub fn events(
    call: Call,
    dispatch: Dispatch,
    scanner: EventScanner,
    presence: Presence,
    opened: Opened,
) -> LocalBoxStream<'static, Result<Bytes, BrokenOff>> {
    let splice = Splice {
        call,
        dispatch,
        scanner,
        presence,
        first: Some(opened.first),
        source: Some((opened.body, opened.connection)),
        ended: opened.ended,
    };
    stream::unfold(Some(splice), next).boxed_local()
}

async fn next(splice: Option<Splice>) -> Option<(Result<Bytes, BrokenOff>, Option<Splice>)> {
    let mut splice = splice?;
    if let Some(first) = splice.first.take()
        && !first.is_empty()
    {
        return Some((Ok(first), Some(splice)));
    }
    loop {
        let end = match splice.read().await {
            Ok(Some(bytes)) => {
                splice.call.part();
                return Some((Ok(bytes), Some(splice)));
            }
            Ok(None) => {
                splice.complete();
                return None;
            }
            Err(end) => end,
        };
        match splice.resume(end).await {
            Some(bytes) if bytes.is_empty() => {}
            Some(bytes) => return Some((Ok(bytes), Some(splice))),
            None => return Some((Err(BrokenOff), None)),
        }
    }
}

impl Splice {
    /// The next whole events; none at the stream's end.
    async fn read(&mut self) -> Result<Option<Bytes>, AttemptOutcome> {
        if self.ended {
            return Ok(None);
        }
        let until = self.call.until(&self.dispatch);
        let Some((body, _)) = &mut self.source else { return Err(AttemptOutcome::Broken) };
        loop {
            match timeout_at(until, body.frame()).await {
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
                Err(_) => return Err(self.call.late(&self.dispatch)),
            }
        }
    }

    /// Goes on at another target; none if the stream has to be broken off.
    async fn resume(&mut self, mut end: AttemptOutcome) -> Option<Bytes> {
        loop {
            // The target must see the caller gone before another one takes over.
            self.source = None;
            self.scanner.drop_partial();
            journal::attempt_ended(&self.call, &self.dispatch, end, self.scanner.events());
            let step = self.call.driver.ask(self.call.ticket, Event::Ended(self.call.ticket, end));
            let Ok(Step::Dispatch(dispatch)) = step.await else {
                self.presence.end();
                journal::ended(&self.call, "broken_off", end.as_str(), self.scanner.events());
                return None;
            };
            self.dispatch = dispatch;
            journal::dispatched(&self.call, &self.dispatch);
            match self.call.attempt(&self.dispatch, &mut self.scanner).await {
                Got::Stream(_, opened) => {
                    self.source = Some((opened.body, opened.connection));
                    self.ended = opened.ended;
                    return Some(opened.first);
                }
                Got::Whole(..) | Got::Failing(..) => end = AttemptOutcome::Broken,
                Got::Ended(ended) => end = ended,
            }
        }
    }

    fn complete(&mut self) {
        if let Some((_, connection)) = self.source.take() {
            self.call.driver.pool.put(connection);
        }
        self.presence.end();
        let (events, pause) = (self.scanner.events(), self.call.pace.get().pause);
        self.call.driver.tell(Event::Streamed(self.call.ticket, events, pause));
        self.call.driver.tell(Event::Ended(self.call.ticket, AttemptOutcome::Whole));
        journal::ended(&self.call, "served", "whole", self.scanner.events());
    }
}
