//! Follows the platform's store: the configuration, the list of targets, and the other instances.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use sesamewind_gateway::targets::TargetChange;
use sesamewind_gateway::{Event, Gateway, RouteTable, Routing};
use sesamewind_protocol::relay::{RowsRequest, StoreRow, Topic};
use tokio::time::sleep;

use crate::driver::Driver;
use crate::peers::Peers;
use crate::source::{Announcement, Batch, Notice, Source, SourceError};

/// How long the store is asked to wait for a change. Shorter waits cost calls; longer ones leave a
/// connection that went silent unnoticed for longer.
const WATCH_WAIT: Duration = Duration::from_secs(3);

/// How long the store is asked to wait where others rely on this instance's watch.
const SHARED_WATCH_WAIT: Duration = Duration::from_millis(1_000);

/// How long changes are gathered where there are many targets, so that not each is a call.
const BATCH_DELAY: Duration = Duration::from_millis(200);

/// How long an instance that learns from peers waits before it looks whether it still should.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(250);

/// Bounds of the pause after a failed call.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// How long a watch goes on after a peer was seen to know more, before it is asked again on a new
/// connection.
const PEER_AHEAD_DELAY: Duration = Duration::from_millis(250);

/// Pause between two savings of the use of account limits; what is used in between is covered by
/// the tolerance over the limits.
const SAVE_INTERVAL: Duration = Duration::from_millis(250);

/// Pause between two judgements of moves; a bad version has a few more requests until the next.
const ROLLOUT_INTERVAL: Duration = Duration::from_millis(100);

/// Pause between two readings of the other instances' announcements. Peers learn of a new instance
/// from its first exchange, so that this only repairs what was missed.
const INSTANCES_INTERVAL: Duration = Duration::from_secs(10);

/// The same where there are many instances, which learn of a new one from others' calls, too.
const SHARED_WATCH_INSTANCES_INTERVAL: Duration = Duration::from_secs(30);

/// Readings of the announcements after the start that follow one another sooner: instances that start
/// together announce themselves at the same time.
const EARLY_READINGS: u32 = 2;

/// Pause between those.
const EARLY_INTERVAL: Duration = Duration::from_secs(1);

/// Follows `topic` for as long as the instance runs.
pub async fn follow(driver: Rc<Driver>, source: Rc<dyn Source>, peers: Rc<Peers>, topic: Topic) {
    let mut watch = Watch { driver, source, peers, topic, version: None, failures: 0 };
    loop {
        if watch.version.is_some()
            && watch.driver.with_gateway(|g| g.follows_peers(watch.driver.now()))
        {
            watch.poll_peer().await;
        } else {
            watch.poll_store().await;
        }
    }
}

/// One topic that is followed.
struct Watch {
    driver: Rc<Driver>,
    source: Rc<dyn Source>,
    peers: Rc<Peers>,
    topic: Topic,
    /// Version of the store that was read; none if the whole has to be read.
    version: Option<u64>,
    failures: u32,
}

impl Watch {
    /// Asks the store for changes, or for the whole.
    async fn poll_store(&mut self) {
        let result = match self.version {
            None => self.source.read(self.topic).await,
            // While the store is away, a short call tells sooner that it is back.
            Some(after) if self.failures > 0 => {
                self.source.changes(self.topic, after, Duration::ZERO).await
            }
            Some(after) => tokio::select! {
                result = self.source.changes(self.topic, after, self.watch_wait()) => result,
                () = peer_ahead(&self.driver) => {
                    self.source.changes(self.topic, after, Duration::ZERO).await
                }
            },
        };
        match result {
            Ok(batch) => self.apply_batch(batch).await,
            Err(SourceError::HistoryGone) => {
                log::warn!(event = "history_gone", topic = self.topic.as_str(), after = self.version; "reading the whole");
                self.version = None;
            }
            Err(err) => {
                self.failures += 1;
                if self.failures == 1 {
                    log::warn!(event = "store_lost", topic = self.topic.as_str(), cause:% = err; "store lost");
                    self.driver.metrics.dependency_lost("store");
                }
                if self.topic == Topic::Targets {
                    self.driver.handle(Event::ListLost);
                }
                sleep(retry_pause(self.failures)).await;
            }
        }
    }

