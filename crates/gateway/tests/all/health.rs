//! Targets that fail, leave or are listed again.

use sesamewind_gateway::targets::TargetChange;
use sesamewind_gateway::{AttemptOutcome, Event, ListedState, RefusalReason};
use sesamewind_protocol::relay::{LeavingEntry, RelayUpdate, StorePosition};
use sesamewind_protocol::{Incarnation, InstanceId, Revision, TargetId};

use crate::support::{MODEL, at, bench, target};

/// Returns an empty update of a peer in `zone`.
fn update(zone: &str) -> RelayUpdate {
    RelayUpdate {
        from: InstanceId::new("i2"),
        incarnation: Incarnation(1),
        zone: zone.into(),
        address: String::new(),
        sequence: 1,
        revision: Revision(1),
        list_position: StorePosition { era: 0, version: 1 },
        store_age: std::time::Duration::ZERO,
        joining: false,
        loads: Vec::new(),
        totals: Vec::new(),
        leaving: Vec::new(),
        failing: Vec::new(),
        rollouts: Vec::new(),
        unheard: Vec::new(),
        relayed: Vec::new(),
        parts: Vec::new(),
        limits: Vec::new(),
        cold: Vec::new(),
        brittle: Vec::new(),
        stopping: false,
        config_position: StorePosition::default(),
        evacuations: Default::default(),
        reach: None,
    }
}

/// A target at which a peer of the same availability zone has just failed is not used by this
/// instance either. Warnings from other zones are ignored, since a peer there may have no
/// connection to targets that this instance can reach.
#[test]
fn a_peers_warning_keeps_requests_from_a_failing_target() {
    struct Case {
        zone: &'static str,
        /// Whether the target responded to this instance just before the warning.
        answered: bool,
        /// Time from the warning to the request, in milliseconds.
        after: u64,
        avoided: bool,
    }
    let cases = [
        Case { zone: "z1", answered: false, after: 1, avoided: true },
        Case { zone: "z1", answered: false, after: 400, avoided: false },
        Case { zone: "z1", answered: true, after: 1, avoided: false },
        Case { zone: "z2", answered: false, after: 1, avoided: false },
    ];
    for case in cases {
        let mut bench = bench(2, 0);
        if case.answered {
            let both: Vec<_> = (0..8).map(|_| bench.arrive("usual", 100, at(1))).collect();
            for ticket in both {
                bench.end(ticket, AttemptOutcome::Whole, at(10));
            }
        }
        let failing = vec![TargetId::new("m0")];
        bench.send(Event::PeerUpdate(&RelayUpdate { failing, ..update(case.zone) }), at(10));
        // Each target has four slots, so the last four requests need the second target.
        let tickets: Vec<_> =
            (0..8).map(|_| bench.arrive("usual", 100, at(10 + case.after))).collect();
        let sent = tickets.iter().filter(|ticket| bench.dispatch(**ticket).is_some()).count();
        assert_eq!(sent == 4, case.avoided, "{} {}: {sent}", case.zone, case.after);
    }
}

#[test]
fn a_crashed_target_is_not_used_even_if_all_others_are_full() {
    let mut bench = bench(2, 0);
    let mut lost = None;
    for n in 0..8 {
        let ticket = bench.arrive("usual", 100, at(10));
        let dispatch = bench.dispatch(ticket).expect("a free slot");
        if dispatch.target.as_str() == "m0" && lost.is_none() {
            lost = Some(ticket);
        }
        assert!(n < 8);
    }
    bench.end(lost.expect("both were used"), AttemptOutcome::Unconnected, at(20));
    let waiting = bench.arrive("usual", 100, at(21));
    assert!(bench.dispatch(waiting).is_none(), "{:?}", bench.dispatch(waiting));
    // After the backoff, one request probes whether the target has recovered.
    bench.send(Event::Tick, at(300));
    let probe = bench.dispatch(waiting);
    assert!(probe.is_none() || probe.expect("checked").target.as_str() == "m0");
}

