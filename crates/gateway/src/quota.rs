//! Limits of client accounts over all instances together.
//!
//! Each instance counts over a sliding window what it uses itself and what its peers say that they
//! used. Use is reported as a sum since an instance's start, so a lost or repeated report does no
//! harm. While peers are not heard, an equal part of what is free is left to each of them, so that
//! the two sides of a cut stay within the limit together.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use sesamewind_protocol::relay::AccountSum;
use sesamewind_protocol::{AccountId, Incarnation, InstanceId, Time};

use crate::table::Account;

/// Slots that the window is divided into.
const SLOTS: u32 = 64;

/// Silence of a peer after which a part of each limit is left to it; longer than a few exchanges
/// that fail.
const SILENCE: Duration = Duration::from_millis(700);

/// The same where there are many peers and exchanges with each are rare.
const LONG_SILENCE: Duration = Duration::from_millis(3_000);

/// Peers from which on [`LONG_SILENCE`] holds.
const MANY_PEERS: usize = 12;

/// Silence of a peer after which nothing is left to it: it is gone, and its callers use other
/// instances.
const GONE_TIME: Duration = Duration::from_secs(20);

/// Time over which a peer's rate is averaged: a few exchanges.
const RATE_TIME: Duration = Duration::from_millis(400);

/// Part of the tolerance over a limit that is used; the rest covers what peers used since their
/// last report.
const TOLERANCE_PART: f64 = 0.6;

/// Part of a limit that an instance leaves unused for a window after it has joined its peers: it
/// knows neither what was used between the last saving and the restart, nor its peers' rates.
const FRESH_MARGIN: f64 = 0.15;

/// Part of the tolerance that is used where there are many peers, whose reports come several times as
/// late.
const LATE_TOLERANCE_PART: f64 = 0.0;

/// Part of a limit from which use is saved, so that instances that start together know of it. An
/// instance that joins a running deployment assumes this much until it knows more.
const SAVE_PART: f64 = 0.85;

/// Part of the window, just before the present, whose use is looked at alone: if an account uses
/// more than this part of its limit there, an even assumption would leave the window too early.
const RECENT_PART: f64 = 0.25;

