//! Limits of client accounts over all instances together.
//!
//! Each instance counts over a sliding window what it uses itself and what its peers say that they
//! used. Use is reported as a sum since an instance's start, so a lost or repeated report does no
//! harm. For a peer that is not heard, its last known rate is counted.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use sesamewind_protocol::relay::AccountSum;
use sesamewind_protocol::{AccountId, Incarnation, InstanceId, Time};

use crate::table::Account;

/// Slots that the window is divided into.
const SLOTS: u32 = 16;

/// Silence of a peer after which its use is estimated.
const SILENCE: Duration = Duration::from_millis(700);

/// Longest time that the use of a silent peer is estimated; callers of a peer that is gone use
/// other instances by then, and their use is counted there.
const ESTIMATE_TIME: Duration = Duration::from_secs(20);

/// Weight of the newest sample in a peer's rate.
const RATE_WEIGHT: f64 = 0.2;

/// Part of the tolerance over a limit that is used; the rest covers what peers used since their
/// last report.
const TOLERANCE_PART: f64 = 0.4;

/// Part of a limit that is taken as used by all instances before the start of one that joins a
/// running deployment, until its peers say what they counted.
const ASSUMED_PART: f64 = 0.85;

/// Part of a limit from which use is saved, so that instances that start together know of it.
const SAVE_PART: f64 = 0.55;

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
    /// Use allowed within the window, part of the tolerance included.
    allowed: f64,
    slots: VecDeque<Slot>,
    total: f64,
    /// Use at this instance since its start.
    used: f64,
    /// Whether [`ASSUMED_PART`] is counted still.
    assumed: bool,
}

/// Use of one account at one peer.
#[derive(Debug, Default)]
struct PeerUse {
    used: f64,
    rate: f64,
    estimated: f64,
}

/// One peer's reports.
#[derive(Debug)]
struct PeerUses {
    incarnation: Incarnation,
    heard: Time,
    estimated_to: Time,
    uses: HashMap<AccountId, PeerUse>,
}

/// Limits of all client accounts.
#[derive(Debug)]
pub struct Quotas {
    bounds: QuotaBounds,
    /// Whether the instance joined a deployment that was running before.
    joined: bool,
    meters: HashMap<AccountId, Meter>,
    peers: HashMap<InstanceId, PeerUses>,
}

impl Quotas {
    /// No limits yet. `joined` says that other instances may have been running before this one.
    pub fn new(bounds: QuotaBounds, joined: bool) -> Self {
        Self { bounds, joined, meters: HashMap::new(), peers: HashMap::new() }
    }

