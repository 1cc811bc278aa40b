//! A few instances whose messages arrive at once, unless the sender or receiver is partitioned.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use sesamewind_policy::{Action, Arrival, Event, InstanceIncarnation, PeerUpdate, Scheduler};
use sesamewind_protocol::record::{Lookup, LookupReply, RecordsCopy, RecordsRequest};
use sesamewind_protocol::{InstanceId, Time};

use super::{config, instance, scheduler, step, tick, wall};

#[derive(Debug)]
enum Message {
    Lookup(Lookup),
    Reply(LookupReply),
    Ask(RecordsRequest),
    Copy(RecordsCopy),
}

pub struct Bus {
    pub now: Time,
    pub nodes: BTreeMap<String, Scheduler>,
    /// Instances that neither receive nor send messages.
    pub partitioned: BTreeSet<String>,
    instances: BTreeMap<String, InstanceIncarnation>,
    messages: VecDeque<(String, InstanceId, Message)>,
    /// All actions returned by the schedulers, with the names of their instances.
    pub actions: Vec<(String, Action)>,
}

impl Bus {
    /// Starts instances `a`, `b`, ... that know each other and have joined.
    pub fn new(config: &sesamewind_policy::Config, names: &[&str]) -> Self {
        let mut bus = Self {
            now: super::at(1),
            nodes: BTreeMap::new(),
            partitioned: BTreeSet::new(),
            instances: BTreeMap::new(),
            messages: VecDeque::new(),
            actions: Vec::new(),
        };
        for name in names {
            bus.add(config, name, 1);
        }
        bus.inform(names, names);
        bus.advance(400);
        bus.actions.clear();
        bus
    }

    /// Starts an instance without known peers.
    pub fn add(&mut self, config: &sesamewind_policy::Config, name: &str, incarnation: u64) {
        let instance = instance(name, incarnation);
        self.nodes.insert(name.to_owned(), scheduler(config, instance.clone()));
        self.instances.insert(name.to_owned(), instance);
    }

    /// Reports to the instances in `to` that membership lists `listed`.
    pub fn inform(&mut self, to: &[&str], listed: &[&str]) {
        let peers: Vec<InstanceIncarnation> =
            listed.iter().map(|name| self.instances[*name].clone()).collect();
        let reachable: Vec<InstanceId> = listed
            .iter()
            .filter(|name| !self.partitioned.contains(**name))
            .map(|name| InstanceId::from(*name))
            .collect();
        for name in to {
            self.event(name, Event::PeerSet { peers: &peers, reachable: &reachable });
        }
        self.deliver_all();
    }

    pub fn event(&mut self, name: &str, event: Event<'_>) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        let actions = step(node, event, self.now);
        self.apply(name, actions);
    }

    fn apply(&mut self, from: &str, actions: Vec<Action>) {
        for action in actions {
            let mut send = |to: &InstanceId, message| {
                self.messages.push_back((from.to_owned(), to.clone(), message));
            };
            match &action {
                Action::AskPeers { lookup, peers, .. } => {
                    peers.iter().for_each(|to| send(to, Message::Lookup(lookup.clone())));
                }
                Action::Reply { to, reply } => send(to, Message::Reply(reply.clone())),
                Action::AskRecords { request, peers } => {
                    peers.iter().for_each(|to| send(to, Message::Ask(request.clone())));
                }
                Action::SendRecords { to, copy } => send(to, Message::Copy(copy.clone())),
                _ => {}
            }
            self.actions.push((from.to_owned(), action));
        }
    }

    /// Delivers all messages.
    pub fn deliver_all(&mut self) {
        while let Some((from, to, message)) = self.messages.pop_front() {
            let to = to.as_str().to_owned();
            if self.partitioned.contains(&from) || self.partitioned.contains(&to) {
                continue;
            }
            match &message {
                Message::Lookup(lookup) => self.event(&to, Event::Lookup(lookup)),
                Message::Reply(reply) => self.event(&to, Event::LookupReply(reply)),
                Message::Ask(request) => self.event(&to, Event::RecordsRequest(request)),
                Message::Copy(copy) => self.event(&to, Event::RecordsCopy(copy)),
            }
        }
    }

    /// Sends a request to an instance, without delivering messages between instances.
    pub fn call(&mut self, name: &str, arrival: Arrival) {
        self.event(name, Event::Arrive(arrival));
    }

    /// Advances time in steps of 10 ms for all instances that are not partitioned.
    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(10) {
            self.now = self.now + std::time::Duration::from_millis(10);
            let names: Vec<String> = self.nodes.keys().cloned().collect();
            for name in names
                .iter()
                .filter(|name| !self.partitioned.contains(*name))
                .cloned()
                .collect::<Vec<_>>()
            {
                let actions = tick(self.nodes.get_mut(&name).expect("a node"), self.now);
                self.apply(&name, actions);
            }
            self.deliver_all();
        }
    }

    /// Exchanges traffic updates among the instances that are not partitioned.
    pub fn exchange(&mut self) {
        let names: Vec<String> =
            self.nodes.keys().filter(|name| !self.partitioned.contains(*name)).cloned().collect();
        for from in &names {
            let node = &self.nodes[from];
            let (targets, accounts) = (node.target_usage(), node.account_usage(self.now));
            let (floors, floor_acks) = (node.floors(self.now), node.floor_acks());
            let sender = InstanceId::from(from.as_str());
            for to in names.iter().filter(|to| *to != from) {
                let update = PeerUpdate {
                    from: &sender,
                    sent: wall(self.now),
                    targets: &targets,
                    accounts: &accounts,
                    floors: &floors,
                    floor_acks: &floor_acks,
                };
                self.event(to, Event::Peer(update));
            }
        }
        self.deliver_all();
    }

    /// Passes the write check of a dispatch and has the target accept it.
    pub fn write(&mut self, name: &str, ticket: u64) {
        self.event(name, Event::WriteCheck { ticket });
        self.event(name, Event::Accepted { ticket });
    }

    /// Returns the names of the instances that dispatched.
    pub fn dispatchers(&self) -> Vec<&str> {
        let dispatches =
            |(_, action): &&(String, Action)| matches!(action, Action::Dispatch { .. });
        self.actions.iter().filter(dispatches).map(|(name, _)| name.as_str()).collect()
    }

    /// Returns the final answers of an instance.
    pub fn refusals(&self, name: &str) -> Vec<sesamewind_policy::Refusal> {
        let of: Vec<Action> =
            self.actions.iter().filter(|(from, _)| from == name).map(|(_, a)| a.clone()).collect();
        super::refusals(&of)
    }
}

/// Starts three instances that know each other and have joined.
pub fn three_instances() -> Bus {
    Bus::new(&config(2), &["a", "b", "c"])
}
