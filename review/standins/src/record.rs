//! The record of a case: what was sent, answered and run.

use std::collections::HashMap;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A run of a request at an engine.
#[derive(Debug, Clone)]
pub struct Run {
    /// When it began.
    pub at: Duration,
    /// Service of the engine.
    pub service: String,
}

/// What has happened so far.
#[derive(Debug)]
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
    runs: Mutex<HashMap<String, Vec<Run>>>,
}

impl Record {
    /// Creates an empty record that starts now.
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Mutex::default(), runs: Mutex::default() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Adds a line with the present time.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}", self.now().as_secs_f64());
        self.lines.lock().expect("no panic").push(line);
    }

    /// Adds a line that is shown as well.
    pub fn note(&self, text: &str) {
        println!("{:8.3} s  {text}", self.now().as_secs_f64());
        self.line(text);
    }

    /// Records that `request` runs at an engine of `service`.
    pub fn run(&self, request: &str, service: &str, text: &str) {
        let run = Run { at: self.now(), service: service.to_owned() };
        self.runs.lock().expect("no panic").entry(request.to_owned()).or_default().push(run);
        self.line(&format!("{request} runs at {text}"));
    }

    /// Returns the runs of a request.
    pub fn runs(&self, request: &str) -> Vec<Run> {
        self.runs.lock().expect("no panic").get(request).cloned().unwrap_or_default()
    }

    /// Writes the record to a file.
    pub fn write(&self, path: &Path) {
        let lines = self.lines.lock().expect("no panic");
        if let Err(err) = std::fs::write(path, lines.join("\n") + "\n") {
            eprintln!("{}: {err}", path.display());
        }
    }
}
