//! The rules for verdicts and their arithmetic.

use sesamewind_rollout::rule::{GammaPoisson, MaxSprt};

/// Rows of Table 4 of Li, Stewart and Rose (2020): observed, expected, log-likelihood ratio, bounds
/// of the credible interval, and the two signals.
const TABLE_4: [(f64, f64, f64, f64, f64, bool, bool); 12] = [
    (0.0, 0.0000635, 0.000, 0.141, 3.660, false, false),
    (0.0, 0.1538906, 0.000, 0.129, 3.342, false, false),
    (1.0, 0.3755498, 0.355, 0.345, 3.888, false, false),
    (2.0, 0.8393673, 0.576, 0.308, 3.492, false, false),
    (3.0, 1.6540956, 0.440, 0.455, 3.103, false, false),
    (7.0, 2.5440721, 2.629, 1.042, 3.834, false, true),
    (9.0, 3.3651772, 3.219, 1.153, 3.727, false, true),
    (15.0, 4.1043193, 8.544, 1.791, 4.577, true, true),
    (17.0, 4.7263061, 9.487, 1.860, 4.513, true, true),
    (21.0, 5.9908531, 11.331, 1.969, 4.400, true, true),
    (25.0, 7.4691285, 12.672, 2.007, 4.211, true, true),
    (26.0, 8.8479430, 10.874, 1.821, 3.766, true, true),
];

fn hdi(shape: f64, rate: f64) -> (f64, f64) {
    use statrs::distribution::{Continuous, ContinuousCDF, Gamma};
    let g = Gamma::new(shape, rate).unwrap();
    let mode = (shape - 1.0) / rate;
    let (mut a, mut b) = (0.0, g.pdf(mode));
    let mut found = (0.0, 0.0);
    for _ in 0..60 {
        let h = (a + b) / 2.0;
        let (mut l, mut r) = (0.0, mode);
        for _ in 0..60 {
            let m = (l + r) / 2.0;
            if g.pdf(m) < h { l = m } else { r = m }
        }
        let (mut l2, mut r2) = (mode, mode + 50.0);
        for _ in 0..60 {
            let m = (l2 + r2) / 2.0;
            if g.pdf(m) > h { l2 = m } else { r2 = m }
        }
        found = (l, l2);
        if g.cdf(l2) - g.cdf(l) > 0.95 { a = h } else { b = h }
    }
    found
}
#[test]
fn probe() {
    let posterior = GammaPoisson::default();
    for (observed, expected, ratio, low, high, ..) in TABLE_4 {
        println!(
            "{observed} {expected} llr {:.3} ({ratio}) below low {:.4} above high {:.4} P<1 {:.4}",
            MaxSprt::log_ratio(observed, expected),
            posterior.probability_below(low, observed, expected),
            1.0 - posterior.probability_below(high, observed, expected),
            posterior.probability_below(1.0, observed, expected),
        );
        let (l, h) = hdi(2.618 + observed, 1.618 + expected);
        println!("   hdi {l:.3} {h:.3} printed {low} {high}");
    }
}
