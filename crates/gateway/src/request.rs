//! State of a request while it waits or is at a target.

use sesamewind_protocol::{ServiceId, Time};

use crate::arrival::Arrival;
use crate::event::AttemptOutcome;
use crate::proof::NotRunProof;
use crate::queue::Position;
use crate::targets::Index;

/// Whether a target may have run a request.
#[derive(Debug)]
pub(crate) enum History {
    /// No target ran it.
    NotRun(NotRunProof),
    /// A target may have run it.
    MayHaveRun,
}

/// Where a request currently is. While a request is at a target, its proof is kept in the attempt
/// and is valid again only if the target did not run the request.
#[derive(Debug)]
pub(crate) enum State {
    /// The request waits for a slot.
    Waiting {
        /// Position in the queue.
        position: Position,
        /// Whether the request may have run.
        history: History,
    },
    /// The request is at a target.
    InFlight(Attempt),
}

/// An attempt in flight.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// Target of the attempt.
    pub(crate) target: Index,
    /// When the attempt was sent.
    pub(crate) sent: Time,
    /// Prompt tokens at the target ahead of this request's.
    pub(crate) ahead: u32,
    /// Whether bytes of the response were received.
    pub(crate) started: bool,
    /// Whether the target is silent.
    pub(crate) silent: bool,
    /// History before the attempt; see [`Attempt::history`].
    before: History,
}

impl Attempt {
    /// Creates an attempt that is sent at `sent`.
    pub(crate) fn new(target: Index, sent: Time, ahead: u32, before: History) -> Self {
        Self { target, sent, ahead, started: false, silent: false, before }
    }

    /// Returns whether the request may have run, given the attempt's outcome. The history before
    /// the attempt remains valid only if the outcome proves that the target did not run the
    /// request.
    pub(crate) fn history(self, outcome: AttemptOutcome) -> History {
        if outcome.is_not_run() { self.before } else { History::MayHaveRun }
    }
}

/// An open request.
#[derive(Debug)]
pub(crate) struct Request {
    /// The request as it arrived.
    pub(crate) arrival: Arrival,
    /// Service chosen by the route's split.
    pub(crate) service: ServiceId,
    /// When it arrived.
    pub(crate) arrived: Time,
    /// When its caller probably made its first attempt.
    pub(crate) since: Time,
    /// Whether it can no longer meet its objective, and has not been sent to a target.
    pub(crate) late: bool,
    /// Whether its account used more than its fair share on its arrival.
    pub(crate) above_share: bool,
    /// Number of attempts, including those that certainly did not run.
    pub(crate) sends: u32,
    /// Number of attempts that may have run.
    pub(crate) runs: u32,
    /// Whether bytes of a response were received in any attempt.
    pub(crate) started: bool,
    /// Whether the last target did not run the request, but an earlier one may have. Such a request
    /// can't be refused, so it waits for another target until its deadline.
    pub(crate) held: bool,
    /// Whether its next attempt has not been charged to the retry budget yet.
    pub(crate) uncharged: bool,
    /// Whether the end of its wait was postponed because of a stall of this instance.
    pub(crate) postponed: bool,
    /// Whether it found no target on its arrival while a request limit left no turn.
    pub(crate) held_off: bool,
    /// Targets at which attempts failed.
    pub(crate) tried: Vec<Index>,
    /// Units charged to the account's limit.
    pub(crate) cost: f64,
    /// Current state.
    pub(crate) state: State,
}

impl Request {
    /// Returns the tokens of the prompt; zero if unknown.
    pub(crate) fn prompt(&self) -> u32 {
        self.arrival.prompt_tokens.unwrap_or(0)
    }
}
