//! Sends one attempt of a request to a target and reads its answer.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, header, request, response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use sesamewind_gateway::event::Dispatch;
use sesamewind_gateway::sse::{EventScanner, EventTooLong, MAX_EVENT_BYTES};
use sesamewind_gateway::{Account, AttemptOutcome, Event, Failure, Route, Step, Ticket};
use sesamewind_protocol::Time;

use crate::driver::Driver;
use crate::journal;
use crate::pool::{Connection, SendError};
use crate::silence::Silence;
use crate::wire_format::{AnswerClass, BrittleNotice, CallerHead, ForwardHead, LimitNotice};

/// Longest idle time of a pooled connection that a request which may run only once can use.
///
/// After a longer idle time, the target may be closing the connection. If that happens while the
/// request is sent, it is unknown whether the request ran.
const ONCE_MAX_IDLE: Duration = Duration::from_millis(1_500);

/// A caller's request in progress.
#[derive(Debug)]
pub struct Call {
    /// State shared by all tasks of the instance.
    pub driver: Rc<Driver>,
    /// Handle of the request inside this instance.
    pub ticket: Ticket,
    /// Request head as received from the caller.
    pub head: request::Parts,
    /// Fields decoded from the head.
    pub caller: CallerHead,
    /// Complete request body.
    pub body: Bytes,
    /// Route that matched the request.
    pub route: Arc<Route>,
    /// Client account; none without a known key.
    pub account: Option<Arc<Account>>,
    /// Time at which the request arrived.
    pub arrived: Time,
    /// Timing of the answer, for logs and metrics.
    pub timing: Cell<AnswerTiming>,
}

/// Timing of an answer from a target.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnswerTiming {
    /// Time from the request's arrival to the first byte; none if no byte was received.
    pub first_byte: Option<Duration>,
    /// Longest time between two parts of a stream.
    pub longest_pause: Duration,
    /// Longest of these times that the target took.
    pub target_pause: Duration,
    last: Option<Time>,
}

impl AnswerTiming {
    /// Records a part received at `now` for a request that arrived at `arrived`; `elapsed` returns
    /// the time that the target took since the part before.
    pub fn record_part(
        mut self,
        arrived: Time,
        now: Time,
        elapsed: impl Fn(Time) -> Duration,
    ) -> Self {
        self.first_byte.get_or_insert(now.since(arrived));
        if let Some(last) = self.last.replace(now) {
            self.longest_pause = self.longest_pause.max(now.since(last));
            self.target_pause = self.target_pause.max(elapsed(last));
        }
        self
    }
}

/// An event stream whose first events were received.
#[derive(Debug)]
pub struct OpenStream {
    /// Remaining body of the answer.
    pub body: Incoming,
    /// Connection that the body is read from.
    pub connection: Connection,
    /// Complete events that were already received.
    pub first: Bytes,
    /// Whether the body ended after these events.
    pub ended: bool,
    /// Silence of the target since the last progress.
    pub silence: Silence,
}

/// Result of an attempt.
#[derive(Debug)]
pub enum Received {
    /// A stream whose first events were received.
    Stream(Box<response::Parts>, OpenStream),
    /// A complete answer to pass on to the caller.
    Whole(response::Parts, Bytes),
    /// A complete answer that reports a failure of the target.
    Failing(response::Parts, Bytes),
    /// No answer that can be passed on.
    Ended(AttemptEnd),
}

/// How an attempt ended without an answer that can be passed on.
#[derive(Debug)]
pub enum AttemptEnd {
    /// It ended by itself.
    Outcome(AttemptOutcome),
    /// Its target was silent, and this is the next step of the request.
    Moved(Box<Step>),
}

impl From<AttemptOutcome> for AttemptEnd {
    fn from(outcome: AttemptOutcome) -> Self {
        Self::Outcome(outcome)
    }
}

impl AttemptEnd {
    /// Returns the outcome of the attempt.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::Outcome(outcome) => *outcome,
            Self::Moved(_) => AttemptOutcome::Silent,
        }
    }
}

impl Call {
    /// Records that a part of the answer was received.
    pub fn record_part(&self) {
        let elapsed = |from| self.driver.elapsed(from);
        let timing = self.timing.get();
        let now = self.driver.now();
        self.timing.set(timing.record_part(self.arrived, now, elapsed));
    }

