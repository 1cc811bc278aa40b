//! The answer of a request, buffered while it arrives so that several readers can read all of it.
//!
//! One job writes an answer. The caller, a resend on this instance and a resend on a peer can read
//! it, each from the start and at its own speed. An answer ends exactly once, either complete or
//! with a [`Problem`], so a reader can always tell a broken answer from a complete one.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::problem::Problem;

/// Estimated memory overhead of one chunk, in bytes.
pub(crate) const CHUNK_OVERHEAD_BYTES: usize = 128;

/// The head of an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// HTTP status of the target's answer.
    pub status: u16,
    /// Media type of the target's answer.
    pub content: String,
}

/// How an answer ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Ending {
    /// The target sent its end marker.
    Complete,
    /// The answer is incomplete.
    Problem(Problem),
}

/// The part of an answer that a reader has not read yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The head, if it has arrived.
    pub head: Option<Head>,
    /// Chunks from the requested index on.
    pub chunks: Vec<Bytes>,
    /// The ending, if the answer has ended.
    pub ending: Option<Ending>,
}

#[derive(Debug, Default)]
struct State {
    head: Option<Head>,
    chunks: Vec<Bytes>,
    bytes: usize,
    ending: Option<Ending>,
}

/// An answer that is arriving, or that is kept after its end.
#[derive(Debug)]
pub struct Answer {
    state: Mutex<State>,
    changes: watch::Sender<u64>,
    readers: AtomicUsize,
}

impl Default for Answer {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            changes: watch::Sender::new(0),
            readers: AtomicUsize::new(0),
        }
    }
}

impl Answer {
    /// Sets the head unless it is already set.
    pub fn start(&self, head: Head) {
        self.update(|state| {
            state.head.get_or_insert(head);
        });
    }

    /// Appends a chunk. Chunks after the ending are dropped.
    pub fn push(&self, chunk: Bytes) {
        self.update(|state| {
            if state.ending.is_none() {
                state.bytes += chunk.len() + CHUNK_OVERHEAD_BYTES;
                state.chunks.push(chunk);
            }
        });
    }

    /// Ends the answer. Only the first ending counts.
    pub fn finish(&self, ending: Ending) {
        self.update(|state| {
            state.ending.get_or_insert(ending);
        });
    }

    /// Returns whether the answer has ended.
    pub fn is_finished(&self) -> bool {
        self.read(|state| state.ending.is_some())
    }

    /// Returns the bytes of the chunks, including their overhead.
    pub fn bytes(&self) -> usize {
        self.read(|state| state.bytes)
    }

    /// Returns the current number of readers.
    pub fn readers(&self) -> usize {
        self.readers.load(Ordering::Acquire)
    }

    /// Waits until the answer has no reader or has ended.
    pub async fn wait_for_no_reader(&self) {
        let mut changes = self.changes.subscribe();
        loop {
            if self.readers() == 0 || self.is_finished() {
                return;
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Waits until the answer has a reader or has ended.
    pub async fn wait_for_reader(&self) {
        let mut changes = self.changes.subscribe();
        loop {
            if self.readers() > 0 || self.is_finished() {
                return;
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns the part of the answer from chunk `from` on, without waiting.
    pub fn peek(&self, from: usize) -> Part {
        self.read(|state| Part {
            head: state.head.clone(),
            chunks: state.chunks.get(from..).unwrap_or_default().to_vec(),
            ending: state.ending.clone(),
        })
    }

    fn read<T>(&self, f: impl FnOnce(&State) -> T) -> T {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        f(&state)
    }

    fn update(&self, f: impl FnOnce(&mut State)) {
        {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            f(&mut state);
        }
        self.changes.send_modify(|version| *version += 1);
    }
}

/// Reads an answer from its start. Counts as one of the answer's readers until dropped.
#[derive(Debug)]
pub struct Reader {
    answer: Arc<Answer>,
    changes: watch::Receiver<u64>,
    next: usize,
}

impl Reader {
    /// Creates a reader at the start of `answer`.
    pub fn new(answer: Arc<Answer>) -> Self {
        answer.readers.fetch_add(1, Ordering::AcqRel);
        let changes = answer.changes.subscribe();
        Self { answer, changes, next: 0 }
    }

    /// Waits for the head and returns it.
    ///
    /// # Errors
    ///
    /// Returns the problem of an answer that ended without a head.
    pub async fn head(&mut self) -> Result<Head, Problem> {
        loop {
            let part = self.answer.peek(self.next);
            if let Some(head) = part.head {
                return Ok(head);
            }
            if let Some(Ending::Problem(problem)) = part.ending {
                return Err(problem);
            }
            self.wait_for_change().await;
        }
    }

    /// Waits for further chunks and returns them. An empty list means that the answer is complete.
    ///
    /// # Errors
    ///
    /// Returns the problem that ended the answer, once all of its chunks were read.
    pub async fn chunks(&mut self) -> Result<Vec<Bytes>, Problem> {
        loop {
            let part = self.answer.peek(self.next);
            if !part.chunks.is_empty() {
                self.next += part.chunks.len();
                return Ok(part.chunks);
            }
            match part.ending {
                Some(Ending::Complete) => return Ok(Vec::new()),
                Some(Ending::Problem(problem)) => return Err(problem),
                None => self.wait_for_change().await,
            }
        }
    }

    /// Waits until chunk `from` has arrived or the answer has ended.
    pub async fn wait_past(&mut self, from: usize) {
        loop {
            let part = self.answer.peek(from);
            if !part.chunks.is_empty() || part.ending.is_some() {
                return;
            }
            self.wait_for_change().await;
        }
    }

    async fn wait_for_change(&mut self) {
        // The sender is part of the answer, which this reader keeps alive, so `changed` does not
        // fail.
        let _ = self.changes.changed().await;
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.answer.readers.fetch_sub(1, Ordering::AcqRel);
        self.answer.changes.send_modify(|version| *version += 1);
    }
}
