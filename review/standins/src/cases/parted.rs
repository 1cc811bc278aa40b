//! Two regions are partitioned from each other for half a minute while a tenant is hot in both.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::{Stage, Verdict};
use crate::client::{self, Request};
use crate::configuration::{self, Route};
use crate::engine::{Engine, EngineOptions};
use crate::record::Record;

/// `ratePerS` and `burst` of the tenant.
const RATE: u32 = 36_000;

/// `quotaWindowS`, and what may run in a window: see the rule QUOTA.
const WINDOW: Duration = Duration::from_secs(8);
const LIMIT: f64 = (36_000.0 * 8.0 + 36_000.0) * 1.1 + 140_000.0;

/// Tokens of a request.
const TOKENS: u32 = 7_010;

/// Clients in each zone, and their pause between two requests.
const CLIENTS: usize = 6;
const PAUSE: Duration = Duration::from_millis(300);

/// Length of the partition.
const PARTITION: Duration = Duration::from_secs(32);

pub(super) fn play(stage: &Stage) -> Result<Verdict, String> {
    let record = &stage.record;
    for number in 1..=6 {
        let options = EngineOptions {
            id: format!("e{number}"),
            service: "model".to_owned(),
            zone: format!("z{}", 1 + number % 2),
            slots: 16,
            events: 3,
            first: Duration::from_millis(50),
            delay: Duration::from_millis(5),
        };
        Engine::start(options, &stage.store, record);
    }
    let route = Route {
        name: "talk",
        kind: "streaming",
        service: "model",
        timeout_ms: 12_000,
        attempts: 1,
    };
    let text = configuration::text_with_quota(1, &[route], &["model"], &["k1"], RATE);
    stage.store.put("op", "config", &text);
    let mut gateways = [stage.gateway("front-1"), stage.gateway("front-2")];
    let mut links = Vec::new();
    for (gateway, zone) in gateways.iter_mut().zip(["z1", "z2"]) {
        links.push(gateway.set_peer_proxy());
        gateway.set("zone", zone);
        gateway.set("zones", "z1=r1,z2=r2");
        gateway.start()?;
    }
    thread::sleep(Duration::from_secs(5));
    let stopping = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(String, Duration)>>> = Arc::default();
    let mut clients = Vec::new();
    for (zone, gateway) in gateways.iter().enumerate() {
        for client in 0..CLIENTS {
            let (record, sent) = (Arc::clone(record), Arc::clone(&sent));
            let (stopping, front) = (Arc::clone(&stopping), gateway.front);
            let name = format!("z{}c{client}", zone + 1);
            clients
                .push(thread::spawn(move || run_client(&name, front, &record, &sent, &stopping)));
            thread::sleep(Duration::from_millis(23));
        }
    }
    thread::sleep(Duration::from_secs(10));
    if stage.has_trouble {
        for link in &links {
            link.silence();
        }
        record.note("the regions are partitioned from each other");
    }
    thread::sleep(PARTITION);
    for link in &links {
        link.heal();
    }
    record.note("the partition heals, if there was one");
    thread::sleep(Duration::from_secs(5));
    stopping.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client panicked")?;
    }
    let sent = sent.lock().map_err(|_| "a client panicked")?.clone();
    Ok(judge(record, &sent))
}

fn run_client(
    name: &str,
    front: SocketAddr,
    record: &Record,
    sent: &Mutex<Vec<(String, Duration)>>,
    stopping: &AtomicBool,
) {
    let mut number = 0;
    while !stopping.load(Ordering::SeqCst) {
        let id = format!("{name}-{number}");
        number += 1;
        let headers = format!(
            "Model: m\r\nToken-Usage: 6610,400\r\nPrompt-Prefix: 5c1e07a2:60,{name:0>8}{number}:6550\r\n",
        );
        let headers = headers.replace(['z', 'c'], "");
        let request = Request {
            id: &id,
            target: "POST /talk/x",
            key: "k1",
            deadline: Duration::from_secs(12),
            headers: &headers,
            body: id.as_bytes(),
        };
        let at = record.now();
        client::send(front, &request, record);
        sent.lock().expect("no panic").push((id, at));
        thread::sleep(PAUSE);
    }
}

/// Finds the window in which most tokens were both sent and run.
fn judge(record: &Record, sent: &[(String, Duration)]) -> Verdict {
    let runs =
        sent.iter().flat_map(|(id, at)| record.runs(id).into_iter().map(move |run| (*at, run.at)));
    let runs: Vec<(Duration, Duration)> = runs.collect();
    let used = |start: Duration| {
        let within = runs.iter().filter(|(sent, run)| start <= *sent && *run < start + WINDOW);
        within.count() as f64 * f64::from(TOKENS)
    };
    let most = runs.iter().map(|(sent, _)| (used(*sent), *sent));
    let (most, start) = most.fold((0.0, Duration::ZERO), |a, b| if b.0 > a.0 { b } else { a });
    let start = start.as_secs_f64();
    record
        .note(&format!("in the 8 s from {start:.1} s, {most} tokens run; the rule allows {LIMIT}"));
    if most > LIMIT {
        return Verdict::Broken(format!("{most} tokens of a tenant run in 8 s"));
    }
    Verdict::Held
}
