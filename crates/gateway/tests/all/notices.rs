//! Targets that say themselves that they are leaving, or that they want no requests for a while.

use std::time::Duration;

use sesamewind_gateway::targets::TargetChange;
use sesamewind_gateway::{AttemptOutcome, Event, ListedState, ListedTarget, RefusalReason};
use sesamewind_protocol::relay::StorePosition;
use sesamewind_protocol::{Incarnation, InstanceId, Time};

use crate::support::{Bench, PLAIN, at, bench, target};

/// Number of requests that are sent to see whether a target is used.
const PROBES: usize = 12;

/// Returns whether the target is used when requests arrive at `now`. They end at once.
fn is_used(bench: &mut Bench, id: &str, now: Time) -> bool {
    let tickets: Vec<_> = (0..PROBES).map(|_| bench.arrive("read", 0, now)).collect();
    let used = tickets.iter().any(|ticket| {
        bench.dispatch(*ticket).is_some_and(|dispatch| dispatch.target.as_str() == id)
    });
    for ticket in tickets {
        if bench.dispatch(ticket).is_some() {
            bench.end(ticket, AttemptOutcome::Whole, now);
        }
    }
    used
}

/// Sends a request to the target, which is the only one with free slots.
fn send_to(bench: &mut Bench, id: &str, now: Time) -> u64 {
    loop {
        let ticket = bench.arrive("read", 0, now);
        let dispatch = bench.dispatch(ticket).expect("a target has a free slot");
        if dispatch.target.as_str() == id {
            return ticket;
        }
    }
}

fn entry(id: &str, incarnation: u64, state: ListedState) -> ListedTarget {
    ListedTarget { incarnation: Incarnation(incarnation), state, ..target(id, PLAIN, 4) }
}

/// A target that says it is leaving gets nothing more, whatever the list says of this incarnation.
#[test]
fn a_leaving_target_gets_nothing_more() {
    struct Case {
        name: &'static str,
        /// What the list says afterwards.
        listed: Option<ListedTarget>,
        used: bool,
    }
    let moved = || ListedTarget {
        address: "127.0.0.1:9001".parse().expect("an address"),
        ..entry("p0", 1, ListedState::Ready)
    };
    let cases = [
        Case { name: "list unchanged", listed: None, used: false },
        Case {
            name: "listed as ready again",
            listed: Some(entry("p0", 1, ListedState::Ready)),
            used: false,
        },
        Case { name: "listed at another address", listed: Some(moved()), used: false },
        Case {
            name: "next incarnation",
            listed: Some(entry("p0", 2, ListedState::Ready)),
            used: true,
        },
    ];
    for case in cases {
        let mut bench = bench(0, 2);
        assert!(is_used(&mut bench, "p0", at(1)), "{}: used before", case.name);
        let ticket = send_to(&mut bench, "p0", at(10));
        bench.send(Event::TargetLeaving(ticket), at(20));
        bench.end(ticket, AttemptOutcome::Whole, at(20));
        if let Some(listed) = case.listed {
            bench.send(Event::Listed(vec![TargetChange::Listed(listed)]), at(30));
        }
        assert_eq!(is_used(&mut bench, "p0", at(40)), case.used, "{}", case.name);
        assert_eq!(is_used(&mut bench, "p0", at(60_000)), case.used, "{} later", case.name);
    }
}

/// Peers learn at once that a target is leaving, also if no request is there any more, and don't
/// believe a later entry that lists this incarnation as ready.
#[test]
fn peers_learn_of_a_leaving_target() {
    let (mut first, mut second) = (bench(0, 2), bench(0, 2));
    let ticket = send_to(&mut first, "p0", at(10));
    first.send(Event::TargetLeaving(ticket), at(20));
    first.end(ticket, AttemptOutcome::Whole, at(20));
    let mut update = first.gateway.peer_update(
        &InstanceId::new("i2"),
        StorePosition::default(),
        at(0),
        at(2_000),
    );
    update.from = InstanceId::new("i2");
    second.send(Event::PeerUpdate(&update), at(2_000));
    let listed = TargetChange::Listed(entry("p0", 1, ListedState::Ready));
    second.send(Event::Listed(vec![listed]), at(2_100));
    assert!(!is_used(&mut second, "p0", at(2_200)));
}

