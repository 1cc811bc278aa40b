//! The settings lengthen the grace time, and the instance is stopped later.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::{Stage, Verdict};
use crate::client::{self, Answer, Request};
use crate::configuration::{self, Route};
use crate::engine::{Engine, EngineOptions};
use crate::gateway::{HANGUP, KILL, TERMINATE};

/// The grace time after the change, in seconds.
const GRACE_S: u32 = 20;

/// Streams that are open when the stop begins.
const STREAMS: u32 = 12;

pub(super) fn play(stage: &Stage) -> Result<Verdict, String> {
    let record = &stage.record;
    // Each stream lasts 11 s. The route and the clients allow 15 s.
    let options = EngineOptions {
        id: "e1".to_owned(),
        service: "model".to_owned(),
        zone: "z1".to_owned(),
        slots: 16,
        events: 110,
        first: Duration::from_millis(100),
        delay: Duration::from_millis(100),
    };
    let _engine = Engine::start(options, &stage.store, record);
    let route = Route {
        name: "talk",
        kind: "streaming",
        service: "model",
        timeout_ms: 15_000,
        attempts: 1,
    };
    stage.store.put("op", "config", &configuration::text(1, &[route], &["model"], &["k1"]));
    let mut gateway = stage.gateway("front-1");
    if !stage.has_trouble {
        gateway.set("bounds.graceS", &GRACE_S.to_string());
        record.note(&format!("the settings say graceS = {GRACE_S} from the start"));
    }
    gateway.start()?;
    if stage.has_trouble {
        gateway.set("bounds.graceS", &GRACE_S.to_string());
        gateway.signal(HANGUP);
        record
            .note(&format!("the settings now say graceS = {GRACE_S} instead of 8; SIGHUP is sent"));
    }
    // More than `contactMs` and `configApplyMs` later.
    thread::sleep(Duration::from_secs(6));
    if stage.has_trouble && !gateway.log().contains("\"reloaded\"") {
        record.note("the log does not say that the settings were reloaded");
    }
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let (record, front) = (Arc::clone(record), gateway.front);
        clients.push(thread::spawn(move || {
            let id = format!("stream-{number}");
            let request = Request {
                id: &id,
                target: "POST /talk/x",
                key: "k1",
                deadline: Duration::from_secs(15),
                headers: "",
                body: b"hello",
            };
            client::send(front, &request, &record)
        }));
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_secs(1));
    let stopped = record.now();
    gateway.signal(TERMINATE);
    record.note("SIGTERM is sent");
    let mut ended = None;
    while clients.iter().any(|client| !client.is_finished()) {
        thread::sleep(Duration::from_millis(20));
        if ended.is_none() && gateway.has_ended() {
            let after = record.now() - stopped;
            record.note(&format!("the process ends {:.1} s after SIGTERM", after.as_secs_f64()));
            ended = Some(after);
        }
        if record.now() - stopped >= Duration::from_secs(GRACE_S.into()) {
            gateway.signal(KILL);
        }
    }
    let answers = clients.into_iter().map(|client| client.join().map_err(|_| "a client panicked"));
    let answers = answers.collect::<Result<Vec<Answer>, _>>()?;
    let cut = answers.iter().filter(|answer| answer.status() == 0).count();
    record.note(&format!("{cut} of {STREAMS} streams are cut off"));
    if cut > 0 {
        let text = format!("{cut} streams that were sent before SIGTERM have no complete answer");
        return Ok(Verdict::Broken(text));
    }
    Ok(Verdict::Held)
}
