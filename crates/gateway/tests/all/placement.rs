//! Where a request would go is explained by the decisions of real requests, and without an effect.

use sesamewind_gateway::{
    Account, Arrival, AttemptOutcome, Event, ListedTarget, Route, Routing, Tuning,
};
use sesamewind_protocol::placement::{Placement, PlacementOutcome};
use sesamewind_protocol::relay::{StorePosition, ZoneEntry, ZoneReport};
use sesamewind_protocol::{PartId, RegionId, TargetId, Time};

use crate::support::{self, Bench, MODEL, PLAIN, account, at, routing, target};

/// A request on the route `name` that is not sent.
fn arrival(bench: &Bench, name: &str, now: Time) -> Arrival {
    Arrival {
        prompt_tokens: Some(500),
        parts: [PartId(7)].into(),
        ..support::arrival(&bench.table, 0, &format!("/{name}/x"), now)
    }
}

fn ask(bench: &Bench, name: &str, now: Time) -> Placement {
    bench.gateway.placement(arrival(bench, name, now), now)
}

/// Returns where a request of the same kind goes when it is sent.
fn send(bench: &mut Bench, name: &str, now: Time) -> Option<String> {
    let ticket = bench.arrive_with(name, 500, &[7], now);
    if let Some(dispatch) = bench.dispatch(ticket) {
        return Some(format!("sent {}", dispatch.target));
    }
    bench.reason(ticket).map(|reason| format!("refused {}", reason.as_str()))
}

fn describe(outcome: &PlacementOutcome) -> Option<String> {
    match outcome {
        PlacementOutcome::Sent(target) => Some(format!("sent {target}")),
        PlacementOutcome::Refused { reason, .. } => Some(format!("refused {reason}")),
        _ => None,
    }
}

/// Engines with four slots each and a plain target. Routes to engines lie at home in region `a`,
/// where zone `z1` is; `z9` is in another one. The account has room for some requests.
fn loaded(requests: u32) -> Bench {
    let near = ["m0", "m1", "m2"].map(|id| target(id, MODEL, 4));
    let far = ListedTarget { zone: "z9".into(), ..target("far", MODEL, 4) };
    let targets = near.into_iter().chain([far, target("p0", PLAIN, 4)]).collect();
    let usual = routing();
    let at_home = |route: Route| match route.stream {
        true => Route { homes: vec![RegionId::new("a")], ..route },
        false => route,
    };
    let routes = usual.routes.clone().into_iter().map(at_home).collect();
    let accounts = vec![Account { rate: 1_500.0, burst: 0.0, ..account("a") }];
    let regions = [("z1", "a"), ("z9", "b")];
    let regions = regions.into_iter().map(|(zone, region)| (zone.into(), region.into())).collect();
    let tuning = Tuning { regions, ..Tuning::default() };
    let mut bench = Bench::new(Routing { routes, accounts, ..usual }, targets, tuning);
    for _ in 0..requests {
        bench.arrive("urgent", 500, at(10));
    }
    bench
}

/// The answer is what happens to the next request, for as many requests as there are slots, places in the
/// queue and units of the account.
#[test]
fn the_next_request_goes_where_the_answer_says() {
    let (mut sent, mut waited, mut refused) = (0, 0, 0);
    for requests in 0..40 {
        for route in ["urgent", "usual", "bulk", "once", "read"] {
            let mut bench = loaded(requests);
            let placement = ask(&bench, route, at(20));
            let said = describe(&placement.outcome);
            assert_eq!(said, send(&mut bench, route, at(20)), "{route} after {requests}");
            match placement.outcome {
                PlacementOutcome::Sent(_) => sent += 1,
                PlacementOutcome::Waits { .. } => waited += 1,
                _ => refused += 1,
            }
        }
    }
    assert!(sent > 0 && waited > 0 && refused > 0, "{sent} {waited} {refused}");
}

/// Asking changes nothing, so that the same requests end alike with and without it.
#[test]
fn asking_a_thousand_times_changes_nothing() {
    for requests in [0, 5, 11, 30] {
        let bench = loaded(requests);
        let before = format!("{:?}", bench.gateway);
        for number in 0..1_000 {
            ask(&bench, ["urgent", "usual", "bulk", "once", "read"][number % 5], at(20));
        }
        assert!(before == format!("{:?}", bench.gateway), "changed after {requests} requests");
    }
}

/// Each target that may not have the request is shown with the reason.
#[test]
fn obstacles_are_named() {
    struct Case {
        name: &'static str,
        requests: u32,
        change: fn(&mut Bench),
        want: [&'static str; 4],
    }
    let cases = [
        Case { name: "idle", requests: 0, change: |_| {}, want: ["", "", "", "other_region"] },
        Case {
            name: "all slots are taken",
            requests: 12,
            change: |_| {},
            want: ["full", "full", "full", "other_region"],
        },
        Case {
            name: "a zone is evacuated",
            requests: 0,
            change: |bench| {
                let read = StorePosition { era: 0, version: 5 };
                let zone = ZoneEntry { zone: "z1".into(), evacuated: true, position: read };
                let report = ZoneReport { read, zones: vec![zone] };
                bench.send(Event::ZonesChanged(report), at(15));
            },
            want: ["evacuated", "evacuated", "evacuated", "other_region"],
        },
        Case {
            name: "an attempt has failed",
            requests: 1,
            change: |bench| bench.end(0, AttemptOutcome::Broken, at(15)),
            want: ["failing", "", "", "other_region"],
        },
    ];
    for case in cases {
        let mut bench = loaded(case.requests);
        (case.change)(&mut bench);
        let targets = ask(&bench, "usual", at(20)).targets;
        let mut found = ["m0", "m1", "m2", "far"].map(|id| {
            let id = TargetId::new(id);
            let target = targets.iter().find(|target| target.target == id).expect("is listed");
            assert_eq!(target.predicted_ms.is_some(), target.obstacle.is_empty(), "{}", case.name);
            target.obstacle.as_str()
        });
        // Which of the near engines had the request is a random choice.
        let mut want = case.want;
        found[..3].sort_unstable();
        want[..3].sort_unstable();
        assert_eq!(found, want, "{}", case.name);
    }
}
