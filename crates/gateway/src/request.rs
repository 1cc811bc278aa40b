//! State of a request while it waits or is at a target.

use std::time::Duration;

use sesamewind_protocol::{InstanceId, ServiceId, Time};

use crate::arrival::{Arrival, Ticket};
use crate::event::{AttemptOutcome, PassOutcome};
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

impl History {
    /// Returns the history for a copy of the request that is neither sent nor answered.
    fn preview(&self) -> Self {
        match self {
            Self::NotRun(_) => Self::NotRun(NotRunProof::at_arrival()),
            Self::MayHaveRun => Self::MayHaveRun,
        }
    }
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
    /// The request was passed on to a peer.
    Passed(Passed),
    /// The request is between two of the other states, within one call.
    Moving,
}

impl State {
    /// Returns the state of a copy of the request that is neither sent nor answered.
    fn preview(&self) -> Self {
        match self {
            Self::Waiting { position, history } => {
                Self::Waiting { position: *position, history: history.preview() }
            }
            Self::InFlight(attempt) => {
                Self::InFlight(Attempt { before: attempt.before.preview(), ..*attempt })
            }
            Self::Passed(passed) => {
                Self::Passed(Passed::new(passed.peer.clone(), passed.before.preview()))
            }
            Self::Moving => Self::Moving,
        }
    }
}

/// A request at a peer.
#[derive(Debug)]
pub(crate) struct Passed {
    /// The peer.
    pub(crate) peer: InstanceId,
    /// History before it was passed on; see [`Passed::history`].
    before: History,
}

impl Passed {
    /// Creates the state of a request that is passed on to `peer`.
    pub(crate) fn new(peer: InstanceId, before: History) -> Self {
        Self { peer, before }
    }

    /// Returns whether the request may have run, given how it ended at the peer. The history before
    /// remains valid only if the outcome proves that it did not run there.
    pub(crate) fn history(self, outcome: PassOutcome) -> History {
        if outcome.is_not_run() { self.before } else { History::MayHaveRun }
    }
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

    /// Records that another attempt of the same request may run it.
    pub(crate) fn record_other_run(&mut self) {
        self.before = History::MayHaveRun;
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
    /// Whether it has had two attempts at once.
    pub(crate) hedged: bool,
    /// Targets at which attempts failed.
    pub(crate) tried: Vec<Index>,
    /// Whether a peer has passed it on to this instance.
    pub(crate) passed: bool,
    /// Peers to which this instance has passed it on.
    pub(crate) peers: Vec<InstanceId>,
    /// Units charged to the account's limit.
    pub(crate) cost: f64,
    /// Current state.
    pub(crate) state: State,
}

impl Request {
    /// Creates a request that has just arrived for `service`, with `cost` charged to its account.
    pub(crate) fn new(
        arrival: Arrival,
        service: ServiceId,
        cost: f64,
        state: State,
        now: Time,
    ) -> Self {
        Self {
            arrival,
            service,
            arrived: now,
            since: now,
            late: false,
            sends: 0,
            runs: 0,
            started: false,
            held: false,
            uncharged: false,
            postponed: false,
            held_off: false,
            hedged: false,
            tried: Vec::new(),
            passed: false,
            peers: Vec::new(),
            cost,
            state,
        }
    }

    /// Returns whether its caller has probably been refused before.
    pub(crate) fn has_returned(&self) -> bool {
        self.since < self.arrived
    }

    /// Returns the upper limit on the predicted time to the first byte. A request that has already
    /// missed its objective, or that can't be refused, has none.
    pub(crate) fn latency_limit(&self, now: Time) -> Option<Duration> {
        let objective = self.arrival.route.objective;
        objective.checked_sub(now.since(self.since)).filter(|_| !self.held)
    }

    /// Returns a copy of the request that is neither sent nor answered.
    pub(crate) fn preview(&self) -> Self {
        Self {
            arrival: self.arrival.clone(),
            service: self.service.clone(),
            tried: self.tried.clone(),
            peers: self.peers.clone(),
            state: self.state.preview(),
            ..*self
        }
    }

    /// Returns the tokens of the prompt; zero if unknown.
    pub(crate) fn prompt(&self) -> u32 {
        self.arrival.prompt_tokens.unwrap_or(0)
    }

    /// Returns the request as its second attempt, with the ticket `second`, while the first one is in
    /// flight. Only the first one is charged to the account.
    pub(crate) fn second_attempt(&self, second: Ticket) -> Self {
        Self {
            arrival: Arrival { ticket: second, ..self.arrival.clone() },
            service: self.service.clone(),
            tried: self.tried.clone(),
            peers: self.peers.clone(),
            cost: 0.0,
            state: State::Waiting {
                position: (self.arrived, second),
                history: History::MayHaveRun,
            },
            ..*self
        }
    }
}
