//! Times in which the instance itself did not run.

use std::time::Duration;

use sesamewind_gateway::rollouts::RolloutOrder;
use sesamewind_gateway::{AttemptOutcome, Event, Gateway, Ticket, Tuning};
use sesamewind_protocol::relay::{RelayUpdate, TargetLoad};
use sesamewind_protocol::{ServiceId, Time, VersionId};

use crate::support::{Bench, MODEL, at, bench, identity};

/// Returns a gateway whose only target has no free slot, with the tickets there, and a request that
/// waits since `at(100)`. Its wait ends at `at(550)`, its deadline is `at(12_100)`.
fn full() -> (Bench, Vec<Ticket>, Ticket) {
    let mut bench = bench(1, 0);
    let running: Vec<_> = (0..4).map(|_| bench.arrive("urgent", 100, at(10))).collect();
    assert!(running.iter().all(|ticket| bench.dispatch(*ticket).is_some()));
    let waiting = bench.arrive("urgent", 100, at(100));
    assert!(bench.dispatch(waiting).is_none());
    (bench, running, waiting)
}

fn stall(bench: &mut Bench, start: u64, end: u64) {
    bench.send(Event::Stalled(Duration::from_millis(end - start)), at(end));
    bench.send(Event::Tick, at(end));
}

/// Guards against refusing a request after a stall, though an answer that has arrived meanwhile
/// leaves it a slot.
#[test]
fn answers_that_arrived_during_a_stall_are_read_before_requests_are_refused() {
    struct Case {
        name: &'static str,
        /// Starts and ends of stalls.
        stalls: &'static [(u64, u64)],
        /// Last tick before an answer is read.
        tick: u64,
        refused: bool,
    }
    let cases = [
        Case { name: "no stall", stalls: &[], tick: 560, refused: true },
        Case { name: "right after a stall", stalls: &[(300, 1_500)], tick: 1_500, refused: false },
        Case { name: "a while after", stalls: &[(300, 1_500)], tick: 1_740, refused: false },
        Case { name: "no answer", stalls: &[(300, 1_500)], tick: 1_760, refused: true },
        Case { name: "deadline has passed", stalls: &[(300, 12_200)], tick: 12_200, refused: true },
        Case {
            name: "a stall after another",
            stalls: &[(120, 320), (400, 1_500)],
            tick: 1_500,
            refused: false,
        },
        Case {
            name: "stalls all the time",
            stalls: &[(300, 500), (600, 800), (900, 1_100)],
            tick: 1_100,
            refused: true,
        },
    ];
    for case in cases {
        let (mut bench, running, waiting) = full();
        for (start, end) in case.stalls {
            stall(&mut bench, *start, *end);
        }
        bench.send(Event::Tick, at(case.tick));
        assert_eq!(bench.refusal(waiting).is_some(), case.refused, "{}", case.name);
        bench.end(running[0], AttemptOutcome::Whole, at(case.tick));
        assert_eq!(bench.dispatch(waiting).is_some(), !case.refused, "{}", case.name);
    }
}

/// Guards against refusing requests that have arrived during a stall because the queue is too long
/// until the answers that have arrived with them are read.
#[test]
fn answers_that_arrived_during_a_stall_are_read_before_the_queue_is_shortened() {
    struct Case {
        name: &'static str,
        stalled: bool,
        refused: bool,
    }
    let cases = [
        Case { name: "no stall", stalled: false, refused: true },
        Case { name: "stall", stalled: true, refused: false },
    ];
    for case in cases {
        let (mut bench, running, _) = full();
        if case.stalled {
            stall(&mut bench, 100, 400);
        }
        let arrived: Vec<_> = (0..40).map(|_| bench.arrive("urgent", 100, at(400))).collect();
        let is_refused = arrived.iter().any(|ticket| bench.refusal(*ticket).is_some());
        assert_eq!(is_refused, case.refused, "{}", case.name);
        for ticket in running {
            bench.end(ticket, AttemptOutcome::Whole, at(410));
        }
        bench.arrive("urgent", 100, at(700));
        let is_refused = arrived.iter().any(|ticket| bench.refusal(*ticket).is_some());
        assert!(is_refused, "{}: the queue is shortened later", case.name);
    }
}

