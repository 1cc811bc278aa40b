//! Background tasks that keep an instance in sync with the platform's store.
//!
//! They follow the configuration, the target list and the announcements of other instances, and
//! save the state of rollouts and the usage of account limits.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use sesamewind_gateway::targets::TargetChange;
use sesamewind_gateway::{Event, Gateway, RouteTable, Routing};
use sesamewind_protocol::relay::{
    RowsReply, RowsRequest, StorePosition, StoreRow, Topic, ZoneEntry, ZoneReport,
};
use tokio::time::{Instant, sleep};

use crate::driver::Driver;
use crate::held_parts;
use crate::journal;
use crate::peers::Peers;
use crate::source::{Announcement, Batch, Notice, Source, SourceError};

/// How long the store waits for a change before it answers. A shorter wait costs more calls; with a
/// longer one, a dead connection is noticed later.
const WATCH_WAIT: Duration = Duration::from_secs(3);

/// Like [`WATCH_WAIT`], for an instance whose watch other instances rely on.
const SHARED_WATCH_WAIT: Duration = Duration::from_millis(1_000);

/// Pause after a change where instances share watches, so that several changes are read with one
/// call.
const BATCH_DELAY: Duration = Duration::from_millis(200);

/// Interval at which an instance that follows its peers checks whether it should watch the store.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(250);

/// Base and upper bound of the pause after a failed call, before jitter. The pause doubles with
/// each failure.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// How long the pending watch may still deliver a change that a peer already has, before the store
/// is asked again on another connection.
const PEER_AHEAD_DELAY: Duration = Duration::from_millis(250);

/// Interval at which the usage of account limits is saved. The usage since the last save is covered
/// by the tolerance over the limits.
const SAVE_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which rollouts are evaluated. A bad version can receive a few more requests until
/// the next evaluation.
const ROLLOUT_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the announcements of the other instances are read. Peers discover a new
/// instance by its first exchange, so reading only covers exchanges that were missed.
const INSTANCES_INTERVAL: Duration = Duration::from_secs(10);

/// Longer interval where there are many instances. They also discover a new instance by calls from
/// others.
const SHARED_WATCH_INSTANCES_INTERVAL: Duration = Duration::from_secs(30);

/// Number of reads of the announcements after the start up to which [`EARLY_INTERVAL`] applies.
/// Instances that start together may not have announced themselves at the first read.
const EARLY_READS: u32 = 2;

/// Interval between the first reads of the announcements.
const EARLY_INTERVAL: Duration = Duration::from_secs(1);

/// Time after a suspension of the process in which a failed call to the store is repeated at once.
const SUSPENDED_TIME: Duration = Duration::from_millis(500);

/// Keeps the local state of `topic` up to date for as long as the instance runs.
pub async fn follow(driver: Rc<Driver>, source: Rc<dyn Source>, peers: Rc<Peers>, topic: Topic) {
    let known = StorePosition::default();
    let mut watch =
        Watch { driver, source, peers, topic, known, read: false, failures: 0, suspended: false };
    loop {
        if watch.read && watch.driver.with_gateway(|g| g.follows_peers(watch.driver.now())) {
            watch.poll_peer().await;
        } else {
            watch.poll_store().await;
        }
    }
}

/// Where rows were read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// In the store.
    Store,
    /// At a peer.
    Peer,
}

impl Origin {
    /// Returns the origin as written in logs.
    fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// State of the task that follows one topic.
struct Watch {
    driver: Rc<Driver>,
    source: Rc<dyn Source>,
    peers: Rc<Peers>,
    topic: Topic,
    /// Newest position of the store that was read.
    known: StorePosition,
    /// Whether all rows up to `known` were read, so that reading changes is enough.
    read: bool,
    failures: u32,
    /// Whether the last call may have failed because the process did not run.
    suspended: bool,
}

impl Watch {
    /// Reads changes from the store, or all rows.
    async fn poll_store(&mut self) {
        let begun = Instant::now();
        let whole = !self.read;
        let (result, is_peer_ahead) = self.call_store(whole).await;
        let is_lost = matches!(result, Err(SourceError::Lost(_)));
        if is_lost && !self.suspended && self.was_suspended(begun) {
            self.suspended = true;
            log::info!(
                event = "store_asked_again",
                topic = self.topic.as_str();
                "call to the store failed while the process did not run"
            );
            return;
        }
        self.suspended = false;
        let after = self.known;
        match result {
            Ok(batch) => {
                self.apply_batch(batch, whole).await;
                if is_peer_ahead && self.topic == Topic::Configuration {
                    self.read_retained().await;
                }
            }
            Err(SourceError::HistoryGone) => {
                log::warn!(
                    event = "history_gone",
                    topic = self.topic.as_str(),
                    after = after.version;
                    "change history not available; reading all rows"
                );
                self.read = false;
                sleep(retry_pause(0)).await;
            }
            Err(err) => {
                self.failures += 1;
                if self.failures == 1 {
                    log::warn!(
                        event = "store_lost",
                        topic = self.topic.as_str(),
                        cause:% = err;
                        "store unreachable"
                    );
                    self.driver.metrics.dependency_lost("store");
                }
                if self.topic == Topic::Targets {
                    self.driver.handle(Event::ListLost);
                }
                sleep(retry_pause(self.failures)).await;
            }
        }
    }

