//! Rules that decide when a comparison speaks against the new version.
//!
//! All three demand some bad requests before they decide: an engine that crashes fails the few
//! that it has, and which arm they belong to is chance.

use statrs::distribution::{ContinuousCDF, Gamma};

use crate::compare::Comparison;

/// Decides whether a comparison speaks against the new version.
pub trait Rule: std::fmt::Debug {
    /// True if the new version is bad by this comparison.
    fn is_significant(&self, comparison: &Comparison) -> bool;
}

/// Decides at fixed limits on the number of requests and the ratio to the expectation.
#[derive(Debug, Clone, Copy)]
pub struct FixedThresholds {
    /// Bad requests before any decision.
    pub min_bad: f64,
    /// Requests of the new version before any decision.
    pub min_requests: u64,
    /// Ratio of observed to expected bad requests.
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
    /// Bad requests before any decision.
    pub min_bad: f64,
    /// Log-likelihood ratio at which it decides.
    pub critical: f64,
    /// Relative risk that the test is against; one would also find what no caller notices.
    pub tolerated: f64,
}

impl Default for MaxSprt {
    fn default() -> Self {
        Self { min_bad: 5.0, critical: 4.5, tolerated: 1.3 }
    }
}

impl MaxSprt {
    /// Log-likelihood ratio of the maximum-likelihood relative risk to a relative risk of one;
    /// zero unless more was observed than expected.
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

/// Posterior of the relative risk from a Gamma prior and Poisson counts.
#[derive(Debug, Clone, Copy)]
pub struct GammaPoisson {
    /// Bad requests before any decision.
    pub min_bad: f64,
    /// Shape of the prior.
    pub shape: f64,
    /// Rate of the prior.
    pub rate: f64,
    /// Relative risk that must be exceeded.
    pub tolerated: f64,
    /// Posterior probability left to a relative risk within the tolerated one.
    pub max_posterior: f64,
}

impl Default for GammaPoisson {
    fn default() -> Self {
        Self { min_bad: 5.0, shape: 2.618, rate: 1.618, tolerated: 1.3, max_posterior: 0.001 }
    }
}

impl GammaPoisson {
    /// Posterior probability that the relative risk is at most `risk`.
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
