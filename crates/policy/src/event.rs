//! Events that a scheduler handles: requests of callers, answers of targets, messages of peers.

use sesamewind_protocol::message::Exchange;
use sesamewind_protocol::record::{
    InstanceIncarnation, Lookup, LookupReply, RecordsCopy, RecordsRequest,
};
use sesamewind_protocol::target::{CacheEvent, LoadReport};
use sesamewind_protocol::traffic::{AccountUsage, FloorAck, FloorRaise, TargetUsage};
use sesamewind_protocol::{
    AccountId, Incarnation, InstanceId, RequestKey, RouteId, ServiceId, TargetId, Time, VersionId,
    WallTime, text_hash,
};

/// Identifies one attempt of a request at this instance. The daemon assigns the numbers.
pub type Ticket = u64;

/// A caller's request on arrival.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Identifier of the attempt at this instance, never reused.
    pub ticket: Ticket,
    /// Identity of the request over all attempts; random if the caller gave no key.
    pub key: RequestKey,
    /// Number of the attempt, zero for the first, if the caller counts attempts.
    pub attempt: Option<u32>,
    /// Whether the caller gave an idempotency key, so that it may send the request again.
    pub has_key: bool,
    /// Hash of the request body. Another body under the same key is refused.
    pub body_hash: u64,
    /// The client account.
    pub account: AccountId,
    /// Rank of the tier; zero is the most urgent.
    pub rank: u8,
    /// The service.
    pub service: ServiceId,
    /// The route.
    pub route: RouteId,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens in the answer.
    pub output_tokens: u32,
    /// Beginning of the prompt that it shares with others, if any.
    pub prefix: Option<Prefix>,
    /// Time by which the complete answer is due.
    pub deadline: Time,
    /// Time by which the first token is due.
    pub first_token_by: Time,
    /// Whether running the request twice does no harm.
    pub idempotent: bool,
}

/// Beginning of a prompt that other prompts share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prefix {
    /// Identity; see [`prefix_hash`].
    pub hash: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Returns the identity of the prefix that `text` names or contains.
pub fn prefix_hash(text: &str) -> u64 {
    text_hash(text)
}

/// How an attempt at a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete answer arrived.
    Complete,
    /// The target reported that it refused the request before running it.
    RefusedNotRun,
    /// No connection was established, and no byte of the request was sent.
    ConnectFailed,
    /// The connection broke.
    Broken {
        /// Whether a byte of the request may have been sent.
        sent: bool,
    },
    /// The target answered with a failure after it began to run the request.
    Failed,
}

/// Traffic sections of a peer's periodic message.
#[derive(Debug, Clone, Copy)]
pub struct PeerUpdate<'a> {
    /// The peer.
    pub from: &'a InstanceId,
    /// Time of sending by the peer's wall clock.
    pub sent: WallTime,
    /// Its work in flight per target. Targets that are left out have none.
    pub targets: &'a [TargetUsage],
    /// Demand of the accounts at the peer.
    pub accounts: &'a [AccountUsage],
    /// Tier floors that it raised or forwards.
    pub floors: &'a [FloorRaise],
    /// Floors under which it runs nothing lower.
    pub floor_acks: &'a [FloorAck],
}

impl<'a> From<&'a Exchange> for PeerUpdate<'a> {
    fn from(exchange: &'a Exchange) -> Self {
        Self {
            from: &exchange.from.instance,
            sent: exchange.sent,
            targets: &exchange.targets,
            accounts: &exchange.accounts,
            floors: &exchange.floors,
            floor_acks: &exchange.floor_acks,
        }
    }
}

/// Event for the scheduler.
#[derive(Debug)]
pub enum Event<'a> {
    /// A caller's request arrived.
    Arrive(Arrival),
    /// No caller waits for the answer any more.
    CallerGone {
        /// The attempt.
        ticket: Ticket,
    },
    /// A caller waits for the answer again.
    CallerBack {
        /// The attempt.
        ticket: Ticket,
    },
    /// The bytes are about to be written to the target. Answered by `Go` or `NoGo`.
    WriteCheck {
        /// The attempt.
        ticket: Ticket,
    },
    /// The target answered with its headers, initially or after a resume.
    Accepted {
        /// The attempt.
        ticket: Ticket,
    },
    /// The target sent tokens.
    Tokens {
        /// The attempt.
        ticket: Ticket,
        /// Number of tokens.
        n: u32,
    },
    /// The attempt at the target ended.
    Finished {
        /// The attempt.
        ticket: Ticket,
        /// Outcome of the attempt.
        end: AttemptOutcome,
    },
    /// The connection of an attempt made no progress within the progress timeout.
    Silent {
        /// The attempt.
        ticket: Ticket,
    },
    /// A probe over a new connection ended.
    ProbeResult {
        /// The target.
        target: &'a TargetId,
        /// Whether the target answered.
        ok: bool,
    },
    /// A target reported its load.
    TargetReport(&'a LoadReport),
    /// A target was configured and has not reported yet. The versions are assumed to be loaded.
    TargetAssumed {
        /// The target.
        target: &'a TargetId,
        /// Versions assumed to be loaded.
        versions: &'a [VersionId],
    },
    /// A target reported a change of its prefix cache.
    CacheEvent {
        /// The target.
        target: &'a TargetId,
        /// The change.
        event: &'a CacheEvent,
    },
    /// A target is down.
    TargetDown {
        /// The target.
        target: &'a TargetId,
    },
    /// A target takes no new work in this incarnation.
    TargetLeaving {
        /// The target.
        target: &'a TargetId,
        /// The incarnation that is leaving.
        incarnation: Incarnation,
    },
    /// A target is usable again.
    TargetBack {
        /// The target.
        target: &'a TargetId,
    },
    /// A peer's periodic message.
    Peer(PeerUpdate<'a>),
    /// Membership reported the other instances.
    PeerSet {
        /// Every incarnation that may hold a request or may have taken a first attempt.
        peers: &'a [InstanceIncarnation],
        /// Instances that can be reached.
        reachable: &'a [InstanceId],
    },
    /// A peer looks up a request.
    Lookup(&'a Lookup),
    /// A peer's answer to a lookup.
    LookupReply(&'a LookupReply),
    /// The instance that held the answer could not stream it.
    HolderLost {
        /// The attempt that waits for the answer.
        ticket: Ticket,
    },
    /// A joining peer asks for this instance's records.
    RecordsRequest(&'a RecordsRequest),
    /// A peer sent its records, either because this instance joins or because the peer leaves.
    RecordsCopy(&'a RecordsCopy),
    /// The instance stops: it refuses new requests and finishes the others.
    Stop,
}
