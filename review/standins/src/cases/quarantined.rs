//! One instance loses its paths to the engines for two seconds; a final fault follows.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::{Stage, Verdict};
use crate::client::{self, Request};
use crate::configuration::{self, Route};
use crate::engine::{Engine, EngineOptions};
use crate::gateway::KILL;

/// `recoveryS`.
const RECOVERY: Duration = Duration::from_secs(12);

/// How long the instance is partitioned from the engines.
const PARTITION: Duration = Duration::from_secs(2);

/// A request.
#[derive(Debug, Clone)]
struct Sent {
    at: Duration,
    status: u16,
}

pub(super) fn play(stage: &Stage) -> Result<Verdict, String> {
    let record = &stage.record;
    let mut links = Vec::new();
    for number in 1..=3 {
        let options = EngineOptions {
            id: format!("e{number}"),
            service: "core".to_owned(),
            zone: "z1".to_owned(),
            slots: 6,
            events: 0,
            first: Duration::from_millis(200),
            delay: Duration::ZERO,
        };
        links.push(Engine::start_behind_proxy(options, &stage.store, record).1);
    }
    let route = Route {
        name: "roster",
        kind: "idempotent",
        service: "core",
        timeout_ms: 3_000,
        attempts: 2,
    };
    let text =
        |version| configuration::text(version, std::slice::from_ref(&route), &["core"], &["k1"]);
    stage.store.put("op", "config", &text(1));
    let mut gateways = [stage.gateway("front-1"), stage.gateway("front-2")];
    for gateway in &mut gateways {
        gateway.start()?;
    }
    thread::sleep(Duration::from_secs(4));
    let fronts = [gateways[0].front, gateways[1].front];
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let count = Arc::new(AtomicU32::new(0));
    // Sends lookups of the same roster at once, without waiting for their answers.
    let wave = |size: usize, machine: usize| {
        for _ in 0..size {
            let (record, sent) = (Arc::clone(record), Arc::clone(&sent));
            let (count, front) = (Arc::clone(&count), fronts[machine]);
            thread::spawn(move || {
                let id = format!("lookup-{}", count.fetch_add(1, Ordering::SeqCst));
                let request = Request {
                    id: &id,
                    target: "GET /roster/today",
                    key: "k1",
                    deadline: Duration::from_secs(3),
                    headers: "",
                    body: b"",
                };
                let at = record.now();
                let status = client::send(front, &request, &record).status();
                sent.lock().expect("no panic").push(Sent { at, status });
            });
        }
    };
    for _ in 0..6 {
        wave(3, 0);
        wave(3, 1);
        thread::sleep(Duration::from_secs(2));
    }
    record.note("nobody asks for 12 s");
    thread::sleep(Duration::from_secs(12));
    record.note("six lookups are sent to front-1");
    wave(6, 0);
    thread::sleep(Duration::from_millis(60));
    if stage.has_trouble {
        links.iter().for_each(|link| link.reset(gateways[0].pid()));
        record.note("front-1 is partitioned from the engines");
    }
    thread::sleep(PARTITION);
    links.iter().for_each(|link| link.heal());
    record.note("the partition heals, if there was one");
    for _ in 0..3 {
        thread::sleep(Duration::from_secs(2));
        wave(1, 0);
        wave(1, 1);
    }
    thread::sleep(Duration::from_secs(1));
    stage.store.put("op", "config", &text(2));
    let killed = record.now();
    for gateway in &mut gateways {
        gateway.signal(KILL);
    }
    record.note("a configuration is acknowledged, and all processes are killed");
    thread::sleep(Duration::from_secs(1));
    for gateway in &mut gateways {
        gateway.set("bootstrap", "false");
        gateway.start()?;
    }
    let back = record.now();
    record.note("the machines are back");
    while record.now() < back + Duration::from_secs(40) {
        wave(1, 0);
        wave(1, 1);
        thread::sleep(Duration::from_secs(1));
    }
    thread::sleep(Duration::from_secs(3));
    let sent = sent.lock().map_err(|_| "a client panicked")?.clone();
    let share = |from: Duration, to: Duration| {
        let within: Vec<_> = sent.iter().filter(|one| from <= one.at && one.at < to).collect();
        let served = within.iter().filter(|one| one.status == 200).count();
        (served, within.len())
    };
    let (served, all) = share(Duration::ZERO, killed);
    record.note(&format!("before the final fault, {served} of {all} requests are served"));
    if served * 4 < all {
        return Err("too few requests were served before the final fault".to_owned());
    }
    let (served, all) = share(back + RECOVERY, Duration::MAX);
    record.note(&format!("later than 12 s after the machines are back, {served} of {all}"));
    if served * 4 < all {
        return Ok(Verdict::Broken(format!("{served} of {all} requests are served")));
    }
    Ok(Verdict::Held)
}
