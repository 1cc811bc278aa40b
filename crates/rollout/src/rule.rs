//! Rules that decide when a comparison speaks against the new version.

use statrs::distribution::{ContinuousCDF, Gamma};

use crate::compare::Comparison;

/// Bad requests below which no rule decides.
pub const MIN_BAD: f64 = 3.0;

/// Decides whether a comparison speaks against the new version.
pub trait Rule: std::fmt::Debug {
    /// Name in tables.
    fn name(&self) -> &'static str;

    /// True if the new version is bad by this comparison.
    fn decides(&self, comparison: &Comparison) -> bool;
}

/// Decides at fixed limits on the number of requests and the ratio to the expectation.
#[derive(Debug, Clone, Copy)]
pub struct FixedThresholds {
    /// Requests of the new version before any decision.
    pub requests: u64,
    /// Ratio of observed to expected bad requests.
    pub ratio: f64,
}

impl Default for FixedThresholds {
    fn default() -> Self {
        Self { requests: 20, ratio: 3.0 }
    }
}

impl Rule for FixedThresholds {
    fn name(&self) -> &'static str {
        "thresholds"
    }

    fn decides(&self, comparison: &Comparison) -> bool {
        comparison.observed >= MIN_BAD
            && comparison.counts.new_requests >= self.requests
            && comparison.observed >= self.ratio * comparison.expected
    }
}

/// The maximised sequential probability ratio test for Poisson counts with a flat boundary.
#[derive(Debug, Clone, Copy)]
pub struct MaxSprt {
    /// Log-likelihood ratio at which it decides.
    pub critical: f64,
}

impl Default for MaxSprt {
    fn default() -> Self {
        Self { critical: 6.0 }
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
    fn name(&self) -> &'static str {
        "maxsprt"
    }

    fn decides(&self, comparison: &Comparison) -> bool {
        comparison.observed >= MIN_BAD
            && Self::log_ratio(comparison.observed, comparison.expected) > self.critical
    }
}

/// Posterior of the relative risk from a Gamma prior and Poisson counts.
#[derive(Debug, Clone, Copy)]
pub struct GammaPoisson {
    /// Shape of the prior.
    pub shape: f64,
    /// Rate of the prior.
    pub rate: f64,
    /// Relative risk that must be exceeded.
    pub tolerated: f64,
    /// Posterior probability left to a relative risk within the tolerated one.
    pub doubt: f64,
}

impl Default for GammaPoisson {
    fn default() -> Self {
        Self { shape: 2.618, rate: 1.618, tolerated: 1.5, doubt: 0.001 }
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
    fn name(&self) -> &'static str {
        "gamma-poisson"
    }

    fn decides(&self, comparison: &Comparison) -> bool {
        let Comparison { observed, expected, .. } = *comparison;
        observed >= MIN_BAD
            && self.probability_below(self.tolerated, observed, expected) < self.doubt
    }
}
