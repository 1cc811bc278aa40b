//! Passes events to the gateway and delivers its actions to the requests that wait for them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use sesamewind_gateway::{Action, Event, Gateway, Step, Ticket};
use sesamewind_protocol::relay::{RelayUpdate, Topic};
use sesamewind_protocol::{InstanceId, Time};
use sesamewind_runtime::clock::Clock;
use tokio::sync::watch::{Receiver, Sender};
use tokio::sync::{Notify, oneshot};
use tokio::time::error::Elapsed;
use tokio::time::{Instant, timeout};

use crate::activity::Activity;
use crate::body::BodyMemory;
use crate::exchange::Standing;
use crate::journal::{self, Progress};
use crate::memory::AnswerMemory;
use crate::metrics::Metrics;
use crate::passing::PeerLink;
use crate::pool::Pool;
use crate::row_cache::RowCache;
use crate::watchdog::Watchdog;
use crate::wire_format::WireFormat;

/// Local state of one topic of the store.
#[derive(Debug, Default)]
pub struct TopicState {
    /// Local copy of the topic's rows.
    pub cache: RefCell<RowCache>,
    /// Time of the store's last answer for this topic.
    pub checked: Cell<Time>,
    /// Peer that has newer rows than this instance.
    pub ahead_peer: Cell<Option<SocketAddr>>,
    /// Notified when a peer has newer rows than this instance.
    pub outdated: Notify,
}

/// State shared by all tasks of an instance.
#[derive(Debug)]
pub struct Driver {
    gateway: RefCell<Gateway>,
    waiters: RefCell<HashMap<Ticket, oneshot::Sender<Step>>>,
    next_ticket: Cell<Ticket>,
    clock: Clock,
    origin: Instant,
    /// Detector of times in which the instance did not run.
    pub watchdog: Watchdog,
    /// Memory for answers of targets.
    pub memory: AnswerMemory,
    /// Memory for the bodies of callers' requests.
    pub body_memory: BodyMemory,
    /// Idle connections to targets.
    pub pool: Pool,
    /// Connections to peers for requests that are passed on.
    pub peer_link: PeerLink,
    /// Format of requests from callers and answers from targets.
    pub wire_format: Rc<dyn WireFormat>,
    /// Metrics of the instance.
    pub metrics: Rc<Metrics>,
    /// Whether the process exits, which ends all requests that are still open.
    pub exiting: Cell<bool>,
    configuration: TopicState,
    targets: TopicState,
    /// Latest known era of the store.
    era: Sender<Option<u64>>,
}

impl Driver {
    /// Creates a driver for `gateway`.
    pub fn new(
        gateway: Gateway,
        clock: Clock,
        wire_format: Rc<dyn WireFormat>,
        peer_link: PeerLink,
    ) -> Self {
        Self {
            gateway: RefCell::new(gateway),
            waiters: RefCell::default(),
            next_ticket: Cell::new(0),
            clock,
            origin: Instant::now(),
            watchdog: Watchdog::new(Instant::now()),
            memory: AnswerMemory::default(),
            body_memory: BodyMemory::of_machine(),
            pool: Pool::default(),
            peer_link,
            wire_format,
            metrics: Rc::new(Metrics::new()),
            exiting: Cell::new(false),
            configuration: TopicState::default(),
            targets: TopicState::default(),
            era: Sender::new(None),
        }
    }

    /// Returns the local state of a topic.
    pub fn topic(&self, topic: Topic) -> &TopicState {
        match topic {
            Topic::Configuration => &self.configuration,
            Topic::Targets => &self.targets,
        }
    }

    /// Records the era of the store's answers. If it is a later one, the store has lost some of what
    /// was written, and the gateway and [`Self::era_changes`] are notified.
    pub fn observe_era(&self, era: u64) {
        let known = *self.era.borrow();
        if known.is_some_and(|known| era <= known) {
            return;
        }
        self.era.send_if_modified(|latest| latest.replace(era).is_some());
        if let Some(known) = known {
            log::warn!(event = "store_set_back", era, known; "store came back from an older copy");
        }
        self.metrics.store_era(era);
        self.handle(Event::StoreEra(era));
    }

    /// Returns a receiver that is notified when the store comes back from an older copy.
    pub fn era_changes(&self) -> Receiver<Option<u64>> {
        self.era.subscribe()
    }