#[test]
fn a_leaving_target_gets_no_new_work() {
    struct Case {
        name: &'static str,
        retire: fn(&mut crate::support::Bench),
    }
    let cases = [
        Case {
            name: "listed as leaving",
            retire: |bench| {
                let mut leaving = target("m0", MODEL, 4);
                leaving.state = ListedState::Leaving;
                bench.send(Event::Listed(vec![TargetChange::Listed(leaving)]), at(20));
            },
        },
        Case {
            name: "listed as leaving and as ready again",
            retire: |bench| {
                let mut leaving = target("m0", MODEL, 4);
                leaving.state = ListedState::Leaving;
                bench.send(Event::Listed(vec![TargetChange::Listed(leaving)]), at(20));
                let ready = target("m0", MODEL, 4);
                bench.send(Event::Listed(vec![TargetChange::Listed(ready)]), at(21));
            },
        },
        Case {
            name: "removed",
            retire: |bench| {
                let removed = TargetChange::Removed(TargetId::new("m0"));
                bench.send(Event::Listed(vec![removed]), at(20));
            },
        },
        Case {
            name: "not in the whole list",
            retire: |bench| bench.send(Event::ListedAll(Vec::new()), at(20)),
        },
        Case {
            name: "another target has its address",
            retire: |bench| {
                let ticket = bench.arrive("usual", 100, at(15));
                bench.end(ticket, AttemptOutcome::Replaced, at(20));
            },
        },
        Case {
            name: "a peer says so",
            retire: |bench| {
                let update = RelayUpdate {
                    leaving: vec![LeavingEntry {
                        target: TargetId::new("m0"),
                        incarnation: Incarnation(1),
                    }],
                    ..update("z1")
                };
                bench.send(Event::PeerUpdate(&update), at(20));
            },
        },
    ];
    for case in cases {
        let mut bench = bench(1, 0);
        (case.retire)(&mut bench);
        let ticket = bench.arrive("usual", 100, at(30));
        assert!(bench.dispatch(ticket).is_none(), "{}", case.name);
        bench.send(Event::Tick, at(600));
        assert_eq!(bench.reason(ticket), Some(RefusalReason::NoTarget), "{}", case.name);
    }
}

/// Entries that expired during a list outage are listed again soon after it. Until then their
/// targets remain usable; targets that stay missing are no longer used.
#[test]
fn targets_removed_after_a_list_outage_stay_usable_for_a_while() {
    struct Case {
        name: &'static str,
        lost: bool,
        asked: u64,
        served: bool,
    }
    let cases = [
        Case { name: "list was there", lost: false, asked: 1_020, served: false },
        Case { name: "just back", lost: true, asked: 1_020, served: true },
        Case { name: "back for long", lost: true, asked: 4_000, served: false },
        // The removal is final: the drain bound of 2 s counts from the removal.
        Case { name: "near the drain bound", lost: true, asked: 2_700, served: false },
    ];
    for case in cases {
        let mut bench = bench(1, 0);
        if case.lost {
            bench.send(Event::ListLost, at(500));
            bench.send(Event::ListRestored, at(1_000));
        }
        bench.send(Event::Listed(vec![TargetChange::Removed(TargetId::new("m0"))]), at(1_010));
        let ticket = bench.arrive("usual", 100, at(case.asked));
        assert_eq!(bench.dispatch(ticket).is_some(), case.served, "{}", case.name);
    }
}

/// A target that restarts under its name is a new target, and the leaving state of its earlier
/// incarnation does not apply to it.
#[test]
fn a_later_incarnation_under_the_same_name_takes_work() {
    let mut bench = bench(1, 0);
    let mut leaving = target("m0", MODEL, 4);
    leaving.state = ListedState::Leaving;
    bench.send(Event::Listed(vec![TargetChange::Listed(leaving.clone())]), at(20));
    let mut again = target("m0", MODEL, 4);
    again.incarnation = Incarnation(2);
    bench.send(Event::Listed(vec![TargetChange::Listed(again)]), at(30));
    let ticket = bench.arrive("usual", 100, at(40));
    assert!(bench.dispatch(ticket).is_some());
    // A delayed entry of the earlier incarnation has no effect.
    bench.send(Event::Listed(vec![TargetChange::Listed(leaving)]), at(50));
    let ticket = bench.arrive("usual", 100, at(60));
    assert!(bench.dispatch(ticket).is_some());
}
