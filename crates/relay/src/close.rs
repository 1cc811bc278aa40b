//! Why connections end, and the records of their ends.

use std::rc::Rc;

use crate::activity::{Activity, Usage};
use crate::metrics::Metrics;

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// It was idle for too long.
    Idle,
    /// The instance stops.
    Stop,
    /// A request's head did not arrive in time.
    HeadTimeout,
    /// The caller did not read its answer in time.
    Blocked,
    /// An answer asked for it.
    Announced,
    /// The caller closed it or asked for it.
    Caller,
    /// The caller closed it within a request.
    Incomplete,
    /// An answer could not be completed.
    Aborted,
    /// What arrived is not a request.
    Malformed,
    /// The socket failed.
    Error,
    /// A request's task panicked.
    Panic,
    /// The process exited.
    Exit,
}

impl CloseReason {
    /// Returns the reason for an error of the HTTP library.
    pub(crate) fn of_error(err: &hyper::Error) -> Self {
        if err.is_timeout() {
            Self::HeadTimeout
        } else if err.is_user() {
            Self::Aborted
        } else if err.is_parse() {
            Self::Malformed
        } else if err.is_incomplete_message() {
            Self::Incomplete
        } else {
            Self::Error
        }
    }

    /// Returns the reason as written in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Stop => "stop",
            Self::HeadTimeout => "head_timeout",
            Self::Blocked => "blocked",
            Self::Announced => "announced",
            Self::Caller => "caller",
            Self::Incomplete => "incomplete",
            Self::Aborted => "aborted",
            Self::Malformed => "malformed",
            Self::Error => "error",
            Self::Panic => "panic",
            Self::Exit => "exit",
        }
    }
}

/// Value of `unread` where the bytes were not counted.
const NOT_COUNTED: i64 = -1;

/// Logs and counts the end of a connection when dropped, also by a panic or the process's exit.
#[derive(Debug)]
pub(crate) struct CloseRecord {
    /// Name of the listener.
    pub(crate) listener: &'static str,
    /// State of the connection.
    pub(crate) activity: Rc<Activity>,
    /// Metrics of the instance.
    pub(crate) metrics: Rc<Metrics>,
    /// Why the connection ends, once that is known.
    pub(crate) reason: Option<CloseReason>,
    /// Bytes that have arrived and were not read, once they were counted.
    pub(crate) unread: Option<usize>,
}

impl Drop for CloseRecord {
    fn drop(&mut self) {
        let reason = self.reason.unwrap_or(if std::thread::panicking() {
            CloseReason::Panic
        } else {
            CloseReason::Exit
        });
        self.metrics.connection_closed(reason.as_str());
        let (usage, since) = self.activity.usage();
        let failed = matches!(
            reason,
            CloseReason::Blocked
                | CloseReason::Aborted
                | CloseReason::Malformed
                | CloseReason::Error
                | CloseReason::Panic
        );
        let is_cut = failed || matches!(usage, Usage::Head | Usage::Request);
        let level = if is_cut { log::Level::Info } else { log::Level::Debug };
        log::log!(
            level,
            event = "connection_closed",
            listener = self.listener,
            reason = reason.as_str(),
            usage = usage.as_str(),
            usage_ms = since.elapsed().as_millis() as u64,
            head_bytes = self.activity.head_bytes(),
            served = self.activity.served(),
            caller_side = self.activity.caller_side().as_str(),
            unread = self.unread.and_then(|bytes| i64::try_from(bytes).ok()).unwrap_or(NOT_COUNTED),
            written = self.activity.written(),
            last_request = self.activity.request().as_str(),
            open_ms = self.activity.opened().elapsed().as_millis() as u64;
            "connection closed"
        );
    }
}
