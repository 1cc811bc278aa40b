//! Instances that reach no target while peers do.

use std::time::Duration;

use sesamewind_gateway::{AttemptOutcome, Event, Gateway, ProbeResult, Step, Tuning};
use sesamewind_protocol::Time;
use sesamewind_protocol::relay::{ReachReport, ReachState, RelayUpdate, StorePosition};

use crate::reach_fleet::{Fault, PROBE_MS, Plan, Tries, WORK_MS, play};
use crate::support::{Bench, PLAIN, at, identity, routing, target};

const FAULTS: [Fault; 3] = [Fault::Hang, Fault::Reset, Fault::RefuseNew];

/// A deployment with targets for its load, and the instances that are cut from them.
fn plan(instances: usize, cut: usize, fault: Fault) -> Plan {
    let zone = instances / 2;
    Plan {
        zones: vec![zone, instances - zone],
        targets: (12.max(instances / 2), 8),
        rate: 8.0,
        fault,
        cut: 0..cut,
        down: 0..0,
        work: WORK_MS,
        probe: PROBE_MS,
        during: 3_000..9_000,
        length: 10_700,
    }
}

/// Checks plays of `instances` with a part of the first availability zone cut.
fn check(instances: usize, faults: impl Fn(usize) -> Vec<Fault>) {
    let zone = instances / 2;
    for (case, cut) in [1, zone.div_ceil(3), zone * 9 / 10, zone].into_iter().enumerate() {
        for fault in faults(case) {
            let report = play(&plan(instances, cut.max(1), fault), 5);
            let what = format!("{cut} of {instances}, {fault:?}: {report:?}");
            let [at_cut, others] = report.tries;
            assert!(at_cut.asked > 0 && others.share() > 0.9, "{what}");
            assert!(at_cut.share() >= 0.9 * others.share(), "{what}");
            assert!(report.recognized.is_some_and(|after| after <= 3_000), "{what}");
            assert!(report.returned.is_some_and(|after| after <= 1_500), "{what}");
            assert_eq!(report.mistaken, 0, "{what}");
            assert_eq!(report.repeated, 0, "{what}");
        }
    }
}

/// Guards against failing first tries at instances that reach no target, which peers could serve.
#[test]
fn first_tries_at_instances_that_are_cut_off_are_served_by_peers() {
    check(6, |_| FAULTS.to_vec());
    check(60, |_| FAULTS.to_vec());
}

/// Like the test before, for a deployment in which most instances hear of each other rarely.
#[test]
fn first_tries_are_served_by_peers_in_a_large_deployment() {
    check(300, |case| vec![FAULTS[case % FAULTS.len()]]);
}

/// Guards against counting the first attempt of a request that is passed on at both instances, which
/// would allow retries of it twice.
#[test]
fn requests_that_are_passed_on_count_once_in_the_retry_budget() {
    let mut passed_again = 0;
    for fault in FAULTS {
        let report = play(&plan(6, 2, fault), 5);
        let what = format!("{fault:?}: {report:?}");
        assert!(report.first <= report.arrived, "{what}");
        assert!(report.first >= report.arrived * 9 / 10, "{what}");
        passed_again += report.passed_again;
    }
    assert!(passed_again > 0);
}

/// Guards against taking targets that are down, silent or idle for a partition of the instance.
#[test]
fn an_instance_whose_peers_reach_no_more_than_it_does_is_not_cut_off() {
    struct Case {
        name: &'static str,
        targets: usize,
        down: std::ops::Range<usize>,
        rate: f64,
    }
    let cases = [
        Case { name: "one target of many", targets: 12, down: 0..1, rate: 20.0 },
        Case { name: "one target of two", targets: 2, down: 0..1, rate: 10.0 },
        Case { name: "the only target", targets: 1, down: 0..1, rate: 10.0 },
        Case { name: "half of the targets", targets: 12, down: 0..6, rate: 20.0 },
        Case { name: "most targets", targets: 12, down: 0..10, rate: 10.0 },
        Case { name: "all targets", targets: 12, down: 0..12, rate: 20.0 },
        Case { name: "no traffic", targets: 12, down: 0..12, rate: 0.0 },
        Case { name: "little traffic", targets: 12, down: 0..12, rate: 0.3 },
    ];
    for Case { name, targets, down, rate } in cases {
        for fault in FAULTS {
            for seed in 0..5 {
                let plan =
                    Plan { targets: (targets, 8), down: down.clone(), rate, ..plan(6, 0, fault) };
                let report = play(&plan, seed);
                assert_eq!(report.mistaken, 0, "{name}, {fault:?}, seed {seed}: {report:?}");
                assert!(rate > 0.0 || report.probes == 0, "{name}: {report:?}");
            }
        }
    }
}

