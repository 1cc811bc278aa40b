//! Numbered result codes, and what is known of whether a request ran.
//!
//! `docs/RESULT-CODES.md` lists every code; a test checks that table against this enumeration.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request ran at a target, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// No byte of the request reached a target, or the target reported that it refused the request
    /// before running it.
    NotRun,
    /// The target ran the request to completion.
    Ran,
    /// The request may have run, partly or completely.
    Unknown,
}

impl RunState {
    /// Returns the state as written in answers and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $slug:literal, $status:literal;)*) => {
        /// A numbered result code.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(into = "u16", try_from = "u16")]
        pub enum Code {
            $($(#[$doc])* $name,)*
        }

        impl Code {
            /// Every code, in ascending order.
            pub const ALL: &'static [Code] = &[$(Code::$name,)*];

            /// Returns the code's number.
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the code's short name in answers, logs and metrics.
            pub fn slug(self) -> &'static str {
                match self { $(Self::$name => $slug,)* }
            }

            /// Returns the HTTP status of an answer with this code.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }
        }
    };
}

codes! {
    /// The request was served.
    Ok = 1000, "ok", 200;
    /// The body or a header does not have the form that the interface requires.
    MalformedRequest = 1101, "malformed-request", 400;
    /// The bearer key belongs to no client account.
    UnknownAccount = 1102, "unknown-account", 401;
    /// The sheet has no such service.
    UnknownService = 1103, "unknown-service", 404;
    /// The service has no such route.
    UnknownRoute = 1104, "unknown-route", 404;
    /// The body exceeds the limit.
    BodyTooLarge = 1105, "body-too-large", 413;
    /// The headers exceed the limit.
    HeaderTooLarge = 1106, "header-too-large", 431;
    /// The caller sent its request too slowly.
    SlowSender = 1107, "slow-sender", 408;
    /// The caller closed its connection before the answer was complete.
    CallerGone = 1108, "caller-gone", 499;
    /// The account may not use the requested tier.
    TierNotAllowed = 1109, "tier-not-allowed", 403;
    /// The idempotency key was already used for another request.
    KeyReused = 1110, "key-reused", 422;
    /// The account's limit is exhausted.
    AccountLimit = 1201, "account-limit", 429;
    /// No target could answer before the deadline.
    DeadlineUnreachable = 1202, "deadline-unreachable", 503;
    /// The request waited in the queue until its deadline.
    DeadlinePassed = 1203, "deadline-passed", 504;
    /// The queue is full.
    QueueFull = 1204, "queue-full", 503;
    /// The request was dropped in favour of a more urgent tier.
    TierShed = 1205, "tier-shed", 503;
    /// The service has no usable target.
    NoTarget = 1206, "no-target", 503;
    /// The retry budget of the service is exhausted.
    RetryBudget = 1207, "retry-budget", 503;
    /// The instance is stopping.
    Stopping = 1208, "stopping", 503;
    /// The instance has no configuration yet.
    NotReady = 1209, "not-ready", 503;
    /// The target refused the request before running it.
    TargetRefused = 1210, "target-refused", 503;
    /// The target's answer was cut off and could not be resumed.
    AnswerBroken = 1301, "answer-broken", 502;
    /// The connection was lost after dispatch; whether the request ran is unknown.
    OutcomeUnknown = 1302, "outcome-unknown", 502;
    /// The target failed while running the request.
    TargetFailed = 1303, "target-failed", 502;
    /// The target stopped making progress.
    TargetSilent = 1304, "target-silent", 504;
    /// Another attempt of this request may have been dispatched; whether it ran is unknown.
    EarlierAttempt = 1305, "earlier-attempt", 409;
    /// An earlier attempt ran, and its answer is no longer stored.
    AlreadyRan = 1306, "already-ran", 409;
    /// The request was cancelled while it ran, in favour of a more urgent tier.
    Preempted = 1307, "preempted", 503;
    /// The sheet has faults; no part of it was accepted.
    SheetFaulty = 1401, "sheet-faulty", 422;
    /// Another sheet was accepted after the revision that this one is based on.
    SheetConflict = 1402, "sheet-conflict", 409;
    /// The platform's store could not be reached; the answer tells whether the sheet was accepted.
    StoreUnavailable = 1403, "store-unavailable", 503;
    /// The token is missing or wrong.
    Forbidden = 1501, "forbidden", 403;
    /// The message from a peer could not be decoded or is too large.
    BadPeerMessage = 1502, "bad-peer-message", 400;
    /// The peer belongs to another deployment.
    OtherDeployment = 1503, "other-deployment", 403;
    /// An internal error.
    Internal = 1901, "internal", 500;
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.slug())
    }
}

impl From<Code> for u16 {
    fn from(code: Code) -> u16 {
        code.number()
    }
}

/// Error for a number that no result code has.
#[derive(Debug, thiserror::Error)]
#[error("no result code has the number {0}")]
pub struct UnknownCode(u16);

impl TryFrom<u16> for Code {
    type Error = UnknownCode;

    fn try_from(number: u16) -> Result<Self, UnknownCode> {
        Self::ALL.iter().copied().find(|code| code.number() == number).ok_or(UnknownCode(number))
    }
}
