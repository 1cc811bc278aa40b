//! A machine is partitioned from all engines and passes its clients' requests on to a machine that is
//! partitioned from the store.

use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use sesamewind_review_standins_3::client::{self, Attempt};
use sesamewind_review_standins_3::engine::{Act, Engine, Runs};
use sesamewind_review_standins_3::process::{self, Folder, Instance, Settings};
use sesamewind_review_standins_3::proxy::Proxy;
use sesamewind_review_standins_3::record::Record;
use sesamewind_review_standins_3::store::Store;

const ROLLBACK_SLACK_MS: f64 = 250.0;
const CONFIG_APPLY_MS: f64 = 2_000.0;

/// A request as its client saw it.
#[derive(Debug, Clone)]
struct Sent {
    id: String,
    at: f64,
    machine: String,
    status: u16,
}

fn configuration(version: u64, service: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"read\",\"host\":\"app.example\",\
         \"prefix\":\"/read/\",\"kind\":\"idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":300,\
         \"priority\":2,\"service\":\"{service}\",\"maxAttempts\":2,\"public\":false,\"sticky\":false,\
         \"resumable\":false}}],\"services\":[{{\"name\":\"core-old\",\"healthPath\":\"/healthz\",\
         \"maxConnections\":110}},{{\"name\":\"core-new\",\"healthPath\":\"/healthz\",\
         \"maxConnections\":110}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"acme\",\
         \"apiKeys\":[\"k-one\"],\"priority\":0,\"ratePerS\":0,\"burst\":0}}]}}"
    )
}

fn main() -> ExitCode {
    let Some(folder) = std::env::args().nth(1) else { return ExitCode::from(2) };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    process::set_limit(Duration::from_secs(110));
    match play(Path::new(&folder), trouble) {
        Ok(broken) => ExitCode::from(u8::from(broken)),
        Err(err) => {
            eprintln!("the case could not run: {err}");
            ExitCode::from(2)
        }
    }
}

