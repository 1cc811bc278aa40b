//! Stand-in for an engine: it runs requests, answers them, and registers itself in the store.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::http::{self, Message};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;

/// What an engine is.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Events of a stream; zero for a plain answer.
    pub events: u32,
    /// Time before the first event of a stream, or before a plain answer.
    pub first: Duration,
    /// Time before each further event.
    pub delay: Duration,
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    /// What it is.
    pub options: EngineOptions,
    /// Its own address.
    own: SocketAddr,
    record: Arc<Record>,
}

impl Engine {
    /// Starts an engine on a free loopback port, and registers it.
    pub fn start(options: EngineOptions, store: &Store, record: &Arc<Record>) -> Arc<Self> {
        let engine = Self::start_unregistered(options, record);
        engine.register(store, engine.own);
        engine
    }

    /// Starts an engine behind a proxy, and registers it with the proxy's address.
    pub fn start_behind_proxy(
        options: EngineOptions,
        store: &Store,
        record: &Arc<Record>,
    ) -> (Arc<Self>, Arc<Proxy>) {
        let engine = Self::start_unregistered(options, record);
        let proxy = Proxy::start(engine.own);
        engine.register(store, proxy.address);
        (engine, proxy)
    }

    fn start_unregistered(options: EngineOptions, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let own = listener.local_addr().expect("an address");
        let engine = Arc::new(Self { options, own, record: Arc::clone(record) });
        let shared = Arc::clone(&engine);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = Arc::clone(&shared);
                thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    fn register(&self, store: &Store, address: SocketAddr) {
        let EngineOptions { id, service, zone, slots, .. } = &self.options;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\
             \"sequence\":1,\"born\":1700000000000}}"
        );
        store.put("servers", id, &entry);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(message)) = http::read(&mut reader) {
            if self.answer(&message, &mut writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, message: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let id = &self.options.id;
        if message.word(1) == "/sesamewind/report" {
            let kind = [("Content-Type", "application/json")];
            return http::answer(writer, 200, &kind, b"{}");
        }
        let Some(request) = message.header("request-id") else {
            return http::answer(writer, 400, &[("Not-Executed", "1")], b"");
        };
        if message.header("expect-instance").is_some_and(|expected| expected != id) {
            return http::answer(writer, 421, &[("Instance-Id", id)], b"");
        }
        let tenant = message.header("tenant-name").unwrap_or("-");
        let service = &self.options.service;
        let text = format!("engine {id} of {service} for tenant {tenant}");
        self.record.run(request, service, &text);
        if self.options.events == 0 {
            thread::sleep(self.options.first);
            let head = [("Request-Id", request), ("Response-Seal", "s"), ("Instance-Id", id)];
            http::answer(writer, 200, &head, request.as_bytes())?;
        } else {
            // A request begins to run with its first token.
            thread::sleep(self.options.first);
            write!(
                writer,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {request}\r\n\
                 Response-Seal: s\r\nInstance-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n"
            )?;
            let after = message.header("last-event-id").and_then(|text| text.parse().ok());
            let next = after.unwrap_or(0) + 1;
            for event in next..=self.options.events {
                thread::sleep(if event == next { Duration::ZERO } else { self.options.delay });
                let text = format!("id: {event}\ndata: {request}-{event}\n\n");
                write!(writer, "{:x}\r\n{text}\r\n", text.len())?;
            }
            write!(writer, "0\r\n\r\n")?;
        }
        self.record.line(&format!("engine {id} has answered {request}"));
        Ok(())
    }
}
