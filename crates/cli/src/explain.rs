//! Collects the log lines of one request, over all instances.

use std::fmt::Write as _;
use std::io::BufRead;

use serde::Serialize;
use serde_json::{Map, Value};

/// Members that all log lines share; [`TraceEvent::fields`] holds the other ones.
const COMMON: [&str; 7] = ["time", "level", "instance", "module", "message", "event", "request"];

/// One log line of a request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TraceEvent {
    /// When the line was written, by the instance's clock.
    pub time: String,
    /// The instance that wrote it.
    pub instance: String,
    /// Name of the event.
    pub event: String,
    /// The other members of the line, such as the outcome.
    pub fields: Map<String, Value>,
}

/// The log lines of one request.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RequestTrace {
    /// The request.
    pub request: String,
    /// The events, in order of time once they are sorted.
    #[serde(rename = "moments")]
    pub events: Vec<TraceEvent>,
}

impl RequestTrace {
    /// Creates a trace without events.
    pub fn new(request: &str) -> Self {
        Self { request: request.to_owned(), events: Vec::new() }
    }

    /// Adds the lines of `input` that belong to the request and ignores all others. A log line may
    /// follow other text, such as a prefix with the instance's name.
    ///
    /// # Errors
    ///
    /// Returns an error if reading `input` fails.
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

    /// Sorts the events by time. Clocks of instances differ, so only the order of events of one
    /// instance is reliable.
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

    /// Formats the trace as text.
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
