//! Each request is dispatched at most once over all instances, under random orders of attempts,
//! losses, freezes, kills, replacements and planned stops.

mod support;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamewind_policy::{Action, AttemptOutcome, Event, InstanceIncarnation, Scheduler};
use sesamewind_protocol::record::{Lookup, LookupReply, RecordsCopy, RecordsRequest};
use sesamewind_protocol::{InstanceId, RunState, Time};
use sesamewind_seeded::Cases;

use support::{arrival, at, config, instance, refusals, scheduler, step, tick};

const NAMES: [&str; 4] = ["i0", "i1", "i2", "i3"];
const KEYS: u64 = 3;

#[derive(Debug, Clone)]
enum Message {
    Lookup(Lookup),
    Reply(LookupReply),
    Ask(RecordsRequest),
    Copy(RecordsCopy),
}

/// A dispatch in transit from a daemon to a target.
#[derive(Debug)]
struct Transfer {
    ticket: u64,
    key: u64,
    attempt: u32,
    written: bool,
    arrived: bool,
}

struct Node {
    id: InstanceIncarnation,
    scheduler: Scheduler,
    frozen: bool,
    transfers: Vec<Transfer>,
    /// Key and attempt number of callers' attempts, by ticket.
    tickets: BTreeMap<u64, (u64, u32)>,
    /// Attempts that reached the socket and were not read yet.
    inbox: VecDeque<(u64, u32)>,
}

struct World {
    now: Time,
    nodes: Vec<Node>,
    messages: Vec<(InstanceId, Message)>,
    /// Attempts in transit from callers: instance, key, attempt.
    calls: Vec<(usize, u64, u32)>,
    /// Last attempt sent by each caller.
    sent: [Option<u32>; KEYS as usize],
    /// Incarnations listed by membership, including killed ones that it has not noticed yet.
    listed: Vec<InstanceIncarnation>,
    ran: BTreeMap<u64, u32>,
    /// Highest attempt answered "not run", by key.
    denied: BTreeMap<u64, u32>,
    incarnations: u64,
    tickets: u64,
    dispatches: u64,
    /// Whether callers number their attempts.
    counted: bool,
}

impl World {
    fn new(counted: bool) -> Self {
        let mut world = Self {
            now: at(1),
            nodes: Vec::new(),
            messages: Vec::new(),
            calls: Vec::new(),
            sent: [None; KEYS as usize],
            listed: Vec::new(),
            ran: BTreeMap::new(),
            denied: BTreeMap::new(),
            incarnations: 0,
            tickets: 0,
            dispatches: 0,
            counted,
        };
        for name in &NAMES[..3] {
            world.start(name);
        }
        for at in 0..3 {
            world.inform(at);
        }
        world
    }

    fn start(&mut self, name: &str) {
        self.incarnations += 1;
        let id = instance(name, self.incarnations);
        let scheduler = scheduler(&config(1), id.clone());
        self.listed.push(id.clone());
        self.nodes.push(Node {
            id,
            scheduler,
            frozen: false,
            transfers: Vec::new(),
            tickets: BTreeMap::new(),
            inbox: VecDeque::new(),
        });
        // An instance reads the list before anything else when it starts.
        self.inform(self.nodes.len() - 1);
    }

    fn inform(&mut self, node: usize) {
        let peers = self.listed.clone();
        let reachable: Vec<InstanceId> = self.nodes.iter().map(|n| n.id.instance.clone()).collect();
        self.event(node, Event::PeerSet { peers: &peers, reachable: &reachable });
    }

    fn event(&mut self, node: usize, event: Event<'_>) {
        let actions = step(&mut self.nodes[node].scheduler, event, self.now);
        self.apply(node, actions);
    }

