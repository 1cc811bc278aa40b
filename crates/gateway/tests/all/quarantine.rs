//! Prompt parts whose answers end targets, at one instance.

use std::time::Duration;

use sesamewind_gateway::targets::TargetChange;
use sesamewind_gateway::{
    AttemptOutcome, Event, NoRetry, PartChange, RefusalReason, Step, Ticket, Tuning,
};
use sesamewind_protocol::relay::{HoldReport, PartReport, RelayUpdate, StorePosition};
use sesamewind_protocol::{InstanceId, PartId, TargetId, Time};

use crate::support::{Bench, MODEL, at, bench, routing, target};

/// Part under test.
const PART: u64 = 0xbad;

/// Milliseconds between two attempts of a test, more than a target's longest backoff.
const STEP_MS: u64 = 4_000;

/// Sends a request with `parts` and breaks its attempt before its answer begins, after `others`
/// other requests were dispatched to the same target.
fn break_one(bench: &mut Bench, parts: &[u64], now: u64) -> Ticket {
    let ticket = bench.arrive_with("usual", 100, parts, at(now));
    let is_sent = bench.dispatch(ticket).is_some();
    if is_sent {
        bench.end(ticket, AttemptOutcome::Broken, at(now + 50));
        bench.send(Event::Tick, at(now + 150));
    }
    ticket
}

fn is_refused(bench: &mut Bench, parts: &[u64], now: u64) -> bool {
    let ticket = bench.arrive_with("usual", 100, parts, at(now));
    let reason = bench.reason(ticket);
    if bench.dispatch(ticket).is_some() {
        bench.send(Event::CallerLeft(ticket), at(now));
    }
    reason == Some(RefusalReason::Quarantined)
}

/// Returns a gateway at which three targets have ended at [`PART`], and the time after that.
fn held() -> (Bench, u64) {
    let mut bench = bench(9, 0);
    for number in 0..3 {
        break_one(&mut bench, &[1 + number, PART], number * STEP_MS + 10);
    }
    (bench, 3 * STEP_MS)
}

#[test]
fn a_part_is_held_once_three_targets_have_ended_at_it() {
    struct Case {
        name: &'static str,
        /// Parts of the requests whose attempts break, in order.
        broken: &'static [&'static [u64]],
        /// Parts of an answer that begins after this many breaks.
        begun: Option<(usize, &'static [u64])>,
        held: bool,
    }
    let cases = [
        Case { name: "two", broken: &[&[1, PART], &[2, PART]], begun: None, held: false },
        Case {
            name: "first",
            broken: &[&[PART, 1], &[PART, 2], &[PART, 3]],
            begun: None,
            held: true,
        },
        Case {
            name: "last",
            broken: &[&[1, PART], &[2, PART], &[3, PART]],
            begun: None,
            held: true,
        },
        Case {
            name: "others between",
            broken: &[&[1, PART], &[2, 3], &[4, PART], &[5], &[6, PART]],
            begun: None,
            held: true,
        },
        Case {
            name: "cleared before",
            broken: &[&[1, PART], &[2, PART], &[3, PART]],
            begun: Some((0, &[7, PART])),
            held: false,
        },
        Case {
            name: "cleared between",
            broken: &[&[1, PART], &[2, PART], &[3, PART]],
            begun: Some((2, &[7, PART, 8])),
            held: false,
        },
        Case {
            name: "another part cleared",
            broken: &[&[1, PART], &[1, PART], &[1, PART]],
            begun: Some((2, &[1])),
            held: true,
        },
    ];
    for case in cases {
        let mut bench = bench(9, 0);
        for (number, parts) in case.broken.iter().enumerate() {
            let now = number as u64 * STEP_MS + 10;
            if let Some((after, parts)) = case.begun
                && after == number
            {
                let ticket = bench.arrive_with("usual", 100, parts, at(now));
                bench.send(Event::Started(ticket), at(now + 50));
                bench.end(ticket, AttemptOutcome::Whole, at(now + 60));
            }
            break_one(&mut bench, parts, now + 100);
        }
        let now = case.broken.len() as u64 * STEP_MS;
        assert_eq!(is_refused(&mut bench, &[9, PART, 10], now), case.held, "{}", case.name);
        assert!(!is_refused(&mut bench, &[9, 10], now), "{}", case.name);
    }
}

