//! How many streams an engine runs at once, found from its load reports.
//!
//! An engine admits whatever comes and lets it wait inside in the order of arrival. It knows no
//! tiers, so what waits there stands before urgent work that comes later; nothing is sent beyond
//! what it runs. Requests also wait for prefill, which says nothing of a limit.

use std::time::Duration;

use sesamewind_protocol::target::LoadReport;
use sesamewind_protocol::{Time, WallTime};

/// Waiting requests that show a limit although some are prefilled meanwhile.
const BACKLOG_MIN_WAITING: u32 = 4;
/// Least limit that is believed from such a crowd.
const BACKLOG_MIN_RUNNING: f64 = 6.0;
/// Prefill of the waiting requests, in seconds, up to which it doesn't explain that they wait.
const BACKLOG_PREFILL_SECONDS: f64 = 0.3;
/// Reports in a row without any movement after which waiting requests wait for a place.
const STUCK_REPORTS: u32 = 2;
/// How long a limit is remembered.
const LIMIT_RETENTION: Duration = Duration::from_secs(120);

/// What a report says of requests inside the target.
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

    /// Whether requests still wait at `later` without any having been prefilled or begun since:
    /// they do not wait for prefill, which would go on.
    fn is_stuck(self, later: ReportSample) -> bool {
        later.measured > self.measured
            && self.waiting > 0
            && later.waiting >= self.waiting
            && later.running == self.running
            && later.running > 0
            && later.prefill >= self.prefill
    }

    /// Whether many requests wait at both times though their prompts are soon prefilled at `speed`
    /// and no more streams run than before.
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

/// The limit on a target's streams.
#[derive(Debug, Default)]
pub(crate) struct BatchLimit {
    last: Option<ReportSample>,
    stuck: u32,
    limit: Option<(f64, Time)>,
}

impl BatchLimit {
    /// Takes a report of a target that prefills `speed` tokens a second; returns whether it shows a
    /// limit that was not known.
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

    /// Most streams that the target runs at once, if it was found to be limited.
    pub(crate) fn limit(&self, now: Time) -> Option<f64> {
        let (streams, _) = self.limit.filter(|(_, at)| now.since(*at) < LIMIT_RETENTION)?;
        Some(streams)
    }

    /// Whether a request sent at `sent` may have waited for a place inside the target, so that its
    /// first token tells nothing of the speed of prefill.
    pub(crate) fn may_have_queued(&self, sent: Time) -> bool {
        self.limit.is_some_and(|(_, seen)| sent <= seen)
    }
}
