//! Entries that have been sent, and the messages that each receiver has acknowledged.

use std::collections::{BTreeMap, BTreeSet};

use sesamewind_protocol::evidence::{Arm, EvidenceCell, RecordEntry, VerdictEntry};
use sesamewind_protocol::message::{Exchange, LeavingEntry, Sender};
use sesamewind_protocol::traffic::{AccountUsage, TargetUsage};
use sesamewind_protocol::{AccountId, Incarnation, InstanceId, RolloutId, RouteId, TargetId};

use super::section::Section;
use crate::ExchangeKind;

/// The usage of a target or account is sent only if one of its values differs from the last one
/// sent by more than this fraction.
const CHANGE_FRACTION: f64 = 0.125;

/// Replaces [`CHANGE_FRACTION`] when there are many receivers: over many instances the errors of a
/// sum average out.
const COARSE_CHANGE_FRACTION: f64 = 0.5;

/// Number of receivers from which on the coarse fraction applies.
const MANY_RECEIVERS: usize = 12;

/// Evidence is sent when a count has grown by more than the last sent count divided by this number.
const EVIDENCE_CHANGE_DIVISOR: u64 = 8;

/// Evidence is always sent when a count has grown by this much.
const EVIDENCE_MAX_GROWTH: u64 = 32;

type CellKey = (RolloutId, InstanceId, Incarnation, u8, Arm, RouteId, u8);

#[derive(Debug)]
struct Receiver {
    /// Newest known incarnation; zero if none.
    incarnation: Incarnation,
    kind: ExchangeKind,
    /// Number of the first message of this kind that was sent to the receiver.
    first: u64,
    /// Number of the newest message of this kind that the incarnation has acknowledged; zero if
    /// none.
    acknowledged: u64,
}

/// Sections of the messages sent, and the state kept for each receiver.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    targets: Section<TargetId, TargetUsage>,
    accounts: Section<AccountId, AccountUsage>,
    leaving: Section<LeavingEntry, ()>,
    evidence: Section<CellKey, EvidenceCell>,
    verdicts: Section<RolloutId, VerdictEntry>,
    records: Section<RolloutId, RecordEntry>,
    receivers: BTreeMap<InstanceId, Receiver>,
}

impl Outbox {
    /// Reduces `exchange` to the entries to be sent to `receiver`; returns the number of the
    /// message that it is based on.
    pub(super) fn trim(
        &mut self,
        receiver: &InstanceId,
        kind: ExchangeKind,
        exchange: &mut Exchange,
    ) -> u64 {
        let offered: BTreeSet<CellKey> = exchange.evidence.iter().map(cell_key).collect();
        self.publish(exchange);
        let base = self.base(receiver, kind, exchange.from.seq);
        if kind == ExchangeKind::Full {
            let targets = self.targets.since(base);
            exchange.targets = targets.map(|(key, value)| target_usage(key, value)).collect();
            let accounts = self.accounts.since(base);
            exchange.accounts = accounts.map(|(key, value)| account_usage(key, value)).collect();
        }
        let changed = self.leaving.since(base).filter(|(_, value)| value.is_some());
        exchange.leaving = changed.map(|(entry, _)| entry.clone()).collect();
        let changed = self.evidence.since(base).filter(|(key, _)| offered.contains(key));
        exchange.evidence = changed.filter_map(|(_, cell)| cell.cloned()).collect();
        exchange.verdicts =
            self.verdicts.since(base).filter_map(|(_, entry)| entry.cloned()).collect();
        exchange.records =
            self.records.since(base).filter_map(|(_, entry)| entry.cloned()).collect();
        base
    }

    fn publish(&mut self, exchange: &mut Exchange) {
        let seq = exchange.from.seq;
        let fraction = if self.receivers.len() < MANY_RECEIVERS {
            CHANGE_FRACTION
        } else {
            COARSE_CHANGE_FRACTION
        };
        let targets = std::mem::take(&mut exchange.targets);
        let targets = targets.into_iter().map(|usage| (usage.target.clone(), usage));
        self.targets.publish(seq, targets, |old, new| is_close_target(old, new, fraction));
        let accounts = std::mem::take(&mut exchange.accounts);
        let accounts = accounts.into_iter().map(|usage| (usage.account.clone(), usage));
        self.accounts.publish(seq, accounts, |old, new| is_close_account(old, new, fraction));
        let leaving = std::mem::take(&mut exchange.leaving);
        self.leaving.publish(seq, leaving.into_iter().map(|entry| (entry, ())), |(), ()| true);
        let evidence = std::mem::take(&mut exchange.evidence);
        let evidence = evidence.into_iter().map(|cell| (cell_key(&cell), cell));
        self.evidence.merge(seq, evidence, is_close_cell);
        let verdicts = std::mem::take(&mut exchange.verdicts);
        let verdicts = verdicts.into_iter().map(|entry| (entry.rollout.clone(), entry));
        self.verdicts.publish(seq, verdicts, |_, _| true);
        let records = std::mem::take(&mut exchange.records);
        let records = records.into_iter().map(|entry| (entry.rollout.clone(), entry));
        self.records.publish(seq, records, |old, new| old == new);
    }