#[test]
fn only_ends_of_targets_before_the_first_event_count() {
    struct Case {
        name: &'static str,
        outcome: AttemptOutcome,
        /// Whether the answer begins first.
        begins: bool,
        /// Whether another request goes on at the target.
        survives: bool,
        counts: bool,
    }
    let case =
        |name, outcome, begins, survives, counts| Case { name, outcome, begins, survives, counts };
    let cases = [
        case("alone", AttemptOutcome::Broken, false, false, true),
        case("begun", AttemptOutcome::Broken, true, false, false),
        case("another goes on", AttemptOutcome::Broken, false, true, false),
        case("failing", AttemptOutcome::Failing, false, false, false),
        case("declined", AttemptOutcome::Declined, false, false, false),
        case("unconnected", AttemptOutcome::Unconnected, false, false, false),
        case("expired", AttemptOutcome::Expired, false, false, false),
    ];
    for case in cases {
        let mut bench = bench(1, 0);
        for number in 0..3 {
            let now = number * STEP_MS + 10;
            // Each round has a target of its own.
            let name = format!("t{number}");
            let listed = TargetChange::Listed(target(&name, MODEL, 4));
            bench.send(Event::ListedAll(vec![listed]), at(now));
            let other = bench.arrive_with("usual", 100, &[50 + number], at(now));
            let ticket = bench.arrive_with("usual", 100, &[number, PART], at(now));
            if case.begins {
                bench.send(Event::Started(ticket), at(now + 40));
            }
            if !case.survives {
                bench.end(other, AttemptOutcome::Broken, at(now + 50));
            }
            bench.end(ticket, case.outcome, at(now + 50));
            for later in (60..300).step_by(20) {
                bench.send(Event::Tick, at(now + later));
            }
            bench.send(Event::CallerLeft(ticket), at(now + 310));
            bench.send(Event::CallerLeft(other), at(now + 310));
        }
        let refused = is_refused(&mut bench, &[9, PART], 3 * STEP_MS);
        assert_eq!(refused, case.counts, "{}", case.name);
    }
}

#[test]
fn a_refused_caller_is_told_at_once_that_it_has_not_run_and_to_stay_away() {
    let (mut bench, now) = held();
    let ticket = bench.arrive_with("usual", 100, &[9, PART], at(now));
    let refusal = bench.refusal(ticket).expect("a refusal");
    assert_eq!(refusal.reason, RefusalReason::Quarantined);
    assert!(refusal.retry_after > Duration::from_secs(30), "{:?}", refusal.retry_after);
    let changes = bench.gateway.take_part_changes();
    assert_eq!(changes, [PartChange::Held(PartId(PART), 3)]);
    assert_eq!(bench.gateway.held_parts(), 1);
}

#[test]
fn a_request_that_may_have_ended_two_targets_is_not_sent_to_a_third() {
    let mut routing = routing();
    for route in &mut routing.routes {
        route.attempts = 5;
    }
    let targets = (0..9).map(|n| target(&format!("m{n}"), MODEL, 4)).collect();
    let mut bench = Bench::new(routing, targets, Tuning::default());
    let ticket = bench.arrive_with("urgent", 100, &[1, PART], at(10));
    bench.end(ticket, AttemptOutcome::Broken, at(60));
    assert!(bench.dispatch(ticket).is_some(), "one end may have any cause");
    bench.send(Event::Tick, at(160));
    bench.end(ticket, AttemptOutcome::Broken, at(200));
    let Some(Step::Fail(failure)) = bench.steps.get(&ticket) else {
        panic!("{:?}", bench.steps.get(&ticket));
    };
    assert_eq!(failure.no_retry, NoRetry::Quarantined);
}

#[test]
fn requests_that_wait_are_refused_when_their_part_is_held() {
    let mut bench = bench(4, 0);
    let now = 10;
    let mut sound = Vec::new();
    while sound.last().is_none_or(|ticket| bench.steps.contains_key(ticket)) {
        sound.push(bench.arrive_with("usual", 100, &[100 + sound.len() as u64], at(now)));
    }
    let waiting = bench.arrive_with("usual", 100, &[7, PART], at(now));
    assert!(!bench.steps.contains_key(&waiting), "{:?}", bench.steps.get(&waiting));
    let report = PartReport {
        part: PartId(PART),
        targets: vec![1, 2, 3],
        begun: None,
        hold: Some(HoldReport { round: 0, left: Duration::from_secs(60) }),
    };
    let update = update(vec![report]);
    bench.send(Event::PeerUpdate(&update), at(now + 10));
    assert_eq!(bench.reason(waiting), Some(RefusalReason::Quarantined));
    assert!(sound.iter().all(|ticket| bench.refusal(*ticket).is_none()));
}