fn play(folder: &Path, trouble: bool) -> Result<bool, Box<dyn std::error::Error>> {
    let record = Record::create(&folder.join("record.txt"))?;
    record.line(if trouble { "with the disruptions" } else { "without the disruptions" });
    let scratch = Folder::create("stale-peer")?;
    let store = Store::start()?;
    let runs: Runs = Arc::default();
    let mut engines = Vec::new();
    for (id, service, zone) in [
        ("i-old-1", "core-old", "z-a"),
        ("i-old-2", "core-old", "z-b"),
        ("i-new-1", "core-new", "z-a"),
        ("i-new-2", "core-new", "z-b"),
    ] {
        let serve = |_: &_| Act::Serve(Duration::from_millis(20));
        let engine = Engine::start((id, service, zone), &record, &runs, serve)?;
        engine.register(&store, engine.address, "ready");
        engines.push(engine);
    }
    store.put("op", "config", &configuration(1, "core-old"));

    let mut instances = Vec::new();
    let mut to_store = Vec::new();
    let mut to_engines = Vec::new();
    for (name, zone) in [("front-a-1", "z-a"), ("front-a-2", "z-a"), ("front-b-1", "z-b")] {
        // Each machine reaches each engine over a path of its own, which a partition can cut.
        let mut own = Vec::new();
        let mut paths = Vec::new();
        for engine in &engines {
            let proxy = Proxy::start(engine.address)?;
            paths.push((engine.address.to_string(), proxy.address.to_string()));
            own.push(proxy);
        }
        let proxy = Proxy::start(store.address_with_paths(paths)?)?;
        instances.push(Instance::start(Settings::new(name, zone, proxy.address), &scratch.0)?);
        to_store.push(proxy);
        to_engines.push(own);
    }
    if !instances.iter().all(|one| one.wait_ready(Duration::from_secs(15))) {
        return Err("an instance is not ready".into());
    }
    record.line("three instances are ready");

    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(1));
    let mut clients = Vec::new();
    for instance in &instances {
        let (address, machine) = (instance.settings.callers, instance.settings.name.clone());
        let (sent, stop) = (Arc::clone(&sent), Arc::clone(&stop));
        let (next, record) = (Arc::clone(&next), record.clone());
        clients.push(thread::spawn(move || {
            let mut attempts = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                let id = format!("q{:08x}", next.fetch_add(1, Ordering::SeqCst));
                let (sent, record, machine) = (Arc::clone(&sent), record.clone(), machine.clone());
                attempts.push(thread::spawn(move || {
                    let at = record.now();
                    let attempt = Attempt {
                        id: &id,
                        method: "GET",
                        host: "app.example",
                        path: "/read/x",
                        key: Some("k-one"),
                        deadline: Duration::from_secs(3),
                        body: b"",
                    };
                    let status =
                        client::send(address, &attempt).map_or(0, |answer| answer.status());
                    record.line(&format!(
                        "client sent {id} to {machine} at {at:.1} ms: answered {status}"
                    ));
                    sent.lock().expect("no thread panics with the lock").push(Sent {
                        id,
                        at,
                        machine,
                        status,
                    });
                }));
                thread::sleep(Duration::from_millis(25));
            }
            for attempt in attempts {
                let _ = attempt.join();
            }
        }));
    }
    // All are in touch from three seconds after their start on.
    thread::sleep(Duration::from_secs(4));

    if trouble {
        to_store[1].set_cut(true);
        record.line("front-a-2 is partitioned from the store");
    }
    thread::sleep(Duration::from_millis(200));
    store.put("op", "config", &configuration(2, "core-new"));
    let acked_at = record.now();
    record.line("the store has acknowledged version 2: `read` moved from core-old to core-new");
    thread::sleep(Duration::from_millis(2_000));
    if trouble {
        to_engines[0].iter().for_each(|path| path.set_cut(true));
        record.line("front-a-1 is partitioned from all engines; clients, the store and the other machines reach it");
    }
    thread::sleep(Duration::from_millis(3_000));
    if trouble {
        to_engines[0].iter().for_each(|path| path.set_cut(false));
        record.line("front-a-1 reaches the engines again");
    }
    thread::sleep(Duration::from_millis(200));
    to_store[1].set_cut(false);
    record.line("front-a-2 reaches the store again");
    thread::sleep(Duration::from_millis(2_000));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    if instances.iter_mut().any(|one| one.ended().is_some()) {
        return Err("an instance has ended".into());
    }

    let runs = runs.lock().expect("no thread panics with the lock").clone();
    let sent = sent.lock().expect("no thread panics with the lock").clone();
    // front-a-1 was never restarted, stopped, frozen or cut from the store: it is in touch all the while.
    let own: Vec<&Sent> = sent.iter().filter(|request| request.machine == "front-a-1").collect();
    let service_of = |id: &str| runs.iter().find(|run| run.id == id).map(|run| run.service.clone());
    let seen = own
        .iter()
        .filter_map(|request| runs.iter().find(|run| run.id == request.id))
        .filter(|run| run.service == "core-new")
        .map(|run| run.at)
        .fold(f64::INFINITY, f64::min);
    record
        .line(&format!("an engine saw the effect of version 2 at front-a-1 first at {seen:.1} ms"));
    let bound = (seen + ROLLBACK_SLACK_MS).max(acked_at + CONFIG_APPLY_MS);
    let (mut broken, mut judged) = (0, 0);
    for request in own.iter().filter(|request| request.at > bound) {
        judged += 1;
        if service_of(&request.id).as_deref() == Some("core-old") {
            broken += 1;
            record.line(&format!(
                "CONFIG: {} was sent to front-a-1 {:.0} ms after the acknowledgement of version 2 and {:.0} ms \
                 after an engine saw its effect there, and was run by core-old (answer {})",
                request.id,
                request.at - acked_at,
                request.at - seen,
                request.status
            ));
        }
    }
    record.line(&format!(
        "{broken} of {judged} requests to front-a-1 after the bound were handled as only version 1 allows"
    ));
    if judged == 0 {
        return Err("no request was judged".into());
    }
    Ok(broken > 0)
}