/// Guards against recognizing a cut late, or where there is none, in a deployment whose targets take
/// long to answer probes.
#[test]
fn slow_answers_of_all_targets_neither_hide_a_cut_nor_look_like_one() {
    let (mut at_cut, mut others) = (Tries::default(), Tries::default());
    for fault in FAULTS {
        for (cut, targets) in [(0, 3), (0, 24), (1, 3), (1, 24), (3, 24)] {
            for (work, seed) in [(WORK_MS, 1), (600..700, 2), (600..700, 3), (600..700, 4)] {
                let targets = (targets, 32);
                let plan = Plan {
                    targets,
                    work,
                    probe: 600,
                    rate: 4.0,
                    during: 3_000..12_000,
                    length: 14_000,
                    ..plan(6, cut, fault)
                };
                let report = play(&plan, seed);
                let what = format!("{cut} cut, {targets:?}, {fault:?}, seed {seed}: {report:?}");
                assert_eq!((report.mistaken, report.repeated), (0, 0), "{what}");
                if cut > 0 {
                    assert!(report.recognized.is_some_and(|after| after <= 2_600), "{what}");
                    assert!(report.returned.is_some_and(|after| after <= 2_000), "{what}");
                    if targets.0 > 3 {
                        at_cut.add(&report.tries[0]);
                        others.add(&report.tries[1]);
                    }
                }
            }
        }
    }
    // Where targets have room for all requests.
    assert!(
        others.share() > 0.9 && at_cut.share() >= 0.9 * others.share(),
        "{at_cut:?} {others:?}"
    );
}

/// Returns the update of a peer in `state` whose targets have just answered.
fn report(peer: &mut Gateway, state: ReachState, now: Time) -> RelayUpdate {
    let position = StorePosition::default();
    let to = identity("i1", "z1").instance;
    let update = peer.peer_update(&to, position, now, now);
    let just = Some(Duration::ZERO);
    let reach =
        ReachReport { state, answered: just, probed: just, probe_time: just, own: 1, passed: 0 };
    RelayUpdate { reach: Some(reach), address: "127.0.0.1:7600".into(), ..update }
}

/// Guards against sending a request to an unreachable target since the peers are in doubt, which they may
/// be because of the requests that they have just taken.
#[test]
fn requests_are_passed_on_to_peers_in_doubt_rather_than_to_targets_out_of_reach() {
    struct Case {
        state: ReachState,
        passed: bool,
    }
    let cases = [
        Case { state: ReachState::Reaching, passed: true },
        Case { state: ReachState::InDoubt, passed: true },
        Case { state: ReachState::CutOff, passed: false },
    ];
    for Case { state, passed } in cases {
        let targets = (0..3).map(|n| target(&format!("p{n}"), PLAIN, 4)).collect();
        let mut bench = Bench::new(routing(), targets, Tuning::default());
        let mut peer = Gateway::new(identity("i2", "z1"), Tuning::default(), 1);
        let mut now = 1_000;
        while !bench.gateway.is_cut_off() {
            let update = report(&mut peer, ReachState::Reaching, at(now));
            bench.send(Event::PeerUpdate(&update), at(now));
            let ticket = bench.arrive("read", 0, at(now));
            bench.end(ticket, AttemptOutcome::Unconnected, at(now));
            bench.send(Event::CallerLeft(ticket), at(now));
            bench.send(Event::Tick, at(now));
            for probe in bench.gateway.take_probes() {
                let result = ProbeResult { answered: false, took: Duration::from_millis(10) };
                bench.send(Event::Probed(probe.target, result), at(now + 10));
            }
            now += 20;
            assert!(now < 5_000, "the instance is cut off");
        }
        let update = report(&mut peer, state, at(now));
        bench.send(Event::PeerUpdate(&update), at(now));
        let ticket = bench.arrive("once", 0, at(now));
        let step = &bench.steps[&ticket];
        assert_eq!(matches!(step, Step::PassOn(_)), passed, "{state:?}: {step:?}");
    }
}
