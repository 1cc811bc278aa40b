//! A non-blocking writer of log lines with a bounded queue.
//!
//! A dedicated thread writes the queued lines to the output. If the reader of the output stops
//! reading, the queue fills up, and further lines are dropped and counted.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Capacity of the queue, in lines: a few seconds of lines under heavy load.
const QUEUE_LINES: usize = 4_096;

/// Size at which a batch is written without adding further lines, in bytes.
const BATCH_BYTES: usize = 64 << 10;

/// Counter of lines dropped because the queue was full or the rate limit was exceeded.
#[derive(Debug, Clone, Default)]
pub struct DroppedLines(Arc<AtomicU64>);

impl DroppedLines {
    /// Counts a dropped line.
    pub fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of lines dropped since the last call, and resets it.
    pub fn take(&self) -> u64 {
        self.0.swap(0, Ordering::Relaxed)
    }
}

/// A writer that queues its lines for the thread that writes to the output.
#[derive(Debug)]
pub struct Sink {
    queue: SyncSender<Entry>,
    dropped: DroppedLines,
}

/// An entry of the queue.
#[derive(Debug)]
enum Entry {
    /// A line to write.
    Line(Vec<u8>),
    /// A request for a notification once all earlier entries are written.
    Flush(SyncSender<()>),
}

/// Waits for queued lines to be written, before a process exits.
#[derive(Debug, Clone)]
pub struct Flusher(SyncSender<Entry>);

impl Flusher {
    /// Waits until all lines queued so far are written.
    ///
    /// Returns `false` if the queue is full or the timeout expires first.
    pub fn flush(&self, timeout: Duration) -> bool {
        let (flushed, written) = sync_channel(1);
        self.0.try_send(Entry::Flush(flushed)).is_ok() && written.recv_timeout(timeout).is_ok()
    }
}

impl Sink {
    /// Starts the thread that writes to `output`.
    ///
    /// Returns the sink, the counter of its dropped lines and the flusher of its queue.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the thread can't be spawned.
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
        let mut waiters = Vec::new();
        let mut next = Some(first);
        while let Some(entry) = next {
            match entry {
                Entry::Line(line) => batch.extend_from_slice(&line),
                Entry::Flush(flushed) => waiters.push(flushed),
            }
            next = if batch.len() < BATCH_BYTES { entries.try_recv().ok() } else { None };
        }
        // A failed write can't be reported, since the output is the only place for reports.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        for flushed in waiters {
            // The waiter may have timed out.
            let _ = flushed.try_send(());
        }
    }
}