    fn base(&mut self, receiver: &InstanceId, kind: ExchangeKind, seq: u64) -> u64 {
        let new =
            Receiver { incarnation: Incarnation::default(), kind, first: seq, acknowledged: 0 };
        let receiver = self.receivers.entry(receiver.clone()).or_insert(new);
        // A summary omits sections, so a full message cannot be based on it.
        if receiver.kind != kind {
            *receiver =
                Receiver { incarnation: receiver.incarnation, kind, first: seq, acknowledged: 0 };
        }
        let base = receiver.acknowledged;
        let is_complete = self.targets.has_all_since(base)
            && self.accounts.has_all_since(base)
            && self.leaving.has_all_since(base)
            && self.evidence.has_all_since(base)
            && self.verdicts.has_all_since(base)
            && self.records.has_all_since(base);
        if is_complete { base } else { 0 }
    }

    /// Records that `from` has acknowledged message `seq` of this instance; `seq` is zero if `from`
    /// has acknowledged none.
    pub(super) fn acknowledge(&mut self, from: &Sender, seq: u64) {
        let Some(receiver) = self.receivers.get_mut(&from.instance) else {
            return;
        };
        if from.incarnation > receiver.incarnation {
            receiver.incarnation = from.incarnation;
            receiver.acknowledged = 0;
        }
        if from.incarnation == receiver.incarnation && seq >= receiver.first {
            receiver.acknowledged = receiver.acknowledged.max(seq);
        }
    }

    pub(super) fn forget(&mut self, instance: &InstanceId) {
        self.receivers.remove(instance);
    }
}

fn cell_key(cell: &EvidenceCell) -> CellKey {
    let EvidenceCell { rollout, instance, incarnation, stage, arm, route, class, .. } = cell;
    (rollout.clone(), instance.clone(), *incarnation, *stage, *arm, route.clone(), *class)
}

/// Returns the usage to send; a removed entry is sent as zero usage.
fn target_usage(target: &TargetId, value: Option<&TargetUsage>) -> TargetUsage {
    let none = || TargetUsage {
        target: target.clone(),
        requests: 0,
        tokens: 0,
        prefill: 0,
        prefill_speed: 0.0,
    };
    value.cloned().unwrap_or_else(none)
}

fn account_usage(account: &AccountId, value: Option<&AccountUsage>) -> AccountUsage {
    let none = || AccountUsage { account: account.clone(), tokens_per_s: 0.0, requests_per_s: 0.0 };
    value.cloned().unwrap_or_else(none)
}

fn is_close_target(old: &TargetUsage, new: &TargetUsage, fraction: f64) -> bool {
    let is_close = |old, new| is_close(old, new, fraction);
    is_close(f64::from(old.requests), f64::from(new.requests))
        && is_close(old.tokens as f64, new.tokens as f64)
        && is_close(old.prefill as f64, new.prefill as f64)
        && is_close(f64::from(old.prefill_speed), f64::from(new.prefill_speed))
}

fn is_close_account(old: &AccountUsage, new: &AccountUsage, fraction: f64) -> bool {
    let is_close = |old, new| is_close(old, new, fraction);
    is_close(f64::from(old.requests_per_s), f64::from(new.requests_per_s))
        && is_close(f64::from(old.tokens_per_s), f64::from(new.tokens_per_s))
}

/// Compares counts that only grow. The first counts are sent immediately, later ones once enough
/// have accumulated.
fn is_close_cell(old: &EvidenceCell, new: &EvidenceCell) -> bool {
    let is_close = |old: u64, new: u64| {
        let growth = new.saturating_sub(old);
        growth * EVIDENCE_CHANGE_DIVISOR <= old && growth < EVIDENCE_MAX_GROWTH
    };
    is_close(old.requests, new.requests) && is_close(old.failures, new.failures)
}

/// Compares two usage values; zero is close only to zero.
fn is_close(old: f64, new: f64, fraction: f64) -> bool {
    if old == 0.0 || new == 0.0 {
        return old == new;
    }
    (old - new).abs() <= fraction * old
}
