//! The periodic tick. While this instance holds the leader's lease, the tick writes records and
//! sends orders to targets.

use std::time::Duration;

use sesamewind_protocol::evidence::Outcome;
use sesamewind_protocol::record::InstanceIncarnation;
use sesamewind_protocol::{RolloutId, Time, WallTime};

use crate::action::{Action, OrderKind};
use crate::entry::Entry;
use crate::input::{ClusterState, LeaseGrant};
use crate::rollouts::{Pending, Rollouts};
use crate::spec::RolloutSpec;
use crate::transition::{
    COMPLETION_MARGIN, LEASE_LENGTH, ORDER_TIMEOUT, TransitionContext, valid_lease,
};

/// Time between two attempts at a failing store operation.
const STORE_RETRY: Duration = Duration::from_secs(1);
/// Time after an outcome for which the losing version stays loaded while an instance that counted
/// requests is unreachable and may not know the outcome.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(1800);

/// State of the leader. It exists only while this instance holds the lease.
#[derive(Debug)]
pub(crate) struct Leader {
    /// Fencing number of the lease.
    pub(crate) fence: u64,
    /// When this instance first saw that it holds the lease.
    pub(crate) since: Time,
    /// Whether the rows have been read from the store since this instance became leader and since
    /// the last lost response.
    pub(crate) listed: bool,
    /// Whether a listing of the rows is in progress.
    pub(crate) listing: bool,
    listing_sent: Option<Time>,
}

impl Rollouts {
    /// Judges changed evidence, and acts as leader if `lease` is valid. Every instance calls this
    /// about once a second.
    pub fn tick(
        &mut self,
        now: Time,
        wall: WallTime,
        lease: Option<LeaseGrant>,
        cluster: &dyn ClusterState,
    ) -> Vec<Action> {
        self.wall = wall;
        self.update_targets(cluster);
        self.judge_changed();
        let mut actions = Vec::new();
        match valid_lease(lease, now) {
            Some(lease) => self.act_as_leader(now, lease, cluster, &mut actions),
            None => self.step_down(),
        }
        actions.extend(self.events.drain(..).map(Action::Event));
        actions
    }

    fn step_down(&mut self) {
        self.leader = None;
        self.orders.clear();
    }

    fn act_as_leader(
        &mut self,
        now: Time,
        lease: LeaseGrant,
        cluster: &dyn ClusterState,
        actions: &mut Vec<Action>,
    ) {
        if self.leader.as_ref().is_none_or(|leader| leader.fence != lease.fence) {
            self.orders.clear();
            self.leader = Some(Leader {
                fence: lease.fence,
                since: now,
                listed: false,
                listing: false,
                listing_sent: None,
            });
        }
        let Some(leader) = &mut self.leader else { return };
        if !leader.listed {
            let due = leader.listing_sent.is_none_or(|at| now.since(at) >= STORE_RETRY);
            if !leader.listing && due {
                leader.listing = true;
                leader.listing_sent = Some(now);
                actions.push(Action::ReadRecords);
            }
            return;
        }
        // By then, orders of an earlier leader have taken effect or can no longer do so.
        let settled = now.since(leader.since) >= LEASE_LENGTH + ORDER_TIMEOUT;
        self.write_records(now, lease, cluster, settled, actions);
        self.order_loads(now, lease, cluster, actions);
        if settled {
            self.order_unloads(now, lease, cluster, actions);
        }
    }

    fn write_records(
        &mut self,
        now: Time,
        lease: LeaseGrant,
        cluster: &dyn ClusterState,
        settled: bool,
        actions: &mut Vec<Action>,
    ) {
        let ids: Vec<RolloutId> = self.entries.keys().cloned().collect();
        for id in ids {
            let busy = self
                .pending
                .get(&id)
                .is_some_and(|pending| pending.open || now.since(pending.sent) < STORE_RETRY);
            if busy {
                continue;
            }
            let Some(action) = self.next_write(&id, now, lease, cluster, settled) else { continue };
            if let Action::WriteRecord { record, .. } = &action {
                let pending = Pending { record: record.clone(), sent: now, open: true };
                self.pending.insert(id, pending);
            }
            actions.push(action);
        }
    }

    fn next_write(
        &self,
        id: &RolloutId,
        now: Time,
        lease: LeaseGrant,
        cluster: &dyn ClusterState,
        settled: bool,
    ) -> Option<Action> {
        let entry = self.entries.get(id)?;
        let unloading =
            entry.spec.as_ref().is_some_and(|spec| self.is_unloading(spec, now, settled));
        let context = TransitionContext {
            id,
            entry,
            evidence: &self.evidence,
            config: self.config,
            lease,
            wall: self.wall,
            cluster,
            unloading,
            active: self.is_active(id, entry),
        };
        let record = context.next_record()?;
        let completes = matches!(record.outcome, Some(Outcome::Completed { .. }));
        let latest =
            WallTime(record.deadline.0.saturating_sub(COMPLETION_MARGIN.as_millis() as u64));
        Some(Action::WriteRecord {
            rollout: id.clone(),
            expected: entry.revision,
            record,
            before: completes.then_some(latest),
            lease_until: lease.valid_until,
        })
    }

    /// Returns whether this rollout is the one of its service that may advance.
    fn is_active(&self, id: &RolloutId, entry: &Entry) -> bool {
        let Some(spec) = &entry.spec else { return true };
        self.active(&spec.service).is_some_and(|(active, _)| active == id)
    }

