//! Requests of routes and accounts with homes reach targets of these regions only.

use std::collections::{BTreeMap, BTreeSet};

use sesamewind_gateway::{
    Account, AttemptOutcome, Event, ListedTarget, RefusalReason, Repeat, Route, Routing, Ticket,
    Tuning,
};
use sesamewind_protocol::relay::{StorePosition, ZoneEntry, ZoneReport};
use sesamewind_protocol::{RegionId, ZoneId};

use crate::support::{Bench, MODEL, account, at, routing, stream_route, target};

fn homes(names: &[&str]) -> Vec<RegionId> {
    names.iter().map(|name| RegionId::new(*name)).collect()
}

/// Zones `a1` and `a2` of region `a`, `b1` of region `b`, and `c1` of region `c`.
fn regions() -> BTreeMap<ZoneId, RegionId> {
    let pairs = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c")];
    pairs.into_iter().map(|(zone, region)| (zone.into(), region.into())).collect()
}

/// A gateway with one model engine in each of these zones, whose names are those of the zones.
fn bench(
    route: &[&str],
    account_homes: &[&str],
    zones: &[&str],
    regions: BTreeMap<ZoneId, RegionId>,
) -> Bench {
    let route = Route { homes: homes(route), ..stream_route("talk", 0, Repeat::Resume) };
    let account = Account { homes: homes(account_homes), ..account("a") };
    let routing = Routing { routes: vec![route], accounts: vec![account], ..routing() };
    let of = |zone: &&str| ListedTarget { zone: (*zone).into(), ..target(zone, MODEL, 8) };
    let tuning = Tuning { regions, ..Tuning::default() };
    Bench::new(routing, zones.iter().map(of).collect(), tuning)
}

fn target_of(bench: &Bench, ticket: Ticket) -> Option<String> {
    Some(bench.dispatch(ticket)?.target.as_str().to_owned())
}

/// The attempts of requests, and the repeats of those that are declined, broken off or silent, reach
/// homes only; without a home, requests are refused at once.
#[test]
fn homes_bind_each_attempt() {
    struct Case {
        name: &'static str,
        route: &'static [&'static str],
        account: &'static [&'static str],
        zones: &'static [&'static str],
        want: &'static [&'static str],
    }
    const ALL: &[&str] = &["a1", "a2", "b1", "c1", "d1"];
    let cases = [
        Case { name: "no homes", route: &[], account: &[], zones: ALL, want: ALL },
        Case { name: "route", route: &["a"], account: &[], zones: ALL, want: &["a1", "a2"] },
        Case { name: "account", route: &[], account: &["b", "c"], zones: ALL, want: &["b1", "c1"] },
        Case { name: "both", route: &["a", "b"], account: &["b", "c"], zones: ALL, want: &["b1"] },
        Case { name: "disjoint", route: &["a"], account: &["b"], zones: ALL, want: &[] },
        Case {
            name: "no target at home",
            route: &["a"],
            account: &[],
            zones: &["b1", "c1"],
            want: &[],
        },
        Case {
            name: "unknown region of a zone",
            route: &["a"],
            account: &[],
            zones: &["d1"],
            want: &[],
        },
        Case {
            name: "unknown region of a route",
            route: &["e"],
            account: &[],
            zones: ALL,
            want: &[],
        },
    ];
    let repeats: [fn(Ticket) -> Event<'static>; 3] = [
        Event::Silent,
        |ticket| Event::Ended(ticket, AttemptOutcome::Declined),
        |ticket| Event::Ended(ticket, AttemptOutcome::Broken),
    ];
    for case in cases {
        let mut bench = bench(case.route, case.account, case.zones, regions());
        let arrived: Vec<_> = (0..40).map(|_| bench.arrive("talk", 100, at(10))).collect();
        let used: BTreeSet<_> =
            arrived.iter().filter_map(|ticket| target_of(&bench, *ticket)).collect();
        assert_eq!(
            used,
            case.want.iter().map(|zone| (*zone).to_owned()).collect(),
            "{}",
            case.name
        );
        if case.want.is_empty() {
            let refused = |ticket: &Ticket| bench.reason(*ticket) == Some(RefusalReason::NoHome);
            assert!(arrived.iter().all(refused), "{}", case.name);
        }
        for (repeat, ticket) in repeats.iter().zip(&arrived) {
            bench.send(repeat(*ticket), at(1_100));
            let used = target_of(&bench, *ticket);
            assert!(used.is_none_or(|used| case.want.contains(&used.as_str())), "{}", case.name);
        }
    }
}

/// Without regions in the settings, homes bind nothing.
#[test]
fn without_regions_nothing_changes() {
    let mut bench = bench(&["a"], &["b"], &["a1", "b1"], BTreeMap::new());
    let ticket = bench.arrive("talk", 100, at(10));
    assert!(bench.dispatch(ticket).is_some());
}

/// A home target that fails is tried again, though targets elsewhere are sound.
#[test]
fn sound_targets_elsewhere_do_not_hide_those_at_home() {
    let mut bench = bench(&["a"], &[], &["a1", "b1"], regions());
    let failed = bench.arrive("talk", 100, at(10));
    bench.end(failed, AttemptOutcome::Broken, at(20));
    let ticket = bench.arrive("talk", 100, at(30));
    assert_eq!(target_of(&bench, ticket).as_deref(), Some("a1"));
}

/// A request whose home is evacuated or goes while it waits is refused at once.
#[test]
fn a_home_that_ends_is_no_reason_to_wait_or_to_leave_it() {
    let evacuate = |zone: &str| {
        let position = StorePosition { era: 0, version: 5 };
        let zones = vec![ZoneEntry { zone: zone.into(), evacuated: true, position }];
        Event::ZonesChanged(ZoneReport { read: position, zones })
    };
    let remove = |zone: &str| {
        let removed = sesamewind_gateway::targets::TargetChange::Removed(zone.into());
        Event::Listed(vec![removed])
    };
    let cases = [
        ("evacuated", evacuate("a1"), RefusalReason::Evacuated),
        ("removed", remove("a1"), RefusalReason::NoHome),
    ];
    for (name, event, reason) in cases {
        let mut bench = bench(&["a"], &[], &["a1", "b1"], regions());
        let arrived: Vec<_> = (0..9).map(|_| bench.arrive("talk", 100, at(10))).collect();
        let waiting = *arrived.last().expect("nine requests");
        assert!(bench.dispatch(waiting).is_none() && bench.refusal(waiting).is_none(), "{name}");
        bench.send(event, at(20));
        assert_eq!(bench.reason(waiting), Some(reason), "{name}");
        let later = bench.arrive("talk", 100, at(30));
        assert_eq!(bench.reason(later), Some(reason), "{name}");
    }
}
