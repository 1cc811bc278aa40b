//! What happens to a scheduler: callers' requests, targets' answers, peers' messages.

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

/// Names one attempt of a request at this instance; the daemon numbers them.
pub type Ticket = u64;

/// A caller's request as it arrives.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Name of the attempt at this instance, never used again.
    pub ticket: Ticket,
    /// Identity of the request over all attempts; drawn at random if the caller gave no key.
    pub key: RequestKey,
    /// Number of the attempt, zero for the first, if the caller counts.
    pub attempt: Option<u32>,
    /// Whether the caller gave an idempotency key, so that it may send the request again.
    pub has_key: bool,
    /// Hash of what the caller asks for; another one under the same key is refused.
    pub body_hash: u64,
    /// The client account.
    pub account: AccountId,
    /// Rank of the tier; zero is the most urgent.
    pub rank: u8,
    /// The service.
    pub service: ServiceId,
    /// The route.
    pub route: RouteId,
    /// Tokens of the prompt, estimated.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub output_tokens: u32,
    /// The prompt's shared beginning, if any.
    pub prefix: Option<Prefix>,
    /// When the whole answer must be there.
    pub deadline: Time,
    /// When the first token must be there.
    pub first_token_by: Time,
    /// Whether running the request twice would do no harm.
    pub idempotent: bool,
}

/// Beginning of a prompt that other prompts share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prefix {
    /// Identity, see [`prefix_hash`].
    pub hash: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Identity of the prefix named or spelled by `text`.
pub fn prefix_hash(text: &str) -> u64 {
    text_hash(text)
}

/// How an attempt at a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer arrived.
    Complete,
    /// The target said that it refused before running.
    RefusedNotRun,
    /// No connection came about; not a byte of the request was sent.
    ConnectFailed,
    /// The connection broke.
    Broken {
        /// Whether a byte of the request may have been sent.
        sent: bool,
    },
    /// The target answered with a failure of its own after it began to run.
    Failed,
}

/// Traffic sections of a peer's periodic message.
#[derive(Debug, Clone, Copy)]
pub struct PeerUpdate<'a> {
    /// The peer.
    pub from: &'a InstanceId,
    /// When it sent, by its wall clock.
    pub sent: WallTime,
    /// Its work in in_flight per target; targets left out have none.
    pub targets: &'a [TargetUsage],
    /// What accounts ask of it.
    pub accounts: &'a [AccountUsage],
    /// Tier floors that it raised or passes on.
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

/// Something that happened.
#[derive(Debug)]
pub enum Event<'a> {
    /// A caller's request arrived.
    Arrive(Arrival),
    /// Nobody waits for the answer any more.
    CallerGone {
        /// The attempt.
        ticket: Ticket,
    },
    /// Somebody waits for the answer again.
    CallerBack {
        /// The attempt.
        ticket: Ticket,
    },
    /// The bytes are about to be written to the target; answered by `Go` or `NoGo`.
    WriteCheck {
        /// The attempt.
        ticket: Ticket,
    },
    /// The target answered with its headers, at first or after a resume.
    Accepted {
        /// The attempt.
        ticket: Ticket,
    },
    /// The target sent tokens.
    Tokens {
        /// The attempt.
        ticket: Ticket,
        /// How many.
        n: u32,
    },
    /// The attempt at the target ended.
    Finished {
        /// The attempt.
        ticket: Ticket,
        /// How it ended.
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
        /// Whether it answered.
        ok: bool,
    },
    /// A target reported its load.
    TargetReport(&'a LoadReport),
    /// A target was configured and has not reported yet; take these versions as loaded.
    TargetAssumed {
        /// The target.
        target: &'a TargetId,
        /// Versions taken as loaded.
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
    /// A target takes no new work in this life.
    TargetLeaving {
        /// The target.
        target: &'a TargetId,
        /// The life that leaves.
        incarnation: Incarnation,
    },
    /// A target is usable again.
    TargetBack {
        /// The target.
        target: &'a TargetId,
    },
    /// A peer's periodic message.
    Peer(PeerUpdate<'a>),
    /// The other instances, by the view of membership.
    PeerSet {
        /// Every instance that may hold a request or may have taken a first attempt.
        peers: &'a [InstanceIncarnation],
        /// Those that can be reached.
        reachable: &'a [InstanceId],
    },
    /// A peer asks after a request.
    Lookup(&'a Lookup),
    /// A peer's answer to a lookup.
    LookupReply(&'a LookupReply),
    /// The instance that was to stream the answer could not.
    HolderLost {
        /// The attempt that waits for the answer.
        ticket: Ticket,
    },
    /// A joining peer asks for this instance's records.
    RecordsRequest(&'a RecordsRequest),
    /// A peer's records, for this joining instance or from a leaving peer.
    RecordsCopy(&'a RecordsCopy),
    /// The instance stops: new requests are refused, the others are finished.
    Stop,
}
