//! Observes the event loop and panics, so that their effects can be told from those of targets.

use std::cell::Cell;
use std::panic;
use std::time::Duration;

use sesamewind_protocol::Revision;
use tokio::time::Instant;

use crate::metrics::Metrics;
use crate::silence::Wait;

/// Time without a turn of the event loop after which the instance counts as stalled: several times
/// the interval of its ticks.
const MIN_STALL: Duration = Duration::from_millis(150);

/// Detects stalls of the event loop: the process was suspended, or a turn took long.
#[derive(Debug)]
pub struct Watchdog {
    /// Time of the last turn, and the configuration in force then.
    last_turn: Cell<(Instant, Revision)>,
    stall_end: Cell<Option<Instant>>,
    /// Length of all stalls.
    stalled: Cell<Duration>,
}

impl Watchdog {
    /// Creates a detector at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            last_turn: Cell::new((now, Revision::default())),
            stall_end: Cell::default(),
            stalled: Cell::default(),
        }
    }

    /// Records that the event loop runs at `now`, with the configuration `revision` in force.
    /// Reports a stall, and returns its length.
    pub fn turn(&self, now: Instant, revision: Revision, metrics: &Metrics) -> Option<Duration> {
        let (last, before) = self.last_turn.get();
        self.last_turn.set((now.max(last), revision));
        let gap = now.duration_since(last);
        if gap < MIN_STALL {
            return None;
        }
        self.stall_end.set(Some(now));
        self.stalled.set(self.stalled.get() + gap);
        metrics.loop_stalled(gap);
        log::warn!(
            event = "loop_stalled",
            stalled_ms = gap.as_millis() as u64,
            configured = before != revision,
            revision = revision.0;
            "event loop did not run"
        );
        Some(gap)
    }

    /// Returns the length of all stalls so far.
    pub fn stalled(&self) -> Duration {
        self.stalled.get()
    }

    /// Returns what is known of a wait from `start`, when the length of all stalls was `stalled`, to
    /// `now`.
    pub fn wait(&self, start: Instant, stalled: Duration, now: Instant) -> Wait {
        Wait {
            ran: now.duration_since(start).saturating_sub(self.stalled.get() - stalled),
            since_stall: self.since_stall(start, now),
        }
    }

    /// Returns the time from the end of the last stall to `now`; none if there was no stall since
    /// `start`.
    pub fn since_stall(&self, start: Instant, now: Instant) -> Option<Duration> {
        let stall_end = self.stall_end.get().filter(|end| *end > start);
        stall_end.map(|end| now.duration_since(end))
    }
}

/// Logs and counts each panic of the process, in addition to what the previous hook does.
pub fn log_panics(metrics: &Metrics) {
    let panics = metrics.panics();
    let previous = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        panics.inc();
        let location = info.location().map(ToString::to_string).unwrap_or_default();
        let payload = info.payload_as_str().unwrap_or_default();
        log::error!(event = "panic", location = location.as_str(); "{payload}");
        previous(info);
    }));
}
