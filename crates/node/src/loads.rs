//! Load reports of targets, from which rollouts read the loaded versions and the node derives
//! whether a target is reachable.

use std::collections::HashMap;

use sesamewind_protocol::record::InstanceIncarnation;
use sesamewind_protocol::target::LoadReport;
use sesamewind_protocol::{ServiceId, TargetId, VersionId};
use sesamewind_rollout::ClusterState;

use crate::requests::Requests;

/// Number of consecutive polls without a report after which a target counts as down.
const MISSED_POLLS_UNTIL_DOWN: u32 = 4;

/// The last known state of one target.
#[derive(Debug, Default)]
struct TargetLoad {
    versions: Vec<VersionId>,
    missed_polls: u32,
    leaving: bool,
}

/// A change of a target's reachability.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachChange {
    /// No change.
    Unchanged,
    /// The target has missed several consecutive polls.
    Lost,
    /// The target reports again.
    Regained,
}

/// The last known states of all targets.
#[derive(Debug, Default)]
pub struct Loads(HashMap<TargetId, TargetLoad>);

impl Loads {
    /// Records the result of a poll.
    pub fn on_poll(&mut self, target: &TargetId, report: Option<&LoadReport>) -> ReachChange {
        let load = self.0.entry(target.clone()).or_default();
        let was_down = load.missed_polls >= MISSED_POLLS_UNTIL_DOWN;
        let Some(report) = report else {
            load.missed_polls += 1;
            let is_lost = load.missed_polls == MISSED_POLLS_UNTIL_DOWN;
            return if is_lost { ReachChange::Lost } else { ReachChange::Unchanged };
        };
        load.versions.clone_from(&report.versions);
        load.leaving = report.leaving;
        load.missed_polls = 0;
        if was_down { ReachChange::Regained } else { ReachChange::Unchanged }
    }

    /// Removes the targets for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&TargetId) -> bool) {
        self.0.retain(|target, _| keep(target));
    }

    fn versions(&self, target: &TargetId) -> Option<Vec<VersionId>> {
        let load = self.0.get(target)?;
        let is_usable = load.missed_polls < MISSED_POLLS_UNTIL_DOWN && !load.leaving;
        is_usable.then(|| load.versions.clone())
    }
}

/// The state of targets, peers and requests that the rollouts read.
#[derive(Debug)]
pub struct ClusterView<'a> {
    /// States of the targets.
    pub loads: &'a Loads,
    /// Reachable peers.
    pub peers: &'a [InstanceIncarnation],
    /// Open requests.
    pub requests: &'a Requests,
}

impl ClusterState for ClusterView<'_> {
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
