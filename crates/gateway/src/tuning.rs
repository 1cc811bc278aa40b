//! Limits and weights of the gateway's decisions.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewind_protocol::{RegionId, ZoneId};

use crate::quota::QuotaBounds;

/// Limits and weights of the decisions of one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Tuning {
    /// Retries allowed for each first attempt, from the deployment's bounds.
    pub retry_ratio: f64,
    /// Retries allowed over all instances in addition to `retry_ratio`, from the deployment's
    /// bounds.
    pub retry_extra: f64,
    /// Window of the retry budget, from the deployment's bounds.
    pub retry_window: Duration,
    /// Bounds on account limits, from the deployment's bounds.
    pub quota: QuotaBounds,
    /// Whether other instances may have been running before this one started.
    pub joined: bool,
    /// Time after which a leaving target must receive no new requests, from the deployment's
    /// bounds.
    pub drain: Duration,
    /// Second attempts of slow requests for each first attempt, at most; zero for none.
    pub hedge_share: f64,
    /// Factor over the requests a second that a cold target takes which all instances together may
    /// send it, from the deployment's bounds.
    pub cold_overage: f64,
    /// Requests in one second to a cold target in addition to `cold_overage`, from the deployment's
    /// bounds.
    pub cold_slack: f64,
    /// Time after a list outage in which a target's removal from the list is not yet trusted.
    pub removal_grace: Duration,
    /// Region of each availability zone; empty if the deployment has no regions.
    pub regions: BTreeMap<ZoneId, RegionId>,
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
            hedge_share: 0.0,
            cold_overage: 1.0,
            cold_slack: 0.0,
            removal_grace: Duration::from_millis(2_200),
            regions: BTreeMap::new(),
        }
    }
}
