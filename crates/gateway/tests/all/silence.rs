//! Targets that make no progress for a while: which requests move, and which wait.

use sesamewind_gateway::targets::TargetChange;
use sesamewind_gateway::{AttemptOutcome, Event, Step, Ticket, Tuning};
use sesamewind_protocol::{TargetId, Time};

use crate::support::{Bench, MODEL, at, bench, routing, target};

/// Asks the gateway about a silent target; returns the target that the request moves to, if any.
fn ask(bench: &mut Bench, ticket: Ticket, now: Time) -> Option<String> {
    bench.steps.remove(&ticket);
    bench.send(Event::Silent(ticket), now);
    match bench.steps.get(&ticket).expect("the gateway always returns a step") {
        Step::Wait => None,
        Step::Dispatch(dispatch) => Some(dispatch.target.as_str().to_owned()),
        step => panic!("{step:?} after silence"),
    }
}

/// Returns the target of the request's attempt.
fn target_of(bench: &Bench, ticket: Ticket) -> String {
    bench.dispatch(ticket).expect("an attempt").target.as_str().to_owned()
}

/// Sends requests until each of the four slots of both targets has one. Returns those at the first
/// target of `ticket`, and those at the other one.
fn fill(bench: &mut Bench, ticket: Ticket) -> (Vec<Ticket>, Vec<Ticket>) {
    let own = target_of(bench, ticket);
    let tickets: Vec<_> = (0..7).map(|_| bench.arrive("urgent", 100, at(10))).collect();
    tickets.into_iter().partition(|ticket| target_of(bench, *ticket) == own)
}

/// Guards against ending an attempt at a silent target though no other target can take the request.
#[test]
fn a_request_leaves_a_silent_target_only_for_one_that_takes_it_at_once() {
    struct Case {
        name: &'static str,
        route: &'static str,
        targets: u32,
        extra: f64,
        prepare: fn(&mut Bench, Ticket),
        asked: u64,
        moves: bool,
    }
    const CASE: Case = Case {
        name: "another target is free",
        route: "urgent",
        targets: 2,
        extra: 50.0,
        prepare: |_, _| {},
        asked: 1_010,
        moves: true,
    };
    let cases = [
        CASE,
        Case {
            name: "started",
            prepare: |bench, ticket| bench.send(Event::Started(ticket), at(50)),
            ..CASE
        },
        Case { name: "only target", targets: 1, moves: false, ..CASE },
        Case { name: "runs once", route: "usual", moves: false, ..CASE },
        Case { name: "budget used up", extra: 0.0, moves: false, ..CASE },
        Case { name: "deadline has passed", asked: 12_011, moves: false, ..CASE },
        Case {
            name: "attempts used up",
            targets: 3,
            prepare: |bench, ticket| assert!(ask(bench, ticket, at(20)).is_some()),
            moves: false,
            ..CASE
        },
        Case {
            name: "no free slot",
            prepare: |bench, ticket| assert_eq!(fill(bench, ticket).1.len(), 4),
            moves: false,
            ..CASE
        },
        Case {
            name: "the other target is silent too",
            prepare: |bench, ticket| {
                let (_, others) = fill(bench, ticket);
                bench.send(Event::Silent(others[0]), at(900));
                for other in &others[1..] {
                    bench.send(Event::CallerLeft(*other), at(950));
                }
            },
            moves: false,
            ..CASE
        },
        Case {
            name: "the other target fails",
            prepare: |bench, ticket| {
                let (_, others) = fill(bench, ticket);
                for other in others {
                    bench.end(other, AttemptOutcome::Broken, at(100));
                    bench.send(Event::CallerLeft(other), at(110));
                }
            },
            moves: false,
            ..CASE
        },
        Case {
            name: "the other target has left",
            prepare: |bench, ticket| {
                let other = if target_of(bench, ticket) == "m0" { "m1" } else { "m0" };
                let removed = TargetChange::Removed(TargetId::new(other));
                bench.send(Event::Listed(vec![removed]), at(100));
            },
            moves: false,
            ..CASE
        },
    ];
    for case in cases {
        let targets = (0..case.targets).map(|n| target(&format!("m{n}"), MODEL, 4)).collect();
        let tuning = Tuning { retry_ratio: 0.0, retry_extra: case.extra, ..Tuning::default() };
        let mut routing = routing();
        for route in &mut routing.routes {
            route.attempts = 2;
        }
        let mut bench = Bench::new(routing, targets, tuning);
        let ticket = bench.arrive(case.route, 100, at(10));
        let first = target_of(&bench, ticket);
        (case.prepare)(&mut bench, ticket);
        let next = ask(&mut bench, ticket, at(case.asked));
        assert_eq!(next.is_some(), case.moves, "{}", case.name);
        assert_ne!(next, Some(first), "{}", case.name);
        if next.is_none() {
            bench.end(ticket, AttemptOutcome::Whole, at(case.asked + 500));
            assert!(!bench.steps.contains_key(&ticket), "{}", case.name);
        }
    }
}

