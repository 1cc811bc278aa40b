//! Interface to the format of requests from callers and answers from targets.
//!
//! The platform's names and rules are implemented outside of this crate, in `sesamewind-adapter`.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, request, response};
use sesamewind_gateway::table::Rejection;
use sesamewind_gateway::{AttemptOutcome, Refusal};
use sesamewind_protocol::{AccountId, PartId, TargetId};

use crate::answer::Answer;

/// Fields decoded from a caller's request head.
#[derive(Debug, Clone, Default)]
pub struct CallerHead {
    /// Identity of the request attempt, chosen by the caller.
    pub id: String,
    /// Host without the port.
    pub host: String,
    /// Key of the client account.
    pub key: Option<String>,
    /// How long the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: Option<u32>,
    /// Maximum number of tokens in the answer.
    pub output_tokens: u32,
    /// Parts of the prompt in order, which other requests may share; empty if unknown.
    pub parts: Arc<[PartId]>,
    /// Id of the last stream event that the caller received.
    pub last_event: Option<String>,
}

/// Error in a caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestError {
    /// The request has no identity, or one that is empty or not valid text.
    NoIdentity,
    /// The request has no host.
    NoHost,
    /// The request's body broke off, or is not framed as the head says.
    BrokenBody,
}

impl RequestError {
    /// Returns the error as written in logs and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoIdentity => "no request identity",
            Self::NoHost => "no host",
            Self::BrokenBody => "broken body",
        }
    }
}

/// Values that are added to the caller's head when it is forwarded to a target.
#[derive(Debug, Clone, Copy)]
pub struct ForwardHead<'a> {
    /// Target that the request is meant for.
    pub target: &'a TargetId,
    /// Client account of the request.
    pub account: Option<&'a AccountId>,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Id of the last event that the caller received, if the stream is resumed.
    pub last_event: Option<&'a str>,
}

/// Classification of a target's answer by its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerClass {
    /// The request succeeded.
    Success,
    /// The target reports that the caller's request was at fault. The answer is passed on.
    ClientError,
    /// The target reports a failure of its own.
    Failure,
    /// The target states that it did not run the request.
    Declined,
    /// Another target has the address and states that it did not run the request.
    Replaced,
    /// Not a valid answer to this request.
    Invalid,
}

/// What a target says in the head of an answer about the requests a second that it takes from all
/// instances together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitNotice {
    /// The head says nothing about it, or nothing that can be read.
    #[default]
    Unstated,
    /// There is no limit.
    Unlimited,
    /// This many requests a second; finite and not negative.
    Rate(f64),
}

/// What a target says in the head of an answer about the requests that it may reject.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum BrittleNotice {
    /// The head says nothing about it, or nothing that can be read.
    #[default]
    Unstated,
    /// The target rejects any number.
    Sound,
    /// The target falls over if it rejects more than so many in a second.
    Rejections(u32),
}

/// What a target says about itself in the head of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TargetNotice {
    /// Whether the target is leaving and wants no further requests.
    pub leaving: bool,
    /// For how long the target wants no requests from this instance.
    pub rest: Option<Duration>,
    /// Requests that the target takes from all instances together.
    pub limit: LimitNotice,
    /// For how long the target stays cold.
    pub cold: Option<Duration>,
    /// Requests that the target may reject.
    pub brittle: BrittleNotice,
}

/// Translates between HTTP heads and the values that this crate works with.
pub trait WireFormat: fmt::Debug {
    /// Decodes a caller's request head.
    ///
    /// # Errors
    ///
    /// Returns a [`RequestError`] if the request can't be forwarded.
    fn read_caller(&self, head: &request::Parts) -> Result<CallerHead, RequestError>;

    /// Returns the headers of the request to a target.
    fn target_headers(&self, caller: &request::Parts, forward: &ForwardHead<'_>) -> HeaderMap;

    /// Classifies a target's answer to the request `id` by its head.
    fn classify_answer(&self, head: &response::Parts, id: &str) -> AnswerClass;

    /// Returns what the target says about itself in its answer to the request `id`. An answer of
    /// another target at its address, or to another request, says nothing about it.
    fn target_notice(&self, head: &response::Parts, id: &str) -> TargetNotice;

    /// Returns the path of a small request that a target answers without a slot.
    fn probe_path(&self) -> &'static str;

    /// Returns how long the target keeps an idle connection open. Returns zero if the target closes
    /// the connection, and `None` if the head specifies neither.
    fn keep_alive(&self, head: &response::Parts) -> Option<Duration>;

    /// Returns those headers of a target's answer that the caller receives, except for the content
    /// length.
    fn answer_headers(&self, target: HeaderMap) -> HeaderMap;

    /// Returns the answer to a request that the gateway refused and that has not run.
    fn refused(&self, refusal: &Refusal) -> Answer;

    /// Returns the answer to a request that the configuration does not allow.
    fn rejected(&self, rejection: Rejection) -> Answer;

    /// Returns the answer to a request with an invalid head.
    fn malformed(&self, error: RequestError) -> Answer;

    /// Returns the answer to a request whose body exceeds the limit.
    fn too_large(&self) -> Answer;

    /// Returns the answer to a request whose outcome is unknown.
    fn failed(&self, outcome: AttemptOutcome) -> Answer;
}
