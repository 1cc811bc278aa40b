//! One request's work on the traffic threads: it follows the control thread's steps, exchanges
//! bytes with a target, and fills the request's answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use sesamewind_policy::{End, Ticket};
use sesamewind_protocol::{Code, RequestKey, VersionId};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep_until};

use crate::answer::{Answer, Ending, Head};
use crate::body::SharedBody;
use crate::context::Context;
use crate::message::Signal;
use crate::problem::Problem;
use crate::step::Step;
use crate::targets::{
    ModelStream, Piece, PlainAnswer, REQUEST_ID, StartError, TargetAddress, VERSION,
};

/// Shortest time between two reports of token progress to the control thread.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(40);

/// Media type of a model's answer.
const EVENT_STREAM: &str = "text/event-stream";

/// What is to be sent to a target.
#[derive(Debug)]
pub enum Outgoing {
    /// A model request, whose stream can be resumed and cancelled.
    Model {
        /// Path at the target.
        path: &'static str,
        /// Headers for the target.
        headers: HeaderMap,
        /// Body for the target.
        body: Bytes,
    },
    /// A call to a plain service.
    Plain {
        /// Method.
        method: Method,
        /// Path and query at the target.
        path: String,
        /// Headers for the target.
        headers: HeaderMap,
        /// Body, which is streamed from the caller.
        body: SharedBody,
    },
}

/// One request's work.
#[derive(Debug)]
pub struct Job {
    /// Name of the attempt.
    pub ticket: Ticket,
    /// Identity of the request.
    pub key: RequestKey,
    /// What to send.
    pub outgoing: Outgoing,
    /// Where the answer goes.
    pub answer: Arc<Answer>,
    /// Steps of the control thread.
    pub steps: UnboundedReceiver<Step>,
    /// The instance's shared parts.
    pub context: Arc<Context>,
}

/// How an exchange with a target ended, from the job's point of view.
enum Outcome {
    /// The attempt at the target ended; the control thread decides what follows.
    Ended(End),
    /// The control thread ended the request.
    Closed(Ending),
}

/// The stream of a model request under way.
struct Relay {
    at: TargetAddress,
    stream: Option<ModelStream>,
    id: Option<String>,
    /// Index of the next token that the answer lacks, once the target has given one.
    next: u64,
    /// Tokens received and not reported yet.
    unreported: u32,
    reported: Instant,
}

impl Job {
    /// Runs the request to its end.
    pub async fn run(mut self) {
        let ending = self.follow().await;
        self.answer.finish(ending);
        self.context.signal(self.ticket, Signal::Closed);
    }

    async fn follow(&mut self) -> Ending {
        loop {
            match self.next_step().await {
                Step::Dispatch { at, version } => match self.dispatch(at, &version).await {
                    Outcome::Closed(ending) => return ending,
                    Outcome::Ended(End::Complete) => {
                        self.tell(Signal::Finished(End::Complete));
                        return Ending::Complete;
                    }
                    Outcome::Ended(end) => self.tell(Signal::Finished(end)),
                },
                Step::Refuse(problem) | Step::Cancel(problem) => return Ending::Problem(problem),
                Step::Attach { address } => match self.attach(&address).await {
                    Some(ending) => return ending,
                    None => self.tell(Signal::HolderLost),
                },
                Step::AttachLocal(answer) => return self.copy_local(answer).await,
                Step::Go | Step::Resume => {}
            }
        }
    }

    async fn next_step(&mut self) -> Step {
        loop {
            let watched = self.answer.readers() > 0;
            tokio::select! {
                step = self.steps.recv() => return step.unwrap_or_else(stopped),
                () = self.answer.abandoned(), if watched => self.tell(Signal::CallerGone),
                () = self.answer.adopted(), if !watched => self.tell(Signal::CallerBack),
            }
        }
    }

    async fn dispatch(&mut self, at: TargetAddress, version: &VersionId) -> Outcome {
        self.tell(Signal::WriteCheck);
        loop {
            match self.next_step().await {
                Step::Go => break,
                Step::Refuse(problem) | Step::Cancel(problem) => {
                    return Outcome::Closed(Ending::Problem(problem));
                }
                _ => {}
            }
        }
        match &self.outgoing {
            Outgoing::Model { .. } => self.dispatch_model(at, version).await,
            Outgoing::Plain { .. } => self.dispatch_plain(at, version).await,
        }
    }

