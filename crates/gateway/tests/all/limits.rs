//! Targets that state how many requests a second they take from all instances together.

use std::time::Duration;

use sesamewind_gateway::{AttemptOutcome, Event, RefusalReason, Tuning};
use sesamewind_protocol::relay::{LimitEntry, StorePosition};
use sesamewind_protocol::{Incarnation, InstanceId};

use crate::limit_fleet::{Cut, Named, Plan, play};
use crate::support::{Bench, MODEL, at, bench, identity, routing, target};

/// Time at which the first request is sent, in milliseconds.
const START: u64 = 10_000;

/// What a target says in the answer to one request.
struct Answer {
    /// When the request is sent and its answer received, in seconds.
    sent: u64,
    received: u64,
    rate: Option<f64>,
}

const fn answer(sent: u64, received: u64, rate: Option<f64>) -> Answer {
    Answer { sent, received, rate }
}

/// Answers overtake each other. One that was asked for after another was received is the later one; of
/// two in no known order, the lower limit holds.
#[test]
fn the_later_statement_holds_and_otherwise_the_lower_limit() {
    struct Case {
        name: &'static str,
        answers: Vec<Answer>,
        want: Option<f64>,
    }
    let cases = [
        Case { name: "none", answers: vec![answer(0, 50, None)], want: None },
        Case { name: "one", answers: vec![answer(0, 50, Some(3.0))], want: Some(3.0) },
        Case {
            name: "ended",
            answers: vec![answer(0, 50, Some(3.0)), answer(51, 90, None)],
            want: None,
        },
        Case {
            name: "an earlier answer without it comes late",
            answers: vec![answer(10, 50, Some(3.0)), answer(0, 90, None)],
            want: Some(3.0),
        },
        Case {
            name: "raised",
            answers: vec![answer(0, 50, Some(3.0)), answer(51, 90, Some(8.0))],
            want: Some(8.0),
        },
        Case {
            name: "an earlier answer with a higher limit comes late",
            answers: vec![answer(10, 50, Some(3.0)), answer(0, 90, Some(8.0))],
            want: Some(3.0),
        },
        Case {
            name: "an answer with a lower limit overtakes",
            answers: vec![answer(0, 50, Some(8.0)), answer(10, 90, Some(3.0))],
            want: Some(3.0),
        },
        Case {
            name: "ended, then an answer of before the end comes",
            answers: vec![
                answer(0, 50, Some(3.0)),
                answer(60, 90, None),
                answer(10, 100, Some(3.0)),
            ],
            want: Some(3.0),
        },
        Case {
            name: "ended for good after that",
            answers: vec![
                answer(0, 50, Some(3.0)),
                answer(60, 90, None),
                answer(10, 100, Some(3.0)),
                answer(101, 150, None),
            ],
            want: None,
        },
        Case {
            name: "named again",
            answers: vec![
                answer(0, 50, Some(3.0)),
                answer(60, 90, None),
                answer(100, 150, Some(2.0)),
            ],
            want: Some(2.0),
        },
    ];
    for case in cases {
        let mut bench = bench(1, 0);
        let mut events: Vec<(u64, bool, usize)> = Vec::new();
        for (number, answer) in case.answers.iter().enumerate() {
            events.push((answer.sent, true, number));
            events.push((answer.received, false, number));
        }
        events.sort_unstable();
        let mut tickets = vec![0; case.answers.len()];
        let mut rate = None;
        for (now, is_sent, number) in events {
            if is_sent {
                bench.send(Event::Tick, at(START + 1_000 * now));
                tickets[number] = bench.arrive("urgent", 10, at(START + 1_000 * now));
                assert!(bench.dispatch(tickets[number]).is_some(), "{}: sent", case.name);
                continue;
            }
            let limit = case.answers[number].rate;
            bench.send(Event::TargetLimit(tickets[number], limit), at(START + 1_000 * now));
            bench.end(tickets[number], AttemptOutcome::Whole, at(START + 1_000 * now));
            for change in bench.gateway.take_limit_changes() {
                assert_eq!(change.before, rate, "{}", case.name);
                rate = change.rate;
            }
        }
        assert_eq!(rate, case.want, "{}", case.name);
        assert_eq!(bench.gateway.limited_targets(), usize::from(case.want.is_some()));
    }
}

