//! Targets that are cold: for some time after its start, a target takes few requests a second.
//!
//! A target is cold if it says so in the target list or in an answer, if its start was seen while
//! requests are sent, and for some time after attempts failed as they do when a target starts again,
//! since the list and the answers tell of a start only later.

use std::time::Duration;

use sesamewind_protocol::relay::ColdEntry;
use sesamewind_protocol::{Incarnation, TargetId, Time, ZoneId};

use crate::arrival::Ticket;
use crate::event::AttemptOutcome;
use crate::gateway::Gateway;
use crate::limits::division::Bound;
use crate::limits::turns::Turns;
use crate::table::ColdStart;
use crate::targets::{Index, ListedState, Target, TargetChange};

/// Time after a failed attempt in which the target may start again without being listed as cold here:
/// the time until a silent target is removed from the list, and the age of the list.
const DOUBT_TIME: Duration = Duration::from_secs(6);

/// Shortest time from the end of a target until it runs again.
const MIN_DOWN_TIME: Duration = Duration::from_millis(500);

/// Age of the target list.
const LIST_AGE: Duration = Duration::from_secs(2);

/// Number of consecutive failed attempts after which a target that took the connections may have
/// started again. A single one may be due to its path, or to a pause of a sound target.
const FAILED_ATTEMPTS: u32 = 2;

/// Why a target is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdCause {
    /// The target or a peer has stated it.
    Stated,
    /// It has started.
    Started,
    /// It may have started again.
    Failed,
    /// It may have started again without this instance being told, which is cut off from others.
    Apart,
}

impl ColdCause {
    /// Returns the cause as written in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stated => "stated",
            Self::Started => "started",
            Self::Failed => "failed",
            Self::Apart => "apart",
        }
    }
}

/// Beginning or end of a target's cold time, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct ColdChange {
    /// The target.
    pub target: TargetId,
    /// Why it is cold; none if it is no longer.
    pub cause: Option<ColdCause>,
    /// Requests a second from all instances together while it is cold.
    pub rate: f64,
    /// Requests a second among these that this instance may send.
    pub share: f64,
}

/// Reasons to consider a target cold, as known from one source.
#[derive(Debug, Clone, Copy, Default)]
struct Evidence {
    /// Until when it is cold, as stated.
    until: Time,
    /// When it last failed so that it may have started again.
    failed: Option<Time>,
}

/// Turns at a cold target.
#[derive(Debug, Clone)]
struct Period {
    turns: Turns,
    bound: Bound,
    /// When it began.
    start: Time,
    /// Latency ratio at that time. What is observed while the target is cold holds for that time only.
    latency_ratio: f64,
}

/// What is known of one target's cold times.
#[derive(Debug, Clone, Default)]
pub(crate) struct Cold {
    /// Whether the target has been listed.
    listed: bool,
    /// When its start was seen.
    start: Option<Time>,
    own: Evidence,
    peers: Evidence,
    /// When this instance last sent the target, or its earlier incarnation, a request.
    sent: Option<Time>,
    /// Set while the target is cold.
    period: Option<Period>,
}

impl Cold {
    /// Returns whether the target is cold.
    pub(crate) fn is_cold(&self) -> bool {
        self.period.is_some()
    }

    /// Returns the time until this instance may send the target a request.
    pub(crate) fn wait(&self, now: Time) -> Duration {
        self.period.as_ref().map_or(Duration::ZERO, |period| period.turns.wait(now))
    }

    /// Returns the state of a later incarnation of the target.
    pub(crate) fn next_incarnation(&self) -> Self {
        Self { sent: self.sent, ..Self::default() }
    }

    /// Counts a request that this instance sends to the target.
    pub(crate) fn record_send(&mut self, now: Time) {
        self.sent = Some(now);
        if let Some(period) = &mut self.period {
            period.turns.take(now);
        }
    }

    /// Returns the bound while the target is cold: requests a second, this instance's share, and since
    /// when.
    pub(crate) fn bound(&self) -> Option<(f64, f64, Time)> {
        let period = self.period.as_ref()?;
        Some((period.bound.rate(), period.turns.share(), period.start))
    }

    /// Returns why the target is cold at `now`. While the target list can't be read, `list_lost`, no
    /// failure is known to be over; `list_restored` is when it was last readable again.
    fn cause(
        &self,
        service: &ColdStart,
        list: (bool, Option<Time>),
        now: Time,
    ) -> Option<ColdCause> {
        let (list_lost, list_restored) = list;
        let is_doubted = |evidence: &Evidence| {
            evidence.failed.is_some_and(|failed| {
                let known = list_restored.map_or(Time::ZERO, |restored| restored + LIST_AGE);
                list_lost || now < (failed + DOUBT_TIME) || (failed < known && now < known)
            })
        };
        if self.start.is_some_and(|start| now < start + service.duration) {
            Some(ColdCause::Started)
        } else if now < self.own.until.max(self.peers.until) {
            Some(ColdCause::Stated)
        } else if is_doubted(&self.own) || is_doubted(&self.peers) {
            Some(ColdCause::Failed)
        } else {
            None
        }
    }
}

