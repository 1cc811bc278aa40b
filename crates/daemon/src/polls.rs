//! Polling loops on the traffic threads, which read the platform and the targets at fixed
//! intervals.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use sesamewind_platform::control;
use sesamewind_protocol::TargetId;
use sesamewind_sheet::ServiceClass;
use tokio::time::{Interval, MissedTickBehavior, interval};

use crate::context::Context;
use crate::effects;
use crate::message::{CacheChanged, Listed, Pointer, Polled, Tick};
use crate::targets::TargetAddress;

/// Interval of the control thread's timer.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Drives the control thread's timer.
pub async fn ticks(context: Arc<Context>) {
    let mut timer = timer(TICK_INTERVAL);
    loop {
        timer.tick().await;
        context.notify(Tick);
    }
}

/// Polls the pointer to the accepted configuration.
pub async fn configuration(context: Arc<Context>) {
    let mut timer = timer(context.settings.control.config_poll);
    loop {
        timer.tick().await;
        match control::read_config(&context.platform).await {
            Ok(Some(row)) => context.notify(Pointer(row)),
            Ok(None) => {}
            Err(error) => log::debug!("failed to read the configuration pointer: {error}"),
        }
    }
}

/// Polls the platform's list of instances and targets.
pub async fn list(context: Arc<Context>) {
    let mut timer = timer(context.settings.control.list_poll);
    loop {
        timer.tick().await;
        match context.platform.list().await {
            Ok(listing) => context.notify(Listed(listing)),
            Err(error) => log::debug!("failed to read the platform's list: {error}"),
        }
    }
}

/// Polls the rollout records while the sheet in force has a rollout.
pub async fn records(context: Arc<Context>) {
    let mut timer = timer(context.settings.control.record_poll);
    loop {
        timer.tick().await;
        let installed = context.configuration();
        if installed.is_some_and(|installed| !installed.sheet.rollouts.is_empty()) {
            effects::refresh_records(Arc::clone(&context)).await;
        }
    }
}

/// Polls the load of every target of the configuration in force, and the cache events of model
/// engines.
pub async fn targets(context: Arc<Context>) {
    let period = context.settings.control.load_poll;
    let mut timer = timer(period);
    let mut last_events: HashMap<TargetId, Arc<AtomicU64>> = HashMap::new();
    loop {
        timer.tick().await;
        let Some(installed) = context.configuration() else { continue };
        for row in &installed.sheet.targets {
            let target = row.name.clone();
            let at = TargetAddress { target: target.clone(), address: row.address.to_string() };
            tokio::spawn(poll_load(Arc::clone(&context), at.clone(), period));
            let service = installed.sheet.service(&row.service);
            if service.is_some_and(|service| service.class == ServiceClass::Model) {
                let last = Arc::clone(last_events.entry(target).or_default());
                tokio::spawn(poll_cache(Arc::clone(&context), at, last, period));
            }
        }
    }
}

async fn poll_load(context: Arc<Context>, at: TargetAddress, timeout: Duration) {
    let report = context.targets.load(&at, timeout).await.ok();
    context.notify(Polled { target: at.target, report });
}

/// Reads the cache events after the last known one. Events are only hints, so overlapping polls,
/// which may deliver an event twice, are harmless.
async fn poll_cache(
    context: Arc<Context>,
    at: TargetAddress,
    last: Arc<AtomicU64>,
    timeout: Duration,
) {
    let after = last.load(Ordering::Relaxed);
    let Ok(events) = context.targets.events(&at, after, timeout).await else { return };
    let Some(newest) = events.iter().map(|event| event.seq).max() else { return };
    last.fetch_max(newest, Ordering::Relaxed);
    context.notify(CacheChanged { target: at.target, events });
}

fn timer(period: Duration) -> Interval {
    let mut timer = interval(period);
    timer.set_missed_tick_behavior(MissedTickBehavior::Skip);
    timer
}
