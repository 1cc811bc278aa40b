//! Running high quantile of latency ratios.

/// Quantile above which an attempt is slow.
const QUANTILE: f64 = 0.95;

/// Number of observations from which the quantile is known.
const MIN_OBSERVATIONS: u32 = 40;

/// Number of observations at which all counts are halved, so that earlier ones lose weight.
const MAX_OBSERVATIONS: u32 = 800;

/// Number of buckets.
const BUCKETS: usize = 64;

/// Upper end of the first bucket.
const FIRST: f64 = 0.05;

/// Factor between the upper ends of two buckets.
const GROWTH: f64 = 1.15;

/// Counts of ratios in logarithmic buckets.
#[derive(Debug, Clone)]
pub(crate) struct RatioQuantile {
    counts: [u32; BUCKETS],
    total: u32,
}

impl Default for RatioQuantile {
    fn default() -> Self {
        Self { counts: [0; BUCKETS], total: 0 }
    }
}

impl RatioQuantile {
    /// Adds an observation.
    pub(crate) fn observe(&mut self, ratio: f64) {
        if self.total >= MAX_OBSERVATIONS {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
        let bucket = (ratio.max(FIRST) / FIRST).log(GROWTH).ceil();
        self.counts[(bucket as usize).min(BUCKETS - 1)] += 1;
        self.total += 1;
    }

    /// Returns the upper end of the bucket that contains the quantile; none if too few ratios were
    /// observed.
    pub(crate) fn high(&self) -> Option<f64> {
        if self.total < MIN_OBSERVATIONS {
            return None;
        }
        let mut left = f64::from(self.total) * QUANTILE;
        for (nth, &count) in self.counts.iter().enumerate() {
            left -= f64::from(count);
            if left <= 0.0 {
                return Some(FIRST * GROWTH.powi(nth as i32));
            }
        }
        None
    }
}
