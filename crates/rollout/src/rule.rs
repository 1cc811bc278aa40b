//! Rules that decide whether a comparison shows the new version to be worse.
//!
//! Each rule requires a minimum number of bad requests. When an engine crashes, the few requests
//! that it was serving fail, and their distribution over the arms is random.

use statrs::distribution::{ContinuousCDF, Gamma};

use crate::compare::Comparison;

/// Decides whether a comparison shows the new version to be worse.
pub trait Rule: std::fmt::Debug {
    /// Returns whether the comparison is sufficient evidence against the new version.
    fn is_significant(&self, comparison: &Comparison) -> bool;
}

/// Compares the number of requests and the ratio to the expectation with fixed thresholds.
#[derive(Debug, Clone, Copy)]
pub struct FixedThresholds {
    /// Minimum number of bad requests.
    pub min_bad: f64,
    /// Minimum number of requests of the new version.
    pub min_requests: u64,
    /// Minimum ratio of observed to expected bad requests.
    pub ratio: f64,
}

impl Default for FixedThresholds {
    fn default() -> Self {
        Self { min_bad: 5.0, min_requests: 10, ratio: 4.0 }
    }
}

impl Rule for FixedThresholds {
    fn is_significant(&self, comparison: &Comparison) -> bool {
        comparison.observed >= self.min_bad
            && comparison.counts.new_requests >= self.min_requests
            && comparison.observed >= self.ratio * comparison.expected
    }
}

/// The maximised sequential probability ratio test for Poisson counts with a flat boundary.
#[derive(Debug, Clone, Copy)]
pub struct MaxSprt {
    /// Minimum number of bad requests.
    pub min_bad: f64,
    /// Log-likelihood ratio that must be exceeded.
    pub critical: f64,
    /// Relative risk of the null hypothesis. With 1, the test would also detect differences that no
    /// caller notices.
    pub tolerated: f64,
}

impl Default for MaxSprt {
    fn default() -> Self {
        Self { min_bad: 5.0, critical: 4.5, tolerated: 1.3 }
    }
}

impl MaxSprt {
    /// Returns the log-likelihood ratio of the maximum-likelihood relative risk to a relative risk
    /// of 1. It is zero unless more bad requests were observed than expected.
    pub fn log_ratio(observed: f64, expected: f64) -> f64 {
        if observed <= expected {
            return 0.0;
        }
        (expected - observed) + observed * (observed / expected).ln()
    }
}

impl Rule for MaxSprt {
    fn is_significant(&self, comparison: &Comparison) -> bool {
        let tolerated = self.tolerated * comparison.expected;
        comparison.observed >= self.min_bad
            && Self::log_ratio(comparison.observed, tolerated) > self.critical
    }
}

/// Posterior of the relative risk from a gamma prior and Poisson counts.
#[derive(Debug, Clone, Copy)]
pub struct GammaPoisson {
    /// Minimum number of bad requests.
    pub min_bad: f64,
    /// Shape of the prior.
    pub shape: f64,
    /// Rate of the prior.
    pub rate: f64,
    /// Relative risk that must be exceeded.
    pub tolerated: f64,
    /// Upper limit on the posterior probability that the relative risk is within `tolerated`.
    pub max_posterior: f64,
}

impl Default for GammaPoisson {
    fn default() -> Self {
        Self { min_bad: 5.0, shape: 2.618, rate: 1.618, tolerated: 1.3, max_posterior: 0.001 }
    }
}

impl GammaPoisson {
    /// Returns the posterior probability that the relative risk is at most `risk`.
    pub fn probability_below(&self, risk: f64, observed: f64, expected: f64) -> f64 {
        let posterior = Gamma::new(self.shape + observed, self.rate + expected);
        posterior.map_or(1.0, |posterior| posterior.cdf(risk))
    }
}

impl Rule for GammaPoisson {
    fn is_significant(&self, comparison: &Comparison) -> bool {
        let Comparison { observed, expected, .. } = *comparison;
        observed >= self.min_bad
            && self.probability_below(self.tolerated, observed, expected) < self.max_posterior
    }
}
