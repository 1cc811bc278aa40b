//! What the cases about rollouts share: orders, the status that the operator reads, and traffic.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::{Gateway, Run, ZONES, wait_until};
use crate::engine::{Engine, SERVICE};
use crate::http;
use crate::json::Json;
use crate::store::Store;

/// Interval between requests at one instance.
const INTERVAL: Duration = Duration::from_millis(25);

/// Time that an engine works on a request.
const WORK: Duration = Duration::from_millis(20);

/// Starts an engine of `version` in each zone; `name` is part of their ids.
pub fn start_engines(store: &Store, name: &str, version: &str) -> Vec<Engine> {
    let start =
        |zone: &&str| Engine::start_as(format!("i-{name}-{zone}"), store, zone, version, 6, WORK);
    ZONES.iter().map(start).collect()
}

/// Stops engines at once.
pub fn stop_engines(engines: Option<Vec<Engine>>, store: &Store) {
    engines.into_iter().flatten().for_each(|engine| engine.stop(store));
}

/// Orders a rollout, which the store acknowledges at once.
pub fn order(run: &Run, store: &Store, version: &str, duration: f64) {
    let order = Json::object([
        ("service", SERVICE.into()),
        ("target", version.into()),
        ("durationS", duration.into()),
    ]);
    store.put("op", "rollout/plain", &order);
    run.note(&format!("the store acknowledges the order to move to {version} in {duration} s"));
}

/// Watches the status of the rollout as the operator does.
pub struct Operator<'a> {
    run: &'a Run,
    store: &'a Store,
    last: Option<Json>,
}

impl<'a> Operator<'a> {
    pub fn new(run: &'a Run, store: &'a Store) -> Self {
        Self { run, store, last: None }
    }

    /// Reads the status, and notes a change.
    pub fn look(&mut self) {
        let status = self.store.row("status", "rollout/plain");
        if status != self.last {
            let text = status.as_ref().map_or("none".to_owned(), Json::to_string);
            self.run.note(&format!("status/rollout/plain is {text}"));
            self.last = status;
        }
    }

    /// Reads the status until it tells `state` of `version` or `end` has come; returns whether it does.
    pub fn wait_for(&mut self, version: &str, state: &str, end: Instant) -> bool {
        loop {
            self.look();
            if self.is_at(version, state) || Instant::now() >= end {
                return self.is_at(version, state);
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn is_at(&self, version: &str, state: &str) -> bool {
        let last = self.last.as_ref();
        let is_at =
            |last: &Json| last.get("target").text() == version && last.get("state").text() == state;
        last.is_some_and(is_at)
    }
}

/// Callers that send requests to all instances until this is dropped.
pub struct Traffic(Arc<AtomicBool>);

impl Traffic {
    pub fn start(gateways: &[Gateway]) -> Self {
        let end = Arc::new(AtomicBool::new(false));
        for gateway in gateways {
            let (front, end) = (gateway.front, Arc::clone(&end));
            thread::spawn(move || call(front, &end));
        }
        Self(end)
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

fn call(front: SocketAddr, end: &AtomicBool) {
    let (mut next, mut number) = (Instant::now(), 0);
    while !end.load(Ordering::Relaxed) {
        number += 1;
        thread::spawn(move || {
            let id = format!("{front}-{number}");
            let headers = [
                ("Request-Id", id.as_str()),
                ("Authorization", "Token key"),
                ("Deadline-Ms", "1500"),
            ];
            http::get(front, "/read/x", &headers)
        });
        next += INTERVAL;
        wait_until(next);
    }
}