    /// Returns the time since the start of the instance.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the time that a target took from `from`, for what is read now.
    pub fn elapsed(&self, from: Time) -> Duration {
        self.observe_turn(Instant::now());
        self.with_gateway(|gateway| gateway.elapsed(from, self.now()))
    }

    /// Converts `time` to the runtime's clock.
    pub fn instant(&self, time: Time) -> Instant {
        self.origin + time.since(Time::ZERO)
    }

    /// Records that the event loop runs at `now`, and passes a stall to the gateway.
    pub fn observe_turn(&self, now: Instant) {
        let revision = self.with_gateway(Gateway::revision);
        if let Some(length) = self.watchdog.turn(now, revision, &self.metrics) {
            self.apply(Event::Stalled(length));
        }
    }

    /// Returns the time that the instance has run since its start, without stalls.
    pub fn run_time(&self) -> Duration {
        let now = Instant::now();
        self.observe_turn(now);
        now.duration_since(self.origin).saturating_sub(self.watchdog.stalled())
    }

    /// Waits for `work`, for at most `limit` of the time that the instance runs.
    ///
    /// # Errors
    ///
    /// Returns [`Elapsed`] if `work` is not done by then.
    pub async fn timeout<F: Future>(&self, limit: Duration, work: F) -> Result<F::Output, Elapsed> {
        let mut work = pin!(work);
        let end = self.run_time() + limit;
        let mut left = limit;
        loop {
            let result = timeout(left, work.as_mut()).await;
            left = end.saturating_sub(self.run_time());
            if result.is_ok() || left.is_zero() {
                return result;
            }
        }
    }

    /// Logs the changes of prompt parts, and counts those whose requests are refused.
    pub fn report_parts(&self) {
        let changes = self.with_gateway_mut(Gateway::take_part_changes);
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            journal::part_changed(change);
        }
        self.metrics.held_parts(self.with_gateway(Gateway::held_parts));
    }

    /// Logs the changes of targets' request limits, and counts the limited targets.
    pub fn report_limits(&self) {
        self.metrics.limited_targets(self.with_gateway(Gateway::limited_targets));
        for change in self.with_gateway_mut(Gateway::take_limit_changes) {
            journal::limit_changed(&change);
        }
        self.metrics.cold_targets(self.with_gateway(Gateway::cold_targets));
        for change in self.with_gateway_mut(Gateway::take_cold_changes) {
            journal::cold_changed(&change);
        }
        self.metrics.brittle(&self.with_gateway(Gateway::brittle_totals));
        for change in self.with_gateway_mut(Gateway::take_brittle_changes) {
            journal::brittle_changed(&change);
        }
    }

    /// Logs and counts the first attempts and retries of each service since the last call.
    pub fn report_retries(&self) {
        let now = self.now();
        let reports = self.with_gateway_mut(|gateway| gateway.take_retry_reports(now));
        for (service, report) in &reports {
            journal::retries_counted(service, report, self.run_time());
            self.metrics.retries(service, &report.counts);
        }
    }

    /// Logs the changes of evacuated availability zones, and counts the requests at their targets.
    pub fn report_zones(&self) {
        for change in self.with_gateway_mut(|gateway| gateway.take_zone_changes(self.now())) {
            journal::zone_changed(&change);
        }
        self.with_gateway(|gateway| {
            for (zone, evacuated, running) in gateway.evacuated_zones() {
                self.metrics.evacuated_zone(zone, evacuated, running);
            }
        });
    }

    /// Returns an unused ticket for a new request.
    pub fn new_ticket(&self) -> Ticket {
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        ticket
    }

    /// Calls `read` with the gateway.
    pub fn with_gateway<T>(&self, read: impl FnOnce(&Gateway) -> T) -> T {
        read(&self.gateway.borrow())
    }

    /// Calls `change` with the gateway, for changes that are not events.
    pub fn with_gateway_mut<T>(&self, change: impl FnOnce(&mut Gateway) -> T) -> T {
        change(&mut self.gateway.borrow_mut())
    }

    /// Returns what this instance has of the store.
    pub fn standing(&self) -> Standing {
        Standing {
            revision: self.with_gateway(Gateway::revision),
            configuration: self.configuration.cache.borrow().complete(),
            targets: self.targets.cache.borrow().complete(),
        }
    }

    /// Returns this instance's state as sent to the peer `to`.
    pub fn peer_update(&self, to: &InstanceId) -> RelayUpdate {
        let newest = |topic: &TopicState| topic.cache.borrow().newest();
        let checked = self.configuration.checked.get().min(self.targets.checked.get());
        let listed = newest(&self.targets);
        let update = self.gateway.borrow_mut().peer_update(to, listed, checked, self.now());
        RelayUpdate { config_position: newest(&self.configuration), ..update }
    }

    /// Passes an event to the gateway and delivers the resulting actions. A stall before the event is
    /// passed on first.
    pub fn handle(&self, event: Event<'_>) {
        // The turn after a new configuration tells whether the stall is due to it.
        if !matches!(event, Event::Configured(_)) {
            self.observe_turn(Instant::now());
        }
        self.apply(event);
    }

    fn apply(&self, event: Event<'_>) {
        let now = self.now();
        let actions = self.gateway.borrow_mut().handle(event, now);
        for Action { ticket, step } in actions {
            // There is no waiter if the caller has disconnected.
            if let Some(waiter) = self.waiters.borrow_mut().remove(&ticket) {
                let _ = waiter.send(step);
            }
        }
    }

    /// Passes an event to the gateway and returns a receiver for the next step of the request
    /// `ticket`.
    pub fn next_step(&self, ticket: Ticket, event: Event<'_>) -> oneshot::Receiver<Step> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, sender);
        self.handle(event);
        receiver
    }

    /// Records that a target has sent a part of an answer.
    pub fn target_heard(&self) {
        let now = self.now();
        self.with_gateway_mut(|gateway| gateway.target_heard(now));
    }

    /// Notifies the gateway that the caller of `ticket` has disconnected.
    pub fn caller_left(&self, ticket: Ticket) {
        self.waiters.borrow_mut().remove(&ticket);
        self.handle(Event::CallerLeft(ticket));
    }
}

