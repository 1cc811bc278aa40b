//! Messages between instances: what a node tells, and what it takes from one that came in.

use sesamewind_membership::Kind;
use sesamewind_policy as policy;
use sesamewind_protocol::message::{Exchange, Sender};
use sesamewind_protocol::{Time, Wall};
use sesamewind_rollout::Peer;

use crate::event::Action;
use crate::loads::LoadedView;
use crate::node::Node;

impl Node {
    /// The message for a peer, or the answer to a peer's message.
    pub fn message(&mut self, kind: Kind, now: Time, wall: Wall) -> Exchange {
        let mut message = Exchange::new(self.members.next_sender(), wall);
        message.config = self.config.in_force().clone();
        message.members = self.members.notes();
        message.leaving = self.members.leaving().notes();
        message.targets = self.scheduler.target_use();
        message.accounts = self.scheduler.account_use(now);
        message.floors = self.scheduler.floors(now);
        message.floor_acks = self.scheduler.floor_acks();
        message.evidence = self.rollouts.evidence();
        message.verdicts = self.rollouts.verdicts();
        let peers = self.reachable_lives(now);
        let loaded = LoadedView { loads: &self.loads, peers: &peers, requests: &self.requests };
        message.records = self.rollouts.records(&loaded);
        let _ = kind;
        message
    }

    /// The answer to a peer's message that was taken.
    pub fn answer(&mut self, message: &Exchange, now: Time, wall: Wall) -> Exchange {
        let kind = self.members.kind_for(&message.from.zone);
        self.message(kind, now, wall)
    }

    /// Takes what a peer says, in a message of its own or in an answer.
    pub(crate) fn take_news(
        &mut self,
        message: &Exchange,
        now: Time,
        wall: Wall,
        actions: &mut Vec<Action>,
    ) {
        self.informed = true;
        self.revisions.insert(message.from.instance.clone(), message.config.revision);
        self.offer_config(message, actions);
        self.rollouts.learn_verdicts(&message.verdicts);
        let Sender { instance, incarnation, .. } = &message.from;
        let peer = Peer { instance: instance.clone(), incarnation: *incarnation };
        self.rollouts.heard(&peer, &message.records);
        self.rollouts.merge(&message.evidence);
        self.spread_leaving(now, wall, actions);
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
