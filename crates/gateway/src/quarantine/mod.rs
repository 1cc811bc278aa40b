//! Prompt parts whose answers end targets, and the requests that are held back because of them.
//!
//! A target that ends breaks off all attempts at it. A request whose answer had not begun may be the
//! cause, and so may each part of its prompt. An answer that begins clears the parts of its prompt.
//! A part is held once several targets have ended without an answer to it having begun: requests
//! with it are refused until one is let through as a trial, whose answer clears the part.
//!
//! Instances exchange what they know of parts, since each of them sees only some of the ends.

mod begun;
mod record;
mod requests;

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use sesamewind_protocol::relay::{HoldReport, PartReport};
use sesamewind_protocol::{InstanceId, PartId, Time, text_hash};

use crate::quarantine::begun::BegunParts;
use crate::quarantine::record::{Hold, Record};
use crate::targets::{Index, ListedTarget};

/// Number of targets that have ended at a part after which the part is held.
const HELD_TARGETS: usize = 3;

/// Number of targets that have ended at a part after which a request with it is not sent again.
const SUSPECT_TARGETS: usize = 2;

/// Time for which an answer that began clears the parts of its prompt.
const CLEARED_TIME: Duration = Duration::from_secs(10);

/// Time after a broken attempt after which no other attempt may be left at its target. All attempts
/// at a target that has ended break within milliseconds.
const CONFIRM_TIME: Duration = Duration::from_millis(60);

/// Time for which a part that is not held is remembered without a change.
const MEMORY_TIME: Duration = Duration::from_secs(600);

/// Time for which an end of a target makes its parts suspect.
const SUSPICION_TIME: Duration = Duration::from_secs(10);

/// Time for which a change that this instance has seen itself is part of each report to peers.
const NEWS_TIME: Duration = Duration::from_secs(2);

/// Interval at which a peer is told of all parts.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// Shortest time after which the caller of a refused request may return.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Maximum number of parts with a record.
const MAX_RECORDS: usize = 1_024;

/// Maximum number of parts in a report to a peer.
const MAX_REPORTS: usize = 64;

/// Maximum number of broken attempts that wait for confirmation.
const MAX_BREAKS: usize = 512;

/// A change of a part's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartChange {
    /// Requests with the part are refused from now on; this many targets have ended at it.
    Held(PartId, usize),
    /// One request with the part is let through.
    Tried(PartId),
    /// An answer to the part has begun, and requests with it are accepted again.
    Released(PartId),
}

/// A held part as it is saved outside of the instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SavedPart {
    /// The part.
    pub part: PartId,
    /// Number of requests that were let through as a trial.
    pub round: u32,
    /// Time until the next trial.
    pub left: Duration,
}

/// An attempt that broke before its answer began.
#[derive(Debug, Clone)]
struct Break {
    target: Index,
    /// Identity of the target's incarnation, the same at all instances.
    key: u64,
    parts: Arc<[PartId]>,
    at: Time,
}

/// What is known of parts that may end targets.
#[derive(Debug, Clone, Default)]
pub(crate) struct Quarantine {
    records: HashMap<PartId, Record>,
    begun: BegunParts,
    breaks: Vec<Break>,
    /// When each peer was last told of all parts.
    refreshed: HashMap<InstanceId, Time>,
    changes: Vec<PartChange>,
    /// Whether a part was held since the last [`Quarantine::take_holds`].
    held: bool,
    /// Parts whose hold has changed since the last [`Quarantine::parts_to_save`].
    unsaved: BTreeSet<PartId>,
}

impl Quarantine {
    /// Records that an answer to a prompt with `parts` began.
    pub(crate) fn record_begin(&mut self, parts: &[PartId], now: Time) {
        for &part in parts {
            self.clear(part, now, now);
        }
    }

    /// Records that an attempt at `target`, at position `index`, broke before its answer began.
    pub(crate) fn record_break(
        &mut self,
        index: Index,
        target: &ListedTarget,
        parts: &Arc<[PartId]>,
        now: Time,
    ) {
        if self.breaks.len() < MAX_BREAKS && !parts.is_empty() {
            let key = text_hash(target.id.as_str()) ^ target.incarnation.0;
            self.breaks.push(Break { target: index, key, parts: Arc::clone(parts), at: now });
        }
    }

