//! Bursts of clients send bodies of up to the largest allowed size.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::{Stage, Verdict};
use crate::client::{self, Answer, KeptConnection, Request};
use crate::configuration::{self, Route};
use crate::engine::{Engine, EngineOptions};
use crate::gateway::{Gateway, KILL};
use crate::record::Record;

/// `limits.memoryMb` of the machines.
const MEMORY_MB: u64 = 260;

/// Clients of a machine: those of a zone with one machine.
const CLIENTS: usize = 24;

/// Factor of the bursts.
const BURST: usize = 2;

/// Bursts, one after the other.
const BURSTS: usize = 3;

/// Size of the bodies, which is below `maxBodyBytes`.
const BODY_BYTES: usize = 4_000_000;

/// Size of the parts in which a body is sent, and the pause between them. All clients of a burst
/// together send no more than the machine's link takes (1,000 Mbit/s).
const PART_BYTES: usize = 65_536;
const PART_PAUSE: Duration = Duration::from_millis(32);

/// Largest number of requests of kept connections that may be cut off.
const MOST_CUT: usize = 3;

pub(super) fn play(stage: &Stage) -> Result<Verdict, String> {
    let record = &stage.record;
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
        Engine::start(options, &stage.store, record);
    }
    let route = Route {
        name: "pay",
        kind: "non_idempotent",
        service: "core",
        timeout_ms: 3_000,
        attempts: 1,
    };
    stage.store.put("op", "config", &configuration::text(1, &[route], &["core"], &["k1"]));
    let mut machines = Vec::new();
    for name in ["front-1", "front-2"] {
        let mut gateway = stage.gateway(name);
        gateway.start()?;
        machines.push(Machine::run(gateway, record));
    }
    thread::sleep(Duration::from_secs(4));
    let stopping = Arc::new(AtomicBool::new(false));
    let cut = Arc::new(Mutex::new(Vec::new()));
    let mut steady = Vec::new();
    for (number, machine) in machines.iter().enumerate() {
        for client in 0..4 {
            let (record, cut, stopping) =
                (Arc::clone(record), Arc::clone(&cut), Arc::clone(&stopping));
            let (name, front) = (format!("m{}c{client}", number + 1), machine.front);
            steady.push(thread::spawn(move || pay(&name, front, &record, &cut, &stopping)));
        }
    }
    thread::sleep(Duration::from_secs(2));
    let clients = if stage.has_trouble { CLIENTS * BURST } else { CLIENTS };
    for burst in 1..=BURSTS {
        record.note(&format!("{clients} clients at each machine send {BODY_BYTES} bytes each"));
        let mut senders = Vec::new();
        for (number, machine) in machines.iter().enumerate() {
            for client in 0..clients {
                let (record, front) = (Arc::clone(record), machine.front);
                let id = format!("m{}b{burst}u{client}", number + 1);
                senders.push(thread::spawn(move || upload(&id, front, &record)));
            }
        }
        let statuses: Vec<u16> = senders.into_iter().map(|it| it.join().unwrap_or(0)).collect();
        let count = |status| statuses.iter().filter(|one| **one == status).count();
        record.note(&format!(
            "answers: 200: {}, 503: {}, none: {}",
            count(200),
            count(503),
            count(0)
        ));
        thread::sleep(Duration::from_secs(6));
    }
    stopping.store(true, Ordering::SeqCst);
    for client in steady {
        client.join().map_err(|_| "a client panicked")?;
    }
    let ends: Vec<usize> = machines.into_iter().map(Machine::stop).collect();
    let cut = cut.lock().map_err(|_| "a client panicked")?.clone();
    record.note(&format!("the machines' processes end by themselves {ends:?} times"));
    record.note(&format!(
        "{} requests of kept connections had run at an engine and got no answer",
        cut.len()
    ));
    let has_fault = ends.iter().filter(|ends| **ends >= 3).count() >= 2;
    if cut.len() > MOST_CUT || has_fault {
        let text = format!("{} requests are lost, and processes end {ends:?} times", cut.len());
        return Ok(Verdict::Broken(text));
    }
    Ok(Verdict::Held)
}

/// Sends small requests on a kept connection, one after the other.
fn pay(
    name: &str,
    front: SocketAddr,
    record: &Record,
    cut: &Mutex<Vec<String>>,
    stopping: &AtomicBool,
) {
    let mut connection = KeptConnection::default();
    let mut number = 0;
    while !stopping.load(Ordering::SeqCst) {
        let id = format!("{name}-{number}");
        number += 1;
        let is_kept = connection.is_kept();
        let request = Request {
            id: &id,
            target: "POST /pay/x",
            key: "k1",
            deadline: Duration::from_secs(3),
            headers: "",
            body: id.as_bytes(),
        };
        let answer = connection.send(front, &request, record);
        if matches!(answer, Answer::Broken(..)) {
            // The engine is told of no end: it runs the request and answers.
            thread::sleep(Duration::from_millis(300));
            if is_kept && !record.runs(&id).is_empty() {
                record.line(&format!("LOST: {id} has run, and its kept connection was closed"));
                cut.lock().expect("no panic").push(id);
            }
        }
        thread::sleep(Duration::from_millis(30));
    }
}

/// Sends one large request, as fast as the machine's link allows.
fn upload(id: &str, front: SocketAddr, record: &Record) -> u16 {
    let body = vec![b'x'; BODY_BYTES];
    let request = Request {
        id,
        target: "POST /pay/x",
        key: "k1",
        deadline: Duration::from_secs(3),
        headers: "",
        body: &body,
    };
    client::send_slowly(front, &request, record, (PART_BYTES, PART_PAUSE)).status()
}

/// A machine, which kills its process over the limit on memory and starts it again.
struct Machine {
    front: SocketAddr,
    stopping: Arc<AtomicBool>,
    watch: thread::JoinHandle<usize>,
}

impl Machine {
    fn run(mut gateway: Gateway, record: &Arc<Record>) -> Self {
        let (front, record) = (gateway.front, Arc::clone(record));
        let stopping = Arc::new(AtomicBool::new(false));
        let shared = Arc::clone(&stopping);
        let watch = thread::spawn(move || {
            let (mut ends, mut most) = (0, 0);
            while !shared.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
                let memory = gateway.memory_mb();
                most = most.max(memory);
                if memory <= MEMORY_MB && !gateway.has_ended() {
                    continue;
                }
                ends += 1;
                gateway.signal(KILL);
                let name = &gateway.name;
                record.note(&format!("{name} has {memory} MB of {MEMORY_MB}, and is killed"));
                thread::sleep(Duration::from_millis(500));
                gateway.set("bootstrap", "false");
                if let Err(err) = gateway.start() {
                    record.note(&err);
                }
            }
            record.note(&format!("{} had {most} MB at most", gateway.name));
            ends
        });
        Self { front, stopping, watch }
    }

    /// Ends the process, and returns how often it ended before.
    fn stop(self) -> usize {
        self.stopping.store(true, Ordering::SeqCst);
        self.watch.join().unwrap_or(0)
    }
}