    /// How long the store is asked to wait. Where few instances watch for many, the others have to
    /// know that the watch is alive.
    fn watch_wait(&self) -> Duration {
        if self.driver.with_gateway(Gateway::shares_watch) { SHARED_WATCH_WAIT } else { WATCH_WAIT }
    }

    async fn apply_batch(&mut self, batch: Batch) {
        if self.failures > 0 {
            let failures = std::mem::take(&mut self.failures);
            log::info!(event = "store_back", topic = self.topic.as_str(), failures; "store back");
            if self.topic == Topic::Targets {
                self.driver.handle(Event::ListRestored);
            }
        }
        self.driver.topic(self.topic).checked.set(self.driver.now());
        let known = self.version;
        // A stale replica may answer with less than is known.
        if known.is_some_and(|known| batch.version < known) {
            return;
        }
        self.version = Some(batch.version);
        let changed = !batch.rows.is_empty();
        let unconfigured = self.driver.with_gateway(|gateway| gateway.table().is_none());
        self.apply_rows(batch.rows, known.is_none());
        if self.topic == Topic::Configuration && unconfigured {
            restore_usage(&self.driver, self.source.as_ref()).await;
        }
        if changed && self.driver.with_gateway(Gateway::shares_watch) {
            sleep(BATCH_DELAY).await;
        }
    }

    /// Waits for a peer that knows more, and takes what it has.
    async fn poll_peer(&mut self) {
        tokio::select! {
            () = self.driver.outdated.notified() => {}
            () = sleep(FOLLOW_INTERVAL) => {}
        }
        let followed = self.driver.topic(self.topic);
        let Some(address) = followed.ahead_peer.take() else { return };
        let after = followed.cache.borrow().newest();
        match self.peers.rows(address, RowsRequest { topic: self.topic, after }).await {
            Ok(reply) if reply.newest >= after => {
                self.version = self.version.max(Some(reply.newest));
                self.apply_rows(reply.rows, reply.whole);
            }
            Ok(_) => {}
            Err(err) => {
                log::warn!(event = "peer_rows_lost", topic = self.topic.as_str(), address:%; "rows of a peer: {err}");
            }
        }
    }

    /// Takes rows that changed, or all there are.
    fn apply_rows(&self, rows: Vec<StoreRow>, whole: bool) {
        let mut cache = self.driver.topic(self.topic).cache.borrow_mut();
        let rows = if whole {
            cache.replace(&rows);
            rows
        } else {
            cache.apply_changes(rows)
        };
        let newest = cache.newest();
        drop(cache);
        let mut changes = Vec::new();
        for notice in self.source.decode(self.topic, &rows) {
            match notice {
                Notice::Routing(routing) => install_routing(&self.driver, *routing),
                Notice::Order(order) => {
                    let (service, version) = (order.service.as_str(), order.version.as_str());
                    let duration_ms = order.duration.as_millis() as u64;
                    log::info!(event = "move_ordered", service, version, duration_ms; "move ordered");
                    self.driver.handle(Event::RolloutOrdered(order));
                }
                Notice::Target(change) => {
                    log_change(&change, newest);
                    changes.push(change);
                }
                Notice::Damaged { key, fault } => {
                    log::warn!(event = "entry_damaged", topic = self.topic.as_str(), entry = key.as_str(), fault = fault.as_str(); "entry can't be read");
                }
            }
        }
        if self.topic == Topic::Targets && whole {
            self.driver.handle(Event::ListedAll(changes));
        } else if !changes.is_empty() {
            self.driver.handle(Event::Listed(changes));
        }
    }
}

/// Resolves a little after a peer was seen to know more.
async fn peer_ahead(driver: &Driver) {
    driver.outdated.notified().await;
    sleep(PEER_AHEAD_DELAY).await;
}

fn retry_pause(failures: u32) -> Duration {
    let pause = (RETRY_PAUSE.0 * (1 << failures.min(6))).min(RETRY_PAUSE.1);
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}

fn install_routing(driver: &Driver, routing: Routing) {
    let (revision, routes) = (routing.revision, routing.routes.len());
    if revision <= driver.with_gateway(Gateway::revision) {
        return;
    }
    driver.handle(Event::Configured(Arc::new(RouteTable::new(routing))));
    log::info!(event = "configured", revision = revision.0, routes; "configuration in force");
}

