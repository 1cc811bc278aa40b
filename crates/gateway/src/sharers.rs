//! Instances among which the limits that hold for all of them together are divided.
//!
//! A peer that falls silent may be cut off and go on with its share, so it keeps that share for much
//! longer than it counts as a member, unless it has said that it stops.

use std::collections::HashMap;
use std::time::Duration;

use sesamewind_protocol::{InstanceId, Time, ZoneId, text_hash};

use crate::gateway::Identity;
use crate::targets::ListedTarget;

/// Time without an update after which a peer's share is divided among the others, and time for which
/// a share is left to an announced peer that has not reported yet.
const SHARE_RETENTION: Duration = Duration::from_secs(60);

/// Time without an update after which a peer may be cut off. It exceeds the interval between exchanges
/// in deployments with hundreds of instances.
const SILENCE_TIME: Duration = Duration::from_secs(5);

/// Time for which a peer that has fallen silent may be cut off, rather than gone.
const CUT_TIME: Duration = Duration::from_secs(600);

/// Time in which an instance that is not cut off hears of some peer. It is the shortest time in which a
/// target starts again.
const CONTACT_TIME: Duration = Duration::from_millis(500);

/// Time for each peer in which all peers that are not cut off are heard.
const CONTACT_TIME_PER_PEER: Duration = Duration::from_millis(15);

/// Number of peers up to which those without a share are remembered. Announcements of instances that
/// have ended remain in the store.
const MAX_REMEMBERED: usize = 1_024;

/// Time after an instance has first read the announcements in which it may not have heard of all
/// others.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// A peer that has or had a share.
#[derive(Debug, Clone)]
struct Sharer {
    /// Availability zone.
    zone: ZoneId,
    /// Hash of its name.
    hash: u64,
    /// Until when it has a share.
    until: Time,
    /// When its last update was received; none if it has stopped or has not reported.
    heard: Option<Time>,
}

/// The other instances with a share.
#[derive(Debug, Clone, Default)]
pub(crate) struct Sharers {
    peers: HashMap<InstanceId, Sharer>,
    /// Number of peers with a share at the last [`Sharers::update`].
    count: usize,
    /// When this instance started.
    start: Option<Time>,
    /// When it first read the announcements of the others.
    read: Option<Time>,
    settled: bool,
    changed: bool,
}

impl Sharers {
    /// Records that this instance runs.
    pub(crate) fn record_start(&mut self, now: Time) {
        self.start.get_or_insert(now);
    }

    /// Returns the time since this instance started.
    pub(crate) fn run_time(&self, now: Time) -> Duration {
        self.start.map_or(Duration::ZERO, |start| now.since(start))
    }