    /// Decides on broken attempts that have waited long enough. `is_alive` returns whether a target
    /// has shown to exist after a time.
    pub(crate) fn confirm(&mut self, is_alive: impl Fn(Index, Time) -> bool, now: Time) {
        let is_due = |one: &mut Break| now.since(one.at) >= CONFIRM_TIME;
        let due: Vec<Break> = self.breaks.extract_if(.., is_due).collect();
        for Break { target, key, parts, at } in due {
            if is_alive(target, at) {
                continue;
            }
            for &part in parts.iter() {
                self.add_target(part, key, now);
                if let Some(record) = self.records.get_mut(&part) {
                    record.news = Some(now);
                }
            }
        }
    }

    /// Returns whether requests with `parts` are refused.
    pub(crate) fn is_held(&self, parts: &[PartId]) -> bool {
        let held = |part| self.records.get(part).is_some_and(|record| record.hold.is_some());
        parts.iter().any(held)
    }

    /// Returns whether a request with `parts` whose attempt has just broken may end a further
    /// target.
    pub(crate) fn is_suspect(&self, parts: &[PartId]) -> bool {
        let ended = |part| self.records.get(part).map_or(0, |record| record.targets().len());
        parts.iter().any(|part| ended(part) + 1 >= SUSPECT_TARGETS)
    }

    /// Decides on a new request with `parts`: it is accepted, or refused with the time after which
    /// its caller may return. `may_try` tells whether this instance decides on trials.
    pub(crate) fn admit(
        &mut self,
        parts: &[PartId],
        may_try: bool,
        now: Time,
    ) -> Result<(), Duration> {
        let hold = |part| self.records.get(part).and_then(|record| record.hold.as_ref());
        let mut holds = parts.iter().filter_map(hold).peekable();
        if holds.peek().is_none() {
            return Ok(());
        }
        let (mut left, mut may_try) = (Duration::ZERO, may_try);
        for hold in holds {
            left = left.max(hold.until.since(now));
            may_try &= hold.allows_trial(now);
        }
        if !may_try {
            return Err(left.max(MIN_RETRY_AFTER));
        }
        for part in parts {
            if let Some(record) = self.records.get_mut(part)
                && record.start_trial(now)
            {
                self.changes.push(PartChange::Tried(*part));
                self.unsaved.insert(*part);
            }
        }
        Ok(())
    }

    /// Applies what a peer knows of a part.
    pub(crate) fn apply_report(&mut self, report: &PartReport, now: Time) {
        let part = report.part;
        if let Some(age) = report.begun.filter(|age| *age < CLEARED_TIME) {
            self.clear(part, now - age, now);
        }
        if let Some(begun) = self.recent_begin(part, now) {
            if !report.targets.is_empty() || report.hold.is_some() {
                self.record(part, now).answer(begun, now, NEWS_TIME);
            }
            return;
        }
        for &key in &report.targets {
            self.add_target(part, key, now);
        }
        if let Some(hold) = &report.hold {
            self.adopt(part, Hold { round: hold.round, until: now + hold.left }, now);
        }
    }

    /// Returns what the peer `to` should know of parts.
    pub(crate) fn reports(&mut self, to: &InstanceId, now: Time) -> Vec<PartReport> {
        if self.records.is_empty() {
            return Vec::new();
        }
        let told = self.refreshed.get(to);
        let is_full = told.is_none_or(|&told| now.since(told) >= REFRESH_INTERVAL);
        if is_full {
            self.refreshed.insert(to.clone(), now);
        }
        let is_due = |record: &Record| {
            let is_news = record.news.is_some_and(|news| now.since(news) < NEWS_TIME);
            is_full || is_news || record.hold.is_some()
        };
        let mut due: Vec<_> = self.records.iter().filter(|(_, record)| is_due(record)).collect();
        due.sort_unstable_by_key(|(part, record)| (Reverse(record.weight()), **part));
        due.truncate(MAX_REPORTS);
        let reports = due.into_iter().map(|(&part, record)| PartReport {
            part,
            targets: record.targets().to_vec(),
            begun: record.begun.map(|begun| now.since(begun)).filter(|age| *age < CLEARED_TIME),
            hold: record
                .hold
                .as_ref()
                .map(|hold| HoldReport { round: hold.round, left: hold.until.since(now) }),
        });
        reports.collect()
    }

