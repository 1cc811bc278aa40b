//! A lower bound on the requests that any rule needs to tell a bad version from a good one.

/// Rate of good versions that may be rolled back: at least 195 of 200 must be completed.
const FALSE_POSITIVE_RATE: f64 = 0.025;
/// Rate of bad versions that may be missed: at least 190 of 200 must be rolled back.
const FALSE_NEGATIVE_RATE: f64 = 0.05;
/// Failure rate of a good version.
const BASE_FAILURE_RATE: f64 = 0.002;
/// Fraction of a good version's requests that are slower than the old version's quantile.
const SLOW_FRACTION: f64 = 0.1;

/// Returns Wald's lower bound on the expected number of requests at a bad version: the divergence
/// required by the error rates, divided by the divergence of one request.
fn requests(good: f64, bad: f64) -> f64 {
    divergence(1.0 - FALSE_NEGATIVE_RATE, FALSE_POSITIVE_RATE) / divergence(bad, good)
}

fn divergence(a: f64, b: f64) -> f64 {
    let term = |x: f64, y: f64| if x == 0.0 { 0.0 } else { x * (x / y).ln() };
    term(a, b) + term(1.0 - a, 1.0 - b)
}

/// Prints the bound for each kind of fault.
pub(crate) fn print() {
    println!("\nLower bound on the average requests at the new version for any rule:");
    println!("| fault | good | bad | requests |");
    println!("|---|---|---|---|");
    let faults = [
        ("fails outright", BASE_FAILURE_RATE, 1.0),
        ("fails 50%", BASE_FAILURE_RATE, 0.5),
        ("fails 30%", BASE_FAILURE_RATE, 0.3),
        ("fails 5%", BASE_FAILURE_RATE, 0.05),
        ("fails 2%", BASE_FAILURE_RATE, 0.02),
        ("fails 1%", BASE_FAILURE_RATE, 0.01),
        ("3 times slower", SLOW_FRACTION, 0.82),
        ("1.5 times slower", SLOW_FRACTION, 0.32),
        ("1.2 times slower", SLOW_FRACTION, 0.18),
    ];
    for (name, good, bad) in faults {
        println!("| {name} | {good} | {bad} | {:.0} |", requests(good, bad).ceil());
    }
}
