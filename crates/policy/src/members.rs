//! Peers that may hold a request or may have taken its first attempt.
//!
//! A peer that disappears from membership still counts for as long as records are kept. It may be
//! frozen or partitioned, and no other instance knows what it dispatched. Only a peer that handed
//! over its records before it left need not be asked.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewind_protocol::record::InstanceIncarnation;
use sesamewind_protocol::{Incarnation, InstanceId, Time};

#[derive(Debug)]
struct Member {
    listed: bool,
    reachable: bool,
    /// When it was last listed or sent a message.
    last_seen: Time,
    handed_over: bool,
}

/// Incarnations of other instances that a lookup may have to reach.
#[derive(Debug)]
pub(crate) struct Members {
    me: InstanceIncarnation,
    retention: Duration,
    incarnations: BTreeMap<InstanceIncarnation, Member>,
}

impl Members {
    pub(crate) fn new(me: InstanceIncarnation, retention: Duration) -> Self {
        Self { me, retention, incarnations: BTreeMap::new() }
    }

    pub(crate) fn set_retention(&mut self, retention: Duration) {
        self.retention = retention;
    }

    /// Applies membership's view.
    pub(crate) fn set(
        &mut self,
        peers: &[InstanceIncarnation],
        reachable: &[InstanceId],
        now: Time,
    ) {
        for member in self.incarnations.values_mut() {
            member.listed = false;
            member.reachable = false;
        }
        for peer in peers {
            if *peer == self.me {
                continue;
            }
            self.remove_placeholder(peer);
            let member = self.entry(peer, now);
            member.listed = true;
            member.reachable = reachable.contains(&peer.instance);
        }
        let retention = self.retention;
        self.incarnations
            .retain(|_, member| member.listed || now.since(member.last_seen) < retention);
    }

    /// Records a message from `peer`.
    pub(crate) fn mark_seen(&mut self, peer: &InstanceIncarnation, now: Time) {
        if *peer != self.me {
            self.remove_placeholder(peer);
            self.entry(peer, now);
        }
    }

    /// Records that `peer` handed its records to this instance and takes no more requests.
    pub(crate) fn handed_over(&mut self, peer: &InstanceIncarnation, now: Time) {
        if *peer != self.me {
            self.entry(peer, now).handed_over = true;
        }
    }

    /// Returns whether `peer` handed its records to this instance.
    pub(crate) fn has_records_of(&self, peer: &InstanceIncarnation) -> bool {
        self.incarnations.get(peer).is_some_and(|member| member.handed_over)
    }

    /// Returns the incarnations whose reply a lookup needs.
    pub(crate) fn must_ask(&self, now: Time) -> impl Iterator<Item = &InstanceIncarnation> {
        let retention = self.retention;
        self.incarnations
            .iter()
            .filter(move |(_, member)| {
                !member.handed_over && (member.listed || now.since(member.last_seen) < retention)
            })
            .map(|(peer, _)| peer)
    }

    /// Returns the incarnations listed by membership.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &InstanceIncarnation> {
        self.incarnations.iter().filter(|(_, member)| member.listed).map(|(peer, _)| peer)
    }

    /// Returns the incarnations that can be reached.
    pub(crate) fn reachable(&self) -> impl Iterator<Item = &InstanceIncarnation> {
        self.incarnations.iter().filter(|(_, member)| member.reachable).map(|(peer, _)| peer)
    }

    /// Removes the placeholder of an instance once one of its incarnations is known.
    fn remove_placeholder(&mut self, peer: &InstanceIncarnation) {
        if peer.incarnation != Incarnation::default() {
            self.incarnations.remove(&placeholder(peer));
        }
    }

    fn entry(&mut self, peer: &InstanceIncarnation, now: Time) -> &mut Member {
        let member = self.incarnations.entry(peer.clone()).or_insert(Member {
            listed: false,
            reachable: false,
            last_seen: now,
            handed_over: false,
        });
        member.last_seen = now;
        member
    }
}

/// Returns the incarnation under which membership lists an instance before its first message. It
/// stands for whichever incarnation replies first, so a lookup must not wait for both. Earlier
/// incarnations are named by the peers that know them.
fn placeholder(peer: &InstanceIncarnation) -> InstanceIncarnation {
    InstanceIncarnation { instance: peer.instance.clone(), incarnation: Incarnation::default() }
}
