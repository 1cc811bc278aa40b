//! Limits of client accounts over all instances together.
//!
//! Each instance counts over a sliding window what it uses itself and what its peers say that they
//! used. Use is reported as a sum since an instance's start, so a lost or repeated report does no
//! harm. While peers are not heard, an equal part of what is free is left to each of them, so that
//! the two sides of a cut stay within the limit together.

use std::collections::HashMap;
use std::time::Duration;

use sesamewind_protocol::relay::AccountTotal;
use sesamewind_protocol::{AccountId, Incarnation, InstanceId, Time};

use crate::meter::{Basis, GOLDEN_FRACTION, Meter, PeersUsage, SHARE_INTERVAL};
use crate::table::Account;

/// Silence of a peer after which a part of each limit is left to it; longer than a few exchanges
/// that fail.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// The same where there are many peers and exchanges with each are rare.
const LONG_SILENCE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Peers from which on [`LONG_SILENCE`] holds.
const MANY_PEERS: usize = 12;

/// Silence of a peer after which nothing is left to it: it is gone, and its callers use other
/// instances.
const GONE_TIMEOUT: Duration = Duration::from_secs(20);

/// How long an announced peer is waited for that was not heard yet. Its announcement may be older
/// than its end.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Time over which a peer's rate is averaged: a few exchanges.
const RATE_INTERVAL: Duration = Duration::from_millis(400);

/// Part of the tolerance over a limit that is used; the rest covers what peers used since their
/// last report.
const TOLERANCE_FRACTION: f64 = 0.6;

/// Part of a limit that an instance leaves unused for a window after it has joined its peers: it
/// knows neither what was used between the last saving and the restart, nor its peers' rates.
const FRESH_MARGIN_FRACTION: f64 = 0.15;

/// Part of the tolerance that is used where there are many peers, whose reports come several times as
/// late.
const MANY_PEERS_TOLERANCE_FRACTION: f64 = 0.3;

/// Part of a limit from which use is saved, so that instances that start together know of it. An
/// instance that joins a running deployment assumes this much until it knows more.
const SAVE_FRACTION: f64 = 0.85;

/// Age from which saved use does not tell what was used last: several times the pause between two
/// savings.
const MAX_SAVED_AGE: Duration = Duration::from_millis(1_000);

/// Part of the window, just before the present, whose use is looked at alone: if an account uses
/// more than this part of its limit there, an even assumption would leave the window too early.
const RECENT_FRACTION: f64 = 0.25;

/// Use of one account that is saved outside of the instances.
#[derive(Debug, Clone, PartialEq)]
pub struct SavedUsage {
    /// The account.
    pub account: AccountId,
    /// Amounts with the time after which each leaves the window.
    pub amounts: Vec<(Duration, f64)>,
}

/// Bounds of the deployment on account limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Span over which use is counted.
    pub window: Duration,
    /// Tolerance over a limit, as a part of it.
    pub overage: f64,
    /// Tolerance over a limit, in units.
    pub slack: f64,
}

/// Use of one account at one peer.
#[derive(Debug, Default)]
struct PeerUsage {
    /// Units since the peer's start.
    used: f64,
    /// Units a second, lately.
    rate: f64,
    /// The same over a longer time.
    smoothed_rate: f64,
}

/// One peer's reports.
#[derive(Debug)]
struct PeerReports {
    incarnation: Incarnation,
    /// When it was last heard, or first expected.
    last_seen: Time,
    /// Whether it was announced and never heard.
    expected: bool,
    usage: HashMap<AccountId, PeerUsage>,
}

/// Silence of some peers. What was used before is known on both sides; of what is free beyond that,
/// each side takes its part.
#[derive(Debug, Clone, Copy)]
struct Partition {
    /// Part of the instances on this side.
    fraction: f64,
    /// When the last of the silent peers was heard.
    since: Time,
}

/// Limits of all client accounts.
#[derive(Debug)]
pub struct Quotas {
    bounds: QuotaBounds,
    /// Whether the instance joined a deployment that was running before.
    joined: bool,
    /// The instance's life.
    incarnation: Incarnation,
    /// First rounding of shares; differs between instances.
    rounding: f64,
    /// When the first accounts were configured.
    start: Time,
    meters: HashMap<AccountId, Meter>,
    peers: HashMap<InstanceId, PeerReports>,
}

