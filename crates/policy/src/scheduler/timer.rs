//! Work that is due by time alone.

use std::cmp::Reverse;
use std::time::Duration;

use rand::RngExt;
use sesamewind_protocol::Code;

use crate::config::Kind;
use crate::event::Ticket;
use crate::speed::Prior;

use super::request::Stage;
use super::{Context, Scheduler};

/// Interval of the less urgent periodic work.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Number of waiting requests per request that the first round cancels.
const FIRST_ROUND_DIVISOR: u32 = 4;
/// Limit on how often the number of requests cancelled in a round is doubled.
const MAX_DOUBLINGS: u32 = 10;
/// A first token counts as overdue after this multiple of the predicted time, and again after each
/// further power of it.
const OVERDUE_FACTOR: u32 = 4;

impl Scheduler {
    pub(super) fn run_timers(&mut self, cx: Context<'_>) {
        self.expire_requests(cx);
        self.retry_lookups(cx);
        self.continue_join(cx);
        for target in &mut self.targets {
            target.sample_load(cx.wall);
        }
        self.update_floor_acks(cx);
        self.unpark();
        for service in 0..self.services.len() {
            self.preempt_lower(service, cx);
            self.dispatch_waiting(service, cx);
        }
        if cx.now.since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = cx.now;
            self.sweep(cx);
        }
    }

    fn sweep(&mut self, cx: Context<'_>) {
        self.find_silent(cx);
        self.update_probes(cx);
        self.cancel_orphans(cx);
        self.observe_overdue(cx);
        self.records.expire(cx.now);
        self.accounts.expire(self.limits.peer_timeout, cx.now);
        self.own_share = self.accounts.own_share(cx.now);
        for target in &mut self.targets {
            target.expire_peers(self.limits.peer_timeout, cx.now);
            target.expire_hints(self.limits.cache_retention, cx.now);
        }
        for service in 0..self.services.len() {
            self.services[service].queue.prune();
            self.services[service].assign_long_targets(&self.limits, cx.now);
            self.update_priors(service);
        }
    }

    /// Ends requests past their deadline.
    fn expire_requests(&mut self, cx: Context<'_>) {
        while let Some(Reverse((at, ticket))) = self.deadlines.peek().copied() {
            if at > cx.now {
                break;
            }
            self.deadlines.pop();
            let Some(request) = self.requests.get(&ticket) else { continue };
            let waiting = matches!(request.stage, Stage::Received(_) | Stage::Queued(_));
            if !waiting && cx.now < request.arrival.deadline {
                self.deadlines.push(Reverse((request.arrival.deadline, ticket)));
                continue;
            }
            self.expire_request(ticket, cx);
        }
    }

    fn expire_request(&mut self, ticket: Ticket, cx: Context<'_>) {
        let Some(request) = self.requests.remove(&ticket) else { return };
        let plain = self.services[request.service].kind == Kind::Plain;
        match request.stage {
            Stage::Received(_) | Stage::Queued(_) | Stage::Dispatching(..) => {
                let retry_after = Some(self.retry_delay(request.service, cx));
                self.abandon(request, Code::DeadlinePassed, retry_after, cx);
            }
            Stage::Sent(..) | Stage::Streaming(..) if plain => {
                self.abandon_sent(request, Code::OutcomeUnknown, cx);
            }
            Stage::Sent(..) | Stage::Streaming(..) => {
                self.cancel(request, Code::DeadlinePassed, None, cx);
            }
        }
    }

    /// Cancels requests that no caller waits for.
    fn cancel_orphans(&mut self, cx: Context<'_>) {
        let grace = self.limits.orphan_grace;
        let mut orphans: Vec<Ticket> = Vec::new();
        for (ticket, request) in &self.requests {
            let model = self.services[request.service].kind == Kind::Model;
            if model && request.orphaned_since.is_some_and(|since| cx.now.since(since) >= grace) {
                orphans.push(*ticket);
            }
        }
        orphans.sort_unstable();
        for ticket in orphans {
            let Some(request) = self.requests.remove(&ticket) else { continue };
            self.cancel(request, Code::CallerGone, None, cx);
        }
    }

    /// Cancels work below a preempting tier floor, starting with the requests that lose the least
    /// work. The first round cancels a number in proportion to this instance's share of the waiting
    /// requests, and each further round twice as many. A small need thus cancels little, and a large
    /// need is met soon.
    fn preempt_lower(&mut self, service: usize, cx: Context<'_>) {
        let state = &mut self.services[service];
        let Some((floor, waiting)) = self.floors.preempting(&state.id, cx.now) else {
            state.cancel_rounds = 0;
            return;
        };
        let is_due = cx.now.since(state.last_cancel) >= self.limits.preempt_interval;
        let runs_lower = state.lowest_running().is_some_and(|lowest| lowest > floor);
        if state.kind == Kind::Plain || !is_due || !runs_lower {
            return;
        }
        state.last_cancel = cx.now;
        let first = f64::from(waiting) / f64::from(self.floors.instances() * FIRST_ROUND_DIVISOR);
        let quota = first * f64::from(1 << state.cancel_rounds.min(MAX_DOUBLINGS));
        // A fraction of a request is rounded at random, so that all instances together cancel the
        // right number.
        let count = quota as usize + usize::from(self.rng.random::<f64>() < quota.fract());
        state.cancel_rounds += 1;
        let mut lower: Vec<(u64, Ticket)> = Vec::new();
        for (ticket, request) in &self.requests {
            if request.service != service || request.arrival.rank <= floor {
                continue;
            }
            let Some(in_flight) = request.stage.in_flight() else { continue };
            let prefill = self.targets[in_flight.target].speed.prefill();
            lower.push((in_flight.work_done(prefill, cx.now) as u64, *ticket));
        }
        lower.sort_unstable();
        for (_, ticket) in lower.iter().take(count) {
            self.preempt(*ticket, cx);
        }
        self.update_floor_acks(cx);
    }

    /// Counts a long overdue first token against the speed of its target before the token arrives.
    fn observe_overdue(&mut self, cx: Context<'_>) {
        let mut overdue: Vec<(Ticket, usize, f64, f64, Duration)> = Vec::new();
        for (ticket, request) in &mut self.requests {
            let (Stage::Sent(_, in_flight) | Stage::Streaming(_, in_flight)) = &mut request.stage
            else {
                continue;
            };
            let waited = cx.now.since(in_flight.sent);
            let due = in_flight.predicted * in_flight.overdue_multiple * OVERDUE_FACTOR;
            if in_flight.produced > 0 || in_flight.predicted.is_zero() || waited < due {
                continue;
            }
            if self.targets[in_flight.target].batch.may_have_queued(in_flight.sent) {
                continue;
            }
            in_flight.overdue_multiple *= OVERDUE_FACTOR;
            overdue.push((*ticket, in_flight.target, in_flight.work, in_flight.certainty, waited));
        }
        // Sorted by ticket, so that equal runs learn the same speeds.
        overdue.sort_unstable_by_key(|entry| entry.0);
        for (_, target, work, certainty, waited) in overdue {
            self.targets[target].speed.observe_prefill(work, certainty, waited, cx.now);
        }
    }

    /// Assumes the mean of the learned speeds for targets without observations.
    fn update_priors(&mut self, service: usize) {
        let state = &self.services[service];
        let learned = state.targets.iter().filter(|index| self.targets[**index].speed.is_learned());
        let priors: Vec<Prior> =
            learned.map(|index| self.targets[*index].speed.as_prior()).collect();
        if priors.is_empty() {
            return;
        }
        let n = priors.len() as f64;
        let prefill = priors.iter().map(|prior| prior.prefill).sum::<f64>() / n;
        let step = priors.iter().map(|prior| prior.step).sum::<f64>() / n;
        for index in &state.targets {
            self.targets[*index].speed.set_prior(Prior { prefill, step });
        }
    }
}
