//! What the replies to a submission mean, with all that came before them in mind.

use sesamewind_protocol::operator::{Acceptance, Accepted, Conflict, Faulty};

/// A submission and what is known of it.
#[derive(Debug)]
pub struct Submission {
    /// Identifier; the same for every attempt, so that the sheet is accepted once at most.
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
    /// Refused: another sheet was accepted since the base.
    Conflict(Conflict),
    /// Refused: the sheet has faults.
    Faulty(Faulty),
    /// The store can't be reached.
    Unavailable(Acceptance),
    /// Refused for another reason, such as a wrong token.
    Refused(String),
    /// No instance took the request: no connection came about, or the instance is not ready.
    NotProcessed,
    /// The attempt was sent, and no whole answer came.
    Lost,
}

/// What to do after a reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// The sheet is accepted.
    Accepted(Accepted),
    /// The sheet is not accepted because of a conflict.
    Conflict(Conflict),
    /// The sheet is not accepted because of its faults.
    Faulty(Faulty),
    /// The sheet is not accepted for this reason.
    Refused(String),
    /// Ask again: nothing is settled, for this reason.
    Retry(&'static str),
    /// Nobody can say any more whether the sheet was accepted, for this reason.
    Unknown(String),
}

impl Submission {
    /// A submission that was not sent yet.
    pub fn new(id: String, base: u64) -> Self {
        Self { id, base, uncertain: false }
    }

    /// A submission that was sent by an earlier run of the tool.
    pub fn resumed(id: String, base: u64) -> Self {
        Self { id, base, uncertain: true }
    }

    /// Whether an attempt may have been accepted without a word.
    pub fn is_uncertain(&self) -> bool {
        self.uncertain
    }

    /// Judges a reply. After a lost answer only an acceptance, or a refusal that holds for all
    /// attempts, settles the matter.
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
