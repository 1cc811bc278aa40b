//! Planned stop of an instance, which lets requests in flight finish and accepts no request that it
//! could not serve.
//!
//! The instance first becomes unready and releases its lease, but still accepts requests, because
//! the balancer reacts with a lag. After that lag it refuses new requests, waits for those in
//! flight until the drain limit, sends its request records to its peers and ends.

use std::sync::Arc;
use std::time::Duration;

use crate::context::Context;
use crate::message::{HandOver, Leave, Remaining, RemainingWork, StopAccepting};

/// Interval of checking the remaining work.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Delay before the end, in which callers read the last answers and peers receive the records.
const FINAL_DELAY: Duration = Duration::from_millis(300);

/// How a planned stop ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stopped {
    /// All requests in flight finished.
    Clean,
    /// The drain limit was reached, and this many requests were cut off.
    LimitReached(usize),
}

/// Performs a planned stop.
pub async fn stop(context: Arc<Context>) -> Stopped {
    let settings = context.settings.stop.clone();
    log::info!(
        "planned stop begins; not ready, still accepting requests for {:?}",
        settings.balancer_lag
    );
    context.set_stopping();
    context.notify(Leave);
    tokio::time::sleep(settings.balancer_lag).await;
    context.notify(StopAccepting);
    let remaining = drain(&context, settings.drain_limit).await;
    context.notify(HandOver);
    tokio::time::sleep(FINAL_DELAY).await;
    if remaining.requests > 0 {
        log::error!("stop limit reached; {} requests are cut off", remaining.requests);
        return Stopped::LimitReached(remaining.requests);
    }
    if remaining.lease {
        log::warn!("the lease could not be released in time; it will expire");
    }
    log::info!("planned stop complete; no request was cut off");
    Stopped::Clean
}

/// Waits until no work remains, at most for `limit`. Returns the remaining work.
async fn drain(context: &Context, limit: Duration) -> RemainingWork {
    let end = tokio::time::Instant::now() + limit;
    loop {
        let none = RemainingWork { requests: 0, lease: false };
        let mut remaining = context.ask(Remaining).await.unwrap_or(none);
        // A request has no job before its body was read.
        remaining.requests = remaining.requests.max(context.unanswered());
        if remaining == none || tokio::time::Instant::now() >= end {
            return remaining;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