    /// Asks the store for changes, or all rows. Also returns whether a peer has newer rows than this
    /// instance.
    async fn call_store(&self, whole: bool) -> (Result<Batch, SourceError>, bool) {
        let after = self.known;
        if whole {
            return (self.source.read(self.topic).await, false);
        }
        if self.failures > 0 || self.suspended {
            // While the store is unreachable, calls without a wait detect its recovery sooner.
            return (self.source.changes(self.topic, after, Duration::ZERO).await, false);
        }
        tokio::select! {
            result = self.source.changes(self.topic, after, self.watch_wait()) => (result, false),
            () = self.peer_ahead() => {
                (self.source.changes(self.topic, after, Duration::ZERO).await, true)
            }
        }
    }

    /// Completes [`PEER_AHEAD_DELAY`] after a peer was found to have newer rows.
    async fn peer_ahead(&self) {
        self.driver.topic(self.topic).outdated.notified().await;
        sleep(PEER_AHEAD_DELAY).await;
    }

    /// Returns whether the process did not run until just now. The answer to a call since `begun` may
    /// have arrived meanwhile, and its time may have passed.
    fn was_suspended(&self, begun: Instant) -> bool {
        let now = Instant::now();
        self.driver.observe_turn(now);
        let since_stall = self.driver.watchdog.since_stall(begun, now);
        since_stall.is_some_and(|since| since < SUSPENDED_TIME)
    }

    /// Returns how long the store waits for a change. Where few instances watch on behalf of many,
    /// the wait is short, because the others must see that the watch is alive.
    fn watch_wait(&self) -> Duration {
        if self.driver.with_gateway(Gateway::shares_watch) { SHARED_WATCH_WAIT } else { WATCH_WAIT }
    }

    /// Applies rows read from the store: all of them if `whole`, else those that changed.
    async fn apply_batch(&mut self, batch: Batch, whole: bool) {
        if self.failures > 0 {
            let failures = std::mem::take(&mut self.failures);
            log::info!(
                event = "store_back",
                topic = self.topic.as_str(),
                failures;
                "store reachable again"
            );
            if self.topic == Topic::Targets {
                self.driver.handle(Event::ListRestored);
            }
        }
        self.driver.topic(self.topic).checked.set(self.driver.now());
        // A stale replica may answer from an earlier position. All rows are read again at once, which
        // must not become a loop without a pause.
        if batch.position < self.known {
            if whole {
                sleep(retry_pause(1)).await;
            }
            return;
        }
        self.driver.observe_era(batch.position.era);
        if !whole && batch.position.era > self.known.era {
            // The changes since `known` are lost, and its version has another meaning now. Instances
            // read the copy at different times.
            self.read = false;
            sleep(retry_pause(0)).await;
            return;
        }
        self.known = batch.position;
        self.read = true;
        let changed = !batch.rows.is_empty();
        let unconfigured = self.driver.with_gateway(|gateway| gateway.table().is_none());
        self.apply_rows(batch.rows, batch.position, whole, Origin::Store);
        if self.topic == Topic::Configuration && unconfigured {
            restore_usage(&self.driver, self.source.as_ref()).await;
            if self.driver.with_gateway(Gateway::needs_saved_usage) {
                held_parts::restore(&self.driver, self.source.as_ref()).await;
            }
        }
        if changed && self.driver.with_gateway(Gateway::shares_watch) {
            sleep(BATCH_DELAY).await;
        }
    }

    /// Waits until a peer has newer rows or [`FOLLOW_INTERVAL`] has passed, and reads the rows of
    /// such a peer.
    async fn poll_peer(&mut self) {
        let state = self.driver.topic(self.topic);
        // A peer may have been found to have more during the last read.
        if state.ahead_peer.get().is_none() {
            tokio::select! {
                () = state.outdated.notified() => {}
                () = sleep(FOLLOW_INTERVAL) => {}
            }
        }
        if let Some((after, reply)) = self.read_peer().await {
            self.apply_reply(reply, after);
        }
    }

