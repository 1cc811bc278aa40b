//! Types of the tables in a scenario file.

use serde::{Deserialize, Serialize};
use sesamewind_standins::{Control, VersionFault};

/// An entry instance.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstancePlan {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
}

/// A tier.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierPlan {
    /// Name.
    pub name: String,
    /// Rank; zero is the most urgent.
    pub rank: u8,
    /// Time limit for the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time limit for the whole answer, in milliseconds.
    pub total_ms: u64,
}

/// A client account.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountPlan {
    /// Name.
    pub name: String,
    /// The most urgent tier that it may use.
    pub tier: String,
    /// Limit on requests per second.
    pub requests_per_s: Option<f64>,
    /// Limit on tokens per second.
    pub tokens_per_s: Option<f64>,
}

/// Class of a service, which decides its kind of target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Served by model engines.
    Model,
    /// A plain service.
    Plain,
}

impl Class {
    /// Returns the class's name in the sheet.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Plain => "plain",
        }
    }
}

/// A service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePlan {
    /// Name.
    pub name: String,
    /// Model service or plain service.
    pub class: Class,
    /// Version in use at the start.
    pub version: String,
    /// Routes.
    pub routes: Vec<RoutePlan>,
}

/// A route of a service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePlan {
    /// Name; for plain services, method and path prefix.
    pub route: String,
    /// Default tier.
    pub tier: String,
    /// Whether a call may be repeated.
    pub idempotent: bool,
}

/// Performance of the engines of one generation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Generation {
    /// Prompt tokens prefilled per second.
    pub prefill_tokens_per_s: f64,
    /// Output tokens per second of a stream that runs alone.
    pub decode_tokens_per_s: f64,
    /// Number of streams beyond the first at which each stream runs at half speed.
    pub batch_knee: f64,
    /// Maximum number of requests that run at the same time.
    pub max_batch: usize,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u64,
}

/// A target.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetPlan {
    /// Name.
    pub name: String,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Name of the generation; required for model engines.
    pub generation: Option<String>,
    /// Age of load reports, in milliseconds.
    #[serde(default)]
    pub report_lag_ms: u64,
    /// Age of cache events, in milliseconds.
    #[serde(default)]
    pub event_lag_ms: u64,
    /// Fraction of cache events that are lost.
    #[serde(default)]
    pub event_loss: f64,
    /// Whether the target refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
    /// Time to load a version, in milliseconds.
    #[serde(default)]
    pub load_ms: u64,
    /// Time that a call takes, in milliseconds; plain services only.
    #[serde(default)]
    pub delay_ms: u64,
}

/// A version that misbehaves on every target of its service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionPlan {
    /// Name of the service.
    pub service: String,
    /// The version.
    pub version: String,
    /// How it misbehaves.
    pub bad: VersionFault,
}

/// Whether a new version is good. Rollouts are judged by it; the daemons do not see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GroundTruth {
    /// The rollout must complete by the deadline.
    Good,
    /// The rollout must be rolled back.
    Bad,
}

/// A rollout.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutPlan {
    /// Identifier.
    pub id: String,
    /// Name of the service.
    pub service: String,
    /// The old version.
    pub from: String,
    /// The new version.
    pub to: String,
    /// Deadline in seconds since the start.
    pub deadline_s: f64,
    /// Largest share of requests that the new version may get first.
    pub share: f64,
    /// Whether the new version is good.
    pub truth: GroundTruth,
}

/// A fault to inject.
#[derive(Debug, Clone, Deserialize)]
pub struct FaultPlan {
    /// Time of the fault, in seconds since the start.
    pub at_s: f64,
    /// Name of a target or an instance, or `platform`.
    pub node: String,
    /// The fault. Instances support only `kill`, which starts their planned stop.
    #[serde(flatten)]
    pub control: Control,
}

/// An expected outcome.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutcomePlan {
    /// Name.
    pub name: String,
    /// Path of the measure in the report.
    pub measure: String,
    /// Lowest accepted value.
    pub at_least: Option<f64>,
    /// Highest accepted value.
    pub at_most: Option<f64>,
    /// The only accepted text.
    pub equals: Option<String>,
}

/// Behaviour of the platform.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformPlan {
    /// Age of the list that the platform returns, in milliseconds.
    pub list_lag_ms: u64,
    /// Time that each answer takes, in milliseconds.
    pub delay_ms: u64,
}