/// Use of one account that is saved outside of the instances.
#[derive(Debug, Clone, PartialEq)]
pub struct SavedUse {
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

/// Use within one slot of time.
#[derive(Debug, Clone, Copy)]
struct Slot {
    end: Time,
    amount: f64,
}

/// Use of one account by all instances, as far as it is known here.
#[derive(Debug)]
struct Meter {
    /// The limit within the window.
    limit: f64,
    /// Tolerance over the limit.
    tolerance: f64,
    slots: VecDeque<Slot>,
    total: f64,
    /// Use at this instance since its start.
    used: f64,
    /// Whether what was used before the start is assumed and not known.
    assumed: bool,
}

/// Use of one account at one peer.
#[derive(Debug, Default)]
struct PeerUse {
    /// Units since the peer's start.
    used: f64,
    /// Units a second, lately.
    rate: f64,
}

/// One peer's reports.
#[derive(Debug)]
struct PeerUses {
    incarnation: Incarnation,
    heard: Time,
    uses: HashMap<AccountId, PeerUse>,
}

/// Silence of some peers. What was used before is known on both sides; of what is free beyond that,
/// each side takes its part.
#[derive(Debug, Clone, Copy)]
struct Cut {
    /// Part of the instances on this side.
    part: f64,
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
    life: Incarnation,
    /// When the first accounts were configured.
    start: Time,
    meters: HashMap<AccountId, Meter>,
    peers: HashMap<InstanceId, PeerUses>,
}

impl Quotas {
    /// No limits yet, for the instance's life `life`. `joined` says that other instances may have
    /// been running before this one.
    pub fn new(bounds: QuotaBounds, joined: bool, life: Incarnation) -> Self {
        Self {
            bounds,
            joined,
            life,
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
            let mut meter = meter.unwrap_or_else(Meter::new);
            let limit = account.rate * self.bounds.window.as_secs_f64() + account.burst;
            meter.limit = limit;
            meter.tolerance = self.bounds.overage * limit + self.bounds.slack;
            if first {
                meter.assume(SAVE_PART * limit, self.bounds.window, now);
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
    pub fn take(&mut self, account: &AccountId, cost: f64, now: Time) -> Result<(), Duration> {
        let cut = self.cut(now);
        let window = self.bounds.window;
        let many = self.peers.len() > MANY_PEERS;
        let tolerated = if many { LATE_TOLERANCE_PART } else { TOLERANCE_PART };
        let unseen = self.unseen(account, now);
        let fresh = self.joined && now.since(self.start) < window;
        let Some(meter) = self.meters.get_mut(account) else { return Ok(()) };
        let margin = if fresh { FRESH_MARGIN * meter.limit } else { 0.0 };
        let allowed = meter.limit + tolerated * meter.tolerance - unseen - margin;
        meter.expire(now);
        let before = cut.map_or(0.0, |cut| meter.added_before(cut.since, window));
        let part = cut.map_or(1.0, |cut| cut.part);
        // A request larger than the whole limit passes when nothing else was used.
        let fits = meter.total - before + cost <= part * (allowed - before);
        if !fits && meter.total > 0.0 {
            return Err(meter.free_in(cost, allowed, now));
        }
        meter.add(cost, window, now);
        meter.used += cost;
        Ok(())
    }

    /// Gives back what a request took that was refused before it ran.
    pub fn give_back(&mut self, account: &AccountId, cost: f64, now: Time) {
        let window = self.bounds.window;
        if let Some(meter) = self.meters.get_mut(account) {
            meter.add(-cost, window, now);
            meter.used -= cost;
        }
    }

    /// Whether what was used before the start is assumed and not known.
    pub fn is_joining(&self) -> bool {
        self.meters.values().any(|meter| meter.assumed)
    }

    /// What this instance tells a peer; `whole` adds what it counted of all instances.
    pub fn sums(&mut self, whole: bool, now: Time) -> Vec<AccountSum> {
        let mut sums = Vec::new();
        for (account, meter) in &mut self.meters {
            meter.expire(now);
            let known = whole && !meter.assumed;
            if meter.used > 0.0 || known {
                let amounts = if known { meter.amounts(now) } else { Vec::new() };
                sums.push(AccountSum { account: account.clone(), used: meter.used, amounts });
            }
        }
        sums
    }

    /// Use that should outlive the instances: that of accounts that are near their limit.
    pub fn to_save(&mut self, now: Time) -> Vec<SavedUse> {
        let window = self.bounds.window;
        let unseen: HashMap<AccountId, f64> = self
            .meters
            .keys()
            .map(|account| (account.clone(), self.unseen(account, now)))
            .collect();
        let mut saved = Vec::new();
        for (account, meter) in &mut self.meters {
            meter.expire(now);
            let recent = meter.recent(self.bounds.window.mul_f64(RECENT_PART), now);
            let fast = recent > RECENT_PART * meter.limit;
            if meter.assumed || (meter.total < SAVE_PART * meter.limit && !fast) {
                continue;
            }
            let mut amounts = meter.amounts(now);
            amounts.push((window, unseen.get(account).copied().unwrap_or(0.0)));
            saved.push(SavedUse { account: account.clone(), amounts });
        }
        saved
    }

    /// Takes use that was saved `age` ago in place of what was assumed. Accounts that are not in it
    /// were used less than is saved, but how much is not known.
    pub fn restore(&mut self, saved: &[SavedUse], age: Duration, now: Time) {
        let window = self.bounds.window;
        for saved in saved {
            let Some(meter) = self.meters.get_mut(&saved.account) else { continue };
            if meter.assumed {
                meter.replace_assumption(&saved.amounts, age, window, now);
            }
        }
    }

    /// Takes a peer's report.
    pub fn hear(
        &mut self,
        peer: &InstanceId,
        incarnation: Incarnation,
        sums: &[AccountSum],
        now: Time,
    ) {
        let window = self.bounds.window;
        let first = !self.peers.contains_key(peer);
        let known = self.peers.entry(peer.clone()).or_insert_with(|| PeerUses {
            incarnation,
            heard: now,
            uses: HashMap::new(),
        });
        if incarnation < known.incarnation {
            return;
        }
        if incarnation > known.incarnation {
            known.incarnation = incarnation;
            known.uses.clear();
        }
        let span = now.since(known.heard).as_secs_f64();
        known.heard = now;
        for sum in sums {
            let peer_use = known.uses.entry(sum.account.clone()).or_default();
            let delta = sum.used - std::mem::replace(&mut peer_use.used, sum.used);
            if span > 0.0 && !first {
                let weight = (span / RATE_TIME.as_secs_f64()).min(1.0);
                peer_use.rate += weight * (delta.max(0.0) / span - peer_use.rate);
            }
            let Some(meter) = self.meters.get_mut(&sum.account) else { continue };
            meter.expire(now);
            if meter.assumed && !sum.amounts.is_empty() {
                meter.replace_assumption(&sum.amounts, Duration::ZERO, window, now);
            }
            // What an older peer used before it was first heard of is in the amounts that it tells
            // to an instance that joins.
            let told = first && self.joined && incarnation <= self.life;
            if !told {
                meter.add(delta, window, now);
            }
        }
    }

    /// What peers are likely to have used since they were last heard.
    fn unseen(&self, account: &AccountId, now: Time) -> f64 {
        let unseen = self.peers.values().filter_map(|peer| {
            let age = now.since(peer.heard);
            let peer_use = peer.uses.get(account).filter(|_| age < LONG_SILENCE)?;
            Some(peer_use.rate * age.as_secs_f64())
        });
        unseen.sum()
    }

    /// The silent peers, if there are any.
    fn cut(&self, now: Time) -> Option<Cut> {
        let limit = if self.peers.len() > MANY_PEERS { LONG_SILENCE } else { SILENCE };
        let (mut all, mut silent, mut since) = (1, 0, Time::ZERO);
        for peer in self.peers.values() {
            let silence = now.since(peer.heard);
            if silence < GONE_TIME {
                all += 1;
            }
            if silence > limit && silence < GONE_TIME {
                silent += 1;
                since = since.max(peer.heard);
            }
        }
        let part = 1.0 - f64::from(silent) / f64::from(all);
        (silent > 0).then_some(Cut { part, since })
    }
}

impl Meter {
    fn new() -> Self {
        Self {
            limit: 0.0,
            tolerance: 0.0,
            slots: VecDeque::new(),
            total: 0.0,
            used: 0.0,
            assumed: false,
        }
    }

    /// Counts `amount` as used evenly over the window before `now`.
    fn assume(&mut self, amount: f64, window: Duration, now: Time) {
        let width = window / SLOTS;
        for slot in 1..=SLOTS {
            let part = amount / f64::from(SLOTS);
            self.slots.push_back(Slot { end: now + width * slot, amount: part });
            self.total += part;
        }
        self.assumed = true;
    }

    /// Counts `amounts`, as they were known `age` ago, in place of the assumption.
    fn replace_assumption(
        &mut self,
        amounts: &[(Duration, f64)],
        age: Duration,
        window: Duration,
        now: Time,
    ) {
        self.slots.clear();
        self.total = 0.0;
        self.assumed = false;
        for (left, amount) in amounts {
            if *left > age {
                let end = now + left.saturating_sub(age);
                self.slots.push_back(Slot { end, amount: *amount });
                self.total += amount;
            }
        }
        self.add(self.used, window, now);
    }

    /// Use within the window that was counted before `since`.
    fn added_before(&self, since: Time, window: Duration) -> f64 {
        let end = since + window;
        self.slots.iter().take_while(|slot| slot.end <= end).map(|slot| slot.amount).sum()
    }

    /// Use within the last `span`.
    fn recent(&self, span: Duration, now: Time) -> f64 {
        // An amount stays for a window, so the newest ones leave last.
        let Some(newest) = self.slots.back() else { return 0.0 };
        let oldest = newest.end.max(now) - span;
        self.slots.iter().rev().take_while(|slot| slot.end > oldest).map(|slot| slot.amount).sum()
    }

    /// Amounts with the time after which each leaves the window.
    fn amounts(&self, now: Time) -> Vec<(Duration, f64)> {
        self.slots.iter().map(|slot| (slot.end.since(now), slot.amount)).collect()
    }

    fn add(&mut self, amount: f64, window: Duration, now: Time) {
        self.expire(now);
        self.total += amount;
        let end = now + window;
        let width = window / SLOTS;
        match self.slots.back_mut() {
            Some(slot) if end.since(slot.end) < width => slot.amount += amount,
            _ => self.slots.push_back(Slot { end: end + width, amount }),
        }
    }

    fn expire(&mut self, now: Time) {
        while let Some(slot) = self.slots.front() {
            if slot.end > now {
                return;
            }
            self.total -= slot.amount;
            self.slots.pop_front();
        }
        // Rounding would leave a rest behind.
        self.total = 0.0;
        self.assumed = false;
    }

    /// Time until `cost` units leave the window.
    fn free_in(&self, cost: f64, allowed: f64, now: Time) -> Duration {
        let mut over = self.total + cost - allowed;
        for slot in &self.slots {
            over -= slot.amount;
            if over <= 0.0 {
                return slot.end.since(now);
            }
        }
        self.slots.back().map_or(Duration::ZERO, |slot| slot.end.since(now))
    }
}
