//! Events that a node processes, and actions that it returns to the daemon.

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

/// An input of the node.
#[derive(Debug)]
pub enum Event<'a> {
    /// An event of the scheduler.
    Traffic(policy::Event<'a>),
    /// The job of a request ended. The ticket is never used again.
    Closed(policy::Ticket),
    /// A poll of a target ended.
    Polled {
        /// The target.
        target: &'a TargetId,
        /// Its load report; `None` if the poll failed or timed out.
        report: Option<&'a LoadReport>,
    },
    /// The platform's list of instances and targets was read.
    Listed {
        /// The instances.
        instances: &'a [ListedInstance],
        /// The targets.
        targets: &'a [ListedTarget],
    },
    /// The pointer to the accepted configuration was read from the store.
    Pointer {
        /// Revision that the pointer names.
        revision: Revision,
        /// Hash of its content.
        hash: &'a str,
    },
    /// An accepted sheet was fetched and parsed.
    Sheet {
        /// Its revision.
        revision: Revision,
        /// Hash of its content.
        hash: &'a str,
        /// The sheet.
        sheet: &'a Sheet,
    },
    /// A sheet could not be fetched or parsed.
    FetchFailed(&'a Fetch),
    /// A peer's message arrived. [`crate::Node::answer`] builds the answer.
    Exchange(&'a Exchange),
    /// A peer answered this instance's message.
    Answered(&'a Exchange),
    /// A peer did not answer this instance's message.
    Unanswered(&'a InstanceId),
    /// The table service answered a lease call.
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
    /// The rollout records were read from the table service by the periodic poll, which is
    /// independent of the rollout leader's listings.
    RecordsSeen(&'a [RecordEntry]),
    /// A target answered an order.
    Ordered {
        /// The target.
        target: &'a TargetId,
        /// The answer.
        result: rollout::OrderResult,
    },
    /// A planned stop begins: the node releases its lease and notifies its peers.
    Leave,
    /// The instance stops accepting requests.
    Stop,
    /// The periodic timer fired.
    Tick,
}

/// An output of the node, which the daemon carries out.
#[derive(Debug)]
pub enum Action {
    /// An action of the scheduler.
    Traffic(policy::Action),
    /// The sheet of this revision is now in force.
    Installed(Revision),
    /// Fetch the content of a configuration.
    Fetch(Fetch),
    /// Send a message to a peer, and report its answer or the lack of one.
    Send {
        /// The peer.
        peer: ExchangePeer,
        /// The message.
        message: Box<Exchange>,
    },
    /// Make a call on the rollout leader's lease.
    Lease(LeaseCall),
    /// An action of the rollouts.
    Rollout(rollout::Action),
    /// A membership change, to be logged.
    Member(MemberEvent),
}
