//! Bodies of the call that explains where a request would go now.

use serde::{Deserialize, Serialize};

use crate::{AccountId, InstanceId, RouteId, ServiceId, TargetId, VersionId, ZoneId};

/// Path of the call on the inner listener.
pub const PLACEMENT_PATH: &str = "/placement";

/// A request that is not sent.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlacementQuery {
    /// Host without the port.
    pub host: String,
    /// Path.
    pub path: String,
    /// Client account; none for a public route.
    pub account: Option<AccountId>,
    /// Tokens of the prompt, if known.
    pub prompt: Option<u32>,
    /// Maximum number of output tokens.
    pub output: u32,
    /// Parts of the prompt, each in hexadecimal.
    pub parts: Vec<String>,
    /// Milliseconds for which the caller waits; the route's timeout if none.
    pub wait_ms: Option<u64>,
    /// Position in `[0, 1)` for weighted splits; random if none.
    pub point: Option<f64>,
}

/// Where a request would go.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementOutcome {
    /// It would be sent to this target.
    Sent(TargetId),
    /// It would be passed on to this peer, since this instance reaches no target.
    PassedOn(InstanceId),
    /// It would wait for a slot.
    Waits {
        /// Number of requests that would wait before it.
        ahead: usize,
        /// Milliseconds until it would be refused.
        wait_ms: u64,
    },
    /// It would be refused.
    Refused {
        /// Reason as written in logs.
        reason: String,
        /// Milliseconds after which its caller would be told to return.
        retry_ms: u64,
    },
}

/// A target of the request's service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementTarget {
    /// Name.
    pub target: TargetId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Version of its software.
    pub version: VersionId,
    /// Requests of all instances there, as far as known.
    pub load: u32,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Predicted milliseconds until the first byte, if the target may receive the request.
    pub predicted_ms: Option<f64>,
    /// Why it may not receive the request; empty if it may.
    pub obstacle: String,
}

/// Where a request would go at one instance, and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// The instance that was asked.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Revision of the configuration in force there.
    pub revision: u64,
    /// Route of the request.
    pub route: RouteId,
    /// Service chosen by the route's split.
    pub service: ServiceId,
    /// Urgency; zero is the most urgent.
    pub rank: u8,
    /// Whether its caller is taken for one that has waited before.
    pub returned: bool,
    /// What a running rollout says of the versions that may take it.
    pub versions: String,
    /// Where it would go.
    pub outcome: PlacementOutcome,
    /// Targets of the service.
    pub targets: Vec<PlacementTarget>,
}
