//! An instance that reaches no engine passes requests on to one that lacks the configuration in force.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::{Stage, Verdict};
use crate::client::{self, Request};
use crate::configuration::{self, Route};
use crate::engine::{Engine, EngineOptions};
use crate::gateway::Gateway;
use crate::proxy::Proxy;
use crate::record::Record;

/// `rollbackSlackMs`.
const SLACK: Duration = Duration::from_millis(250);

/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(150);

/// Clients of each machine.
const CLIENTS: u32 = 12;

/// A request.
#[derive(Debug, Clone)]
struct Sent {
    id: String,
    at: Duration,
    status: u16,
}

fn route(service: &str) -> [Route<'_>; 1] {
    [Route { name: "pay", kind: "non_idempotent", service, timeout_ms: 3_000, attempts: 1 }]
}

pub(super) fn play(stage: &Stage) -> Result<Verdict, String> {
    let record = &stage.record;
    let mut links = Vec::new();
    for service in ["old", "new"] {
        for number in 1..=3 {
            let options = EngineOptions {
                id: format!("{service}-{number}"),
                service: service.to_owned(),
                zone: "z1".to_owned(),
                slots: 6,
                events: 0,
                first: Duration::from_millis(30),
                delay: Duration::ZERO,
            };
            let (_, link) = Engine::start_behind_proxy(options, &stage.store, record);
            links.push(link);
        }
    }
    let services = ["old", "new"];
    stage.store.put("op", "config", &configuration::text(1, &route("old"), &services, &["k1"]));
    let behind = Proxy::start(stage.store.address);
    let mut first = stage.gateway("front-1");
    let mut second = Gateway::new("front-2", behind.address, &stage.root, &stage.folder);
    let mut third = stage.gateway("front-3");
    for gateway in [&mut first, &mut second, &mut third] {
        gateway.start()?;
    }
    thread::sleep(Duration::from_secs(4));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let stopping = Arc::new(AtomicBool::new(false));
    let fronts = [first.front, second.front, third.front];
    let mut clients = Vec::new();
    for (machine, front) in fronts.into_iter().enumerate() {
        for client in 0..CLIENTS {
            let name = format!("m{}c{client}", machine + 1);
            let (record, sent) = (Arc::clone(record), Arc::clone(&sent));
            let stopping = Arc::clone(&stopping);
            clients.push(thread::spawn(move || {
                run_client(&name, front, &record, &sent, &stopping);
            }));
            thread::sleep(Duration::from_millis(7));
        }
    }
    thread::sleep(Duration::from_secs(1));
    if stage.has_trouble {
        behind.silence();
        record.note("front-2 is partitioned from the store");
    }
    let cut_at = record.now();
    thread::sleep(Duration::from_millis(300));
    stage.store.put("op", "config", &configuration::text(2, &route("new"), &services, &["k1"]));
    record.note("version 2 moves the route from the service `old` to `new`; acknowledged");
    thread::sleep(Duration::from_millis(700));
    if stage.has_trouble {
        for link in &links {
            link.reset(first.pid());
        }
        record.note("front-1 is partitioned from all engines");
    }
    stage.wait_until(cut_at + Duration::from_secs(5));
    for link in &links {
        link.heal();
    }
    behind.heal();
    record.note("the partitions heal, if there were any");
    thread::sleep(Duration::from_secs(3));
    stopping.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client panicked")?;
    }
    let sent = sent.lock().map_err(|_| "a client panicked")?.clone();
    judge(record, &sent)
}

fn run_client(
    name: &str,
    front: std::net::SocketAddr,
    record: &Record,
    sent: &Mutex<Vec<Sent>>,
    stopping: &AtomicBool,
) {
    let mut number = 0;
    while !stopping.load(Ordering::SeqCst) {
        let id = format!("{name}-{number}");
        number += 1;
        let request = Request {
            id: &id,
            target: "POST /pay/x",
            key: "k1",
            deadline: Duration::from_secs(3),
            headers: "",
            body: b"hello",
        };
        let at = record.now();
        let status = client::send(front, &request, record).status();
        sent.lock().expect("no panic").push(Sent { id, at, status });
        thread::sleep(PAUSE);
    }
}

/// Judges the requests to the first machine.
fn judge(record: &Record, sent: &[Sent]) -> Result<Verdict, String> {
    let sent: Vec<_> = sent.iter().filter(|one| one.id.starts_with("m1")).collect();
    let runs = |one: &Sent| record.runs(&one.id);
    let effects = sent.iter().flat_map(|one| runs(one)).filter(|run| run.service == "new");
    let effect = effects.map(|run| run.at).min().ok_or("version 2 never took effect")?;
    record
        .note(&format!("an engine sees the effect of version 2 at {:.3} s", effect.as_secs_f64()));
    let after = sent.iter().filter(|one| one.at > effect + SLACK);
    let (mut regressed, mut all) = (Vec::new(), 0);
    for one in after {
        all += 1;
        if let Some(run) = runs(one).iter().find(|run| run.service == "old") {
            record.line(&format!(
                "REGRESSED: {} was sent at {:.3} s and runs at the service `old` at {:.3} s; \
                 its client got {}",
                one.id,
                one.at.as_secs_f64(),
                run.at.as_secs_f64(),
                one.status
            ));
            regressed.push(one.id.clone());
        }
    }
    record.note(&format!("{} of {all} later requests run at the old service", regressed.len()));
    if regressed.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!("front-1 regresses to version 1 for {} requests", regressed.len())))
}