/// Guards against a wait that keeps a stream at a dead target though a slot becomes free elsewhere,
/// and against charging the budget for questions.
#[test]
fn a_request_that_waits_moves_as_soon_as_another_target_has_a_slot() {
    let targets = (0..2).map(|n| target(&format!("m{n}"), MODEL, 4)).collect();
    let tuning = Tuning { retry_ratio: 0.0, retry_extra: 2.0, ..Tuning::default() };
    let mut bench = Bench::new(routing(), targets, tuning);
    let ticket = bench.arrive("urgent", 100, at(10));
    let (_, others) = fill(&mut bench, ticket);
    let other = target_of(&bench, others[0]);
    for now in [1_010, 1_210, 1_410] {
        assert_eq!(ask(&mut bench, ticket, at(now)), None);
    }
    bench.end(others[0], AttemptOutcome::Whole, at(1_500));
    assert_eq!(ask(&mut bench, ticket, at(1_610)), Some(other));
}

/// Guards against sending more to a target whose slots are held by attempts that wait.
#[test]
fn an_attempt_that_waits_keeps_its_slot() {
    let mut bench = bench(1, 0);
    let tickets: Vec<_> = (0..4).map(|_| bench.arrive("urgent", 100, at(10))).collect();
    for ticket in &tickets {
        assert_eq!(ask(&mut bench, *ticket, at(1_010)), None);
    }
    let late = bench.arrive("urgent", 100, at(2_000));
    assert!(bench.dispatch(late).is_none());
    bench.end(tickets[0], AttemptOutcome::Whole, at(2_100));
    assert!(bench.dispatch(late).is_some());
}

/// Guards against avoiding a target for as long as one of its attempts waits.
#[test]
fn a_silent_target_is_avoided_until_its_backoff_or_its_silence_ends() {
    struct Case {
        name: &'static str,
        progress: bool,
        asked: u64,
        used: bool,
    }
    let cases = [
        Case { name: "silent", progress: false, asked: 1_100, used: false },
        Case { name: "backoff has ended", progress: false, asked: 1_300, used: true },
        Case { name: "progress", progress: true, asked: 1_100, used: true },
    ];
    for case in cases {
        let mut bench = bench(2, 0);
        let ticket = bench.arrive("usual", 100, at(10));
        let silent = target_of(&bench, ticket);
        assert_eq!(ask(&mut bench, ticket, at(1_010)), None, "{}", case.name);
        if case.progress {
            bench.send(Event::SilenceEnded(ticket), at(1_050));
        }
        let sent = (0..5).map(|_| bench.arrive("usual", 100, at(case.asked)));
        let sent: Vec<_> = sent.collect();
        let used = sent.iter().filter_map(|ticket| bench.dispatch(*ticket));
        let used = used.filter(|dispatch| dispatch.target.as_str() == silent).count() > 0;
        assert_eq!(used, case.used, "{}", case.name);
    }
}

