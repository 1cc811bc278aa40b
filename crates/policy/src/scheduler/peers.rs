//! Updates from peers, and the sections of this instance's own updates.

use std::collections::HashMap;

use sesamewind_protocol::record::InstanceIncarnation;
use sesamewind_protocol::traffic::{AccountUsage, FloorAck, FloorRaise, TargetUsage};
use sesamewind_protocol::{InstanceId, TargetId, Time};

use crate::action::Action;
use crate::event::PeerUpdate;

use super::{Context, Scheduler};

impl Scheduler {
    pub(super) fn peer_set(
        &mut self,
        peers: &[InstanceIncarnation],
        reachable: &[InstanceId],
        cx: Context<'_>,
    ) {
        self.records.members.set(peers, reachable, cx.now);
        self.floors.set_reachable(reachable);
        let others = reachable.iter().filter(|peer| **peer != self.me.instance).count();
        self.accounts.set_reachable(others);
        self.join.set_members_known();
        self.continue_join(cx);
    }

    pub(super) fn peer_update(&mut self, update: &PeerUpdate<'_>, cx: Context<'_>) {
        if *update.from == self.me.instance {
            return;
        }
        let usages: HashMap<&TargetId, &TargetUsage> =
            update.targets.iter().map(|usage| (&usage.target, usage)).collect();
        for target in &mut self.targets {
            target.set_peer_usage(update.from, usages.get(&target.id).copied(), cx.now);
        }
        self.accounts.update_peer(update.from, update.accounts, cx.now);
        self.floors.update_peer(update.from, update.sent, update.floors, update.floor_acks, cx.now);
        self.update_floor_acks(cx);
    }

    /// Acknowledges floors of peers that this instance complies with, and reports new
    /// acknowledgements at once.
    pub(super) fn update_floor_acks(&mut self, cx: Context<'_>) {
        let (services, index) = (&self.services, &self.service_index);
        let lowest = |id: &sesamewind_protocol::ServiceId| {
            index.get(id).and_then(|at| services[*at].lowest_running())
        };
        if self.floors.update_acks(cx.now, lowest) {
            self.out.push(Action::FloorChanged);
        }
    }

    /// Returns this instance's work in flight per target, for its peers.
    pub fn target_usage(&self) -> Vec<TargetUsage> {
        let busy = self.targets.iter().filter(|target| target.own.requests > 0.0);
        busy.map(|target| TargetUsage {
            target: target.id.clone(),
            requests: target.own.requests as u32,
            prefill: target.own.prefill as u64,
            tokens: target.own.tokens as u64,
            prefill_speed: target.speed.reported_prefill(),
        })
        .collect()
    }

    /// Returns the demand of each active account at this instance, for its peers.
    pub fn account_usage(&self, now: Time) -> Vec<AccountUsage> {
        self.accounts.usage_report(now)
    }

    /// Returns the tier floors in force that this instance raised.
    pub fn floors(&self, now: Time) -> Vec<FloorRaise> {
        let wall = self.last_wall + now.since(self.last);
        self.floors.raises(now, wall)
    }

    /// Returns the floors of peers under which this instance runs nothing lower.
    pub fn floor_acks(&self) -> Vec<FloorAck> {
        self.floors.acks()
    }
}