    /// Forgets what has not changed for a long time, and peers that are not `known`.
    pub(crate) fn expire(&mut self, is_known: impl Fn(&InstanceId) -> bool, now: Time) {
        self.records.retain(|_, record| {
            let kept = if record.is_cleared() { CLEARED_TIME } else { MEMORY_TIME };
            now.since(record.last_use()) < kept
        });
        self.refreshed.retain(|name, _| is_known(name));
    }

    /// Returns whether a part was held since the last call.
    pub(crate) fn take_holds(&mut self) -> bool {
        std::mem::take(&mut self.held)
    }

    /// Returns the parts whose hold has changed since the last call, each with its hold if it is
    /// still held.
    pub(crate) fn parts_to_save(&mut self, now: Time) -> Vec<(PartId, Option<SavedPart>)> {
        let unsaved = std::mem::take(&mut self.unsaved);
        let saved = unsaved.into_iter().map(|part| {
            let hold = self.records.get(&part).and_then(|record| record.hold.as_ref());
            let saved =
                hold.map(|hold| SavedPart { part, round: hold.round, left: hold.until.since(now) });
            (part, saved)
        });
        saved.collect()
    }

    /// Has a part saved again, since it could not be.
    pub(crate) fn retry_save(&mut self, part: PartId) {
        self.unsaved.insert(part);
    }

    /// Holds parts that were saved, unless answers to them have begun since.
    pub(crate) fn restore(&mut self, saved: &[SavedPart], now: Time) {
        for &SavedPart { part, round, left } in saved {
            if self.recent_begin(part, now).is_none() {
                self.adopt(part, Hold { round, until: now + left }, now);
            }
        }
    }

    /// Returns whether targets have recently ended at a part that is not held yet.
    pub(crate) fn has_suspects(&self, now: Time) -> bool {
        let is_suspect = |record: &Record| {
            record.hold.is_none()
                && !record.is_cleared()
                && now.since(record.changed) < SUSPICION_TIME
        };
        self.records.values().any(is_suspect)
    }

    /// Returns the changes since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<PartChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of parts that are held.
    pub(crate) fn held_parts(&self) -> usize {
        self.records.values().filter(|record| record.hold.is_some()).count()
    }

    /// Records that an answer to a prompt with `part` began at `begun`.
    fn clear(&mut self, part: PartId, begun: Time, now: Time) {
        self.begun.insert(part, begun);
        if let Some(record) = self.records.get_mut(&part)
            && record.clear(begun, now)
        {
            self.changes.push(PartChange::Released(part));
            self.note_unsaved(part);
        }
    }

    fn recent_begin(&self, part: PartId, now: Time) -> Option<Time> {
        self.begun.get(part).filter(|begun| now.since(*begun) < CLEARED_TIME)
    }

    /// Records that the target `key` ended before an answer to `part` began.
    fn add_target(&mut self, part: PartId, key: u64, now: Time) {
        if self.recent_begin(part, now).is_some() {
            return;
        }
        let record = self.record(part, now);
        record.add_target(key, now);
        let is_new = record.targets().len() >= HELD_TARGETS && record.start_hold(now);
        self.report_hold(part, is_new);
    }

    /// Holds a part as others do.
    fn adopt(&mut self, part: PartId, hold: Hold, now: Time) {
        let is_new = self.record(part, now).adopt_hold(hold, now);
        self.report_hold(part, is_new);
    }

    fn report_hold(&mut self, part: PartId, is_new: bool) {
        if is_new && let Some(record) = self.records.get(&part) {
            self.changes.push(PartChange::Held(part, record.targets().len()));
            self.held = true;
            self.note_unsaved(part);
        }
    }

    fn note_unsaved(&mut self, part: PartId) {
        if self.unsaved.len() < MAX_RECORDS {
            self.unsaved.insert(part);
        }
    }

    /// Returns the record of a part. A new one may replace the one with the least evidence.
    fn record(&mut self, part: PartId, now: Time) -> &mut Record {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&part) {
            let least = self.records.iter().min_by_key(|(_, record)| record.weight());
            if let Some(least) = least.map(|(&least, _)| least) {
                self.records.remove(&least);
            }
        }
        self.records.entry(part).or_insert_with(|| Record::new(now))
    }
}
