//! The planned stop: nothing in flight is cut, and nothing is accepted that could not be served.
//!
//! The instance turns unready and gives up its lease while the balancer still sends requests; after
//! the balancer's lag it refuses new ones, waits for those in flight, hands its records to its peers
//! and ends.

use std::sync::Arc;
use std::time::Duration;

use crate::context::Context;
use crate::message::{HandOver, Leave, Remaining, RemainingWork, StopAccepting};

/// Interval of asking what the stop still waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Time for the last answers to be read by their callers and for the records to arrive at peers.
const FINAL_DELAY: Duration = Duration::from_millis(300);

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
    context.notify(Leave);
    tokio::time::sleep(settings.balancer_lag).await;
    context.notify(StopAccepting);
    let remaining = drain(&context, settings.drain_limit).await;
    context.notify(HandOver);
    tokio::time::sleep(FINAL_DELAY).await;
    if remaining.requests > 0 {
        log::error!("stop limit reached; {} requests are cut", remaining.requests);
        return Stopped::LimitReached(remaining.requests);
    }
    if remaining.lease {
        log::warn!("the lease could not be given up in time; it will lapse");
    }
    log::info!("planned stop complete; no request was cut");
    Stopped::Clean
}

/// Waits until nothing is left to wait for, at most for `limit`.
async fn drain(context: &Context, limit: Duration) -> RemainingWork {
    let end = tokio::time::Instant::now() + limit;
    loop {
        let none = RemainingWork { requests: 0, lease: false };
        let remaining = context.ask(Remaining).await.unwrap_or(none);
        if remaining == none || tokio::time::Instant::now() >= end {
            return remaining;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
