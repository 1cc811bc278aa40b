//! A request's state while it waits or is at a target.

use sesamewind_protocol::{ServiceId, Time};

use crate::arrival::Arrival;
use crate::proof::Unrun;
use crate::queue::Position;
use crate::targets::Index;

/// Whether a request may have run.
#[derive(Debug)]
pub(crate) enum History {
    /// No target ran it.
    Unrun(Unrun),
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
    Flying(Flight),
}

/// An attempt at a target.
#[derive(Debug)]
pub(crate) struct Flight {
    /// The target.
    pub(crate) target: Index,
    /// When it was sent.
    pub(crate) sent: Time,
    /// Prompt tokens that were ahead of it.
    pub(crate) ahead: u32,
    /// Whether bytes of the answer came.
    pub(crate) started: bool,
    /// What was known before the attempt.
    pub(crate) before: History,
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