    /// Sends the request to the target of `dispatch` and reads the answer: a stream up to its first
    /// events, any other answer to its end.
    ///
    /// `scanner` tracks the events that the caller has received, so that a stream resumes after
    /// them.
    pub async fn attempt(&self, dispatch: &Dispatch, scanner: &mut EventScanner) -> Received {
        match self.exchange(dispatch, scanner).await {
            Ok(result) => result,
            Err(end) => Received::Ended(end),
        }
    }

    /// Returns the next step of the request after an attempt has ended; `events` is the number of
    /// events that the caller has received.
    pub async fn step_after(&self, dispatch: &Dispatch, end: AttemptEnd, events: u64) -> Step {
        journal::attempt_ended(self, dispatch, end.outcome(), events);
        match end {
            AttemptEnd::Moved(next) => *next,
            AttemptEnd::Outcome(outcome) => {
                let step = self.driver.next_step(self.ticket, Event::Ended(self.ticket, outcome));
                step.await.unwrap_or(Step::Fail(Failure::UNDECIDED))
            }
        }
    }

    async fn exchange(
        &self,
        dispatch: &Dispatch,
        scanner: &mut EventScanner,
    ) -> Result<Received, AttemptEnd> {
        let mut silence = Silence::default();
        let (mut connection, head, body) =
            self.send(dispatch, &mut silence, scanner.last_id()).await?;
        self.end_silence(dispatch, &mut silence);
        if let Some(keep) = self.driver.wire_format.keep_alive(&head) {
            connection.set_keep_alive(keep);
        }
        self.apply_notice(dispatch, &head, &mut connection);
        let kind = self.driver.wire_format.classify_answer(&head, &self.caller.id);
        match kind {
            AnswerClass::Declined => Err(AttemptOutcome::Declined.into()),
            AnswerClass::Replaced => Err(AttemptOutcome::Replaced.into()),
            AnswerClass::Invalid => Err(AttemptOutcome::Broken.into()),
            AnswerClass::Success if self.route.stream => {
                let answer = Answering { connection, head, body, silence };
                self.open_stream(dispatch, scanner, answer).await
            }
            AnswerClass::Success | AnswerClass::ClientError | AnswerClass::Failure => {
                let bytes = self.read_whole(dispatch, &mut silence, body).await?;
                self.driver.pool.put(connection);
                self.driver.handle(Event::Started(self.ticket));
                Ok(match kind {
                    AnswerClass::Failure => Received::Failing(head, bytes),
                    _ => Received::Whole(head, bytes),
                })
            }
        }
    }

    /// Applies what the target says about itself in the head of its answer.
    fn apply_notice(
        &self,
        dispatch: &Dispatch,
        head: &response::Parts,
        connection: &mut Connection,
    ) {
        let notice = self.driver.wire_format.target_notice(head, &self.caller.id);
        if notice.leaving {
            journal::target_leaving(self, dispatch);
            self.driver.handle(Event::TargetLeaving(self.ticket));
            connection.set_keep_alive(Duration::ZERO);
            self.driver.pool.forget(dispatch.address);
        }
        if let Some(rest) = notice.rest {
            journal::target_resting(self, dispatch, rest);
            self.driver.handle(Event::TargetResting(self.ticket, rest));
        }
        if let Some(left) = notice.cold {
            self.driver.handle(Event::TargetCold(self.ticket, left));
        }
        match notice.brittle {
            BrittleNotice::Unstated => {}
            BrittleNotice::Rejections(allowed) => {
                self.driver.handle(Event::TargetBrittle(self.ticket, Some(allowed)));
            }
            BrittleNotice::Sound => {
                if self.driver.with_gateway(|gateway| gateway.is_target_brittle(self.ticket)) {
                    self.driver.handle(Event::TargetBrittle(self.ticket, None));
                }
            }
        }
        match notice.limit {
            LimitNotice::Unstated => {}
            LimitNotice::Rate(rate) => {
                self.driver.handle(Event::TargetLimit(self.ticket, Some(rate)));
            }
            LimitNotice::Unlimited => {
                if self.driver.with_gateway(|gateway| gateway.is_target_limited(self.ticket)) {
                    self.driver.handle(Event::TargetLimit(self.ticket, None));
                }
            }
        }
    }