    async fn dispatch_model(&mut self, at: TargetAddress, version: &VersionId) -> Outcome {
        let Outgoing::Model { path, headers, body } = &self.outgoing else {
            return Outcome::Ended(End::Failed);
        };
        let path = *path;
        let body = body.clone();
        let mut headers = headers.clone();
        stamp(&mut headers, self.key, version);
        let context = Arc::clone(&self.context);
        let started = context.targets.start_model(&at, path, headers, body);
        let started = match self.while_silent(started).await {
            Ok(started) => started,
            Err(outcome) => return outcome,
        };
        let stream = match started {
            Ok(stream) => stream,
            Err(error) => return Outcome::Ended(end_of(&error)),
        };
        self.tell(Signal::Accepted);
        self.answer.start(Head { status: 200, content: EVENT_STREAM.to_owned() });
        let id = stream.id.clone();
        let relay = Relay {
            at,
            stream: Some(stream),
            id,
            next: 0,
            unreported: 0,
            reported: Instant::now(),
        };
        self.relay_model(relay).await
    }

    async fn relay_model(&mut self, mut relay: Relay) -> Outcome {
        let silence = self.context.settings.traffic.progress_timeout;
        let mut quiet_since = Instant::now();
        loop {
            let piece = tokio::select! {
                piece = next_piece(&mut relay.stream) => piece,
                step = self.next_step() => match self.on_step(step, &mut relay).await {
                    Some(outcome) => return outcome,
                    None => {
                        quiet_since = Instant::now();
                        continue;
                    }
                },
                () = sleep_until(quiet_since + silence) => {
                    quiet_since = Instant::now();
                    self.tell(Signal::Silent);
                    continue;
                }
            };
            quiet_since = Instant::now();
            match piece {
                Some(Piece::Chunk(chunk, next)) => self.take_chunk(&mut relay, chunk, next),
                Some(Piece::Done) => {
                    self.report_tokens(&mut relay);
                    return Outcome::Ended(End::Complete);
                }
                None => {
                    relay.stream = None;
                    self.report_tokens(&mut relay);
                    self.tell(Signal::Finished(End::Broken { sent: true }));
                }
            }
        }
    }

    /// Takes a chunk unless the answer has its tokens already.
    fn take_chunk(&self, relay: &mut Relay, chunk: Bytes, next: Option<u64>) {
        let count = match next {
            Some(next) if next <= relay.next => return,
            Some(next) => {
                let count = next - relay.next;
                relay.next = next;
                u32::try_from(count).unwrap_or(u32::MAX)
            }
            None => 1,
        };
        self.answer.push(chunk);
        let first = relay.unreported == 0 && relay.next <= u64::from(count);
        relay.unreported += count;
        if first || relay.reported.elapsed() >= PROGRESS_INTERVAL {
            self.report_tokens(relay);
        }
    }

    fn report_tokens(&self, relay: &mut Relay) {
        if relay.unreported > 0 {
            self.tell(Signal::Tokens(relay.unreported));
        }
        relay.unreported = 0;
        relay.reported = Instant::now();
    }

    async fn on_step(&mut self, step: Step, relay: &mut Relay) -> Option<Outcome> {
        match step {
            Step::Cancel(problem) => {
                self.cancel(relay).await;
                Some(Outcome::Closed(Ending::Problem(problem)))
            }
            Step::Refuse(problem) => Some(Outcome::Closed(Ending::Problem(problem))),
            Step::Resume => {
                self.resume(relay).await;
                None
            }
            _ => None,
        }
    }

    async fn cancel(&self, relay: &mut Relay) {
        relay.stream = None;
        let Some(id) = &relay.id else { return };
        let timeout = self.context.settings.traffic.cancel_timeout;
        if let Err(error) = self.context.targets.cancel_model(&relay.at, id, timeout).await {
            log::warn!(request:% = self.key; "cancellation at {} failed: {error}", relay.at.target);
        }
    }

    async fn resume(&self, relay: &mut Relay) {
        let resumed = match &relay.id {
            Some(id) => {
                let limit = self.context.settings.traffic.progress_timeout;
                let call = self.context.targets.resume_model(&relay.at, id, relay.next);
                tokio::time::timeout(limit, call).await.unwrap_or(Err(StartError::Broken))
            }
            None => Err(StartError::Broken),
        };
        match resumed {
            Ok(stream) => {
                relay.stream = Some(stream);
                self.tell(Signal::Accepted);
            }
            Err(_) => {
                relay.stream = None;
                self.tell(Signal::Finished(End::Broken { sent: true }));
            }
        }
    }

