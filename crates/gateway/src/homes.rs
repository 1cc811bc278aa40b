//! Regions that the requests of a route or a client account are bound to.

use std::collections::BTreeMap;

use sesamewind_protocol::{RegionId, ZoneId};

use crate::arrival::Arrival;
use crate::gateway::Gateway;

/// Regions to which one request is bound. Where its route and its account have regions, both bind.
#[derive(Debug, Clone, Copy)]
pub struct Homes<'a> {
    zones: &'a BTreeMap<ZoneId, RegionId>,
    route: &'a [RegionId],
    account: &'a [RegionId],
}

impl<'a> Homes<'a> {
    /// Returns the regions of a request; `zones` has the region of each availability zone.
    pub(crate) fn of(arrival: &'a Arrival, zones: &'a BTreeMap<ZoneId, RegionId>) -> Self {
        let account = arrival.account.as_ref().map_or(&[][..], |account| &account.homes);
        Self { zones, route: &arrival.route.homes, account }
    }

    /// Returns whether the request may be sent to an availability zone. A zone of unknown region is in
    /// no home; in a deployment without regions, every zone is.
    pub fn allows(&self, zone: &ZoneId) -> bool {
        let mut bound = [self.route, self.account].into_iter().filter(|homes| !homes.is_empty());
        if self.zones.is_empty() {
            return true;
        }
        let region = self.zones.get(zone);
        bound.all(|homes| region.is_some_and(|region| homes.contains(region)))
    }
}

impl Gateway {
    /// Returns the regions to which a request is bound.
    pub fn homes<'a>(&'a self, arrival: &'a Arrival) -> Homes<'a> {
        Homes::of(arrival, &self.tuning.regions)
    }
}
