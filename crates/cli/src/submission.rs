//! Decides what to do after a reply to a submission, depending on the earlier replies.

use sesamewind_protocol::operator::{Acceptance, Accepted, Conflict, Faulty};

/// A submission of a sheet, possibly over several attempts.
#[derive(Debug)]
pub struct Submission {
    /// Identifier; the same for every attempt, so that the sheet is accepted at most once.
    pub id: String,
    /// Revision that the sheet is based on.
    pub base: u64,
    /// Whether an earlier attempt may have been accepted.
    uncertain: bool,
}

/// Reply to one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Accepted by this attempt or an earlier one.
    Accepted(Accepted),
    /// Refused: another sheet was accepted after the base revision.
    Conflict(Conflict),
    /// Refused: the sheet has faults.
    Faulty(Faulty),
    /// The store can't be reached.
    Unavailable(Acceptance),
    /// Refused for another reason, such as a wrong token.
    Refused(String),
    /// No instance processed the request: no connection could be made, or the instance was not
    /// ready.
    NotProcessed,
    /// The request was sent, and no complete answer was received.
    Lost,
}

/// What to do after a reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// The sheet was accepted.
    Accepted(Accepted),
    /// The sheet was not accepted because of a conflict.
    Conflict(Conflict),
    /// The sheet was not accepted because of its faults.
    Faulty(Faulty),
    /// The sheet was not accepted for this reason.
    Refused(String),
    /// Retry: the outcome is open, for this reason.
    Retry(&'static str),
    /// It can no longer be determined whether the sheet was accepted, for this reason.
    Unknown(String),
}

impl Submission {
    /// Creates a submission that has not been sent yet.
    pub fn new(id: String, base: u64) -> Self {
        Self { id, base, uncertain: false }
    }

    /// Creates a submission that an earlier run of the tool already sent.
    pub fn resumed(id: String, base: u64) -> Self {
        Self { id, base, uncertain: true }
    }

    /// Returns whether an earlier attempt may have been accepted although its answer was lost.
    pub fn is_uncertain(&self) -> bool {
        self.uncertain
    }

    /// Returns the step that follows a reply. After a lost answer, only an acceptance, or a refusal
    /// that applies to all attempts, determines the outcome.
    pub fn next_step(&mut self, reply: Reply) -> Step {
        match reply {
            Reply::Accepted(accepted) => Step::Accepted(accepted),
            Reply::Faulty(faulty) => Step::Faulty(faulty),
            Reply::Conflict(conflict) if self.uncertain => Step::Unknown(format!(
                "an earlier attempt got no answer, and revision {} is in force now",
                conflict.current
            )),
            Reply::Conflict(conflict) => Step::Conflict(conflict),
            Reply::Refused(reason) if self.uncertain => {
                Step::Unknown(format!("an earlier attempt got no answer, and now: {reason}"))
            }
            Reply::Refused(reason) => Step::Refused(reason),
            Reply::Unavailable(Acceptance::No) => Step::Retry("the store could not be reached"),
            Reply::NotProcessed => Step::Retry("no instance took the sheet"),
            Reply::Unavailable(Acceptance::Unknown) => {
                self.uncertain = true;
                Step::Retry("the store's answer was lost")
            }
            Reply::Lost => {
                self.uncertain = true;
                Step::Retry("the instance's answer was lost")
            }
        }
    }
}
