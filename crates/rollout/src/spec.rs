//! A planned version move as the accepted sheet states it.

use sesamewind_protocol::{RolloutId, ServiceId, TargetId, VersionId, WallTime};

/// A rollout row of the accepted sheet.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutSpec {
    /// Name of the rollout; its outcome is final, so another move needs another name.
    pub id: RolloutId,
    /// The service whose version moves.
    pub service: ServiceId,
    /// The version in use.
    pub from: VersionId,
    /// The version that is to take over.
    pub to: VersionId,
    /// By when it must have taken over; otherwise it is taken back.
    pub deadline: WallTime,
    /// Largest share of requests at the first step, in `(0, 1]`.
    pub first_share: f64,
    /// Targets that are to load the new version.
    pub targets: Vec<TargetId>,
}