/// Returns a play in which the first targets state these limits from 5 s on.
fn plan(instances: usize, targets: usize, rates: &[f64]) -> Plan {
    let named = |(target, &rate): (usize, &f64)| Named { during: 5_000..20_000, target, rate };
    Plan {
        instances,
        targets,
        requests: 12.0 * targets as f64,
        limits: rates.iter().enumerate().map(named).collect(),
        length: 20_000,
        ..Plan::default()
    }
}

/// Returns the play with a time without requests, in which each instance saves its turns.
fn quiet(plan: Plan) -> Plan {
    let limits = plan.limits.into_iter().map(|one| Named { during: 5_000..60_000, ..one });
    Plan {
        limits: limits.collect(),
        quiet: Some(9_000..50_000),
        requests: 200.0,
        length: 60_000,
        ..plan
    }
}

#[test]
fn targets_get_no_more_than_the_requests_that_they_name_for_all_instances() {
    struct Case {
        name: &'static str,
        plan: Plan,
    }
    let cases = [
        Case { name: "8 instances, 3 a second", plan: plan(8, 9, &[3.0, 2.3]) },
        Case { name: "8 instances, below one a second", plan: plan(8, 9, &[0.5, 0.1]) },
        Case { name: "nothing at all", plan: plan(8, 9, &[0.0]) },
        Case { name: "one instance", plan: plan(1, 3, &[3.0]) },
        Case { name: "30 instances", plan: plan(30, 12, &[3.0, 0.5, 20.0]) },
        Case { name: "80 instances", plan: plan(80, 30, &[3.0, 0.5]) },
        Case { name: "all targets", plan: plan(8, 3, &[3.0, 2.0, 1.0]) },
        Case { name: "40 instances after a quiet time", plan: quiet(plan(40, 2, &[3.0, 1.0])) },
    ];
    for Case { name, plan } in cases {
        for seed in 0..3 {
            let report = play(&plan, seed);
            assert!(report.worst <= 1.0, "{name}, seed {seed}: {}", report.window);
        }
    }
}

/// A search for a broken bound: limits begin, change and end while instances are cut off, suspended,
/// killed and stopped.
#[test]
fn random_faults_do_not_break_the_bound_of_a_limit() {
    for seed in 0..60 {
        let report = play(&Plan::random(seed), seed);
        assert!(report.worst <= 1.0, "seed {seed}: {}", report.window);
    }
}

/// A search for a broken bound of cold targets: targets start again, one or all of an availability
/// zone, while instances are cut off, suspended, killed and stopped.
#[test]
fn random_faults_do_not_break_the_bound_of_cold_targets() {
    for seed in 0..60 {
        let report = play(&Plan::random_cold(seed), seed);
        assert!(report.worst_cold.0 <= 1.0, "seed {seed}: {}", report.worst_cold.1);
    }
}

/// The same search, with the requests of instances that are cut off while the target starts again.
#[test]
fn random_faults_do_not_break_the_bound_of_cold_targets_at_instances_that_are_cut_off() {
    for seed in 0..60 {
        let report = play(&Plan::random_cold(seed), seed);
        let (ratio, window) = report.worst_cold_of_all;
        assert!(ratio <= 1.0, "seed {seed}: {window}");
    }
}

/// Returns a play in which all targets of an availability zone are down and start again.
fn zone_start(instances: usize, cold: f64, requests: f64) -> Plan {
    let restarts = (0..12).step_by(3).map(|target| (5_000..7_500, target)).collect();
    Plan { instances, targets: 12, cold, requests, restarts, length: 11_000, ..Plan::default() }
}

/// Half of what is divided among the instances.
const HALF: f64 = 0.4;

/// Cold targets are used to half of what is divided among the instances at least, if there is demand.
#[test]
fn cold_targets_are_used_within_their_bound() {
    struct Case {
        instances: usize,
        cold: f64,
        requests: f64,
    }
    let cases = [
        Case { instances: 1, cold: 30.5, requests: 400.0 },
        Case { instances: 3, cold: 8.0, requests: 300.0 },
        Case { instances: 11, cold: 1.0, requests: 300.0 },
        Case { instances: 30, cold: 8.0, requests: 300.0 },
        Case { instances: 88, cold: 30.5, requests: 400.0 },
        Case { instances: 300, cold: 30.5, requests: 600.0 },
    ];
    for Case { instances, cold, requests } in cases {
        let report = play(&zone_start(instances, cold, requests), 1);
        let name = format!("{instances} instances, {cold} a second");
        assert!(report.worst_cold.0 <= 1.0, "{name}: {}", report.worst_cold.1);
        let used = report.used_cold.0 / report.used_cold.1;
        assert!(used >= HALF, "{name}: {used} used");
    }
}

