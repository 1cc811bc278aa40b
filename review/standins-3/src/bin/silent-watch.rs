//! Open connections fall silent for good on all machines, new ones work, and a configuration is
//! acknowledged just after.

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
const CONFIG_APPLY_MS: f64 = 2_000.0;
const HOST: &str = "app.example";

/// A request as its client saw it.
#[derive(Debug, Clone)]
struct Sent {
    id: String,
    at: f64,
    machine: String,
    what: &'static str,
    status: u16,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn configuration(version: u64, read_by: &str, with_old: bool, other_timeout: u64) -> String {
    let route = |name: &str, service: &str, timeout: u64| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"idempotent\",\
             \"timeoutMs\":{timeout},\"targetLatencyMs\":300,\"priority\":2,\"service\":\"{service}\",\
             \"maxAttempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}}"
        )
    };
    let mut routes = vec![route("read", read_by, 3_000), route("other", "core-new", other_timeout)];
    if with_old {
        routes.push(route("gone", "core-old", 3_000));
    }
    let service = |name: &str| {
        format!("{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConnections\":110}}")
    };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"acme\",\"apiKeys\":[\"k-one\"],\"priority\":0,\
         \"ratePerS\":0,\"burst\":0}}]}}",
        routes.join(","),
        service("core-old"),
        service("core-new")
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
    record.line(if trouble { "with the disruption" } else { "without the disruption" });
    let scratch = Folder::create("silent-watch")?;
    let store = Store::start()?;
    let runs: Runs = Arc::default();
    let mut proxies = Vec::new();
    for (id, service, zone) in [
        ("i-old-1", "core-old", "z-a"),
        ("i-old-2", "core-old", "z-b"),
        ("i-new-1", "core-new", "z-a"),
        ("i-new-2", "core-new", "z-c"),
    ] {
        let engine = Engine::start((id, service, zone), &record, &runs, |_| Act::Serve(ms(20)))?;
        let proxy = Proxy::start(engine.address)?;
        engine.register(&store, proxy.address, "ready");
        proxies.push(proxy);
    }
    store.put("op", "config", &configuration(1, "core-old", true, 3_000));

    let mut instances = Vec::new();
    for (name, zone) in [("front-a-1", "z-a"), ("front-b-1", "z-b"), ("front-c-1", "z-c")] {
        let to_store = Proxy::start(store.address)?;
        let mut settings = Settings::new(name, zone, to_store.address);
        let to_peer = Proxy::start(settings.inner)?;
        settings.advertise = to_peer.address;
        proxies.extend([to_store, to_peer]);
        instances.push(Instance::start(settings, &scratch.0)?);
    }
    if !instances.iter().all(|one| one.wait_ready(ms(15_000))) {
        return Err("an instance is not ready".into());
    }
    record.line("three instances are ready");

    // Clients ask all machines all the time.
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
                for (what, path) in [("read", "/read/x"), ("gone", "/gone/x")] {
                    let id = format!("q{:08x}", next.fetch_add(1, Ordering::SeqCst));
                    let (sent, record, machine) = (Arc::clone(&sent), record.clone(), machine.clone());
                    attempts.push(thread::spawn(move || {
                        let at = record.now();
                        let attempt = Attempt {
                            id: &id,
                            method: "GET",
                            host: HOST,
                            path,
                            key: Some("k-one"),
                            deadline: ms(3_000),
                            body: b"",
                        };
                        let answer = client::send(address, &attempt);
                        let status = answer.map_or(0, |answer| answer.status());
                        record.line(&format!(
                            "client sent {id} ({what}) to {machine} at {at:.1} ms: answered {status}"
                        ));
                        sent.lock().expect("no thread panics with the lock").push(Sent {
                            id,
                            at,
                            machine,
                            what,
                            status,
                        });
                    }));
                }
                thread::sleep(ms(60));
            }
            for attempt in attempts {
                let _ = attempt.join();
            }
        }));
    }
    thread::sleep(ms(4_000));

    store.put("op", "config", &configuration(2, "core-old", true, 2_500));
    record.line("the store has acknowledged version 2 (another time-out for the route `other`)");
    thread::sleep(ms(300));
    if trouble {
        proxies.iter().for_each(Proxy::silence_open);
        record.line(
            "all open connections have fallen silent: to the store, to engines, between machines; new ones work",
        );
    }
    let silent_at = record.now();
    thread::sleep(ms(500));
    store.put("op", "config", &configuration(3, "core-new", false, 2_500));
    let acked_at = record.now();
    record.line("the store has acknowledged version 3: `read` moved to core-new, `gone` dropped");
    thread::sleep(ms(7_000));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let applied_at = acked_at + CONFIG_APPLY_MS;
    let bound = if trouble { applied_at.max(silent_at + CONTACT_MS) } else { applied_at };
    record.line(&format!(
        "all machines are in touch from {:.1} ms on; version 3 binds requests sent from {bound:.1} ms on",
        silent_at + CONTACT_MS
    ));
    let runs = runs.lock().expect("no thread panics with the lock").clone();
    let sent = sent.lock().expect("no thread panics with the lock").clone();
    let mut broken = 0;
    let mut judged = 0;
    for request in sent.iter().filter(|request| request.at > bound) {
        judged += 1;
        let run = runs.iter().find(|run| run.id == request.id);
        let is_older = match request.what {
            "read" => run.is_some_and(|run| run.service == "core-old"),
            _ => run.is_some(),
        };
        if is_older {
            broken += 1;
            let run = run.expect("an older handling is a run");
            record.line(&format!(
                "CONFIG: {} ({}) was sent to {} {:.0} ms after the acknowledgement and {:.0} ms after the \
                 silence began, and was run by {} of {} (answer {})",
                request.id,
                request.what,
                request.machine,
                request.at - acked_at,
                request.at - silent_at,
                run.engine,
                run.service,
                request.status
            ));
        }
    }
    let crashed = instances.iter_mut().any(|one| one.ended().is_some());
    if crashed {
        return Err("an instance has ended".into());
    }
    record.line(&format!("{broken} of {judged} requests sent after the bound were handled as only an older version allows"));
    if judged == 0 {
        return Err("no request was judged".into());
    }
    Ok(broken > 0)
}
