//! The parts of a scenario as they stand in its file.

use serde::{Deserialize, Serialize};
use sesamewind_standins::{Bad, Control};

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
    /// Time to the first token that counts as in time, in milliseconds.
    pub first_token_ms: u64,
    /// Time to the whole answer that counts as in time, in milliseconds.
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
    /// Limit on requests a second.
    pub requests_per_s: Option<f64>,
    /// Limit on tokens a second.
    pub tokens_per_s: Option<f64>,
}

/// Class of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Served by model engines.
    Model,
    /// A plain service.
    Plain,
}

impl Class {
    /// The class as it stands in the sheet.
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
    /// Class.
    pub class: Class,
    /// Version in use.
    pub version: String,
    /// Routes.
    pub routes: Vec<RoutePlan>,
}

/// A route of a service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePlan {
    /// Name; for plain services method and path.
    pub route: String,
    /// Default tier.
    pub tier: String,
    /// Whether a call may be repeated.
    pub idempotent: bool,
}

/// What engines of one generation are like.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Generation {
    /// Prompt tokens taken in a second.
    pub prefill_tokens_per_s: f64,
    /// Output tokens a second of a stream that is alone.
    pub decode_tokens_per_s: f64,
    /// Streams beyond the first that halve the speed of each.
    pub batch_knee: f64,
    /// Requests that run at the same time.
    pub max_batch: usize,
    /// Prefix tokens that the cache holds.
    pub cache_tokens: u64,
}

/// A target.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetPlan {
    /// Name.
    pub name: String,
    /// The service that it serves.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Generation, for model engines.
    pub generation: Option<String>,
    /// Age of load reports, in milliseconds.
    #[serde(default)]
    pub report_lag_ms: u64,
    /// Age of cache events, in milliseconds.
    #[serde(default)]
    pub event_lag_ms: u64,
    /// Share of cache events that are lost.
    #[serde(default)]
    pub event_loss: f64,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
    /// Time to load a version, in milliseconds.
    #[serde(default)]
    pub load_ms: u64,
    /// Time that a call takes, in milliseconds; for plain services.
    #[serde(default)]
    pub delay_ms: u64,
}

/// How a version misbehaves wherever it is loaded.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionPlan {
    /// The service.
    pub service: String,
    /// The version.
    pub version: String,
    /// How it misbehaves.
    pub bad: Bad,
}

/// Whether a version is really good.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GroundTruth {
    /// It must take over by the deadline.
    Good,
    /// It must be taken back.
    Bad,
}

/// A rollout.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutPlan {
    /// Name.
    pub id: String,
    /// The service.
    pub service: String,
    /// The old version.
    pub from: String,
    /// The new version.
    pub to: String,
    /// Deadline in seconds since the start.
    pub deadline_s: f64,
    /// Largest first share.
    pub share: f64,
    /// Whether the new version is really good.
    pub truth: GroundTruth,
}

/// Something that goes wrong.
#[derive(Debug, Clone, Deserialize)]
pub struct FaultPlan {
    /// When, in seconds since the start.
    pub at_s: f64,
    /// A target, an instance, or `platform`.
    pub node: String,
    /// What happens. Instances know `kill` as their planned stop only.
    #[serde(flatten)]
    pub control: Control,
}

/// An outcome that the replay must show.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutcomePlan {
    /// Name.
    pub name: String,
    /// The measure, by its path in the report.
    pub measure: String,
    /// Lowest value that holds.
    pub at_least: Option<f64>,
    /// Highest value that holds.
    pub at_most: Option<f64>,
    /// The only text that holds.
    pub equals: Option<String>,
}

/// What the platform is like.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformPlan {
    /// Age of the list, in milliseconds.
    pub list_lag_ms: u64,
    /// Time of each answer, in milliseconds.
    pub delay_ms: u64,
}