/// While targets are cold, no more requests are refused than without a bound if others have room.
#[test]
fn cold_targets_cause_no_refusals_while_others_have_room() {
    for instances in [1, 8, 30] {
        let refused = |cold: f64| play(&zone_start(instances, cold, 60.0), 1).refused;
        let (bounded, unbounded) = (refused(2.0), refused(0.0));
        assert!(bounded <= unbounded + 2, "{instances}: {bounded}, {unbounded} without a bound");
    }
}

/// Work of a zone whose targets return cold stays elsewhere, and returns once they are warm.
#[test]
fn work_returns_to_a_zone_that_has_become_warm() {
    for instances in [1, 8, 88] {
        let plan = Plan { length: 14_000, ..zone_start(instances, 2.0, 60.0) };
        let report = play(&plan, 1);
        assert!(report.worst_cold.0 <= 1.0, "{instances}: {}", report.worst_cold.1);
        let (returned, even) = report.returned;
        assert!(returned >= even / 2.0, "{instances}: {returned} of {even} requests");
    }
}

/// Instances that are cut off need turns only if the bound leaves no margin for their requests, and
/// serve what these allow.
#[test]
fn instances_that_are_cut_off_serve_within_their_turns() {
    struct Case {
        instances: usize,
        cold: f64,
        requests: f64,
    }
    let cases = [
        Case { instances: 2, cold: 2.0, requests: 6.0 },
        Case { instances: 3, cold: 2.0, requests: 12.0 },
        Case { instances: 3, cold: 8.0, requests: 150.0 },
        Case { instances: 33, cold: 20.0, requests: 300.0 },
        Case { instances: 88, cold: 8.0, requests: 100.0 },
    ];
    for Case { instances, cold, requests } in cases {
        let cut_off = (0..instances).filter(|one| one % 3 == 1);
        let cuts = cut_off.map(|one| (5_000..25_000, Cut::Instance(one))).collect();
        let plan =
            Plan { instances, targets: 12, requests, cuts, length: 25_000, ..Plan::default() };
        let unbounded = play(&plan, 1).refused;
        let bounded = play(&Plan { cold, ..plan }, 1).refused;
        let name = format!("{instances} instances, {cold} a second");
        assert!(bounded <= unbounded, "{name}: {bounded}, {unbounded} without a bound");
    }
}

/// Returns a gateway whose model engines have stated these limits, and have no turn at [`LIMITED`].
fn limited(rates: &[f64]) -> Bench {
    let mut bench = bench(rates.len() as u32, 0);
    // All slots of all targets are in use.
    let tickets: Vec<_> =
        (0..4 * rates.len()).map(|_| bench.arrive("urgent", 10, at(10))).collect();
    for ticket in tickets {
        let dispatch = bench.dispatch(ticket).expect("a free slot");
        let number: usize = dispatch.target.as_str()[1..].parse().expect("a number");
        bench.send(Event::TargetLimit(ticket, Some(rates[number])), at(20));
        bench.end(ticket, AttemptOutcome::Whole, at(20));
    }
    assert_eq!(bench.gateway.limited_targets(), rates.len(), "each target was asked");
    bench.send(Event::Tick, at(LIMITED - 1_000));
    bench.send(Event::Tick, at(LIMITED - 1));
    loop {
        let ticket = bench.arrive("urgent", 10, at(LIMITED));
        if bench.dispatch(ticket).is_none() {
            bench.send(Event::CallerLeft(ticket), at(LIMITED));
            return bench;
        }
        bench.end(ticket, AttemptOutcome::Whole, at(LIMITED));
    }
}

/// Time at which the targets of [`limited`] have no turn.
const LIMITED: u64 = 30_000;

