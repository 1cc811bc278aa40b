//! What callers received.

use std::time::Duration;

use sesamewind_protocol::{RunState, WallTime};

/// How a caller's attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The whole answer to the request.
    Whole,
    /// An answer that claims to be whole and is not the answer to the request.
    Wrong,
    /// A numbered refusal or failure.
    Refused(Refusal),
    /// The answer broke off, or nothing came.
    Lost,
}

/// A numbered refusal or failure.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Number of the result code; zero if none was given.
    pub code: u16,
    /// What is said of the request's run.
    pub run: RunState,
}

/// What a caller received for one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received {
    /// Index of the attempt in the trace.
    pub entry: usize,
    /// Index of the instance that it was sent to last.
    pub instance: usize,
    /// When the caller sent it.
    pub sent: WallTime,
    /// When the answer had come, or the caller gave up.
    pub ended: WallTime,
    /// Time from sending to the first token.
    pub first_token: Option<Duration>,
    /// Time from sending to the end.
    pub total: Duration,
    /// How it ended.
    pub answer: Answer,
}