    /// Reads the rows of a peer that has newer ones. Also returns the position after which they were
    /// asked for.
    async fn read_peer(&self) -> Option<(StorePosition, RowsReply)> {
        let state = self.driver.topic(self.topic);
        let address = state.ahead_peer.take()?;
        let after = state.cache.borrow().complete();
        match self.peers.rows(address, RowsRequest { topic: self.topic, after }).await {
            Ok(reply) => Some((after, reply)),
            Err(err) => {
                log::warn!(
                    event = "peer_rows_lost",
                    topic = self.topic.as_str(),
                    address:%;
                    "rows could not be read from a peer: {err}"
                );
                None
            }
        }
    }

    /// Applies the rows of a peer that has more than this instance had at `after`.
    fn apply_reply(&mut self, reply: RowsReply, after: StorePosition) {
        if reply.newest >= after {
            self.driver.observe_era(reply.newest.era);
            self.known = self.known.max(reply.newest);
            self.apply_rows(reply.rows, reply.newest, reply.whole, Origin::Peer);
        }
        self.apply_retained(&reply.retained);
    }

    /// Asks a peer with a newer configuration for rows that the store has lost.
    async fn read_retained(&self) {
        if let Some((_, reply)) = self.read_peer().await {
            self.apply_retained(&reply.retained);
        }
    }

    /// Installs a configuration that the store has lost. Other lost rows are left to their writers.
    fn apply_retained(&self, rows: &[StoreRow]) {
        for notice in self.source.decode(self.topic, rows) {
            if let Notice::Routing(routing) = notice {
                install_routing(&self.driver, *routing);
            }
        }
    }

    /// Updates the local copy of the rows. Returns those to apply, and whether they are all rows of
    /// an older copy of the store. Rows of the configuration that are missing in a whole set are
    /// returned as deleted ones.
    fn update_cache(
        &self,
        mut rows: Vec<StoreRow>,
        position: StorePosition,
        whole: bool,
    ) -> (Vec<StoreRow>, bool) {
        let mut cache = self.driver.topic(self.topic).cache.borrow_mut();
        let known = cache.newest();
        if !whole {
            return (cache.apply_changes(rows, position), false);
        }
        let set_back = known != StorePosition::default() && position.era > known.era;
        if set_back && self.topic == Topic::Configuration {
            cache.replace_and_retain(&rows, position);
            return (rows, true);
        }
        let missing = cache.replace(&rows, position);
        if self.topic == Topic::Configuration {
            rows.extend(missing);
        }
        (rows, set_back)
    }

