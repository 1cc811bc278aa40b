//! Rollouts: good versions are completed in time, and bad ones receive few requests.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamewind_gateway::rollouts::{
    AllowedVersions, RecordedState, RolloutOrder, RolloutRecord, Rollouts,
};
use sesamewind_protocol::relay::RolloutOutcome;
use sesamewind_protocol::{Incarnation, InstanceId, ServiceId, VersionId};

use crate::support::at;

/// Behavior of the new version.
#[derive(Debug, Clone, Copy)]
struct Version {
    /// Fraction of its responses that fail, and the time after the order from which they do, in
    /// milliseconds.
    failing: (f64, u64),
    /// Factor by which it is slower than the old version.
    slowdown: f64,
}

/// Result of a simulated rollout.
#[derive(Debug)]
struct RolloutResult {
    outcome: Option<RolloutOutcome>,
    /// When the store received the outcome, in milliseconds.
    ended: u64,
    /// Number of requests that reached the new version before the outcome, and of all requests.
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

/// Simulates a rollout with `rate` requests per second over all instances. Both versions fail at
/// least the fraction `baseline` of their responses.
fn run_rollout(new: Version, rate: u64, baseline: f64, seed: u64) -> RolloutResult {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut instances: Vec<Rollouts> = (0..INSTANCES).map(|_| Rollouts::default()).collect();
    let duration = Duration::from_millis(DURATION);
    for rollouts in &mut instances {
        rollouts.add_order(
            RolloutOrder { service: service(), version: version("v2"), duration },
            at(0),
        );
    }
    let mut result = RolloutResult { outcome: None, ended: 0, exposed: 0, all: 0 };
    for now in 0..DURATION {
        if now * rate / 1_000 > now.saturating_sub(1) * rate / 1_000 {
            let instance = rng.random_range(0..INSTANCES);
            let rollouts = &mut instances[instance];
            let allowed_versions = rollouts.allowed_versions(&service(), rng.random(), at(now));
            let is_new = match allowed_versions {
                AllowedVersions::Only(_) | AllowedVersions::Prefer(_) => true,
                AllowedVersions::Any | AllowedVersions::Except(_) => false,
            };
            let failing = if is_new && now >= new.failing.1 { new.failing.0 } else { 0.0 };
            let ok = rng.random::<f64>() >= failing.max(baseline);
            let slowdown = if is_new { new.slowdown } else { 1.0 };
            let ratio = slowdown * rng.random_range(0.5..1.5);
            let name = version(if is_new { "v2" } else { "v1" });
            rollouts.count(&service(), &name, ok, Some(ratio));
            result.all += 1;
            result.exposed += u64::from(is_new && result.ended == 0);
        }
        if now % 100 == 0 {
            exchange(&mut instances, now);
            for rollouts in &mut instances {
                rollouts.evaluate();
            }
        }
        if now % 100 == 50 && result.ended == 0 {
            for record in instances[0].pending_records(at(now)) {
                instances[0].apply_record(&record);
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
        let progress = instances[from].progress(at(now));
        let name = InstanceId::new(format!("i{from}"));
        for (to, rollouts) in instances.iter_mut().enumerate() {
            if to != from {
                rollouts.apply_progress(&name, Incarnation(1), &progress, at(now));
            }
        }
    }
}

#[test]
fn rollouts_end_with_the_expected_outcome() {
    struct Case {
        name: &'static str,
        new: Version,
        rate: u64,
        baseline: f64,
        want: RolloutOutcome,
    }
    let good = Version { failing: (0.0, 0), slowdown: 1.0 };
    let cases = [
        Case { name: "good", new: good, rate: 150, baseline: 0.0, want: RolloutOutcome::Completed },
        Case {
            name: "good, and both fail now and then",
            new: good,
            rate: 150,
            baseline: 0.05,
            want: RolloutOutcome::Completed,
        },
        Case {
            name: "good with few requests",
            new: good,
            rate: 5,
            baseline: 0.0,
            want: RolloutOutcome::Completed,
        },
        Case {
            name: "fails half",
            new: Version { failing: (0.5, 0), ..good },
            rate: 150,
            baseline: 0.0,
            want: RolloutOutcome::TakenBack,
        },
        Case {
            name: "fails half beside baseline failures",
            new: Version { failing: (0.5, 0), ..good },
            rate: 150,
            baseline: 0.05,
            want: RolloutOutcome::TakenBack,
        },
        Case {
            name: "fails a third after the first stage",
            new: Version { failing: (0.33, 7_000), ..good },
            rate: 150,
            baseline: 0.0,
            want: RolloutOutcome::TakenBack,
        },
        Case {
            name: "four times slower",
            new: Version { slowdown: 4.0, ..good },
            rate: 150,
            baseline: 0.0,
            want: RolloutOutcome::TakenBack,
        },
    ];
    for case in cases {
        for seed in 1..=40 {
            let result = run_rollout(case.new, case.rate, case.baseline, seed);
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

/// The old version must receive no requests when the rollout is recorded as complete, since its
/// targets are stopped then.
#[test]
fn old_version_gets_no_requests_before_completion() {
    let mut rollouts = Rollouts::default();
    let duration = Duration::from_millis(DURATION);
    rollouts
        .add_order(RolloutOrder { service: service(), version: version("v2"), duration }, at(0));
    let allows_old = |rollouts: &Rollouts, now: u64| {
        rollouts.allowed_versions(&service(), 0.5, at(now)).allows(&version("v1"))
    };
    assert!(allows_old(&rollouts, 1_000));
    let complete = (0..DURATION).find(|now| {
        let record = rollouts.pending_records(at(*now));
        record.iter().any(|record| record.state == RecordedState::Ended(RolloutOutcome::Completed))
    });
    let complete = complete.expect("it is complete in time");
    // Requests of more than a second may be in flight.
    assert!(!allows_old(&rollouts, complete - 1_000));
    let record = RolloutRecord {
        service: service(),
        version: version("v2"),
        state: RecordedState::Ended(RolloutOutcome::TakenBack),
    };
    rollouts.apply_record(&record);
    assert!(allows_old(&rollouts, complete));
    assert!(!rollouts.allowed_versions(&service(), 0.5, at(complete)).allows(&version("v2")));
}
