//! Limits and weights of the decisions.

use std::time::Duration;

use crate::quota::QuotaBounds;

/// Limits and weights of the decisions of one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Tuning {
    /// Share of first attempts that may be added as further ones; from the deployment's bound.
    pub retry_ratio: f64,
    /// Further attempts allowed beside that share over all instances; from the deployment's bound.
    pub retry_extra: f64,
    /// Span over which the retry budget is counted; from the deployment's bound.
    pub retry_window: Duration,
    /// Bounds on account limits; from the deployment's bounds.
    pub quota: QuotaBounds,
    /// Whether other instances may have been running before this one.
    pub joined: bool,
    /// Time within which a leaving target must have no new work; from the deployment's bound.
    pub drain: Duration,
    /// How long a target's removal from the list is doubted after the list was away.
    pub removal_grace: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            retry_ratio: 0.2,
            retry_extra: 50.0,
            retry_window: Duration::from_secs(10),
            quota: QuotaBounds { window: Duration::from_secs(8), overage: 0.1, slack: 0.0 },
            joined: false,
            drain: Duration::from_secs(2),
            removal_grace: Duration::from_millis(2_200),
        }
    }
}