    fn apply(&mut self, node: usize, actions: Vec<Action>) {
        for refusal in refusals(&actions) {
            if refusal.run() != RunState::NotRun {
                continue;
            }
            let Some((key, attempt)) = self.nodes[node].tickets.get(&refusal.ticket()).copied()
            else {
                continue;
            };
            assert!(!self.ran.contains_key(&key), "false not-run: {refusal:?}");
            let denied = self.denied.entry(key).or_default();
            *denied = (*denied).max(attempt);
        }

        for action in actions {
            match action {
                Action::Dispatch { ticket, .. } => {
                    let (key, attempt) = self.nodes[node].tickets[&ticket];
                    let transfer =
                        Transfer { ticket, key, attempt, written: false, arrived: false };
                    self.nodes[node].transfers.push(transfer);
                }
                Action::Go { ticket } => {
                    let transfers = &mut self.nodes[node].transfers;
                    let transfer = transfers
                        .iter_mut()
                        .find(|transfer| transfer.ticket == ticket && !transfer.written);
                    transfer.expect("a dispatch is checked once").written = true;
                }
                Action::NoGo { ticket, .. } => {
                    self.nodes[node]
                        .transfers
                        .retain(|transfer| transfer.ticket != ticket || transfer.written);
                }
                Action::AskPeers { lookup, peers, .. } => {
                    self.messages
                        .extend(peers.into_iter().map(|to| (to, Message::Lookup(lookup.clone()))));
                }
                Action::Reply { to, reply } => self.messages.push((to, Message::Reply(reply))),
                Action::AskRecords { request, peers } => {
                    self.messages
                        .extend(peers.into_iter().map(|to| (to, Message::Ask(request.clone()))));
                }
                Action::SendRecords { to, copy } => self.messages.push((to, Message::Copy(copy))),
                Action::Attach { .. } | Action::AttachLocal { .. } => {}
                _ => {}
            }
        }
    }

    /// Sends a caller's first or next attempt.
    fn call(&mut self, node: usize, key: u64) {
        let attempt = self.sent[key as usize].map_or(0, |last| last + 1);
        self.sent[key as usize] = Some(attempt);
        self.calls.push((node, key, attempt));
    }

    /// Delivers a call to the socket of its instance.
    fn arrive(&mut self, call: usize) {
        let (node, key, attempt) = self.calls.swap_remove(call);
        let Some(node) = self.nodes.get_mut(node) else { return };
        node.inbox.push_back((key, attempt));
    }

    /// Lets an instance read a call from its socket.
    fn read(&mut self, node: usize) {
        if self.nodes[node].frozen {
            return;
        }
        let Some((key, attempt)) = self.nodes[node].inbox.pop_front() else { return };
        self.tickets += 1;
        let mut call = arrival(self.tickets, key, self.now);
        call.attempt = self.counted.then_some(attempt);
        call.deadline = self.now + Duration::from_secs(5);
        self.nodes[node].tickets.insert(self.tickets, (key, attempt));
        self.event(node, Event::Arrive(call));
    }

    fn deliver(&mut self, index: usize) {
        let (to, message) = self.messages.swap_remove(index);
        let Some(node) = self.nodes.iter().position(|node| node.id.instance == to) else {
            return;
        };
        if self.nodes[node].frozen {
            self.messages.push((to, message));
            return;
        }
        match &message {
            Message::Lookup(lookup) => self.event(node, Event::Lookup(lookup)),
            Message::Reply(reply) => self.event(node, Event::LookupReply(reply)),
            Message::Ask(request) => self.event(node, Event::RecordsRequest(request)),
            Message::Copy(copy) => self.event(node, Event::RecordsCopy(copy)),
        }
    }

    /// Advances a dispatch: write check, arrival at the target, end.
    fn advance(&mut self, node: usize, index: usize, choice: u8) {
        if self.nodes[node].frozen {
            // Bytes written before the freeze still arrive.
            let transfer = &mut self.nodes[node].transfers[index];
            if transfer.written && !transfer.arrived {
                transfer.arrived = true;
                let (key, attempt) = (transfer.key, transfer.attempt);
                self.run(key, attempt);
            }
            return;
        }
        let (ticket, key, attempt) = {
            let transfer = &self.nodes[node].transfers[index];
            (transfer.ticket, transfer.key, transfer.attempt)
        };
        if !self.nodes[node].transfers[index].written {
            return self.event(node, Event::WriteCheck { ticket });
        }
        if !self.nodes[node].transfers[index].arrived {
            if choice.is_multiple_of(4) {
                self.nodes[node].transfers.remove(index);
                return self
                    .event(node, Event::Finished { ticket, end: AttemptOutcome::ConnectFailed });
            }
            if choice % 4 == 1 {
                self.nodes[node].transfers.remove(index);
                return self
                    .event(node, Event::Finished { ticket, end: AttemptOutcome::RefusedNotRun });
            }
            self.nodes[node].transfers[index].arrived = true;
            return self.run(key, attempt);
        }
        self.nodes[node].transfers.remove(index);
        let end = [
            AttemptOutcome::Complete,
            AttemptOutcome::Broken { sent: true },
            AttemptOutcome::Failed,
        ][usize::from(choice % 3)];
        self.event(node, Event::Finished { ticket, end });
    }

    fn run(&mut self, key: u64, attempt: u32) {
        self.dispatches += 1;
        assert!(!self.ran.contains_key(&key), "key {key} dispatched twice");
        if self.counted {
            let denied = self.denied.get(&key).copied();
            assert!(denied.is_none_or(|denied| attempt > denied), "ran after 'not run'");
        }
        self.ran.insert(key, attempt);
    }

