//! Messages to the control actor. Each is handled on the control thread.

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

/// Progress of a request, as reported by its job.
#[derive(Debug)]
pub enum Signal {
    /// The request is about to be written to the target.
    WriteCheck,
    /// The target answered with its headers.
    Accepted,
    /// Tokens arrived.
    Tokens(u32),
    /// The attempt at the target ended.
    Finished(AttemptOutcome),
    /// The target made no progress within the progress timeout.
    Silent,
    /// The answer has no reader left.
    CallerGone,
    /// The answer has a reader again.
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
    /// Sends steps to its job.
    pub steps: UnboundedSender<Step>,
    /// Its answer.
    pub answer: Arc<Answer>,
}

/// A job reports progress of its request.
#[derive(Debug)]
pub struct JobSignal {
    /// The request.
    pub ticket: Ticket,
    /// The progress.
    pub signal: Signal,
}

/// The periodic timer fired.
#[derive(Debug)]
pub struct Tick;

/// A configuration was fetched and parsed.
#[derive(Debug)]
pub struct Fetched(pub Installed);

/// A configuration could not be fetched or parsed.
#[derive(Debug)]
pub struct FetchFailed(pub Fetch);

/// The pointer to the accepted configuration was read from the store.
#[derive(Debug)]
pub struct Pointer(pub ConfigRow);

/// The platform's list of instances and targets was read.
#[derive(Debug)]
pub struct Listed(pub Listing);

/// A target was polled.
#[derive(Debug)]
pub struct Polled {
    /// The target.
    pub target: TargetId,
    /// Its load report; `None` if the call failed or timed out.
    pub report: Option<LoadReport>,
}

/// A target reported changes to its prefix cache.
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
    /// Its load report; `None` if the call failed or timed out.
    pub report: Option<LoadReport>,
}

/// A peer sent a message. The handler returns the message to answer with.
#[derive(Debug)]
pub struct PeerMessage(pub Exchange);

/// A peer answered this instance's message.
#[derive(Debug)]
pub struct Answered(pub Exchange);

/// A peer did not answer this instance's message.
#[derive(Debug)]
pub struct Unanswered(pub InstanceId);

/// A peer asks whether this instance knows a request.
#[derive(Debug)]
pub struct PeerLookup(pub Lookup);

/// A peer answered a lookup.
#[derive(Debug)]
pub struct LookupReplied(pub LookupReply);

/// A peer requests this instance's request records.
#[derive(Debug)]
pub struct PeerRecords(pub RecordsRequest);

/// The request records of a peer arrived.
#[derive(Debug)]
pub struct RecordsCopied(pub RecordsCopy);

/// The table service answered a lease call.
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

/// The rollout records were read from the table service by the periodic poll.
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

/// Requests the answer of a request that this instance holds.
#[derive(Debug)]
pub struct FindAnswer(pub RequestKey);

/// A planned stop begins: the node releases its lease and notifies its peers.
#[derive(Debug)]
pub struct Leave;

/// The instance stops accepting requests.
#[derive(Debug)]
pub struct StopAccepting;

/// Requests the work that a planned stop still waits for.
#[derive(Debug)]
pub struct Remaining;

/// The work that a planned stop still waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RemainingWork {
    /// Number of open requests.
    pub requests: usize,
    /// Whether a lease has not been released yet.
    pub lease: bool,
}

/// Sends this instance's request records to its peers.
#[derive(Debug)]
pub struct HandOver;
