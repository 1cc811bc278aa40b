//! The entry point: the state of all rollouts of the accepted sheet at one instance.

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

/// Requests of the new version between two judgements while none of them fails.
const JUDGE_INTERVAL_REQUESTS: u64 = 16;

/// A write that was requested from the store.
#[derive(Debug)]
pub(crate) struct Pending {
    /// The record to write.
    pub(crate) record: RolloutRecord,
    /// When the write was requested.
    pub(crate) sent: Time,
    /// Whether the result is outstanding. If not, the write certainly failed.
    pub(crate) open: bool,
}

/// The state of all rollouts at one instance, including the leader's state while the instance holds
/// the lease.
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
    /// Creates the state of an instance that has no configuration yet.
    pub fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        Self::with_rule(instance, incarnation, Box::new(MaxSprt::default()))
    }

    /// Like [`Rollouts::new`], with another rule for verdicts.
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

    /// Sets how many loads may run at the same time. The limit protects the weight store.
    pub fn limit_loads(&mut self, loads: usize) {
        self.orders.set_max_loads(loads);
    }

    /// Applies the rollout rows of the accepted sheet. An older or equal revision changes nothing.
    ///
    /// A rollout that is missing from the sheet gets no more requests, and the leader ends its
    /// record.
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

    /// Returns the version that serves the request with `key`, or `None` if the service has no
    /// rollout.
    ///
    /// The decision compares a hash of the key with the share, so instances with the same record
    /// agree on it.
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

    /// Counts an ended request. Judges the evidence at once if the request failed at the new
    /// version, and after every [`JUDGE_INTERVAL_REQUESTS`] requests of that version.
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

    /// Returns all cells of rollouts that have not ended, both own and merged ones.
    pub fn evidence(&self) -> Vec<EvidenceCell> {
        self.evidence_since(0).1
    }

    /// Returns the cells that changed after change number `after`, with the number to pass to the
    /// next call. Zero selects all cells.
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

    /// Returns all known verdicts, to send to peers.
    pub fn verdicts(&self) -> Vec<VerdictEntry> {
        self.entries.values().filter_map(|entry| entry.verdict.clone()).collect()
    }

    /// Adds verdicts of peers. The first verdict on a rollout stays.
    pub fn learn_verdicts(&mut self, verdicts: &[VerdictEntry]) {
        for verdict in verdicts {
            let entry = self.entries.entry(verdict.rollout.clone()).or_default();
            if entry.verdict.is_none() {
                entry.verdict = Some(verdict.clone());
                self.events.push(RolloutEvent::Judged(verdict.clone()));
            }
        }
    }

    /// Returns all known records, to send to peers.
    pub fn records(&self, cluster: &dyn ClusterState) -> Vec<RecordEntry> {
        let records = self.entries.iter().filter_map(|(id, entry)| {
            let record = entry.record.clone()?;
            let losing = entry.losing();
            let draining = losing.map_or(0, |version| cluster.in_flight(&record.service, version));
            Some(RecordEntry { rollout: id.clone(), revision: entry.revision, record, draining })
        });
        records.collect()
    }

    /// Handles the records that the peer `from` holds in its current incarnation.
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

    /// Handles a record from the store or from a peer. Ignores it unless its revision is higher
    /// than the known one.
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

    /// Handles the result of a write.
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

    /// Handles the result of listing the rollout rows.
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

    /// Handles the result of an order to a target.
    pub fn on_order(&mut self, target: &TargetId, result: OrderResult) {
        self.orders.on_result(target, result);
    }

    /// Returns the rollout that determines the versions of `service`: the unfinished one with the
    /// earliest deadline, or else the ended one with the latest deadline.
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

    /// Judges every rollout whose evidence has changed.
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
