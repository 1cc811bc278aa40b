//! Loops on the traffic threads that read the platform and the targets at fixed intervals.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use sesamewind_protocol::{Revision, TargetId};
use tokio::time::{MissedTickBehavior, interval};

use crate::context::{Context, Installed};
use crate::control::{Fetched, InForce, Polled, Tick};
use crate::targets::TargetAddress;

/// Interval of the control thread's own timer.
const TICK: Duration = Duration::from_millis(20);

/// Key of the pointer to the accepted configuration in the table service.
const CONFIG_KEY: &str = "config";

/// The pointer to the accepted configuration.
#[derive(Debug, Deserialize)]
struct ConfigRow {
    revision: u64,
    hash: String,
}

/// Sends the control thread the passing of time.
pub async fn ticks(context: Arc<Context>) {
    let mut timer = interval(TICK);
    timer.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        timer.tick().await;
        context.tell(Tick);
    }
}

/// Reads the pointer to the configuration and fetches what is newer than what is in force.
pub async fn configuration(context: Arc<Context>) {
    let mut timer = interval(context.settings.control.config_poll);
    timer.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        timer.tick().await;
        let Some(in_force) = context.ask(InForce).await else { return };
        if let Some(installed) = newer(&context, in_force).await {
            context.tell(Fetched(installed));
        }
    }
}

async fn newer(context: &Context, in_force: Revision) -> Option<Installed> {
    let row = context.platform.row(CONFIG_KEY).await.ok()??;
    let row: ConfigRow = serde_json::from_value(row.value).ok()?;
    let revision = Revision(row.revision);
    if revision <= in_force {
        return None;
    }
    let content = context.platform.object(&row.hash).await.ok()??;
    read(revision, &row.hash, content)
}

/// Reads fetched content, unless it is not what its hash says.
fn read(revision: Revision, hash: &str, content: Bytes) -> Option<Installed> {
    if sesamewind_sheet::hash(&content) != hash {
        log::warn!(revision = revision.0; "configuration does not match its hash");
        return None;
    }
    match sesamewind_sheet::read(&content) {
        Ok(sheet) => Some(Installed { revision, hash: hash.to_owned(), content, sheet }),
        Err(faults) => {
            log::error!(revision = revision.0; "accepted sheet has {} faults", faults.len());
            None
        }
    }
}

/// Polls the load of every target of the configuration in force.
pub async fn loads(context: Arc<Context>) {
    let period = context.settings.control.load_poll;
    let mut timer = interval(period);
    timer.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        timer.tick().await;
        let Some(installed) = context.configuration() else { continue };
        for row in &installed.sheet.targets {
            let at = TargetAddress { target: row.name.clone(), address: row.address.to_string() };
            tokio::spawn(poll_load(Arc::clone(&context), at, period));
        }
    }
}

async fn poll_load(context: Arc<Context>, at: TargetAddress, timeout: Duration) {
    let report = context.targets.load(&at, timeout).await.ok();
    let target: TargetId = at.target;
    context.tell(Polled { target, report });
}
