//! Interface to the rollouts, which choose a version for each dispatch.

use sesamewind_protocol::{RequestKey, RouteId, ServiceId, VersionId, WallTime};

/// Chooses the version that serves a request.
///
/// Called at dispatch rather than at arrival, so that a local halt of a version also affects queued
/// requests.
pub trait VersionChooser {
    /// Returns the version for `key` on `route` of `service`.
    fn choose(
        &self,
        service: &ServiceId,
        route: &RouteId,
        key: &RequestKey,
        wall: WallTime,
    ) -> VersionId;
}
