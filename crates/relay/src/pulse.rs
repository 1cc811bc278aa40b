//! Observes the event loop and panics, so that their effects can be told from those of targets.

use std::panic;
use std::time::Duration;

use sesamewind_protocol::{Revision, Time};

use crate::metrics::Metrics;

/// Delay of a turn of the event loop from which it is reported. A timeout of a target is several
/// times as long.
const STALL: Duration = Duration::from_millis(100);

/// Detects late turns of the event loop.
#[derive(Debug)]
pub struct Pulse {
    interval: Duration,
    last: Option<(Time, Revision)>,
}

impl Pulse {
    /// Creates a detector for turns that are expected every `interval`.
    pub fn new(interval: Duration) -> Self {
        Self { interval, last: None }
    }

    /// Records a turn at `now`, with the configuration `revision` in force. Reports it if it is
    /// late.
    pub fn turn(&mut self, now: Time, revision: Revision, metrics: &Metrics) {
        let Some((last, before)) = self.last.replace((now, revision)) else { return };
        let delay = now.since(last).saturating_sub(self.interval);
        if delay < STALL {
            return;
        }
        metrics.loop_stalled(delay);
        log::warn!(
            event = "loop_stalled",
            stalled_ms = delay.as_millis() as u64,
            configured = before != revision,
            revision = revision.0;
            "turn of the event loop was late"
        );
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