/// Returns an update of a peer with four requests at the first target, which fill it.
fn peer_update(now: Time) -> RelayUpdate {
    let me = identity("i2", "z1");
    let mut peer = Gateway::new(me, Tuning::default(), 8);
    let mut update = peer.peer_update(&"i1".into(), Default::default(), now, now);
    update.loads =
        vec![TargetLoad { target: "m0".into(), requests: 4, prefill: 400, pause: 0, streams: 0 }];
    update
}

/// Guards against sending requests to targets that peers have filled, since their updates were not
/// read during a stall.
#[test]
fn the_load_of_peers_is_remembered_after_a_stall() {
    struct Case {
        name: &'static str,
        stalls: &'static [(u64, u64)],
        tick: u64,
        remembered: bool,
    }
    let cases = [
        Case { name: "just seen", stalls: &[], tick: 1_400, remembered: true },
        Case { name: "silent", stalls: &[], tick: 1_600, remembered: false },
        Case { name: "stall", stalls: &[(100, 2_000)], tick: 2_000, remembered: true },
        Case { name: "long stall", stalls: &[(100, 30_000)], tick: 30_000, remembered: true },
        Case { name: "silent after it", stalls: &[(100, 2_000)], tick: 3_500, remembered: false },
        Case {
            name: "several stalls",
            stalls: &[(100, 1_300), (1_400, 2_600)],
            tick: 2_600,
            remembered: true,
        },
    ];
    for case in cases {
        let mut bench = bench(1, 0);
        bench.send(Event::PeerUpdate(&peer_update(at(0))), at(0));
        for (start, end) in case.stalls {
            stall(&mut bench, *start, *end);
        }
        bench.send(Event::Tick, at(case.tick));
        let ticket = bench.arrive("urgent", 100, at(case.tick));
        assert_eq!(bench.dispatch(ticket).is_none(), case.remembered, "{}", case.name);
    }
}

/// Guards against taking a stall of the instance for time that a target took.
#[test]
fn a_stall_that_has_just_ended_is_not_counted_against_a_target() {
    struct Case {
        name: &'static str,
        from: u64,
        now: u64,
        millis: u64,
    }
    // A stall from 1,000 to 1,600.
    let cases = [
        Case { name: "before it", from: 500, now: 900, millis: 400 },
        Case { name: "read at its end", from: 900, now: 1_600, millis: 100 },
        Case { name: "read soon after", from: 900, now: 1_700, millis: 200 },
        Case { name: "within its tick", from: 1_000, now: 1_600, millis: 0 },
        Case { name: "read later", from: 900, now: 1_900, millis: 1_000 },
        Case { name: "sent after it", from: 1_610, now: 1_700, millis: 90 },
    ];
    for Case { name, from, now, millis } in cases {
        let mut bench = bench(1, 0);
        if now >= 1_600 {
            stall(&mut bench, 1_000, 1_600);
        }
        let elapsed = bench.gateway.elapsed(at(from), at(now));
        assert_eq!(elapsed, Duration::from_millis(millis), "{name}");
    }
}

/// Guards against evidence of a slow version, or a slow target, that a stall of the instance makes.
#[test]
fn a_stall_is_no_evidence_of_a_slow_first_byte() {
    let logs = [false, true].map(|stalled| {
        let mut bench = bench(1, 0);
        let (service, version) = (ServiceId::new(MODEL), VersionId::new("v2"));
        let duration = Duration::from_millis(12_000);
        bench.send(Event::RolloutOrdered(RolloutOrder { service, version, duration }), at(500));
        let sent: Vec<_> = (0..4).map(|_| bench.arrive("urgent", 100, at(1_000))).collect();
        let read = if stalled { 2_300 } else { 1_100 };
        if stalled {
            stall(&mut bench, 1_050, 2_250);
        }
        for ticket in sent {
            bench.send(Event::Started(ticket), at(read));
            bench.end(ticket, AttemptOutcome::Whole, at(read));
        }
        bench.gateway.evaluate_rollouts(at(4_000));
        let update = bench.gateway.peer_update(&"i2".into(), Default::default(), at(0), at(4_000));
        let times = update.rollouts[0].counts.latency.old;
        assert_eq!(times.intervals, 1, "stalled: {stalled}");
        times.logs
    });
    assert_eq!(logs[0], logs[1]);
}