    async fn dispatch_plain(&mut self, at: TargetAddress, version: &VersionId) -> Outcome {
        let Outgoing::Plain { method, path, headers, body } = &self.outgoing else {
            return Outcome::Ended(End::Failed);
        };
        let mut headers = headers.clone();
        stamp(&mut headers, self.key, version);
        let (method, path) = (method.clone(), path.clone());
        let (outgoing, sent) = (body.to_body(), body.clone());
        let context = Arc::clone(&self.context);
        let started = context.targets.call_plain(&at, method, &path, headers, outgoing);
        let started = match self.while_silent(started).await {
            Ok(started) => started,
            Err(outcome) => return outcome,
        };
        match started {
            Ok(answer) => self.relay_plain(answer).await,
            Err(StartError::Connect) if !sent.is_intact() => {
                Outcome::Ended(End::Broken { sent: true })
            }
            Err(error) => Outcome::Ended(end_of(&error)),
        }
    }

    async fn relay_plain(&mut self, mut answer: PlainAnswer) -> Outcome {
        self.tell(Signal::Accepted);
        let head = Head { status: answer.status.as_u16(), content: answer.content.clone() };
        self.answer.start(head);
        let failed = answer.status.is_server_error();
        loop {
            let chunk = match self.while_silent(answer.next()).await {
                Ok(chunk) => chunk,
                Err(outcome) => return outcome,
            };
            match chunk {
                Ok(Some(chunk)) => self.answer.push(chunk),
                Ok(None) if failed => {
                    // The target's own error answer is whole and goes to the caller as it is; the
                    // control thread counts the failure.
                    self.tell(Signal::Finished(End::Failed));
                    return Outcome::Closed(Ending::Complete);
                }
                Ok(None) => return Outcome::Ended(End::Complete),
                Err(_) => return Outcome::Ended(End::Broken { sent: true }),
            }
        }
    }

    /// Waits for `call` while following steps and reporting silence.
    async fn while_silent<T>(&mut self, call: impl Future<Output = T>) -> Result<T, Outcome> {
        let silence = self.context.settings.traffic.progress_timeout;
        tokio::pin!(call);
        loop {
            tokio::select! {
                value = &mut call => return Ok(value),
                step = self.next_step() => match step {
                    Step::Cancel(problem) | Step::Refuse(problem) => {
                        return Err(Outcome::Closed(Ending::Problem(problem)));
                    }
                    // Without a stream there is nothing to resume: the request may have run.
                    Step::Resume => return Err(Outcome::Ended(End::Broken { sent: true })),
                    _ => {}
                },
                () = tokio::time::sleep(silence) => self.tell(Signal::Silent),
            }
        }
    }

    /// Copies the answer that a peer holds; `None` if the peer was lost before its end.
    async fn attach(&mut self, address: &str) -> Option<Ending> {
        let mut from = 0;
        loop {
            let part = self.context.peers.answer(address, self.key, from).await.ok()?;
            if let Some(head) = part.head {
                self.answer.start(head);
            }
            from += part.chunks.len();
            for chunk in part.chunks {
                self.answer.push(chunk);
            }
            if let Some(ending) = part.ending {
                return Some(ending);
            }
            if self.answer.readers() == 0 {
                return Some(Ending::Problem(Problem::unknown(Code::CallerGone, "")));
            }
        }
    }

    async fn copy_local(&mut self, other: Arc<Answer>) -> Ending {
        let mut reader = crate::answer::Reader::new(other);
        match reader.head().await {
            Ok(head) => self.answer.start(head),
            Err(problem) => return Ending::Problem(problem),
        }
        loop {
            match reader.chunks().await {
                Ok(chunks) if chunks.is_empty() => return Ending::Complete,
                Ok(chunks) => chunks.into_iter().for_each(|chunk| self.answer.push(chunk)),
                Err(problem) => return Ending::Problem(problem),
            }
            if self.answer.readers() == 0 {
                return Ending::Problem(Problem::unknown(Code::CallerGone, ""));
            }
        }
    }

    fn tell(&self, signal: Signal) {
        self.context.signal(self.ticket, signal);
    }
}

/// The next piece of a stream; waits for ever without one.
async fn next_piece(stream: &mut Option<ModelStream>) -> Option<Piece> {
    match stream {
        Some(stream) => stream.next().await,
        None => std::future::pending().await,
    }
}

/// The step of a control thread that has ended.
fn stopped() -> Step {
    Step::Refuse(Problem::unknown(Code::Internal, "the instance stopped"))
}

fn stamp(headers: &mut HeaderMap, key: RequestKey, version: &VersionId) {
    if let Ok(value) = HeaderValue::from_str(&key.to_string()) {
        headers.insert(REQUEST_ID, value);
    }
    if let Ok(value) = HeaderValue::from_str(version.as_str()) {
        headers.insert(VERSION, value);
    }
}

fn end_of(error: &StartError) -> End {
    match error {
        StartError::Connect => End::ConnectFailed,
        StartError::NotRun => End::RefusedNotRun,
        StartError::Failed(_) => End::Failed,
        StartError::Broken => End::Broken { sent: true },
    }
}
