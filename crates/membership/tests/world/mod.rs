//! Simulation of several instances that exchange encoded messages within one process.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use sesamewind_membership::{
    ConfigState, Deltas, ExchangeKind, Identity, InstallOutcome, ListedInstance, ListedState,
    ListedTarget, MemberEvent, Members, Source, Timing,
};
use sesamewind_protocol::codec::{decode, encode};
use sesamewind_protocol::message::Exchange;
use sesamewind_protocol::{Incarnation, InstanceId, Time, WallTime, ZoneId};

/// Messages and bytes sent and received by an instance, and processing time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Traffic {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
    pub(crate) busy: Duration,
}

/// A simulated instance.
pub(crate) struct Node {
    pub(crate) members: Members,
    pub(crate) deltas: Deltas,
    pub(crate) config: ConfigState,
    pub(crate) traffic: Traffic,
    pub(crate) events: Vec<MemberEvent>,
    pub(crate) is_up: bool,
    rng: ChaCha8Rng,
    incarnation: u64,
}

/// Fills the sections of a message that other packages provide.
pub(crate) type Fill = Box<dyn Fn(usize, Time, &mut Exchange)>;

/// All instances, the network cuts between them, and the platform's list.
pub(crate) struct World {
    pub(crate) now: Time,
    /// Time between two steps; the list is read every 2 s.
    pub(crate) step: Duration,
    pub(crate) nodes: Vec<Node>,
    /// Pairs of instances of which the first cannot connect to the second.
    pub(crate) cuts: BTreeSet<(usize, usize)>,
    pub(crate) targets: Vec<ListedTarget>,
    pub(crate) listed: Vec<ListedInstance>,
    pub(crate) list_up: bool,
    timing: Timing,
    zones: usize,
    regions: usize,
    pub(crate) fill: Fill,
}

fn identity(index: usize, zones: usize, regions: usize, incarnation: u64) -> Identity {
    let zone = index % zones;
    Identity {
        deployment: "bomba".to_owned(),
        instance: name(index),
        incarnation: Incarnation(incarnation),
        zone: ZoneId::new(format!("zone-{zone}")),
        region: format!("region-{}", zone % regions),
        address: format!("10.0.{}.{}:7000", index / 250, index % 250),
    }
}

/// Name of the instance `index`.
pub(crate) fn name(index: usize) -> InstanceId {
    InstanceId::new(format!("entry-{index:03}"))
}

fn index_of(name: &InstanceId) -> Option<usize> {
    name.as_str().strip_prefix("entry-")?.parse().ok()
}

impl World {
    pub(crate) fn new(count: usize, zones: usize, regions: usize, timing: Timing) -> Self {
        let mut world = Self {
            now: Time::from_millis(1_000),
            step: Duration::from_millis(100),
            nodes: Vec::new(),
            cuts: BTreeSet::new(),
            targets: Vec::new(),
            listed: Vec::new(),
            list_up: true,
            timing,
            zones,
            regions,
            fill: Box::new(|_, _, _| {}),
        };
        for index in 0..count {
            let node = world.node(index, 1);
            world.nodes.push(node);
            let Identity { instance, zone, region, address, .. } =
                identity(index, zones, regions, 1);
            let state = ListedState::Live;
            world.listed.push(ListedInstance { name: instance, zone, region, address, state });
        }
        world
    }

    fn node(&self, index: usize, incarnation: u64) -> Node {
        let me = identity(index, self.zones, self.regions, incarnation);
        Node {
            members: Members::new(me, self.timing),
            deltas: Deltas::new(Incarnation(incarnation)),
            config: ConfigState::new(),
            traffic: Traffic::default(),
            events: Vec::new(),
            is_up: true,
            rng: ChaCha8Rng::seed_from_u64(index as u64 * 1_000 + incarnation),
            incarnation,
        }
    }

    /// Starts a new incarnation on the same address.
    pub(crate) fn restart(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation + 1;
        self.nodes[index] = self.node(index, incarnation);
    }

    /// Cuts the instances of `group` off from the others, in both directions.
    pub(crate) fn cut_off(&mut self, group: &[usize]) {
        for index in 0..self.nodes.len() {
            for inside in group.iter().filter(|_| !group.contains(&index)) {
                self.cuts.insert((index, *inside));
                self.cuts.insert((*inside, index));
            }
        }
    }

    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `is_done` returns true or `limit` has passed; returns the elapsed time.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        is_done: impl Fn(&Self) -> bool,
    ) -> Duration {
        let start = self.now;
        while !is_done(self) && self.now.since(start) < limit {
            self.step();
        }
        self.now.since(start)
    }

    fn step(&mut self) {
        self.now = self.now + self.step;
        for index in 0..self.nodes.len() {
            if self.nodes[index].is_up {
                self.step_node(index);
            }
        }
    }

    fn step_node(&mut self, index: usize) {
        let now = self.now;
        let start = Instant::now();
        let node = &mut self.nodes[index];
        if self.list_up && now.as_micros().is_multiple_of(2_000_000) {
            node.members.on_list(&self.listed, &self.targets, now);
        }
        let events = node.members.tick(now);
        node.events.extend(events);
        let peers = node.members.exchange_peers(now, &mut node.rng);
        node.traffic.busy += start.elapsed();
        for peer in peers {
            self.exchange(index, &peer.instance, peer.kind);
        }
    }

    fn exchange(&mut self, index: usize, to: &InstanceId, kind: ExchangeKind) {
        let now = self.now;
        let Some(other) = index_of(to) else {
            return;
        };
        let request = self.write(index, to, kind);
        if !self.nodes[other].is_up || self.cuts.contains(&(index, other)) {
            self.nodes[index].members.on_failure(to, now);
            return;
        }
        self.read(other, &request, false);
        let zone = self.nodes[index].members.me().zone.clone();
        let kind = self.nodes[other].members.kind_for(&zone);
        let reply = self.write(other, &name(index), kind);
        self.read(index, &reply, true);
    }

    fn write(&mut self, index: usize, to: &InstanceId, kind: ExchangeKind) -> Vec<u8> {
        let node = &mut self.nodes[index];
        let from = node.members.next_sender();
        let mut exchange = Exchange::new(from, WallTime(self.now.as_micros() / 1_000));
        // The usage of targets and accounts comes from other packages; its time is not counted.
        (self.fill)(index, self.now, &mut exchange);
        let start = Instant::now();
        exchange.config = node.config.in_force().clone();
        exchange.members = node.members.entries();
        exchange.leaving = node.members.leaving().entries();
        let exchange = node.deltas.outgoing(to, kind, exchange);
        let bytes = encode(&exchange).unwrap();
        node.traffic.busy += start.elapsed();
        node.traffic.messages += 1;
        node.traffic.bytes += bytes.len() as u64;
        bytes
    }

    fn read(&mut self, index: usize, bytes: &[u8], is_reply: bool) {
        let node = &mut self.nodes[index];
        let start = Instant::now();
        let exchange: Exchange = decode(bytes).unwrap();
        let exchange = node.deltas.incoming(exchange);
        if is_reply {
            node.members.on_reply(&exchange, self.now);
        } else {
            node.members.on_exchange(&exchange, self.now);
        }
        let source = Source::Peer(exchange.from.instance.clone());
        let fetch = node.config.offer(exchange.config.revision, &exchange.config.hash, source);
        if let Some(fetch) = fetch
            && node.config.install(fetch.revision, &fetch.hash) == InstallOutcome::InForce
        {
            node.members.mark_urgent();
        }
        node.traffic.busy += start.elapsed();
        node.traffic.messages += 1;
        node.traffic.bytes += bytes.len() as u64;
    }
}
