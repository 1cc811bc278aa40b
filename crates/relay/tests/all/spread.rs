//! The spread of the store's rows over instances of which few watch the store.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sesamewind_gateway::gateway::Identity;
use sesamewind_gateway::{Event, Gateway};
use sesamewind_protocol::relay::{RelayUpdate, StorePosition, StoreRow, Topic};
use sesamewind_protocol::{Incarnation, InstanceId, Time, ZoneId};
use sesamewind_relay::exchange::{Standing, Surroundings};
use sesamewind_relay::row_cache::RowCache;

const ZONES: usize = 3;

/// Milliseconds that a message takes.
const PATH_MS: Range<u64> = 1..8;

/// Milliseconds until a watch delivers a change. An instance that has just had another change waits
/// for 200 ms before it asks again.
const WATCH_MS: Range<u64> = 5..230;

/// Milliseconds in which a change must reach every instance: less than a third of the 1.65 s for
/// which an order of 4.5 s, of the shortest kind, sends only a probing share to its version.
const BOUND_MS: u64 = 500;

/// When the two changes are made.
const CHANGES_MS: [u64; 2] = [500, 500 + BOUND_MS + 100];

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// An exchange between two instances, the first of which sends.
    Exchange(usize, usize),
    /// The position of a change that an instance's watch delivers.
    Watched(usize, usize),
    /// A change that is made.
    Made(usize),
    /// An instance asks another one for rows.
    Asks(usize, usize),
}

struct Member {
    gateway: Gateway,
    rows: RowCache,
    is_asking: bool,
}

struct Fleet {
    rng: StdRng,
    members: Vec<Member>,
    due: BinaryHeap<Reverse<(u64, Due)>>,
    changes: Vec<(u64, StoreRow)>,
    /// When the last instance had each change, and how many have it.
    reached: Vec<(u64, usize)>,
}

fn name(instance: usize) -> InstanceId {
    InstanceId::new(format!("i{instance:03}"))
}

fn zone(instance: usize) -> ZoneId {
    ZoneId::new(format!("z{}", instance % ZONES))
}

fn row(version: u64, value: Option<&str>) -> StoreRow {
    let value = value.map(|text| text.as_bytes().to_vec());
    StoreRow { key: "order".into(), version, value }
}

impl Fleet {
    fn new(instances: usize, seed: u64, changes: Vec<(u64, StoreRow)>) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let members = (0..instances).map(|instance| {
            let me = Identity {
                instance: name(instance),
                incarnation: Incarnation(1),
                zone: zone(instance),
                address: format!("10.0.0.1:{instance}"),
            };
            let gateway = Gateway::new(me, Default::default(), seed);
            Member { gateway, rows: RowCache::default(), is_asking: false }
        });
        let members: Vec<Member> = members.collect();
        let mut due = BinaryHeap::new();
        for a in 0..instances {
            for b in a + 1..instances {
                due.push(Reverse((0, Due::Exchange(a, b))));
            }
        }
        due.extend((0..).zip(&changes).map(|(number, (at, _))| Reverse((*at, Due::Made(number)))));
        let reached = vec![(0, 0); changes.len()];
        Self { rng, members, due, changes, reached }
    }

    fn play(&mut self) {
        while let Some(Reverse((now, due))) = self.due.pop() {
            if now > CHANGES_MS[1] + 2 * BOUND_MS {
                return;
            }
            match due {
                Due::Exchange(a, b) => self.exchange(a, b, now),
                Due::Made(number) => {
                    for instance in 0..self.members.len() {
                        let gateway = &self.members[instance].gateway;
                        if !gateway.follows_peers(Time::from_millis(now)) {
                            let at = now + self.rng.random_range(WATCH_MS);
                            self.due.push(Reverse((at, Due::Watched(instance, number))));
                        }
                    }
                }
                Due::Watched(instance, number) => {
                    let row = self.changes[number].1.clone();
                    let position = StorePosition { era: 1, version: row.version };
                    self.apply(instance, vec![row], position, false, now);
                }
                Due::Asks(instance, peer) => {
                    let after = self.standing(instance).configuration;
                    let reply = self.members[peer].rows.since(after);
                    self.members[instance].is_asking = false;
                    self.apply(instance, reply.rows, reply.newest, reply.whole, now);
                }
            }
        }
    }

    fn exchange(&mut self, a: usize, b: usize, now: u64) {
        for (from, to) in [(a, b), (b, a)] {
            let update = self.update(from, to, now);
            self.members[to].gateway.handle(Event::PeerUpdate(&update), Time::from_millis(now));
            let is_behind = |topic| topic == Topic::Configuration;
            let follows = self.members[to].gateway.follows_peers(Time::from_millis(now));
            if self.standing(to).topics_behind(&update).any(is_behind)
                && follows
                && !self.members[to].is_asking
            {
                let member = &mut self.members[to];
                member.is_asking = true;
                let at = now + self.rng.random_range(PATH_MS);
                self.due.push(Reverse((at, Due::Asks(to, from))));
            }
        }
        let peers = self.members.len() - 1;
        let surroundings = Surroundings {
            peers,
            zone_peers: (zone(a) == zone(b)).then_some(peers / ZONES),
            shares_targets: self.members[a].gateway.shares_targets(&name(b)),
        };
        // Exchanges are spread over the interval once the instances have met.
        let jitter = if now == 0 { 0.0..1.0 } else { 0.9..1.1 };
        let interval = surroundings.interval().mul_f64(self.rng.random_range(jitter));
        let at = now + interval.as_millis() as u64 + self.rng.random_range(PATH_MS);
        self.due.push(Reverse((at, Due::Exchange(a, b))));
    }

    fn update(&mut self, from: usize, to: usize, now: u64) -> RelayUpdate {
        let now = Time::from_millis(now);
        let Member { gateway, rows, .. } = &mut self.members[from];
        let checked = if gateway.follows_peers(now) { Time::ZERO } else { now };
        let update = gateway.peer_update(&name(to), StorePosition::default(), checked, now);
        RelayUpdate { config_position: rows.newest(), ..update }
    }

    fn standing(&self, instance: usize) -> Standing {
        let member = &self.members[instance];
        Standing {
            revision: member.gateway.revision(),
            configuration: member.rows.complete(),
            targets: StorePosition::default(),
        }
    }

    fn apply(
        &mut self,
        instance: usize,
        rows: Vec<StoreRow>,
        position: StorePosition,
        whole: bool,
        now: u64,
    ) {
        let cache = &mut self.members[instance].rows;
        let before = cache.newest().version;
        if whole {
            cache.replace(&rows, position);
        } else {
            cache.apply_changes(rows, position);
        }
        let newest = cache.newest().version;
        for ((_, row), reached) in self.changes.iter().zip(&mut self.reached) {
            if (before + 1..=newest).contains(&row.version) {
                *reached = (now, reached.1 + 1);
            }
        }
    }
}

