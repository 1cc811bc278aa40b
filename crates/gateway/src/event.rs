//! What happens to a gateway, and what it asks for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sesamewind_protocol::relay::RelayUpdate;
use sesamewind_protocol::{Revision, TargetId, Time};

use crate::arrival::{Arrival, Ticket};
use crate::proof::Refusal;
use crate::rollouts::RolloutOrder;
use crate::table::RouteTable;
use crate::targets::TargetChange;

/// How an attempt at a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer was passed on.
    Whole,
    /// The target gave a whole answer that is a failure of its own; it is at hand.
    Failing,
    /// No connection came about; not a byte was sent.
    Unconnected,
    /// The target states that it did not run the request.
    Declined,
    /// Another target has the address, and states that it did not run the request.
    Replaced,
    /// The connection broke, or what came is no answer to the request.
    Broken,
    /// Nothing came for too long.
    Silent,
    /// The request's time ran out.
    Expired,
}

impl AttemptOutcome {
    /// Whether the attempt certainly did not run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::Unconnected | Self::Declined | Self::Replaced)
    }

    /// The end as it stands in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Failing => "failing",
            Self::Unconnected => "unconnected",
            Self::Declined => "declined",
            Self::Replaced => "replaced",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::Expired => "expired",
        }
    }
}

/// Something that happened.
#[derive(Debug)]
pub enum Event<'a> {
    /// A request arrived.
    Arrive(Arrival),
    /// The first bytes of an answer came.
    Started(Ticket),
    /// A stream is about to end well; its events and its longest pause between two parts.
    Streamed(Ticket, u64, Duration),
    /// An attempt at a target ended.
    Ended(Ticket, AttemptOutcome),
    /// The caller left; its attempt, if there is one, was cut.
    Left(Ticket),
    /// A configuration was accepted.
    Configured(Arc<RouteTable>),
    /// The list of targets changed.
    Listed(Vec<TargetChange>),
    /// The whole list was read; targets that are not in it are gone.
    ListedAll(Vec<TargetChange>),
    /// The list can't be read.
    ListLost,
    /// The list can be read again.
    ListRestored,
    /// Operators ordered a move of a service to another version.
    RolloutOrdered(RolloutOrder),
    /// A peer told its state.
    PeerUpdate(&'a RelayUpdate),
    /// Time passed.
    Tick,
    /// The instance takes no new requests.
    Stop,
}

/// An attempt at a target.
#[derive(Debug, Clone, PartialEq)]
pub struct Dispatch {
    /// The target.
    pub target: TargetId,
    /// Its address.
    pub address: SocketAddr,
    /// Number of the attempt, from one.
    pub attempt: u32,
    /// Longest time without a byte.
    pub silence_timeout: Duration,
    /// When the request's time runs out.
    pub deadline: Time,
    /// Requests of all instances at the target, this one included.
    pub load: u32,
    /// Longest pause of the target's long streams on average, in milliseconds; zero if not known.
    pub pause: u32,
    /// Time for which the request waited.
    pub waited: Duration,
    /// Revision of the configuration that chose the service.
    pub revision: Revision,
    /// Whether the request may run once at most.
    pub once: bool,
}

/// What a request does next.
#[derive(Debug)]
pub enum Step {
    /// Send it to a target.
    Dispatch(Dispatch),
    /// Answer the caller that it has not run.
    Refuse(Refusal),
    /// Give the caller the failure that the target answered with.
    Deliver,
    /// Answer the caller that the outcome is not known, or break off its stream.
    Fail(AttemptOutcome),
}

/// Something to do.
#[derive(Debug)]
pub struct Action {
    /// The request.
    pub ticket: Ticket,
    /// Its next step.
    pub step: Step,
}
