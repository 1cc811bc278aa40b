//! What targets report of themselves, as far as rollouts and their reachability are concerned.

use std::collections::HashMap;

use sesamewind_protocol::record::InstanceIncarnation;
use sesamewind_protocol::target::LoadReport;
use sesamewind_protocol::{ServiceId, TargetId, VersionId};
use sesamewind_rollout::ClusterState;

use crate::requests::Requests;

/// Polls in a row without a report after which a target is down.
const MISSES_UNTIL_DOWN: u32 = 4;

/// What is known of one target.
#[derive(Debug, Default)]
struct Load {
    versions: Vec<VersionId>,
    misses: u32,
    leaving: bool,
}

/// A change in whether a target can be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// No change.
    Same,
    /// The target has not reported for several polls.
    Lost,
    /// The target reports again.
    Back,
}

/// What is known of all targets.
#[derive(Debug, Default)]
pub struct Loads(HashMap<TargetId, Load>);

impl Loads {
    /// Takes the result of a poll.
    pub fn on_poll(&mut self, target: &TargetId, report: Option<&LoadReport>) -> Reach {
        let load = self.0.entry(target.clone()).or_default();
        let was_down = load.misses >= MISSES_UNTIL_DOWN;
        let Some(report) = report else {
            load.misses += 1;
            let is_lost = load.misses == MISSES_UNTIL_DOWN;
            return if is_lost { Reach::Lost } else { Reach::Same };
        };
        load.versions.clone_from(&report.versions);
        load.leaving = report.leaving;
        load.misses = 0;
        if was_down { Reach::Back } else { Reach::Same }
    }

    /// Forgets targets that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&TargetId) -> bool) {
        self.0.retain(|target, _| keep(target));
    }

    fn versions(&self, target: &TargetId) -> Option<Vec<VersionId>> {
        let load = self.0.get(target)?;
        let usable = load.misses < MISSES_UNTIL_DOWN && !load.leaving;
        usable.then(|| load.versions.clone())
    }
}

/// What the rollouts may ask of targets, peers and requests.
#[derive(Debug)]
pub struct LoadedView<'a> {
    /// The targets.
    pub loads: &'a Loads,
    /// Peers that can be reached.
    pub peers: &'a [InstanceIncarnation],
    /// The requests.
    pub requests: &'a Requests,
}

impl ClusterState for LoadedView<'_> {
    fn versions(&self, target: &TargetId) -> Option<Vec<VersionId>> {
        self.loads.versions(target)
    }

    fn peers(&self) -> Vec<InstanceIncarnation> {
        self.peers.to_vec()
    }

    fn in_flight(&self, service: &ServiceId, version: &VersionId) -> u32 {
        self.requests.in_flight(service, version)
    }
}
