//! Limits of client accounts over all instances together.
//!
//! Each instance counts, over a sliding window, its own usage and the usage that its peers report.
//! Usage is reported as a total since an instance's start, so lost or repeated reports do no harm.
//! Instances also relay what they know of each other, since a peer may have ended, or may not be
//! reachable, before its last usage was received here. While peers are silent, an equal share of the
//! available units is reserved for each of them, so that both sides of a network partition together
//! stay within the limit.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use sesamewind_protocol::relay::{AccountTotal, RelayUpdate, RelayedUsage};
use sesamewind_protocol::{AccountId, Incarnation, InstanceId, Time};

use crate::meter::{Basis, GOLDEN_FRACTION, Meter, PeersUsage};
use crate::reports::{PeerReports, Reported};
use crate::table::Account;

/// Time without a report from a peer after which a share of each limit is reserved for it. It is
/// longer than a few failed exchanges.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// Used instead of [`SILENCE_TIMEOUT`] if there are many peers, since exchanges with each are less
/// frequent.
const LONG_SILENCE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Number of peers above which [`LONG_SILENCE_TIMEOUT`] applies.
const MANY_PEERS: usize = 12;

/// Time without a report from a peer after which nothing is reserved for it. The peer is then
/// assumed to be gone, and its callers to use other instances.
const GONE_TIMEOUT: Duration = Duration::from_secs(20);

/// How long a share of each limit is reserved for an announced peer that has not reported yet. The
/// peer may have stopped after its announcement.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without a message from a peer after which other peers are asked to relay its usage.
const RELAY_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two reports of a peer after which its usage in between says nothing about its rate
/// now.
const LATE_TIME: Duration = Duration::from_secs(1);

/// Maximum number of totals that are relayed in one report, which bounds its size.
const MAX_RELAYED: usize = 5_000;

/// Fraction of the tolerance over a limit that is used. The rest covers what peers used since their
/// last report.
const TOLERANCE_FRACTION: f64 = 0.6;

/// Fraction of a limit that an instance leaves unused for one window after it joined its peers. It
/// then knows neither the usage between the last save and its restart nor the rates of its peers.
const FRESH_MARGIN_FRACTION: f64 = 0.15;

/// Used instead of [`TOLERANCE_FRACTION`] if there are many peers, whose reports are several times
/// older.
const MANY_PEERS_TOLERANCE_FRACTION: f64 = 0.3;

/// Fraction of a limit from which usage is saved, so that instances that start together know of it.
/// An instance that joins a running deployment assumes this much usage until it knows more.
const SAVE_FRACTION: f64 = 0.85;

/// Age above which saved usage is too old to include the latest usage: several times the interval
/// between two saves.
const MAX_SAVED_AGE: Duration = Duration::from_millis(1_000);

/// Length of the most recent part of the window, as a fraction of it, whose usage is checked
/// separately. If an account uses more than this fraction of its limit in that part, usage that is
/// assumed to be spread evenly over the window would expire too early.
const RECENT_FRACTION: f64 = 0.25;

/// Usage of one account, saved outside of the instances.
#[derive(Debug, Clone, PartialEq)]
pub struct SavedUsage {
    /// The account.
    pub account: AccountId,
    /// Amounts, each with the time until it leaves the window.
    pub amounts: Vec<(Duration, f64)>,
}

/// Bounds of the deployment on account limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Window over which usage is counted.
    pub window: Duration,
    /// Tolerance over a limit, as a fraction of it.
    pub overage: f64,
    /// Tolerance over a limit, in units.
    pub slack: f64,
}

/// Usage of account limits as reported to a peer.
#[derive(Debug, Clone)]
pub struct UsageReport {
    /// Whether the instance does not yet know the usage from before its start.
    pub joining: bool,
    /// Its own usage.
    pub totals: Vec<AccountTotal>,
    /// Peers from which it has recently received no message.
    pub unheard: Vec<InstanceId>,
    /// Usage of instances that the peer may not have heard of.
    pub relayed: Vec<RelayedUsage>,
}

impl UsageReport {
    /// Returns the report as the peer applies it.
    pub fn view(&self) -> UsageView<'_> {
        let Self { joining, totals, unheard, relayed } = self;
        UsageView { joining: *joining, totals, unheard, relayed }
    }
}

