//! Limits of client accounts over all instances, divided in proportion to demand.
//!
//! Every instance reports the demand of each active account to its peers, including refused
//! requests. Each instance grants its proportional share of the limit, so a busy instance can use
//! what idle ones don't, and the shares add up to the limit. Demand doesn't depend on what is
//! granted, so the shares don't oscillate. Idle accounts have no state.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use sesamewind_protocol::traffic::AccountUsage;
use sesamewind_protocol::{AccountId, InstanceId, Time};

use crate::config::{Account, AccountLimits};

const RATE_WINDOW: Duration = Duration::from_secs(2);
const BUCKET_SECONDS: f64 = 0.25;
/// Time after an account becomes active during which peers' reports about it may still be in
/// transit.
const PRIOR_WINDOW: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Lowest rate that shares and waiting times are divided by, in units per second. Accounts with a
/// lower token rate are not reported to peers, because they hardly affect the shares.
const MIN_RATE_PER_S: f64 = 0.01;
/// Lowest share of the total demand that an instance assumes for itself.
const MIN_SHARE: f64 = 0.001;

/// Exponentially decaying rate.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    weight: f64,
    at: Time,
}

impl Rate {
    fn add(&mut self, amount: f64, now: Time) {
        self.weight = self.decayed(now) + amount;
        self.at = now;
    }

    fn decayed(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.weight * (-age / RATE_WINDOW.as_secs_f64()).exp()
    }

    fn per_second(&self, now: Time) -> f64 {
        self.decayed(now) / RATE_WINDOW.as_secs_f64()
    }
}

/// Token bucket whose rate is set at each use. One large request may overdraw it.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    level: f64,
    rate: f64,
    at: Time,
}

impl Bucket {
    fn refill(&mut self, rate: f64, now: Time) {
        let added = rate * now.since(self.at).as_secs_f64();
        self.level = (self.level + added).min(rate * BUCKET_SECONDS);
        self.rate = rate;
        self.at = now;
    }

    /// Returns whether the bucket is still overdrawn.
    fn is_overdrawn(&self, now: Time) -> bool {
        self.rate > 0.0 && self.level + self.rate * now.since(self.at).as_secs_f64() < 0.0
    }

    /// Returns the time until the bucket is above zero again.
    fn wait(&self, rate: f64) -> Duration {
        let seconds = (-self.level / rate.max(MIN_RATE_PER_S)).clamp(0.05, 3_600.0);
        Duration::from_secs_f64(seconds)
    }
}

#[derive(Debug)]
struct ActiveAccount {
    since: Time,
    last: Time,
    tokens: Rate,
    requests: Rate,
    token_bucket: Bucket,
    request_bucket: Bucket,
}

#[derive(Debug)]
struct PeerUsage {
    received: Time,
    accounts: BTreeMap<AccountId, (f64, f64)>,
}

/// Usage and limits of client accounts.
#[derive(Debug, Default)]
pub(crate) struct Accounts {
    limits: HashMap<AccountId, AccountLimits>,
    active: BTreeMap<AccountId, ActiveAccount>,
    peers: BTreeMap<InstanceId, PeerUsage>,
    reachable: usize,
}

impl Accounts {
    pub(crate) fn configure(&mut self, accounts: &[Account]) {
        let limited = accounts.iter().filter(|account| account.limits != AccountLimits::default());
        self.limits = limited.map(|account| (account.id.clone(), account.limits)).collect();
    }

    /// Sets the number of reachable peers.
    pub(crate) fn set_reachable(&mut self, reachable: usize) {
        self.reachable = reachable;
    }

    /// Applies a peer's report of the demand of each account at the peer.
    pub(crate) fn update_peer(&mut self, from: &InstanceId, usages: &[AccountUsage], now: Time) {
        let rates =
            |usage: &AccountUsage| (f64::from(usage.tokens_per_s), f64::from(usage.requests_per_s));
        let accounts = usages.iter().map(|usage| (usage.account.clone(), rates(usage))).collect();
        self.peers.insert(from.clone(), PeerUsage { received: now, accounts });
    }

