//! Detection of an engine's limit on concurrent streams from its load reports.
//!
//! An engine admits every request and queues it inside in the order of arrival. It knows no tiers,
//! so requests queued inside delay urgent work that comes later. Therefore no more requests are
//! sent than the engine runs at once. Requests also wait for prefill, which doesn't indicate a
//! limit.

use std::time::Duration;

use sesamewind_protocol::target::LoadReport;
use sesamewind_protocol::{Time, WallTime};

/// Waiting requests that indicate a limit even if some of them are prefilled meanwhile.
const BACKLOG_MIN_WAITING: u32 = 4;
/// Lowest limit that is accepted from such a backlog.
const BACKLOG_MIN_RUNNING: f64 = 6.0;
/// Prefill of the waiting requests below which it doesn't explain the wait, in seconds.
const BACKLOG_PREFILL_SECONDS: f64 = 0.3;
/// Consecutive reports without progress after which waiting requests count as waiting for a
/// slot.
const STUCK_REPORTS: u32 = 2;
/// Retention of a detected limit.
const LIMIT_RETENTION: Duration = Duration::from_secs(120);

/// A report's counts of requests inside the target.
#[derive(Debug, Clone, Copy)]
struct ReportSample {
    measured: WallTime,
    waiting: u32,
    running: u32,
    prefill: u64,
}

impl ReportSample {
    fn of(report: &LoadReport) -> Self {
        Self {
            measured: report.measured,
            waiting: report.waiting,
            running: report.running,
            prefill: report.prefill_tokens,
        }
    }

    /// Returns whether requests still wait at `later` and none was prefilled or started since. Then
    /// they don't wait for prefill, which would progress.
    fn is_stuck(self, later: ReportSample) -> bool {
        later.measured > self.measured
            && self.waiting > 0
            && later.waiting >= self.waiting
            && later.running == self.running
            && later.running > 0
            && later.prefill >= self.prefill
    }

    /// Returns whether many requests wait at both times, although their prompts take little time to
    /// prefill at `speed` and the number of streams is steady.
    fn is_backlogged(self, later: ReportSample, speed: f64) -> bool {
        let waits = self.waiting >= BACKLOG_MIN_WAITING && later.waiting >= BACKLOG_MIN_WAITING;
        let is_steady = self.running.abs_diff(later.running) <= 1;
        let prefill = later.prefill as f64 / speed;
        waits
            && is_steady
            && f64::from(later.running) >= BACKLOG_MIN_RUNNING
            && prefill < BACKLOG_PREFILL_SECONDS
    }
}

/// Limit on a target's concurrent streams.
#[derive(Debug, Default)]
pub(crate) struct BatchLimit {
    last: Option<ReportSample>,
    stuck: u32,
    limit: Option<(f64, Time)>,
}

impl BatchLimit {
    /// Applies a report of a target that prefills `speed` tokens per second. Returns whether it
    /// shows a limit that was not known before.
    pub(crate) fn report(&mut self, report: &LoadReport, speed: f64, now: Time) -> bool {
        let sample = ReportSample::of(report);
        let Some(last) = self.last.replace(sample) else { return false };
        self.stuck = if last.is_stuck(sample) { self.stuck + 1 } else { 0 };
        if self.stuck < STUCK_REPORTS && !last.is_backlogged(sample, speed) {
            return false;
        }
        let is_new = self.limit(now).is_none();
        self.limit = Some((f64::from(sample.running), now));
        is_new
    }

    /// Returns the maximum number of concurrent streams if a limit was detected.
    pub(crate) fn limit(&self, now: Time) -> Option<f64> {
        let (streams, _) = self.limit.filter(|(_, at)| now.since(*at) < LIMIT_RETENTION)?;
        Some(streams)
    }

    /// Returns whether a request sent at `sent` may have waited for a slot inside the target. Its
    /// first token then doesn't show the prefill speed.
    pub(crate) fn may_have_queued(&self, sent: Time) -> bool {
        self.limit.is_some_and(|(_, seen)| sent <= seen)
    }
}
