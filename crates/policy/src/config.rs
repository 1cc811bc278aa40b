//! The parts of the accepted sheet that the scheduler uses, and the scheduler's own limits.

use std::time::Duration;

use sesamewind_protocol::{AccountId, ServiceId, TargetId, ZoneId};

/// Configuration of a [`Scheduler`](crate::Scheduler).
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Tiers, in any order.
    pub tiers: Vec<Tier>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Services.
    pub services: Vec<Service>,
    /// Targets.
    pub targets: Vec<Target>,
    /// Limits of the scheduler itself.
    pub limits: Limits,
}

/// A tier of work.
#[derive(Debug, Clone)]
pub struct Tier {
    /// Name of the tier.
    pub name: String,
    /// Rank; zero is the most urgent.
    pub rank: u8,
    /// Limit on the time to the first token.
    pub first_token: Duration,
    /// Limit on the time to the complete answer.
    pub total: Duration,
}

/// A client account.
#[derive(Debug, Clone)]
pub struct Account {
    /// Name of the account.
    pub id: AccountId,
    /// Limits over all instances together.
    pub limits: AccountLimits,
}

/// Limits of a client account over all instances together. A limit that the sheet omits is absent.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AccountLimits {
    /// Requests per second.
    pub requests_per_s: Option<f64>,
    /// Prompt and output tokens per second.
    pub tokens_per_s: Option<f64>,
}

/// A service, which one or more targets serve.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name of the service.
    pub id: ServiceId,
    /// Type of its targets.
    pub kind: Kind,
}

/// Type of the targets of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Model engines, whose streams can be resumed and cancelled.
    Model,
    /// Plain services, whose calls can be neither resumed nor cancelled.
    Plain,
}

/// A target.
#[derive(Debug, Clone)]
pub struct Target {
    /// Name of the target.
    pub id: TargetId,
    /// The service that it serves.
    pub service: ServiceId,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// Limits of the scheduler itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Maximum number of waiting requests per service.
    pub queue_requests: usize,
    /// Retention of a request record after the request ended. Must exceed the time in which callers
    /// resend.
    pub record_retention: Duration,
    /// Time after its end for which the complete answer can be fetched again.
    pub answer_retention: Duration,
    /// Time for which a request without a caller waits for a resend before it is cancelled.
    pub orphan_grace: Duration,
    /// Time within which every peer must answer a lookup.
    pub lookup_timeout: Duration,
    /// Time without progress after which a connection is probed.
    pub progress_timeout: Duration,
    /// Time between probes of a target that is suspect.
    pub probe_interval: Duration,
    /// Length of a pause after which this instance takes first attempts only with its peers'
    /// consent.
    pub freeze_gap: Duration,
    /// How long a peer's heartbeat remains valid.
    pub peer_timeout: Duration,
    /// Share of a target's capacity that only the most urgent tier may use, from 0 to 1.
    pub headroom: f64,
    /// Prompt tokens from which a request belongs to the long class.
    pub long_prompt: u32,
    /// Share of a target's capacity that the long class may use, from 0 to 1.
    pub long_share: f64,
    /// How long an urgent request waits before the tier floor is raised.
    pub floor_delay: Duration,
    /// How long a tier floor holds after it was last needed.
    pub floor_hold: Duration,
    /// Time between two rounds of cancelling under a tier floor.
    pub preempt_interval: Duration,
    /// Retries earned by each success.
    pub retry_ratio: f64,
    /// Maximum number of retries saved up per service.
    pub retry_burst: f64,
    /// Maximum number of times that a broken stream is resumed.
    pub max_resumes: u32,
    /// How long a request waits for a usable target.
    pub target_timeout: Duration,
    /// Retention of a cache hint.
    pub cache_retention: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            queue_requests: 2_000,
            record_retention: Duration::from_secs(600),
            answer_retention: Duration::from_secs(30),
            orphan_grace: Duration::from_secs(2),
            lookup_timeout: Duration::from_millis(400),
            progress_timeout: Duration::from_secs(2),
            probe_interval: Duration::from_millis(500),
            freeze_gap: Duration::from_secs(2),
            peer_timeout: Duration::from_secs(2),
            headroom: 0.25,
            long_prompt: 2_000,
            long_share: 0.6,
            floor_delay: Duration::from_millis(100),
            floor_hold: Duration::from_millis(1_500),
            preempt_interval: Duration::from_millis(50),
            retry_ratio: 0.1,
            retry_burst: 10.0,
            max_resumes: 4,
            target_timeout: Duration::from_secs(1),
            cache_retention: Duration::from_secs(120),
        }
    }
}