fn log_change(change: &TargetChange, version: u64) {
    match change {
        TargetChange::Listed(listed) => log::info!(
            event = "target_listed",
            target = listed.id.as_str(),
            service = listed.service.as_str(),
            state:? = listed.state,
            software = listed.version.as_str(),
            version;
            "target listed"
        ),
        TargetChange::Removed(id) => {
            log::info!(event = "target_removed", target = id.as_str(), version; "target removed");
        }
    }
}

/// Announces this instance.
pub async fn announce(source: Rc<dyn Source>, me: Announcement) {
    let mut failures = 0;
    while let Err(err) = source.announce(&me).await {
        failures += 1;
        if failures == 1 {
            log::warn!(event = "announce_failed", cause:% = err; "announcement failed");
        }
        sleep(retry_pause(failures)).await;
    }
}

/// Learns of the other instances. Those are called that don't know of this one yet, so that it is
/// known also while its announcement can't be written.
pub async fn instances(driver: Rc<Driver>, peers: Rc<Peers>, source: Rc<dyn Source>) {
    let mut readings = 0;
    loop {
        match source.instances().await {
            Ok(announced) => {
                peers.add_announced(&announced);
                readings += 1;
                let pause = if readings < EARLY_READINGS {
                    EARLY_INTERVAL
                } else if driver.with_gateway(Gateway::shares_watch) {
                    SHARED_WATCH_INSTANCES_INTERVAL
                } else {
                    INSTANCES_INTERVAL
                };
                sleep(pause.mul_f64(rand::rng().random_range(0.8..1.2))).await;
            }
            Err(err) => {
                log::debug!("announcements could not be read: {err}");
                sleep(RETRY_PAUSE.1).await;
            }
        }
    }
}

/// Saves use of account limits while an account is near its limit.
pub async fn save_usage(driver: Rc<Driver>, source: Rc<dyn Source>) {
    loop {
        sleep(SAVE_INTERVAL).await;
        let usage = driver.with_gateway_mut(|gateway| gateway.usage_to_save(driver.now()));
        if usage.is_empty() {
            continue;
        }
        if let Err(err) = source.save_usage(&usage).await {
            log::warn!(event = "use_not_saved", cause:% = err; "use of limits not saved");
            sleep(RETRY_PAUSE.1).await;
        }
    }
}

/// Reads what was used of account limits before this instance's start. Until it is known, the
/// gateway assumes more.
async fn restore_usage(driver: &Driver, source: &dyn Source) {
    if !driver.with_gateway(Gateway::needs_saved_usage) {
        return;
    }
    match source.saved_usage().await {
        Ok(saved) => {
            let (age, usage) =
                saved.map_or((Duration::ZERO, Vec::new()), |saved| (saved.age, saved.usage));
            let now = driver.now();
            driver.with_gateway_mut(|gateway| gateway.restore_usage(&usage, age, now));
            let (accounts, age_ms) = (usage.len(), age.as_millis() as u64);
            log::info!(event = "use_restored", accounts, age_ms; "use of limits restored");
        }
        Err(err) => {
            log::warn!(event = "use_not_restored", cause:% = err; "use of limits not restored");
        }
    }
}

/// Judges moves of services to other versions, and records their state.
pub async fn rollouts(driver: Rc<Driver>, source: Rc<dyn Source>) {
    loop {
        sleep(ROLLOUT_INTERVAL).await;
        for (service, version, counts) in driver.with_gateway_mut(Gateway::evaluate_rollouts) {
            log::warn!(
                event = "move_taken_back",
                service = service.as_str(),
                version = version.as_str(),
                new_requests = counts.new.requests,
                new_failures = counts.new.failures,
                old_requests = counts.old.requests,
                old_failures = counts.old.failures;
                "new version taken back"
            );
        }
        let now = driver.now();
        for record in driver.with_gateway(|gateway| gateway.rollouts_to_record(now)) {
            match source.record_rollout(&record).await {
                Ok(known) => {
                    let (service, state) = (known.service.as_str(), known.state);
                    log::info!(event = "move_recorded", service, state:?; "move recorded");
                    driver.with_gateway_mut(|gateway| gateway.rollout_recorded(&known));
                }
                Err(err) => {
                    log::warn!(event = "move_not_recorded", cause:% = err; "move not recorded");
                    sleep(RETRY_PAUSE.1).await;
                }
            }
        }
    }
}
