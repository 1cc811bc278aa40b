//! Submission of a configuration: writes the content to the object store, then replaces the pointer
//! row by a compare-and-set.
//!
//! A write whose answer was lost may take effect at any later time. Its result is found out by
//! reading the row back and looking for the submission id. The write is repeated under the same
//! expected revision, so at most one of the attempts takes effect. Until its result is known, the
//! outcome is never [`Outcome::NotAccepted`].

use std::time::Duration;

use sesamewind_protocol::{Revision, Time};

use crate::ConfigRow;

/// Timeout and retry delay of a [`Submission`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubmissionTiming {
    /// Timeout of the whole submission.
    pub timeout: Duration,
    /// Delay before a failed call is retried.
    pub retry: Duration,
}

impl Default for SubmissionTiming {
    fn default() -> Self {
        Self { timeout: Duration::from_secs(10), retry: Duration::from_millis(250) }
    }
}

/// A configuration submitted by an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubmitRequest {
    /// Id of the submission; the operator reuses it when repeating the request.
    pub submission: String,
    /// Operator who submits it.
    pub author: String,
    /// Revision on which the submission is based.
    pub base: Revision,
    /// Hash of the content, in hexadecimal.
    pub hash: String,
}

/// A call to the platform, to be made for a [`Submission`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitCall {
    /// Reads the pointer row.
    ReadPointer,
    /// Writes the content under its hash.
    PutContent {
        /// The hash.
        hash: String,
    },
    /// Writes the pointer row if it has the expected revision.
    WritePointer {
        /// Revision that the row must have; zero if it must not exist.
        expected: u64,
        /// New content of the row.
        row: ConfigRow,
    },
}

/// Result of a [`SubmitCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitAnswer {
    /// The pointer row as read; `None` if it does not exist.
    Pointer(Option<ConfigRow>),
    /// The write took effect.
    Stored,
    /// The pointer row had another revision; `None` if it does not exist.
    Conflict(Option<ConfigRow>),
    /// The call had no effect and will have none.
    Unavailable,
    /// The call may have taken effect, or may still do so.
    Unknown,
}

/// Outcome of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Accepted under this revision.
    Accepted(Revision),
    /// Another configuration has been accepted since the base revision.
    Conflict {
        /// The current pointer row.
        current: Box<ConfigRow>,
    },
    /// Not accepted, and never will be: the store was unavailable until the timeout, and no write of
    /// the pointer row has taken effect or still can.
    NotAccepted,
    /// A write was sent but its result could not be read back; it may have been accepted.
    Unknown,
}

/// The next step of a submission, to be carried out by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Make this call and pass its result to [`Submission::on_result`].
    Call(SubmitCall),
    /// Call [`Submission::next`] again at the given time.
    Wait(Time),
    /// A call is in flight.
    Pending,
    /// The submission has ended.
    Done(Outcome),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Pointer,
    Content,
    Write,
    Done,
}

/// State machine of one submission.
#[derive(Debug)]
pub struct Submission {
    request: SubmitRequest,
    timing: SubmissionTiming,
    deadline: Time,
    stage: Stage,
    /// The row at the base revision, once read.
    base: ConfigRow,
    /// Whether the result of a write of the pointer row is unknown.
    unresolved: bool,
    pending: bool,
    not_before: Time,
    outcome: Option<Outcome>,
}

impl Submission {
    /// Starts a submission at `now`.
    pub fn new(request: SubmitRequest, timing: SubmissionTiming, now: Time) -> Self {
        Self {
            request,
            timing,
            deadline: now + timing.timeout,
            stage: Stage::Pointer,
            base: ConfigRow::default(),
            unresolved: false,
            pending: false,
            not_before: now,
            outcome: None,
        }
    }

    /// Returns the next step at `now`.
    pub fn next(&mut self, now: Time) -> Step {
        if let Some(outcome) = &self.outcome {
            return Step::Done(outcome.clone());
        }
        if self.pending {
            return Step::Pending;
        }
        if now >= self.deadline {
            return Step::Done(self.finish(self.failure()));
        }
        if now < self.not_before {
            return Step::Wait(self.not_before.min(self.deadline));
        }
        self.pending = true;
        Step::Call(self.call())
    }

    fn call(&self) -> SubmitCall {
        match self.stage {
            Stage::Content => SubmitCall::PutContent { hash: self.request.hash.clone() },
            Stage::Write => {
                let SubmitRequest { submission, author, base, hash } = &self.request;
                let row = self.base.successor(hash, submission, author);
                SubmitCall::WritePointer { expected: base.0, row }
            }
            Stage::Pointer | Stage::Done => SubmitCall::ReadPointer,
        }
    }

    /// Applies the result of the call returned last by [`Submission::next`].
    pub fn on_result(&mut self, answer: SubmitAnswer, now: Time) {
        if !self.pending {
            return;
        }
        self.pending = false;
        match (self.stage, answer) {
            (_, SubmitAnswer::Pointer(row)) => self.on_pointer(row.unwrap_or_default(), now),
            (_, SubmitAnswer::Conflict(row)) => self.on_conflict(row.unwrap_or_default()),
            (Stage::Content, SubmitAnswer::Stored) => self.stage = Stage::Write,
            (Stage::Write, SubmitAnswer::Stored) => {
                let revision = Revision(self.request.base.0 + 1);
                self.finish(Outcome::Accepted(revision));
            }
            (Stage::Write, SubmitAnswer::Unknown) => {
                self.unresolved = true;
                self.stage = Stage::Pointer;
                self.not_before = now + self.timing.retry;
            }
            (_, SubmitAnswer::Unavailable | SubmitAnswer::Unknown) => {
                self.not_before = now + self.timing.retry;
            }
            (_, SubmitAnswer::Stored) => {}
        }
    }

    fn on_pointer(&mut self, row: ConfigRow, now: Time) {
        if let Some(revision) = row.accepted(&self.request.submission) {
            self.finish(Outcome::Accepted(revision));
            return;
        }
        if row.revision == self.request.base.0 {
            self.base = row;
            // A write of unknown result may still be in flight. Repeating it is safe because both
            // expect the same revision.
            self.stage = if self.unresolved { Stage::Write } else { Stage::Content };
            return;
        }
        if self.unresolved && row.revision < self.request.base.0 {
            // The row had the base revision in an earlier read, so this read is stale.
            self.not_before = now + self.timing.retry;
            return;
        }
        self.on_conflict(row);
    }

    /// Ends the submission because the row is past the base revision. No write of this submission
    /// can take effect any more; the history in the row shows whether one did.
    fn on_conflict(&mut self, row: ConfigRow) {
        if let Some(revision) = row.accepted(&self.request.submission) {
            self.finish(Outcome::Accepted(revision));
            return;
        }
        let is_in_history =
            row.revision.saturating_sub(self.request.base.0) <= ConfigRow::MAX_EARLIER as u64;
        if self.unresolved && !is_in_history {
            self.finish(Outcome::Unknown);
            return;
        }
        self.finish(Outcome::Conflict { current: Box::new(row) });
    }

    fn failure(&self) -> Outcome {
        if self.unresolved { Outcome::Unknown } else { Outcome::NotAccepted }
    }

    fn finish(&mut self, outcome: Outcome) -> Outcome {
        self.stage = Stage::Done;
        self.outcome.get_or_insert(outcome).clone()
    }
}
