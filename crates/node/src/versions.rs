//! Chooses the version that serves a request.

use std::collections::HashMap;

use sesamewind_policy::VersionChooser;
use sesamewind_protocol::{RequestKey, RouteId, ServiceId, VersionId, WallTime};
use sesamewind_rollout::Rollouts;
use sesamewind_sheet::Sheet;

/// The version of each service as named by the sheet in force.
#[derive(Debug, Default)]
pub struct SheetVersions(HashMap<ServiceId, VersionId>);

impl SheetVersions {
    /// Reads the versions from `sheet`.
    pub fn new(sheet: &Sheet) -> Self {
        let services = sheet.services.iter();
        Self(services.map(|service| (service.name.clone(), service.version.clone())).collect())
    }
}

/// Chooses the version by the service's rollout, or by the sheet if the service has none.
#[derive(Debug)]
pub struct Chooser<'a> {
    /// The rollouts.
    pub rollouts: &'a Rollouts,
    /// The versions named by the sheet.
    pub sheet_versions: &'a SheetVersions,
}

impl VersionChooser for Chooser<'_> {
    fn choose(
        &self,
        service: &ServiceId,
        route: &RouteId,
        key: &RequestKey,
        wall: WallTime,
    ) -> VersionId {
        let by_rollout = self.rollouts.version_for(service, route, key, wall);
        let sheet_versions = || self.sheet_versions.0.get(service).cloned();
        by_rollout.or_else(sheet_versions).unwrap_or_else(|| VersionId::new(""))
    }
}
