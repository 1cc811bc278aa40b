//! The guards without the client: backoff, breaker and budget.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use sesamewind_platform::{
    Backoff, BackoffTiming, Breaker, BreakerState, BreakerTiming, Budget, BudgetRate,
};
use sesamewind_protocol::Time;

const SEED: u64 = 5;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn backoff_bounds_double_up_to_the_cap() {
    struct Case {
        name: &'static str,
        failures: u32,
        want_ms: u64,
    }
    let cases = [
        Case { name: "first", failures: 0, want_ms: 50 },
        Case { name: "doubled", failures: 1, want_ms: 100 },
        Case { name: "doubled again", failures: 3, want_ms: 400 },
        Case { name: "capped", failures: 10, want_ms: 2_000 },
        Case { name: "far beyond the cap", failures: 100, want_ms: 2_000 },
    ];
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    for case in cases {
        let mut backoff = Backoff::new(BackoffTiming::default());
        for _ in 0..case.failures {
            let bound = backoff.bound();
            assert!(backoff.next(&mut rng) <= bound, "{}", case.name);
        }
        assert_eq!(backoff.bound(), millis(case.want_ms), "{}", case.name);
    }
}

#[test]
fn jitter_spreads_waits_over_the_whole_span() {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut quarters = [0u32; 4];
    for _ in 0..4_000 {
        let mut backoff = Backoff::new(BackoffTiming::default());
        let share = backoff.next(&mut rng).as_secs_f64() / millis(50).as_secs_f64();
        quarters[((share * 4.0) as usize).min(3)] += 1;
    }
    assert!(quarters.iter().all(|count| (800..1_200).contains(count)), "{quarters:?}");
}

/// Call to a breaker at a time in milliseconds.
enum Step {
    Failure(u64),
    Success(u64),
    /// Asks for admission and expects this answer.
    Admit(u64, bool),
}

#[test]
fn breaker_stops_calls_and_probes() {
    struct Case {
        name: &'static str,
        steps: Vec<Step>,
        is_closed: bool,
    }
    use Step::{Admit, Failure, Success};
    let fail = |at: u64| [Failure(at), Failure(at), Failure(at)];
    let with = |first: Vec<Step>, rest: Vec<Step>| first.into_iter().chain(rest).collect();
    let cases = [
        Case { name: "initially closed", steps: vec![Admit(0, true)], is_closed: true },
        Case {
            name: "failures that are not consecutive don't open it",
            steps: vec![Failure(0), Failure(1), Success(2), Failure(3), Failure(4), Admit(5, true)],
            is_closed: true,
        },
        Case {
            name: "consecutive failures open it",
            steps: with(fail(0).into(), vec![Admit(999, false)]),
            is_closed: false,
        },
        Case {
            name: "one probe at a time",
            steps: with(fail(0).into(), vec![Admit(1_000, true), Admit(1_001, false)]),
            is_closed: false,
        },
        Case {
            name: "a lost probe is replaced",
            steps: with(fail(0).into(), vec![Admit(1_000, true), Admit(2_000, true)]),
            is_closed: false,
        },
        Case {
            name: "a failed probe waits twice as long",
            steps: with(
                fail(0).into(),
                vec![Admit(1_000, true), Failure(1_100), Admit(3_099, false), Admit(3_100, true)],
            ),
            is_closed: false,
        },
        Case {
            name: "late failures don't prolong the wait",
            steps: with(fail(0).into(), vec![Failure(900), Failure(950), Admit(1_000, true)]),
            is_closed: false,
        },
        Case {
            name: "closed after the ramp",
            steps: with(
                fail(0).into(),
                vec![Admit(1_000, true), Success(1_010), Admit(5_010, true)],
            ),
            is_closed: true,
        },
    ];
    let probes = BackoffTiming { first: millis(1_000), cap: millis(8_000), jitter: false };
    let timing = BreakerTiming { threshold: 3, probes, ramp: millis(4_000) };
    for case in cases {
        let mut rng = ChaCha8Rng::seed_from_u64(SEED);
        let mut breaker = Breaker::new(timing);
        for step in case.steps {
            match step {
                Failure(at) => breaker.failure(Time::from_millis(at), &mut rng),
                Success(at) => breaker.success(Time::from_millis(at)),
                Admit(at, want) => {
                    let got = breaker.admit(Time::from_millis(at), millis(1_000), &mut rng);
                    assert_eq!(got, want, "{} at {at} ms", case.name);
                }
            }
        }
        let is_closed = breaker.state() == BreakerState::Closed;
        assert_eq!(is_closed, case.is_closed, "{}", case.name);
    }
}

#[test]
fn breaker_admits_a_rising_share_after_a_probe() {
    let timing = BreakerTiming { threshold: 1, ramp: millis(4_000), ..BreakerTiming::default() };
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut admitted = [0u32; 4];
    for _ in 0..1_000 {
        let mut breaker = Breaker::new(timing);
        breaker.failure(Time::ZERO, &mut rng);
        assert!(breaker.admit(Time::from_millis(1_000), millis(1_000), &mut rng));
        breaker.success(Time::from_millis(1_000));
        for (quarter, count) in admitted.iter_mut().enumerate() {
            let at = Time::from_millis(1_500 + 1_000 * quarter as u64);
            *count += u32::from(breaker.admit(at, millis(1_000), &mut rng));
        }
    }
    for (quarter, count) in admitted.into_iter().enumerate() {
        let want = 125 + 250 * quarter as u32;
        assert!(count.abs_diff(want) < 50, "{count} of 1000 admitted, {want} expected");
    }
}

#[test]
fn budget_limits_rate_and_burst() {
    struct Case {
        name: &'static str,
        calls_ms: Vec<u64>,
        want: Vec<bool>,
    }
    let cases = [
        Case { name: "burst", calls_ms: vec![0, 0, 0], want: vec![true, true, false] },
        Case {
            name: "refilled",
            calls_ms: vec![0, 0, 499, 500],
            want: vec![true, true, false, true],
        },
        Case {
            name: "a time without calls earns at most the burst",
            calls_ms: vec![60_000, 60_000, 60_000],
            want: vec![true, true, false],
        },
        Case {
            name: "clock goes back",
            calls_ms: vec![900, 900, 100],
            want: vec![true, true, false],
        },
    ];
    for case in cases {
        let mut budget = Budget::new(BudgetRate { per_s: 2.0, burst: 2.0 }, Time::ZERO);
        let acquired = |at: &u64| budget.acquire(Time::from_millis(*at));
        let got: Vec<bool> = case.calls_ms.iter().map(acquired).collect();
        assert_eq!(got, case.want, "{}", case.name);
    }
}

/// Rounding can leave almost a whole token missing by a tiny fraction. The wait for that fraction
/// must not round to zero, or the caller would loop without progress.
#[test]
fn budget_waits_are_long_enough() {
    let mut budget = Budget::new(BudgetRate { per_s: 3.0, burst: 1.0 }, Time::ZERO);
    let mut now = Time::ZERO;
    let mut waits = 0;
    for _ in 0..1_000 {
        while let Some(wait) = budget.wait(now) {
            now = now + wait;
            waits += 1;
        }
        assert!(budget.acquire(now));
    }
    assert!(waits <= 2_000, "{waits} waits for 1000 tokens");
}
