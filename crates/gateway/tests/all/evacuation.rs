//! Targets of evacuated availability zones get no new requests, and nothing else changes for them.

use std::collections::BTreeSet;

use sesamewind_gateway::{
    AttemptOutcome, Event, Gateway, ListedTarget, RefusalReason, Step, Ticket, Tuning, ZoneChange,
};
use sesamewind_protocol::ZoneId;
use sesamewind_protocol::relay::{StorePosition, ZoneEntry, ZoneReport};

use crate::support::{Bench, MODEL, PLAIN, at, identity, routing, target};

fn position(era: u64, version: u64) -> StorePosition {
    StorePosition { era, version }
}

/// Returns a report of these zones, which is complete up to a later version.
fn report(version: u64, zones: &[&str], evacuated: bool) -> ZoneReport {
    let entry = |zone: &&str| ZoneEntry {
        zone: ZoneId::new(*zone),
        evacuated,
        position: position(0, version),
    };
    ZoneReport { read: position(0, version + 1), zones: zones.iter().map(entry).collect() }
}

fn order(version: u64, zones: &[&str]) -> Event<'static> {
    Event::ZonesChanged(report(version, zones, true))
}

fn take_back(version: u64, zones: &[&str]) -> Event<'static> {
    Event::ZonesChanged(report(version, zones, false))
}

fn evacuated(gateway: &Gateway) -> BTreeSet<String> {
    let zones = gateway.evacuated_zones().filter(|(_, evacuated, _)| *evacuated);
    zones.map(|(zone, ..)| zone.as_str().to_owned()).collect()
}

fn in_zone(id: &str, service: &str, slots: u32, zone: &str) -> ListedTarget {
    ListedTarget { zone: ZoneId::new(zone), ..target(id, service, slots) }
}

/// A gateway in `z1` with one target of each service in each of three zones; the names of targets
/// begin with those of their zones.
fn three_zones(slots: u32) -> Bench {
    let of = |zone: &str| {
        [MODEL, PLAIN].map(|service| in_zone(&format!("{zone}-{service}"), service, slots, zone))
    };
    Bench::new(routing(), ["z1", "z2", "z3"].into_iter().flat_map(of).collect(), Tuning::default())
}

fn zone_of(bench: &Bench, ticket: Ticket) -> String {
    let target = bench.dispatch(ticket).expect("the request is at a target").target.as_str();
    target.split('-').next().unwrap_or_default().to_owned()
}

/// Guards against requests of any kind at evacuated targets, and against empty zones that were not
/// evacuated.
#[test]
fn first_sends_go_elsewhere_and_nothing_else_is_emptied() {
    struct Case {
        name: &'static str,
        zones: &'static [&'static str],
    }
    let cases = [
        Case { name: "none", zones: &[] },
        Case { name: "own", zones: &["z1"] },
        Case { name: "another", zones: &["z2"] },
        Case { name: "all but one", zones: &["z1", "z3"] },
        Case { name: "one without targets", zones: &["z9"] },
    ];
    for case in cases {
        for route in ["urgent", "usual", "once", "read"] {
            let mut bench = three_zones(8);
            bench.send(order(5, case.zones), at(10));
            // Enough at once to need all the targets that are left.
            let arrived: Vec<_> = (0..40).map(|_| bench.arrive(route, 100, at(20))).collect();
            let used = arrived.iter().filter(|ticket| bench.dispatch(**ticket).is_some());
            let used: BTreeSet<_> = used.map(|ticket| zone_of(&bench, *ticket)).collect();
            let left = ["z1", "z2", "z3"].into_iter().filter(|zone| !case.zones.contains(zone));
            assert_eq!(used, left.map(str::to_owned).collect(), "{} {route}", case.name);
        }
    }
}

/// Guards against full targets of other zones being left half empty where instances form groups, since
/// those of the evacuated zone would still be preferred.
#[test]
fn the_targets_that_are_left_are_preferred() {
    let mut bench = three_zones(8);
    for number in 0..14 {
        let peer = identity(&format!("p{number}"), "z1");
        let mut peer = Gateway::new(peer, Tuning::default(), number);
        let update = peer.peer_update(&"i1".into(), StorePosition::default(), at(1), at(1));
        bench.send(Event::PeerUpdate(&update), at(1));
    }
    assert!(bench.gateway.shares_watch());
    bench.send(order(5, &["z1", "z2"]), at(10));
    let arrived: Vec<_> = (0..8).map(|_| bench.arrive("urgent", 100, at(20))).collect();
    assert!(arrived.iter().all(|ticket| bench.dispatch(*ticket).is_some()));
}