/// Notifies the gateway that the caller has disconnected if dropped before the request's end, and
/// logs how the request ended.
#[derive(Debug)]
pub struct CallerGuard {
    driver: Rc<Driver>,
    /// Identity of the request, for the log.
    request: String,
    arrived: Time,
    /// Connection of the caller.
    connection: Rc<Activity>,
    /// Handle of the request once it is in the gateway.
    ticket: Option<Ticket>,
    events: u64,
    bytes: u64,
    armed: bool,
}

impl CallerGuard {
    /// Creates a guard for a request whose head arrived at `arrived` on `connection`; `request` is
    /// its identity in the log.
    pub fn new(driver: Rc<Driver>, request: &str, arrived: Time, connection: Rc<Activity>) -> Self {
        let request = request.to_owned();
        Self {
            driver,
            request,
            arrived,
            connection,
            ticket: None,
            events: 0,
            bytes: 0,
            armed: true,
        }
    }

    /// Records that the request enters the gateway with this handle.
    pub fn enter_gateway(&mut self, ticket: Ticket) {
        self.ticket = Some(ticket);
    }

    /// Records that `bytes` more of a stream, which has `events` events so far, are passed to the
    /// caller's connection.
    pub fn forwarded(&mut self, bytes: usize, events: u64) {
        self.bytes += bytes as u64;
        self.events = events;
    }

    /// Marks the request as ended, so that dropping the guard has no effect.
    pub fn disarm(&mut self) {
        self.armed = false;
    }

    fn progress(&self) -> Progress {
        let stage = match self.ticket {
            None => "body",
            Some(_) if self.bytes == 0 => "gateway",
            Some(_) => "answer",
        };
        let ran = self.driver.now().since(self.arrived);
        Progress {
            stage,
            ran,
            events: self.events,
            bytes: self.bytes,
            written: self.connection.written(),
            caller_side: self.connection.caller_side(),
        }
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let progress = self.progress();
        if std::thread::panicking() {
            journal::panicked(&self.request, progress);
        } else if self.driver.exiting.get() {
            journal::cut(&self.request, progress);
        } else {
            journal::caller_left(&self.request, progress);
        }
        if let Some(ticket) = self.ticket {
            self.driver.caller_left(ticket);
        }
    }
}
