//! Limit on the hedges of one service, and what its routes' attempts usually take.

use std::collections::HashMap;

use sesamewind_protocol::RouteId;

use crate::hedging::quantile::RatioQuantile;

/// Largest number of hedges that an instance may send at once after a time without any.
const MAX_ALLOWANCE: f64 = 4.0;

/// Hedges of one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct Hedges {
    /// Hedges that may be sent now.
    allowance: f64,
    routes: HashMap<RouteId, RatioQuantile>,
}

impl Hedges {
    /// Counts a first attempt, for which `share` of a hedge may be sent.
    pub(crate) fn record_first(&mut self, share: f64) {
        self.allowance = (self.allowance + share).min(MAX_ALLOWANCE);
    }

    /// Returns whether a hedge may be sent.
    pub(crate) fn has_allowance(&self) -> bool {
        self.allowance >= 1.0
    }

    /// Counts a hedge.
    pub(crate) fn take(&mut self) {
        self.allowance -= 1.0;
    }

    /// Records the time to the first byte of an attempt relative to the estimate.
    pub(crate) fn observe(&mut self, route: &RouteId, ratio: f64) {
        match self.routes.get_mut(route) {
            Some(quantile) => quantile.observe(ratio),
            None => self.routes.entry(route.clone()).or_default().observe(ratio),
        }
    }

    /// Returns the ratio that few attempts of `route` exceed; none if too few were observed.
    pub(crate) fn slow_ratio(&self, route: &RouteId) -> Option<f64> {
        self.routes.get(route)?.high()
    }
}
