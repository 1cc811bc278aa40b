//! Follows the platform's store: the configuration, the list of targets, and the other instances.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use sesamewind_gateway::targets::Change;
use sesamewind_gateway::{Event, Gateway, RouteTable, Routing};
use tokio::time::sleep;

use crate::driver::Driver;
use crate::peers::Peers;
use crate::source::{Announcement, Batch, Notice, Source, SourceError, Topic};

/// How long the store is asked to wait for a change. Shorter waits cost calls; longer ones leave a
/// connection that went silent unnoticed for longer.
const WAIT: Duration = Duration::from_secs(3);

/// Bounds of the pause after a failed call.
const PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// How long a watch goes on after a peer was seen to know more, before it is asked again on a new
/// connection.
const BEHIND_TIME: Duration = Duration::from_millis(250);

/// Pause between two savings of the use of account limits; what is used in between is covered by
/// the tolerance over the limits.
const SAVE_PAUSE: Duration = Duration::from_millis(250);

/// Pause between two readings of the other instances' announcements. Peers learn of a new instance
/// from its first exchange, so that this only repairs what was missed.
const INSTANCES_PAUSE: Duration = Duration::from_secs(10);

/// Follows `topic` for as long as the instance runs.
pub async fn follow(driver: Rc<Driver>, source: Rc<dyn Source>, topic: Topic) {
    let mut version: Option<u64> = None;
    let mut failures: u32 = 0;
    loop {
        let result = match version {
            None => source.read(topic).await,
            // While the store is away, a short call tells sooner that it is back.
            Some(after) if failures > 0 => source.changes(topic, after, Duration::ZERO).await,
            Some(after) => tokio::select! {
                result = source.changes(topic, after, WAIT) => result,
                () = overtaken(&driver) => source.changes(topic, after, Duration::ZERO).await,
            },
        };
        match result {
            Ok(batch) => {
                if failures > 0 {
                    log::info!(event = "store_back", topic = topic.as_str(), failures; "store back");
                    failures = 0;
                    back(&driver, topic);
                }
                let known = version;
                // A stale replica may answer with less than is known.
                if known.is_none_or(|known| batch.version >= known) {
                    version = Some(batch.version);
                    let unconfigured = driver.look(|gateway| gateway.table().is_none());
                    apply(&driver, topic, batch, known.is_none());
                    if topic == Topic::Configuration && unconfigured {
                        restore_use(&driver, source.as_ref()).await;
                    }
                }
            }
            Err(SourceError::HistoryGone) => {
                log::warn!(event = "history_gone", topic = topic.as_str(), after = version; "reading the whole");
                version = None;
            }
            Err(err) => {
                failures += 1;
                if failures == 1 {
                    log::warn!(event = "store_lost", topic = topic.as_str(), cause:% = err; "store lost");
                    driver.metrics.dependency_lost("store");
                }
                if topic == Topic::Targets {
                    driver.tell(Event::ListLost);
                }
                sleep(pause(failures)).await;
            }
        }
    }
}

/// Resolves a little after a peer was seen to know more.
async fn overtaken(driver: &Driver) {
    driver.behind.notified().await;
    sleep(BEHIND_TIME).await;
}

fn back(driver: &Driver, topic: Topic) {
    if topic == Topic::Targets {
        driver.tell(Event::ListBack);
    }
}

fn pause(failures: u32) -> Duration {
    let pause = (PAUSE.0 * (1 << failures.min(6))).min(PAUSE.1);
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}

fn apply(driver: &Driver, topic: Topic, batch: Batch, whole: bool) {
    let mut changes = Vec::new();
    for notice in batch.notices {
        match notice {
            Notice::Routing(routing) => install(driver, *routing),
            Notice::Target(change) => {
                log_change(&change, batch.version);
                changes.push(change);
            }
            Notice::Damaged { key, fault } => {
                log::warn!(event = "entry_damaged", topic = topic.as_str(), entry = key.as_str(), fault = fault.as_str(); "entry can't be read");
            }
        }
    }
    if topic == Topic::Targets {
        driver.listed.set(batch.version);
        if whole {
            driver.tell(Event::ListedAll(changes));
        } else if !changes.is_empty() {
            driver.tell(Event::Listed(changes));
        }
    }
}

fn install(driver: &Driver, routing: Routing) {
    let (revision, routes) = (routing.revision, routing.routes.len());
    if revision <= driver.look(Gateway::revision) {
        return;
    }
    driver.tell(Event::Configured(Arc::new(RouteTable::new(routing))));
    log::info!(event = "configured", revision = revision.0, routes; "configuration in force");
}

fn log_change(change: &Change, version: u64) {
    match change {
        Change::Listed(listed) => log::info!(
            event = "target_listed",
            target = listed.id.as_str(),
            service = listed.service.as_str(),
            state:? = listed.state,
            software = listed.version.as_str(),
            version;
            "target listed"
        ),
        Change::Removed(id) => {
            log::info!(event = "target_removed", target = id.as_str(), version; "target removed");
        }
    }
}

/// Announces this instance and learns of the others.
pub async fn instances(peers: Rc<Peers>, source: Rc<dyn Source>, me: Announcement) {
    let mut failures = 0;
    while let Err(err) = source.announce(&me).await {
        failures += 1;
        if failures == 1 {
            log::warn!(event = "announce_failed", cause:% = err; "announcement failed");
        }
        sleep(pause(failures)).await;
    }
    loop {
        match source.instances().await {
            Ok(announced) => {
                peers.learn(&announced);
                sleep(INSTANCES_PAUSE.mul_f64(rand::rng().random_range(0.8..1.2))).await;
            }
            Err(err) => {
                log::debug!("announcements could not be read: {err}");
                sleep(PAUSE.1).await;
            }
        }
    }
}

/// Saves use of account limits while an account is near its limit.
pub async fn save_use(driver: Rc<Driver>, source: Rc<dyn Source>) {
    loop {
        sleep(SAVE_PAUSE).await;
        let uses = driver.change(|gateway| gateway.use_to_save(driver.now()));
        if uses.is_empty() {
            continue;
        }
        if let Err(err) = source.save_use(&uses).await {
            log::warn!(event = "use_not_saved", cause:% = err; "use of limits not saved");
            sleep(PAUSE.1).await;
        }
    }
}

/// Reads what was used of account limits before this instance's start. Until it is known, the
/// gateway assumes more.
async fn restore_use(driver: &Driver, source: &dyn Source) {
    if !driver.look(Gateway::needs_saved_use) {
        return;
    }
    match source.saved_use().await {
        Ok(saved) => {
            let (age, uses) =
                saved.map_or((Duration::ZERO, Vec::new()), |saved| (saved.age, saved.uses));
            let now = driver.now();
            driver.change(|gateway| gateway.restore_use(&uses, age, now));
            let (accounts, age_ms) = (uses.len(), age.as_millis() as u64);
            log::info!(event = "use_restored", accounts, age_ms; "use of limits restored");
        }
        Err(err) => {
            log::warn!(event = "use_not_restored", cause:% = err; "use of limits not restored");
        }
    }
}