    /// Takes the accounts of a new configuration.
    pub fn configure<'a>(&mut self, accounts: impl Iterator<Item = &'a Account>, now: Time) {
        let first = self.meters.is_empty() && self.joined;
        let mut kept = HashMap::new();
        for account in accounts.filter(|account| account.rate > 0.0) {
            let meter = self.meters.remove(&account.name);
            let mut meter = meter.unwrap_or_else(Meter::new);
            let limit = account.rate * self.bounds.window.as_secs_f64() + account.burst;
            let tolerance = self.bounds.overage * limit + self.bounds.slack;
            meter.limit = limit;
            meter.allowed = limit + TOLERANCE_PART * tolerance;
            if first {
                meter.assume(ASSUMED_PART * limit, self.bounds.window, now);
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
        self.estimate(now);
        let window = self.bounds.window;
        let Some(meter) = self.meters.get_mut(account) else { return Ok(()) };
        meter.expire(now);
        // A request larger than the whole limit passes when nothing else was used.
        if meter.total + cost > meter.allowed && meter.total > 0.0 {
            return Err(meter.free_in(cost, now));
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

    /// What this instance tells its peers.
    pub fn sums(&self) -> impl Iterator<Item = AccountSum> {
        self.meters.iter().filter(|(_, meter)| meter.total > 0.0 || meter.used > 0.0).map(
            |(account, meter)| AccountSum {
                account: account.clone(),
                used: meter.used,
                // An assumption is no news.
                window: if meter.assumed { 0.0 } else { meter.total },
            },
        )
    }

    /// Use that should outlive the instances: that of accounts that are near their limit.
    pub fn to_save(&mut self, now: Time) -> Vec<SavedUse> {
        let mut saved = Vec::new();
        for (account, meter) in &mut self.meters {
            meter.expire(now);
            if meter.assumed || meter.total < SAVE_PART * meter.limit {
                continue;
            }
            let amounts = meter.slots.iter().map(|slot| (slot.end.since(now), slot.amount));
            saved.push(SavedUse { account: account.clone(), amounts: amounts.collect() });
        }
        saved
    }

    /// Takes use that was saved `age` ago in place of what was assumed. Accounts that are not in it
    /// were used less than is saved.
    pub fn restore(&mut self, saved: &[SavedUse], age: Duration, now: Time) {
        let window = self.bounds.window;
        for (account, meter) in &mut self.meters {
            if !meter.assumed {
                continue;
            }
            let own = meter.used;
            meter.slots.clear();
            meter.total = 0.0;
            match saved.iter().find(|saved| saved.account == *account) {
                Some(saved) => {
                    for (left, amount) in &saved.amounts {
                        let end = now + left.saturating_sub(age);
                        meter.slots.push_back(Slot { end, amount: *amount });
                        meter.total += amount;
                    }
                    meter.assumed = true;
                }
                None => meter.assume(SAVE_PART * meter.limit, window, now),
            }
            meter.add(own, window, now);
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
            estimated_to: now,
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
        known.estimated_to = now;
        for sum in sums {
            let peer_use = known.uses.entry(sum.account.clone()).or_default();
            let delta = sum.used - peer_use.used;
            peer_use.used = sum.used;
            let Some(meter) = self.meters.get_mut(&sum.account) else { continue };
            meter.expire(now);
            if meter.assumed && sum.window > 0.0 {
                meter.replace_assumption(sum.window, window, now);
            }
            // What a peer used before it was first heard of is in its window's total.
            let counted = if first { 0.0 } else { delta };
            meter.add(counted - peer_use.estimated, window, now);
            peer_use.estimated = 0.0;
            if span > 0.0 {
                peer_use.rate += RATE_WEIGHT * (counted.max(0.0) / span - peer_use.rate);
            }
        }
    }

    /// Counts what silent peers are estimated to use.
    fn estimate(&mut self, now: Time) {
        let window = self.bounds.window;
        for peer in self.peers.values_mut() {
            let silent = now.since(peer.heard);
            if silent < SILENCE || silent > ESTIMATE_TIME {
                continue;
            }
            let span = now.since(peer.estimated_to).as_secs_f64();
            peer.estimated_to = now;
            for (account, peer_use) in &mut peer.uses {
                let Some(meter) = self.meters.get_mut(account) else { continue };
                let amount = peer_use.rate * span;
                meter.add(amount, window, now);
                peer_use.estimated += amount;
            }
        }
    }
}

impl Meter {
    fn new() -> Self {
        Self {
            limit: 0.0,
            allowed: 0.0,
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

    /// Counts what a peer counted in place of the assumption.
    fn replace_assumption(&mut self, counted: f64, window: Duration, now: Time) {
        let own = self.used;
        self.slots.clear();
        self.total = 0.0;
        self.assume(counted.max(own), window, now);
        self.assumed = false;
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
    fn free_in(&self, cost: f64, now: Time) -> Duration {
        let mut over = self.total + cost - self.allowed;
        for slot in &self.slots {
            over -= slot.amount;
            if over <= 0.0 {
                return slot.end.since(now);
            }
        }
        self.slots.back().map_or(Duration::ZERO, |slot| slot.end.since(now))
    }
}
