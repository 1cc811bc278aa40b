//! Calls to other processes that the node requests. They run on the traffic threads and send their
//! results to the control thread as messages.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sesamewind_membership::{ExchangePeer, Fetch, LeaseCall, Source};
use sesamewind_platform::{Put, StoreError, control as store};
use sesamewind_protocol::evidence::{RecordEntry, RolloutRecord};
use sesamewind_protocol::message::Exchange;
use sesamewind_protocol::record::{Lookup, RecordsCopy, RecordsRequest};
use sesamewind_protocol::{RolloutId, TargetId, Time, VersionId, WallTime};
use sesamewind_rollout::{OrderKind, OrderResult, ReadResult, WriteResult};

use crate::context::{Context, Installed};
use crate::message::{
    Answered, FetchFailed, Fetched, LeaseAnswered, LookupReplied, Ordered, Probed, RecordWritten,
    RecordsCopied, RecordsRead, RecordsSeen, Unanswered,
};
use crate::metrics::Direction;
use crate::targets::{OrderBody, TargetAddress};

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout of an order to a target.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Prefix of the keys of rollout records in the table service.
const RECORD_PREFIX: &str = "rollout.";

/// Fetches a configuration from the store, or from the peer at `address`.
pub async fn fetch(context: Arc<Context>, fetch: Fetch, address: Option<String>) {
    match fetch_content(&context, &fetch, address).await {
        Some(installed) => context.notify(Fetched(installed)),
        None => context.notify(FetchFailed(fetch)),
    }
}

async fn fetch_content(
    context: &Context,
    fetch: &Fetch,
    address: Option<String>,
) -> Option<Installed> {
    let content = match (&fetch.source, address) {
        (Source::Store, _) => context.platform.object(&fetch.hash).await.ok()??,
        (Source::Peer(_), Some(address)) => {
            context.peers.configuration(&address, &fetch.hash).await.ok()?
        }
        (Source::Peer(_), None) => return None,
    };
    parse(fetch, content)
}

/// Parses fetched content. Returns `None` if it does not match its hash or has faults.
fn parse(fetch: &Fetch, content: Bytes) -> Option<Installed> {
    let revision = fetch.revision;
    if sesamewind_sheet::hash(&content) != fetch.hash {
        log::warn!(revision = revision.0; "configuration does not match its hash");
        return None;
    }
    match sesamewind_sheet::read(&content) {
        Ok(sheet) => Some(Installed { revision, hash: fetch.hash.clone(), content, sheet }),
        Err(faults) => {
            log::error!(revision = revision.0; "accepted sheet has {} faults", faults.len());
            None
        }
    }
}

/// Exchanges messages with a peer.
pub async fn exchange(context: Arc<Context>, peer: ExchangePeer, message: Box<Exchange>) {
    match context.peers.exchange(&peer.address, &message).await {
        Ok((answer, sent, received)) => {
            context.metrics.control(Direction::Sent, sent);
            context.metrics.control(Direction::Received, received);
            context.notify(Answered(answer));
        }
        Err(error) => {
            log::debug!("exchange with {} failed: {error}", peer.instance);
            context.notify(Unanswered(peer.instance));
        }
    }
}

/// Asks a peer whether it knows a request.
pub async fn lookup(context: Arc<Context>, address: String, lookup: Lookup) {
    if let Ok(reply) = context.peers.lookup(&address, &lookup).await {
        context.notify(LookupReplied(reply));
    }
}

/// Requests a peer's request records.
pub async fn ask_records(context: Arc<Context>, address: String, request: RecordsRequest) {
    if let Ok(copy) = context.peers.records(&address, &request).await {
        context.notify(RecordsCopied(copy));
    }
}

/// Sends this instance's request records to a peer.
pub async fn hand_over(context: Arc<Context>, address: String, copy: RecordsCopy) {
    if let Err(error) = context.peers.hand_over(&address, &copy).await {
        log::warn!("failed to send request records to {address}: {error}");
    }
}

/// Checks over a new connection whether a target responds.
pub async fn probe(context: Arc<Context>, at: TargetAddress) {
    let report = context.targets.probe(&at, PROBE_TIMEOUT).await.ok();
    context.notify(Probed { target: at.target, report });
}

