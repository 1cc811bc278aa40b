//! State of a connection: what it is used for, since when, and whether it is in use.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Usage {
    /// All answers have ended, and no byte of a further request has been read.
    Idle,
    /// Part of a request's head has been read.
    Head,
    /// A request is being read or answered.
    Request,
    /// The last answer has ended. No further request is read.
    Closing,
}

impl Usage {
    /// Returns the usage as written in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Request => "request",
            Self::Closing => "closing",
        }
    }
}

/// The side that ends a connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The caller's request said so.
    Caller,
    /// The answer says so.
    Answer,
}

/// State of the caller's side of a connection, as far as the socket has reported it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerSide {
    /// Neither an end nor an error was reported.
    Open,
    /// The caller closed the connection or shut down its sending side.
    Ended,
    /// The connection was reset.
    Reset,
    /// The socket failed in another way.
    Failed,
}

impl CallerSide {
    /// Returns the side for an error of the socket.
    fn of_error(err: &io::Error) -> Self {
        match err.kind() {
            io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::BrokenPipe => Self::Reset,
            _ => Self::Failed,
        }
    }

    /// Returns the side as written in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Ended => "ended",
            Self::Reset => "reset",
            Self::Failed => "failed",
        }
    }
}

/// Time for which a socket has taken no more bytes.
#[derive(Debug, Clone, Copy)]
struct BlockedTime {
    /// Time until the last check.
    waited: Duration,
    checked: Instant,
}

/// State of a connection, shared by its parts.
#[derive(Debug)]
pub struct Activity {
    usage: Cell<Usage>,
    since: Cell<Instant>,
    opened: Instant,
    served: Cell<u64>,
    head_bytes: Cell<usize>,
    /// For how long the socket has taken no more bytes of an answer; none if it does.
    blocked: Cell<Option<BlockedTime>>,
    /// Whether the body of the current request was read to its end.
    body_ended: Cell<bool>,
    /// Which side said that no request follows the current one.
    last: Cell<Option<Side>>,
    /// Idle time that the last answer has announced; zero if it has announced none.
    kept: Cell<Duration>,
    caller_side: Cell<CallerSide>,
    /// Bytes that were written to the socket since the head of the last request was read.
    written: Cell<u64>,
    /// Identity of the last request; empty if its head has none.
    request: RefCell<String>,
    /// Whether only the end of the connection ends the current answer.
    unframed: Cell<bool>,
    in_use: UseCount,
    counted: Cell<bool>,
}

/// Number of connections that are in use: part of a request was read whose answer is not written
/// yet.
#[derive(Debug, Clone, Default)]
pub struct UseCount(Rc<Cell<usize>>);

impl UseCount {
    /// Returns the number of connections in use.
    pub fn get(&self) -> usize {
        self.0.get()
    }
}

impl Drop for Activity {
    fn drop(&mut self) {
        self.set_counted(false);
    }
}

impl Activity {
    /// Creates the state of a connection that was opened at `now` and is counted in `in_use`.
    pub fn new(in_use: UseCount, now: Instant) -> Self {
        Self {
            usage: Cell::new(Usage::Idle),
            since: Cell::new(now),
            opened: now,
            served: Cell::new(0),
            head_bytes: Cell::new(0),
            blocked: Cell::new(None),
            body_ended: Cell::new(false),
            last: Cell::new(None),
            kept: Cell::new(Duration::ZERO),
            caller_side: Cell::new(CallerSide::Open),
            written: Cell::new(0),
            request: RefCell::default(),
            unframed: Cell::new(false),
            in_use,
            counted: Cell::new(false),
        }
    }

    /// Returns what the connection is used for, and since when.
    pub fn usage(&self) -> (Usage, Instant) {
        (self.usage.get(), self.since.get())
    }

    /// Returns when the connection was opened.
    pub fn opened(&self) -> Instant {
        self.opened
    }

    /// Returns the number of requests whose answers have ended.
    pub fn served(&self) -> u64 {
        self.served.get()
    }

    /// Returns the number of bytes that were read since the last answer, without a request.
    pub fn head_bytes(&self) -> usize {
        self.head_bytes.get()
    }

    /// Returns whether bytes of an answer wait for the socket.
    pub fn is_blocked(&self) -> bool {
        self.blocked.get().is_some()
    }

    /// Returns for how long bytes of an answer have waited for the socket; none if they don't. Of the
    /// time since the last call, `most` counts at most: the process may have been suspended.
    pub fn blocked_time(&self, most: Duration, now: Instant) -> Option<Duration> {
        let before = self.blocked.get()?;
        let waited = before.waited + now.duration_since(before.checked).min(most);
        self.blocked.set(Some(BlockedTime { waited, checked: now.max(before.checked) }));
        Some(waited)
    }

