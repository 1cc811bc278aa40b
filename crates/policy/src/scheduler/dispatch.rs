//! Dispatch from the queue to the targets, the most urgent tier first.

use std::time::Duration;

use sesamewind_protocol::Code;

use crate::action::Action;
use crate::config::Kind;
use crate::event::{Arrival, Ticket};
use crate::queue::Class;
use crate::selection::{Bounds, Pick, Selection, SelectionRequest, select_target};

use super::request::{InFlight, Stage};
use super::{Context, Scheduler};

/// Fraction of the most urgent tier's time to first token that prompts may wait for prefill at a
/// target.
const WINDOW_FRACTION: f64 = 0.35;
/// A request waits for its allowed time in the queue divided by this number before it asks for
/// lower-tier work to be cancelled.
const PREEMPT_DIVISOR: u32 = 3;
const DEFAULT_WINDOW: Duration = Duration::from_secs(1);

/// Result of dispatching one length class of a tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// No request is left to dispatch.
    Done,
    /// The next request waits for room that lower tiers must not take.
    Blocked,
    /// The next request waits for room on the targets that take long prompts.
    BlockedLong,
}

impl Scheduler {
    /// Dispatches waiting requests for which there is room.
    pub(super) fn dispatch_waiting(&mut self, service: usize, cx: Context<'_>) {
        let id = self.services[service].id.clone();
        let floor = self.floors.rank(&id, cx.now);
        let mut blocked = None;
        let mut from = 0;
        while let Some(rank) = self.services[service].queue.next_rank(from) {
            if floor.is_some_and(|floor| rank > floor) {
                blocked = blocked.or(Some(rank));
                break;
            }
            let progress = Class::ALL.map(|class| self.dispatch_class(service, rank, class, cx));
            if progress.contains(&Progress::Blocked) {
                blocked = blocked.or(Some(rank));
                break;
            }
            if progress.contains(&Progress::BlockedLong) {
                blocked = blocked.or(Some(rank));
            }
            let Some(next) = rank.checked_add(1) else { break };
            from = next;
        }
        self.services[service].blocked = blocked;
        self.relax_floor(service, blocked, cx);
    }

    fn dispatch_class(
        &mut self,
        service: usize,
        rank: u8,
        class: Class,
        cx: Context<'_>,
    ) -> Progress {
        while let Some(ticket) = self.services[service].queue.head(rank, class) {
            let Some(request) = self.requests.get(&ticket) else {
                self.services[service].queue.pop(rank, class, 0);
                continue;
            };
            let waited = cx.now.since(request.queued_at);
            let preempt_after = request.expires().since(request.queued_at) / PREEMPT_DIVISOR;
            if cx.now >= request.expires() {
                self.abandon_head(ticket, Code::DeadlinePassed, cx);
                continue;
            }
            match self.select_for(ticket, cx) {
                Selection::Target(pick) => self.dispatch(ticket, &pick, cx),
                Selection::Wait => {
                    if waited >= preempt_after.max(self.limits.floor_delay) {
                        self.request_preemption(service, rank, cx);
                    }
                    return Progress::Blocked;
                }
                Selection::WaitLong => return Progress::BlockedLong,
                Selection::Unreachable if self.may_shed(service, rank, cx) => {
                    self.abandon_head(ticket, Code::DeadlineUnreachable, cx);
                }
                Selection::Unreachable => return Progress::Blocked,
                Selection::NoTarget => self.park(ticket, cx),
            }
        }
        Progress::Done
    }

    fn select_for(&mut self, ticket: Ticket, cx: Context<'_>) -> Selection {
        let Some(request) = self.requests.get(&ticket) else { return Selection::NoTarget };
        let state = &self.services[request.service];
        let arrival = &request.arrival;
        let version = cx.versions.choose(&arrival.service, &arrival.route, &arrival.key, cx.wall);
        let selection = SelectionRequest {
            kind: state.kind,
            version: &version,
            prompt: f64::from(arrival.prompt_tokens),
            output: f64::from(arrival.output_tokens) * state.output_ratio,
            prefix: arrival.prefix,
            urgent: self.is_urgent(arrival.rank),
            long: request.class == Class::Long,
            first_within: arrival.first_token_by.since(cx.now),
            total_within: arrival.deadline.since(cx.now),
            avoid: request.avoid,
            now: cx.now,
        };
        let bounds = self.bounds(request.service);
        let (order, long_targets) = (&state.targets, state.long_targets);
        select_target(&self.targets, order, long_targets, &selection, &bounds, &mut self.rng)
    }

    fn bounds(&self, service: usize) -> Bounds {
        let most_urgent = self.tiers.first();
        let first = most_urgent.map_or(DEFAULT_WINDOW, |tier| tier.first_token);
        let output = self.services[service].urgent_output;
        let step_budget = most_urgent.zip(output).map(|(tier, output)| {
            tier.total.saturating_sub(tier.first_token).as_secs_f64() / output.max(1.0)
        });
        Bounds {
            window: first.as_secs_f64() * WINDOW_FRACTION,
            headroom: if self.tiers.len() > 1 { self.limits.headroom } else { 0.0 },
            step_budget,
            cache_retention: self.limits.cache_retention,
            own_share: self.own_share,
        }
    }

