//! Orders to evacuate zones reach all instances that have a path to the store, through outages, cuts,
//! restarts and older copies of the store.

use std::collections::{BTreeMap, BTreeSet};

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamewind_gateway::gateway::Identity;
use sesamewind_gateway::{Event, Gateway, Tuning};
use sesamewind_protocol::relay::{StorePosition, ZoneEntry, ZoneReport};
use sesamewind_protocol::{Incarnation, InstanceId, ZoneId};

use crate::support::{at, identity};

/// Milliseconds between two reads of the store, and between two exchanges of a pair.
const STEP: u64 = 100;
/// Milliseconds in which an instance with a path to the store learns of an order.
const BOUND: u64 = 300;

/// Something that happens.
#[derive(Debug, Clone, Copy)]
enum Act {
    Order(&'static str),
    TakeBack(&'static str),
    /// Another row is written, so that the store's version rises.
    Other,
    StoreDown,
    StoreUp,
    /// An instance loses its path to the store.
    CutStore(usize),
    /// An instance loses its paths to all peers.
    CutPeers(usize),
    /// An instance has all paths again.
    Heal(usize),
    Restart(usize),
    RestartAll,
    /// A copy of the store is made.
    Save,
    /// The store comes back from the copy.
    SetBack,
}

use Act::{
    CutPeers, CutStore, Heal, Order, Other, Restart, RestartAll, Save, SetBack, StoreDown, StoreUp,
    TakeBack,
};

/// Rows with the orders: the version of each, and whether it exists.
#[derive(Debug, Clone, Default)]
struct Rows {
    version: u64,
    zones: BTreeMap<&'static str, (u64, bool)>,
}

struct Instance {
    gateway: Gateway,
    /// Position up to which it has read the store; none until it has read all rows.
    known: Option<StorePosition>,
    cut_store: bool,
    cut_peers: bool,
    incarnation: u64,
    /// Since when it has had a path to the store, on its own or by way of a peer.
    path_since: u64,
}

struct Fleet {
    instances: Vec<Instance>,
    rows: Rows,
    copy: Rows,
    era: u64,
    up: bool,
    /// Zones that are evacuated, and when that last changed.
    evacuated: (BTreeSet<&'static str>, u64),
    now: u64,
}

fn started(index: usize, incarnation: u64) -> Instance {
    let me = Identity {
        incarnation: Incarnation(incarnation),
        ..identity(&format!("g{index}"), ["z1", "z2", "z3"][index % 3])
    };
    Instance {
        gateway: Gateway::new(me, Tuning::default(), index as u64),
        known: None,
        cut_store: false,
        cut_peers: false,
        incarnation,
        path_since: 0,
    }
}

impl Fleet {
    fn new(size: usize) -> Self {
        Self {
            instances: (0..size).map(|index| started(index, 1)).collect(),
            rows: Rows::default(),
            copy: Rows::default(),
            era: 0,
            up: true,
            evacuated: Default::default(),
            now: 0,
        }
    }

    fn write(&mut self, zone: &'static str, exists: bool) {
        self.rows.version += 1;
        self.rows.zones.insert(zone, (self.rows.version, exists));
        let _ = if exists { self.evacuated.0.insert(zone) } else { self.evacuated.0.remove(zone) };
        self.evacuated.1 = self.now;
    }

    fn restart(&mut self, index: usize) {
        let old = &self.instances[index];
        let (cut_store, cut_peers) = (old.cut_store, old.cut_peers);
        let new = started(index, old.incarnation + 1);
        self.instances[index] = Instance { cut_store, cut_peers, path_since: self.now, ..new };
    }

    fn act(&mut self, act: Act) {
        match act {
            // Operators write to the store only while it answers.
            Order(_) | TakeBack(_) | Other | SetBack if !self.up => {}
            Order(zone) => self.write(zone, true),
            TakeBack(zone) => self.write(zone, false),
            Other => self.rows.version += 1,
            StoreDown => self.up = false,
            StoreUp => self.up = true,
            CutStore(index) => self.instances[index].cut_store = true,
            CutPeers(index) => self.instances[index].cut_peers = true,
            Heal(index) => {
                let instance = &mut self.instances[index];
                (instance.cut_store, instance.cut_peers) = (false, false);
            }
            Restart(index) => self.restart(index),
            RestartAll => (0..self.instances.len()).for_each(|index| self.restart(index)),
            Save => self.copy = self.rows.clone(),
            SetBack => {
                self.rows = self.copy.clone();
                self.era += 1;
                // An order that lies in the store again holds, though it had been taken back.
                let back = self.rows.zones.iter().filter(|(_, (_, exists))| *exists);
                self.evacuated.0.extend(back.map(|(zone, _)| *zone));
                self.evacuated.1 = self.now;
            }
        }
    }

    fn read_store(&mut self, index: usize) {
        let read = StorePosition { era: self.era, version: self.rows.version };
        let instance = &mut self.instances[index];
        let known = instance.known.filter(|known| known.era == self.era);
        let changed = self.rows.zones.iter().filter(|(_, (version, exists))| match known {
            Some(known) => *version > known.version,
            None => *exists,
        });
        let zones = changed.map(|(zone, (version, exists))| ZoneEntry {
            zone: ZoneId::new(*zone),
            evacuated: *exists,
            position: StorePosition { era: self.era, version: *version },
        });
        let report = ZoneReport { read, zones: zones.collect() };
        let event =
            if known.is_some() { Event::ZonesChanged(report) } else { Event::ZonesRead(report) };
        instance.gateway.handle(event, at(self.now));
        instance.known = Some(read);
    }

    fn exchange(&mut self, from: usize, to: usize) {
        let name = InstanceId::new(format!("g{to}"));
        let now = at(self.now);
        let sender = &mut self.instances[from].gateway;
        let update = sender.peer_update(&name, StorePosition::default(), now, now);
        self.instances[to].gateway.handle(Event::PeerUpdate(&update), now);
    }

    fn step(&mut self) {
        self.now += STEP;
        let size = self.instances.len();
        for index in 0..size {
            if self.up && !self.instances[index].cut_store {
                self.read_store(index);
            }
        }
        let linked: Vec<_> = (0..size).filter(|one| !self.instances[*one].cut_peers).collect();
        for &from in &linked {
            for &to in linked.iter().filter(|to| **to != from) {
                self.exchange(from, to);
            }
        }
        let (up, now) = (self.up, self.now);
        let reaches = |one: &Instance| up && !one.cut_store;
        let relayed = self.instances.iter().any(|one| reaches(one) && !one.cut_peers);
        for instance in &mut self.instances {
            if !reaches(instance) && (instance.cut_peers || !relayed) {
                instance.path_since = now;
            }
        }
    }

    /// Checks what each instance knows that has had a path to the store for long enough.
    fn check(&self, name: &str) {
        for (index, instance) in self.instances.iter().enumerate() {
            let settled = self.now >= instance.path_since.max(self.evacuated.1) + BOUND;
            // An instance that has not read the store serves nothing.
            if !settled || instance.known.is_none() {
                continue;
            }
            let zones = instance.gateway.evacuated_zones().filter(|(_, evacuated, _)| *evacuated);
            let zones: BTreeSet<_> = zones.map(|(zone, ..)| zone.as_str()).collect();
            assert_eq!(zones, self.evacuated.0, "{name}: instance {index} at {} ms", self.now);
        }
    }

    fn play(&mut self, name: &str, acts: &[(u64, Act)], end: u64) {
        while self.now < end {
            let span = self.now..self.now + STEP;
            let due = acts.iter().filter(|(when, _)| span.contains(when));
            for (_, act) in due {
                self.act(*act);
            }
            self.step();
            self.check(name);
        }
    }
}

#[test]
fn orders_are_in_force_through_each_failure() {
    struct Case {
        name: &'static str,
        acts: &'static [(u64, Act)],
    }
    let cases = [
        Case {
            name: "order and taking back",
            acts: &[(500, Order("z1")), (2_000, TakeBack("z1"))],
        },
        Case {
            name: "in quick succession",
            acts: &[
                (500, Order("z1")),
                (500, TakeBack("z1")),
                (900, Order("z1")),
                (910, TakeBack("z1")),
                (920, Order("z1")),
            ],
        },
        Case {
            name: "twice, and all zones but one",
            acts: &[
                (500, Order("z1")),
                (600, Order("z2")),
                (1_500, TakeBack("z1")),
                (2_500, Order("z1")),
                (3_500, TakeBack("z2")),
            ],
        },
        Case {
            name: "store away after the order",
            acts: &[
                (500, CutStore(0)),
                (600, Order("z1")),
                (700, StoreDown),
                (1_500, Heal(0)),
                (2_500, StoreUp),
                (3_000, TakeBack("z1")),
            ],
        },
        Case {
            name: "one without the store",
            acts: &[
                (500, CutStore(2)),
                (600, Order("z1")),
                (1_500, TakeBack("z1")),
                (2_500, Order("z2")),
            ],
        },
        Case {
            name: "one cut off through order and taking back",
            acts: &[
                (500, Order("z1")),
                (600, CutStore(2)),
                (600, CutPeers(2)),
                (1_000, TakeBack("z1")),
                (1_200, Order("z2")),
                (3_000, Heal(2)),
            ],
        },
        Case {
            name: "restart of one after the taking back, beside one that knows the order only",
            acts: &[
                (500, Order("z1")),
                (900, CutStore(2)),
                (900, CutPeers(2)),
                (1_000, TakeBack("z1")),
                (1_500, Restart(0)),
                (1_500, Restart(1)),
                (3_000, Heal(2)),
                (3_000, CutStore(2)),
            ],
        },
        Case {
            name: "restart of all",
            acts: &[
                (500, Order("z1")),
                (1_000, RestartAll),
                (2_000, TakeBack("z1")),
                (2_100, RestartAll),
            ],
        },
        Case {
            name: "order lost by the store",
            acts: &[
                (400, Save),
                (500, Order("z1")),
                (900, SetBack),
                (1_500, Restart(1)),
                (2_500, Order("z1")),
                (3_200, TakeBack("z1")),
            ],
        },
        Case {
            name: "order lost by the store and removed",
            acts: &[(400, Save), (500, Order("z1")), (900, SetBack), (2_500, TakeBack("z1"))],
        },
        Case {
            name: "taking back lost by the store",
            acts: &[
                (300, Order("z1")),
                (600, Save),
                (700, TakeBack("z1")),
                (1_500, SetBack),
                (2_500, TakeBack("z1")),
            ],
        },
    ];
    for case in cases {
        Fleet::new(4).play(case.name, case.acts, 5_000);
    }
}

/// Acts of all kinds but the loss of rows, after which instances that start know less than others.
fn random_acts(rng: &mut ChaCha8Rng, size: usize) -> Vec<(u64, Act)> {
    let mut acts = Vec::new();
    let mut now = 300;
    while now < 12_000 {
        let zone = *["z1", "z2", "z3"].choose(rng).expect("three zones");
        let one = rng.random_range(0..size);
        let kinds = [
            Order(zone),
            TakeBack(zone),
            Order(zone),
            TakeBack(zone),
            Other,
            StoreDown,
            StoreUp,
            StoreUp,
            CutStore(one),
            CutPeers(one),
            Heal(one),
            Heal(one),
            Restart(one),
            RestartAll,
        ];
        acts.push((now, *kinds.choose(rng).expect("some acts")));
        now += rng.random_range(0..500);
    }
    acts
}

#[test]
fn random_failures_hide_no_order() {
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let size = [1, 2, 3, 5, 14][rng.random_range(0..5)];
        let acts = random_acts(&mut rng, size);
        Fleet::new(size).play(&format!("seed {seed}"), &acts, 13_000);
    }
}