#[test]
fn every_instance_has_an_order_and_its_removal_in_time() {
    for instances in [12, 13, 33, 60, 100, 300] {
        let [ordered, removed] = CHANGES_MS;
        let changes = vec![(ordered, row(10, Some("order"))), (removed, row(11, None))];
        let mut fleet = Fleet::new(instances, 1, changes);
        fleet.play();
        for ((made, row), &(last, count)) in fleet.changes.iter().zip(&fleet.reached) {
            let value = &row.value;
            assert_eq!(count, instances, "of {instances} instances have {value:?}");
            let took = Duration::from_millis(last - made);
            println!("{instances} instances have {value:?} after {took:?}");
            assert!(took.as_millis() as u64 <= BOUND_MS, "{took:?}, {instances} instances");
        }
    }
}

fn position(version: u64) -> StorePosition {
    StorePosition { era: 1, version }
}

/// Applies what `peer` has to the rows of `cache` if it tells more. Returns the rows to decode, or
/// none if the peer is not asked.
fn ask(cache: &mut RowCache, peer: &RowCache) -> Option<Vec<StoreRow>> {
    let after = cache.complete();
    (peer.newest() > after).then(|| {
        let reply = peer.since(after);
        match reply.whole {
            true => [reply.rows.clone(), cache.replace(&reply.rows, reply.newest)].concat(),
            false => cache.apply_changes(reply.rows, reply.newest),
        }
    })
}

#[test]
fn a_deleted_row_is_passed_on() {
    struct Case {
        name: &'static str,
        /// Position up to which the asking instance has read all rows.
        read: u64,
        /// Whether it has the row that is deleted.
        has_row: bool,
        /// Position at which the asked instance reads all rows, if it does so after the deletion.
        read_again: Option<u64>,
        /// Rows that the asking instance decodes.
        decoded: Option<Vec<StoreRow>>,
    }
    let other = || StoreRow { key: "other".into(), version: 30, value: Some(Vec::new()) };
    let cases = [
        Case {
            name: "change",
            read: 12,
            has_row: true,
            read_again: None,
            decoded: Some(vec![row(20, None)]),
        },
        Case {
            name: "change of a row that is not known",
            read: 12,
            has_row: false,
            read_again: None,
            decoded: Some(vec![row(20, None)]),
        },
        Case {
            name: "missing in all rows",
            read: 12,
            has_row: true,
            read_again: Some(30),
            decoded: Some(vec![other(), row(30, None)]),
        },
        Case {
            name: "all rows read after the deletion",
            read: 25,
            has_row: false,
            read_again: None,
            decoded: None,
        },
    ];
    for Case { name, read, has_row, read_again, decoded } in cases {
        let (mut asking, mut asked) = (RowCache::default(), RowCache::default());
        let first = row(10, Some("order"));
        asked.replace(std::slice::from_ref(&first), position(12));
        asking.replace(if has_row { std::slice::from_ref(&first) } else { &[] }, position(read));
        match read_again {
            Some(version) => {
                asked.replace(&[other()], position(version));
            }
            None => {
                asked.apply_changes(vec![row(20, None)], position(20));
            }
        }
        assert_eq!(ask(&mut asking, &asked), decoded, "{name}");
        assert_eq!(ask(&mut asking, &asked), None, "{name}: nothing is left to ask for");
    }
}
