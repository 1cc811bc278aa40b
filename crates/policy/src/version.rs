//! Selection of a version at dispatch, made by the rollouts.

use sesamewind_protocol::{RequestKey, RouteId, ServiceId, VersionId, WallTime};

/// Chooses the version that serves a request.
///
/// Asked at dispatch and not at arrival, so that a brake on a version acts on queued requests.
pub trait VersionChooser {
    /// The version for `key` on `route` of `service`.
    fn choose(
        &self,
        service: &ServiceId,
        route: &RouteId,
        key: &RequestKey,
        wall: WallTime,
    ) -> VersionId;
}
