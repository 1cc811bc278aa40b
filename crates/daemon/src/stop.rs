//! The planned stop: nothing in flight is cut, and nothing is accepted that could not be served.
//!
//! The instance turns unready and gives up its lease while the balancer still sends requests; after
//! the balancer's lag it refuses new ones, waits for those in flight, hands its records to its peers
//! and ends.

use std::sync::Arc;
use std::time::Duration;

use crate::context::Context;
use crate::message::{HandOver, Leave, Left, Refuse, Remaining};

/// Interval of asking what the stop still waits for.
const POLL: Duration = Duration::from_millis(25);

/// Time for the last answers to be read by their callers and for the records to arrive at peers.
const LINGER: Duration = Duration::from_millis(300);

/// How a planned stop ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stopped {
    /// Every request in flight was finished.
    Clean,
    /// The limit ran out; this many requests were cut.
    LimitReached(usize),
}

/// Stops the instance as planned.
pub async fn stop(context: Arc<Context>) -> Stopped {
    let settings = context.settings.stop.clone();
    log::info!("planned stop begins; unready, still accepting for {:?}", settings.balancer_lag);
    context.set_stopping();
    context.tell(Leave);
    tokio::time::sleep(settings.balancer_lag).await;
    context.tell(Refuse);
    let left = drained(&context, settings.drain_limit).await;
    context.tell(HandOver);
    tokio::time::sleep(LINGER).await;
    if left.requests > 0 {
        log::error!("stop limit reached; {} requests are cut", left.requests);
        return Stopped::LimitReached(left.requests);
    }
    if left.lease {
        log::warn!("the lease could not be given up in time; it will lapse");
    }
    log::info!("planned stop complete; no request was cut");
    Stopped::Clean
}

/// Waits until nothing is left to wait for, at most for `limit`.
async fn drained(context: &Context, limit: Duration) -> Left {
    let end = tokio::time::Instant::now() + limit;
    loop {
        let none = Left { requests: 0, lease: false };
        let left = context.ask(Remaining).await.unwrap_or(none);
        if left == none || tokio::time::Instant::now() >= end {
            return left;
        }
        tokio::time::sleep(POLL).await;
    }
}
