//! Actions that a scheduler requests from the daemon.

use sesamewind_protocol::record::{Lookup, LookupReply, RecordsCopy, RecordsRequest};
use sesamewind_protocol::{InstanceId, TargetId, VersionId};

use crate::attempt::Refusal;
use crate::event::Ticket;

/// Action for the daemon.
#[derive(Debug, Clone)]
pub enum Action {
    /// Connect to the target, raise `WriteCheck`, then send the request.
    Dispatch {
        /// The attempt.
        ticket: Ticket,
        /// The target.
        target: TargetId,
        /// The version to request.
        version: VersionId,
    },
    /// The bytes may be written.
    Go {
        /// The attempt.
        ticket: Ticket,
    },
    /// The bytes must not be written.
    NoGo {
        /// The attempt.
        ticket: Ticket,
        /// Answer for the caller; absent if the attempt was answered before.
        refusal: Option<Refusal>,
    },
    /// Answer the caller, or end its stream, with the refusal.
    Refuse(Refusal),
    /// Cancel the request at its target and answer the caller, if there is one.
    Cancel {
        /// The attempt.
        ticket: Ticket,
        /// The answer.
        refusal: Refusal,
    },
    /// Open a new connection and resume the stream from the next token.
    Resume {
        /// The attempt.
        ticket: Ticket,
        /// The target that generates.
        target: TargetId,
    },
    /// Probe the target over a new connection.
    Probe {
        /// The target.
        target: TargetId,
    },
    /// Drop every pooled connection to the target.
    DropConnections {
        /// The target.
        target: TargetId,
    },
    /// Send a lookup of a request to peers.
    AskPeers {
        /// The attempt that waits for the lookup.
        ticket: Ticket,
        /// The lookup.
        lookup: Lookup,
        /// The peers to ask.
        peers: Vec<InstanceId>,
    },
    /// Answer a peer's lookup.
    Reply {
        /// The peer that asked.
        to: InstanceId,
        /// The answer.
        reply: LookupReply,
    },
    /// Answer the caller with the answer that another instance holds.
    Attach {
        /// The attempt.
        ticket: Ticket,
        /// The instance that holds the answer.
        holder: InstanceId,
    },
    /// Answer the caller with the result of another attempt at this instance: its answer, its
    /// refusal, or the answer of the instance that it is attached to.
    AttachLocal {
        /// The attempt.
        ticket: Ticket,
        /// The attempt that holds the answer.
        to: Ticket,
    },
    /// Ask peers for their records, which are needed before this instance takes first attempts
    /// without asking.
    AskRecords {
        /// The request for records.
        request: RecordsRequest,
        /// The peers to ask.
        peers: Vec<InstanceId>,
    },
    /// Send this instance's records to a peer.
    SendRecords {
        /// The peer.
        to: InstanceId,
        /// The records.
        copy: RecordsCopy,
    },
    /// A tier floor or an acknowledgement changed; exchange with peers at once.
    FloorChanged,
    /// A long prompt was sent to a target; exchange with peers at once, so that they don't queue
    /// short ones behind it.
    LoadChanged,
}