/// Guards against retries, moves and waiting requests at evacuated targets, and against attempts that
/// are ended by an order.
#[test]
fn requests_in_flight_go_on_and_are_repeated_elsewhere() {
    struct Case {
        name: &'static str,
        event: fn(Ticket) -> Event<'static>,
        moves: bool,
    }
    let cases = [
        Case { name: "nothing", event: |_| Event::Tick, moves: false },
        Case { name: "silence", event: Event::Silent, moves: true },
        Case {
            name: "declined",
            event: |ticket| Event::Ended(ticket, AttemptOutcome::Declined),
            moves: true,
        },
        Case {
            name: "broken",
            event: |ticket| Event::Ended(ticket, AttemptOutcome::Broken),
            moves: true,
        },
    ];
    for case in cases {
        let mut bench = three_zones(8);
        bench.send(order(5, &["z2", "z3"]), at(0));
        let ticket = bench.arrive("urgent", 100, at(10));
        assert_eq!(zone_of(&bench, ticket), "z1", "{}", case.name);
        bench.send(take_back(8, &["z3"]), at(20));
        bench.steps.clear();
        bench.send(order(12, &["z1"]), at(20));
        assert!(bench.steps.is_empty(), "{}: the order ends an attempt", case.name);
        bench.send((case.event)(ticket), at(1_100));
        let moved = bench.dispatch(ticket).is_some();
        assert_eq!(moved, case.moves, "{}: {:?}", case.name, bench.steps.get(&ticket));
        if moved {
            assert_eq!(zone_of(&bench, ticket), "z3", "{}", case.name);
        }
    }
}

/// A request that waits for a slot gets none at a target that is evacuated meanwhile.
#[test]
fn waiting_requests_go_elsewhere() {
    let mut bench = three_zones(1);
    bench.send(order(5, &["z3"]), at(0));
    let running: Vec<_> = (0..2).map(|_| bench.arrive("urgent", 100, at(10))).collect();
    let waiting = bench.arrive("urgent", 100, at(11));
    bench.send(order(7, &["z1"]), at(20));
    assert!(bench.dispatch(waiting).is_none() && bench.refusal(waiting).is_none());
    let (own, other) = running.into_iter().partition(|ticket| zone_of(&bench, *ticket) == "z1");
    for (ended, zone) in [(own, None), (other, Some("z2"))] {
        let [ended]: [Ticket; 1] = Vec::try_into(ended).expect("one request in each zone");
        bench.end(ended, AttemptOutcome::Whole, at(30));
        let got = bench.dispatch(waiting).map(|_| zone_of(&bench, waiting));
        assert_eq!(got.as_deref(), zone);
    }
    let waiting = bench.arrive("urgent", 100, at(31));
    bench.send(order(9, &["z2"]), at(40));
    assert_eq!(bench.reason(waiting), Some(RefusalReason::Evacuated), "no zone is left");
}

/// Without a zone left, requests are refused at once with a time to return, and a repeat of a request
/// that did not run is refused, too.
#[test]
fn without_a_zone_requests_are_refused_at_once() {
    let mut bench = three_zones(8);
    let running = bench.arrive("urgent", 100, at(5));
    bench.send(order(5, &["z1", "z2", "z3"]), at(10));
    for route in ["urgent", "usual", "once", "read"] {
        let ticket = bench.arrive(route, 100, at(20));
        let refusal = bench.refusal(ticket).expect("a refusal");
        assert_eq!(refusal.reason, RefusalReason::Evacuated, "{route}");
        assert!(!refusal.retry_after.is_zero(), "{route}");
    }
    bench.end(running, AttemptOutcome::Declined, at(30));
    assert_eq!(bench.reason(running), Some(RefusalReason::Evacuated));
    let broken = {
        bench.send(take_back(7, &["z2"]), at(40));
        let ticket = bench.arrive("urgent", 100, at(41));
        bench.send(order(9, &["z2"]), at(42));
        bench.end(ticket, AttemptOutcome::Broken, at(43));
        ticket
    };
    assert!(matches!(bench.steps.get(&broken), Some(Step::Fail(_))), "it may have run");
}

/// A step of what one instance hears of zone `z2`.
#[derive(Debug, Clone, Copy)]
enum Heard {
    /// The store's row changed at this position, which exists afterwards or not.
    Changed((u64, u64), bool),
    /// All rows were read at the first position; the order has the second version, if it exists.
    Read((u64, u64), Option<u64>),
    /// A peer that knows all up to the first position reports this.
    Peer((u64, u64), Option<((u64, u64), bool)>),
}

