//! Targets that accept no new work.
//!
//! A target is leaving for the rest of its incarnation once any source has reported it: the
//! platform's list, a load report, a refusal by the target, or another instance. A later report
//! never revokes the state within the same incarnation.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewind_protocol::message::LeavingEntry;
use sesamewind_protocol::{Incarnation, TargetId, Time};

use crate::{ListedState, ListedTarget};

#[derive(Debug, Default)]
struct Target {
    /// The newest incarnation reported by the target itself; zero if none.
    incarnation: Incarnation,
    /// When that incarnation was first reported.
    since: Time,
    /// Whether an earlier incarnation has been reported.
    restarted: bool,
    /// The newest incarnation known to be leaving.
    leaving: Option<Incarnation>,
    /// Whether the latest list marks the target as leaving and that has been applied.
    listed: bool,
    /// When any source last reported the target.
    last_seen: Time,
}

/// The set of leaving targets.
#[derive(Debug)]
pub struct Leaving {
    list_lag: Duration,
    retention: Duration,
    targets: BTreeMap<TargetId, Target>,
}

impl Leaving {
    /// Creates an empty set.
    ///
    /// The platform's list is at most `list_lag` behind. A target is forgotten when no source has
    /// reported it for `retention`.
    pub fn new(list_lag: Duration, retention: Duration) -> Self {
        Self { list_lag, retention, targets: BTreeMap::new() }
    }

    /// Returns whether the newest known incarnation of `target` is leaving.
    pub fn contains(&self, target: &TargetId) -> bool {
        self.targets.get(target).is_some_and(Target::is_leaving)
    }

    /// Returns the leaving targets, to be sent to other instances.
    pub fn entries(&self) -> Vec<LeavingEntry> {
        let leaving = self.targets.iter().filter(|(_, target)| target.is_leaving());
        leaving
            .filter_map(|(name, target)| {
                let incarnation = target.leaving?;
                Some(LeavingEntry { target: name.clone(), incarnation })
            })
            .collect()
    }

    /// Applies the platform's list; returns whether any target started to leave.
    ///
    /// The list contains no incarnations. A leaving state in it applies to the newest known
    /// incarnation, unless that incarnation may have started after the list was made.
    pub fn on_list(&mut self, listed: &[ListedTarget], now: Time) -> bool {
        let mut changed = false;
        for entry in listed {
            let list_lag = self.list_lag;
            let target = self.target_mut(&entry.name, now);
            if entry.state == ListedState::Live {
                target.listed = false;
                continue;
            }
            let is_settled = !target.restarted || now.since(target.since) > list_lag;
            if target.listed || !is_settled {
                continue;
            }
            target.listed = true;
            changed |= target.mark_leaving(target.incarnation);
        }
        changed
    }

    /// Applies a load report of `target` itself; returns whether the target started to leave.
    pub fn on_report(
        &mut self,
        target: &TargetId,
        incarnation: Incarnation,
        leaving: bool,
        now: Time,
    ) -> bool {
        let entry = self.target_mut(target, now);
        entry.observe(incarnation, now);
        leaving && entry.mark_leaving(incarnation)
    }

    /// Records that `target` refused a request because it is leaving; returns whether that is new.
    pub fn on_refusal(&mut self, target: &TargetId, now: Time) -> bool {
        let entry = self.target_mut(target, now);
        entry.mark_leaving(entry.incarnation)
    }

    /// Applies the entries received from another instance; returns whether any is new.
    pub fn on_entries(&mut self, entries: &[LeavingEntry], now: Time) -> bool {
        let mut changed = false;
        for entry in entries {
            changed |= self.target_mut(&entry.target, now).mark_leaving(entry.incarnation);
        }
        changed
    }

    /// Forgets the targets that no source has reported within the retention time.
    pub fn tick(&mut self, now: Time) {
        let retention = self.retention;
        self.targets.retain(|_, target| now.since(target.last_seen) <= retention);
    }

    fn target_mut(&mut self, name: &TargetId, now: Time) -> &mut Target {
        let target = self.targets.entry(name.clone()).or_default();
        target.last_seen = now;
        target
    }
}

impl Target {
    fn is_leaving(&self) -> bool {
        self.leaving.is_some_and(|incarnation| incarnation >= self.incarnation)
    }

    /// Records an incarnation reported by the target itself.
    fn observe(&mut self, incarnation: Incarnation, now: Time) {
        if incarnation <= self.incarnation {
            return;
        }
        let is_first = self.incarnation == Incarnation::default();
        // A leaving state reported before any incarnation was known applies to the first one.
        if is_first && self.leaving == Some(Incarnation::default()) {
            self.leaving = Some(incarnation);
        }
        self.restarted = !is_first;
        self.incarnation = incarnation;
        self.since = now;
    }

    /// Marks `incarnation` as leaving; returns whether that is new for the target.
    fn mark_leaving(&mut self, incarnation: Incarnation) -> bool {
        let was_leaving = self.is_leaving();
        self.leaving = self.leaving.max(Some(incarnation));
        !was_leaving && self.is_leaving()
    }
}
