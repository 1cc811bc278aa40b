//! Builds the messages for other instances and processes the received ones.

use sesamewind_membership::ExchangeKind;
use sesamewind_policy as policy;
use sesamewind_protocol::message::{Exchange, Sender};
use sesamewind_protocol::record::InstanceIncarnation;
use sesamewind_protocol::{InstanceId, Time, WallTime};

use crate::event::Action;
use crate::loads::ClusterView;
use crate::node::Node;

impl Node {
    /// Builds the message for `receiver`, which may be the answer to its message.
    pub fn message(
        &mut self,
        receiver: &InstanceId,
        kind: ExchangeKind,
        now: Time,
        wall: WallTime,
    ) -> Exchange {
        let mut message = Exchange::new(self.members.next_sender(), wall);
        message.config = self.config.in_force().clone();
        message.members = self.members.entries();
        message.leaving = self.members.leaving().entries();
        message.targets = self.scheduler.target_usage();
        message.accounts = self.scheduler.account_usage(now);
        message.floors = self.scheduler.floors(now);
        message.floor_acks = self.scheduler.floor_acks();
        message.evidence = self.rollouts.evidence();
        message.evidence.retain(|cell| self.members.is_relayed(&cell.instance, receiver));
        message.verdicts = self.rollouts.verdicts();
        let peers = self.reachable_incarnations(now);
        let cluster = ClusterView { loads: &self.loads, peers: &peers, requests: &self.requests };
        message.records = self.rollouts.records(&cluster);
        self.deltas.outgoing(receiver, kind, message)
    }

    /// Builds the answer to a peer's message, which must already have been processed.
    pub fn answer(&mut self, message: &Exchange, now: Time, wall: WallTime) -> Exchange {
        let kind = self.members.kind_for(&message.from.zone);
        self.message(&message.from.instance, kind, now, wall)
    }

    /// Processes a peer's message, or its answer to this instance's message.
    pub(crate) fn receive(
        &mut self,
        message: &Exchange,
        is_answer: bool,
        now: Time,
        wall: WallTime,
        actions: &mut Vec<Action>,
    ) {
        let message = self.deltas.incoming(message.clone());
        let is_new = if is_answer {
            self.members.on_reply(&message, now)
        } else {
            self.members.on_exchange(&message, now)
        };
        if is_new {
            self.members.mark_urgent();
        }
        self.apply_message(&message, now, wall, actions);
    }

    fn apply_message(
        &mut self,
        message: &Exchange,
        now: Time,
        wall: WallTime,
        actions: &mut Vec<Action>,
    ) {
        self.has_member_list = true;
        self.revisions.insert(message.from.instance.clone(), message.config.revision);
        self.offer_config(message, actions);
        self.rollouts.learn_verdicts(&message.verdicts);
        let Sender { instance, incarnation, .. } = &message.from;
        let peer = InstanceIncarnation { instance: instance.clone(), incarnation: *incarnation };
        self.rollouts.on_peer_records(&peer, &message.records);
        self.rollouts.merge(&message.evidence);
        self.announce_leaving(now, wall, actions);
        self.schedule(policy::Event::Peer(message.into()), now, wall, actions);
    }

    fn offer_config(&mut self, message: &Exchange, actions: &mut Vec<Action>) {
        let source = sesamewind_membership::Source::Peer(message.from.instance.clone());
        let digest = &message.config;
        if let Some(fetch) = self.config.offer(digest.revision, &digest.hash, source) {
            actions.push(Action::Fetch(fetch));
        }
    }
}