/// Cold targets.
#[derive(Debug, Clone, Default)]
pub(crate) struct ColdTargets {
    indexes: Vec<Index>,
    changes: Vec<ColdChange>,
    /// Until when starts may be unknown since this instance was cut off from half of the others or more.
    apart_until: Time,
}

/// What an entry of the target list says about a cold time.
#[derive(Debug, Clone)]
pub(crate) struct ColdListing {
    target: TargetId,
    incarnation: Incarnation,
    left: Duration,
}

impl ColdListing {
    /// Returns what `change` says.
    pub(crate) fn of(change: &TargetChange) -> Option<Self> {
        let TargetChange::Listed(listed) = change else { return None };
        let (target, incarnation) = (listed.id.clone(), listed.incarnation);
        (listed.state == ListedState::Ready).then_some(Self {
            target,
            incarnation,
            left: listed.cold,
        })
    }
}

impl Gateway {
    /// Records what the target list says about a target. A target that is in the first list which this
    /// instance reads, `is_first`, may have started long ago.
    pub(crate) fn record_listing(&mut self, listing: &ColdListing, is_first: bool, now: Time) {
        let Some(index) = self.targets.find(&listing.target) else { return };
        let target = self.targets.get_mut(index);
        if target.listed.incarnation != listing.incarnation {
            return;
        }
        let is_new = !std::mem::replace(&mut target.cold.listed, true);
        let age = self.me.incarnation.0.saturating_sub(listing.incarnation.0);
        let is_young = || {
            let service = self.services.get(&target.listed.service);
            let cold = service.and_then(|service| service.cold).unwrap_or_default();
            self.tuning.joined && u128::from(age) < cold.duration.as_millis()
        };
        if is_new && (!is_first || is_young()) {
            target.cold.start = Some(now);
        }
        if !listing.left.is_zero() {
            target.cold.own.until = target.cold.own.until.max(now + listing.left);
        }
        self.update_cold(index, now);
    }

    /// Records that the target of a request's attempt stated for how long it stays cold.
    pub(crate) fn target_cold(&mut self, ticket: Ticket, left: Duration, now: Time) {
        let Some((index, _)) = self.attempt_of(ticket) else { return };
        let cold = &mut self.targets.get_mut(index).cold;
        cold.own.until = cold.own.until.max(now + left);
        self.update_cold(index, now);
    }

    /// Records the end of an attempt, after which the target may have started again.
    pub(crate) fn record_possible_start(
        &mut self,
        index: Index,
        outcome: AttemptOutcome,
        now: Time,
    ) {
        let target = self.targets.get_mut(index);
        let is_possible = match outcome {
            AttemptOutcome::Unconnected => true,
            AttemptOutcome::Broken | AttemptOutcome::Silent => target.failures() >= FAILED_ATTEMPTS,
            _ => false,
        };
        if is_possible {
            target.cold.own.failed = Some(now);
            self.update_cold(index, now);
        }
    }

    /// Records that the targets of `zone` may be cold.
    pub fn record_possibly_cold(&mut self, zone: &ZoneId, now: Time) {
        self.doubt_targets(|target| target.listed.zone == *zone, now);
    }

    /// Records a stall of this instance, in which targets may have started again.
    pub(crate) fn record_stall(&mut self, length: Duration, now: Time) {
        if length >= MIN_DOWN_TIME {
            self.doubt_targets(|_| true, now);
        }
    }

    fn doubt_targets(&mut self, is_doubted: impl Fn(&Target) -> bool, now: Time) {
        let doubted =
            self.targets.iter().filter(|(_, target)| target.is_listed() && is_doubted(target));
        let indexes: Vec<Index> = doubted.map(|(index, _)| index).collect();
        for index in indexes {
            self.targets.get_mut(index).cold.own.failed = Some(now);
            self.update_cold(index, now);
        }
    }

    /// Returns what peers should know of cold targets. An instance that most targets have failed may be
    /// cut off from them, and reports no failures.
    pub(crate) fn cold_entries(&self, now: Time) -> Vec<ColdEntry> {
        let cold = &self.limits.cold.indexes;
        let failed = |index: &&Index| self.targets.get(**index).cold.own.failed.is_some();
        let usable = self.targets.iter().filter(|(_, target)| target.is_usable(now)).count();
        let reports_failures = cold.iter().filter(failed).count() * 2 <= usable;
        let entries = cold.iter().filter_map(|&index| {
            let target = self.targets.get(index);
            let own = &target.cold.own;
            let failed = own.failed.filter(|_| reports_failures).map(|at| now.since(at));
            let left = own.until.since(now);
            let entry = ColdEntry {
                target: target.listed.id.clone(),
                incarnation: target.listed.incarnation,
                left,
                failed,
            };
            (failed.is_some() || !left.is_zero()).then_some(entry)
        });
        entries.collect()
    }