    /// Applies changed rows, or all rows if `whole`, that are complete up to `position` and were read
    /// from `origin`.
    fn apply_rows(
        &self,
        rows: Vec<StoreRow>,
        position: StorePosition,
        whole: bool,
        origin: Origin,
    ) {
        let (rows, set_back) = self.update_cache(rows, position, whole);
        // Rows of a peer don't tell which orders to evacuate are gone; its updates do.
        let read = match origin {
            Origin::Store => position,
            Origin::Peer => StorePosition::default(),
        };
        let era = position.era;
        let newest = self.driver.topic(self.topic).cache.borrow().newest().version;
        let mut changes = Vec::new();
        let mut zones = Vec::new();
        for notice in self.source.decode(self.topic, &rows) {
            match notice {
                Notice::Routing(routing) => install_routing(&self.driver, *routing),
                // The copy may hold the order before the latest one, which must not run again.
                Notice::Order(_) if set_back => {}
                Notice::Order(order) => {
                    if self.driver.with_gateway(|gateway| !gateway.knows_order(&order)) {
                        journal::rollout_ordered(&order, origin.as_str());
                        self.driver.handle(Event::RolloutOrdered(order));
                    }
                }
                Notice::Zone { zone, evacuated, version } => {
                    let position = StorePosition { era, version };
                    zones.push(ZoneEntry { zone, evacuated, position });
                }
                Notice::Target(change) => {
                    log_change(&change, newest);
                    changes.push(change);
                }
                Notice::Damaged { key, fault } => {
                    log::warn!(
                        event = "entry_damaged",
                        topic = self.topic.as_str(),
                        entry = key.as_str(),
                        fault = fault.as_str();
                        "entry can't be decoded"
                    );
                }
            }
        }
        if self.topic == Topic::Configuration {
            let report = ZoneReport { read, zones };
            let event = if whole { Event::ZonesRead } else { Event::ZonesChanged };
            self.driver.handle(event(report));
        }
        if self.topic == Topic::Targets && set_back {
            self.driver.handle(Event::ListedFromCopy(changes));
        } else if self.topic == Topic::Targets && whole {
            self.driver.handle(Event::ListedAll(changes));
        } else if !changes.is_empty() {
            self.driver.handle(Event::Listed(changes));
        }
    }
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
    log::info!(event = "configured", revision = revision.0, routes; "configuration installed");
}

fn log_change(change: &TargetChange, version: u64) {
    match change {
        TargetChange::Listed(listed) => log::info!(
            event = "target_listed",
            target = listed.id.as_str(),
            service = listed.service.as_str(),
            address:% = listed.address,
            incarnation = listed.incarnation.0,
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

/// Writes this instance's announcement to the store, with retries until it succeeds, and again each
/// time the store comes back from an older copy.
pub async fn announce(driver: Rc<Driver>, source: Rc<dyn Source>, me: Announcement) {
    let mut era = driver.era_changes();
    loop {
        let mut failures = 0;
        while let Err(err) = source.announce(&me).await {
            failures += 1;
            if failures == 1 {
                log::warn!(
                    event = "announce_failed",
                    cause:% = err;
                    "announcement could not be written"
                );
            }
            sleep(retry_pause(failures)).await;
        }
        if era.changed().await.is_err() {
            return;
        }
        sleep(retry_pause(0)).await;
    }
}

/// Reads the announcements of the other instances periodically. [`Peers`] calls those that are new,
/// so that this instance is discovered even while its own announcement can't be written.
pub async fn instances(driver: Rc<Driver>, peers: Rc<Peers>, source: Rc<dyn Source>) {
    let mut reads = 0;
    loop {
        match source.instances().await {
            Ok(announced) => {
                peers.add_announced(&announced);
                reads += 1;
                let pause = if reads < EARLY_READS {
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

/// Saves the usage of account limits periodically while an account is near its limit.
pub async fn save_usage(driver: Rc<Driver>, source: Rc<dyn Source>) {
    loop {
        sleep(SAVE_INTERVAL).await;
        let usage = driver.with_gateway_mut(|gateway| gateway.usage_to_save(driver.now()));
        if usage.is_empty() {
            continue;
        }
        if let Err(err) = source.save_usage(&usage).await {
            log::warn!(
                event = "use_not_saved",
                cause:% = err;
                "usage of account limits could not be saved"
            );
            sleep(RETRY_PAUSE.1).await;
        }
    }
}

/// Reads the usage of account limits from before this instance's start. Until it is known, the
/// gateway assumes a higher usage.
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
            log::info!(
                event = "use_restored",
                accounts,
                age_ms;
                "usage of account limits restored"
            );
        }
        Err(err) => {
            log::warn!(
                event = "use_not_restored",
                cause:% = err;
                "usage of account limits could not be restored"
            );
        }
    }
}

/// Evaluates rollouts periodically.
pub async fn evaluate_rollouts(driver: Rc<Driver>) {
    loop {
        sleep(ROLLOUT_INTERVAL).await;
        let now = driver.now();
        let evaluated = driver.with_gateway_mut(|gateway| gateway.evaluate_rollouts(now));
        for status in driver.with_gateway_mut(|gateway| gateway.due_rollout_statuses(now)) {
            journal::rollout_progress(&status);
        }
        for rolled_back in evaluated {
            log::warn!(
                event = "move_taken_back",
                service = rolled_back.service.as_str(),
                version = rolled_back.version.as_str(),
                new_requests = rolled_back.new.requests,
                new_failures = rolled_back.new.failures,
                old_requests = rolled_back.old.requests,
                old_failures = rolled_back.old.failures;
                "new version rolled back"
            );
        }
    }
}

/// Records the state of rollouts in the store.
pub async fn record_rollouts(driver: Rc<Driver>, source: Rc<dyn Source>) {
    let mut failures = 0;
    loop {
        sleep(if failures > 0 { retry_pause(failures) } else { ROLLOUT_INTERVAL }).await;
        let now = driver.now();
        let records = driver.with_gateway_mut(|gateway| gateway.rollouts_to_record(now));
        for conclusion in driver.with_gateway_mut(Gateway::take_rollout_conclusions) {
            journal::rollout_concluded(&conclusion);
        }
        for record in records {
            match source.record_rollout(&record).await {
                Ok(known) => {
                    failures = 0;
                    let (service, state) = (known.service.as_str(), known.state);
                    log::info!(event = "move_recorded", service, state:?; "rollout state recorded");
                    let now = driver.now();
                    driver.with_gateway_mut(|gateway| gateway.rollout_recorded(&known, now));
                }
                Err(err) => {
                    failures += 1;
                    log::warn!(
                        event = "move_not_recorded",
                        cause:% = err;
                        "rollout state could not be recorded"
                    );
                }
            }
        }
    }
}
