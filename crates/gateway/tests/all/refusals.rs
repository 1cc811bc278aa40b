//! A refusal states that a request has not run, and this is always true.

use sesamewind_gateway::{AttemptOutcome, Event, Repeat, Step};
use sesamewind_seeded::Cases;

use crate::support::{at, bench};

/// Answer to the caller after an attempt that is not followed by another one.
#[derive(Debug, PartialEq, Eq)]
enum Reported {
    Refused,
    Delivered,
    Unknown,
}

#[test]
fn only_an_outcome_that_proves_it_is_reported_as_not_run() {
    struct Case {
        outcome: AttemptOutcome,
        reported: Reported,
    }
    let cases = [
        Case { outcome: AttemptOutcome::Unconnected, reported: Reported::Refused },
        Case { outcome: AttemptOutcome::Declined, reported: Reported::Refused },
        Case { outcome: AttemptOutcome::Replaced, reported: Reported::Refused },
        Case { outcome: AttemptOutcome::Failing, reported: Reported::Delivered },
        Case { outcome: AttemptOutcome::Broken, reported: Reported::Unknown },
        Case { outcome: AttemptOutcome::Silent, reported: Reported::Unknown },
        // The target may still be working when the deadline passes.
        Case { outcome: AttemptOutcome::Expired, reported: Reported::Unknown },
    ];
    for case in cases {
        let mut bench = bench(0, 1);
        let ticket = bench.arrive("once", 0, at(10));
        assert!(bench.dispatch(ticket).is_some(), "{:?}", case.outcome);
        bench.end(ticket, case.outcome, at(20));
        // With a single target, a request that was not run is sent there again while the budget
        // allows it.
        while bench.dispatch(ticket).is_some() {
            bench.end(ticket, case.outcome, at(20));
        }
        // A request that needs another target waits for a free slot for some time.
        for now in (40..2_000).step_by(20) {
            bench.send(Event::Tick, at(now));
        }
        let reported = match bench.steps.remove(&ticket) {
            Some(Step::Refuse(_)) => Reported::Refused,
            Some(Step::DeliverFailure) => Reported::Delivered,
            Some(Step::Fail(_)) => Reported::Unknown,
            other => panic!("{:?}: {other:?}", case.outcome),
        };
        assert_eq!(reported, case.reported, "{:?}", case.outcome);
    }
}

/// Random outcomes of random requests: no request is refused after an attempt that may have run,
/// and no request that may run only once is sent again after such an attempt.
#[test]
fn no_sequence_of_outcomes_makes_a_false_refusal() {
    const OUTCOMES: [AttemptOutcome; 7] = [
        AttemptOutcome::Unconnected,
        AttemptOutcome::Declined,
        AttemptOutcome::Replaced,
        AttemptOutcome::Failing,
        AttemptOutcome::Broken,
        AttemptOutcome::Silent,
        AttemptOutcome::Expired,
    ];
    const ROUTES: [&str; 5] = ["urgent", "usual", "bulk", "once", "read"];
    let cases = Cases { count: 500, bytes: 256 };
    cases.check(bolero::produce::<Vec<(u8, u8, u8)>>(), |seed, script| {
        let mut bench = bench(3, 3);
        let mut now = 10;
        for (route, pause, outcomes) in script {
            now += u64::from(pause);
            let name = ROUTES[usize::from(route) % ROUTES.len()];
            let ticket = bench.arrive(name, 100, at(now));
            let once = bench.table.route("host.example", &format!("/{name}/")).expect("a route");
            let once = once.repeat == Repeat::Never;
            let (mut may_have_run, mut outcomes) = (false, usize::from(outcomes));
            while bench.dispatch(ticket).is_some() {
                assert!(!(may_have_run && once), "seed {seed}: {name} sent again");
                let outcome = OUTCOMES[outcomes % OUTCOMES.len()];
                outcomes /= 2;
                may_have_run |= !outcome.is_not_run();
                now += 1;
                bench.end(ticket, outcome, at(now));
            }
            if bench.refusal(ticket).is_some() {
                assert!(!may_have_run, "seed {seed}: {name} refused though it may have run");
            }
        }
    });
}

#[test]
fn a_caller_that_leaves_frees_its_slot_at_once() {
    let mut bench = bench(1, 0);
    let first: Vec<_> = (0..4).map(|_| bench.arrive("urgent", 100, at(10))).collect();
    let waiting = bench.arrive("urgent", 100, at(11));
    assert!(bench.dispatch(waiting).is_none());
    bench.send(Event::CallerLeft(first[0]), at(12));
    assert!(bench.dispatch(waiting).is_some());
    bench.send(Event::CallerLeft(waiting), at(13));
    assert_eq!(bench.gateway.open_requests(), 3);
}