/// Guards against ending a stream because the target that it moved to did not run it.
#[test]
fn a_moved_stream_that_is_declined_is_sent_again_until_its_deadline() {
    struct Case {
        outcome: AttemptOutcome,
        extra: f64,
    }
    let cases = [
        Case { outcome: AttemptOutcome::Declined, extra: 50.0 },
        Case { outcome: AttemptOutcome::Unconnected, extra: 50.0 },
        // The first move uses up the budget, which is free again after its window.
        Case { outcome: AttemptOutcome::Declined, extra: 2.0 },
    ];
    for case in cases {
        let targets = (0..2).map(|n| target(&format!("m{n}"), MODEL, 4)).collect();
        let tuning = Tuning {
            retry_ratio: 0.0,
            retry_extra: case.extra,
            retry_window: std::time::Duration::from_secs(3),
            ..Tuning::default()
        };
        let mut bench = Bench::new(routing(), targets, tuning);
        let ticket = bench.arrive("urgent", 100, at(10));
        bench.send(Event::Started(ticket), at(50));
        assert!(ask(&mut bench, ticket, at(1_010)).is_some());
        bench.end(ticket, case.outcome, at(1_020));
        let mut now = 1_020;
        while !bench.steps.contains_key(&ticket) && now < 12_000 {
            now += 20;
            bench.send(Event::Tick, at(now));
        }
        let dispatch = bench.dispatch(ticket);
        let attempt = dispatch.map(|dispatch| dispatch.attempt);
        assert_eq!(attempt, Some(3), "{:?} {}: {:?}", case.outcome, case.extra, bench.steps);
    }
}

/// Guards against ending a moved stream because several targets in a row did not run it.
#[test]
fn a_moved_stream_that_is_declined_by_many_targets_is_not_ended() {
    let targets = (0..9).map(|n| target(&format!("m{n}"), MODEL, 4)).collect();
    let mut bench = Bench::new(routing(), targets, Tuning::default());
    let ticket = bench.arrive("urgent", 100, at(10));
    bench.send(Event::Started(ticket), at(50));
    assert!(ask(&mut bench, ticket, at(1_010)).is_some());
    for now in (1_020..3_000).step_by(20) {
        if bench.dispatch(ticket).is_some() {
            bench.end(ticket, AttemptOutcome::Declined, at(now));
        }
        bench.send(Event::Tick, at(now + 10));
        let step = bench.steps.get(&ticket);
        assert!(!matches!(step, Some(Step::Fail(_) | Step::Refuse(_))), "{now}: {step:?}");
    }
}

/// Guards against ending a moved stream with the requests that are refused because all targets rest.
#[test]
fn a_moved_stream_waits_while_all_targets_rest() {
    let targets = (0..2).map(|n| target(&format!("m{n}"), MODEL, 4)).collect();
    let mut bench = Bench::new(routing(), targets, Tuning::default());
    let ticket = bench.arrive("urgent", 100, at(10));
    let (same, others) = fill(&mut bench, ticket);
    bench.send(Event::CallerLeft(others[0]), at(20));
    bench.send(Event::Started(ticket), at(50));
    assert!(ask(&mut bench, ticket, at(1_010)).is_some());
    let rest = std::time::Duration::from_secs(3);
    bench.send(Event::TargetResting(ticket, rest), at(1_020));
    bench.send(Event::TargetResting(same[0], rest), at(1_020));
    bench.steps.remove(&ticket);
    bench.end(ticket, AttemptOutcome::Declined, at(1_020));
    for now in (1_030..3_500).step_by(20) {
        bench.arrive("usual", 100, at(now));
        bench.send(Event::Tick, at(now));
        let step = bench.steps.get(&ticket);
        assert!(!matches!(step, Some(Step::Fail(_) | Step::Refuse(_))), "{now}: {step:?}");
    }
}
