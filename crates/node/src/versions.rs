//! Choice of the version that serves a request.

use std::collections::HashMap;

use sesamewind_policy::VersionChooser;
use sesamewind_protocol::{RequestKey, RouteId, ServiceId, VersionId, WallTime};
use sesamewind_rollout::Rollouts;
use sesamewind_sheet::Sheet;

/// Versions in use by service, as the sheet in force names them.
#[derive(Debug, Default)]
pub struct SheetVersions(HashMap<ServiceId, VersionId>);

impl SheetVersions {
    /// The versions that `sheet` names.
    pub fn new(sheet: &Sheet) -> Self {
        let services = sheet.services.iter();
        Self(services.map(|service| (service.name.clone(), service.version.clone())).collect())
    }
}

/// Chooses by the rollouts, and by the sheet where no rollout concerns the service.
#[derive(Debug)]
pub struct Chooser<'a> {
    /// The rollouts.
    pub rollouts: &'a Rollouts,
    /// Versions in use.
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
