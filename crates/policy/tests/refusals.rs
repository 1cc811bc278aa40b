//! Run states of refusals, and retries at targets.

mod support;

use std::time::Duration;

use sesamewind_policy::{Action, AttemptOutcome, Event, Scheduler};
use sesamewind_protocol::{Code, RunState};

use support::{arrival, at, config, dispatched, instance, refusals, scheduler, step, tick};

/// Stage that an attempt reaches before it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reached {
    Dispatched,
    Written,
    Accepted,
    Streaming,
}

struct Case {
    name: &'static str,
    service: &'static str,
    reached: Reached,
    event: fn(&mut Scheduler) -> Vec<Action>,
    want: Option<(Code, RunState)>,
}

fn finish(node: &mut Scheduler, end: AttemptOutcome) -> Vec<Action> {
    step(node, Event::Finished { ticket: 1, end }, at(50))
}

fn deadline(node: &mut Scheduler) -> Vec<Action> {
    tick(node, at(10_100))
}

fn gone(node: &mut Scheduler) -> Vec<Action> {
    step(node, Event::CallerGone { ticket: 1 }, at(50))
}

#[test]
fn run_states() {
    use Reached::{Accepted, Dispatched, Streaming, Written};
    let broken: fn(&mut Scheduler) -> Vec<Action> =
        |node| finish(node, AttemptOutcome::Broken { sent: true });
    let failed: fn(&mut Scheduler) -> Vec<Action> = |node| finish(node, AttemptOutcome::Failed);
    let unknown = |code| Some((code, RunState::Unknown));
    let cases = [
        Case {
            name: "caller gone before the write",
            service: "chat",
            reached: Dispatched,
            event: gone,
            want: Some((Code::CallerGone, RunState::NotRun)),
        },
        Case {
            name: "deadline before the write",
            service: "chat",
            reached: Dispatched,
            event: deadline,
            want: Some((Code::DeadlinePassed, RunState::NotRun)),
        },
        Case {
            name: "model broken after the write",
            service: "chat",
            reached: Written,
            event: broken,
            want: unknown(Code::OutcomeUnknown),
        },
        Case {
            name: "plain call broken after the write",
            service: "book",
            reached: Written,
            event: broken,
            want: unknown(Code::OutcomeUnknown),
        },
        Case {
            name: "plain call broken in its answer",
            service: "book",
            reached: Accepted,
            event: broken,
            want: unknown(Code::OutcomeUnknown),
        },
        Case {
            name: "plain call past its deadline",
            service: "book",
            reached: Written,
            event: deadline,
            want: unknown(Code::OutcomeUnknown),
        },
        Case {
            name: "model past its deadline",
            service: "chat",
            reached: Written,
            event: deadline,
            want: unknown(Code::DeadlinePassed),
        },
        Case {
            name: "failed by the target",
            service: "chat",
            reached: Written,
            event: failed,
            want: Some((Code::TargetFailed, RunState::Ran)),
        },
        Case {
            name: "stream lost by the target",
            service: "chat",
            reached: Streaming,
            event: |node| finish(node, AttemptOutcome::RefusedNotRun),
            want: unknown(Code::AnswerBroken),
        },
        Case {
            name: "broken stream is resumed",
            service: "chat",
            reached: Streaming,
            event: broken,
            want: None,
        },
        Case {
            name: "plain caller gone after the write",
            service: "book",
            reached: Written,
            event: gone,
            want: None,
        },
    ];
    for case in cases {
        let mut node = scheduler(&config(1), instance("a", 1));
        let mut call = arrival(1, 1, at(1));
        call.service = case.service.into();
        call.idempotent = false;
        call.first_token_by = call.deadline;
        assert_eq!(dispatched(&step(&mut node, Event::Arrive(call), at(1))).len(), 1);
        if case.reached != Dispatched {
            step(&mut node, Event::WriteCheck { ticket: 1 }, at(2));
        }
        if matches!(case.reached, Accepted | Streaming) {
            step(&mut node, Event::Accepted { ticket: 1 }, at(3));
        }
        if case.reached == Streaming {
            step(&mut node, Event::Tokens { ticket: 1, n: 3 }, at(4));
        }
        let actions = (case.event)(&mut node);
        let got = refusals(&actions).pop().map(|refusal| (refusal.code(), refusal.run()));
        assert_eq!(got, case.want, "{}: {actions:?}", case.name);
        assert!(dispatched(&actions).is_empty(), "{}: dispatched again", case.name);
    }
}

