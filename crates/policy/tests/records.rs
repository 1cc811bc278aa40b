//! Request records: results of resends, delayed first attempts and refusals.

mod support;

use std::time::Duration;

use sesamewind_policy::{Action, Arrival, AttemptOutcome, Event};
use sesamewind_protocol::record::{RecordsCopy, RecordsRequest};
use sesamewind_protocol::{Code, RunState};

use support::bus::{Bus, three_instances};
use support::{arrival, at, config, instance, scheduler, step};

fn attempt(bus: &Bus, ticket: u64, number: Option<u32>) -> Arrival {
    let mut arrival = arrival(ticket, 1, bus.now);
    arrival.attempt = number;
    arrival
}

/// Result of an attempt.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Dispatched,
    Attached(&'static str),
    AttachedLocal,
    Ended(Code, RunState),
}

fn outcome(bus: &Bus, name: &str, ticket: u64) -> Option<Outcome> {
    bus.actions.iter().filter(|(from, _)| from == name).find_map(|(_, action)| match action {
        Action::Dispatch { ticket: of, .. } if *of == ticket => Some(Outcome::Dispatched),
        Action::Attach { ticket: of, holder } if *of == ticket => {
            let names = ["a", "b", "c"];
            names.into_iter().find(|name| holder.as_str() == *name).map(Outcome::Attached)
        }
        Action::AttachLocal { ticket: of, .. } if *of == ticket => Some(Outcome::AttachedLocal),
        Action::Refuse(refusal) | Action::Cancel { refusal, .. } if refusal.ticket() == ticket => {
            Some(Outcome::Ended(refusal.code(), refusal.run()))
        }
        _ => None,
    })
}

struct ResendCase {
    name: &'static str,
    /// Events between the first attempt, ticket 1 at `a`, and the resend, ticket 2.
    before: fn(&mut Bus),
    to: &'static str,
    number: Option<u32>,
    want: Outcome,
}

fn first_attempt(bus: &mut Bus) {
    bus.call("a", attempt(bus, 1, Some(0)));
    bus.write("a", 1);
}

fn end(bus: &mut Bus, end: AttemptOutcome) {
    first_attempt(bus);
    bus.event("a", Event::Finished { ticket: 1, end });
}

fn kill(bus: &mut Bus, name: &str) {
    bus.nodes.remove(name);
    bus.partitioned.insert(name.to_owned());
}

#[test]
fn resends() {
    const UNKNOWN: Outcome = Outcome::Ended(Code::EarlierAttempt, RunState::Unknown);
    let cases = [
        ResendCase {
            name: "nobody saw the first attempt",
            before: |_| {},
            to: "b",
            number: Some(1),
            want: Outcome::Dispatched,
        },
        ResendCase {
            name: "the holder streams",
            before: first_attempt,
            to: "b",
            number: Some(1),
            want: Outcome::Attached("a"),
        },
        ResendCase {
            name: "no attempt declared",
            before: first_attempt,
            to: "b",
            number: None,
            want: Outcome::Attached("a"),
        },
        ResendCase {
            name: "same instance",
            before: first_attempt,
            to: "a",
            number: Some(1),
            want: Outcome::AttachedLocal,
        },
        ResendCase {
            name: "answer lost in transit to the caller",
            before: |bus| end(bus, AttemptOutcome::Complete),
            to: "b",
            number: Some(1),
            want: Outcome::Attached("a"),
        },
        ResendCase {
            name: "answer no longer kept",
            before: |bus| {
                end(bus, AttemptOutcome::Complete);
                bus.advance(40_000);
            },
            to: "b",
            number: Some(1),
            want: Outcome::Ended(Code::AlreadyRan, RunState::Ran),
        },
        ResendCase {
            name: "first attempt failed at the target",
            before: |bus| end(bus, AttemptOutcome::Failed),
            to: "b",
            number: Some(1),
            want: Outcome::Ended(Code::AlreadyRan, RunState::Ran),
        },
        ResendCase {
            name: "first attempt of unknown outcome",
            before: |bus| {
                bus.call("a", attempt(bus, 1, Some(0)));
                bus.event("a", Event::WriteCheck { ticket: 1 });
                bus.event(
                    "a",
                    Event::Finished { ticket: 1, end: AttemptOutcome::Broken { sent: true } },
                );
            },
            to: "b",
            number: Some(1),
            want: UNKNOWN,
        },
        ResendCase {
            name: "first attempt refused before it ran",
            before: |bus| {
                let mut late = attempt(bus, 1, Some(0));
                late.first_token_by = bus.now;
                bus.call("a", late);
            },
            to: "b",
            number: Some(1),
            want: Outcome::Dispatched,
        },
        ResendCase {
            name: "holder killed",
            before: |bus| {
                first_attempt(bus);
                kill(bus, "a");
            },
            to: "b",
            number: Some(1),
            want: UNKNOWN,
        },
        ResendCase {
            name: "holder killed and no longer listed",
            before: |bus| {
                first_attempt(bus);
                kill(bus, "a");
                bus.inform(&["b", "c"], &["b", "c"]);
            },
            to: "b",
            number: Some(1),
            want: UNKNOWN,
        },
        ResendCase {
            name: "holder killed and started again under its name",
            before: |bus| {
                first_attempt(bus);
                kill(bus, "a");
                bus.partitioned.clear();
                bus.add(&config(2), "a", 2);
                bus.inform(&["a", "b", "c"], &["a", "b", "c"]);
                bus.advance(400);
            },
            to: "b",
            number: Some(1),
            want: UNKNOWN,
        },
        ResendCase {
            name: "zone of the holder partitioned",
            before: |bus| {
                first_attempt(bus);
                bus.partitioned.insert("a".to_owned());
            },
            to: "b",
            number: Some(1),
            want: UNKNOWN,
        },
        ResendCase {
            name: "holder stopped as planned",
            before: |bus| {
                end(bus, AttemptOutcome::Complete);
                bus.event("a", Event::Stop);
                let copy = bus.nodes["a"].hand_over(bus.now);
                kill(bus, "a");
                for peer in ["b", "c"] {
                    bus.event(peer, Event::RecordsCopy(&copy));
                }
                bus.inform(&["b", "c"], &["b", "c"]);
            },
            to: "b",
            number: Some(1),
            want: Outcome::Ended(Code::AlreadyRan, RunState::Ran),
        },
        ResendCase {
            name: "another instance stopped as planned",
            before: |bus| {
                bus.event("a", Event::Stop);
                let copy = bus.nodes["a"].hand_over(bus.now);
                kill(bus, "a");
                for peer in ["b", "c"] {
                    bus.event(peer, Event::RecordsCopy(&copy));
                }
                bus.inform(&["b", "c"], &["b", "c"]);
            },
            to: "b",
            number: Some(1),
            want: Outcome::Dispatched,
        },
    ];
    for case in cases {
        let mut bus = three_instances();
        (case.before)(&mut bus);
        bus.call(case.to, attempt(&bus, 2, case.number));
        bus.deliver_all();
        bus.advance(600);
        assert_eq!(outcome(&bus, case.to, 2), Some(case.want), "{}", case.name);
    }
}

