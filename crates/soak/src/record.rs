//! Record of a run: requests, disturbances, acknowledged changes and breaches.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time after a disturbance from which time bounds hold again for an instance.
pub const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// What a disturbance affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// One instance or its links.
    Instance(usize),
    /// The store, for all instances.
    Store,
    /// Targets or their links.
    Targets,
}

/// Kind of a request, which decides its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A call that may run at most once.
    Pay,
    /// A call that may be repeated.
    Read,
    /// A stream that can resume on another target.
    Talk,
    /// A stream that may run at most once.
    OnceStream,
    /// A route that only the configuration of this version has.
    Marker(u64),
    /// A resumable stream on a route that changes remove.
    Moving,
    /// A call that may be repeated, with an API key that changes remove.
    Revocable,
}

impl RequestKind {
    /// Returns whether the request may run at most once.
    pub fn is_once(self) -> bool {
        matches!(self, Self::Pay | Self::OnceStream)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Talk | Self::OnceStream | Self::Moving)
    }

    /// Returns whether configurations of the run exist that refuse the request.
    pub fn is_optional(self) -> bool {
        matches!(self, Self::Marker(_) | Self::Moving | Self::Revocable)
    }

    /// Returns the path of the request.
    pub fn path(self) -> String {
        match self {
            Self::Pay => "/pay/x".to_owned(),
            Self::Read | Self::Revocable => "/read/x".to_owned(),
            Self::Talk => "/talk/x".to_owned(),
            Self::OnceStream => "/once-stream/x".to_owned(),
            Self::Marker(version) => format!("/n{version}/x"),
            Self::Moving => "/moving/x".to_owned(),
        }
    }
}

/// Outcome of a request for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer to its request.
    Complete,
    /// A status other than success, and whether the answer has a retry-after header.
    Status(u16, bool),
    /// An answer that was cut off.
    Incomplete,
    /// A successful answer that is not the one to this request, or has no seal.
    Wrong(String),
    /// No answer, for this reason.
    NoAnswer(String),
    /// The caller disconnected before the answer.
    CallerLeft,
    /// The connection ended with the answer to an earlier request, or that answer announced that no
    /// further request would be read.
    Closed,
}

/// A request as its caller saw it.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Id of the request.
    pub id: String,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Whether it was sent by the account with a limit.
    pub limited: bool,
    /// The instance, and its incarnation.
    pub instance: (usize, u32),
    /// When it was sent, or when the answer before it on its connection ended, if that was later.
    pub at: Instant,
    /// When its last byte was written.
    pub written: Instant,
    /// How long the caller waits for the answer.
    pub timeout: Duration,
    /// When it ended.
    pub ended: Instant,
    /// The outcome.
    pub outcome: Outcome,
}

/// An acknowledged change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The configuration of this version was written.
    Configured(u64),
    /// A configuration with this idle limit of connections in milliseconds was written.
    IdleLimit(u64),
    /// The entry of this target was marked as leaving.
    Leaving(String),
    /// The instance with this index was signalled to stop.
    Stopping(usize),
}

/// A connection that an instance closed while its caller left it idle, without having announced it
/// with the last answer.
#[derive(Debug, Clone)]
pub struct IdleClose {
    /// The instance, and its incarnation.
    pub instance: (usize, u32),
    /// Status of the last answer.
    pub status: u16,
    /// When the last answer ended.
    pub from: Instant,
    /// When the connection was closed.
    pub at: Instant,
}

/// A guarantee that was not kept.
#[derive(Debug, Clone)]
pub struct Breach {
    /// The guarantee.
    pub guarantee: &'static str,
    /// What was observed.
    pub seen: String,
}

/// Collects the events of a run.
#[derive(Debug, Default)]
pub struct Record {
    state: Mutex<Events>,
}

/// Events of a run.
#[derive(Debug, Default)]
pub struct Events {
    /// Requests that ended.
    pub sent: Vec<Sent>,
    /// Idle connections that instances closed.
    pub idle_closes: Vec<IdleClose>,
    /// Disturbances with their start and end; the end is none while they last.
    pub disturbances: Vec<(Scope, Instant, Option<Instant>)>,
    /// Acknowledged changes.
    pub changes: Vec<(Instant, Change)>,
    /// Breaches that were detected during the run.
    pub breaches: Vec<Breach>,
}

impl Record {
    /// Returns the events so far.
    pub fn events(&self) -> MutexGuard<'_, Events> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the start of a disturbance; returns its number for [`Record::end_disturbance`].
    pub fn begin_disturbance(&self, scope: Scope) -> usize {
        let mut events = self.events();
        events.disturbances.push((scope, Instant::now(), None));
        events.disturbances.len() - 1
    }

    /// Records the end of a disturbance.
    pub fn end_disturbance(&self, number: usize) {
        self.events().disturbances[number].2 = Some(Instant::now());
    }

    /// Records an acknowledged change.
    pub fn changed(&self, change: Change) {
        self.events().changes.push((Instant::now(), change));
    }

    /// Records a breach of a guarantee.
    pub fn breach(&self, guarantee: &'static str, seen: String) {
        self.events().breaches.push(Breach { guarantee, seen });
    }
}

impl Events {
    /// Returns whether nothing in `scopes` was disturbed from [`RECOVERY_TIME`] before `from` until
    /// `to`.
    pub fn is_undisturbed(&self, scopes: &[Scope], from: Instant, to: Instant) -> bool {
        !self.disturbances.iter().any(|(scope, begin, end)| {
            scopes.contains(scope)
                && *begin <= to
                && end.is_none_or(|end| end + RECOVERY_TIME >= from)
        })
    }
}