/// What one instance knows after a sequence of reads and reports.
#[test]
fn the_later_order_holds() {
    use Heard::{Changed, Peer, Read};
    struct Case {
        name: &'static str,
        heard: &'static [Heard],
        evacuated: bool,
    }
    const ON: Heard = Changed((0, 10), true);
    let cases = [
        Case { name: "order", heard: &[Read((0, 3), None), ON], evacuated: true },
        Case { name: "removal", heard: &[ON, Changed((0, 12), false)], evacuated: false },
        Case {
            name: "again",
            heard: &[ON, Changed((0, 12), false), Changed((0, 14), true)],
            evacuated: true,
        },
        Case { name: "read again", heard: &[ON, Read((0, 15), Some(10))], evacuated: true },
        Case {
            name: "removal in a gap of the history",
            heard: &[ON, Read((0, 15), None)],
            evacuated: false,
        },
        Case { name: "outdated replica", heard: &[ON, Read((0, 9), None)], evacuated: true },
        Case { name: "other rows only", heard: &[ON, Peer((0, 0), None)], evacuated: true },
        Case {
            name: "order from a peer",
            heard: &[Read((0, 3), None), Peer((0, 11), Some(((0, 10), true)))],
            evacuated: true,
        },
        Case {
            name: "removal from a peer",
            heard: &[ON, Peer((0, 13), Some(((0, 12), false)))],
            evacuated: false,
        },
        Case {
            name: "peer that started after the removal",
            heard: &[ON, Peer((0, 13), None)],
            evacuated: false,
        },
        Case { name: "peer that is behind", heard: &[ON, Peer((0, 9), None)], evacuated: true },
        Case {
            name: "peer that is behind with the order",
            heard: &[ON, Changed((0, 12), false), Peer((0, 11), Some(((0, 10), true)))],
            evacuated: false,
        },
        Case {
            name: "the same after a start",
            heard: &[Read((0, 15), None), Peer((0, 11), Some(((0, 10), true)))],
            evacuated: false,
        },
        Case {
            name: "older copy without the order",
            heard: &[ON, Read((1, 8), None)],
            evacuated: true,
        },
        Case {
            name: "older copy with the order",
            heard: &[ON, Read((1, 11), Some(10))],
            evacuated: true,
        },
        Case {
            name: "removal after the copy",
            heard: &[ON, Read((1, 8), None), Changed((1, 9), false)],
            evacuated: false,
        },
        Case {
            name: "start after the copy",
            heard: &[Read((1, 8), None), Peer((1, 8), Some(((0, 10), true)))],
            evacuated: true,
        },
        Case {
            name: "order and removal after the copy",
            heard: &[ON, Read((1, 8), None), Changed((1, 9), true), Read((1, 12), None)],
            evacuated: false,
        },
    ];
    for case in cases {
        let mut bench = three_zones(4);
        for (sequence, heard) in (1..).zip(case.heard) {
            hear(&mut bench, *heard, sequence);
        }
        let known = evacuated(&bench.gateway);
        assert_eq!(known.contains("z2"), case.evacuated, "{}", case.name);
    }
}

fn hear(bench: &mut Bench, heard: Heard, sequence: u64) {
    let of = |(era, version)| position(era, version);
    let entry = |at, evacuated| ZoneEntry { zone: ZoneId::new("z2"), evacuated, position: of(at) };
    let now = at(sequence);
    match heard {
        Heard::Changed(at, evacuated) => {
            let report = ZoneReport { read: of(at), zones: vec![entry(at, evacuated)] };
            bench.send(Event::ZonesChanged(report), now);
        }
        Heard::Read(read, row) => {
            let zones = row.map(|version| entry((read.0, version), true)).into_iter().collect();
            bench.send(Event::ZonesRead(ZoneReport { read: of(read), zones }), now);
        }
        Heard::Peer(read, known) => {
            let zones = known.map(|(at, evacuated)| entry(at, evacuated)).into_iter().collect();
            let peer = identity("i2", "z2");
            let mut peer = Gateway::new(peer, Tuning::default(), 3);
            let to = "i1".into();
            let mut update = peer.peer_update(&to, StorePosition::default(), now, now);
            update.sequence = sequence;
            update.evacuations = ZoneReport { read: of(read), zones };
            bench.send(Event::PeerUpdate(&update), now);
        }
    }
}

/// Operators see when a zone is evacuated, empty and in use again, and when that was.
#[test]
fn changes_are_reported_once() {
    let mut bench = three_zones(8);
    bench.send(order(3, &["z2"]), at(0));
    bench.send(order(3, &["z3"]), at(0));
    let evacuated = bench.gateway.take_zone_changes(at(0));
    let evacuated = evacuated.iter().filter(|one| matches!(one, ZoneChange::Evacuated { .. }));
    assert_eq!(evacuated.count(), 2, "in the same moment");
    let ticket = bench.arrive("urgent", 100, at(10));
    let zone = ZoneId::new("z1");
    bench.send(order(5, &["z1"]), at(20));
    let got = bench.gateway.take_zone_changes(at(30));
    assert_eq!(got, [ZoneChange::Evacuated { zone: zone.clone(), running: 1 }]);
    assert!(bench.gateway.take_zone_changes(at(40)).is_empty());
    bench.end(ticket, AttemptOutcome::Whole, at(520));
    let got = bench.gateway.take_zone_changes(at(520));
    let took = std::time::Duration::from_millis(500);
    assert_eq!(got, [ZoneChange::Empty { zone: zone.clone(), took }]);
    assert_eq!(bench.gateway.zone_taken_back(&zone), None);
    bench.send(take_back(9, &["z1"]), at(1_020));
    let got = bench.gateway.take_zone_changes(at(1_030));
    assert_eq!(got, [ZoneChange::TakenBack { zone: zone.clone(), lasted: took * 2 }]);
    assert_eq!(bench.gateway.zone_taken_back(&zone), Some(at(1_020)));
    bench.send(order(11, &["z1"]), at(1_040));
    assert_eq!(bench.gateway.zone_taken_back(&zone), None);
}
