//! Executes one request on the traffic threads: follows the steps of the control thread, exchanges
//! data with a target and fills the request's answer.

mod attach;
mod model;
mod plain;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use sesamewind_policy::{AttemptOutcome, Ticket};
use sesamewind_protocol::{Code, RequestKey, VersionId};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::answer::{Answer, Ending};
use crate::body::SharedBody;
use crate::context::Context;
use crate::message::Signal;
use crate::meter::Meter;
use crate::problem::Problem;
use crate::step::Step;
use crate::targets::{DispatchError, REQUEST_ID, TargetAddress, VERSION};

/// Minimum interval between two progress reports to the control thread.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(40);

/// Media type of a model's answer.
const EVENT_STREAM: &str = "text/event-stream";

/// The request to send to a target.
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
        /// HTTP method.
        method: Method,
        /// Path and query at the target.
        path: String,
        /// Headers for the target.
        headers: HeaderMap,
        /// Body, streamed from the caller.
        body: SharedBody,
    },
}

/// The execution of one request.
#[derive(Debug)]
pub struct Job {
    /// Handle of the request within this instance.
    pub ticket: Ticket,
    /// Identity of the request.
    pub key: RequestKey,
    /// The request to send to a target.
    pub outgoing: Outgoing,
    /// The answer that the job fills.
    pub answer: Arc<Answer>,
    /// Steps from the control thread.
    pub steps: UnboundedReceiver<Step>,
    /// Measurements of the attempt.
    pub meter: Meter,
    /// The instance's shared state.
    pub context: Arc<Context>,
}

/// How a dispatch to a target ended.
enum DispatchOutcome {
    /// The attempt ended. The control thread decides what happens next.
    Ended(AttemptOutcome),
    /// The control thread ended the request.
    Closed(Ending),
}

impl Job {
    /// Runs the job until the request ends.
    pub async fn run(mut self) {
        let ending = self.process_steps().await;
        self.meter.ended(&ending, &self.context.metrics);
        self.answer.finish(ending);
        self.context.signal(self.ticket, Signal::Closed);
    }

    async fn process_steps(&mut self) -> Ending {
        loop {
            match self.next_step().await {
                Step::Dispatch { at, version } => match self.dispatch(at, &version).await {
                    DispatchOutcome::Closed(ending) => return ending,
                    DispatchOutcome::Ended(AttemptOutcome::Complete) => {
                        self.report(Signal::Finished(AttemptOutcome::Complete));
                        return Ending::Complete;
                    }
                    DispatchOutcome::Ended(outcome) => self.report(Signal::Finished(outcome)),
                },
                Step::Refuse(problem) | Step::Cancel(problem) => return Ending::Problem(problem),
                Step::Attach { address } => match self.attach(&address).await {
                    Some(ending) => return ending,
                    None => self.report(Signal::HolderLost),
                },
                Step::AttachLocal(answer) => return self.copy_local(answer).await,
                Step::Go | Step::Resume => {}
            }
        }
    }

    async fn next_step(&mut self) -> Step {
        loop {
            let has_reader = self.answer.readers() > 0;
            tokio::select! {
                step = self.steps.recv() => return step.unwrap_or_else(stopped_step),
                () = self.answer.wait_for_no_reader(), if has_reader =>
                    self.report(Signal::CallerGone),
                () = self.answer.wait_for_reader(), if !has_reader =>
                    self.report(Signal::CallerBack),
            }
        }
    }

    async fn dispatch(&mut self, at: TargetAddress, version: &VersionId) -> DispatchOutcome {
        self.report(Signal::WriteCheck);
        loop {
            match self.next_step().await {
                Step::Go => break,
                Step::Refuse(problem) | Step::Cancel(problem) => {
                    return DispatchOutcome::Closed(Ending::Problem(problem));
                }
                _ => {}
            }
        }
        self.meter.dispatched(version, &self.context.metrics, self.context.clock.now());
        match &self.outgoing {
            Outgoing::Model { .. } => self.dispatch_model(at, version).await,
            Outgoing::Plain { .. } => self.dispatch_plain(at, version).await,
        }
    }

    /// Waits for `call`. Meanwhile handles steps, and reports a lack of progress to the control
    /// thread.
    async fn await_call<T>(&mut self, call: impl Future<Output = T>) -> Result<T, DispatchOutcome> {
        let silence = self.context.settings.traffic.progress_timeout;
        tokio::pin!(call);
        loop {
            tokio::select! {
                value = &mut call => return Ok(value),
                step = self.next_step() => match step {
                    Step::Cancel(problem) | Step::Refuse(problem) => {
                        return Err(DispatchOutcome::Closed(Ending::Problem(problem)));
                    }
                    // There is no stream to resume, and the request may have run.
                    Step::Resume => return Err(
                        DispatchOutcome::Ended(AttemptOutcome::Broken { sent: true }),
                    ),
                    _ => {}
                },
                () = tokio::time::sleep(silence) => self.report(Signal::Silent),
            }
        }
    }

    fn report(&self, signal: Signal) {
        self.context.signal(self.ticket, signal);
    }
}

/// Returns the step to follow when the control thread has ended.
fn stopped_step() -> Step {
    Step::Refuse(Problem::unknown(Code::Internal, "the instance stopped"))
}

fn set_request_headers(headers: &mut HeaderMap, key: RequestKey, version: &VersionId) {
    if let Ok(value) = HeaderValue::from_str(&key.to_string()) {
        headers.insert(REQUEST_ID, value);
    }
    if let Ok(value) = HeaderValue::from_str(version.as_str()) {
        headers.insert(VERSION, value);
    }
}

fn attempt_outcome(error: &DispatchError) -> AttemptOutcome {
    match error {
        DispatchError::Connect => AttemptOutcome::ConnectFailed,
        DispatchError::NotRun => AttemptOutcome::RefusedNotRun,
        DispatchError::Failed(_) => AttemptOutcome::Failed,
        DispatchError::Broken => AttemptOutcome::Broken { sent: true },
    }
}
