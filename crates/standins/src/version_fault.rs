//! How a version misbehaves, on engines and plain services alike.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::answer;

/// How a version misbehaves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VersionFault {
    /// Share of the requests that fail, in `[0, 1]`; which ones follows from the request's id.
    pub fail_share: f64,
    /// Factor by which the version takes longer; 1 is as fast as any.
    pub slow_factor: f64,
    /// Seconds after the version was loaded when the fault sets in.
    pub from_s: f64,
    /// Share of the batch that must be taken before the fault shows; none for any load.
    pub above_load: Option<f64>,
    /// The only route that shows the fault; none for all.
    pub route: Option<String>,
}

impl Default for VersionFault {
    fn default() -> Self {
        Self { fail_share: 0.0, slow_factor: 1.0, from_s: 0.0, above_load: None, route: None }
    }
}

impl VersionFault {
    /// Whether the fault shows for a request on `route`, `loaded` after the version was loaded, at
    /// `load` (share of the batch taken).
    pub fn shows(&self, loaded: Duration, load: f64, route: &str) -> bool {
        let on_route = self.route.as_deref().is_none_or(|wanted| wanted == route);
        let on_load = self.above_load.is_none_or(|limit| load > limit);
        loaded.as_secs_f64() >= self.from_s && on_load && on_route
    }

    /// Whether `request` is among those that fail while the fault shows.
    pub fn fails(&self, request: &str) -> bool {
        answer::position(request) < self.fail_share
    }
}