#[test]
fn partitioned_zone_serves_first_attempts() {
    let mut bus = three_instances();
    bus.partitioned.insert("a".to_owned());
    bus.call("a", attempt(&bus, 1, Some(0)));
    assert_eq!(bus.dispatchers(), ["a"]);
}

#[test]
fn delayed_first_attempt_is_refused_after_a_resend() {
    let mut bus = three_instances();
    bus.call("b", attempt(&bus, 2, Some(1)));
    bus.deliver_all();
    assert_eq!(bus.dispatchers(), ["b"]);
    bus.call("a", attempt(&bus, 1, Some(0)));
    bus.deliver_all();
    assert_eq!(bus.dispatchers(), ["b"]);
    let want = Outcome::Ended(Code::EarlierAttempt, RunState::Unknown);
    assert_eq!(outcome(&bus, "a", 1), Some(want));
}

#[test]
fn one_of_two_resends_at_once_wins() {
    for (first, second) in [(Some(1), Some(1)), (Some(1), Some(2)), (None, None)] {
        let mut bus = three_instances();
        bus.call("b", attempt(&bus, 2, first));
        bus.call("c", attempt(&bus, 3, second));
        bus.deliver_all();
        bus.advance(600);
        assert_eq!(bus.dispatchers().len(), 1, "{first:?} {second:?}: {:?}", bus.dispatchers());
    }
}

#[test]
fn reused_key_is_refused() {
    let mut bus = three_instances();
    first_attempt(&mut bus);
    let mut other = attempt(&bus, 2, Some(0));
    other.body_hash = 99;
    bus.call("a", other);
    assert_eq!(outcome(&bus, "a", 2), Some(Outcome::Ended(Code::KeyReused, RunState::Unknown)));
}

/// `a` joins after a resend at `b` was cleared by `c` alone. The first attempt, which reaches `a`
/// late, must not run there.
#[test]
fn joining_instance_learns_of_void_records() {
    let mut bus = Bus::new(&config(2), &["b", "c"]);
    bus.call("b", attempt(&bus, 2, Some(1)));
    bus.deliver_all();
    assert_eq!(bus.dispatchers(), ["b"]);
    bus.add(&config(2), "a", 1);
    assert!(!bus.nodes["a"].has_joined());
    bus.inform(&["a"], &["a", "b", "c"]);
    assert!(bus.nodes["a"].has_joined());
    bus.call("a", attempt(&bus, 1, Some(0)));
    bus.deliver_all();
    assert_eq!(bus.dispatchers(), ["b"]);
}

