//! What the scheduler needs to know of the accepted sheet, and its own limits.

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
    /// Time to the first token that the tier asks for.
    pub first_token: Duration,
    /// Time to the whole answer that the tier asks for.
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

/// Limits of a client account over all instances together; none where the sheet names none.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AccountLimits {
    /// Requests a second.
    pub requests_per_s: Option<f64>,
    /// Prompt and output tokens a second.
    pub tokens_per_s: Option<f64>,
}

/// A service, which several targets serve.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name of the service.
    pub id: ServiceId,
    /// What its targets are.
    pub kind: Kind,
}

/// What the targets of a service are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Model engines, whose streams can be resumed and cancelled.
    Model,
    /// Plain services, whose calls can be neither.
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
    /// Most requests that wait per service.
    pub queue_requests: usize,
    /// How long a request record is kept after the request ended; longer than callers resend.
    pub record_retention: Duration,
    /// How long the whole answer can be had again after its end.
    pub answer_retention: Duration,
    /// How long a request without a caller waits for a resend before it is cancelled.
    pub orphan_grace: Duration,
    /// Time within which every peer must answer a lookup.
    pub lookup_timeout: Duration,
    /// Time without progress after which a connection is probed.
    pub progress_timeout: Duration,
    /// Time between probes of a target that is suspect.
    pub probe_interval: Duration,
    /// Pause of this instance after which it takes first attempts only with its peers' consent.
    pub freeze_gap: Duration,
    /// How long a peer's heartbeat counts.
    pub peer_timeout: Duration,
    /// Share of a target's capacity that only the most urgent tier may use, from 0 to 1.
    pub headroom: f64,
    /// Prompt tokens from which a request belongs to the long length class.
    pub long_prompt: u32,
    /// Share of a target's capacity that the long length class may use, from 0 to 1.
    pub long_share: f64,
    /// How long an urgent request waits before the tier floor rises.
    pub floor_delay: Duration,
    /// How long a tier floor holds after it was last needed.
    pub floor_hold: Duration,
    /// Time between two rounds of cancelling under a tier floor.
    pub preempt_interval: Duration,
    /// Retries that a success earns.
    pub retry_ratio: f64,
    /// Most retries that can be saved up per service.
    pub retry_burst: f64,
    /// Most times that a broken stream is resumed.
    pub max_resumes: u32,
    /// How long a request waits for a usable target.
    pub target_timeout: Duration,
    /// How long a cache hint counts.
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
