//! Submission of a configuration: content into the object store, then one compare-and-set of the
//! pointer row.
//!
//! A write whose answer was lost may take effect at any later time. It is settled by reading back
//! the own submission id, and repeated under the same expected revision, so that at most one of the
//! repetitions takes effect. As long as it is not settled, the outcome is never "not accepted".

use std::time::Duration;

use sesamewind_protocol::{Revision, Time};

use crate::ConfigRow;

/// Waits of a [`Submission`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubmissionTiming {
    /// Limit of the whole submission.
    pub timeout: Duration,
    /// Wait before a call that failed is made again.
    pub retry: Duration,
}

impl Default for SubmissionTiming {
    fn default() -> Self {
        Self { timeout: Duration::from_secs(10), retry: Duration::from_millis(250) }
    }
}

/// What an operator submits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubmitRequest {
    /// Id of the submission; the operator keeps it over repetitions.
    pub submission: String,
    /// The operator.
    pub author: String,
    /// Revision that the operator saw.
    pub base: Revision,
    /// Hash of the content, in hexadecimal.
    pub hash: String,
}

/// A call to the platform that a [`Submission`] asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitCall {
    /// Read the pointer row.
    ReadPointer,
    /// Write the content under its hash.
    PutContent {
        /// The hash.
        hash: String,
    },
    /// Write the pointer row if it has the expected revision.
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
    /// The call surely had no effect.
    Unavailable,
    /// The call may have taken effect or may still do so.
    Unknown,
}

/// How a submission ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Accepted under this revision.
    Accepted(Revision),
    /// Another configuration was accepted since the base revision.
    Conflict {
        /// The pointer row as it stands.
        current: Box<ConfigRow>,
    },
    /// Not accepted, now or later: the store could not be reached and no write was sent.
    NotAccepted,
    /// A write was sent and could not be read back; it may have been accepted.
    Unknown,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Make this call and report its result.
    Call(SubmitCall),
    /// Ask again at the given time.
    Wait(Time),
    /// A call is on its way.
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

/// One submission.
#[derive(Debug)]
pub struct Submission {
    request: SubmitRequest,
    timing: SubmissionTiming,
    deadline: Time,
    stage: Stage,
    /// The base row, once read.
    base: ConfigRow,
    /// Whether the answer of a pointer write was lost.
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

    /// What to do at `now`.
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

    /// Takes the result of the call asked for last.
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
            // An unsettled write may still be on its way: repeating it is harmless, since both
            // expect the same revision.
            self.stage = if self.unresolved { Stage::Write } else { Stage::Content };
            return;
        }
        if self.unresolved && row.revision < self.request.base.0 {
            // The row was seen at the base revision before, so this read is stale.
            self.not_before = now + self.timing.retry;
            return;
        }
        self.on_conflict(row);
    }

    /// The row is past the base, so that no write of this submission can take effect any more. Its
    /// history tells whether one did.
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