/// A report of a peer; see [`UsageReport`].
#[derive(Debug, Clone, Copy)]
pub struct UsageView<'a> {
    joining: bool,
    totals: &'a [AccountTotal],
    unheard: &'a [InstanceId],
    relayed: &'a [RelayedUsage],
}

impl<'a> From<&'a RelayUpdate> for UsageView<'a> {
    fn from(update: &'a RelayUpdate) -> Self {
        let RelayUpdate { joining, totals, unheard, relayed, .. } = update;
        Self { joining: *joining, totals, unheard, relayed }
    }
}

/// A network partition, seen as some peers being silent. Usage before it is known on both sides;
/// each side takes its fraction of the units available beyond that.
#[derive(Debug, Clone, Copy)]
struct Partition {
    /// Fraction of the instances on this side.
    fraction: f64,
    /// When the last of the silent peers reported.
    since: Time,
}

/// Limits of all client accounts.
#[derive(Debug, Clone)]
pub struct Quotas {
    bounds: QuotaBounds,
    /// Whether the instance joined a deployment that may have been running before.
    joined: bool,
    /// Incarnation of this instance.
    incarnation: Incarnation,
    /// Initial rounding of shares; differs between instances.
    rounding: f64,
    /// When the first configuration was applied.
    start: Option<Time>,
    /// Usage of the accounts that have had a limit, or that peers have reported.
    meters: HashMap<AccountId, Meter>,
    peers: HashMap<InstanceId, PeerReports>,
}

impl Quotas {
    /// Creates an empty set of limits. `joined` states that other instances may have been running
    /// before this one, and `seed` should differ between instances.
    pub fn new(bounds: QuotaBounds, joined: bool, incarnation: Incarnation, seed: u64) -> Self {
        Self {
            bounds,
            joined,
            incarnation,
            rounding: (seed as f64 * GOLDEN_FRACTION).fract(),
            start: None,
            meters: HashMap::new(),
            peers: HashMap::new(),
        }
    }

