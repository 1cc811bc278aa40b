//! Moves of a service to another version: good ones end in time, bad ones get few requests.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamewind_gateway::rollouts::{
    Admitted, RecordedState, RolloutOrder, RolloutRecord, Rollouts,
};
use sesamewind_protocol::relay::RolloutOutcome;
use sesamewind_protocol::{Incarnation, InstanceId, ServiceId, VersionId};

use crate::support::at;

/// How the new version answers.
#[derive(Debug, Clone, Copy)]
struct Version {
    /// Part of its answers that fail, from so many milliseconds after the order on.
    failing: (f64, u64),
    /// How many times slower it is.
    slower: f64,
}

/// What a move came to.
#[derive(Debug)]
struct Result {
    outcome: Option<RolloutOutcome>,
    /// When the store had the outcome, in milliseconds.
    ended: u64,
    /// Requests that reached the new version, and all.
    exposed: u64,
    all: u64,
}

const DURATION: u64 = 12_000;
const INSTANCES: usize = 4;

fn service() -> ServiceId {
    ServiceId::new("s")
}

fn version(name: &str) -> VersionId {
    VersionId::new(name)
}

/// Plays a move with `rate` requests a second over all instances; both versions fail `usual` of
/// their answers.
fn play(new: Version, rate: u64, usual: f64, seed: u64) -> Result {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut instances: Vec<Rollouts> = (0..INSTANCES).map(|_| Rollouts::default()).collect();
    let duration = Duration::from_millis(DURATION);
    for moves in &mut instances {
        moves.order(RolloutOrder { service: service(), version: version("v2"), duration }, at(0));
    }
    let mut result = Result { outcome: None, ended: 0, exposed: 0, all: 0 };
    for now in 0..DURATION {
        if now * rate / 1_000 > now.saturating_sub(1) * rate / 1_000 {
            let instance = rng.random_range(0..INSTANCES);
            let moves = &mut instances[instance];
            let admitted = moves.admitted(&service(), rng.random(), at(now));
            let is_new = match admitted {
                Admitted::Only(_) | Admitted::Rather(_) => true,
                Admitted::Any | Admitted::Except(_) => false,
            };
            let failing = if is_new && now >= new.failing.1 { new.failing.0 } else { 0.0 };
            let ok = rng.random::<f64>() >= failing.max(usual);
            let pace = if is_new { new.slower } else { 1.0 };
            let ratio = pace * rng.random_range(0.5..1.5);
            let name = version(if is_new { "v2" } else { "v1" });
            moves.count(&service(), &name, ok, Some(ratio));
            result.all += 1;
            result.exposed += u64::from(is_new && result.ended == 0);
        }
        if now % 100 == 0 {
            exchange(&mut instances, now);
            for moves in &mut instances {
                moves.judge();
            }
        }
        if now % 100 == 50 && result.ended == 0 {
            for record in instances[0].to_record(at(now)) {
                instances[0].recorded(&record);
                if let RecordedState::Ended(outcome) = record.state {
                    result.outcome = Some(outcome);
                    result.ended = now;
                }
            }
        }
    }
    result
}

fn exchange(instances: &mut [Rollouts], now: u64) {
    for from in 0..instances.len() {
        let notes = instances[from].notes(at(now));
        let name = InstanceId::new(format!("i{from}"));
        for (to, moves) in instances.iter_mut().enumerate() {
            if to != from {
                moves.hear(&name, Incarnation(1), &notes, at(now));
            }
        }
    }
}

#[test]
fn versions_end_as_they_deserve() {
    struct Case {
        name: &'static str,
        new: Version,
        rate: u64,
        usual: f64,
        want: RolloutOutcome,
    }
    let good = Version { failing: (0.0, 0), slower: 1.0 };
    let cases = [
        Case { name: "good", new: good, rate: 150, usual: 0.0, want: RolloutOutcome::Completed },
        Case {
            name: "good, and both fail now and then",
            new: good,
            rate: 150,
            usual: 0.05,
            want: RolloutOutcome::Completed,
        },
        Case {
            name: "good with few requests",
            new: good,
            rate: 5,
            usual: 0.0,
            want: RolloutOutcome::Completed,
        },
        Case {
            name: "fails half",
            new: Version { failing: (0.5, 0), ..good },
            rate: 150,
            usual: 0.0,
            want: RolloutOutcome::TakenBack,
        },
        Case {
            name: "fails half beside usual failures",
            new: Version { failing: (0.5, 0), ..good },
            rate: 150,
            usual: 0.05,
            want: RolloutOutcome::TakenBack,
        },
        Case {
            name: "fails a third after the first stage",
            new: Version { failing: (0.33, 7_000), ..good },
            rate: 150,
            usual: 0.0,
            want: RolloutOutcome::TakenBack,
        },
        Case {
            name: "four times slower",
            new: Version { slower: 4.0, ..good },
            rate: 150,
            usual: 0.0,
            want: RolloutOutcome::TakenBack,
        },
    ];
    for case in cases {
        for seed in 1..=40 {
            let result = play(case.new, case.rate, case.usual, seed);
            assert_eq!(result.outcome, Some(case.want), "{} seed {seed}: {result:?}", case.name);
            assert!(result.ended < DURATION, "{} seed {seed}: {result:?}", case.name);
            if case.want == RolloutOutcome::TakenBack {
                let bound = 0.1 * result.all as f64 + 50.0;
                let exposed = result.exposed as f64;
                assert!(exposed <= bound, "{} seed {seed}: {result:?}", case.name);
            }
        }
    }
}

/// The old version gets nothing any more when the move is recorded as complete, since its targets
/// are stopped then.
#[test]
fn the_old_version_is_left_before_the_end() {
    let mut moves = Rollouts::default();
    let duration = Duration::from_millis(DURATION);
    moves.order(RolloutOrder { service: service(), version: version("v2"), duration }, at(0));
    let allows_old = |moves: &Rollouts, now: u64| {
        moves.admitted(&service(), 0.5, at(now)).allows(&version("v1"))
    };
    assert!(allows_old(&moves, 1_000));
    let complete = (0..DURATION).find(|now| {
        let record = moves.to_record(at(*now));
        record.iter().any(|record| record.state == RecordedState::Ended(RolloutOutcome::Completed))
    });
    let complete = complete.expect("it is complete in time");
    // Requests of a second and more may be in flight.
    assert!(!allows_old(&moves, complete - 1_000));
    let record = RolloutRecord {
        service: service(),
        version: version("v2"),
        state: RecordedState::Ended(RolloutOutcome::TakenBack),
    };
    moves.recorded(&record);
    assert!(allows_old(&moves, complete));
    assert!(!moves.admitted(&service(), 0.5, at(complete)).allows(&version("v2")));
}
