//! Retry budget of a service, which keeps retries from amplifying an overload.

/// Retries that a service may still make. Each success earns a fraction of one.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    ratio: f64,
    burst: f64,
    saved: f64,
}

impl RetryBudget {
    pub(crate) fn new(ratio: f64, burst: f64) -> Self {
        Self { ratio, burst, saved: burst }
    }

    pub(crate) fn configure(&mut self, ratio: f64, burst: f64) {
        self.ratio = ratio;
        self.burst = burst;
        self.saved = self.saved.min(burst);
    }

    /// Earns a fraction of a retry.
    pub(crate) fn success(&mut self) {
        self.saved = (self.saved + self.ratio).min(self.burst);
    }

    /// Spends a retry if one is available.
    pub(crate) fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
