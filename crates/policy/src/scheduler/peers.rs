//! News of peers, and what peers are told.

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
        self.join.informed();
        self.pursue_join(cx);
    }

    pub(super) fn peer_news(&mut self, news: &PeerUpdate<'_>, cx: Context<'_>) {
        if *news.from == self.me.instance {
            return;
        }
        let uses: HashMap<&TargetId, &TargetUsage> =
            news.targets.iter().map(|usage| (&usage.target, usage)).collect();
        for target in &mut self.targets {
            target.peer_use(news.from, uses.get(&target.id).copied(), cx.now);
        }
        self.accounts.peer_news(news.from, news.accounts, cx.now);
        self.floors.peer_news(news.from, news.sent, news.floors, news.floor_acks, cx.now);
        self.settle_floors(cx);
    }

    /// Looks whether floors of peers are kept to; tells them at once when they are.
    pub(super) fn settle_floors(&mut self, cx: Context<'_>) {
        let (services, index) = (&self.services, &self.service_index);
        let lowest = |id: &sesamewind_protocol::ServiceId| {
            index.get(id).and_then(|at| services[*at].lowest_running())
        };
        if self.floors.settle(cx.now, lowest) {
            self.out.push(Action::FloorChanged);
        }
    }

    /// This instance's work in flight per target, for peers.
    pub fn target_usage(&self) -> Vec<TargetUsage> {
        let busy = self.targets.iter().filter(|target| target.own.requests > 0.0);
        busy.map(|target| TargetUsage {
            target: target.id.clone(),
            requests: target.own.requests as u32,
            prefill: target.own.prefill as u64,
            tokens: target.own.tokens as u64,
            prefill_speed: target.speed.prefill_news(),
        })
        .collect()
    }

    /// What accounts ask of this instance, for peers; active accounts only.
    pub fn account_usage(&self, now: Time) -> Vec<AccountUsage> {
        self.accounts.digest(now)
    }

    /// Tier floors in force that this instance raised.
    pub fn floors(&self, now: Time) -> Vec<FloorRaise> {
        let wall = self.last_wall + now.since(self.last);
        self.floors.digest(now, wall)
    }

    /// Floors of peers under which this instance runs nothing lower.
    pub fn floor_acks(&self) -> Vec<FloorAck> {
        self.floors.acks()
    }
}
