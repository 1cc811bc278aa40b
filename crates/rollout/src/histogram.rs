//! Logarithmic histogram buckets for request durations.

use std::time::Duration;

/// Buckets for each doubling of the duration.
const BUCKETS_PER_OCTAVE: f64 = 4.0;
/// Number of buckets. The last one also counts all longer durations (over two minutes).
const BUCKETS: usize = 69;

/// Returns the bucket of `duration`.
pub fn bucket_of(duration: Duration) -> usize {
    let millis = duration.as_secs_f64() * 1e3;
    let bucket = (millis.max(1.0).log2() * BUCKETS_PER_OCTAVE).floor() as usize;
    bucket.min(BUCKETS - 1)
}

/// Returns the upper end of `bucket` in milliseconds.
pub fn bucket_upper_ms(bucket: usize) -> f64 {
    ((bucket + 1) as f64 / BUCKETS_PER_OCTAVE).exp2()
}

/// Counts one request in `bucket`, growing `counts` as needed.
pub(crate) fn count(counts: &mut Vec<u32>, bucket: usize) {
    if counts.len() <= bucket {
        counts.resize(bucket + 1, 0);
    }
    counts[bucket] = counts[bucket].saturating_add(1);
}

/// Raises each count to that of `other` if it is lower.
pub(crate) fn raise(counts: &mut Vec<u32>, other: &[u32]) {
    let other = &other[..other.len().min(BUCKETS)];
    if counts.len() < other.len() {
        counts.resize(other.len(), 0);
    }
    for (mine, theirs) in counts.iter_mut().zip(other) {
        *mine = (*mine).max(*theirs);
    }
}

/// Adds the counts of `other`.
pub(crate) fn add(counts: &mut Vec<u64>, other: &[u32]) {
    if counts.len() < other.len() {
        counts.resize(other.len(), 0);
    }
    for (total, count) in counts.iter_mut().zip(other) {
        *total += u64::from(*count);
    }
}

/// Returns the number of requests in the buckets from `from` upwards.
pub(crate) fn count_from(counts: &[u64], from: usize) -> u64 {
    counts.iter().skip(from).sum()
}

/// Returns the lowest bucket for which at most the fraction `tail` of all requests lies in it or
/// above.
pub(crate) fn tail_bucket(counts: &[u64], tail: f64) -> usize {
    let total: u64 = counts.iter().sum();
    let limit = total as f64 * tail;
    let mut above = 0;
    for bucket in (0..counts.len()).rev() {
        above += counts[bucket];
        if above as f64 > limit {
            return bucket + 1;
        }
    }
    0
}
