//! The facade: all rollouts of the accepted sheet in one instance's view.

use std::collections::BTreeMap;

use sesamewind_protocol::evidence::{Arm, EvidenceCell, RecordEntry, RolloutRecord, VerdictEntry};
use sesamewind_protocol::record::InstanceIncarnation;
use sesamewind_protocol::{
    Incarnation, InstanceId, RequestKey, Revision, RolloutId, RouteId, ServiceId, TargetId, Time,
    VersionId, WallTime,
};

use crate::action::RolloutEvent;
use crate::entry::{Entry, PeerEntry};
use crate::evidence::{CellKey, Evidence, length_class};
use crate::input::{ClusterState, EndState, Observation, OrderResult, ReadResult, WriteResult};
use crate::judge::judge;
use crate::leader::Leader;
use crate::orders::Orders;
use crate::rule::{MaxSprt, Rule};
use crate::spec::RolloutSpec;

/// Requests of the new version between two judgements when none of them fails.
const JUDGE_INTERVAL_REQUESTS: u64 = 16;

/// A write that the store was asked for.
#[derive(Debug)]
pub(crate) struct Pending {
    /// What was to be written.
    pub(crate) record: RolloutRecord,
    /// When it was asked for.
    pub(crate) sent: Time,
    /// Whether the answer is awaited; if not, the write certainly failed.
    pub(crate) open: bool,
}

/// All rollouts in one instance's view, with the steward's part while it holds the lease.
#[derive(Debug)]
pub struct Rollouts {
    pub(crate) instance: InstanceId,
    incarnation: Incarnation,
    pub(crate) config: Revision,
    pub(crate) entries: BTreeMap<RolloutId, Entry>,
    pub(crate) evidence: Evidence,
    pub(crate) rule: Box<dyn Rule + Send + Sync>,
    pub(crate) leader: Option<Leader>,
    pub(crate) pending: BTreeMap<RolloutId, Pending>,
    pub(crate) orders: Orders,
    pub(crate) events: Vec<RolloutEvent>,
    pub(crate) wall: WallTime,
}