    /// Adds announced peers, which may have a share already. There may be none.
    pub(crate) fn expect<'a>(
        &mut self,
        peers: impl Iterator<Item = (&'a InstanceId, &'a ZoneId)>,
        now: Time,
    ) {
        self.read.get_or_insert(now);
        for (name, zone) in peers {
            if !self.peers.contains_key(name) && self.peers.len() < MAX_REMEMBERED {
                self.changed = true;
                let hash = text_hash(name.as_str());
                let until = now + SHARE_RETENTION;
                let zone = zone.clone();
                let sharer = Sharer { zone, hash, until, heard: None };
                self.peers.insert(name.clone(), sharer);
            }
        }
    }

    /// Records an update of a peer.
    pub(crate) fn record_update(&mut self, name: &InstanceId, zone: &ZoneId, now: Time) {
        let until = now + SHARE_RETENTION;
        match self.peers.get_mut(name) {
            Some(sharer) if sharer.zone == *zone => {
                self.changed |= sharer.until <= now;
                sharer.until = until;
                sharer.heard = Some(now);
            }
            _ => {
                self.changed = true;
                let hash = text_hash(name.as_str());
                let sharer = Sharer { zone: zone.clone(), hash, until, heard: Some(now) };
                self.peers.insert(name.clone(), sharer);
            }
        }
    }

    /// Records that a peer sends no more requests to targets.
    pub(crate) fn record_stop(&mut self, name: &InstanceId, now: Time) {
        if let Some(sharer) = self.peers.get_mut(name) {
            self.changed |= sharer.until > now;
            sharer.until = now;
            sharer.heard = None;
        }
    }

    /// Returns whether a peer may be cut off from this instance.
    pub(crate) fn has_silent(&self, now: Time) -> bool {
        let heard = self.peers.values().filter_map(|sharer| sharer.heard);
        let mut silent = heard.map(|heard| now.since(heard));
        silent.any(|silence| (SILENCE_TIME..CUT_TIME).contains(&silence))
    }

    /// Returns whether this instance may be cut off from the others: it has heard of none of them
    /// recently, or at most half of the instances are left with it.
    pub(crate) fn is_apart(&self, now: Time) -> bool {
        let sharing = self.peers.values().filter(|sharer| sharer.until > now);
        let silences: Vec<_> =
            sharing.filter_map(|sharer| sharer.heard).map(|heard| now.since(heard)).collect();
        let peers = silences.len();
        let limit = CONTACT_TIME.max(CONTACT_TIME_PER_PEER * peers as u32);
        let heard = silences.iter().filter(|silence| **silence < limit).count();
        let is_alone = silences.iter().all(|silence| *silence >= CONTACT_TIME);
        peers > 0 && (is_alone || (heard + 1) * 2 <= peers + 1)
    }

    /// Leaves out a stall of this instance, which has ended now, from the silence of its peers.
    pub(crate) fn postpone(&mut self, stall: Duration, now: Time) {
        for sharer in self.peers.values_mut().filter(|sharer| sharer.until > now - stall) {
            sharer.until = (sharer.until + stall).min(now + SHARE_RETENTION);
            sharer.heard = sharer.heard.map(|heard| (heard + stall).min(now));
        }
    }

    /// Returns whether shares have changed since the last call.
    pub(crate) fn update(&mut self, now: Time) -> bool {
        let count = self.peers.values().filter(|sharer| sharer.until > now).count();
        let settled = self.read.is_some_and(|read| now.since(read) >= SETTLE_TIME);
        let changed =
            std::mem::take(&mut self.changed) | (count != self.count) | (settled != self.settled);
        (self.count, self.settled) = (count, settled);
        if changed && self.peers.len() > MAX_REMEMBERED {
            self.peers.retain(|_, sharer| sharer.until + SHARE_RETENTION > now);
        }
        changed
    }

    /// Returns whether this instance has known for long enough who the others are.
    pub(crate) fn is_settled(&self) -> bool {
        self.settled
    }

    /// Returns the number of instances with a share, including this one.
    pub(crate) fn instances(&self) -> usize {
        self.count + 1
    }

    /// Returns this instance's share of what all of them together may use within `window`. Instances that
    /// have stopped within it keep their shares, which they may have used. This one has none before it has
    /// read who the others are and, if it `joined` a running deployment, in its first window, since its
    /// predecessor may have used it.
    pub(crate) fn share_within(&self, window: Duration, joined: bool, now: Time) -> f64 {
        let Some(read) = self.read else { return 0.0 };
        if joined && (self.run_time(now) <= window || now.since(read) <= SETTLE_TIME) {
            return 0.0;
        }
        let had_share = |sharer: &&Sharer| sharer.until + window > now;
        let peers = self.peers.values().filter(had_share).count();
        1.0 / (peers + 1) as f64
    }

    /// Returns the position of the instance `me` among those that share what a target takes, in an
    /// order that all of them know.
    pub(crate) fn position_at(&self, target: &ListedTarget, me: &Identity, now: Time) -> usize {
        let salt = text_hash(target.id.as_str());
        self.position((&me.instance, &me.zone), &target.zone, salt, now)
    }

    /// Returns the position of the instance `me` in an order of the instances that all of them
    /// know: those in `zone` come first, and otherwise the order depends on `salt`.
    fn position(&self, me: (&InstanceId, &ZoneId), zone: &ZoneId, salt: u64, now: Time) -> usize {
        let own = (me.1 != zone, text_hash(me.0.as_str()) ^ salt);
        let peers = self.peers.values().filter(|sharer| sharer.until > now);
        let keys = peers.map(|sharer| (sharer.zone != *zone, sharer.hash ^ salt));
        keys.filter(|key| *key < own).count()
    }
}
