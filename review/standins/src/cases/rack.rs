//! All engines of a small service crash together and come back; a final fault follows.

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

/// How long the engines are down.
const DOWN_TIME: Duration = Duration::from_millis(4_500);

/// Three heartbeats, after which an engine's entry is removed.
const SILENCE: Duration = Duration::from_millis(3_600);

/// A request.
#[derive(Debug, Clone)]
struct Sent {
    at: Duration,
    status: u16,
}

fn start_engines(stage: &Stage, generation: u32) -> Vec<Arc<Engine>> {
    let engine = |number| {
        let options = EngineOptions {
            id: format!("e{generation}{number}"),
            service: "core".to_owned(),
            zone: "z1".to_owned(),
            slots: 6,
            events: 0,
            first: Duration::from_millis(200),
            delay: Duration::ZERO,
        };
        Engine::start(options, &stage.store, &stage.record)
    };
    (1..=3).map(engine).collect()
}

pub(super) fn play(stage: &Stage) -> Result<Verdict, String> {
    let record = &stage.record;
    let engines = start_engines(stage, 1);
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
    let wave = |size: usize| {
        for index in 0..size {
            let (record, sent) = (Arc::clone(record), Arc::clone(&sent));
            let (count, front) = (Arc::clone(&count), fronts[index % 2]);
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
        wave(6);
        thread::sleep(Duration::from_secs(2));
    }
    record.note("nobody asks for 12 s");
    thread::sleep(Duration::from_secs(12));
    wave(6);
    thread::sleep(Duration::from_millis(60));
    if stage.has_trouble {
        for engine in &engines {
            engine.crash();
        }
        record.note("the three engines of the service crash");
        thread::sleep(SILENCE);
        for engine in &engines {
            stage.store.remove("servers", &engine.options.id);
        }
        thread::sleep(DOWN_TIME - SILENCE);
        start_engines(stage, 2);
        record.note("the engines are back");
    }
    for _ in 0..3 {
        thread::sleep(Duration::from_secs(2));
        wave(2);
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
        wave(2);
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