/// Requests that can't be served in time with the turns to come are refused at once. The others wait.
#[test]
fn requests_beyond_the_turns_to_come_are_refused_at_once() {
    struct Case {
        rates: &'static [f64],
        /// Requests that arrive at once, each with a wait of up to 450 ms.
        arrive: usize,
        /// Requests that wait.
        wait: usize,
    }
    let cases = [
        Case { rates: &[1.0], arrive: 3, wait: 0 },
        Case { rates: &[3.0], arrive: 3, wait: 1 },
        Case { rates: &[5.0, 5.0], arrive: 8, wait: 4 },
        Case { rates: &[0.5, 0.0], arrive: 3, wait: 0 },
    ];
    for case in cases {
        let mut bench = limited(case.rates);
        let tickets: Vec<_> =
            (0..case.arrive).map(|_| bench.arrive("urgent", 10, at(LIMITED + 1))).collect();
        let refused: Vec<_> = tickets.iter().filter_map(|ticket| bench.reason(*ticket)).collect();
        assert_eq!(case.arrive - refused.len(), case.wait, "{:?}", case.rates);
        assert!(refused.iter().all(|reason| *reason == RefusalReason::Limited), "{refused:?}");
        for now in (LIMITED + 1..LIMITED + 460).step_by(20) {
            bench.send(Event::Tick, at(now));
        }
        let sent = tickets.iter().filter(|ticket| bench.dispatch(**ticket).is_some()).count();
        assert_eq!(sent, case.wait, "those that wait are served in time: {:?}", case.rates);
    }
}

/// While all targets are limited, callers are told to return no faster than the limits allow.
#[test]
fn refused_callers_return_no_faster_than_the_limits_allow() {
    const REFUSED: usize = 60;
    for rates in [&[3.0][..], &[2.0, 1.0], &[10.0, 2.0]] {
        let mut bench = limited(rates);
        let mut returns: Vec<u64> = Vec::new();
        for number in 0..REFUSED as u64 {
            let now = LIMITED + 10 + number;
            let ticket = bench.arrive("urgent", 10, at(now));
            if let Some(refusal) = bench.refusal(ticket) {
                returns.push(now + refusal.retry_after.as_millis() as u64);
            }
        }
        // Callers return within a third of the 12 s that they have.
        let last = LIMITED + 10 + 3_840;
        let counted: Vec<u64> = returns.iter().copied().filter(|at| *at <= last).collect();
        let total: f64 = rates.iter().sum();
        for start in &counted {
            let within = counted.iter().filter(|at| (*start..start + 1_000).contains(*at)).count();
            assert!(within as f64 <= total + 2.0, "{rates:?}: {within} in a second");
        }
        let expected = (3.84 * total).min(REFUSED as f64 - 10.0);
        assert!(counted.len() as f64 >= 0.7 * expected, "{rates:?}: {}", counted.len());
    }
}

/// A target without a turn delays nothing while another one has a free slot.
#[test]
fn requests_do_not_wait_for_a_turn_while_another_target_is_free() {
    let mut bench = bench(2, 0);
    let first = bench.arrive("urgent", 10, at(10));
    bench.send(Event::TargetLimit(first, Some(0.5)), at(20));
    bench.end(first, AttemptOutcome::Whole, at(20));
    for number in 0..4 {
        let ticket = bench.arrive("urgent", 10, at(30 + number));
        assert!(bench.dispatch(ticket).is_some(), "request {number}");
    }
}

/// An instance that may not have heard of the others yet leaves limited targets to them.
#[test]
fn an_instance_that_has_just_started_has_no_share() {
    let tuning = Tuning { joined: true, ..Tuning::default() };
    let bench = Bench::new(routing(), vec![target("m0", MODEL, 4)], tuning);
    let sent = second_send(bench, None).expect("the target is used again");
    assert!(sent >= 3_000 + 250, "sent after {sent} ms");
}

/// Guards against using the whole of a limit before an instance has read who the others are.
#[test]
fn an_instance_that_reads_the_announcements_late_has_no_share() {
    let start = || {
        let targets = vec![target("m0", MODEL, 4)];
        Bench::start(identity("i1", "z1"), routing(), targets, Tuning::default(), at(0))
    };
    assert_eq!(second_send(start(), None), None);
    let sent = second_send(start(), Some(6_000)).expect("the target is used again");
    assert!(sent >= 9_000 + 250, "sent after {sent} ms");
}

