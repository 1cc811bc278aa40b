//! Retries: which requests get one, and how many there are in total.

use std::time::Duration;

use sesamewind_gateway::budget::{RetryBudget, RetryCounts, RetryShare};
use sesamewind_gateway::{AttemptOutcome, Event, RefusalReason, Tuning};

use crate::retry_fleet::{Change, Fleet, Plan, play};
use crate::support::{Bench, MODEL, PLAIN, at, bench, routing, target};

#[test]
fn requests_are_sent_again_as_their_route_allows() {
    struct Case {
        route: &'static str,
        outcome: AttemptOutcome,
        again: bool,
    }
    let cases = [
        Case { route: "once", outcome: AttemptOutcome::Broken, again: false },
        Case { route: "once", outcome: AttemptOutcome::Failing, again: false },
        Case { route: "once", outcome: AttemptOutcome::Declined, again: true },
        Case { route: "once", outcome: AttemptOutcome::Unconnected, again: true },
        Case { route: "read", outcome: AttemptOutcome::Broken, again: true },
        Case { route: "read", outcome: AttemptOutcome::Failing, again: true },
        Case { route: "read", outcome: AttemptOutcome::Silent, again: true },
        Case { route: "read", outcome: AttemptOutcome::Expired, again: false },
        Case { route: "usual", outcome: AttemptOutcome::Broken, again: false },
        Case { route: "urgent", outcome: AttemptOutcome::Broken, again: true },
        Case { route: "urgent", outcome: AttemptOutcome::Silent, again: true },
    ];
    for case in cases {
        let mut bench = bench(3, 3);
        let ticket = bench.arrive(case.route, 100, at(10));
        let first = bench.dispatch(ticket).expect("a free slot").target.clone();
        bench.end(ticket, case.outcome, at(20));
        let second = bench.dispatch(ticket).map(|dispatch| dispatch.target.clone());
        assert_eq!(second.is_some(), case.again, "{} after {:?}", case.route, case.outcome);
        assert_ne!(second, Some(first), "{} after {:?}", case.route, case.outcome);
    }
}

#[test]
fn a_stream_resumes_at_another_target_after_its_first_events() {
    let mut bench = bench(2, 0);
    let ticket = bench.arrive("urgent", 100, at(10));
    bench.send(Event::Started(ticket), at(50));
    bench.end(ticket, AttemptOutcome::Silent, at(1_200));
    let second = bench.dispatch(ticket).expect("another target");
    assert_eq!(second.attempt, 2);
    // The route allows two targets to run the request, and two have.
    bench.end(ticket, AttemptOutcome::Broken, at(1_300));
    assert!(bench.dispatch(ticket).is_none());
}

/// A broken stream that can be resumed waits for a slot at another target.
#[test]
fn a_stream_waits_for_a_slot_to_resume() {
    let mut bench = bench(2, 0);
    let tickets: Vec<_> = (0..8).map(|_| bench.arrive("urgent", 100, at(10))).collect();
    bench.send(Event::Started(tickets[0]), at(50));
    let broken = bench.dispatch(tickets[0]).expect("a free slot").target.clone();
    let other = tickets[1..]
        .iter()
        .find(|ticket| bench.dispatch(**ticket).is_some_and(|dispatch| dispatch.target != broken));
    let other = *other.expect("both targets are full");
    bench.end(tickets[0], AttemptOutcome::Broken, at(100));
    assert!(!bench.steps.contains_key(&tickets[0]), "{:?}", bench.steps.get(&tickets[0]));
    bench.end(other, AttemptOutcome::Whole, at(200));
    let next = bench.dispatch(tickets[0]).expect("the freed slot");
    assert_ne!(next.target, broken);
    // Without a free slot in time, its outcome is reported as unknown and not as refused.
    let lost = tickets[2..].iter().copied().find(|ticket| *ticket != other).expect("another");
    bench.end(lost, AttemptOutcome::Broken, at(210));
    for now in (220..2_000).step_by(20) {
        bench.send(Event::Tick, at(now));
    }
    assert!(bench.refusal(lost).is_none(), "{:?}", bench.refusal(lost));
}

