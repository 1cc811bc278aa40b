//! Life cycle of an attempt as types.
//!
//! An attempt passes through [`Received`], [`Claimed`], [`Queued`], [`Dispatching`], [`Sent`] and
//! [`Streaming`]. A refusal with the run state "not run" consumes the state. It exists only for
//! states between claim and dispatch, or with a [`NotRunProof`] that no target ran the request.
//! States can't be created outside this package.

use std::time::Duration;

use sesamewind_protocol::{Code, RunState};

use crate::event::Ticket;

/// Final answer to an attempt without a complete answer of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    ticket: Ticket,
    code: Code,
    run: RunState,
    retry_after: Option<Duration>,
}

impl Refusal {
    /// The attempt.
    pub fn ticket(&self) -> Ticket {
        self.ticket
    }

    /// The result code.
    pub fn code(&self) -> Code {
        self.code
    }

    /// What is known about the request's execution.
    pub fn run(&self) -> RunState {
        self.run
    }

    /// Time after which a retry may succeed, if known.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

/// Proof that no target ran the request: no byte of it was sent, or the target refused it before
/// running it.
#[derive(Debug)]
pub struct NotRunProof(());

impl NotRunProof {
    /// Creates the proof after the write check was denied, so nothing was written.
    pub(crate) fn write_denied() -> Self {
        Self(())
    }

    /// Creates the proof after the daemon reported that the target refused before running, or that
    /// nothing was sent.
    pub(crate) fn reported() -> Self {
        Self(())
    }
}

macro_rules! state {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug)]
        pub struct $name {
            ticket: Ticket,
        }
    };
}

state! {
    /// The request was received. Another attempt of it may have run.
    Received
}
state! {
    /// This instance holds the request's record.
    Claimed
}
state! {
    /// The request waits for a target.
    Queued
}
state! {
    /// A target was chosen and no byte was written.
    Dispatching
}
state! {
    /// Bytes may have reached the target.
    Sent
}
state! {
    /// The target accepted the request.
    Streaming
}

impl Received {
    pub(crate) fn new(ticket: Ticket) -> Self {
        Self { ticket }
    }

    /// Marks the request's record as held by this instance, so that no attempt ran and no other
    /// can.
    pub(crate) fn claim(self) -> Claimed {
        Claimed { ticket: self.ticket }
    }

    /// Ends an attempt while another attempt of the request may have run. "Not run" is never
    /// adopted from another attempt or instance.
    pub fn end(self, code: Code, run: RunState, retry_after: Option<Duration>) -> Refusal {
        let run = if run == RunState::NotRun { RunState::Unknown } else { run };
        Refusal { ticket: self.ticket, code, run, retry_after }
    }
}

impl Claimed {
    /// Lets the request wait for a target.
    pub fn enqueue(self) -> Queued {
        Queued { ticket: self.ticket }
    }

    /// Refuses the request before anything ran.
    pub fn refuse(self, code: Code, retry_after: Option<Duration>) -> Refusal {
        Refusal { ticket: self.ticket, code, run: RunState::NotRun, retry_after }
    }
}

impl Queued {
    /// Dispatches the attempt to a selected target.
    pub fn dispatch(self) -> Dispatching {
        Dispatching { ticket: self.ticket }
    }

    /// Refuses the attempt before anything ran.
    pub fn refuse(self, code: Code, retry_after: Option<Duration>) -> Refusal {
        Refusal { ticket: self.ticket, code, run: RunState::NotRun, retry_after }
    }
}

impl Dispatching {
    /// Allows the bytes to be written.
    pub fn send(self) -> Sent {
        Sent { ticket: self.ticket }
    }

    /// Queues the request again after nothing was written.
    pub fn withdraw(self, _proof: NotRunProof) -> Queued {
        Queued { ticket: self.ticket }
    }

    /// Ends the attempt while it is unknown whether bytes were written.
    pub fn end(self, code: Code) -> Refusal {
        Refusal { ticket: self.ticket, code, run: RunState::Unknown, retry_after: None }
    }
}

impl Sent {
    /// Marks the request as accepted by the target.
    pub fn accept(self) -> Streaming {
        Streaming { ticket: self.ticket }
    }

    /// Queues the request again after the target did not run it.
    pub fn withdraw(self, _proof: NotRunProof) -> Queued {
        Queued { ticket: self.ticket }
    }

    /// Ends the attempt with an unknown outcome.
    pub fn end(self, code: Code, retry_after: Option<Duration>) -> Refusal {
        Refusal { ticket: self.ticket, code, run: RunState::Unknown, retry_after }
    }

    /// Ends the attempt after the target answered with a failure.
    pub fn fail(self, code: Code) -> Refusal {
        Refusal { ticket: self.ticket, code, run: RunState::Ran, retry_after: None }
    }
}

impl Streaming {
    /// Ends the attempt with an unknown outcome.
    pub fn end(self, code: Code, retry_after: Option<Duration>) -> Refusal {
        Refusal { ticket: self.ticket, code, run: RunState::Unknown, retry_after }
    }

    /// Ends the attempt after the target answered with a failure.
    pub fn fail(self, code: Code) -> Refusal {
        Refusal { ticket: self.ticket, code, run: RunState::Ran, retry_after: None }
    }
}