/// Makes a call on a lease.
pub async fn lease(context: Arc<Context>, call: LeaseCall) {
    let answer = store::call_lease(&context.platform, &call).await;
    context.notify(LeaseAnswered { call, answer });
}

/// Deadlines of a write. It is not sent after either of them.
#[derive(Debug, Clone, Copy)]
pub struct WriteLimits {
    /// Deadline by the wall clock, if any.
    pub before: Option<WallTime>,
    /// End of the lease.
    pub lease_until: Time,
}

/// Writes a rollout record.
pub async fn write_record(
    context: Arc<Context>,
    rollout: RolloutId,
    expected: u64,
    record: RolloutRecord,
    limits: WriteLimits,
) {
    let result = try_write_record(&context, &rollout, expected, &record, limits).await;
    context.notify(RecordWritten { rollout, result });
}

async fn try_write_record(
    context: &Context,
    rollout: &RolloutId,
    expected: u64,
    record: &RolloutRecord,
    limits: WriteLimits,
) -> WriteResult {
    let is_expired = limits.before.is_some_and(|before| context.clock.wall() >= before);
    if is_expired || context.clock.now() >= limits.lease_until {
        return WriteResult::Failed;
    }
    let Ok(value) = serde_json::to_value(record) else { return WriteResult::Failed };
    let key = format!("{RECORD_PREFIX}{rollout}");
    match context.platform.put_row(&key, expected, &value).await {
        Ok(Put::Stored(revision)) => WriteResult::Stored(revision),
        Ok(Put::Conflict(row)) => match serde_json::from_value(row.value) {
            Ok(record) => WriteResult::Conflict(row.revision, record),
            Err(_) => WriteResult::Failed,
        },
        Err(error) if error.may_have_run() => WriteResult::Unknown,
        Err(_) => WriteResult::Failed,
    }
}

/// Reads the rollout records, independently of the rollout leader's listings.
pub async fn refresh_records(context: Arc<Context>) {
    match rows(&context).await {
        Ok(rows) => context.notify(RecordsSeen(rows)),
        Err(error) => log::debug!("failed to read rollout records: {error}"),
    }
}

/// Lists the rollout records for the rollout leader.
pub async fn read_records(context: Arc<Context>) {
    let result = match rows(&context).await {
        Ok(rows) => ReadResult::Rows(rows),
        Err(error) => {
            log::debug!("failed to read rollout records: {error}");
            ReadResult::Failed
        }
    };
    context.notify(RecordsRead(result));
}

async fn rows(context: &Context) -> Result<Vec<RecordEntry>, StoreError> {
    let rows = context.platform.rows(RECORD_PREFIX).await?;
    let entries = rows.into_iter().filter_map(|row| {
        let rollout = RolloutId::new(row.key.strip_prefix(RECORD_PREFIX)?);
        let record = serde_json::from_value(row.value).ok()?;
        Some(RecordEntry { rollout, revision: row.revision, record, draining: 0 })
    });
    Ok(entries.collect())
}

/// An order to a target.
#[derive(Debug, Clone)]
pub struct Order {
    /// Fencing number of the lease under which it is given.
    pub fence: u64,
    /// Kind of the order.
    pub order: OrderKind,
    /// The version to load or unload.
    pub version: VersionId,
    /// End of the lease.
    pub lease_until: Time,
}

/// Sends an order to a target, unless the lease under which it was given has ended.
pub async fn order(
    context: Arc<Context>,
    target: TargetId,
    at: Option<TargetAddress>,
    order: Order,
) {
    let result = try_order(&context, at, &order).await;
    context.notify(Ordered { target, result });
}

async fn try_order(context: &Context, at: Option<TargetAddress>, order: &Order) -> OrderResult {
    let Some(at) = at else { return OrderResult::Failed };
    if context.clock.now() >= order.lease_until {
        return OrderResult::Failed;
    }
    let Order { fence, version, .. } = order;
    let body = OrderBody { fence: *fence, order: order.order.as_str(), version };
    match context.targets.order(&at, &body, ORDER_TIMEOUT).await {
        Ok(status) if status.is_success() => OrderResult::Done,
        Ok(status) if status == http::StatusCode::CONFLICT => OrderResult::Fenced,
        Ok(_) | Err(_) => OrderResult::Failed,
    }
}