/// What instances report of a budget adds up to all attempts, also to those that were not allowed.
#[test]
fn reports_of_the_budget_add_up() {
    let mut bench = bench(0, 6);
    let (mut counts, mut retries, mut denied) = (RetryCounts::default(), 0, 0);
    for now in (10..30_010).step_by(50) {
        let ticket = bench.arrive("read", 0, at(now));
        bench.end(ticket, AttemptOutcome::Failing, at(now));
        match bench.dispatch(ticket) {
            Some(_) => retries += 1,
            None => denied += 1,
        }
        bench.send(Event::CallerLeft(ticket), at(now));
        if now % 1_000 != 10 {
            continue;
        }
        let reports = bench.gateway.take_retry_reports(at(now));
        let [(service, report)] = &reports[..] else { panic!("one service: {reports:?}") };
        assert_eq!((service.as_str(), report.share.fraction), (PLAIN, 1.0));
        assert!(f64::from(report.used) <= report.allowed, "{report:?}");
        counts.first += report.counts.first;
        counts.retries += report.counts.retries;
        counts.denied += report.counts.denied;
    }
    assert!(retries > 0 && denied > 0, "{retries} retries, {denied} denied");
    let last = bench.gateway.take_retry_reports(at(30_010)).pop().expect("the last ones").1.counts;
    counts.first += last.first;
    counts.retries += last.retries;
    counts.denied += last.denied;
    assert_eq!(counts, RetryCounts { first: 600, retries, denied });
    assert!(bench.gateway.take_retry_reports(at(30_010)).is_empty());
}

/// Within any window, the retries of all instances stay within the bound.
#[test]
fn the_budget_holds_in_every_window() {
    const WINDOW: u64 = 10_000;
    struct Case {
        instances: usize,
        first_every: u64,
        extra: f64,
    }
    let cases = [
        Case { instances: 1, first_every: 10, extra: 50.0 },
        Case { instances: 8, first_every: 40, extra: 56.0 },
        Case { instances: 60, first_every: 500, extra: 160.0 },
    ];
    for case in cases {
        let mut budgets: Vec<RetryBudget> = (0..case.instances)
            .map(|_| RetryBudget::new(0.2, case.extra, Duration::from_millis(WINDOW)))
            .collect();
        let share = RetryShare { fraction: 1.0 / case.instances as f64, earlier: 1.0 };
        let (mut first, mut retries) = (Vec::new(), Vec::new());
        for now in 0..40_000 {
            for budget in &mut budgets {
                if now % case.first_every == 0 && now < 25_000 {
                    budget.record_first(at(now));
                    first.push(now);
                }
                if now % 5 == 0 && budget.acquire(share, at(now)) {
                    retries.push(now);
                }
            }
        }
        let within = |all: &[u64], start: u64| {
            all.iter().filter(|at| (start..start + WINDOW).contains(*at)).count() as f64
        };
        for start in (0..30_000_u64).step_by(500) {
            let asked = [start, start.saturating_sub(WINDOW / 2), start.saturating_sub(WINDOW)];
            let asked = asked.iter().map(|start| within(&first, *start)).fold(0.0, f64::max);
            let bound = 0.2 * asked + case.extra;
            let used = within(&retries, start);
            assert!(used <= bound, "{} instances: {used} of {bound}", case.instances);
        }
        assert!(!retries.is_empty());
    }
}

/// A longer window keeps counting the retries that a shorter one would have dropped.
#[test]
fn a_new_window_applies_to_a_budget_in_use() {
    let mut budget = RetryBudget::new(0.0, 10.0, Duration::from_secs(1));
    let share = RetryShare { fraction: 1.0, earlier: 1.0 };
    let taken = |budget: &mut RetryBudget, now: u64| {
        (0..20).filter(|_| budget.acquire(share, at(now))).count()
    };
    assert_eq!(taken(&mut budget, 0), 7);
    budget.retune(0.0, 10.0, Duration::from_secs(10));
    assert_eq!(taken(&mut budget, 3_000), 0);
    assert_eq!(taken(&mut budget, 12_000), 7);
}

