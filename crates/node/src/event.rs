//! What happens to a node, and what it asks the daemon to do.

use sesamewind_membership::{
    ExchangePeer, Fetch, LeaseAnswer, LeaseCall, ListedInstance, ListedTarget, MemberEvent,
};
use sesamewind_policy as policy;
use sesamewind_protocol::evidence::RecordEntry;
use sesamewind_protocol::message::Exchange;
use sesamewind_protocol::target::LoadReport;
use sesamewind_protocol::{InstanceId, Revision, RolloutId, TargetId};
use sesamewind_rollout as rollout;
use sesamewind_sheet::Sheet;

/// Something that happened.
#[derive(Debug)]
pub enum Event<'a> {
    /// Something that concerns requests or targets.
    Traffic(policy::Event<'a>),
    /// A request's job has ended; its ticket is never used again.
    Closed(policy::Ticket),
    /// A target was polled: its report, or none in time.
    Polled {
        /// The target.
        target: &'a TargetId,
        /// Its report.
        report: Option<&'a LoadReport>,
    },
    /// The platform's list was read.
    Listed {
        /// The instances.
        instances: &'a [ListedInstance],
        /// The targets.
        targets: &'a [ListedTarget],
    },
    /// The pointer to the accepted configuration was read from the store.
    Pointer {
        /// Revision.
        revision: Revision,
        /// Hash of the content.
        hash: &'a str,
    },
    /// An accepted sheet was fetched and read.
    Sheet {
        /// Its revision.
        revision: Revision,
        /// Hash of its content.
        hash: &'a str,
        /// The sheet.
        sheet: &'a Sheet,
    },
    /// A sheet could not be fetched or read.
    FetchFailed(&'a Fetch),
    /// A peer's message came in; [`crate::Node::answer`] makes the answer.
    Exchange(&'a Exchange),
    /// A peer answered this instance's message.
    Answered(&'a Exchange),
    /// A peer did not answer this instance's message.
    Unanswered(&'a InstanceId),
    /// The table service answered a call of the lease.
    Lease {
        /// The call.
        call: &'a LeaseCall,
        /// The answer.
        answer: LeaseAnswer,
    },
    /// The table service answered the write of a rollout record.
    RecordWritten {
        /// The rollout.
        rollout: &'a RolloutId,
        /// The answer.
        result: rollout::WriteResult,
    },
    /// The table service answered the listing of rollout records.
    RecordsRead(rollout::ReadResult),
    /// The rollout records were read from the table service beside the steward's listings.
    RecordsSeen(&'a [RecordEntry]),
    /// A target answered an order.
    Ordered {
        /// The target.
        target: &'a TargetId,
        /// The answer.
        result: rollout::OrderResult,
    },
    /// The instance is to stop: leases are given up and peers are told.
    Leave,
    /// The instance takes no requests any more.
    Stop,
    /// Time passed.
    Tick,
}

/// Something to do.
#[derive(Debug)]
pub enum Action {
    /// Something that concerns requests or targets.
    Traffic(policy::Action),
    /// The sheet of this revision is in force from now on.
    Installed(Revision),
    /// Fetch a configuration's content.
    Fetch(Fetch),
    /// Send a message to a peer and report its answer or that there was none.
    Send {
        /// The peer.
        peer: ExchangePeer,
        /// The message.
        message: Box<Exchange>,
    },
    /// Make a call on the steward's lease.
    Lease(LeaseCall),
    /// Something that concerns rollouts.
    Rollout(rollout::Action),
    /// A change of the members, for the log.
    Member(MemberEvent),
}
