//! A machine gets SIGTERM while a request waits there for a place at an engine.

use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use sesamewind_review_standins_3::client::{self, Attempt};
use sesamewind_review_standins_3::engine::{Act, Engine, Runs};
use sesamewind_review_standins_3::process::{self, Folder, Instance, Settings};
use sesamewind_review_standins_3::record::Record;
use sesamewind_review_standins_3::store::Store;

const GRACE: Duration = Duration::from_secs(8);

const CONFIGURATION: &str = r#"{"version":1,"routes":[
 {"name":"report","host":"app.example","prefix":"/report/","kind":"idempotent","timeoutMs":15000,
  "targetLatencyMs":12000,"priority":2,"service":"reports","maxAttempts":2,"public":false,
  "sticky":false,"resumable":false}],
 "services":[{"name":"reports","healthPath":"/healthz","maxConnections":110}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"acme","apiKeys":["k-one"],"priority":0,"ratePerS":0,"burst":0}]}"#;

/// How a request ended at its client.
#[derive(Debug, Clone)]
struct Ended {
    id: String,
    sent: f64,
    ended: f64,
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
    record.line(if trouble { "with the stop" } else { "without the stop" });
    let scratch = Folder::create("stop-waiting")?;
    let store = Store::start()?;
    let runs: Runs = Arc::default();
    for (id, zone) in [("i-rep-1", "z-a"), ("i-rep-2", "z-b")] {
        let serve = |_: &_| Act::Serve(Duration::from_secs(12));
        let mut engine = Engine::start((id, "reports", zone), &record, &runs, serve)?;
        engine.slots = 2;
        engine.register(&store, engine.address, "ready");
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
    thread::sleep(Duration::from_secs(4));

    let results: Arc<Mutex<Vec<Ended>>> = Arc::default();
    let mut clients = Vec::new();
    let mut send = |id: String, instance: &Instance| {
        let (address, machine) = (instance.settings.callers, instance.settings.name.clone());
        let (results, record) = (Arc::clone(&results), record.clone());
        clients.push(thread::spawn(move || {
            let sent = record.now();
            record.line(&format!("client sends {id} to {machine}"));
            let attempt = Attempt {
                id: &id,
                method: "GET",
                host: "app.example",
                path: "/report/x",
                key: Some("k-one"),
                deadline: Duration::from_secs(15),
                body: b"",
            };
            let status = client::send(address, &attempt).map_or(0, |answer| answer.status());
            let ended = record.now();
            let text = match status {
                0 => "closed without an answer".to_owned(),
                status => format!("answered {status}"),
            };
            record.line(&format!("client of {machine}: {id} {text} after {:.0} ms", ended - sent));
            let one = Ended { id, sent, ended, status };
            results.lock().expect("no thread panics with the lock").push(one);
        }));
    };
    // The other machine's clients keep the engines busy.
    for nth in 0..8 {
        send(format!("busy{nth}"), &instances[1]);
        thread::sleep(Duration::from_millis(60));
    }
    thread::sleep(Duration::from_millis(500));
    send("waits1".to_owned(), &instances[0]);
    thread::sleep(Duration::from_millis(200));
    let stopped_at = record.now();
    if trouble {
        instances[0].signal("TERM");
        record.line("SIGTERM to front-a-1");
        thread::sleep(GRACE);
        let ended = instances[0].ended();
        record.line(&format!("front-a-1 after the grace time: {ended:?}"));
        if ended.is_none() {
            instances[0].signal("KILL");
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let results = results.lock().expect("no thread panics with the lock").clone();
    let runs = runs.lock().expect("no thread panics with the lock").clone();
    let mut broken = 0;
    for one in results.iter().filter(|one| one.id.starts_with("waits")) {
        let ran = runs.iter().any(|run| run.id == one.id);
        if one.status == 0 && one.ended - one.sent > 200.0 && one.ended - one.sent < 14_500.0 {
            broken += 1;
            record.line(&format!(
                "LOST: {} was sent {:.0} ms before the SIGTERM; its connection was closed without an answer {:.0} ms \
                 after it; an engine ran it: {ran}; its deadline was 15 s",
                one.id,
                stopped_at - one.sent,
                one.ended - stopped_at
            ));
        }
    }
    record.line(&format!("{broken} requests lost"));
    Ok(broken > 0)
}
