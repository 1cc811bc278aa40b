//! Model requests, whose streams are relayed, resumed over a new connection, or cancelled.

use std::sync::Arc;

use bytes::Bytes;
use sesamewind_policy::AttemptOutcome;
use sesamewind_protocol::VersionId;
use tokio::time::{Instant, sleep_until};

use super::{
    DispatchOutcome, EVENT_STREAM, Job, Outgoing, PROGRESS_INTERVAL, attempt_outcome,
    set_request_headers,
};
use crate::answer::{Ending, Head};
use crate::message::Signal;
use crate::step::Step;
use crate::targets::{DispatchError, ModelStream, StreamItem, TargetAddress};

/// State of relaying the stream of a model request.
struct Relay {
    at: TargetAddress,
    stream: Option<ModelStream>,
    id: Option<String>,
    /// Index of the next expected token; 0 until the target reports an index.
    next: u64,
    /// Tokens received but not yet reported to the control thread.
    unreported: u32,
    reported: Instant,
}

impl Job {
    pub(super) async fn dispatch_model(
        &mut self,
        at: TargetAddress,
        version: &VersionId,
    ) -> DispatchOutcome {
        let Outgoing::Model { path, headers, body } = &self.outgoing else {
            return DispatchOutcome::Ended(AttemptOutcome::Failed);
        };
        let path = *path;
        let body = body.clone();
        let mut headers = headers.clone();
        set_request_headers(&mut headers, self.key, version);
        let context = Arc::clone(&self.context);
        let started = context.targets.start_model(&at, path, headers, body);
        let started = match self.await_call(started).await {
            Ok(started) => started,
            Err(outcome) => return outcome,
        };
        let stream = match started {
            Ok(stream) => stream,
            Err(error) => return DispatchOutcome::Ended(attempt_outcome(&error)),
        };
        self.report(Signal::Accepted);
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

    async fn relay_model(&mut self, mut relay: Relay) -> DispatchOutcome {
        let silence = self.context.settings.traffic.progress_timeout;
        let mut silent_since = Instant::now();
        loop {
            let item = tokio::select! {
                item = next_item(&mut relay.stream) => item,
                step = self.next_step() => match self.on_step(step, &mut relay).await {
                    Some(outcome) => return outcome,
                    None => {
                        silent_since = Instant::now();
                        continue;
                    }
                },
                () = sleep_until(silent_since + silence) => {
                    silent_since = Instant::now();
                    self.report(Signal::Silent);
                    continue;
                }
            };
            silent_since = Instant::now();
            match item {
                Some(StreamItem::Chunk(chunk, next)) => self.relay_chunk(&mut relay, chunk, next),
                Some(StreamItem::Done) => {
                    self.report_tokens(&mut relay);
                    return DispatchOutcome::Ended(AttemptOutcome::Complete);
                }
                None => {
                    relay.stream = None;
                    self.report_tokens(&mut relay);
                    self.report(Signal::Finished(AttemptOutcome::Broken { sent: true }));
                }
            }
        }
    }

    /// Appends a chunk to the answer, unless the answer already contains its tokens.
    fn relay_chunk(&mut self, relay: &mut Relay, chunk: Bytes, next: Option<u64>) {
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
        self.meter.tokens(count, &self.context.metrics, self.context.clock.now());
        let is_first = relay.unreported == 0 && relay.next <= u64::from(count);
        relay.unreported += count;
        if is_first || relay.reported.elapsed() >= PROGRESS_INTERVAL {
            self.report_tokens(relay);
        }
    }

    fn report_tokens(&self, relay: &mut Relay) {
        if relay.unreported > 0 {
            self.report(Signal::Tokens(relay.unreported));
        }
        relay.unreported = 0;
        relay.reported = Instant::now();
    }

    async fn on_step(&mut self, step: Step, relay: &mut Relay) -> Option<DispatchOutcome> {
        match step {
            Step::Cancel(problem) => {
                self.cancel(relay).await;
                Some(DispatchOutcome::Closed(Ending::Problem(problem)))
            }
            Step::Refuse(problem) => Some(DispatchOutcome::Closed(Ending::Problem(problem))),
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
            log::warn!(
                request:% = self.key;
                "cancellation at target {} failed: {error}", relay.at.target
            );
        }
    }

    async fn resume(&self, relay: &mut Relay) {
        let resumed = match &relay.id {
            Some(id) => {
                let limit = self.context.settings.traffic.progress_timeout;
                let call = self.context.targets.resume_model(&relay.at, id, relay.next);
                tokio::time::timeout(limit, call).await.unwrap_or(Err(DispatchError::Broken))
            }
            None => Err(DispatchError::Broken),
        };
        match resumed {
            Ok(stream) => {
                relay.stream = Some(stream);
                self.report(Signal::Accepted);
            }
            Err(_) => {
                relay.stream = None;
                self.report(Signal::Finished(AttemptOutcome::Broken { sent: true }));
            }
        }
    }
}

/// Returns the next item of a stream. Never completes if there is no stream.
async fn next_item(stream: &mut Option<ModelStream>) -> Option<StreamItem> {
    match stream {
        Some(stream) => stream.next().await,
        None => std::future::pending().await,
    }
}