#[test]
fn abandoned_attempt_is_never_written() {
    let mut node = scheduler(&config(1), instance("a", 1));
    step(&mut node, Event::Arrive(arrival(1, 1, at(1))), at(1));
    step(&mut node, Event::CallerGone { ticket: 1 }, at(2));
    let actions = step(&mut node, Event::WriteCheck { ticket: 1 }, at(3));
    assert!(matches!(actions[..], [Action::NoGo { refusal: None, .. }]), "{actions:?}");
}

/// While every target refuses every request, dispatches stay below 1.2 times the requests of
/// callers, and every caller is told when to retry.
#[test]
fn retries_stay_within_the_budget() {
    let mut node = scheduler(&config(4), instance("a", 1));
    let (mut offered, mut refused) = (0_u32, 0_u32);
    for ticket in 1..=500 {
        let now = at(ticket * 10);
        let mut actions = step(&mut node, Event::Arrive(arrival(ticket, ticket, now)), now);
        while let Some((ticket, _)) = dispatched(&actions).pop() {
            offered += 1;
            step(&mut node, Event::WriteCheck { ticket }, now);
            let end = AttemptOutcome::RefusedNotRun;
            actions = step(&mut node, Event::Finished { ticket, end }, now);
        }
        for refusal in refusals(&actions) {
            refused += 1;
            assert_eq!(refusal.run(), RunState::NotRun);
            assert!(refusal.retry_after().is_some_and(|after| after > Duration::ZERO));
        }
    }
    assert_eq!(refused, 500);
    assert!(f64::from(offered) < 1.2 * 500.0, "{offered} offered");
    assert!(offered > 500, "a few retries are allowed");
}

#[test]
fn refusal_of_one_target_is_tried_at_another() {
    let mut node = scheduler(&config(2), instance("a", 1));
    // As many requests as the retry budget allows initially.
    for ticket in 1..=8 {
        let actions = step(&mut node, Event::Arrive(arrival(ticket, ticket, at(1))), at(1));
        let first = dispatched(&actions).pop().expect("a dispatch").1;
        step(&mut node, Event::WriteCheck { ticket }, at(2));
        let end = AttemptOutcome::RefusedNotRun;
        let actions = step(&mut node, Event::Finished { ticket, end }, at(3));
        let second = dispatched(&actions).pop().expect("a second dispatch").1;
        assert_ne!(first, second);
        step(&mut node, Event::WriteCheck { ticket }, at(4));
        step(&mut node, Event::Finished { ticket, end: AttemptOutcome::Failed }, at(5));
    }
}

#[test]
fn stopping_instance_refuses_new_and_finishes_old() {
    let mut node = scheduler(&config(1), instance("a", 1));
    step(&mut node, Event::Arrive(arrival(1, 1, at(1))), at(1));
    step(&mut node, Event::WriteCheck { ticket: 1 }, at(2));
    step(&mut node, Event::Stop, at(3));
    let got = refusals(&step(&mut node, Event::Arrive(arrival(2, 2, at(4))), at(4)));
    assert_eq!((got[0].code(), got[0].run()), (Code::Stopping, RunState::NotRun));
    assert!(got[0].retry_after().is_some());
    assert!(!node.is_idle());
    step(&mut node, Event::Finished { ticket: 1, end: AttemptOutcome::Complete }, at(5));
    assert!(node.is_idle());
}

#[test]
fn leaving_target_and_unloaded_version_get_no_work() {
    let mut node = scheduler(&config(2), instance("a", 1));
    let leaving = sesamewind_protocol::TargetId::from("engine-0");
    let incarnation = sesamewind_protocol::Incarnation(0);
    step(&mut node, Event::TargetLeaving { target: &leaving, incarnation }, at(1));
    let report = sesamewind_protocol::target::LoadReport {
        target: "engine-1".into(),
        incarnation,
        measured: support::wall(at(2)),
        waiting: 0,
        running: 0,
        prefill_tokens: 0,
        versions: vec!["v2".into()],
        leaving: false,
    };
    step(&mut node, Event::TargetReport(&report), at(2));
    let actions = step(&mut node, Event::Arrive(arrival(1, 1, at(3))), at(3));
    assert!(dispatched(&actions).is_empty(), "{actions:?}");
    // The version is loaded before the timeout.
    let loaded = sesamewind_protocol::target::LoadReport {
        versions: vec!["v1".into(), "v2".into()],
        ..report
    };
    step(&mut node, Event::TargetReport(&loaded), at(500));
    assert_eq!(dispatched(&tick(&mut node, at(520))).len(), 1);
}
