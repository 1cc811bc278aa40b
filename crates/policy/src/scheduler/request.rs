//! State of one request in the scheduler.

use std::time::Duration;

use sesamewind_protocol::{Code, RunState, Time};

use crate::attempt::{Dispatching, NotRunProof, Queued, Received, Refusal, Sent, Streaming};
use crate::event::Arrival;
use crate::queue::Class;

/// Stage of an attempt; see [`crate::attempt`].
#[derive(Debug)]
pub(super) enum Stage {
    Received(Received),
    Queued(Queued),
    Dispatching(Dispatching, Box<InFlight>),
    Sent(Sent, Box<InFlight>),
    Streaming(Streaming, Box<InFlight>),
}

impl Stage {
    pub(super) fn in_flight(&self) -> Option<&InFlight> {
        match self {
            Self::Received(_) | Self::Queued(_) => None,
            Self::Dispatching(_, active) | Self::Sent(_, active) | Self::Streaming(_, active) => {
                Some(active)
            }
        }
    }

    pub(super) fn in_flight_mut(&mut self) -> Option<&mut InFlight> {
        match self {
            Self::Received(_) | Self::Queued(_) => None,
            Self::Dispatching(_, active) | Self::Sent(_, active) | Self::Streaming(_, active) => {
                Some(active)
            }
        }
    }

    /// Abandons the attempt. Only an attempt that was certainly not sent ends as "not run". The
    /// caller must deny a later write check of an abandoned attempt.
    pub(super) fn abandon(self, code: Code, retry_after: Option<Duration>) -> Refusal {
        match self {
            Self::Received(received) => received.end(code, RunState::Unknown, retry_after),
            Self::Queued(queued) => queued.refuse(code, retry_after),
            Self::Dispatching(dispatching, _) => {
                dispatching.withdraw(NotRunProof::write_denied()).refuse(code, retry_after)
            }
            Self::Sent(sent, _) => sent.end(code, retry_after),
            Self::Streaming(streaming, _) => streaming.end(code, retry_after),
        }
    }
}

/// A dispatch to a target.
#[derive(Debug)]
pub(super) struct InFlight {
    /// Index of the target.
    pub(super) target: usize,
    /// Time of the dispatch, replaced by the time of the write.
    pub(super) sent: Time,
    /// Prompt tokens to prefill, without those that are probably cached.
    pub(super) uncached: f64,
    /// Expected output tokens.
    pub(super) output: f64,
    /// Tokens to prefill up to the end of this prompt, including work queued before it.
    pub(super) work: f64,
    /// Certainty of `work`, from 0 to 1.
    pub(super) certainty: f64,
    /// Predicted time to the first token.
    pub(super) predicted: Duration,
    pub(super) produced: u32,
    pub(super) last_progress: Time,
    /// Number of streams at the target when this request last made progress.
    pub(super) streams: f64,
    pub(super) resumes: u32,
    /// Whether the connection counts as silent or broken.
    pub(super) silent: bool,
    /// Whether the present connection has been seen to work since the last token.
    pub(super) verified: bool,
    /// Factor on the progress timeout for a target that is slow rather than silent.
    pub(super) timeout_factor: u32,
    /// Multiple of the predicted time that the target's speed estimate already accounts for.
    pub(super) overdue_multiple: u32,
}

impl InFlight {
    /// Returns the prompt tokens that count as not prefilled.
    pub(super) fn prompt_left(&self) -> f64 {
        if self.produced == 0 { self.uncached } else { 0.0 }
    }

    /// Returns the output tokens that count as not generated.
    pub(super) fn output_left(&self) -> f64 {
        (self.output - f64::from(self.produced)).max(0.0)
    }

    /// Returns the work that would be lost by cancelling the request now, in tokens.
    pub(super) fn work_done(&self, prefill_speed: f64, now: Time) -> f64 {
        if self.produced > 0 {
            return self.uncached + f64::from(self.produced);
        }
        let queued_work = (self.work - self.uncached).max(0.0);
        let prefilled = now.since(self.sent).as_secs_f64() * prefill_speed - queued_work;
        prefilled.clamp(0.0, self.uncached)
    }
}

/// A request known to this instance and not ended.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) arrival: Arrival,
    /// Index of the service.
    pub(super) service: usize,
    pub(super) class: Class,
    pub(super) stage: Stage,
    pub(super) queued_at: Time,
    /// Target that refused the request last.
    pub(super) avoid: Option<usize>,
    pub(super) tries: u32,
    /// Time since which no caller waits for the answer.
    pub(super) orphaned_since: Option<Time>,
}

impl Request {
    /// Returns the tokens charged to the account.
    pub(super) fn cost(&self) -> u64 {
        u64::from(self.arrival.prompt_tokens) + u64::from(self.arrival.output_tokens)
    }

    /// Returns the time after which waiting in the queue is useless.
    pub(super) fn expires(&self) -> Time {
        self.arrival.first_token_by.min(self.arrival.deadline)
    }
}

/// Returns whether a refusal leaves the request's record free for another attempt.
pub(super) fn frees_record(refusal: &Refusal) -> bool {
    refusal.run() == RunState::NotRun
}
