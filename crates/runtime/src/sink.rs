//! A bounded writer of log lines that never blocks.
//!
//! Lines go to a thread of their own through a queue. If the reader of the output stops reading,
//! the queue fills and further lines are dropped and counted.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

/// Lines that wait to be written; a few seconds of lines under heavy load.
const QUEUE_LINES: usize = 4_096;

/// Largest part of the queue that is written at once, in bytes.
const BATCH_BYTES: usize = 64 << 10;

/// Lines dropped because the queue was full or there were too many.
#[derive(Debug, Clone, Default)]
pub struct Dropped(Arc<AtomicU64>);

impl Dropped {
    /// Counts a dropped line.
    pub fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Lines dropped since the last call.
    pub fn take(&self) -> u64 {
        self.0.swap(0, Ordering::Relaxed)
    }
}

/// A writer whose bytes a thread passes on to the output.
#[derive(Debug)]
pub struct Sink {
    queue: SyncSender<Vec<u8>>,
    dropped: Dropped,
}

impl Sink {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if no thread can be made.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<(Self, Dropped)> {
        let (queue, lines) = sync_channel(QUEUE_LINES);
        let dropped = Dropped::default();
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&lines, output))?;
        Ok((Self { queue, dropped: dropped.clone() }, dropped))
    }
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.queue.try_send(bytes.to_vec()).is_err() {
            self.dropped.add();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(lines: &Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(mut batch) = lines.recv() {
        while batch.len() < BATCH_BYTES {
            let Ok(line) = lines.try_recv() else { break };
            batch.extend_from_slice(&line);
        }
        // The output is the only place for reports, so a failure to write can't be told.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
    }
}