    /// Charges a request of `tokens` to `account`.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry if the account's limit is used up.
    pub(crate) fn charge(
        &mut self,
        account: &AccountId,
        tokens: u32,
        now: Time,
    ) -> Result<(), Duration> {
        let (peer_tokens, peer_requests) = self.peer_rates(account);
        let prior = 1.0 / (self.reachable as f64 + 1.0);
        let active = self.active.entry(account.clone()).or_insert_with(|| ActiveAccount {
            since: now,
            last: now,
            tokens: Rate::default(),
            requests: Rate::default(),
            token_bucket: Bucket { at: now, ..Bucket::default() },
            request_bucket: Bucket { at: now, ..Bucket::default() },
        });
        active.last = now;
        active.tokens.add(f64::from(tokens), now);
        active.requests.add(1.0, now);
        let Some(limits) = self.limits.get(account) else { return Ok(()) };
        let is_new = now.since(active.since) < PRIOR_WINDOW;
        let share = |own: f64, peers: f64| {
            if is_new && peers == 0.0 { prior } else { own / (own + peers).max(MIN_RATE_PER_S) }
        };
        let mut wait = Duration::ZERO;
        let token_rate = limits
            .tokens_per_s
            .map(|limit| limit * share(active.tokens.per_second(now), peer_tokens));
        if let Some(rate) = token_rate {
            active.token_bucket.refill(rate, now);
            if active.token_bucket.level < 0.0 {
                wait = active.token_bucket.wait(rate);
            }
        }
        let request_rate = limits
            .requests_per_s
            .map(|limit| limit * share(active.requests.per_second(now), peer_requests));
        if let Some(rate) = request_rate {
            active.request_bucket.refill(rate, now);
            if active.request_bucket.level < 0.0 {
                wait = wait.max(active.request_bucket.wait(rate));
            }
        }
        if wait > Duration::ZERO {
            return Err(wait);
        }
        active.token_bucket.level -= f64::from(tokens);
        active.request_bucket.level -= 1.0;
        Ok(())
    }

    fn peer_rates(&self, account: &AccountId) -> (f64, f64) {
        let usages = self.peers.values().filter_map(|peer| peer.accounts.get(account));
        usages.fold((0.0, 0.0), |sum, usage| (sum.0 + usage.0, sum.1 + usage.1))
    }

    /// Returns this instance's share of the demand on all instances, above zero and at most one.
    pub(crate) fn own_share(&self, now: Time) -> f64 {
        let own: f64 = self.active.values().map(|active| active.tokens.per_second(now)).sum();
        let of_peer = |peer: &PeerUsage| peer.accounts.values().map(|usage| usage.0).sum::<f64>();
        let peers: f64 = self.peers.values().map(of_peer).sum();
        if peers <= 0.0 {
            return 1.0;
        }
        (own / (own + peers)).max(MIN_SHARE)
    }

    /// Returns the demand of active accounts at this instance.
    pub(crate) fn usage_report(&self, now: Time) -> Vec<AccountUsage> {
        let mut report = Vec::new();
        for (account, active) in &self.active {
            let tokens = active.tokens.per_second(now);
            if tokens < MIN_RATE_PER_S {
                continue;
            }
            report.push(AccountUsage {
                account: account.clone(),
                tokens_per_s: tokens as f32,
                requests_per_s: active.requests.per_second(now) as f32,
            });
        }
        report
    }

    /// Removes idle accounts that are not overdrawn, and peers that no longer report.
    pub(crate) fn expire(&mut self, peer_timeout: Duration, now: Time) {
        self.active.retain(|_, active| {
            now.since(active.last) < IDLE_TIMEOUT
                || active.token_bucket.is_overdrawn(now)
                || active.request_bucket.is_overdrawn(now)
        });
        self.peers.retain(|_, peer| now.since(peer.received) < peer_timeout);
    }

    /// Returns the number of accounts with state.
    pub(crate) fn active(&self) -> usize {
        self.active.len()
    }
}
