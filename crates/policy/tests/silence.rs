//! Silent connections, as opposed to slow or dead targets.

mod support;

use sesamewind_policy::{Action, AttemptOutcome, Event, RetryReason, Scheduler};
use sesamewind_protocol::{Code, RunState, TargetId};

use support::{arrival, at, config, instance, refusals, scheduler, step, tick};

/// Starts streams 1 to `n`, which produce tokens until `until` ms.
fn streams(n: u64, until: u64) -> Scheduler {
    let mut node = scheduler(&config(1), instance("a", 1));
    for ticket in 1..=n {
        let mut call = arrival(ticket, ticket, at(1));
        call.deadline = at(60_000);
        step(&mut node, Event::Arrive(call), at(1));
        step(&mut node, Event::WriteCheck { ticket }, at(1));
        step(&mut node, Event::Accepted { ticket }, at(2));
    }
    for now in (20..=until).step_by(20) {
        for ticket in 1..=n {
            step(&mut node, Event::Tokens { ticket, n: 1 }, at(now));
        }
        tick(&mut node, at(now));
    }
    node
}

/// Ticks from `from` to `to` ms and returns the actions with their times.
fn watch(node: &mut Scheduler, from: u64, to: u64) -> Vec<(u64, Action)> {
    let mut seen = Vec::new();
    for now in (from..=to).step_by(20) {
        seen.extend(tick(node, at(now)).into_iter().map(|action| (now, action)));
    }
    seen
}

fn engine() -> TargetId {
    "engine-0".into()
}

#[test]
fn dead_connection_pool_costs_one_timeout() {
    let mut node = streams(5, 400);
    let seen = watch(&mut node, 420, 2_600);
    let probes: Vec<u64> = seen
        .iter()
        .filter_map(|(now, action)| matches!(action, Action::Probe { .. }).then_some(*now))
        .collect();
    assert_eq!(probes.len(), 1, "{seen:?}");
    // The limit is the progress timeout and one sweep.
    assert!(probes[0] <= 400 + 2_000 + 120, "{probes:?}");
    let target = engine();
    let actions = step(&mut node, Event::ProbeResult { target: &target, ok: true }, at(2_610));
    let resumed = actions.iter().filter(|action| matches!(action, Action::Resume { .. })).count();
    assert!(matches!(actions[0], Action::DropConnections { .. }), "{actions:?}");
    assert_eq!(resumed, 5);
    for ticket in 1..=5 {
        step(&mut node, Event::Accepted { ticket }, at(2_620));
        step(&mut node, Event::Tokens { ticket, n: 40 }, at(2_640));
        step(&mut node, Event::Finished { ticket, end: AttemptOutcome::Complete }, at(2_700));
    }
    assert_eq!(node.counters().completed, 5);
    assert_eq!(node.counters().retries[&RetryReason::StreamSilent], 5);
    assert!(node.counters().refusals.is_empty());
}

#[test]
fn slow_target_is_not_resumed_repeatedly() {
    let mut node = streams(1, 400);
    watch(&mut node, 420, 2_600);
    let target = engine();
    step(&mut node, Event::ProbeResult { target: &target, ok: true }, at(2_610));
    step(&mut node, Event::Accepted { ticket: 1 }, at(2_620));
    // The new connection works and brings no tokens, so the target is slow.
    let seen = watch(&mut node, 2_640, 12_000);
    let again = |action: &Action| matches!(action, Action::Probe { .. } | Action::Resume { .. });
    assert!(!seen.iter().any(|(_, action)| again(action)), "{seen:?}");
    step(&mut node, Event::Tokens { ticket: 1, n: 1 }, at(12_010));
    step(&mut node, Event::Finished { ticket: 1, end: AttemptOutcome::Complete }, at(12_020));
    assert_eq!(node.counters().completed, 1);
}

#[test]
fn long_prefill_does_not_count_as_silence() {
    let mut node = scheduler(&config(1), instance("a", 1));
    let mut call = arrival(1, 1, at(1));
    call.prompt_tokens = 10_000;
    call.deadline = at(60_000);
    call.first_token_by = at(60_000);
    step(&mut node, Event::Arrive(call), at(1));
    step(&mut node, Event::WriteCheck { ticket: 1 }, at(1));
    step(&mut node, Event::Accepted { ticket: 1 }, at(2));
    // At the default speed of an engine without observations, the prompt is predicted to take two
    // seconds.
    let seen = watch(&mut node, 20, 4_000);
    assert!(!seen.iter().any(|(_, action)| matches!(action, Action::Probe { .. })), "{seen:?}");
}

#[test]
fn suspect_target_gets_no_work_until_a_probe_succeeds() {
    let mut node = scheduler(&config(2), instance("a", 1));
    let target = engine();
    step(&mut node, Event::TargetDown { target: &target }, at(10));
    step(&mut node, Event::ProbeResult { target: &target, ok: false }, at(20));
    for ticket in 1..=6 {
        let actions = step(&mut node, Event::Arrive(arrival(ticket, ticket, at(30))), at(30));
        let to = support::dispatched(&actions);
        assert!(to.iter().all(|(_, to)| to.as_str() == "engine-1"), "{to:?}");
    }
    let seen = watch(&mut node, 40, 700);
    assert!(seen.iter().any(|(_, action)| matches!(action, Action::Probe { .. })), "{seen:?}");
    step(&mut node, Event::ProbeResult { target: &target, ok: true }, at(710));
    let view = node.targets_view();
    assert!(view.iter().all(|target| target.usable), "{view:?}");
}

#[test]
fn streams_of_a_dead_target_end_as_broken() {
    let mut node = streams(1, 400);
    let target = engine();
    step(
        &mut node,
        Event::Finished { ticket: 1, end: AttemptOutcome::Broken { sent: true } },
        at(410),
    );
    step(&mut node, Event::Finished { ticket: 1, end: AttemptOutcome::ConnectFailed }, at(420));
    step(&mut node, Event::ProbeResult { target: &target, ok: false }, at(430));
    let seen = watch(&mut node, 440, 6_000);
    let actions: Vec<Action> = seen.into_iter().map(|(_, action)| action).collect();
    let ends = refusals(&actions);
    assert_eq!(ends.len(), 1);
    assert_eq!((ends[0].code(), ends[0].run()), (Code::AnswerBroken, RunState::Unknown));
}

#[test]
fn plain_calls_are_neither_resumed_nor_repeated() {
    let mut node = scheduler(&config(1), instance("a", 1));
    let mut call = arrival(1, 1, at(1));
    call.service = "book".into();
    call.idempotent = false;
    call.deadline = at(8_000);
    step(&mut node, Event::Arrive(call), at(1));
    step(&mut node, Event::WriteCheck { ticket: 1 }, at(1));
    let seen = watch(&mut node, 20, 3_000);
    assert!(seen.iter().any(|(_, action)| matches!(action, Action::Probe { .. })));
    let target: TargetId = "desk-0".into();
    let actions = step(&mut node, Event::ProbeResult { target: &target, ok: true }, at(3_010));
    assert!(matches!(actions[..], [Action::DropConnections { .. }]), "{actions:?}");
    let seen = watch(&mut node, 3_020, 8_100);
    let actions: Vec<Action> = seen.into_iter().map(|(_, action)| action).collect();
    let ends = refusals(&actions);
    assert_eq!(ends.len(), 1, "{actions:?}");
    assert_eq!((ends[0].code(), ends[0].run()), (Code::OutcomeUnknown, RunState::Unknown));
    assert!(support::dispatched(&actions).is_empty());
}
