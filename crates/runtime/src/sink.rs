//! A bounded writer of log lines that never blocks.
//!
//! Lines go to a thread of their own through a queue. If the reader of the output stops reading,
//! the queue fills and further lines are dropped and counted.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Lines that wait to be written; a few seconds of lines under heavy load.
const QUEUE_LINES: usize = 4_096;

/// Largest part of the queue that is written at once, in bytes.
const BATCH_BYTES: usize = 64 << 10;

/// Lines dropped because the queue was full or there were too many.
#[derive(Debug, Clone, Default)]
pub struct DroppedLines(Arc<AtomicU64>);

impl DroppedLines {
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
    queue: SyncSender<Entry>,
    dropped: DroppedLines,
}

/// What waits in the queue.
#[derive(Debug)]
enum Entry {
    /// A line.
    Line(Vec<u8>),
    /// Somebody waits until what came before is written.
    Flush(SyncSender<()>),
}

/// Waits for lines to be written, for the end of a process.
#[derive(Debug, Clone)]
pub struct Flusher(SyncSender<Entry>);

impl Flusher {
    /// Waits until all lines so far are written, at most for `limit`; false if that was too short.
    pub fn flush(&self, limit: Duration) -> bool {
        let (done, written) = sync_channel(1);
        self.0.try_send(Entry::Flush(done)).is_ok() && written.recv_timeout(limit).is_ok()
    }
}

impl Sink {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if no thread can be made.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<(Self, DroppedLines, Flusher)> {
        let (queue, lines) = sync_channel(QUEUE_LINES);
        let dropped = DroppedLines::default();
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&lines, output))?;
        let flusher = Flusher(queue.clone());
        Ok((Self { queue, dropped: dropped.clone() }, dropped, flusher))
    }
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.queue.try_send(Entry::Line(bytes.to_vec())).is_err() {
            self.dropped.add();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(entries: &Receiver<Entry>, mut output: impl Write) {
    while let Ok(first) = entries.recv() {
        let mut batch = Vec::new();
        let mut waiting = Vec::new();
        let mut next = Some(first);
        while let Some(entry) = next {
            match entry {
                Entry::Line(line) => batch.extend_from_slice(&line),
                Entry::Flush(done) => waiting.push(done),
            }
            next = if batch.len() < BATCH_BYTES { entries.try_recv().ok() } else { None };
        }
        // The output is the only place for reports, so a failure to write can't be told.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        for done in waiting {
            // Whoever waited may have given up.
            let _ = done.try_send(());
        }
    }
}