impl Quotas {
    /// No limits yet, for the instance's life `life`. `joined` says that other instances may have
    /// been running before this one.
    /// `seed` should differ between instances.
    pub fn new(bounds: QuotaBounds, joined: bool, incarnation: Incarnation, seed: u64) -> Self {
        Self {
            bounds,
            joined,
            incarnation,
            rounding: (seed as f64 * GOLDEN_FRACTION).fract(),
            start: Time::ZERO,
            meters: HashMap::new(),
            peers: HashMap::new(),
        }
    }

    /// Takes the accounts of a new configuration.
    pub fn configure<'a>(&mut self, accounts: impl Iterator<Item = &'a Account>, now: Time) {
        let first = self.meters.is_empty() && self.joined;
        if self.meters.is_empty() {
            self.start = now;
        }
        let mut kept = HashMap::new();
        for account in accounts.filter(|account| account.rate > 0.0) {
            let meter = self.meters.remove(&account.name);
            let mut meter = meter.unwrap_or_else(|| Meter::new(self.rounding));
            let limit = account.rate * self.bounds.window.as_secs_f64() + account.burst;
            meter.limit = limit;
            meter.tolerance = self.bounds.overage * limit + self.bounds.slack;
            if first {
                meter.assume(SAVE_FRACTION * limit, self.bounds.window, self.bounds.window, now);
                meter.basis = (Basis::Assumed, now);
            }
            kept.insert(account.name.clone(), meter);
        }
        self.meters = kept;
    }

    /// Takes `cost` units out of an account's limit.
    ///
    /// # Errors
    ///
    /// Returns the time until the units are there, if the limit does not allow them now.
    pub fn acquire(&mut self, account: &AccountId, cost: f64, now: Time) -> Result<(), Duration> {
        let partition = self.partition(now);
        let window = self.bounds.window;
        let many = self.peers.len() > MANY_PEERS;
        let tolerated = if many { MANY_PEERS_TOLERANCE_FRACTION } else { TOLERANCE_FRACTION };
        let others = self.others(account, now);
        let fresh = self.joined && now.since(self.start) < window;
        let Some(meter) = self.meters.get_mut(account) else { return Ok(()) };
        let margin = if fresh { FRESH_MARGIN_FRACTION * meter.limit } else { 0.0 };
        let allowed = meter.limit + tolerated * meter.tolerance - margin;
        meter.expire(window, now);
        let before = partition.map_or(0.0, |partition| meter.added_before(partition.since, window));
        let fraction = partition.map_or(1.0, |partition| partition.fraction);
        let available = before + fraction * (allowed - before) - meter.total - others.unreported;
        // A request larger than the whole limit passes when nothing else was used.
        if meter.total > 0.0 && !meter.is_allowed(cost, available, &others, window, now) {
            meter.last_refusal = Some(now);
            return Err(meter.time_until_free(cost, allowed - others.unreported, now));
        }
        meter.add(cost, window, now);
        meter.record_own(cost, now);
        Ok(())
    }

    /// Gives back what a request took that was refused before it ran.
    pub fn refund(&mut self, account: &AccountId, cost: f64, now: Time) {
        let window = self.bounds.window;
        if let Some(meter) = self.meters.get_mut(account) {
            meter.add(-cost, window, now);
            meter.record_own(-cost, now);
        }
    }

    /// Whether a peer should tell what was used before this instance's start.
    pub fn is_joining(&self) -> bool {
        self.meters.values().any(|meter| meter.basis.0 != Basis::Known)
    }

    /// What this instance tells a peer; `whole` adds what it counted of all instances.
    pub fn totals(&mut self, whole: bool, now: Time) -> Vec<AccountTotal> {
        let window = self.bounds.window;
        let mut totals = Vec::new();
        for (account, meter) in &mut self.meters {
            meter.expire(window, now);
            let known = whole && meter.basis.0 == Basis::Known;
            if meter.used > 0.0 || known {
                let amounts = if known { meter.amounts(now) } else { Vec::new() };
                totals.push(AccountTotal { account: account.clone(), used: meter.used, amounts });
            }
        }
        totals
    }

    /// Use that should outlive the instances: that of accounts that are near their limit.
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
            let assumed = meter.basis.0 == Basis::Assumed;
            if assumed || (meter.total < SAVE_FRACTION * meter.limit && !fast) {
                continue;
            }
            let mut amounts = meter.amounts(now);
            amounts.push((window, unreported.get(account).copied().unwrap_or(0.0)));
            saved.push(SavedUsage { account: account.clone(), amounts });
        }
        saved
    }

    /// Takes use that was saved `age` ago in place of what was assumed. Accounts that are not in it
    /// were used less than is saved, but how much is not known.
    pub fn restore(&mut self, saved: &[SavedUsage], age: Duration, now: Time) {
        let window = self.bounds.window;
        for saved in saved {
            let Some(meter) = self.meters.get_mut(&saved.account) else { continue };
            if meter.basis.0 == Basis::Assumed {
                meter.rebase(Basis::Restored, &saved.amounts, age, window, now);
                if age > MAX_SAVED_AGE {
                    // The account was near its limit, and may have used what left the window since.
                    let rest = meter.limit - meter.total;
                    meter.assume(rest.max(0.0), window.mul_f64(RECENT_FRACTION), window, now);
                }
            }
        }
    }

    /// Takes the names of peers that announced themselves, which may be using the limits already.
    pub fn expect_peers<'a>(&mut self, peers: impl Iterator<Item = &'a InstanceId>, now: Time) {
        for peer in peers {
            self.peers.entry(peer.clone()).or_insert_with(|| PeerReports {
                incarnation: Incarnation(0),
                last_seen: now,
                expected: true,
                usage: HashMap::new(),
            });
        }
    }

    /// Takes a peer's report. `joining` says that the peer doesn't know what was used before its start.
    pub fn apply_report(
        &mut self,
        peer: &InstanceId,
        incarnation: Incarnation,
        joining: bool,
        totals: &[AccountTotal],
        now: Time,
    ) {
        let window = self.bounds.window;
        let first = self.peers.get(peer).is_none_or(|known| known.expected);
        let known = self.peers.entry(peer.clone()).or_insert_with(|| PeerReports {
            incarnation,
            last_seen: now,
            expected: false,
            usage: HashMap::new(),
        });
        known.expected = false;
        if incarnation < known.incarnation {
            return;
        }
        if incarnation > known.incarnation {
            known.incarnation = incarnation;
            known.usage.clear();
        }
        let span = now.since(known.last_seen).as_secs_f64();
        known.last_seen = now;
        for total in totals {
            let peer_usage = known.usage.entry(total.account.clone()).or_default();
            let delta = total.used - std::mem::replace(&mut peer_usage.used, total.used);
            if span > 0.0 && !first {
                let rate = delta.max(0.0) / span;
                let weight = |time: Duration| (span / time.as_secs_f64()).min(1.0);
                peer_usage.rate += weight(RATE_INTERVAL) * (rate - peer_usage.rate);
                peer_usage.smoothed_rate +=
                    weight(SHARE_INTERVAL) * (rate - peer_usage.smoothed_rate);
            }
            let Some(meter) = self.meters.get_mut(&total.account) else { continue };
            meter.expire(window, now);
            if meter.basis.0 != Basis::Known && !total.amounts.is_empty() {
                meter.rebase(Basis::Known, &total.amounts, Duration::ZERO, window, now);
            }
            // What an older peer used before it was first heard of is in the amounts that it tells
            // to an instance that joins. One that joins itself tells none.
            let is_included = first && self.joined && !joining && incarnation <= self.incarnation;
            if !is_included {
                meter.add(delta, window, now);
            }
        }
    }

    /// What is known of an account's use at the peers that are heard.
    fn others(&self, account: &AccountId, now: Time) -> PeersUsage {
        let mut others = PeersUsage::default();
        for peer in self.peers.values().filter(|peer| !peer.expected) {
            let age = now.since(peer.last_seen);
            if age >= LONG_SILENCE_TIMEOUT {
                continue;
            }
            others.count += 1;
            others.age = others.age.max(age);
            if let Some(peer_usage) = peer.usage.get(account) {
                others.unreported += peer_usage.rate * age.as_secs_f64();
                others.smoothed_rate += peer_usage.smoothed_rate;
            }
        }
        others
    }

    /// The silent peers, if there are any.
    fn partition(&self, now: Time) -> Option<Partition> {
        let limit =
            if self.peers.len() > MANY_PEERS { LONG_SILENCE_TIMEOUT } else { SILENCE_TIMEOUT };
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
