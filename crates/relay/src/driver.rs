//! Hands events to the gateway, and its actions to the requests that wait for them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use sesamewind_gateway::{Action, Event, Gateway, Step, Ticket};
use sesamewind_protocol::relay::{RelayUpdate, Topic};
use sesamewind_protocol::{InstanceId, Time};
use sesamewind_runtime::clock::Clock;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::row_cache::RowCache;
use crate::wire_format::WireFormat;

/// What an instance has of one topic of the store.
#[derive(Debug, Default)]
pub struct TopicState {
    /// The rows.
    pub cache: RefCell<RowCache>,
    /// When the store was last heard of them.
    pub checked: Cell<Time>,
    /// Peer that knows more.
    pub ahead_peer: Cell<Option<SocketAddr>>,
}

/// What all tasks of an instance share.
#[derive(Debug)]
pub struct Driver {
    gateway: RefCell<Gateway>,
    waiters: RefCell<HashMap<Ticket, oneshot::Sender<Step>>>,
    next_ticket: Cell<Ticket>,
    clock: Clock,
    origin: Instant,
    /// Connections to targets.
    pub pool: Pool,
    /// What callers and targets speak.
    pub wire_format: Rc<dyn WireFormat>,
    /// Metrics.
    pub metrics: Metrics,
    configuration: TopicState,
    targets: TopicState,
    /// Set off when a peer knows something newer than this instance.
    pub outdated: Notify,
}

impl Driver {
    /// A driver of `gateway`.
    pub fn new(gateway: Gateway, clock: Clock, wire_format: Rc<dyn WireFormat>) -> Self {
        Self {
            gateway: RefCell::new(gateway),
            waiters: RefCell::default(),
            next_ticket: Cell::new(0),
            clock,
            origin: Instant::now(),
            pool: Pool::default(),
            wire_format,
            metrics: Metrics::new(),
            configuration: TopicState::default(),
            targets: TopicState::default(),
            outdated: Notify::new(),
        }
    }

    /// What the instance has of a topic.
    pub fn topic(&self, topic: Topic) -> &TopicState {
        match topic {
            Topic::Configuration => &self.configuration,
            Topic::Targets => &self.targets,
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// The runtime's reading at `time`.
    pub fn instant(&self, time: Time) -> Instant {
        self.origin + time.since(Time::ZERO)
    }

    /// A name for a request.
    pub fn new_ticket(&self) -> Ticket {
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        ticket
    }

    /// Reads the gateway's state.
    pub fn with_gateway<T>(&self, read: impl FnOnce(&Gateway) -> T) -> T {
        read(&self.gateway.borrow())
    }

    /// Changes the gateway's state beside its events.
    pub fn with_gateway_mut<T>(&self, change: impl FnOnce(&mut Gateway) -> T) -> T {
        change(&mut self.gateway.borrow_mut())
    }

    /// This instance's state for the peer `to`.
    pub fn peer_update(&self, to: &InstanceId) -> RelayUpdate {
        let listed = self.targets.cache.borrow().newest();
        let checked = self.configuration.checked.get().min(self.targets.checked.get());
        self.gateway.borrow_mut().peer_update(to, listed, checked, self.now())
    }

    /// Hands an event to the gateway and passes its actions on.
    pub fn handle(&self, event: Event<'_>) {
        let now = self.now();
        let actions = self.gateway.borrow_mut().handle(event, now);
        for Action { ticket, step } in actions {
            // A request whose caller left is not waited for.
            if let Some(waiter) = self.waiters.borrow_mut().remove(&ticket) {
                let _ = waiter.send(step);
            }
        }
    }

    /// Hands an event to the gateway and returns the next step of the request `ticket`.
    pub fn next_step(&self, ticket: Ticket, event: Event<'_>) -> oneshot::Receiver<Step> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, sender);
        self.handle(event);
        receiver
    }

    /// Tells the gateway that the caller of `ticket` left.
    pub fn caller_left(&self, ticket: Ticket) {
        self.waiters.borrow_mut().remove(&ticket);
        self.handle(Event::CallerLeft(ticket));
    }
}

/// Tells the gateway that the caller left if it is dropped before the request's end.
#[derive(Debug)]
pub struct CallerGuard {
    driver: Rc<Driver>,
    ticket: Ticket,
    /// Identity of the request, for the log.
    request: String,
    armed: bool,
}

impl CallerGuard {
    /// The guard of the caller of `ticket`, whose request is `request`.
    pub fn new(driver: Rc<Driver>, ticket: Ticket, request: &str) -> Self {
        Self { driver, ticket, request: request.to_owned(), armed: true }
    }

    /// The request has ended.
    pub fn disarm(&mut self) {
        self.armed = false;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if self.armed {
            log::info!(event = "caller_left", request = self.request.as_str(); "caller left");
            self.driver.caller_left(self.ticket);
        }
    }
}
