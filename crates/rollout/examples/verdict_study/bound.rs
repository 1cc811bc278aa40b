//! The fewest requests with which any rule can tell a bad version from a good one.

/// Part of good versions that may be taken back, as in the target of 195 of 200.
const FALSE_ALARMS: f64 = 0.025;
/// Part of bad versions that may be missed, as in the target of 190 of 200.
const MISSED: f64 = 0.05;
/// Failures at a good version.
const BASE: f64 = 0.002;
/// Part of the requests slower than the old version's quantile at a good version.
const TAIL: f64 = 0.1;

/// Wald's lower bound on the expected number of requests at a bad version: the divergence that the
/// error rates demand, over the divergence that one request brings.
fn requests(good: f64, bad: f64) -> f64 {
    divergence(1.0 - MISSED, FALSE_ALARMS) / divergence(bad, good)
}

fn divergence(a: f64, b: f64) -> f64 {
    let part = |x: f64, y: f64| if x == 0.0 { 0.0 } else { x * (x / y).ln() };
    part(a, b) + part(1.0 - a, 1.0 - b)
}

/// Prints the bound for each kind of fault.
pub(crate) fn print() {
    println!("\nFewest requests at the new version, on average, for any rule:");
    println!("| fault | good | bad | requests |");
    println!("|---|---|---|---|");
    let faults = [
        ("fails outright", BASE, 1.0),
        ("fails 50%", BASE, 0.5),
        ("fails 30%", BASE, 0.3),
        ("fails 5%", BASE, 0.05),
        ("fails 2%", BASE, 0.02),
        ("fails 1%", BASE, 0.01),
        ("3 times slower", TAIL, 0.82),
        ("1.5 times slower", TAIL, 0.32),
        ("1.2 times slower", TAIL, 0.18),
    ];
    for (name, good, bad) in faults {
        println!("| {name} | {good} | {bad} | {:.0} |", requests(good, bad).ceil());
    }
}
