//! What callers and targets speak, behind one interface.

use std::fmt;
use std::time::Duration;

use http::{HeaderMap, request, response};
use sesamewind_gateway::table::Rejection;
use sesamewind_gateway::{AttemptOutcome, Refusal};
use sesamewind_protocol::{AccountId, TargetId};

use crate::answer::Answer;

/// What a caller's request head says.
#[derive(Debug, Clone, Default)]
pub struct CallerHead {
    /// Identity of the attempt.
    pub id: String,
    /// Host, without a port.
    pub host: String,
    /// Key of the client account.
    pub key: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Tokens of the prompt.
    pub prompt_tokens: Option<u32>,
    /// Most tokens of the answer.
    pub output_tokens: u32,
    /// Identity of the prompt's shared beginning.
    pub prefix: Option<u64>,
    /// Last event of the stream that the caller has.
    pub last_event: Option<String>,
}

/// Why a caller's request head can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadError {
    /// The request has no identity, or one that can't be passed on.
    NoIdentity,
    /// The request names no host.
    NoHost,
}

impl HeadError {
    /// The fault as it stands in logs and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoIdentity => "no request identity",
            Self::NoHost => "no host",
        }
    }
}

/// What goes to a target beside the caller's head.
#[derive(Debug, Clone, Copy)]
pub struct ForwardHead<'a> {
    /// The target that is meant.
    pub target: &'a TargetId,
    /// The client account.
    pub account: Option<&'a AccountId>,
    /// Time that is left.
    pub time_left: Duration,
    /// Last event that the caller has, if the stream goes on.
    pub last_event: Option<&'a str>,
}

/// What a target's answer head says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerClass {
    /// An answer to the request: a success.
    Success,
    /// An answer to the request: a refusal of the caller's, which is passed on.
    ClientError,
    /// An answer to the request: a failure of the target.
    Failure,
    /// The target states that it did not run the request.
    Declined,
    /// Another target states that it did not run the request.
    Replaced,
    /// No answer to this request.
    Invalid,
}

/// What callers and targets speak.
pub trait WireFormat: fmt::Debug {
    /// Reads a caller's head.
    ///
    /// # Errors
    ///
    /// Returns a [`HeadError`] if the request can't be passed on.
    fn read_caller(&self, head: &request::Parts) -> Result<CallerHead, HeadError>;

    /// The headers for a target.
    fn target_headers(&self, caller: &request::Parts, forward: &ForwardHead<'_>) -> HeaderMap;

    /// Reads the head of a target's answer to the request `id`.
    fn classify_answer(&self, head: &response::Parts, id: &str) -> AnswerClass;

    /// How long the target keeps the connection, if the head says so; zero if it closes it.
    fn keep_alive(&self, head: &response::Parts) -> Option<Duration>;

    /// The headers of a target's answer for the caller, without its length.
    fn answer_headers(&self, target: HeaderMap) -> HeaderMap;

    /// The answer to a request that has not run.
    fn refused(&self, refusal: &Refusal) -> Answer;

    /// The answer to a request that the configuration doesn't allow.
    fn rejected(&self, rejection: Rejection) -> Answer;

    /// The answer to a request that can't be used.
    fn malformed(&self, fault: HeadError) -> Answer;

    /// The answer to a request whose body is larger than allowed.
    fn too_large(&self) -> Answer;

    /// The answer to a request whose outcome is not known.
    fn failed(&self, outcome: AttemptOutcome) -> Answer;
}
