//! Open connections fall silent for good on all machines, new ones work, and the entry of an engine is
//! removed just after.

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

const CONTACT_MS: f64 = 3_000.0;
const DRAIN_MS: f64 = 2_000.0;

const CONFIGURATION: &str = r#"{"version":1,"routes":[
 {"name":"read","host":"app.example","prefix":"/read/","kind":"idempotent","timeoutMs":3000,
  "targetLatencyMs":300,"priority":2,"service":"core","maxAttempts":2,"public":false,
  "sticky":false,"resumable":false}],
 "services":[{"name":"core","healthPath":"/healthz","maxConnections":110},
  {"name":"other","healthPath":"/healthz","maxConnections":110}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"acme","apiKeys":["k-one"],"priority":0,"ratePerS":0,"burst":0}]}"#;

/// A request as its client saw it.
#[derive(Debug, Clone)]
struct Sent {
    id: String,
    at: f64,
    machine: String,
    status: u16,
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
    record.line(if trouble { "with the disruption" } else { "without the disruption" });
    let scratch = Folder::create("silent-drain")?;
    let store = Store::start()?;
    let runs: Runs = Arc::default();
    let mut proxies = Vec::new();
    let add_engine = |id: &str, service: &str, zone: &str, proxies: &mut Vec<Proxy>| {
        let serve = |_: &_| Act::Serve(Duration::from_millis(80));
        let mut engine = Engine::start((id, service, zone), &record, &runs, serve)?;
        engine.slots = 6;
        let proxy = Proxy::start(engine.address)?;
        engine.register(&store, proxy.address, "ready");
        proxies.push(proxy);
        Ok::<(), std::io::Error>(())
    };
    for (id, zone) in [("i-1", "z-a"), ("i-2", "z-b")] {
        add_engine(id, "core", zone, &mut proxies)?;
    }
    store.put("op", "config", CONFIGURATION);

    let mut instances = Vec::new();
    for (name, zone) in [("front-a-1", "z-a"), ("front-b-1", "z-b"), ("front-c-1", "z-c")] {
        let to_store = Proxy::start(store.address)?;
        let mut settings = Settings::new(name, zone, to_store.address);
        let to_peer = Proxy::start(settings.inner)?;
        settings.advertise = to_peer.address;
        proxies.extend([to_store, to_peer]);
        instances.push(Instance::start(settings, &scratch.0)?);
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
                    let one = Sent { id, at, machine, status };
                    sent.lock().expect("no thread panics with the lock").push(one);
                }));
                thread::sleep(Duration::from_millis(20));
            }
            for attempt in attempts {
                let _ = attempt.join();
            }
        }));
    }
    thread::sleep(Duration::from_secs(4));

    add_engine("i-3", "other", "z-c", &mut proxies)?;
    record.line("engine i-3 of another service has registered itself");
    // The watches of the list begin anew now, and are given up four seconds later, before the machines are
    // in touch again.
    thread::sleep(Duration::from_millis(1_300));
    if trouble {
        proxies.iter().for_each(Proxy::silence_open);
        record.line(
            "all open connections have fallen silent: to the store, to engines, between machines; new ones work",
        );
    }
    let silent_at = record.now();
    thread::sleep(Duration::from_millis(500));
    store.remove("servers", "i-2");
    let acked_at = record.now();
    record.line("the store has acknowledged that i-2 is gone; it goes on serving for many seconds");
    thread::sleep(Duration::from_secs(8));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    if instances.iter_mut().any(|one| one.ended().is_some()) {
        return Err("an instance has ended".into());
    }

    let drained_at = acked_at + DRAIN_MS;
    let bound = if trouble { drained_at.max(silent_at + CONTACT_MS) } else { drained_at };
    record.line(&format!(
        "all machines are in touch from {:.1} ms on; i-2 may get no request that is sent from {bound:.1} ms on",
        silent_at + CONTACT_MS
    ));
    let runs = runs.lock().expect("no thread panics with the lock").clone();
    let sent = sent.lock().expect("no thread panics with the lock").clone();
    let (mut broken, mut judged) = (0, 0);
    for request in sent.iter().filter(|request| request.at > bound) {
        judged += 1;
        if let Some(run) = runs.iter().find(|run| run.id == request.id && run.engine == "i-2") {
            broken += 1;
            record.line(&format!(
                "DRAIN: {} was sent to {} {:.0} ms after the silence began, and reached i-2 {:.0} ms after \
                 the store had acknowledged that it is gone (answer {})",
                request.id,
                request.machine,
                request.at - silent_at,
                run.at - acked_at,
                request.status
            ));
        }
    }
    record.line(&format!("{broken} of {judged} requests sent after the bound reached i-2"));
    if judged == 0 {
        return Err("no request was judged".into());
    }
    Ok(broken > 0)
}