    /// Applies what a peer reports of cold targets.
    pub(crate) fn apply_cold(&mut self, entries: &[ColdEntry], now: Time) {
        for entry in entries {
            let Some(index) = self.targets.find(&entry.target) else { continue };
            let target = self.targets.get_mut(index);
            let evidence = &mut target.cold.peers;
            if entry.incarnation > target.listed.incarnation {
                evidence.failed = Some(now);
            } else if entry.incarnation == target.listed.incarnation {
                evidence.until = evidence.until.max(now + entry.left);
                evidence.failed = evidence.failed.max(entry.failed.map(|failed| now - failed));
            }
            self.update_cold(index, now);
        }
    }

    /// Begins the cold times of an instance that is now cut off, and ends those that are over.
    pub(crate) fn expire_cold(&mut self, now: Time) {
        let is_bounded = self.services.values().any(|service| service.cold.is_some());
        if is_bounded && self.sharers.is_apart(now) {
            let known = std::mem::replace(&mut self.limits.cold.apart_until, now + LIST_AGE);
            if known <= now {
                let indexes: Vec<Index> = self.targets.iter().map(|(index, _)| index).collect();
                indexes.into_iter().for_each(|index| self.update_cold(index, now));
            }
        }
        for index in self.limits.cold.indexes.clone() {
            self.update_cold(index, now);
        }
    }

    /// Begins or ends a target's cold time.
    fn update_cold(&mut self, index: Index, now: Time) {
        let target = self.targets.get_mut(index);
        let service = self.services.get(&target.listed.service).and_then(|service| service.cold);
        let list = (self.list_lost, self.list_restored);
        let service = service.filter(|_| target.is_listed());
        let bound = service.map(|service| {
            Bound::Second(service.rate * self.tuning.cold_overage + self.tuning.cold_slack)
        });
        // Otherwise, what is not divided covers requests of instances that do not hear of a start.
        let apart = bound.filter(|bound| now < self.limits.cold.apart_until && bound.margin() == 0);
        let cause = service
            .and_then(|service| target.cold.cause(&service, list, now))
            .or(apart.map(|_| ColdCause::Apart));
        let change = match (cause, bound, target.cold.is_cold()) {
            (Some(cause), Some(bound), false) => {
                target.begin_cold(bound, now);
                self.limits.cold.indexes.push(index);
                self.share_cold(index, now);
                let cold = &mut self.targets.get_mut(index).cold;
                let unused = cold.sent.map_or(Duration::MAX, |sent| now.since(sent));
                if let Some(period) = &mut cold.period {
                    period.turns.accrue_for(unused);
                }
                self.cold_change(index, Some(cause))
            }
            (None, _, true) => {
                let change = self.cold_change(index, None);
                self.targets.get_mut(index).end_cold();
                self.limits.cold.indexes.retain(|one| *one != index);
                change
            }
            _ => return,
        };
        self.limits.cold.changes.extend(change);
    }

    fn cold_change(&self, index: Index, cause: Option<ColdCause>) -> Option<ColdChange> {
        let target = self.targets.get(index);
        let (rate, share, _) = target.cold.bound()?;
        Some(ColdChange { target: target.listed.id.clone(), cause, rate, share })
    }

    /// Sets this instance's share at each cold target.
    pub(crate) fn share_all_cold(&mut self, now: Time) {
        for position in 0..self.limits.cold.indexes.len() {
            self.share_cold(self.limits.cold.indexes[position], now);
        }
    }

    fn share_cold(&mut self, index: Index, now: Time) {
        let is_sending = self.is_sharing();
        let target = self.targets.get_mut(index);
        let Some(period) = &mut target.cold.period else { return };
        let share = if is_sending {
            period.bound.share(&target.listed, &self.me, &self.sharers, now)
        } else {
            0.0
        };
        period.turns.set_share(share, now);
    }

    /// Returns the number of cold targets.
    pub fn cold_targets(&self) -> usize {
        self.limits.cold.indexes.len()
    }

    /// Returns the beginnings and ends of cold times since the last call.
    pub fn take_cold_changes(&mut self) -> Vec<ColdChange> {
        std::mem::take(&mut self.limits.cold.changes)
    }
}

impl Target {
    fn begin_cold(&mut self, bound: Bound, now: Time) {
        let latency_ratio = self.latency_ratio;
        let turns = Turns::new(now);
        self.cold.period = Some(Period { turns, bound, start: now, latency_ratio });
    }

    fn end_cold(&mut self) {
        if let Some(period) = self.cold.period.take() {
            self.latency_ratio = period.latency_ratio;
        }
        self.cold.own.failed = None;
        self.cold.peers.failed = None;
    }
}