    /// Returns whether an unload of the new version may still be in transit to a target.
    fn is_unloading(&self, spec: &RolloutSpec, now: Time, settled: bool) -> bool {
        let lost_before = self.entries.values().any(|entry| {
            let same_service =
                entry.record.as_ref().is_some_and(|record| record.service == spec.service);
            same_service && entry.losing() == Some(&spec.to)
        });
        self.orders.is_unloading(&spec.to, now) || lost_before && !settled
    }

    fn order_loads(
        &mut self,
        now: Time,
        lease: LeaseGrant,
        cluster: &dyn ClusterState,
        actions: &mut Vec<Action>,
    ) {
        for (id, entry) in &self.entries {
            let Some(spec) = &entry.spec else { continue };
            let wanted = entry.record.is_some() && !entry.has_ended() && entry.verdict.is_none();
            if !wanted || !entry.matches_spec() || !self.is_active(id, entry) {
                continue;
            }
            for target in &entry.missing {
                if !self.orders.may_load(target, now) {
                    continue;
                }
                self.orders.record_sent(target, OrderKind::Load, &spec.to, now);
                actions.push(Action::Order {
                    target: target.clone(),
                    fence: lease.fence,
                    order: OrderKind::Load,
                    version: spec.to.clone(),
                    lease_until: lease.valid_until,
                });
            }
        }
        let targets = self.entries.values().filter_map(|entry| entry.spec.as_ref());
        for target in targets.flat_map(|spec| &spec.targets) {
            if let Some(versions) = cluster.versions(target) {
                self.orders.remove_done(target, &versions);
            }
        }
    }

    /// Orders targets to unload the losing version if they also have the winning one. Starts once
    /// every reachable instance knows the outcome and has no request left on the losing version.
    fn order_unloads(
        &mut self,
        now: Time,
        lease: LeaseGrant,
        cluster: &dyn ClusterState,
        actions: &mut Vec<Action>,
    ) {
        for (id, entry) in &self.entries {
            let Some(spec) = &entry.spec else { continue };
            let Some(losing) = entry.losing().filter(|_| self.may_unload(id, entry, cluster))
            else {
                continue;
            };
            let winning = if *losing == spec.from { &spec.to } else { &spec.from };
            for target in &spec.targets {
                let Some(versions) = cluster.versions(target) else { continue };
                let both = versions.contains(losing) && versions.contains(winning);
                if !both || !self.orders.is_free(target, now) {
                    continue;
                }
                self.orders.record_sent(target, OrderKind::Unload, losing, now);
                actions.push(Action::Order {
                    target: target.clone(),
                    fence: lease.fence,
                    order: OrderKind::Unload,
                    version: losing.clone(),
                    lease_until: lease.valid_until,
                });
            }
        }
    }

    fn may_unload(&self, id: &RolloutId, entry: &Entry, cluster: &dyn ClusterState) -> bool {
        let (Some(record), Some(losing)) = (&entry.record, entry.losing()) else { return false };
        let contested = *losing == record.from && entry.verdict.is_some();
        let wanted = self.entries.values().any(|other| {
            let spec = other.spec.as_ref().filter(|spec| spec.service == record.service);
            let spec = spec.filter(|_| !other.has_ended());
            spec.is_some_and(|spec| spec.from == *losing || spec.to == *losing)
        });
        if contested || wanted || !entry.matches_spec() {
            return false;
        }
        let peers = cluster.peers();
        let drained_peers = peers.iter().all(|peer| {
            let known = entry.peers.get(peer);
            known.is_some_and(|known| known.revision >= entry.revision && known.draining == 0)
        });
        let drained = cluster.in_flight(&record.service, losing) == 0;
        drained_peers && drained && self.is_known_by_unreachable(id, entry, &peers)
    }

    /// Returns whether each unreachable instance that counted requests knows the outcome, or
    /// [`UNREACHABLE_TIMEOUT`] has passed.
    fn is_known_by_unreachable(
        &self,
        id: &RolloutId,
        entry: &Entry,
        peers: &[InstanceIncarnation],
    ) -> bool {
        let at = match entry.outcome() {
            Some(Outcome::Completed { at } | Outcome::RolledBack { at, .. }) => *at,
            None => return false,
        };
        if self.wall.since(at) >= UNREACHABLE_TIMEOUT {
            return true;
        }
        self.evidence.cells_of(id).all(|(key, _)| {
            let reachable = key.instance == self.instance
                || peers.iter().any(|peer| peer.instance == key.instance);
            let known = entry.peers.iter().any(|(peer, known)| {
                peer.instance == key.instance && known.revision >= entry.revision
            });
            reachable || known
        })
    }

    /// Updates which reachable targets lack the new version, and whether most of them lack the old
    /// one.
    fn update_targets(&mut self, cluster: &dyn ClusterState) {
        for entry in self.entries.values_mut() {
            entry.missing.clear();
            entry.unreachable.clear();
            let Some(spec) = &entry.spec else { continue };
            let (mut reachable, mut old) = (0, 0);
            for target in &spec.targets {
                let Some(versions) = cluster.versions(target) else {
                    entry.unreachable.push(target.clone());
                    continue;
                };
                reachable += 1;
                old += usize::from(versions.contains(&spec.from));
                if !versions.contains(&spec.to) {
                    entry.missing.push(target.clone());
                }
            }
            entry.old_unloaded = reachable > 2 * old;
        }
    }
}
