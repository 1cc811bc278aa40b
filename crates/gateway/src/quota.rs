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

/// How long an announced peer is waited for that was not heard yet. Its announcement may be older
/// than its end.
const MEET_TIME: Duration = Duration::from_secs(5);

/// Time over which a peer's rate is averaged: a few exchanges.
const RATE_TIME: Duration = Duration::from_millis(400);

/// Time over which the instances' shares of what is free follow their use.
const PACE_TIME: Duration = Duration::from_secs(2);

/// How fast an account may be used between two reports, as a multiple of its limit's rate. While more
/// than that is free, each instance uses what it needs; of less, it takes its share only. The
/// deployments' accounts ask for up to four times their limit.
const SURGE: f64 = 4.0;

/// Part of a limit's rate that is divided evenly when shares are made, so that an instance that had no
/// requests of an account can serve its first ones.
const EVEN_PART: f64 = 0.25;

/// Part of the tolerance over a limit that is used; the rest covers what peers used since their
/// last report.
const TOLERANCE_PART: f64 = 0.6;

/// Part of a limit that an instance leaves unused for a window after it has joined its peers: it
/// knows neither what was used between the last saving and the restart, nor its peers' rates.
const FRESH_MARGIN: f64 = 0.15;

/// Part of the tolerance that is used where there are many peers, whose reports come several times as
/// late.
const LATE_TOLERANCE_PART: f64 = 0.3;

/// Part of a limit from which use is saved, so that instances that start together know of it. An
/// instance that joins a running deployment assumes this much until it knows more.
const SAVE_PART: f64 = 0.85;

/// Age from which saved use does not tell what was used last: several times the pause between two
/// savings.
const SAVED_TIME: Duration = Duration::from_millis(1_000);

/// Part of the window, just before the present, whose use is looked at alone: if an account uses
/// more than this part of its limit there, an even assumption would leave the window too early.
const RECENT_PART: f64 = 0.25;

/// Step between two roundings: its multiples fill the interval from zero to one evenly.
const GOLDEN_PART: f64 = 0.618_033_988_75;

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

/// What an instance's knowledge of the use before its start rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Basis {
    /// It was there, or a peer that was has told it.
    Known,
    /// On what was saved, which may be older than the start.
    Restored,
    /// On nothing.
    Assumed,
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
    /// The latest of it, with its times.
    own: VecDeque<(Time, f64)>,
    /// When a request was refused last.
    refused: Option<Time>,
    /// Rounding of this instance's share to whole requests, and when it was drawn.
    rounding: (f64, Time),
    /// What is known of the use before the start, and since when.
    basis: (Basis, Time),
}

/// Use of one account at one peer.
#[derive(Debug, Default)]
struct PeerUse {
    /// Units since the peer's start.
    used: f64,
    /// Units a second, lately.
    rate: f64,
    /// The same over a longer time.
    pace: f64,
}

/// Use of one account at the peers that are heard.
#[derive(Debug, Clone, Copy, Default)]
struct Others {
    /// The peers.
    count: u32,
    /// Age of the oldest report.
    age: Duration,
    /// Units that they are likely to have used since their reports.
    unseen: f64,
    /// Units a second.
    pace: f64,
}

/// One peer's reports.
#[derive(Debug)]
struct PeerUses {
    incarnation: Incarnation,
    /// When it was last heard, or first expected.
    heard: Time,
    /// Whether it was announced and never heard.
    expected: bool,
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
    /// First rounding of shares; differs between instances.
    rounding: f64,
    /// When the first accounts were configured.
    start: Time,
    meters: HashMap<AccountId, Meter>,
    peers: HashMap<InstanceId, PeerUses>,
}

