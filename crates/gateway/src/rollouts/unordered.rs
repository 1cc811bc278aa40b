//! Versions of a service that no order known to this instance names.
//!
//! The targets of a version may be listed here before the order of its rollout is read, and peers
//! may report a rollout whose order is not known here. Such a version gets no more than the probing
//! share, for a bounded time: a version that replaces another one without an order is then used as
//! any other.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sesamewind_protocol::relay::RolloutOutcome;
use sesamewind_protocol::{Time, VersionId};

use super::AllowedVersions;
use super::schedule::FIRST_SHARE;

/// Time after the first target of a version is listed for which the version counts as unordered.
/// An order that is older reaches all instances in this time.
const SETTLING_TIME: Duration = Duration::from_secs(1);

/// Time after the last report of a running rollout for which its version counts as unordered.
/// Peers that know of the rollout report it more often.
const REPORT_RETENTION: Duration = Duration::from_secs(2);

/// What is known of a version without an order.
#[derive(Debug, Clone, Copy)]
struct Knowledge {
    /// Until when the version gets no more than the probing share.
    until: Time,
    /// Whether a peer has reported a rollout of the version.
    is_reported: bool,
    /// How that rollout ended. It counts beyond `until`.
    outcome: Option<RolloutOutcome>,
}

/// Versions of one service without an order.
#[derive(Debug, Clone, Default)]
pub(super) struct Unordered {
    versions: BTreeMap<VersionId, Knowledge>,
    /// Versions that have been listed.
    listed: BTreeSet<VersionId>,
}

impl Unordered {
    /// Applies the slots of each version that is listed now, except those of the version with a
    /// known order, which is `ordered`. A new version settles as long as it has no more slots than
    /// the others. The versions of the first list are not new.
    pub(super) fn observe(
        &mut self,
        slots: &BTreeMap<&VersionId, u32>,
        ordered: Option<&VersionId>,
        now: Time,
    ) {
        let is_first = self.listed.is_empty();
        let all: u32 = slots.values().sum();
        for (&version, &own) in slots {
            let is_new = self.listed.insert(version.clone());
            let is_minor = own <= all - own;
            if is_new && !is_first && is_minor && ordered != Some(version) {
                let until = now + SETTLING_TIME;
                let settling = Knowledge { until, is_reported: false, outcome: None };
                self.versions.entry(version.clone()).or_insert(settling);
            } else if !is_minor && self.versions.get(version).is_some_and(|one| !one.is_reported) {
                self.versions.remove(version);
            }
        }
    }

    /// Applies a peer's report of a rollout. An outcome that the store holds replaces a known one.
    pub(super) fn report(
        &mut self,
        version: &VersionId,
        outcome: Option<RolloutOutcome>,
        is_recorded: bool,
        now: Time,
    ) {
        let until = now + REPORT_RETENTION;
        let reported = Knowledge { until, is_reported: true, outcome: None };
        let known = self.versions.entry(version.clone()).or_insert(reported);
        known.until = known.until.max(until);
        known.is_reported = true;
        if is_recorded || known.outcome.is_none() {
            known.outcome = outcome.or(known.outcome);
        }
    }

    /// Forgets what was reported before an order of `version` was read. Returns the reported outcome
    /// of the ordered rollout.
    pub(super) fn order(&mut self, version: &VersionId) -> Option<RolloutOutcome> {
        let outcome = self.versions.get(version).and_then(|known| known.outcome);
        self.versions.clear();
        outcome
    }

    /// Removes the versions that are no longer limited at `now`.
    pub(super) fn expire(&mut self, now: Time) {
        self.versions.retain(|_, known| known.outcome.is_some() || now < known.until);
    }

    /// Returns whether `version` is one without an order.
    pub(super) fn contains(&self, version: &VersionId) -> bool {
        self.versions.contains_key(version)
    }

    /// Returns the versions that may take a request at `point` of those that the known orders allow.
    pub(super) fn restrict(&self, allowed: AllowedVersions, point: f64) -> AllowedVersions {
        let mut excluded = Vec::new();
        for (version, known) in &self.versions {
            match known.outcome {
                Some(RolloutOutcome::Completed) => return AllowedVersions::Prefer(version.clone()),
                None if point < FIRST_SHARE => {}
                Some(RolloutOutcome::TakenBack) | None => excluded.push(version.clone()),
            }
        }
        match allowed {
            _ if excluded.is_empty() => allowed,
            AllowedVersions::Only(version) => AllowedVersions::Only(version),
            AllowedVersions::Except(others) => {
                excluded.extend(others);
                AllowedVersions::Except(excluded)
            }
            AllowedVersions::Any | AllowedVersions::Prefer(_) => AllowedVersions::Except(excluded),
        }
    }
}
