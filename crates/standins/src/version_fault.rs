//! Faults of a version, for engines and plain services.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::answer;

/// A fault of one version: failed requests, slower requests, or both.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VersionFault {
    /// Share of the requests that fail, in `[0, 1]`; the request's id decides which ones.
    pub fail_share: f64,
    /// Factor by which requests take longer; 1 means no slowdown.
    pub slow_factor: f64,
    /// Seconds from loading the version until the fault starts.
    pub from_s: f64,
    /// Share of the batch that must be exceeded for the fault to occur; none for any load.
    pub above_load: Option<f64>,
    /// The only route with the fault; none for all routes.
    pub route: Option<String>,
}

impl Default for VersionFault {
    fn default() -> Self {
        Self { fail_share: 0.0, slow_factor: 1.0, from_s: 0.0, above_load: None, route: None }
    }
}

impl VersionFault {
    /// Returns whether the fault applies to a request on `route`. `loaded` is the time since the
    /// version was loaded, and `load` the share of the batch in use.
    pub fn is_active(&self, loaded: Duration, load: f64, route: &str) -> bool {
        let on_route = self.route.as_deref().is_none_or(|wanted| wanted == route);
        let on_load = self.above_load.is_none_or(|limit| load > limit);
        loaded.as_secs_f64() >= self.from_s && on_load && on_route
    }

    /// Returns whether `request` is one of those that fail while the fault is active.
    pub fn fails(&self, request: &str) -> bool {
        answer::fraction(request) < self.fail_share
    }
}
