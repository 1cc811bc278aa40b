//! A planned rollout as the accepted sheet defines it.

use sesamewind_protocol::{RolloutId, ServiceId, TargetId, VersionId, WallTime};

/// A rollout row of the accepted sheet.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutSpec {
    /// Name of the rollout. Its outcome is final, so another rollout needs another name.
    pub id: RolloutId,
    /// The service whose version changes.
    pub service: ServiceId,
    /// The old version.
    pub from: VersionId,
    /// The new version.
    pub to: VersionId,
    /// When the new version must have taken over; otherwise the rollout is rolled back.
    pub deadline: WallTime,
    /// Largest share of requests at the first step, in `(0, 1]`.
    pub first_share: f64,
    /// Targets that should load the new version.
    pub targets: Vec<TargetId>,
}
