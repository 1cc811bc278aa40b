//! What happened in a run: requests, disturbances, and acknowledged changes.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time without disturbance after which bounds in time hold again for an instance.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);

/// What a disturbance concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// One instance or its links.
    Instance(usize),
    /// The store, for all instances.
    Store,
    /// Targets or their links.
    Targets,
}

/// What a request asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ask {
    /// A call that may run once.
    Pay,
    /// A call that may be repeated.
    Read,
    /// A stream that can go on elsewhere.
    Talk,
    /// A stream that may run once.
    OnceStream,
    /// A route that only the configuration of this version has.
    Marker(u64),
}

impl Ask {
    /// Whether at most one run is allowed.
    pub fn is_once(self) -> bool {
        matches!(self, Self::Pay | Self::OnceStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Talk | Self::OnceStream)
    }

    /// Path of the request.
    pub fn path(self) -> String {
        match self {
            Self::Pay => "/pay/x".to_owned(),
            Self::Read => "/read/x".to_owned(),
            Self::Talk => "/talk/x".to_owned(),
            Self::OnceStream => "/once-stream/x".to_owned(),
            Self::Marker(version) => format!("/n{version}/x"),
        }
    }
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Got {
    /// The whole answer to its request.
    Whole,
    /// Another status than success, and whether it was told when to come back.
    Status(u16, bool),
    /// An answer that is visibly incomplete.
    Incomplete,
    /// A success that is not the answer to its request.
    Wrong(String),
    /// No answer.
    Nothing(String),
    /// The caller left before the answer.
    Left,
}

/// A request as its caller saw it.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Identity.
    pub id: String,
    /// What it asked for.
    pub ask: Ask,
    /// Whether it is of the account with a limit.
    pub limited: bool,
    /// The instance, and its life.
    pub instance: (usize, u32),
    /// When it was sent.
    pub at: Instant,
    /// How long its caller waits.
    pub patience: Duration,
    /// When it ended.
    pub ended: Instant,
    /// What the caller got.
    pub got: Got,
}

/// An acknowledged change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The configuration of this version.
    Configured(u64),
    /// A target leaves.
    Leaving(String),
    /// An instance was asked to stop.
    Stopping(usize),
}

/// A promise that was not kept.
#[derive(Debug, Clone)]
pub struct Breach {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
}

/// Everything that happened.
#[derive(Debug, Default)]
pub struct Record {
    state: Mutex<Events>,
}

/// Events of a run.
#[derive(Debug, Default)]
pub struct Events {
    /// Requests that ended.
    pub sent: Vec<Sent>,
    /// Disturbances with their begin and end.
    pub disturbances: Vec<(Scope, Instant, Option<Instant>)>,
    /// Acknowledged changes.
    pub changes: Vec<(Instant, Change)>,
    /// Breaches that were seen at once.
    pub breaches: Vec<Breach>,
}

impl Record {
    /// The events so far.
    pub fn events(&self) -> MutexGuard<'_, Events> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A disturbance begins; returns its number for [`Record::calm`].
    pub fn disturb(&self, scope: Scope) -> usize {
        let mut events = self.events();
        events.disturbances.push((scope, Instant::now(), None));
        events.disturbances.len() - 1
    }

    /// A disturbance ends.
    pub fn calm(&self, number: usize) {
        self.events().disturbances[number].2 = Some(Instant::now());
    }

    /// A change is acknowledged.
    pub fn changed(&self, change: Change) {
        self.events().changes.push((Instant::now(), change));
    }

    /// A promise was seen to be broken.
    pub fn breach(&self, promise: &'static str, seen: String) {
        self.events().breaches.push(Breach { promise, seen });
    }
}

impl Events {
    /// Whether nothing in `scopes` was disturbed from [`CONTACT_TIME`] before `from` until `to`.
    pub fn is_calm(&self, scopes: &[Scope], from: Instant, to: Instant) -> bool {
        !self.disturbances.iter().any(|(scope, begin, end)| {
            scopes.contains(scope)
                && *begin <= to
                && end.is_none_or(|end| end + CONTACT_TIME >= from)
        })
    }
}
