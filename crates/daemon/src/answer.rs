//! A request's answer as it arrives, kept so that several readers can have the whole of it.
//!
//! One job writes an answer; the caller, a resend on this instance and a resend on a peer read it,
//! each from the start and at its own pace. An answer ends exactly once: complete, or with a
//! [`Problem`]. Readers never take a broken answer for a whole one.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::problem::Problem;

/// Bookkeeping of one chunk, in bytes.
const CHUNK_OVERHEAD_BYTES: usize = 128;

/// The head of an answer: what precedes its first chunk.
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
    /// The target's own end marker came.
    Complete,
    /// The answer is not whole.
    Problem(Problem),
}

/// What a reader has not seen yet of an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The head, once known.
    pub head: Option<Head>,
    /// Chunks from the asked position on.
    pub chunks: Vec<Bytes>,
    /// The ending, once known.
    pub ending: Option<Ending>,
}

#[derive(Debug, Default)]
struct State {
    head: Option<Head>,
    chunks: Vec<Bytes>,
    bytes: usize,
    ending: Option<Ending>,
}

/// An answer under way or kept.
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
    /// Sets the head unless it is known already.
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

    /// Whether the answer has ended.
    pub fn is_finished(&self) -> bool {
        self.read(|state| state.ending.is_some())
    }

    /// Bytes that the chunks take, their bookkeeping included.
    pub fn bytes(&self) -> usize {
        self.read(|state| state.bytes)
    }

    /// Readers at present.
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

    /// What lies at and after chunk `from`, at once.
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

/// Reads an answer from its start; counts as one of its readers until dropped.
#[derive(Debug)]
pub struct Reader {
    answer: Arc<Answer>,
    changes: watch::Receiver<u64>,
    next: usize,
}

impl Reader {
    /// Starts to read `answer`.
    pub fn new(answer: Arc<Answer>) -> Self {
        answer.readers.fetch_add(1, Ordering::AcqRel);
        let changes = answer.changes.subscribe();
        Self { answer, changes, next: 0 }
    }

    /// Waits for the head.
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

    /// Waits for chunks after those read so far. An empty list means that the answer has ended.
    ///
    /// # Errors
    ///
    /// Returns the problem that ended the answer, after all of its chunks were read.
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

    /// Waits until there is something at or after chunk `from`, or the answer has ended.
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
        // The sender lives in the answer, which this reader keeps alive.
        let _ = self.changes.changed().await;
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.answer.readers.fetch_sub(1, Ordering::AcqRel);
        self.answer.changes.send_modify(|version| *version += 1);
    }
}
