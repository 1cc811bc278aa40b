//! Life cycle of an attempt, as types.
//!
//! [`Received`] becomes [`Claimed`], [`Queued`], [`Dispatching`], [`Sent`], [`Streaming`]. A refusal
//! that says "not run" takes the state by value and exists only for states between claim and
//! dispatch, or with a [`NotRunProof`] proof that no dispatch came about. No state can be built outside
//! this package.

use std::time::Duration;

use sesamewind_protocol::{Code, RunState};

use crate::event::Ticket;

/// The final answer to an attempt that gets no whole answer of a target.
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

    /// The numbered result.
    pub fn code(&self) -> Code {
        self.code
    }

    /// What is known of the request's execution.
    pub fn run(&self) -> RunState {
        self.run
    }

    /// When sending again may help.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

/// Proves that not a byte of the request was sent, or that the target refused before running.
#[derive(Debug)]
pub struct NotRunProof(());

impl NotRunProof {
    /// The write check was answered "no": nothing was written.
    pub(crate) fn write_denied() -> Self {
        Self(())
    }

    /// The daemon reported that the target refused before running, or that nothing was sent.
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
    /// The request was read; another attempt of it may have run.
    Received
}
state! {
    /// The request's record is held here.
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

    /// This instance holds the request's record, so no attempt ran and no other can.
    pub(crate) fn claim(self) -> Claimed {
        Claimed { ticket: self.ticket }
    }

    /// Ends an attempt while another attempt of the request may have run. "Not run" is never taken
    /// over from elsewhere.
    pub fn end(self, code: Code, run: RunState, retry_after: Option<Duration>) -> Refusal {
        let run = if run == RunState::NotRun { RunState::Unknown } else { run };
        Refusal { ticket: self.ticket, code, run, retry_after }
    }
}

impl Claimed {
    /// The request may wait for a target.
    pub fn enqueue(self) -> Queued {
        Queued { ticket: self.ticket }
    }

    /// Refuses the request before anything ran.
    pub fn refuse(self, code: Code, retry_after: Option<Duration>) -> Refusal {
        Refusal { ticket: self.ticket, code, run: RunState::NotRun, retry_after }
    }
}

impl Queued {
    /// A target was chosen.
    pub fn dispatch(self) -> Dispatching {
        Dispatching { ticket: self.ticket }
    }

    /// Refuses the attempt before anything ran.
    pub fn refuse(self, code: Code, retry_after: Option<Duration>) -> Refusal {
        Refusal { ticket: self.ticket, code, run: RunState::NotRun, retry_after }
    }
}

impl Dispatching {
    /// The bytes may be written now.
    pub fn send(self) -> Sent {
        Sent { ticket: self.ticket }
    }

    /// Nothing was written; the request waits again.
    pub fn withdraw(self, _proof: NotRunProof) -> Queued {
        Queued { ticket: self.ticket }
    }

    /// Ends the attempt when it isn't known whether bytes were written.
    pub fn end(self, code: Code) -> Refusal {
        Refusal { ticket: self.ticket, code, run: RunState::Unknown, retry_after: None }
    }
}

impl Sent {
    /// The target accepted the request.
    pub fn accept(self) -> Streaming {
        Streaming { ticket: self.ticket }
    }

    /// Nothing ran; the request waits again.
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
