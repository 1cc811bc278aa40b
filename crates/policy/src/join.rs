//! Joining: when an instance may take first attempts without asking its peers.
//!
//! A new incarnation, or one that was frozen, may have missed promises that its peers made while
//! they did not count it as a member. It copies their records first. From then on a peer names the
//! new instance in every answer. So a lookup that the peer answered earlier is in the copy, and a
//! later one reaches the new instance.

use std::collections::BTreeMap;

use sesamewind_protocol::record::{InstanceIncarnation, RecordsCopy, RecordsRequest};
use sesamewind_protocol::{InstanceId, Time};

use crate::members::Members;

const REPEAT_INTERVAL: std::time::Duration = std::time::Duration::from_millis(300);

/// Progress of joining.
#[derive(Debug)]
pub(crate) struct Join {
    me: InstanceIncarnation,
    joined: bool,
    seq: u64,
    /// Peers whose copy has arrived, and whether they had joined themselves.
    copies: BTreeMap<InstanceIncarnation, bool>,
    asked_at: Option<Time>,
    /// Whether membership has reported the peers yet.
    members_known: bool,
}

impl Join {
    pub(crate) fn new(me: InstanceIncarnation) -> Self {
        Self {
            me,
            joined: false,
            seq: 1,
            copies: BTreeMap::new(),
            asked_at: None,
            members_known: false,
        }
    }

    pub(crate) fn has_joined(&self) -> bool {
        self.joined
    }

    /// Starts again after a pause in which peers may have continued without this instance.
    pub(crate) fn restart(&mut self) {
        self.joined = false;
        self.seq += 1;
        self.copies.clear();
        self.asked_at = None;
    }

    /// Records that membership has reported the peers.
    pub(crate) fn set_members_known(&mut self) {
        self.members_known = true;
    }

    /// Returns the request for records to send now and its receivers, if one is due.
    pub(crate) fn due(
        &mut self,
        members: &Members,
        now: Time,
    ) -> Option<(RecordsRequest, Vec<InstanceId>)> {
        if self.joined || !self.members_known {
            return None;
        }
        self.update(members);
        if self.joined
            || self.asked_at.is_some_and(|asked_at| now.since(asked_at) < REPEAT_INTERVAL)
        {
            return None;
        }
        self.asked_at = Some(now);
        let missing = members.listed().filter(|peer| !self.copies.contains_key(*peer));
        let peers: Vec<InstanceId> = missing.map(|peer| peer.instance.clone()).collect();
        Some((RecordsRequest { asker: self.me.clone(), seq: self.seq }, peers))
    }

    /// Records the arrival of a peer's copy.
    pub(crate) fn apply_copy(&mut self, copy: &RecordsCopy, members: &Members) {
        if copy.seq != Some(self.seq) || self.joined {
            return;
        }
        self.copies.insert(copy.from.clone(), copy.joined);
        self.update(members);
    }

    /// Copies from all listed peers suffice. Copies from all reachable peers suffice too if one of
    /// those peers had joined, since any lookup cleared without this instance has an answer from
    /// that peer.
    fn update(&mut self, members: &Members) {
        let has_copy = |peer: &InstanceIncarnation| self.copies.contains_key(peer);
        let all_listed = members.listed().all(has_copy);
        let all_reachable = members.reachable().all(has_copy);
        let any_joined = self.copies.values().any(|joined| *joined);
        self.joined = self.members_known && (all_listed || all_reachable && any_joined);
    }
}
