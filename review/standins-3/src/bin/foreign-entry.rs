//! Another writer puts an entry with a missing field into the list of engines.

use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use sesamewind_review_standins_3::client::{self, Attempt};
use sesamewind_review_standins_3::engine::{Act, Engine, Runs};
use sesamewind_review_standins_3::process::{self, Folder, Instance, Settings};
use sesamewind_review_standins_3::record::Record;
use sesamewind_review_standins_3::store::Store;

/// Interval at which engines write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

const CONFIGURATION: &str = r#"{"version":1,"routes":[
 {"name":"roster","host":"app.example","prefix":"/roster/","kind":"idempotent","timeoutMs":3000,
  "targetLatencyMs":300,"priority":2,"service":"booking-core","maxAttempts":2,"public":false,
  "sticky":false,"resumable":false},
 {"name":"deposit","host":"app.example","prefix":"/deposit/","kind":"non_idempotent","timeoutMs":3000,
  "targetLatencyMs":300,"priority":2,"service":"booking-core","maxAttempts":1,"public":false,
  "sticky":false,"resumable":false},
 {"name":"notes","host":"app.example","prefix":"/notes/","kind":"non_idempotent","timeoutMs":3000,
  "targetLatencyMs":300,"priority":2,"service":"notes-app","maxAttempts":1,"public":false,
  "sticky":false,"resumable":false}],
 "services":[{"name":"booking-core","healthPath":"/healthz","maxConnections":110},
  {"name":"notes-app","healthPath":"/healthz","maxConnections":110}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"acme","apiKeys":["k-one"],"priority":0,"ratePerS":0,"burst":0}]}"#;

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
    let scratch = Folder::create("foreign-entry")?;
    let store = Store::start()?;
    let runs: Runs = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut engines = Vec::new();
    for (id, service, zone) in [
        ("i-book-1", "booking-core", "z-a"),
        ("i-book-2", "booking-core", "z-b"),
        ("i-note-1", "notes-app", "z-a"),
        ("i-note-2", "notes-app", "z-b"),
    ] {
        let serve = |_: &_| Act::Serve(Duration::from_millis(60));
        let engine = Engine::start((id, service, zone), &record, &runs, serve)?;
        engine.register(&store, engine.address, "ready");
        engines.push(engine);
    }
    store.put("op", "config", CONFIGURATION);
    let mut instances = Vec::new();
    for (name, zone) in [("front-a-1", "z-a"), ("front-b-1", "z-b")] {
        instances.push(Instance::start(Settings::new(name, zone, store.address), &scratch.0)?);
    }
    if !instances.iter().all(|one| one.wait_ready(Duration::from_secs(15))) {
        return Err("an instance is not ready".into());
    }
    record.line("two instances are ready");
    // Engines write their entries again and again.
    let (beating, beat_store, beat_stop) = (engines.clone(), store.clone(), Arc::clone(&stop));
    let beats = thread::spawn(move || {
        while !beat_stop.load(Ordering::SeqCst) {
            thread::sleep(HEARTBEAT);
            for engine in &beating {
                engine.register(&beat_store, engine.address, "ready");
            }
        }
    });
    let next = Arc::new(AtomicU64::new(1));
    let mut clients = Vec::new();
    for instance in &instances {
        let (address, stop, next) =
            (instance.settings.callers, Arc::clone(&stop), Arc::clone(&next));
        let (record, machine) = (record.clone(), instance.settings.name.clone());
        clients.push(thread::spawn(move || {
            let mut attempts = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                for path in ["/roster/x", "/deposit/x", "/notes/x"] {
                    let id = format!("q{:08x}", next.fetch_add(1, Ordering::SeqCst));
                    let (record, machine) = (record.clone(), machine.clone());
                    attempts.push(thread::spawn(move || {
                        let attempt = Attempt {
                            id: &id,
                            method: if path == "/roster/x" { "GET" } else { "POST" },
                            host: "app.example",
                            path,
                            key: Some("k-one"),
                            deadline: Duration::from_secs(3),
                            body: if path == "/roster/x" { b"" } else { b"{}" },
                        };
                        let answer = client::send(address, &attempt).unwrap_or_default();
                        let body = String::from_utf8_lossy(&answer.body).into_owned();
                        record.line(&format!(
                            "client of {machine}: {id} {path} answered {} `{body}`",
                            answer.status()
                        ));
                    }));
                }
                thread::sleep(Duration::from_millis(50));
            }
            for attempt in attempts {
                let _ = attempt.join();
            }
        }));
    }
    thread::sleep(Duration::from_secs(3));
    if trouble {
        let address = engines[0].address;
        let entry = format!(
            "{{\"service\":\"notes-app\",\"address\":\"{address}\",\"zone\":\"z-a\",\"version\":\"v1\",\
             \"slots\":16,\"state\":\"ready\",\"coldRemainingMs\":0,\"born\":1796600000000}}"
        );
        store.put("servers", "i-book-1", &entry);
        record
            .line(&format!("another writer has put servers/i-book-1, without `sequence`: {entry}"));
    }
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let _ = beats.join();
    if instances.iter_mut().any(|one| one.ended().is_some()) {
        return Err("an instance has ended".into());
    }
    let runs = runs.lock().expect("no thread panics with the lock");
    let mut broken = 0;
    for run in runs.iter() {
        let service = if run.line.contains("/notes/") { "notes-app" } else { "booking-core" };
        if run.service != service {
            broken += 1;
            record.line(&format!(
                "ROUTE: {} ({}) was run by {} of {} at {:.1} ms; every configuration sends it to {service} only",
                run.id, run.line, run.engine, run.service, run.at
            ));
        }
    }
    record.line(&format!("{broken} of {} runs were at an engine of another service", runs.len()));
    if runs.is_empty() {
        return Err("no request ran".into());
    }
    Ok(broken > 0)
}
