//! A request's state while it waits or is at a target.

use sesamewind_protocol::{ServiceId, Time};

use crate::arrival::Arrival;
use crate::event::AttemptOutcome;
use crate::proof::NotRunProof;
use crate::queue::Position;
use crate::targets::Index;

/// Whether a request may have run.
#[derive(Debug)]
pub(crate) enum History {
    /// No target ran it.
    NotRun(NotRunProof),
    /// A target may have run it.
    MayHaveRun,
}

/// Where a request is. The proof of a request at a target is kept aside until the target states
/// that it did not run it.
#[derive(Debug)]
pub(crate) enum State {
    /// It waits for a place.
    Waiting {
        /// Its place in the queue.
        position: Position,
        /// Whether it may have run.
        history: History,
    },
    /// It is at a target.
    InFlight(Attempt),
}

/// An attempt at a target.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// The target.
    pub(crate) target: Index,
    /// When it was sent.
    pub(crate) sent: Time,
    /// Prompt tokens that were ahead of it.
    pub(crate) ahead: u32,
    /// Whether bytes of the answer came.
    pub(crate) started: bool,
    /// Time to the first byte relative to the estimate.
    pub(crate) ratio: Option<f64>,
    /// What was known before the attempt; see [`Flight::history`].
    before: History,
}

impl Attempt {
    /// A request that is sent now.
    pub(crate) fn new(target: Index, sent: Time, ahead: u32, before: History) -> Self {
        Self { target, sent, ahead, started: false, ratio: None, before }
    }

    /// Whether the request may have run, now that the attempt has ended. Only an end that proves
    /// that the target did not run it leaves what was known before.
    pub(crate) fn history(self, outcome: AttemptOutcome) -> History {
        if outcome.is_not_run() { self.before } else { History::MayHaveRun }
    }
}

/// A request.
#[derive(Debug)]
pub(crate) struct Request {
    /// As it arrived.
    pub(crate) arrival: Arrival,
    /// The service that the split chose.
    pub(crate) service: ServiceId,
    /// When it arrived.
    pub(crate) arrived: Time,
    /// Attempts so far, those that certainly did not run included.
    pub(crate) sends: u32,
    /// Attempts that may have run.
    pub(crate) runs: u32,
    /// Whether bytes of an answer came in any attempt.
    pub(crate) started: bool,
    /// Targets that failed it.
    pub(crate) tried: Vec<Index>,
    /// Use of the account's limit.
    pub(crate) cost: f64,
    /// Where it is.
    pub(crate) state: State,
}

impl Request {
    /// Tokens of the prompt; zero if not said.
    pub(crate) fn prompt(&self) -> u32 {
        self.arrival.prompt_tokens.unwrap_or(0)
    }
}
