//! What a script writes down, and its clock.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Lines with the time since the start of the script; shared by all of its parts.
#[derive(Debug, Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the record in a file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { start: Instant::now(), file })
    }

    /// Returns the milliseconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1_000.0
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:10.1} ms  {text}\n", self.now());
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}
