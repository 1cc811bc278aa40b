//! Messages to the control thread.

use std::sync::Arc;

use sesamewind_membership::{ConfigRow, Fetch, LeaseAnswer, LeaseCall};
use sesamewind_platform::Listing;
use sesamewind_policy::{Arrival, AttemptOutcome, Ticket};
use sesamewind_protocol::evidence::RecordEntry;
use sesamewind_protocol::message::Exchange;
use sesamewind_protocol::record::{Lookup, LookupReply, RecordsCopy, RecordsRequest};
use sesamewind_protocol::target::{CacheEvent, LoadReport};
use sesamewind_protocol::{InstanceId, RequestKey, RolloutId, TargetId};
use sesamewind_rollout::{OrderResult, ReadResult, WriteResult};
use tokio::sync::mpsc::UnboundedSender;

use crate::answer::Answer;
use crate::context::Installed;
use crate::step::Step;

/// What a job tells of its request.
#[derive(Debug)]
pub enum Signal {
    /// The request is about to be written.
    WriteCheck,
    /// The target answered with its headers.
    Accepted,
    /// Tokens arrived.
    Tokens(u32),
    /// The attempt at the target ended.
    Finished(AttemptOutcome),
    /// The target made no progress within the progress timeout.
    Silent,
    /// Nobody reads the answer any more.
    CallerGone,
    /// Somebody reads the answer again.
    CallerBack,
    /// The peer that holds the answer was lost.
    HolderLost,
    /// The job has ended.
    Closed,
}

/// A request arrived.
#[derive(Debug)]
pub struct Arrive {
    /// The request.
    pub arrival: Arrival,
    /// Where its job takes steps.
    pub steps: UnboundedSender<Step>,
    /// Its answer.
    pub answer: Arc<Answer>,
}

/// A job tells of its request.
#[derive(Debug)]
pub struct JobSignal {
    /// The request.
    pub ticket: Ticket,
    /// What happened.
    pub signal: Signal,
}

/// Time passed.
#[derive(Debug)]
pub struct Tick;

/// A configuration was fetched and read.
#[derive(Debug)]
pub struct Fetched(pub Installed);

/// A configuration could not be fetched or read.
#[derive(Debug)]
pub struct FetchFailed(pub Fetch);

/// The pointer to the accepted configuration was read from the store.
#[derive(Debug)]
pub struct Pointer(pub ConfigRow);

/// The platform's list was read.
#[derive(Debug)]
pub struct Listed(pub Listing);

/// A target was polled.
#[derive(Debug)]
pub struct Polled {
    /// The target.
    pub target: TargetId,
    /// Its report, or none in time.
    pub report: Option<LoadReport>,
}

/// A target reported changes of its prefix cache.
#[derive(Debug)]
pub struct CacheChanged {
    /// The target.
    pub target: TargetId,
    /// The changes.
    pub events: Vec<CacheEvent>,
}

/// A probe over a new connection ended.
#[derive(Debug)]
pub struct Probed {
    /// The target.
    pub target: TargetId,
    /// Its report, or none in time.
    pub report: Option<LoadReport>,
}

/// A peer's message; the answer is the message for it.
#[derive(Debug)]
pub struct PeerMessage(pub Exchange);

/// A peer answered this instance's message.
#[derive(Debug)]
pub struct Answered(pub Exchange);

/// A peer did not answer this instance's message.
#[derive(Debug)]
pub struct Unanswered(pub InstanceId);

/// A peer asks after a request.
#[derive(Debug)]
pub struct PeerLookup(pub Lookup);

/// A peer answered a lookup.
#[derive(Debug)]
pub struct LookupReplied(pub LookupReply);

/// A peer asks for this instance's records.
#[derive(Debug)]
pub struct PeerRecords(pub RecordsRequest);

/// A peer's records arrived.
#[derive(Debug)]
pub struct RecordsCopied(pub RecordsCopy);

/// The table service answered a call of the lease.
#[derive(Debug)]
pub struct LeaseAnswered {
    /// The call.
    pub call: LeaseCall,
    /// The answer.
    pub answer: LeaseAnswer,
}

/// The table service answered the write of a rollout record.
#[derive(Debug)]
pub struct RecordWritten {
    /// The rollout.
    pub rollout: RolloutId,
    /// The answer.
    pub result: WriteResult,
}

/// The table service answered the listing of rollout records.
#[derive(Debug)]
pub struct RecordsRead(pub ReadResult);

/// The rollout records as they stand in the table service.
#[derive(Debug)]
pub struct RecordsSeen(pub Vec<RecordEntry>);

/// A target answered an order.
#[derive(Debug)]
pub struct Ordered {
    /// The target.
    pub target: TargetId,
    /// The answer.
    pub result: OrderResult,
}

/// Asks for the answer of a request that this instance holds.
#[derive(Debug)]
pub struct FindAnswer(pub RequestKey);

/// The instance is about to stop: leases are given up and peers are told.
#[derive(Debug)]
pub struct Leave;

/// No new requests are taken from now on.
#[derive(Debug)]
pub struct StopAccepting;

/// Asks what a stop still waits for.
#[derive(Debug)]
pub struct Remaining;

/// What a stop still waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RemainingWork {
    /// Requests under way.
    pub requests: usize,
    /// Whether a lease has not been given up yet.
    pub lease: bool,
}

/// Hands this instance's records to its peers.
#[derive(Debug)]
pub struct HandOver;