fn update(parts: Vec<PartReport>) -> RelayUpdate {
    let mut other = bench(0, 0);
    let to = InstanceId::new("i1");
    let update =
        other.gateway.peer_update(&to, StorePosition::default(), Time::ZERO, Time::from_millis(1));
    RelayUpdate { from: InstanceId::new("i0"), parts, ..update }
}

#[test]
fn an_answer_to_a_trial_releases_a_held_part() {
    for failed in 0..2 {
        let (mut bench, mut now) = held();
        let mut trials = 0;
        while trials <= failed {
            now += 1_000;
            bench.send(Event::Tick, at(now));
            let ticket = bench.arrive_with("usual", 100, &[9, PART], at(now));
            if bench.dispatch(ticket).is_none() {
                continue;
            }
            if trials == failed {
                bench.send(Event::Started(ticket), at(now + 50));
                bench.end(ticket, AttemptOutcome::Whole, at(now + 60));
            } else {
                bench.end(ticket, AttemptOutcome::Broken, at(now + 50));
            }
            trials += 1;
        }
        assert!(!is_refused(&mut bench, &[9, PART], now + 100), "after {failed} failed trials");
        assert_eq!(bench.gateway.held_parts(), 0);
    }
}

/// A request that crashes each target that runs it reaches three more targets at most, for good.
#[test]
fn a_held_part_is_tried_at_most_three_times_in_a_day() {
    let (mut bench, start) = held();
    let mut tried = Vec::new();
    for now in (start..start + 86_400_000).step_by(10_000) {
        bench.send(Event::Tick, at(now));
        let ticket = bench.arrive_with("usual", 100, &[9, PART], at(now));
        if bench.dispatch(ticket).is_some() {
            tried.push(now / 1_000);
            bench.end(ticket, AttemptOutcome::Broken, at(now + 50));
            bench.send(Event::Tick, at(now + 150));
        }
    }
    assert!((1..=3).contains(&tried.len()), "{tried:?}");
    assert!(tried.windows(2).all(|pair| pair[1] - pair[0] >= 60), "{tried:?}");
}

/// Each side of a cut would try it.
#[test]
fn a_held_part_is_not_tried_while_a_peer_is_silent() {
    let (mut bench, start) = held();
    let from = InstanceId::new("i2");
    let mut silent = update(Vec::new());
    silent.from = from;
    bench.send(Event::PeerUpdate(&silent), at(start));
    for now in (start..start + 300_000).step_by(1_000) {
        bench.send(Event::Tick, at(now));
        assert!(is_refused(&mut bench, &[9, PART], now), "at {now}");
    }
}

#[test]
fn only_the_first_instance_tries_a_held_part() {
    let (mut bench, now) = held();
    for now in (now..now + 200_000).step_by(500) {
        let update = RelayUpdate { sequence: now, ..update(Vec::new()) };
        bench.send(Event::PeerUpdate(&update), at(now));
        assert!(is_refused(&mut bench, &[9, PART], now), "at {now}");
    }
}

/// Callers may invent parts.
#[test]
fn the_memory_for_parts_is_bounded_and_keeps_those_that_are_held() {
    let (mut bench, mut now) = held();
    for number in 0..2_000_u64 {
        let parts: Vec<u64> = (0..50).map(|n| 0x1_0000 + number * 50 + n).collect();
        let id = format!("x{number}");
        let listed = TargetChange::Listed(target(&id, MODEL, 4));
        bench.send(Event::Listed(vec![listed]), at(now));
        break_one(&mut bench, &parts, now);
        bench.send(Event::Listed(vec![TargetChange::Removed(TargetId::new(id))]), at(now + 1));
        now += 10;
    }
    assert!(is_refused(&mut bench, &[9, PART], now));
    let to = InstanceId::new("i2");
    let update = bench.gateway.peer_update(&to, StorePosition::default(), Time::ZERO, at(now));
    assert!(update.parts.len() <= 64, "{}", update.parts.len());
    assert!(update.parts.iter().any(|report| report.part == PartId(PART)));
}