impl Rollouts {
    /// An instance's view before any configuration.
    pub fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        Self::with_rule(instance, incarnation, Box::new(MaxSprt::default()))
    }

    /// As [`Rollouts::new`] with another rule for verdicts.
    pub fn with_rule(
        instance: InstanceId,
        incarnation: Incarnation,
        rule: Box<dyn Rule + Send + Sync>,
    ) -> Self {
        Self {
            instance,
            incarnation,
            config: Revision(0),
            entries: BTreeMap::new(),
            evidence: Evidence::default(),
            rule,
            leader: None,
            pending: BTreeMap::new(),
            orders: Orders::default(),
            events: Vec::new(),
            wall: WallTime(0),
        }
    }

    /// Sets how many loads may run at the same time, as the weight store bears.
    pub fn limit_loads(&mut self, loads: usize) {
        self.orders.set_max_loads(loads);
    }

    /// Takes the rollout rows of the accepted sheet; an older revision changes nothing.
    ///
    /// A rollout that the sheet no longer holds gets no requests any more; its record is ended by
    /// the steward.
    pub fn configure(&mut self, specs: &[RolloutSpec], revision: Revision, wall: WallTime) {
        if revision <= self.config {
            return;
        }
        self.config = revision;
        self.wall = wall;
        for (id, entry) in &mut self.entries {
            entry.spec = None;
            if !specs.iter().any(|spec| spec.id == *id) {
                self.evidence.forget(id);
            }
        }
        for spec in specs {
            let entry = self.entries.entry(spec.id.clone()).or_default();
            entry.spec = Some(spec.clone());
        }
    }

    /// The version that serves the request with `key`; `None` if no rollout concerns the service.
    ///
    /// The choice is equal on every instance that knows the same record: a hash of the request's
    /// key against the share.
    pub fn version_for(
        &self,
        service: &ServiceId,
        _route: &RouteId,
        key: &RequestKey,
        wall: WallTime,
    ) -> Option<VersionId> {
        let (id, entry) = self.active(service)?;
        let spec = entry.spec.as_ref()?;
        let chosen = key.position(id.as_str()) < entry.share(wall);
        Some(if chosen { spec.to.clone() } else { spec.from.clone() })
    }

    /// Counts a request that ended, and judges at once if it speaks against the new version.
    pub fn observe(&mut self, observation: Observation<'_>) {
        let Some((id, entry)) = self.active(observation.service) else { return };
        let Some(spec) = entry.spec.as_ref().filter(|_| !entry.has_ended()) else { return };
        let arm = match observation.version {
            version if *version == spec.to => Arm::New,
            version if *version == spec.from => Arm::Old,
            _ => return,
        };
        let id = id.clone();
        let key = CellKey {
            stage: entry.stage_at(observation.sent),
            route: observation.route.clone(),
            class: length_class(observation.prompt_tokens),
            arm,
            instance: self.instance.clone(),
            incarnation: self.incarnation,
        };
        self.wall = observation.wall;
        self.evidence.count(&id, key, observation.outcome, observation.duration);
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.changed = true;
        }
        if arm == Arm::Old {
            return;
        }
        let failed = observation.outcome == EndState::Failed;
        if failed || self.evidence.requests(&id, arm).is_multiple_of(JUDGE_INTERVAL_REQUESTS) {
            self.judge_changed();
        }
    }

    /// All cells of rollouts that have not ended, own and merged.
    pub fn evidence(&self) -> Vec<EvidenceCell> {
        self.evidence_since(0).1
    }

    /// Cells that changed after `mark`, with the mark for the next call; zero asks for all.
    pub fn evidence_since(&self, after: u64) -> (u64, Vec<EvidenceCell>) {
        let mut cells = self.evidence.changed_since(after);
        cells
            .retain(|cell| self.entries.get(&cell.rollout).is_some_and(|entry| !entry.has_ended()));
        (self.evidence.changes(), cells)
    }

    /// Merges cells of peers. Order and repetition make no difference.
    ///
    /// Failures of the new version are judged at once, everything else at the next tick.
    pub fn merge(&mut self, cells: &[EvidenceCell]) {
        let mut failed = false;
        for cell in cells {
            let Some(entry) = self.entries.get_mut(&cell.rollout) else { continue };
            let known = entry.spec.is_some() && !entry.has_ended();
            if known && self.evidence.merge(cell) {
                entry.changed = true;
                failed |= cell.arm == Arm::New && cell.failures > 0;
            }
        }
        if failed {
            self.judge_changed();
        }
    }

    /// All verdicts known here, for the peers.
    pub fn verdicts(&self) -> Vec<VerdictEntry> {
        self.entries.values().filter_map(|entry| entry.verdict.clone()).collect()
    }

    /// Takes verdicts of peers; the first one on a rollout stays.
    pub fn learn_verdicts(&mut self, verdicts: &[VerdictEntry]) {
        for verdict in verdicts {
            let entry = self.entries.entry(verdict.rollout.clone()).or_default();
            if entry.verdict.is_none() {
                entry.verdict = Some(verdict.clone());
                self.events.push(RolloutEvent::Judged(verdict.clone()));
            }
        }
    }

    /// All records known here, for the peers.
    pub fn records(&self, cluster: &dyn ClusterState) -> Vec<RecordEntry> {
        let records = self.entries.iter().filter_map(|(id, entry)| {
            let record = entry.record.clone()?;
            let losing = entry.losing();
            let draining = losing.map_or(0, |version| cluster.in_flight(&record.service, version));
            Some(RecordEntry { rollout: id.clone(), revision: entry.revision, record, draining })
        });
        records.collect()
    }

    /// Takes the records that the peer `from` holds in its present life.
    pub fn on_peer_records(&mut self, from: &InstanceIncarnation, records: &[RecordEntry]) {
        for received in records {
            self.on_record(&received.rollout, received.revision, received.record.clone());
            let peer = PeerEntry { revision: received.revision, draining: received.draining };
            if let Some(entry) = self.entries.get_mut(&received.rollout) {
                entry.peers.retain(|known, _| known.instance != from.instance || known == from);
                entry.peers.insert(from.clone(), peer);
            }
        }
    }

    /// Takes a record read from the store or heard from a peer; only a higher revision counts.
    pub fn on_record(&mut self, id: &RolloutId, revision: u64, record: RolloutRecord) {
        let entry = self.entries.entry(id.clone()).or_default();
        if revision <= entry.revision {
            return;
        }
        let before = entry.record.as_ref().map(|record| (record.stage, record.share));
        entry.revision = revision;
        if let Some(outcome) = &record.outcome {
            let event = RolloutEvent::Ended { rollout: id.clone(), outcome: outcome.clone() };
            self.events.push(event);
        } else if before != Some((record.stage, record.share)) {
            let (stage, share) = (record.stage, record.share);
            self.events.push(RolloutEvent::Staged { rollout: id.clone(), stage, share });
        }
        entry.record = Some(record);
        entry.track_stage(self.wall);
    }

    /// Takes the store's answer to a write.
    pub fn on_write(&mut self, id: &RolloutId, result: WriteResult) {
        let Some(mut pending) = self.pending.remove(id) else { return };
        match result {
            WriteResult::Stored(revision) => self.on_record(id, revision, pending.record),
            WriteResult::Conflict(revision, record) => self.on_record(id, revision, record),
            WriteResult::Unknown => {
                if let Some(leader) = &mut self.leader {
                    leader.listed = false;
                }
            }
            WriteResult::Failed => {
                pending.open = false;
                self.pending.insert(id.clone(), pending);
            }
        }
    }

    /// Takes the store's answer to a listing of the rollout rows.
    pub fn on_read(&mut self, result: ReadResult) {
        let rows = match result {
            ReadResult::Rows(rows) => rows,
            ReadResult::Failed => return self.end_listing(false),
        };
        for row in rows {
            self.on_record(&row.rollout, row.revision, row.record);
        }
        self.end_listing(true);
    }

    /// Takes a target's answer to an order.
    pub fn on_order(&mut self, target: &TargetId, result: OrderResult) {
        self.orders.on_result(target, result);
    }

    /// The rollout that decides on `service`: the unfinished one with the earliest deadline, else
    /// the one with the latest deadline.
    pub(crate) fn active(&self, service: &ServiceId) -> Option<(&RolloutId, &Entry)> {
        let rows = || {
            self.entries.iter().filter_map(|(id, entry)| {
                let spec = entry.spec.as_ref().filter(|spec| spec.service == *service)?;
                Some((spec.deadline, id, entry))
            })
        };
        let running = rows().filter(|(_, _, entry)| !entry.has_ended());
        let (_, id, entry) = running
            .min_by_key(|(deadline, id, _)| (*deadline, *id))
            .or_else(|| rows().max_by_key(|(deadline, id, _)| (*deadline, *id)))?;
        Some((id, entry))
    }

    /// Judges every rollout whose evidence changed.
    pub(crate) fn judge_changed(&mut self) {
        for (id, entry) in self.entries.iter_mut().filter(|(_, entry)| entry.changed) {
            let judged = judge(entry, id, &self.evidence, &*self.rule, &self.instance, self.wall);
            entry.track_stage(self.wall);
            if let Some(verdict) = entry.verdict.as_ref().filter(|_| judged) {
                self.events.push(RolloutEvent::Judged(verdict.clone()));
            }
        }
    }

    fn end_listing(&mut self, listed: bool) {
        if let Some(leader) = &mut self.leader {
            leader.listed = listed;
            leader.listing = false;
        }
    }
}