/// A lookup that started before `a` joined, and that `c` answers afterwards, must reach `a` too.
#[test]
fn lookup_covers_an_instance_that_joins_meanwhile() {
    let mut bus = Bus::new(&config(2), &["b", "c"]);
    bus.call("b", attempt(&bus, 2, Some(1)));
    bus.add(&config(2), "a", 1);
    let request = RecordsRequest { asker: instance("a", 1), seq: 1 };
    bus.event("c", Event::RecordsRequest(&request));
    bus.call("a", attempt(&bus, 1, Some(0)));
    bus.deliver_all();
    assert_eq!(bus.dispatchers(), ["a"]);
    assert_eq!(outcome(&bus, "b", 2), Some(Outcome::Attached("a")));
}

struct JoinCase {
    name: &'static str,
    /// Listed peers, reachable peers, and peers that answered with whether they had joined.
    listed: &'static [&'static str],
    reachable: &'static [&'static str],
    answered: &'static [(&'static str, bool)],
    want: bool,
}

#[test]
fn joins() {
    let cases = [
        JoinCase { name: "alone", listed: &[], reachable: &[], answered: &[], want: true },
        JoinCase {
            name: "no answer yet",
            listed: &["b", "c"],
            reachable: &["b", "c"],
            answered: &[],
            want: false,
        },
        JoinCase {
            name: "every peer answered, none had joined",
            listed: &["b", "c"],
            reachable: &["b", "c"],
            answered: &[("b", false), ("c", false)],
            want: true,
        },
        JoinCase {
            name: "partitioned zone with a joined peer",
            listed: &["b", "c"],
            reachable: &["b"],
            answered: &[("b", true)],
            want: true,
        },
        JoinCase {
            name: "partitioned zone with new peers only",
            listed: &["b", "c"],
            reachable: &["b"],
            answered: &[("b", false)],
            want: false,
        },
        JoinCase {
            name: "partitioned from all peers",
            listed: &["b", "c"],
            reachable: &[],
            answered: &[],
            want: false,
        },
    ];
    for case in cases {
        let mut joiner = scheduler(&config(1), instance("a", 1));
        let peers: Vec<_> = case.listed.iter().map(|name| instance(name, 1)).collect();
        let reachable: Vec<_> = case.reachable.iter().map(|name| (*name).into()).collect();
        let event = Event::PeerSet { peers: &peers, reachable: &reachable };
        step(&mut joiner, event, at(1));
        for (name, joined) in case.answered {
            let copy = RecordsCopy {
                from: instance(name, 1),
                joined: *joined,
                seq: Some(1),
                entries: Vec::new(),
                known: Vec::new(),
            };
            step(&mut joiner, Event::RecordsCopy(&copy), at(2));
        }
        assert_eq!(joiner.has_joined(), case.want, "{}", case.name);
    }
}

/// Peers no longer ask an instance that was frozen beyond the retention of records. When it
/// resumes, a first attempt that waited in its socket must not run in addition to the resend.
#[test]
fn frozen_instance_asks_before_it_dispatches() {
    let mut short = config(2);
    short.limits.record_retention = Duration::from_secs(3);
    let mut bus = Bus::new(&short, &["a", "b", "c"]);
    bus.partitioned.insert("a".to_owned());
    bus.inform(&["b", "c"], &["b", "c"]);
    bus.advance(5_000);
    bus.call("b", attempt(&bus, 2, Some(1)));
    bus.deliver_all();
    assert_eq!(bus.dispatchers(), ["b"]);
    bus.partitioned.clear();
    bus.call("a", attempt(&bus, 1, Some(0)));
    bus.deliver_all();
    assert_eq!(bus.dispatchers(), ["b"]);
    assert_eq!(outcome(&bus, "a", 1), Some(Outcome::Attached("b")));
}

#[test]
fn write_is_denied_past_the_deadline() {
    let mut node = scheduler(&config(1), instance("a", 1));
    let mut call = arrival(1, 1, at(1));
    call.deadline = at(1_000);
    step(&mut node, Event::Arrive(call), at(1));
    let actions = step(&mut node, Event::WriteCheck { ticket: 1 }, at(1_000));
    let refusal = support::refusals(&actions).pop().expect("a refusal");
    assert_eq!((refusal.code(), refusal.run()), (Code::DeadlinePassed, RunState::NotRun));
    let again = step(&mut node, Event::WriteCheck { ticket: 1 }, at(1_001));
    assert!(matches!(again[..], [Action::NoGo { refusal: None, .. }]));
}

#[test]
fn records_expire_after_their_retention() {
    let mut short = config(2);
    short.limits.record_retention = Duration::from_secs(3);
    let mut bus = Bus::new(&short, &["a", "b"]);
    bus.call("b", attempt(&bus, 2, Some(1)));
    bus.deliver_all();
    bus.write("b", 2);
    bus.event("b", Event::Finished { ticket: 2, end: AttemptOutcome::Complete });
    bus.advance(2_800);
    assert_eq!((bus.nodes["a"].records(), bus.nodes["b"].records()), (1, 1));
    bus.advance(400);
    assert_eq!((bus.nodes["a"].records(), bus.nodes["b"].records()), (0, 0));
}