    /// Replaces the bounds on the limits of all accounts.
    pub fn retune<'a>(
        &mut self,
        bounds: QuotaBounds,
        accounts: impl Iterator<Item = &'a Account>,
        now: Time,
    ) {
        self.bounds = bounds;
        self.configure(accounts, now);
    }

    /// Applies the accounts of a new configuration. The usage of accounts without a limit is kept for
    /// the case that they get one again.
    pub fn configure<'a>(&mut self, accounts: impl Iterator<Item = &'a Account>, now: Time) {
        let start = *self.start.get_or_insert(now);
        let window = self.bounds.window;
        let fresh = self.fresh_meter(now);
        for meter in self.meters.values_mut() {
            meter.is_limited = false;
        }
        for account in accounts.filter(|account| account.rate > 0.0) {
            let meter = self.meters.entry(account.name.clone()).or_insert_with(|| fresh.clone());
            let limit = account.rate * window.as_secs_f64() + account.burst;
            let tolerance = self.bounds.overage * limit + self.bounds.slack;
            meter.set_limit(account.unit, limit, tolerance);
            meter.expire(window, now);
            if meter.basis.0 == Basis::Unknown {
                let rest = (SAVE_FRACTION * limit - meter.total).max(0.0);
                meter.assume(rest, window, window, start);
                meter.basis = (Basis::Assumed, start);
            }
        }
    }

    /// Returns the meter of an account of which this instance has not counted any usage. An instance
    /// that has just joined does not know the usage from before its start.
    fn fresh_meter(&self, now: Time) -> Meter {
        let start = self.start.unwrap_or(now);
        let is_unknown = self.joined && now.since(start) < self.bounds.window;
        let basis = if is_unknown { Basis::Unknown } else { Basis::Known };
        Meter::new(self.rounding, (basis, start))
    }

    /// Charges `cost` units to an account's limit. Returns the units charged, which are zero if the
    /// account has no limit.
    ///
    /// # Errors
    ///
    /// Returns the time until the units are available if the limit does not allow them now.
    pub fn acquire(&mut self, account: &AccountId, cost: f64, now: Time) -> Result<f64, Duration> {
        let partition = self.partition(now);
        let window = self.bounds.window;
        let tolerated =
            if self.has_many() { MANY_PEERS_TOLERANCE_FRACTION } else { TOLERANCE_FRACTION };
        let others = self.others(account, now);
        let fresh = self.joined && self.start.is_none_or(|start| now.since(start) < window);
        let meter = self.meters.get_mut(account).filter(|meter| meter.is_limited);
        let Some(meter) = meter else { return Ok(0.0) };
        let margin = if fresh { FRESH_MARGIN_FRACTION * meter.limit } else { 0.0 };
        let allowed = meter.limit + tolerated * meter.tolerance - margin;
        meter.expire(window, now);
        let before = partition.map_or(0.0, |partition| meter.added_before(partition.since, window));
        let fraction = partition.map_or(1.0, |partition| partition.fraction);
        let available = before + fraction * (allowed - before) - meter.total - others.unreported;
        // A request larger than the whole limit passes if nothing else was used.
        if meter.total > 0.0 && !meter.is_allowed(cost, available, &others, window, now) {
            meter.last_refusal = Some(now);
            return Err(meter.time_until_free(cost, allowed - others.unreported, now));
        }
        meter.add(cost, window, now);
        meter.record_own(cost, now);
        Ok(cost)
    }

    /// Refunds what was charged for a request that was refused before it ran.
    pub fn refund(&mut self, account: &AccountId, cost: f64, now: Time) {
        let window = self.bounds.window;
        if let Some(meter) = self.meters.get_mut(account) {
            meter.add(-cost, window, now);
            meter.record_own(-cost, now);
        }
    }

    /// Returns the fraction of an account's limit that is used; none if it has no limit.
    pub(crate) fn used_fraction_of(&self, account: &AccountId) -> Option<f64> {
        let meter = self.meters.get(account).filter(|meter| meter.is_limited);
        meter.map(|meter| meter.total / meter.limit)
    }

    /// Returns the fraction of the limits of all accounts in use that is used.
    pub(crate) fn used_fraction(&self) -> f64 {
        let active = self.meters.values().filter(|meter| meter.is_limited && meter.total > 0.0);
        let sums = active
            .fold((0.0, 0.0), |(total, limit), meter| (total + meter.total, limit + meter.limit));
        if sums.1 > 0.0 { sums.0 / sums.1 } else { 0.0 }
    }

    /// Returns whether this instance needs a peer's report of the usage before its own start.
    pub fn is_joining(&self) -> bool {
        self.meters.values().any(|meter| meter.basis.0 != Basis::Known)
    }

    /// Returns the report for the peer `to`.
    pub fn report(&mut self, to: &InstanceId, now: Time) -> UsageReport {
        let receiver = self.peers.get(to);
        let current = receiver.and_then(|peer| peer.current.as_ref());
        let whole = current.is_some_and(|current| current.joining);
        let relayed = self.relayed(to, whole, now);
        UsageReport {
            joining: self.is_joining(),
            totals: self.totals(whole, now),
            unheard: self.unheard(now),
            relayed,
        }
    }

    /// Returns this instance's totals; `whole` adds the counted usage of all instances.
    fn totals(&mut self, whole: bool, now: Time) -> Vec<AccountTotal> {
        let window = self.bounds.window;
        let mut totals = Vec::new();
        for (account, meter) in &mut self.meters {
            meter.expire(window, now);
            let known = whole && meter.basis.0 == Basis::Known;
            // The total of an account without a limit no longer matters once its usage has expired.
            let is_due = meter.is_limited || meter.total > 0.0;
            if is_due && (meter.used > 0.0 || known) {
                let amounts = if known { meter.amounts(now) } else { Vec::new() };
                totals.push(AccountTotal { account: account.clone(), used: meter.used, amounts });
            }
        }
        totals
    }

    /// Returns the peers from which no message has arrived recently.
    fn unheard(&self, now: Time) -> Vec<InstanceId> {
        if self.has_many() {
            return Vec::new();
        }
        let unheard = self.peers.iter().filter(|(_, peer)| {
            let silence = now.since(peer.last_heard);
            silence < GONE_TIMEOUT && (peer.expected || silence > RELAY_TIMEOUT)
        });
        unheard.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the usage that the peer `to` may not have received: that of incarnations that ended
    /// within the window, and that of peers it does not hear; `whole` adds all others. With many
    /// peers, the size of all reports would grow with the cube of their number.
    fn relayed(&self, to: &InstanceId, whole: bool, now: Time) -> Vec<RelayedUsage> {
        if self.has_many() {
            return Vec::new();
        }
        let unheard = self.peers.get(to).map_or(&[][..], |peer| &peer.unheard);
        let mut relayed = Vec::new();
        let mut count = 0;
        for (name, peer) in self.peers.iter().filter(|(name, _)| *name != to) {
            let current = peer.current.iter().filter(|_| whole || unheard.contains(name));
            let is_recent = |reported: &&Reported| now.since(reported.sent) < self.bounds.window;
            for reported in peer.former.iter().chain(current).filter(is_recent) {
                count += reported.usage.len();
                if count > MAX_RELAYED {
                    return relayed;
                }
                relayed.push(reported.relayed(name, now));
            }
        }
        relayed
    }

    /// Returns the usage to save outside of the instances: that of accounts near their limit.
    pub fn to_save(&mut self, now: Time) -> Vec<SavedUsage> {
        let window = self.bounds.window;
        let unreported: HashMap<AccountId, f64> = self
            .meters
            .keys()
            .map(|account| (account.clone(), self.others(account, now).unreported))
            .collect();
        let mut saved = Vec::new();
        for (account, meter) in &mut self.meters {
            meter.expire(window, now);
            let recent = meter.recent(self.bounds.window.mul_f64(RECENT_FRACTION), now);
            let fast = recent > RECENT_FRACTION * meter.limit;
            let is_guess = matches!(meter.basis.0, Basis::Assumed | Basis::Unknown);
            let is_idle = !meter.is_limited && meter.total <= 0.0;
            if is_guess || is_idle || (meter.total < SAVE_FRACTION * meter.limit && !fast) {
                continue;
            }
            let mut amounts = meter.amounts(now);
            amounts.push((window, unreported.get(account).copied().unwrap_or(0.0)));
            saved.push(SavedUsage { account: account.clone(), amounts });
        }
        saved
    }

    /// Replaces assumed usage by usage that was saved `age` ago. Accounts without saved usage keep
    /// the assumed usage: theirs was too low to be saved, but how low is unknown.
    pub fn restore(&mut self, saved: &[SavedUsage], age: Duration, now: Time) {
        let window = self.bounds.window;
        let fresh = self.fresh_meter(now);
        for saved in saved {
            let meter = self.meters.entry(saved.account.clone()).or_insert_with(|| fresh.clone());
            if matches!(meter.basis.0, Basis::Assumed | Basis::Unknown) {
                meter.rebase(Basis::Restored, &saved.amounts, age, window, now);
                if age > MAX_SAVED_AGE {
                    // The account was near its limit and may since have replaced the usage that
                    // left the window.
                    let rest = meter.limit - meter.total;
                    meter.assume(rest.max(0.0), window.mul_f64(RECENT_FRACTION), window, now);
                }
            }
        }
    }

    /// Adds announced peers, which may already be using the limits.
    pub fn expect_peers<'a>(&mut self, peers: impl Iterator<Item = &'a InstanceId>, now: Time) {
        for peer in peers {
            self.peers.entry(peer.clone()).or_insert_with(|| PeerReports::new(true, now));
        }
    }

    /// Applies a peer's report. `version` is the peer's incarnation and the number of its message.
    pub fn apply_report(
        &mut self,
        peer: &InstanceId,
        version: (Incarnation, u64),
        report: UsageView<'_>,
        now: Time,
    ) {
        let window = self.bounds.window;
        let fresh = self.fresh_meter(now);
        let mut rebased = HashSet::new();
        for total in report.totals {
            let meter = self.meters.entry(total.account.clone()).or_insert_with(|| fresh.clone());
            meter.expire(window, now);
            if meter.basis.0 != Basis::Known && !total.amounts.is_empty() {
                meter.rebase(Basis::Known, &total.amounts, Duration::ZERO, window, now);
                rebased.insert(&total.account);
            }
        }
        for relayed in report.relayed {
            self.apply_usage(relayed, &rebased, now);
        }
        let used = report.totals.iter().map(|total| (total.account.clone(), total.used));
        let direct = RelayedUsage {
            instance: peer.clone(),
            incarnation: version.0,
            sequence: version.1,
            age: Duration::ZERO,
            joining: report.joining,
            used: used.collect(),
        };
        self.apply_usage(&direct, &rebased, now);
        if let Some(known) = self.peers.get_mut(peer) {
            known.last_heard = now;
            known.unheard = report.unheard.to_vec();
        }
    }

    /// Applies the usage of an instance. The counted usage of the accounts in `rebased` includes it.
    fn apply_usage(&mut self, usage: &RelayedUsage, rebased: &HashSet<&AccountId>, now: Time) {
        let window = self.bounds.window;
        if usage.age >= window {
            return;
        }
        let silence_timeout = self.silence_timeout();
        let fresh = self.fresh_meter(now);
        let sent = now - usage.age;
        let peer = self
            .peers
            .entry(usage.instance.clone())
            .or_insert_with(|| PeerReports::new(true, sent));
        peer.former.retain(|former| now.since(former.sent) < 2 * window);
        let Some((reported, is_new)) = peer.entry(usage.incarnation, sent) else { return };
        if usage.sequence <= reported.sequence {
            // The counted usage includes no more than this report.
            for (account, used) in usage.used.iter().filter(|it| rebased.contains(&it.0)) {
                let known = reported.usage.get(account).map_or(0.0, |usage| usage.used);
                if let Some(meter) = self.meters.get_mut(account) {
                    meter.add(known - used, window, now);
                }
            }
            return;
        }
        let span = if is_new { Duration::ZERO } else { sent.since(reported.sent) };
        reported.sequence = usage.sequence;
        reported.sent = sent.max(reported.sent);
        reported.joining = usage.joining;
        // The usage that this instance counts for the time before its start includes that of older
        // peers. A peer that is joining itself is not included, since it reports no amounts.
        let is_included =
            is_new && self.joined && !usage.joining && usage.incarnation <= self.incarnation;
        for (account, used) in &usage.used {
            let delta = reported.usage.entry(account.clone()).or_default().replace(*used, span);
            if is_included || rebased.contains(account) {
                continue;
            }
            let meter = self.meters.entry(account.clone()).or_insert_with(|| fresh.clone());
            if span > LATE_TIME {
                meter.add_late(delta, window, now);
            } else {
                meter.add(delta, window, now);
            }
        }
        if usage.age <= silence_timeout {
            peer.expected = false;
        }
        if !peer.expected {
            peer.last_seen = peer.last_seen.max(sent);
        }
    }

    /// Returns the known usage of an account at the peers that report.
    fn others(&self, account: &AccountId, now: Time) -> PeersUsage {
        let mut others = PeersUsage::default();
        for peer in self.peers.values().filter(|peer| !peer.expected) {
            let age = now.since(peer.last_seen);
            if age >= LONG_SILENCE_TIMEOUT {
                continue;
            }
            others.count += 1;
            others.age = others.age.max(age);
            let current = peer.current.as_ref();
            if let Some(peer_usage) = current.and_then(|current| current.usage.get(account)) {
                others.unreported += peer_usage.rate * age.as_secs_f64();
                others.smoothed_rate += peer_usage.smoothed_rate;
            }
        }
        others
    }

    fn has_many(&self) -> bool {
        self.peers.len() > MANY_PEERS
    }

    fn silence_timeout(&self) -> Duration {
        if self.has_many() { LONG_SILENCE_TIMEOUT } else { SILENCE_TIMEOUT }
    }

    /// Returns the current partition if some peers are silent.
    fn partition(&self, now: Time) -> Option<Partition> {
        let limit = self.silence_timeout();
        let (mut all, mut silent, mut since) = (1, 0, Time::ZERO);
        for peer in self.peers.values() {
            let silence = now.since(peer.last_seen);
            let gone = silence >= if peer.expected { DISCOVERY_TIMEOUT } else { GONE_TIMEOUT };
            if gone {
                continue;
            }
            all += 1;
            if peer.expected || silence > limit {
                silent += 1;
                since = since.max(peer.last_seen);
            }
        }
        let fraction = 1.0 - f64::from(silent) / f64::from(all);
        (silent > 0).then_some(Partition { fraction, since })
    }
}
