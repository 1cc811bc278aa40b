//! How many streams an engine runs at once, found from its load reports.
//!
//! An engine admits whatever comes and lets it wait inside in the order of arrival. It knows no
//! tiers, so what waits there stands before urgent work that comes later; nothing is sent beyond
//! what it runs. Requests also wait for prefill, which says nothing of a limit.

use std::time::Duration;

use sesamewind_protocol::target::LoadReport;
use sesamewind_protocol::{Time, WallTime};

/// Waiting requests that show a limit although some are prefilled meanwhile.
const CROWD_WAITING: u32 = 4;
/// Least limit that is believed from such a crowd.
const CROWD_LIMIT: f64 = 6.0;
/// Prefill of the waiting requests, in seconds, up to which it doesn't explain that they wait.
const CROWD_PREFILL: f64 = 0.3;
/// Reports in a row without any movement after which waiting requests wait for a place.
const STUCK_REPORTS: u32 = 2;
/// How long a limit is remembered.
const KEEP: Duration = Duration::from_secs(120);

/// What a report says of requests inside the target.
#[derive(Debug, Clone, Copy)]
struct Sighting {
    measured: WallTime,
    waiting: u32,
    running: u32,
    prefill: u64,
}

impl Sighting {
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
    fn is_stuck(self, later: Sighting) -> bool {
        later.measured > self.measured
            && self.waiting > 0
            && later.waiting >= self.waiting
            && later.running == self.running
            && later.running > 0
            && later.prefill >= self.prefill
    }

    /// Whether many requests wait at both times though their prompts are soon prefilled at `speed`
    /// and no more streams run than before.
    fn is_crowded(self, later: Sighting, speed: f64) -> bool {
        let waits = self.waiting >= CROWD_WAITING && later.waiting >= CROWD_WAITING;
        let is_level = self.running.abs_diff(later.running) <= 1;
        let prefill = later.prefill as f64 / speed;
        waits && is_level && f64::from(later.running) >= CROWD_LIMIT && prefill < CROWD_PREFILL
    }
}

/// The limit on a target's streams.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    last: Option<Sighting>,
    stuck: u32,
    limit: Option<(f64, Time)>,
}

impl Batch {
    /// Takes a report of a target that prefills `speed` tokens a second; returns whether it shows a
    /// limit that was not known.
    pub(crate) fn report(&mut self, report: &LoadReport, speed: f64, now: Time) -> bool {
        let sighting = Sighting::of(report);
        let Some(last) = self.last.replace(sighting) else { return false };
        self.stuck = if last.is_stuck(sighting) { self.stuck + 1 } else { 0 };
        if self.stuck < STUCK_REPORTS && !last.is_crowded(sighting, speed) {
            return false;
        }
        let is_new = self.limit(now).is_none();
        self.limit = Some((f64::from(sighting.running), now));
        is_new
    }

    /// Most streams that the target runs at once, if it was found to be limited.
    pub(crate) fn limit(&self, now: Time) -> Option<f64> {
        let (streams, _) = self.limit.filter(|(_, at)| now.since(*at) < KEEP)?;
        Some(streams)
    }

    /// Whether a request sent at `sent` may have waited for a place inside the target, so that its
    /// first token tells nothing of the speed of prefill.
    pub(crate) fn may_have_held(&self, sent: Time) -> bool {
        self.limit.is_some_and(|(_, seen)| sent <= seen)
    }
}
