//! Checks that requests which an instance has read are answered, and that connections stay open for
//! the next request.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use sesamewind_standins::relay::settings::GRACE;

use crate::check::{APPLY_TIME, Arrived, CROSSING_TIME, Evidence, breach};
use crate::configuration::{IDLE_LIMITS_MS, SHORT_TIMEOUT_MS};
use crate::record::{Breach, Change, Events, Outcome, Scope, Sent};

/// Fraction of the idle limit for which callers leave a connection idle and use it again.
const REUSE_FRACTION: f64 = 0.8;

/// Returns the breaches of both guarantees.
pub fn check(evidence: &Evidence<'_>) -> Vec<Breach> {
    let mut breaches = accepted(evidence);
    breaches.extend(kept_open(evidence));
    breaches
}

/// A request that an undisturbed instance has read ends with a complete answer or a refusal, if the
/// targets are sound and its time is not used up, whatever is planned at the same time.
///
/// A request that failed within [`CROSSING_TIME`] and reached no target counts as not read.
fn accepted(evidence: &Evidence<'_>) -> Vec<Breach> {
    let events = evidence.events;
    let arrived: HashSet<&str> = evidence.arrived.iter().map(Arrived::id).collect();
    let mut breaches = Vec::new();
    for sent in &events.sent {
        let has_arrived = arrived.contains(sent.id.as_str());
        let guarantee = match &sent.outcome {
            Outcome::Incomplete => "accepted requests: answer not broken off",
            Outcome::NoAnswer(_) if has_arrived => "accepted requests: answered",
            Outcome::NoAnswer(_) if sent.ended > sent.written + CROSSING_TIME => {
                "accepted requests: answered"
            }
            Outcome::Closed if has_arrived => "accepted requests: answered",
            Outcome::Status(500 | 502 | 504, _) => "accepted requests: not failed",
            _ => continue,
        };
        let scopes = [Scope::Instance(sent.instance.0), Scope::Targets];
        if had_time(sent) && events.is_undisturbed(&scopes, sent.at, sent.ended) {
            breaches.push(breach(guarantee, format!("arrived {has_arrived}: {sent:?}")));
        }
    }
    breaches
}

fn had_time(sent: &Sent) -> bool {
    let timeout = sent.timeout.min(Duration::from_millis(SHORT_TIMEOUT_MS));
    sent.ended < sent.at + timeout
}

/// An undisturbed instance that is not stopping keeps an idle connection open for
/// [`REUSE_FRACTION`] of each idle limit that may be in force.
fn kept_open(evidence: &Evidence<'_>) -> Vec<Breach> {
    let events = evidence.events;
    let mut breaches = Vec::new();
    for close in &events.idle_closes {
        let (instance, idle) = (close.instance.0, close.at - close.from);
        let limit = shortest_idle_limit(events, close.from, close.at);
        let stopping = events.changes.iter().any(|(at, change)| {
            *change == Change::Stopping(instance)
                && *at <= close.at
                && close.from <= *at + GRACE + CROSSING_TIME
        });
        let scopes = [Scope::Instance(instance), Scope::Store];
        if idle < limit.mul_f64(REUSE_FRACTION)
            && !stopping
            && events.is_undisturbed(&scopes, close.from, close.at)
        {
            let seen = format!("closed after {idle:?} of {limit:?}: {close:?}");
            breaches.push(breach("kept connection", seen));
        }
    }
    breaches
}

/// Returns the shortest idle limit that may be in force between two moments.
fn shortest_idle_limit(events: &Events, from: Instant, to: Instant) -> Duration {
    let written = events.changes.iter().filter_map(|(at, change)| match change {
        Change::IdleLimit(millis) if *at <= to => Some((*at, *millis)),
        _ => None,
    });
    let before = written.clone().rfind(|(at, _)| *at + APPLY_TIME <= from);
    let meanwhile = written.filter(|(at, _)| *at + APPLY_TIME > from);
    let millis = before.into_iter().chain(meanwhile).map(|(_, millis)| millis).min();
    Duration::from_millis(millis.unwrap_or(IDLE_LIMITS_MS.0))
}
