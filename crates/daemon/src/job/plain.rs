//! Calls to plain services, which are neither resumed nor repeated.

use std::sync::Arc;

use sesamewind_policy::AttemptOutcome;
use sesamewind_protocol::VersionId;

use super::{DispatchOutcome, Job, Outgoing, attempt_outcome, set_request_headers};
use crate::answer::{Ending, Head};
use crate::message::Signal;
use crate::targets::{DispatchError, PlainAnswer, TargetAddress};

impl Job {
    pub(super) async fn dispatch_plain(
        &mut self,
        at: TargetAddress,
        version: &VersionId,
    ) -> DispatchOutcome {
        let Outgoing::Plain { method, path, headers, body } = &self.outgoing else {
            return DispatchOutcome::Ended(AttemptOutcome::Failed);
        };
        let mut headers = headers.clone();
        set_request_headers(&mut headers, self.key, version);
        let (method, path) = (method.clone(), path.clone());
        let (outgoing, caller_body) = (body.to_body(), body.clone());
        let context = Arc::clone(&self.context);
        let started = context.targets.call_plain(&at, method, &path, headers, outgoing);
        let started = match self.await_call(started).await {
            Ok(started) => started,
            Err(outcome) => return outcome,
        };
        match started {
            Ok(answer) => self.relay_plain(answer).await,
            Err(DispatchError::Connect) if !caller_body.is_intact() => {
                DispatchOutcome::Ended(AttemptOutcome::Broken { sent: true })
            }
            Err(error) => DispatchOutcome::Ended(attempt_outcome(&error)),
        }
    }

    async fn relay_plain(&mut self, mut answer: PlainAnswer) -> DispatchOutcome {
        self.report(Signal::Accepted);
        let head = Head { status: answer.status.as_u16(), content: answer.content.clone() };
        self.answer.start(head);
        let is_error_status = answer.status.is_server_error();
        loop {
            let chunk = match self.await_call(answer.next()).await {
                Ok(chunk) => chunk,
                Err(outcome) => return outcome,
            };
            match chunk {
                Ok(Some(chunk)) => self.answer.push(chunk),
                Ok(None) if is_error_status => {
                    // The target's error answer is complete and is passed to the caller unchanged.
                    // The control thread counts the failure.
                    self.report(Signal::Finished(AttemptOutcome::Failed));
                    return DispatchOutcome::Closed(Ending::Complete);
                }
                Ok(None) => return DispatchOutcome::Ended(AttemptOutcome::Complete),
                Err(_) => return DispatchOutcome::Ended(AttemptOutcome::Broken { sent: true }),
            }
        }
    }
}
