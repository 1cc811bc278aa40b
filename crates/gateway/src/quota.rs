//! Limits of client accounts over all instances together.
//!
//! Each instance keeps a bucket for each account and takes out of it what it uses itself and what
//! its peers say that they used. Use is reported as a sum since an instance's start, so a lost or
//! repeated report does no harm. For a peer that is not heard, its last known rate is taken out.

use std::collections::HashMap;
use std::time::Duration;

use sesamewind_protocol::{AccountId, Incarnation, InstanceId, Time};

use crate::table::Account;

/// Silence of a peer after which its use is estimated.
const SILENCE: Duration = Duration::from_millis(700);

/// Longest time that the use of a silent peer is estimated; callers of a peer that is gone use
/// other instances by then, and their use is counted there.
const ESTIMATE_TIME: Duration = Duration::from_secs(20);

/// Weight of the newest sample in a peer's rate.
const RATE_WEIGHT: f64 = 0.2;

/// Bucket of one account.
#[derive(Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    filled: Time,
    /// Use at this instance since its start.
    used: f64,
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
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: HashMap<AccountId, Bucket>,
    peers: HashMap<InstanceId, PeerUses>,
}

impl Quotas {
    /// Takes the accounts of a new configuration. A bucket that is new after the start is empty,
    /// since peers may have used its burst just before.
    pub fn configure<'a>(&mut self, accounts: impl Iterator<Item = &'a Account>, now: Time) {
        let mut kept = HashMap::new();
        for account in accounts.filter(|account| account.rate > 0.0) {
            let mut bucket = self.buckets.remove(&account.name).unwrap_or(Bucket {
                rate: account.rate,
                burst: account.burst,
                level: 0.0,
                filled: now,
                used: 0.0,
            });
            bucket.fill(now);
            bucket.rate = account.rate;
            bucket.burst = account.burst.max(account.rate);
            bucket.level = bucket.level.min(bucket.burst);
            kept.insert(account.name.clone(), bucket);
        }
        self.buckets = kept;
    }

    /// Takes `cost` units out of an account's limit.
    ///
    /// # Errors
    ///
    /// Returns the time until the units are there, if the limit does not allow them now.
    pub fn take(&mut self, account: &AccountId, cost: f64, now: Time) -> Result<(), Duration> {
        self.estimate(now);
        let Some(bucket) = self.buckets.get_mut(account) else { return Ok(()) };
        bucket.fill(now);
        // A request larger than the burst passes when the bucket is full.
        let needed = cost.min(bucket.burst);
        if bucket.level < needed {
            return Err(Duration::from_secs_f64((needed - bucket.level) / bucket.rate));
        }
        bucket.level -= cost;
        bucket.used += cost;
        Ok(())
    }

    /// Gives back what a request took that was refused before it ran.
    pub fn give_back(&mut self, account: &AccountId, cost: f64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.level += cost;
            bucket.used -= cost;
        }
    }

    /// Use at this instance since its start.
    pub fn uses(&self) -> impl Iterator<Item = (&AccountId, f64)> {
        self.buckets.iter().map(|(account, bucket)| (account, bucket.used))
    }

    /// Takes a peer's report of its use since its start.
    pub fn hear<'a>(
        &mut self,
        peer: &InstanceId,
        incarnation: Incarnation,
        uses: impl Iterator<Item = (&'a AccountId, f64)>,
        now: Time,
    ) {
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
        for (account, used) in uses {
            let peer_use = known.uses.entry(account.clone()).or_default();
            // What a peer used before it was first heard of is over.
            let delta = if first { 0.0 } else { used - peer_use.used };
            peer_use.used = used;
            let Some(bucket) = self.buckets.get_mut(account) else { continue };
            bucket.fill(now);
            bucket.level = (bucket.level - delta + peer_use.estimated).min(bucket.burst);
            peer_use.estimated = 0.0;
            if span > 0.0 {
                peer_use.rate += RATE_WEIGHT * (delta.max(0.0) / span - peer_use.rate);
            }
        }
    }

    /// Takes out what silent peers are estimated to use.
    fn estimate(&mut self, now: Time) {
        for peer in self.peers.values_mut() {
            let silent = now.since(peer.heard);
            if silent < SILENCE || silent > ESTIMATE_TIME {
                continue;
            }
            let span = now.since(peer.estimated_to).as_secs_f64();
            peer.estimated_to = now;
            for (account, peer_use) in &mut peer.uses {
                let Some(bucket) = self.buckets.get_mut(account) else { continue };
                let amount = peer_use.rate * span;
                bucket.level -= amount;
                peer_use.estimated += amount;
            }
        }
    }
}

impl Bucket {
    fn fill(&mut self, now: Time) {
        let span = now.since(self.filled).as_secs_f64();
        self.filled = now;
        self.level = (self.level + self.rate * span).min(self.burst);
    }
}
