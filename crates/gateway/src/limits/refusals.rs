//! Refusals while the request limits of all targets of a service leave too few turns.

use std::time::Duration;

use rand::RngExt;
use sesamewind_protocol::{InstanceId, ServiceId, Time};

use crate::arrival::{Arrival, Ticket};
use crate::event::{Action, Step};
use crate::flow::MAX_RETRY_AFTER_FRACTION;
use crate::gateway::Gateway;
use crate::limits::MIN_RATE;
use crate::proof::{NotRunProof, Refusal, RefusalReason};
use crate::targets::Target;

/// Longest time after which refused callers are told to return.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(60);

/// Request limits of the targets of one service, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitSummary {
    /// Number of targets in use with a limit.
    pub targets: usize,
    /// Requests a second that they take from all instances together.
    pub rate: f64,
    /// Requests a second among these that this instance may send.
    pub share: f64,
    /// Time since the newest of the statements was heard.
    pub age: Duration,
    /// Peer that reported this statement; none if this instance has heard it itself.
    pub source: Option<InstanceId>,
}

impl Gateway {
    /// Returns whether all usable targets of a service, of which there is one at least, have no turn
    /// for this instance.
    pub(crate) fn is_limited(&self, service: &ServiceId, now: Time) -> bool {
        let mut usable = self.usable_targets(service, now).peekable();
        usable.peek().is_some() && usable.all(|target| !target.turn_wait(now).is_zero())
    }

    /// Returns the limits of the usable targets of a service; none if no target has one.
    pub(crate) fn limit_summary(&self, service: &ServiceId, now: Time) -> Option<LimitSummary> {
        let mut summary: Option<LimitSummary> = None;
        for target in self.usable_targets(service, now) {
            let Some((rate, share, since)) = target.bound() else { continue };
            let age = now.since(since);
            let source = target.limit.as_ref().and_then(|limit| limit.source.clone());
            let sum = summary.get_or_insert_with(|| LimitSummary {
                targets: 0,
                rate: 0.0,
                share: 0.0,
                age,
                source: source.clone(),
            });
            sum.targets += 1;
            sum.rate += rate;
            sum.share += share;
            if age < sum.age {
                (sum.age, sum.source) = (age, source);
            }
        }
        summary
    }

    /// Refuses the waiting requests whose wait ends before the turns for them and those before them.
    pub(crate) fn refuse_during_pause(&mut self, service: &ServiceId, now: Time) {
        let Some(state) = self.services.get(service).filter(|state| !state.queue.is_empty()) else {
            return;
        };
        let Some(pause) = self.pause_of_all(service, now) else { return };
        let interval = self.turn_interval(service, now);
        let mut next = now + pause;
        let mut late: Vec<Ticket> = Vec::new();
        for (ticket, until) in state.queue.waits() {
            let is_held = self.requests.get(&ticket).is_some_and(|request| request.held);
            if until <= next && !is_held {
                late.push(ticket);
            } else {
                next = next + interval;
            }
        }
        for ticket in late {
            let Some(request) = self.requests.remove(&ticket) else { continue };
            self.abandon(ticket, request, now);
        }
    }

    /// Notes on a request that waits whether a limit leaves no turn for it.
    pub(crate) fn note_held_off(&mut self, ticket: Ticket, now: Time) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let mut usable = self.usable_targets(&request.service, now);
        let held_off = usable.any(|target| !target.turn_wait(now).is_zero());
        drop(usable);
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.held_off = held_off;
        }
    }

    /// Refuses a request since the limits of all targets leave no turn for it in time.
    pub(crate) fn refuse_for_limits(&mut self, arrival: &Arrival, proof: NotRunProof, now: Time) {
        let wait = self.return_delay(arrival, now);
        let mut refusal = Refusal::new(proof, RefusalReason::Limited, wait);
        refusal.limits = self.limit_summary(arrival.route.service_at(arrival.point), now);
        self.out.push(Action { ticket: arrival.ticket, step: Step::Refuse(refusal) });
    }

    /// Returns a time after which a refused caller may return, so that callers return no faster than
    /// the limits allow.
    fn return_delay(&mut self, arrival: &Arrival, now: Time) -> Duration {
        let service = arrival.route.service_at(arrival.point);
        let rate = self.limit_summary(service, now).map_or(0.0, |summary| summary.rate);
        // Callers return to any instance.
        let rate = rate.max(MIN_RATE) / self.sharers.instances() as f64;
        let interval = Duration::from_secs_f64(1.0 / rate);
        let jitter = interval.mul_f64(self.rng.random_range(0.0..0.5));
        let Some(state) = self.services.get_mut(service) else { return interval };
        let next = state.next_return.max(now) + interval;
        let left = arrival.deadline.since(now);
        if next <= now + left.mul_f64(MAX_RETRY_AFTER_FRACTION) {
            state.next_return = next;
        }
        (next.since(now) + jitter).min(MAX_RETURN_DELAY)
    }

    fn usable_targets(&self, service: &ServiceId, now: Time) -> impl Iterator<Item = &Target> {
        let indexes = self.services.get(service).into_iter().flat_map(|state| &state.targets);
        let targets = indexes.map(|&index| self.targets.get(index));
        targets.filter(move |target| target.is_usable(now))
    }

    /// Returns the average time between two turns of this instance; zero if a usable target of the
    /// service takes any number of requests.
    fn turn_interval(&self, service: &ServiceId, now: Time) -> Duration {
        if self.usable_targets(service, now).any(|target| target.bound().is_none()) {
            return Duration::ZERO;
        }
        let share = self.limit_summary(service, now).map_or(0.0, |summary| summary.share);
        let seconds = 1.0 / share;
        if seconds < MAX_RETURN_DELAY.as_secs_f64() {
            Duration::from_secs_f64(seconds)
        } else {
            MAX_RETURN_DELAY
        }
    }
}