impl Quotas {
    /// No limits yet, for the instance's life `life`. `joined` says that other instances may have
    /// been running before this one.
    /// `seed` should differ between instances.
    pub fn new(bounds: QuotaBounds, joined: bool, life: Incarnation, seed: u64) -> Self {
        Self {
            bounds,
            joined,
            life,
            rounding: (seed as f64 * GOLDEN_PART).fract(),
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
                meter.assume(SAVE_PART * limit, self.bounds.window, self.bounds.window, now);
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
    pub fn take(&mut self, account: &AccountId, cost: f64, now: Time) -> Result<(), Duration> {
        let cut = self.cut(now);
        let window = self.bounds.window;
        let many = self.peers.len() > MANY_PEERS;
        let tolerated = if many { LATE_TOLERANCE_PART } else { TOLERANCE_PART };
        let others = self.others(account, now);
        let fresh = self.joined && now.since(self.start) < window;
        let Some(meter) = self.meters.get_mut(account) else { return Ok(()) };
        let margin = if fresh { FRESH_MARGIN * meter.limit } else { 0.0 };
        let allowed = meter.limit + tolerated * meter.tolerance - margin;
        meter.expire(window, now);
        let before = cut.map_or(0.0, |cut| meter.added_before(cut.since, window));
        let part = cut.map_or(1.0, |cut| cut.part);
        let room = before + part * (allowed - before) - meter.total - others.unseen;
        // A request larger than the whole limit passes when nothing else was used.
        if meter.total > 0.0 && !meter.fits(cost, room, &others, window, now) {
            meter.refused = Some(now);
            return Err(meter.free_in(cost, allowed - others.unseen, now));
        }
        meter.add(cost, window, now);
        meter.took(cost, now);
        Ok(())
    }

    /// Gives back what a request took that was refused before it ran.
    pub fn give_back(&mut self, account: &AccountId, cost: f64, now: Time) {
        let window = self.bounds.window;
        if let Some(meter) = self.meters.get_mut(account) {
            meter.add(-cost, window, now);
            meter.took(-cost, now);
        }
    }

    /// Whether a peer should tell what was used before this instance's start.
    pub fn is_joining(&self) -> bool {
        self.meters.values().any(|meter| meter.basis.0 != Basis::Known)
    }

    /// What this instance tells a peer; `whole` adds what it counted of all instances.
    pub fn sums(&mut self, whole: bool, now: Time) -> Vec<AccountSum> {
        let window = self.bounds.window;
        let mut sums = Vec::new();
        for (account, meter) in &mut self.meters {
            meter.expire(window, now);
            let known = whole && meter.basis.0 == Basis::Known;
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
            .map(|account| (account.clone(), self.others(account, now).unseen))
            .collect();
        let mut saved = Vec::new();
        for (account, meter) in &mut self.meters {
            meter.expire(window, now);
            let recent = meter.recent(self.bounds.window.mul_f64(RECENT_PART), now);
            let fast = recent > RECENT_PART * meter.limit;
            let assumed = meter.basis.0 == Basis::Assumed;
            if assumed || (meter.total < SAVE_PART * meter.limit && !fast) {
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
            if meter.basis.0 == Basis::Assumed {
                meter.rebase(Basis::Restored, &saved.amounts, age, window, now);
                if age > SAVED_TIME {
                    // The account was near its limit, and may have used what left the window since.
                    let rest = meter.limit - meter.total;
                    meter.assume(rest.max(0.0), window.mul_f64(RECENT_PART), window, now);
                }
            }
        }
    }

    /// Takes the names of peers that announced themselves, which may be using the limits already.
    pub fn expect<'a>(&mut self, peers: impl Iterator<Item = &'a InstanceId>, now: Time) {
        for peer in peers {
            self.peers.entry(peer.clone()).or_insert_with(|| PeerUses {
                incarnation: Incarnation(0),
                heard: now,
                expected: true,
                uses: HashMap::new(),
            });
        }
    }

    /// Takes a peer's report. `joining` says that the peer doesn't know what was used before its start.
    pub fn hear(
        &mut self,
        peer: &InstanceId,
        incarnation: Incarnation,
        joining: bool,
        sums: &[AccountSum],
        now: Time,
    ) {
        let window = self.bounds.window;
        let first = self.peers.get(peer).is_none_or(|known| known.expected);
        let known = self.peers.entry(peer.clone()).or_insert_with(|| PeerUses {
            incarnation,
            heard: now,
            expected: false,
            uses: HashMap::new(),
        });
        known.expected = false;
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
                let rate = delta.max(0.0) / span;
                let weight = |time: Duration| (span / time.as_secs_f64()).min(1.0);
                peer_use.rate += weight(RATE_TIME) * (rate - peer_use.rate);
                peer_use.pace += weight(PACE_TIME) * (rate - peer_use.pace);
            }
            let Some(meter) = self.meters.get_mut(&sum.account) else { continue };
            meter.expire(window, now);
            if meter.basis.0 != Basis::Known && !sum.amounts.is_empty() {
                meter.rebase(Basis::Known, &sum.amounts, Duration::ZERO, window, now);
            }
            // What an older peer used before it was first heard of is in the amounts that it tells
            // to an instance that joins. One that joins itself tells none.
            let told = first && self.joined && !joining && incarnation <= self.life;
            if !told {
                meter.add(delta, window, now);
            }
        }
    }

    /// What is known of an account's use at the peers that are heard.
    fn others(&self, account: &AccountId, now: Time) -> Others {
        let mut others = Others::default();
        for peer in self.peers.values().filter(|peer| !peer.expected) {
            let age = now.since(peer.heard);
            if age >= LONG_SILENCE {
                continue;
            }
            others.count += 1;
            others.age = others.age.max(age);
            if let Some(peer_use) = peer.uses.get(account) {
                others.unseen += peer_use.rate * age.as_secs_f64();
                others.pace += peer_use.pace;
            }
        }
        others
    }

    /// The silent peers, if there are any.
    fn cut(&self, now: Time) -> Option<Cut> {
        let limit = if self.peers.len() > MANY_PEERS { LONG_SILENCE } else { SILENCE };
        let (mut all, mut silent, mut since) = (1, 0, Time::ZERO);
        for peer in self.peers.values() {
            let silence = now.since(peer.heard);
            let gone = silence >= if peer.expected { MEET_TIME } else { GONE_TIME };
            if gone {
                continue;
            }
            all += 1;
            if peer.expected || silence > limit {
                silent += 1;
                since = since.max(peer.heard);
            }
        }
        let part = 1.0 - f64::from(silent) / f64::from(all);
        (silent > 0).then_some(Cut { part, since })
    }
}

impl Meter {
    fn new(rounding: f64) -> Self {
        Self {
            limit: 0.0,
            tolerance: 0.0,
            slots: VecDeque::new(),
            total: 0.0,
            used: 0.0,
            own: VecDeque::new(),
            refused: None,
            rounding: (rounding, Time::ZERO),
            basis: (Basis::Known, Time::ZERO),
        }
    }