    fn dispatch(&mut self, ticket: Ticket, pick: &Pick, cx: Context<'_>) {
        let Some(mut request) = self.requests.remove(&ticket) else { return };
        let cost = request.cost().max(1);
        let Stage::Queued(queued) = request.stage else {
            self.requests.insert(ticket, request);
            return;
        };
        let arrival = &request.arrival;
        let version = cx.versions.choose(&arrival.service, &arrival.route, &arrival.key, cx.wall);
        let state = &mut self.services[request.service];
        state.queue.pop(arrival.rank, request.class, cost);
        let output = f64::from(arrival.output_tokens) * state.output_ratio;
        state.started(arrival.rank);
        let target = &mut self.targets[pick.target];
        target.add_request(pick.uncached, output, cx.now);
        let in_flight = InFlight {
            target: pick.target,
            sent: cx.now,
            uncached: pick.uncached,
            output,
            work: pick.work,
            certainty: certainty(arrival, pick),
            predicted: Duration::from_secs_f64(pick.first.clamp(0.0, 3_600.0)),
            produced: 0,
            last_progress: cx.now,
            streams: 1.0,
            resumes: 0,
            silent: false,
            verified: false,
            timeout_factor: 1,
            overdue_multiple: 1,
        };
        self.counters.dispatched += 1;
        self.counters.prefix_hits += u64::from(pick.cached);
        let action = Action::Dispatch { ticket, target: target.id.clone(), version };
        request.stage = Stage::Dispatching(queued.dispatch(), Box::new(in_flight));
        request.tries += 1;
        let long = request.class == Class::Long;
        self.requests.insert(ticket, request);
        self.out.push(action);
        if long {
            self.out.push(Action::LoadChanged);
        }
    }

    fn abandon_head(&mut self, ticket: Ticket, code: Code, cx: Context<'_>) {
        let Some(request) = self.requests.remove(&ticket) else { return };
        let retry_after = Some(self.retry_delay(request.service, cx));
        self.abandon(request, code, retry_after, cx);
    }

    /// Sets a request aside until a target has loaded its version. Refuses the request after the
    /// timeout.
    fn park(&mut self, ticket: Ticket, cx: Context<'_>) {
        let Some(request) = self.requests.get(&ticket) else { return };
        if cx.now.since(request.queued_at) >= self.limits.target_timeout {
            return self.abandon_head(ticket, Code::NoTarget, cx);
        }
        let (rank, class) = (request.arrival.rank, request.class);
        self.services[request.service].queue.pop(rank, class, 0);
        self.parked.push(ticket);
    }

    /// Puts requests that were set aside back into their queues.
    pub(super) fn unpark(&mut self) {
        for ticket in std::mem::take(&mut self.parked) {
            let Some(request) = self.requests.get(&ticket) else { continue };
            let Stage::Queued(_) = request.stage else { continue };
            let (rank, class) = (request.arrival.rank, request.class);
            let queue = &mut self.services[request.service].queue;
            queue.push_front(rank, class, &request.arrival.account, ticket);
        }
    }

    /// Returns whether a request of tier `rank` may be refused for lack of room: no lower tier runs
    /// here, and every reachable peer has acknowledged the same. Raises the tier floor otherwise.
    pub(super) fn may_shed(&mut self, service: usize, rank: u8, cx: Context<'_>) -> bool {
        if self.is_lowest(rank) || self.services[service].kind == Kind::Plain {
            return true;
        }
        let state = &self.services[service];
        let none_lower = state.lowest_running().is_none_or(|lowest| lowest <= rank);
        if none_lower && self.floors.acknowledged(&state.id, rank, cx.now) {
            return true;
        }
        self.raise_floor(service, rank, cx);
        false
    }

    /// Raises the tier floor for a request that has waited too long for room.
    fn request_preemption(&mut self, service: usize, rank: u8, cx: Context<'_>) {
        let lowest = self.is_lowest(rank) || self.services[service].kind == Kind::Plain;
        if !lowest {
            self.raise_floor(service, rank, cx);
        }
    }

    fn raise_floor(&mut self, service: usize, rank: u8, cx: Context<'_>) {
        let state = &self.services[service];
        let waiting = u32::try_from(state.queue.waiting_up_to(rank)).unwrap_or(u32::MAX);
        if self.floors.raise(&state.id, rank, waiting.max(1), cx.now) {
            self.counters.floors_raised += 1;
            self.out.push(Action::FloorChanged);
        }
    }

    fn relax_floor(&mut self, service: usize, blocked: Option<u8>, cx: Context<'_>) {
        let id = &self.services[service].id;
        let floor = self.floors.rank(id, cx.now);
        let is_needed = blocked.is_some_and(|rank| floor.is_some_and(|floor| rank <= floor));
        if !is_needed && self.floors.stop_preempting(id, cx.now) {
            self.out.push(Action::FloorChanged);
        }
    }
}

/// Returns how certain the prefill work before the first token is, from 0 to 1. The part of a
/// prompt that no other prompt shares is certain. Work queued before it and prompt tokens that may
/// be cached are not.
fn certainty(arrival: &Arrival, pick: &Pick) -> f64 {
    let shared = arrival.prefix.map_or(0, |prefix| prefix.tokens);
    let fresh = f64::from(arrival.prompt_tokens.saturating_sub(shared));
    (fresh / pick.work.max(1.0)).min(1.0)
}