/// A target whose entry was removed while it could not reach the store, and that registers again
/// as the same incarnation, is used again. An older copy of the store does not bring it back.
#[test]
fn a_removed_target_is_used_again_once_it_registers() {
    struct Case {
        name: &'static str,
        /// Event that lists the target again.
        event: fn(Vec<TargetChange>) -> Event<'static>,
        used: bool,
    }
    let cases = [
        Case { name: "registered again", event: Event::Listed, used: true },
        Case { name: "read with the whole list", event: Event::ListedAll, used: true },
        Case { name: "in an older copy", event: Event::ListedFromCopy, used: false },
    ];
    for case in cases {
        let mut bench = bench(0, 2);
        let removed = TargetChange::Removed(target("p0", PLAIN, 4).id);
        bench.send(Event::Listed(vec![removed]), at(10));
        assert!(!is_used(&mut bench, "p0", at(20)), "{}: removed", case.name);
        let listed = [entry("p0", 1, ListedState::Ready), entry("p1", 1, ListedState::Ready)];
        bench.send((case.event)(listed.map(TargetChange::Listed).to_vec()), at(30));
        assert_eq!(is_used(&mut bench, "p0", at(40)), case.used, "{}", case.name);
        let listed = TargetChange::Listed(entry("p0", 1, ListedState::Ready));
        bench.send(Event::Listed(vec![listed]), at(50));
        assert!(is_used(&mut bench, "p0", at(60)), "{}: registered again", case.name);
    }
}

/// A target that asks for a rest gets nothing from this instance for that time, and is used again
/// right afterwards.
#[test]
fn a_resting_target_gets_nothing_until_the_end_of_its_rest() {
    for rest_ms in [100, 600, 2_000, 9_000] {
        let mut bench = bench(0, 2);
        let ticket = send_to(&mut bench, "p0", at(10));
        bench.send(Event::TargetResting(ticket, Duration::from_millis(rest_ms)), at(20));
        bench.end(ticket, AttemptOutcome::Declined, at(20));
        for now in (21..20 + rest_ms).step_by(37) {
            assert!(!is_used(&mut bench, "p0", at(now)), "rest of {rest_ms} ms, at {now}");
        }
        assert!(is_used(&mut bench, "p0", at(21 + rest_ms)), "after a rest of {rest_ms} ms");
    }
}

/// While all targets rest, a request waits if one of them takes requests again in time. Otherwise
/// it is refused at once, and told to come back when one of them does.
#[test]
fn requests_wait_or_are_refused_while_all_targets_rest() {
    struct Case {
        rest_ms: [u64; 2],
        refused: bool,
    }
    let cases = [
        Case { rest_ms: [100, 5_000], refused: false },
        Case { rest_ms: [400, 5_000], refused: true },
        Case { rest_ms: [3_000, 400], refused: true },
    ];
    for case in cases {
        let mut bench = bench(0, 2);
        for (id, rest_ms) in ["p0", "p1"].into_iter().zip(case.rest_ms) {
            let ticket = send_to(&mut bench, id, at(10));
            bench.send(Event::TargetResting(ticket, Duration::from_millis(rest_ms)), at(20));
            bench.end(ticket, AttemptOutcome::Declined, at(20));
        }
        let ticket = bench.arrive("read", 0, at(20));
        assert!(bench.dispatch(ticket).is_none(), "{:?}", case.rest_ms);
        assert_eq!(bench.reason(ticket), case.refused.then_some(RefusalReason::Full));
        if let Some(refusal) = bench.refusal(ticket) {
            let nearest = Duration::from_millis(case.rest_ms[0].min(case.rest_ms[1]));
            assert!(refusal.retry_after >= nearest, "{:?}", refusal.retry_after);
        } else {
            bench.send(Event::Tick, at(121));
            assert!(bench.dispatch(ticket).is_some(), "it is sent when the rest ends");
        }
    }
}
