//! A plain engine, which registers itself in the store.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Message, Wire};
use crate::json::quote;
use crate::record::Record;
use crate::store::Store;

/// What an engine does with a request.
#[derive(Debug, Clone)]
pub enum Act {
    /// It runs the request for this long and answers it.
    Serve(Duration),
    /// It runs the request for this long and answers with its own failure.
    Fail(Duration),
    /// It runs the request and answers it with a stream of so many events, one after each such time.
    Stream(u32, Duration),
    /// It is full: it does not run the request and says so.
    Full,
}

/// A request that an engine ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: f64,
    pub id: String,
    pub engine: String,
    pub service: String,
    pub line: String,
    pub tenant: String,
}

/// Requests that engines ran, in order.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A running engine.
#[derive(Debug, Clone)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Requests that it processes at once, as its entry says.
    pub slots: u32,
}

impl Engine {
    /// Starts an engine that decides on each request with `act`.
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        record: &Record,
        runs: &Runs,
        act: impl Fn(&Message) -> Act + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let engine = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            slots: 16,
        };
        let (this, record, runs) = (engine.clone(), record.clone(), Arc::clone(runs));
        let act = Arc::new(act);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (this, record, runs) = (this.clone(), record.clone(), Arc::clone(&runs));
                let act = Arc::clone(&act);
                thread::spawn(move || {
                    let mut wire = Wire::new(stream);
                    while let Ok(call) = wire.read() {
                        if !call.complete
                            || this.serve(&mut wire, &call, &record, &runs, &*act).is_err()
                        {
                            return;
                        }
                    }
                });
            }
        });
        Ok(engine)
    }

    fn serve(
        &self,
        wire: &mut Wire,
        call: &Message,
        record: &Record,
        runs: &Runs,
        act: &(impl Fn(&Message) -> Act + ?Sized),
    ) -> std::io::Result<()> {
        let path = call.word(1);
        if path == "/sesamewind/report" || path == "/healthz" {
            let id = [("Instance-Id", self.id.as_str()), ("Content-Type", "application/json")];
            return wire.answer("200 OK", &id, b"{}");
        }
        let id = call.header("request-id").unwrap_or("").to_owned();
        let expected = call.header("expect-instance").unwrap_or(&self.id).to_owned();
        if expected != self.id {
            record.line(&format!(
                "engine {} turns {id} away: 421, it is meant for {expected}",
                self.id
            ));
            return wire.answer("421 Misdirected Request", &[("Request-Id", &id)], b"");
        }
        let deed = act(call);
        if matches!(deed, Act::Full) {
            record.line(&format!("engine {} turns {id} away: full, Not-Executed", self.id));
            let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
            return wire.answer("503 Service Unavailable", &headers, b"full");
        }
        let tenant = call.header("tenant-name").unwrap_or("").to_owned();
        record.line(&format!(
            "engine {} of {} runs {id}: {} tenant={tenant}",
            self.id, self.service, call.line
        ));
        runs.lock().expect("no thread panics with the lock").push(Run {
            at: record.now(),
            id: id.clone(),
            engine: self.id.clone(),
            service: self.service.clone(),
            line: call.line.clone(),
            tenant,
        });
        let (status, time) = match deed {
            Act::Serve(time) => ("200 OK", time),
            Act::Fail(time) => ("500 Internal Server Error", time),
            Act::Stream(events, gap) => return self.stream(wire, &id, events, gap),
            Act::Full => unreachable!("handled above"),
        };
        thread::sleep(time);
        let seal = format!("seal.{}.{id}", self.id);
        let headers = [("Request-Id", id.as_str()), ("Response-Seal", seal.as_str())];
        let body = format!("{} of {} ran {id}", self.id, self.service);
        wire.answer(status, &headers, body.as_bytes())
    }

    fn stream(&self, wire: &mut Wire, id: &str, events: u32, gap: Duration) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: seal.{}.{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        for event in 1..=events {
            thread::sleep(gap);
            let text = format!("id: {event}\ndata: {id}-{event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            let start = if event == 1 { head.as_str() } else { "" };
            wire.stream.write_all(format!("{start}{chunk}").as_bytes())?;
        }
        wire.stream.write_all(b"0\r\n\r\n")
    }

    /// Writes the engine's entry to the store, with the address at which it is reached.
    pub fn register(&self, store: &Store, address: SocketAddr, state: &str) {
        let entry = format!(
            "{{\"service\":{},\"address\":\"{address}\",\"zone\":{},\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":1796600000000}}",
            quote(&self.service),
            quote(&self.zone),
            self.slots
        );
        store.put("servers", &self.id, &entry);
    }
}