    /// Whether `cost` units may be used of the `room` that is free. Near the limit all instances see
    /// the same room until they hear of one another, so each takes its share only.
    fn fits(&mut self, cost: f64, room: f64, others: &Others, window: Duration, now: Time) -> bool {
        if room < cost {
            return false;
        }
        let rate = self.limit / window.as_secs_f64();
        // Reports are half as old as the oldest one on average.
        let surge = SURGE * rate * others.age.as_secs_f64() / 2.0;
        // Callers who were refused are about to return.
        let greedy = self.refused.is_some_and(|at| now.since(at) < PACE_TIME);
        if others.count == 0 || (room >= cost + surge && !greedy) {
            return true;
        }
        let even = EVEN_PART * rate / f64::from(others.count + 1);
        let own = self.recent_own(PACE_TIME, now) / PACE_TIME.as_secs_f64() + even;
        let share = own / (own + others.pace + even * f64::from(others.count));
        let recent = self.recent_own(others.age, now);
        recent + cost <= share * (room + recent) + self.rounding(others.age, now) * cost
    }

    /// Part of a request that may be used beyond a share, so that shares smaller than a request add
    /// up to what is free.
    fn rounding(&mut self, age: Duration, now: Time) -> f64 {
        if now.since(self.rounding.1) >= age {
            self.rounding = ((self.rounding.0 + GOLDEN_PART).fract(), now);
        }
        self.rounding.0
    }

    /// Counts `cost` units as used here.
    fn took(&mut self, cost: f64, now: Time) {
        self.used += cost;
        self.own.push_back((now, cost));
        while self.own.front().is_some_and(|(at, _)| now.since(*at) > PACE_TIME) {
            self.own.pop_front();
        }
        self.rounding.0 = (self.rounding.0 + GOLDEN_PART).fract();
    }

    /// Units that were used here in the last `span`, at most [`PACE_TIME`].
    fn recent_own(&self, span: Duration, now: Time) -> f64 {
        let recent = self.own.iter().rev().take_while(|(at, _)| now.since(*at) <= span);
        recent.map(|(_, cost)| cost).sum()
    }

    /// Counts `amount` as used evenly over the `span` before `now`.
    fn assume(&mut self, amount: f64, span: Duration, window: Duration, now: Time) {
        let span = span.min(window);
        let part = amount / f64::from(SLOTS);
        let ends = (1..=SLOTS).map(|slot| now + (window - span) + span / SLOTS * slot);
        self.slots.extend(ends.map(|end| Slot { end, amount: part }));
        self.slots.make_contiguous().sort_by_key(|slot| slot.end);
        self.total += amount;
    }

    /// Counts `amounts`, as they were known `age` ago, in place of what rests on less.
    fn rebase(
        &mut self,
        basis: Basis,
        amounts: &[(Duration, f64)],
        age: Duration,
        window: Duration,
        now: Time,
    ) {
        self.slots.clear();
        self.total = 0.0;
        self.basis = (basis, now);
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
        self.expire(window, now);
        self.total += amount;
        let end = now + window;
        let width = window / SLOTS;
        match self.slots.back_mut() {
            Some(slot) if end.since(slot.end) < width => slot.amount += amount,
            _ => self.slots.push_back(Slot { end: end + width, amount }),
        }
    }

    fn expire(&mut self, window: Duration, now: Time) {
        // Nothing from before the start is left in the window.
        if now.since(self.basis.1) >= window {
            self.basis = (Basis::Known, now);
        }
        while let Some(slot) = self.slots.front() {
            if slot.end > now {
                return;
            }
            self.total -= slot.amount;
            self.slots.pop_front();
        }
        // Rounding would leave a rest behind.
        self.total = 0.0;
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