    async fn send(
        &self,
        dispatch: &Dispatch,
        silence: &mut Silence,
        last_event: Option<&str>,
    ) -> Result<(Connection, response::Parts, Incoming), AttemptEnd> {
        let max_idle = if dispatch.once { ONCE_MAX_IDLE } else { Duration::MAX };
        let mut connection = self.connect(dispatch, max_idle).await?;
        loop {
            let Some(request) = self.request(dispatch, last_event) else {
                return Err(AttemptOutcome::Expired.into());
            };
            match self.wait_for(dispatch, silence, connection.send(request)).await? {
                Ok((head, body)) => return Ok((connection, head, body)),
                Err(SendError::Unsent) if connection.reused => {
                    connection = self.connect(dispatch, Duration::ZERO).await?;
                }
                Err(SendError::Unsent | SendError::Unconnected(_)) => {
                    return Err(AttemptOutcome::Unconnected.into());
                }
                Err(SendError::Broken(err)) => {
                    if !connection.reused {
                        self.driver.handle(Event::ConnectionBroke(self.ticket));
                    }
                    return Err(self.broken(&err));
                }
            }
        }
    }

    /// Logs why the answer can't be passed on, and returns the end of the attempt.
    pub fn broken(&self, reason: &dyn fmt::Display) -> AttemptEnd {
        log::debug!(request = self.caller.id.as_str(); "{reason}");
        AttemptOutcome::Broken.into()
    }

    async fn connect(
        &self,
        dispatch: &Dispatch,
        max_idle: Duration,
    ) -> Result<Connection, AttemptOutcome> {
        self.driver.pool.get(dispatch.address, max_idle).await.map_err(|err| {
            log::debug!(request = self.caller.id.as_str(); "{err}");
            AttemptOutcome::Unconnected
        })
    }

    /// Builds the request for the target; none if the deadline has passed.
    fn request(
        &self,
        dispatch: &Dispatch,
        last_event: Option<&str>,
    ) -> Option<Request<Full<Bytes>>> {
        let time_left = dispatch.deadline.since(self.driver.now());
        if time_left.is_zero() {
            return None;
        }
        let forward = ForwardHead {
            target: &dispatch.target,
            account: self.account.as_ref().map(|account| &account.name),
            time_left,
            last_event,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self
            .head
            .uri
            .path_and_query()
            .map_or_else(|| self.head.uri.clone(), |path| http::Uri::from(path.clone()));
        *request.headers_mut() = self.driver.wire_format.target_headers(&self.head, &forward);
        Some(request)
    }

    async fn read_whole(
        &self,
        dispatch: &Dispatch,
        silence: &mut Silence,
        mut body: Incoming,
    ) -> Result<Bytes, AttemptEnd> {
        let mut answer = self.driver.memory.buffer(dispatch.address);
        loop {
            let frame = match self.wait_for(dispatch, silence, body.frame()).await? {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return Err(AttemptOutcome::Broken.into()),
                None => return Ok(answer.freeze()),
            };
            self.end_silence(dispatch, silence);
            if let Ok(data) = frame.into_data() {
                answer.push(&data).map_err(|err| self.broken(&err))?;
            }
        }
    }

    async fn open_stream(
        &self,
        dispatch: &Dispatch,
        scanner: &mut EventScanner,
        mut answer: Answering,
    ) -> Result<Received, AttemptEnd> {
        let received = scanner.events();
        let mut first = Vec::new();
        loop {
            let frame = self.wait_for(dispatch, &mut answer.silence, answer.body.frame()).await?;
            let ended = match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        first.extend(scanner.push(&data).map_err(|err| self.broken(&err))?);
                    }
                    false
                }
                None if scanner.is_between_events()
                    && answer.can_end(scanner.events() > received) =>
                {
                    true
                }
                Some(Err(_)) | None => return Err(AttemptOutcome::Broken.into()),
            };
            if scanner.events() == received && !ended {
                if first.len() > MAX_EVENT_BYTES {
                    return Err(self.broken(&EventTooLong));
                }
                continue;
            }
            self.end_silence(dispatch, &mut answer.silence);
            self.driver.handle(Event::Started(self.ticket));
            let Answering { connection, head, body, silence } = answer;
            let opened = OpenStream { body, connection, first: Bytes::from(first), ended, silence };
            return Ok(Received::Stream(Box::new(head), opened));
        }
    }
}

/// An answer whose head was received.
struct Answering {
    connection: Connection,
    head: response::Parts,
    body: Incoming,
    silence: Silence,
}

impl Answering {
    /// Returns whether the body may end now; `has_events` tells whether it had an event. A body without
    /// a length or chunks also ends if its target does, so it must have shown that it has begun.
    fn can_end(&self, has_events: bool) -> bool {
        let headers = &self.head.headers;
        let is_framed = headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING)
            || self.body.is_end_stream();
        is_framed || has_events
    }
}
