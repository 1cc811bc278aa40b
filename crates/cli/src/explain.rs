//! Collects a request's trace from log lines.

use std::fmt::Write as _;
use std::io::BufRead;

use serde::Serialize;
use serde_json::{Map, Value};

/// Members that every line has, and that the trace shows in a place of their own.
const COMMON: [&str; 7] = ["time", "level", "instance", "module", "message", "event", "request"];

/// One line of a trace.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TraceEvent {
    /// When it was written, by the instance's clock.
    pub time: String,
    /// The instance.
    pub instance: String,
    /// What happened.
    pub event: String,
    /// What was decided by, and the outcome.
    pub fields: Map<String, Value>,
}

/// A request's trace.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RequestTrace {
    /// The request.
    pub request: String,
    /// What happened, in order.
    #[serde(rename = "moments")]
    pub events: Vec<TraceEvent>,
}

impl RequestTrace {
    /// A trace without events.
    pub fn new(request: &str) -> Self {
        Self { request: request.to_owned(), events: Vec::new() }
    }

    /// Takes the lines of `input` that concern the request. Lines that are no log lines are passed
    /// over; a log line may stand behind other text.
    ///
    /// # Errors
    ///
    /// Returns the error of reading.
    pub fn read(&mut self, input: impl BufRead) -> std::io::Result<()> {
        for line in input.split(b'\n') {
            let line = String::from_utf8_lossy(&line?).into_owned();
            let Some(start) = line.find('{') else { continue };
            if !line.contains(&self.request) {
                continue;
            }
            if let Ok(Value::Object(object)) = serde_json::from_str(&line[start..]) {
                self.add(object);
            }
        }
        Ok(())
    }

    /// Puts the events in order. Clocks of instances differ, so the order is sure only within one.
    pub fn sort(&mut self) {
        self.events.sort_by(|a, b| a.time.cmp(&b.time));
    }

    fn add(&mut self, mut object: Map<String, Value>) {
        if object.get("request").and_then(Value::as_str) != Some(&self.request) {
            return;
        }
        let text = |name: &str| object.get(name).and_then(Value::as_str).unwrap_or("").to_owned();
        let (time, instance, event) = (text("time"), text("instance"), text("event"));
        object.retain(|name, _| !COMMON.contains(&name.as_str()));
        self.events.push(TraceEvent { time, instance, event, fields: object });
    }

    /// The trace as text.
    pub fn text(&self) -> String {
        let mut text = format!("request {}\n", self.request);
        for TraceEvent { time, instance, event, fields } in &self.events {
            let _ = write!(text, "{time}  {instance}  {event}");
            for (name, value) in fields {
                match value {
                    Value::String(value) => _ = write!(text, "  {name}={value}"),
                    value => _ = write!(text, "  {name}={value}"),
                }
            }
            text.push('\n');
        }
        text
    }
}
