//! Checks the statistics of the rules for verdicts against published values.

use sesamewind_rollout::rule::{GammaPoisson, MaxSprt};

/// Critical value of the table's sequential test.
const CRITICAL: f64 = 3.468;
/// Posterior probability beyond either end of the table's intervals.
const TAIL: f64 = 0.025;

/// A row of Table 4 of Li, Stewart and Rose, "A Bayesian approach to sequential analysis in
/// post-licensure vaccine safety surveillance", 2020.
struct Row {
    week: u32,
    observed: f64,
    expected: f64,
    ratio: f64,
    interval: (f64, f64),
    maxsprt: bool,
    bayesian: bool,
}

const fn row(
    week: u32,
    observed: f64,
    expected: f64,
    ratio: f64,
    interval: (f64, f64),
    (maxsprt, bayesian): (bool, bool),
) -> Row {
    Row { week, observed, expected, ratio, interval, maxsprt, bayesian }
}

const NEITHER: (bool, bool) = (false, false);
const BAYESIAN: (bool, bool) = (false, true);
const BOTH: (bool, bool) = (true, true);

const TABLE_4: [Row; 27] = [
    row(1, 0.0, 0.0000635, 0.000, (0.141, 3.660), NEITHER),
    row(2, 0.0, 0.0004074, 0.000, (0.141, 3.659), NEITHER),
    row(3, 0.0, 0.0006361, 0.000, (0.141, 3.659), NEITHER),
    row(4, 0.0, 0.0015739, 0.000, (0.141, 3.657), NEITHER),
    row(5, 0.0, 0.0149011, 0.000, (0.139, 3.627), NEITHER),
    row(6, 0.0, 0.0530657, 0.000, (0.136, 3.544), NEITHER),
    row(7, 0.0, 0.1538906, 0.000, (0.129, 3.342), NEITHER),
    row(8, 1.0, 0.3755498, 0.355, (0.345, 3.888), NEITHER),
    row(9, 2.0, 0.8393673, 0.576, (0.308, 3.492), NEITHER),
    row(10, 3.0, 1.6540956, 0.440, (0.455, 3.103), NEITHER),
    row(11, 7.0, 2.5440721, 2.629, (1.042, 3.834), BAYESIAN),
    row(12, 9.0, 3.3651772, 3.219, (1.153, 3.727), BAYESIAN),
    row(13, 15.0, 4.1043193, 8.544, (1.791, 4.577), BOTH),
    row(14, 17.0, 4.7263061, 9.487, (1.860, 4.513), BOTH),
    row(15, 18.0, 5.4139540, 9.039, (1.790, 4.245), BOTH),
    row(16, 21.0, 5.9908531, 11.331, (1.969, 4.400), BOTH),
    row(17, 23.0, 6.3116437, 13.053, (2.094, 4.525), BOTH),
    row(18, 24.0, 6.7721527, 13.138, (2.076, 4.419), BOTH),
    row(19, 25.0, 7.1411842, 13.466, (2.082, 4.368), BOTH),
    row(20, 25.0, 7.4691285, 12.672, (2.007, 4.211), BOTH),
    row(21, 26.0, 7.6449998, 13.470, (2.057, 4.255), BOTH),
    row(22, 26.0, 7.8169554, 13.064, (2.020, 4.177), BOTH),
    row(23, 26.0, 8.0741988, 12.479, (1.966, 4.066), BOTH),
    row(24, 26.0, 8.3038506, 11.980, (1.921, 3.972), BOTH),
    row(25, 26.0, 8.4930151, 11.583, (1.885, 3.898), BOTH),
    row(26, 26.0, 8.6873295, 11.189, (1.849, 3.824), BOTH),
    row(27, 26.0, 8.8479430, 10.874, (1.821, 3.766), BOTH),
];

#[test]
fn log_ratios_agree_with_table_4() {
    for row in TABLE_4 {
        let ratio = MaxSprt::log_ratio(row.observed, row.expected);
        assert!((ratio - row.ratio).abs() < 0.001, "week {}: {ratio}", row.week);
        assert_eq!(ratio > CRITICAL, row.maxsprt, "week {}", row.week);
    }
}

#[test]
fn posteriors_agree_with_table_4() {
    // The printed intervals hold 94.5% to 95.5% of the posterior. They are neither the narrowest
    // intervals nor those with equal tails, so the test compares only the probability that they
    // hold.
    let rule = GammaPoisson { shape: 2.618, rate: 1.618, ..GammaPoisson::default() };
    for row in TABLE_4 {
        let below = |risk: f64| rule.probability_below(risk, row.observed, row.expected);
        let content = below(row.interval.1) - below(row.interval.0);
        assert!((content - 0.95).abs() < 0.006, "week {}: {content}", row.week);
        assert_eq!(below(1.0) < TAIL, row.bayesian, "week {}: {}", row.week, below(1.0));
    }
}