    /// Records that the head of a request was read; `last` tells whether its caller sends no other.
    pub fn request_started(&self, last: bool, now: Instant) {
        self.enter(Usage::Request, now);
        self.head_bytes.set(0);
        self.body_ended.set(false);
        self.last.set(last.then_some(Side::Caller));
        self.written.set(0);
        self.request.borrow_mut().clear();
        self.unframed.set(false);
    }

    /// Records the identity of the current request, for the log.
    pub fn identify(&self, request: &str) {
        request.clone_into(&mut self.request.borrow_mut());
    }

    /// Returns the identity of the last request; empty if it has none.
    pub fn request(&self) -> String {
        self.request.borrow().clone()
    }

    /// Returns the number of bytes that were written to the socket since the head of the last
    /// request was read.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Records that `bytes` were written to the socket.
    pub(crate) fn bytes_written(&self, bytes: usize) {
        self.written.set(self.written.get() + bytes as u64);
    }

    /// Returns what is known of the caller's side.
    pub fn caller_side(&self) -> CallerSide {
        self.caller_side.get()
    }

    /// Records that the caller sends nothing more.
    pub(crate) fn caller_ended(&self) {
        if self.caller_side.get() == CallerSide::Open {
            self.caller_side.set(CallerSide::Ended);
        }
    }

    /// Records that the socket failed.
    pub(crate) fn socket_failed(&self, err: &io::Error) {
        self.caller_side.set(CallerSide::of_error(err));
    }

    /// Records that only the end of the connection ends the current answer.
    pub(crate) fn set_unframed(&self) {
        self.unframed.set(true);
    }

    /// Returns whether an orderly end of the connection would make an incomplete answer look
    /// complete.
    pub(crate) fn must_reset(&self) -> bool {
        let is_incomplete = self.usage.get() == Usage::Request || self.is_blocked();
        self.unframed.get() && is_incomplete
    }

    /// Records that the answer to the current request is the connection's last one.
    pub fn set_last(&self) {
        self.last.set(self.last.get().or(Some(Side::Answer)));
    }

    /// Returns which side said that no request follows the current one.
    pub fn last(&self) -> Option<Side> {
        self.last.get()
    }

    /// Records that the current answer announces that its connection is kept for `idle`.
    pub(crate) fn set_kept(&self, idle: Duration) {
        self.kept.set(idle);
    }

    /// Returns the idle time that the last answer has announced; zero if it has announced none.
    pub fn kept(&self) -> Duration {
        self.kept.get()
    }

    /// Records whether the body of the current request was read to its end.
    pub(crate) fn set_body_ended(&self, ended: bool) {
        self.body_ended.set(ended);
    }

    /// Returns whether the body of the current request was read to its end. If not, bytes that
    /// follow are not a head.
    pub fn has_body_ended(&self) -> bool {
        self.body_ended.get()
    }

    /// Records that bytes of a head have arrived, which has the head timeout from `now` on.
    pub fn head_arrives(&self, now: Instant) {
        self.enter(Usage::Head, now);
    }

    /// Records that no further request is read.
    pub fn closes(&self, now: Instant) {
        self.enter(Usage::Closing, now);
    }

    /// Records that `bytes` were read from the socket.
    pub(crate) fn bytes_read(&self, bytes: usize, now: Instant) {
        match self.usage.get() {
            Usage::Request | Usage::Closing => return,
            Usage::Idle => self.enter(Usage::Head, now),
            Usage::Head => {}
        }
        self.head_bytes.set(self.head_bytes.get() + bytes);
    }

    /// Records that the current answer was passed on to its end.
    pub(crate) fn answer_ended(&self, now: Instant) {
        self.enter(if self.last.get().is_some() { Usage::Closing } else { Usage::Idle }, now);
        self.served.set(self.served.get() + 1);
    }

    fn enter(&self, usage: Usage, now: Instant) {
        self.usage.set(usage);
        self.since.set(now);
        self.count();
    }

    /// Records whether the socket takes no more bytes at present.
    pub(crate) fn set_blocked(&self, blocked: bool, now: Instant) {
        let new = || BlockedTime { waited: Duration::ZERO, checked: now };
        self.blocked.set(blocked.then(|| self.blocked.get().unwrap_or_else(new)));
        self.count();
    }

    fn count(&self) {
        let has_request = matches!(self.usage.get(), Usage::Head | Usage::Request);
        self.set_counted(has_request || self.is_blocked());
    }

    fn set_counted(&self, counted: bool) {
        let in_use = &self.in_use.0;
        match (self.counted.replace(counted), counted) {
            (false, true) => in_use.set(in_use.get() + 1),
            (true, false) => in_use.set(in_use.get() - 1),
            (false, false) | (true, true) => {}
        }
    }
}