/// Guards against giving an account back what a request has used that may have run, when no other
/// target takes it in time.
#[test]
fn a_request_that_may_have_run_stays_charged() {
    struct Case {
        name: &'static str,
        outcome: AttemptOutcome,
        charged: bool,
    }
    let cases = [
        Case { name: "declined", outcome: AttemptOutcome::Declined, charged: false },
        Case { name: "broken", outcome: AttemptOutcome::Broken, charged: true },
    ];
    for Case { name, outcome, charged } in cases {
        let mut routing = routing();
        routing.accounts[0].rate = 1.0;
        routing.accounts[0].burst = 15_000.0;
        let targets = vec![target("m0", MODEL, 4)];
        let mut bench = Bench::new(routing, targets, Tuning::default());
        let ticket = bench.arrive("urgent", 10_000, at(10));
        assert!(bench.dispatch(ticket).is_some(), "{name}");
        bench.end(ticket, outcome, at(50));
        for now in (60..2_000).step_by(20) {
            bench.send(Event::Tick, at(now));
        }
        assert!(bench.steps.contains_key(&ticket), "{name}: the request has ended");
        assert!(bench.dispatch(ticket).is_none(), "{name}: no other target");
        let next = bench.arrive("urgent", 10_000, at(2_000));
        let is_over = bench.reason(next) == Some(RefusalReason::OverLimit);
        assert_eq!(is_over, charged, "{name}: {:?}", bench.steps.get(&next));
    }
}

/// Retries allowed within the window over all instances of a [`Fleet`].
const EXTRA: f64 = 56.0;

/// All sides of a cut together stay within the budget, as do instances that have just started.
#[test]
fn the_budget_holds_over_all_sides_of_a_cut() {
    struct Case {
        name: &'static str,
        joined: bool,
        /// Side of the cut on which an instance is.
        side: fn(usize) -> usize,
        /// Since when there is a cut, in milliseconds.
        cut: u64,
        /// Whether instances have announced themselves when the others read the announcements.
        announced: bool,
    }
    let cases = [
        Case { name: "no cut", joined: false, side: |_| 0, cut: 0, announced: false },
        Case { name: "two sides", joined: false, side: |n| n % 2, cut: 5_000, announced: false },
        Case { name: "four sides", joined: false, side: |n| n % 4, cut: 5_000, announced: false },
        Case { name: "each alone", joined: false, side: |n| n, cut: 5_000, announced: false },
        Case { name: "all start alone", joined: true, side: |n| n, cut: 0, announced: true },
    ];
    for case in cases {
        let tuning = Tuning {
            retry_ratio: 0.0,
            retry_extra: EXTRA,
            joined: case.joined,
            ..Tuning::default()
        };
        let mut fleet = Fleet::new(8, tuning);
        fleet.read_announcements(case.announced, at(0));
        for now in (0..40_000).step_by(50) {
            let is_cut = now >= case.cut;
            fleet.exchange(|instance| if is_cut { (case.side)(instance) } else { 0 }, now);
            fleet.serve(|_| 1, AttemptOutcome::Failing, now);
        }
        let most = fleet.most_retries();
        assert!(most as f64 <= EXTRA, "{}: {most} of {EXTRA}", case.name);
        assert!(most > 0, "{}: some retries are allowed", case.name);
    }
}

/// Guards against retries beyond the budget after restarts, since a new instance does not know what the
/// one before it has used.
#[test]
fn the_budget_holds_through_restarts() {
    let kills = |times: &[u64]| -> Vec<(u64, Change)> {
        times.iter().map(|time| (*time, Change::Kill(0..8))).collect()
    };
    struct Case {
        name: &'static str,
        changes: Vec<(u64, Change)>,
    }
    let cases = [
        Case { name: "all, once", changes: kills(&[12_000]) },
        Case { name: "all, twice", changes: kills(&[12_000, 14_000]) },
        Case { name: "all, in series", changes: kills(&[12_000, 13_000, 14_000, 15_000, 21_000]) },
        Case { name: "all, at the first traffic", changes: kills(&[500, 1_500, 2_500]) },
        Case {
            name: "most, in series",
            changes: (12..18).map(|second| (second * 1_000, Change::Kill(0..5))).collect(),
        },
    ];
    for Case { name, changes } in cases {
        check(name, &Plan { changes, ..plan() });
    }
}

