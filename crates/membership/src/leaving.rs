//! Targets that take no new work any more.
//!
//! "Leaving" holds for one life of a target and is never taken back within it. It is taken from
//! whichever source says it first: the platform's list, a load report, a refusal or an instance.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewind_protocol::message::LeavingEntry;
use sesamewind_protocol::{Incarnation, TargetId, Time};

use crate::{ListedState, ListedTarget};

#[derive(Debug, Default)]
struct Target {
    /// The newest life heard of from the target itself; zero if none.
    incarnation: Incarnation,
    /// When that life was first heard of.
    since: Time,
    /// Whether an earlier life was heard of.
    restarted: bool,
    /// The newest life that leaves.
    leaving: Option<Incarnation>,
    /// Whether the list said "leaving" when it was last read, and that was taken over.
    listed: bool,
    /// When the target was last heard of from any source.
    last_seen: Time,
}

/// The set of targets that leave.
#[derive(Debug)]
pub struct Leaving {
    list_lag: Duration,
    retention: Duration,
    targets: BTreeMap<TargetId, Target>,
}

impl Leaving {
    /// Starts empty. The list lags by `lag` at most; a target that no source speaks of is forgotten
    /// after `keep`.
    pub fn new(list_lag: Duration, retention: Duration) -> Self {
        Self { list_lag, retention, targets: BTreeMap::new() }
    }

    /// Whether `target` leaves in the newest life known of it.
    pub fn contains(&self, target: &TargetId) -> bool {
        self.targets.get(target).is_some_and(Target::is_leaving)
    }

    /// The targets that leave, for the other instances.
    pub fn entries(&self) -> Vec<LeavingEntry> {
        let leaving = self.targets.iter().filter(|(_, target)| target.is_leaving());
        leaving
            .filter_map(|(name, target)| {
                let incarnation = target.leaving?;
                Some(LeavingEntry { target: name.clone(), incarnation })
            })
            .collect()
    }

    /// Takes the platform's list. It names no lives: its word counts for the life known, but not
    /// for one that may have started after the list was made.
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

    /// Takes what a target says of itself; returns whether it now leaves and did not before.
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

    /// Takes a refusal of `target` that says that it leaves; returns whether that is new.
    pub fn on_refusal(&mut self, target: &TargetId, now: Time) -> bool {
        let entry = self.target_mut(target, now);
        entry.mark_leaving(entry.incarnation)
    }

    /// Takes the word of another instance; returns whether anything is new.
    pub fn on_entries(&mut self, entries: &[LeavingEntry], now: Time) -> bool {
        let mut changed = false;
        for entry in entries {
            changed |= self.target_mut(&entry.target, now).mark_leaving(entry.incarnation);
        }
        changed
    }

    /// Forgets targets that no source has spoken of for long.
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

    /// Hears of a life from the target itself.
    fn observe(&mut self, incarnation: Incarnation, now: Time) {
        if incarnation <= self.incarnation {
            return;
        }
        let is_first = self.incarnation == Incarnation::default();
        // What was said before any life was known is said of the first one.
        if is_first && self.leaving == Some(Incarnation::default()) {
            self.leaving = Some(incarnation);
        }
        self.restarted = !is_first;
        self.incarnation = incarnation;
        self.since = now;
    }

    /// Takes that `life` leaves; returns whether that is new.
    fn mark_leaving(&mut self, incarnation: Incarnation) -> bool {
        let was_leaving = self.is_leaving();
        self.leaving = self.leaving.max(Some(incarnation));
        !was_leaving && self.is_leaving()
    }
}
