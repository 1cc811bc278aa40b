//! What callers received for each attempt.

use std::time::Duration;

use sesamewind_protocol::{RunState, WallTime};

/// Result of a caller's attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The complete and correct answer.
    Whole,
    /// An answer that was marked complete but is not the answer to the request.
    Wrong,
    /// A refusal or failure that was reported to the caller.
    Refused(Refusal),
    /// No answer, or an answer that ended early without an error.
    Lost,
}

/// A refusal or failure that was reported to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status; zero if none was given.
    pub status: u16,
    /// Number of the result code; zero if none was given.
    pub code: u16,
    /// Reported state of the request: whether it ran.
    pub run: RunState,
}

/// What a caller received for one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received {
    /// Index of the attempt in the trace.
    pub entry: usize,
    /// Index of the last instance that the attempt was sent to.
    pub instance: usize,
    /// When the caller sent the attempt.
    pub sent: WallTime,
    /// When the answer was complete, or the caller timed out.
    pub ended: WallTime,
    /// Time from sending to the first token.
    pub first_token: Option<Duration>,
    /// Time from sending to the end of the answer.
    pub total: Duration,
    /// The result.
    pub answer: Answer,
}