/// Returns when an instance sends a target that takes four requests a second the second one, within
/// 12 s; the announcements are read at `read`.
fn second_send(mut bench: Bench, read: Option<u64>) -> Option<u64> {
    let first = bench.arrive("urgent", 10, at(10));
    bench.send(Event::TargetLimit(first, Some(4.0)), at(20));
    bench.end(first, AttemptOutcome::Whole, at(20));
    (30..12_000).step_by(10).find(|&now| {
        if read == Some(now) {
            bench.gateway.expect_peers(&[], at(now));
        }
        bench.send(Event::Tick, at(now));
        let ticket = bench.arrive("urgent", 10, at(now));
        let is_sent = bench.dispatch(ticket).is_some();
        bench.send(Event::CallerLeft(ticket), at(now));
        is_sent
    })
}

/// A peer that says that it stops leaves its share at once.
#[test]
fn the_share_of_a_peer_that_stops_is_divided() {
    let share = |is_stopping: bool| {
        let mut bench = bench(1, 0);
        let mut peer = Bench::of(identity("i2", "z1"), routing(), Vec::new(), Tuning::default());
        let name = InstanceId::new("i1");
        let mut tell = |bench: &mut Bench, now| {
            let position = StorePosition::default();
            let update = peer.gateway.peer_update(&name, position, at(now), at(now));
            bench.send(Event::PeerUpdate(&update), at(now));
            if is_stopping {
                peer.send(Event::Stop, at(now));
            }
        };
        tell(&mut bench, 100);
        bench.send(Event::Tick, at(5_000));
        tell(&mut bench, 5_000);
        let first = bench.arrive("urgent", 10, at(5_000));
        bench.send(Event::TargetLimit(first, Some(4.0)), at(5_010));
        bench.gateway.take_limit_changes().pop().expect("the limit is new").share
    };
    assert!((share(false) - 2.0).abs() < 1e-9);
    assert!((share(true) - 4.0).abs() < 1e-9);
}

/// A peer's statement is applied if it is the later one by more than a message may take, or the lower
/// limit.
#[test]
fn statements_of_peers_are_ordered_with_a_margin() {
    struct Case {
        name: &'static str,
        /// Times since the peer's request was sent and its answer received, in milliseconds; the
        /// largest number stands for the longest time.
        asked: u64,
        heard: u64,
        rate: Option<f64>,
        incarnation: u64,
        want: Option<f64>,
    }
    const OWN: f64 = 3.0;
    const fn case(
        name: &'static str,
        asked: u64,
        heard: u64,
        rate: Option<f64>,
        want: Option<f64>,
    ) -> Case {
        Case { name, asked, heard, rate, incarnation: 1, want }
    }
    // The own statement is 2 s old.
    let cases = [
        case("ended later", 500, 400, None, None),
        case("ended at nearly the same time", 1_500, 1_400, None, Some(OWN)),
        case("ended before", 5_000, 4_000, None, Some(OWN)),
        case("raised later", 500, 400, Some(8.0), Some(8.0)),
        case("raised at nearly the same time", 1_500, 1_400, Some(8.0), Some(OWN)),
        case("lowered at nearly the same time", 2_100, 2_050, Some(1.0), Some(1.0)),
        case("lowered before", 9_000, 8_000, Some(1.0), Some(OWN)),
        case("of any age", u64::MAX, 0, Some(1.0), Some(1.0)),
        case("not a number", 500, 400, Some(f64::NAN), Some(OWN)),
        case("negative", 500, 400, Some(-1.0), Some(OWN)),
        Case { incarnation: 2, ..case("of another incarnation", 500, 400, None, Some(OWN)) },
    ];
    for case in cases {
        let mut bench = bench(1, 0);
        let first = bench.arrive("urgent", 10, at(9_950));
        bench.send(Event::TargetLimit(first, Some(OWN)), at(10_000));
        let mut peer = Bench::of(identity("i2", "z1"), routing(), Vec::new(), Tuning::default());
        let to = InstanceId::new("i1");
        let position = StorePosition::default();
        let mut update = peer.gateway.peer_update(&to, position, at(12_000), at(12_000));
        update.limits = vec![LimitEntry {
            target: target("m0", MODEL, 4).id,
            incarnation: Incarnation(case.incarnation),
            rate: case.rate,
            asked: if case.asked == u64::MAX {
                Duration::MAX
            } else {
                Duration::from_millis(case.asked)
            },
            heard: Duration::from_millis(case.heard),
        }];
        bench.send(Event::PeerUpdate(&update), at(12_000));
        let rate = bench.gateway.take_limit_changes().pop().and_then(|change| change.rate);
        assert_eq!(rate, case.want, "{}", case.name);
    }
}
