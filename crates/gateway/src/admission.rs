//! How long callers have waited before their request arrived here, and how long they may still wait.
//!
//! A caller that was refused returns to any instance and states a shorter time than at first. Its
//! objective counts from its first attempt, so that by then it is mostly missed, while a request
//! that has just been made can still meet its own. While there is too little room, a slot that goes
//! to a late request makes a request late that was not, whose caller returns later in turn, and the
//! shortage outlasts its cause. Late requests therefore get the slots that others leave free.

use std::collections::HashMap;
use std::time::Duration;

use sesamewind_protocol::{RouteId, Time};

use crate::flow::MIN_RETRY_AFTER_FRACTION;

/// Time for which the longest stated time of a route is remembered, at least.
const SPAN: Duration = Duration::from_secs(10);

/// Fraction of the time left to a late request for which it may wait for a slot. A caller that is
/// refused once more may not return.
const LATE_WAIT_FRACTION: f64 = 0.25;

/// Longest time that a late request may wait for a slot. Callers abandon a stream without an event
/// after two seconds or more, and the target needs time for the prompt.
const MAX_LATE_WAIT: Duration = Duration::from_millis(1_000);

/// Longest time that callers of one route have lately stated: during the present span and the one
/// before.
#[derive(Debug, Clone, Copy)]
struct Longest {
    start: Time,
    present: Duration,
    before: Duration,
}

/// Times that callers of each route state for their requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct StatedTimes {
    routes: HashMap<RouteId, Longest>,
}

impl StatedTimes {
    /// Records that a caller will wait for another `left`, of which its route's timeout leaves no more
    /// than `timeout`. Returns for how long it has waited at least since its first attempt.
    ///
    /// Callers that have not waited yet state different times. One that was told to return has used
    /// up a known fraction of its time, and so states clearly less than the longest.
    pub(crate) fn waited(
        &mut self,
        route: &RouteId,
        left: Duration,
        timeout: Duration,
        now: Time,
    ) -> Duration {
        if !self.routes.contains_key(route) {
            let first = Longest { start: now, present: left, before: Duration::ZERO };
            self.routes.insert(route.clone(), first);
        }
        let Some(longest) = self.routes.get_mut(route) else { return Duration::ZERO };
        if now.since(longest.start) >= SPAN {
            *longest = Longest { start: now, present: left, before: longest.present };
        }
        longest.present = longest.present.max(left);
        let usual = longest.present.max(longest.before).min(timeout);
        let kept = 1.0 - MIN_RETRY_AFTER_FRACTION;
        if left > usual.mul_f64(kept) {
            return Duration::ZERO;
        }
        left.mul_f64(MIN_RETRY_AFTER_FRACTION / kept)
    }
}

/// Returns until when a late request may wait for a slot.
pub(crate) fn late_wait_end(deadline: Time, now: Time) -> Time {
    now + deadline.since(now).mul_f64(LATE_WAIT_FRACTION).min(MAX_LATE_WAIT)
}