/// Guards against shares of the budget that are computed before an instance knows of the others.
#[test]
fn the_budget_holds_while_instances_do_not_know_of_each_other() {
    struct Case {
        name: &'static str,
        /// Time after a start until announcements are read.
        read_after: u64,
        /// Time after a start until updates of peers arrive.
        heard_after: u64,
    }
    let cases = [
        Case { name: "announcements are read late", read_after: 1_000, heard_after: 2_000 },
        Case { name: "announcements can't be read", read_after: 60_000, heard_after: 3_000 },
        Case { name: "neither is there", read_after: 60_000, heard_after: 60_000 },
        Case { name: "peers are heard late", read_after: 15_000, heard_after: 14_000 },
    ];
    for Case { name, read_after, heard_after } in cases {
        for changes in [Vec::new(), vec![(12_000, Change::Kill(0..8))]] {
            // Instances that never read the announcements retry by the ratio alone.
            check(name, &Plan { ratio: 0.02, read_after, heard_after, changes, ..plan() });
        }
    }
}

/// Guards against dividing the share of an instance that stops among the others, though it has been
/// used.
#[test]
fn the_budget_holds_through_planned_stops() {
    struct Case {
        name: &'static str,
        pause: u64,
        back_after: u64,
    }
    let cases = [
        Case { name: "one after the other", pause: 1_000, back_after: 400 },
        Case { name: "overlapping", pause: 500, back_after: 2_000 },
        Case { name: "for good", pause: 1_000, back_after: 60_000 },
    ];
    for Case { name, pause, back_after } in cases {
        let stops = (0..7_usize).map(|n| (12_000 + pause * n as u64, Change::Stop(n, back_after)));
        check(name, &Plan { changes: stops.collect(), ..plan() });
    }
}

/// Guards against callers' retries that are allowed at one instance for requests whose retries another one
/// has used up already.
#[test]
fn the_budget_holds_while_callers_move() {
    let base = Plan { ratio: 0.2, failing_from: 10_500, ..plan() };
    struct Case {
        name: &'static str,
        load: fn(usize, u64) -> usize,
        changes: Vec<(u64, Change)>,
    }
    let all = |times: &[u64]| times.iter().map(|time| (*time, Change::Kill(0..8))).collect();
    let cases = [
        Case {
            name: "to the other half",
            load: |instance, now| if (instance < 4) == (now < 12_000) { 10 } else { 0 },
            changes: Vec::new(),
        },
        Case {
            name: "to a fourth",
            load: |instance, now| match (instance < 2, now < 12_000) {
                (_, true) => 5,
                (true, false) => 20,
                (false, false) => 0,
            },
            changes: Vec::new(),
        },
        Case {
            name: "back and forth",
            load: |instance, now| if (instance < 4) == (now / 6_000 % 2 == 1) { 10 } else { 0 },
            changes: Vec::new(),
        },
        Case { name: "to new instances", load: |_, _| 5, changes: all(&[12_000]) },
        Case { name: "to new ones, twice", load: |_, _| 5, changes: all(&[12_000, 16_000]) },
    ];
    for Case { name, load, changes } in cases {
        check(name, &Plan { load, changes, ..base.clone() });
    }
}

/// A plan whose requests all fail, at instances that share a budget without a ratio.
fn plan() -> Plan {
    Plan {
        instances: 8,
        ratio: 0.0,
        extra: EXTRA,
        read_after: 0,
        heard_after: 50,
        changes: Vec::new(),
        load: |_, _| 3,
        failing_from: 0,
    }
}

/// Plays `plan` and checks the bound in each window.
fn check(name: &str, plan: &Plan) {
    let fleet = play(plan);
    let (used, allowed) = fleet.worst_window(plan.ratio, plan.extra);
    assert!(used as f64 <= allowed, "{name}: {used} retries, {allowed:.0} allowed");
    assert!(used > 0, "{name}: some retries are allowed");
}