    fn kill(&mut self, node: usize) -> String {
        let node = self.nodes.remove(node);
        // Bytes written before the kill may still arrive at the target.
        for transfer in
            node.transfers.iter().filter(|transfer| transfer.written && !transfer.arrived)
        {
            self.run(transfer.key, transfer.attempt);
        }
        node.id.instance.to_string()
    }

    /// Stops a node as planned: it refuses new requests, finishes the others and hands over its
    /// records.
    fn stop(&mut self, node: usize) {
        if self.nodes[node].frozen {
            return;
        }
        self.event(node, Event::Stop);
        while !self.nodes[node].inbox.is_empty() {
            self.read(node);
        }
        for _ in 0..4 {
            for index in (0..self.nodes[node].transfers.len()).rev() {
                self.advance(node, index, 2);
            }
        }
        if !self.nodes[node].scheduler.is_idle() {
            return;
        }
        let copy = self.nodes[node].scheduler.hand_over(self.now);
        let gone = self.nodes.remove(node).id;
        for peer in &self.nodes {
            self.messages.push((peer.id.instance.clone(), Message::Copy(copy.clone())));
        }
        self.listed.retain(|id| *id != gone);
    }

    fn act(&mut self, op: u8, a: u8, b: u8) {
        let node = usize::from(a) % self.nodes.len();
        match op % 40 {
            0..=3 => self.call(node, u64::from(b) % KEYS),
            4..=8 if !self.calls.is_empty() => self.arrive(usize::from(b) % self.calls.len()),
            9..=13 => self.read(node),
            14..=24 if !self.messages.is_empty() => {
                let index = (usize::from(a) << 8 | usize::from(b)) % self.messages.len();
                self.deliver(index);
            }
            25 => (0..self.messages.len()).for_each(|_| self.deliver(0)),
            26 if b.is_multiple_of(2) && !self.messages.is_empty() => {
                let index = usize::from(b) % self.messages.len();
                self.messages.swap_remove(index);
            }
            27..=32 if !self.nodes[node].transfers.is_empty() => {
                let index = usize::from(b) % self.nodes[node].transfers.len();
                self.advance(node, index, b);
            }
            33 => self.nodes[node].frozen = b.is_multiple_of(3),
            34 if b.is_multiple_of(6) && self.nodes.len() > 1 => {
                let name = self.kill(node);
                self.start(&name);
            }
            35 if self.nodes.len() < NAMES.len() && b.is_multiple_of(4) => {
                let free = |name: &&&str| {
                    !self.nodes.iter().any(|node| node.id.instance.as_str() == **name)
                };
                let name = NAMES.iter().find(free).copied();
                self.start(name.unwrap_or("i9"));
            }
            35 if self.nodes.len() > 2 && b % 4 == 1 => self.stop(node),
            36 if !self.nodes[node].frozen => self.inform(node),
            37 if b.is_multiple_of(8) => self.now = self.now + Duration::from_millis(2_500),
            38 if b.is_multiple_of(2) => {
                // Membership notices the incarnations that ended.
                let nodes = &self.nodes;
                self.listed.retain(|id| nodes.iter().any(|node| node.id == *id));
            }
            39 => self.tick(),
            _ => {}
        }
    }

    fn tick(&mut self) {
        self.now = self.now + Duration::from_millis(30);
        for node in 0..self.nodes.len() {
            if !self.nodes[node].frozen {
                let actions = tick(&mut self.nodes[node].scheduler, self.now);
                self.apply(node, actions);
            }
        }
    }
}

fn simulate(ops: &[u8], counted: bool) -> World {
    let mut world = World::new(counted);
    for op in ops.chunks_exact(3) {
        world.act(op[0], op[1], op[2]);
    }
    world
}

#[test]
fn random_orders_dispatch_once() {
    let orders = bolero::produce::<Vec<u8>>().with().len(0..900_usize);
    Cases { bytes: 1_000, ..Cases::default() }.check(orders, |_, ops| {
        simulate(&ops, true);
        simulate(&ops, false);
    });
}

#[test]
fn seeded_orders_dispatch_once() {
    let mut dispatches = 0;
    for seed in 0..4_000 {
        let mut ops = vec![0; 1_200];
        ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut ops);
        dispatches += simulate(&ops, true).dispatches;
        dispatches += simulate(&ops, false).dispatches;
    }
    // The test would prove nothing if nothing ran.
    println!("{dispatches} dispatches");
    assert!(dispatches > 4_000, "only {dispatches} dispatches");
}
