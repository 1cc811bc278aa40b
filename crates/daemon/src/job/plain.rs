//! Calls to plain services, which are neither resumed nor repeated.

use std::sync::Arc;

use sesamewind_policy::AttemptOutcome;
use sesamewind_protocol::VersionId;

use super::{Job, Outcome, Outgoing, end_of, stamp};
use crate::answer::{Ending, Head};
use crate::message::Signal;
use crate::targets::{PlainAnswer, StartError, TargetAddress};

impl Job {
    pub(super) async fn dispatch_plain(
        &mut self,
        at: TargetAddress,
        version: &VersionId,
    ) -> Outcome {
        let Outgoing::Plain { method, path, headers, body } = &self.outgoing else {
            return Outcome::Ended(AttemptOutcome::Failed);
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
                Outcome::Ended(AttemptOutcome::Broken { sent: true })
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
                    self.tell(Signal::Finished(AttemptOutcome::Failed));
                    return Outcome::Closed(Ending::Complete);
                }
                Ok(None) => return Outcome::Ended(AttemptOutcome::Complete),
                Err(_) => return Outcome::Ended(AttemptOutcome::Broken { sent: true }),
            }
        }
    }
}
