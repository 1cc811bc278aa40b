//! Log lines and metrics of requests: each decision with its inputs, and the outcome.
//!
//! Every line carries `event` and the request's identity, so that one search finds all lines of a
//! request. The identity is empty if the request's head could not be read. `docs/OPERATIONS.md`
//! lists events and fields.

use std::time::Duration;

use sesamewind_gateway::budget::RetryReport;
use sesamewind_gateway::event::Dispatch;
use sesamewind_gateway::rollouts::{Conclusion, RolloutOrder, RolloutStatus};
use sesamewind_gateway::{
    AttemptOutcome, BrittleChange, ColdChange, HedgeObstacle, LimitChange, LimitSummary, NoRetry,
    PartChange, PassOn, PassOutcome, ReachChange, Refusal, RefusalReason, ZoneChange,
};
use sesamewind_protocol::relay::ReachState;
use sesamewind_protocol::{PartId, ServiceId};

use crate::activity::CallerSide;
use crate::attempt::Call;

/// Value of `first_ms` for a request that received no byte from a target.
const NO_ANSWER: i64 = -1;

/// Value of a target's request limit before it had one.
const UNLIMITED: f64 = -1.0;

/// Value of `no_retry` for a request that got an answer of its target.
const NO_RETRY_NEEDED: &str = "";

/// Logs the start of an attempt.
pub fn dispatched(call: &Call, dispatch: &Dispatch) {
    log::info!(
        event = "dispatched",
        request = call.caller.id.as_str(),
        route = call.route.name.as_str(),
        target = dispatch.target.as_str(),
        attempt = dispatch.attempt,
        load = dispatch.load,
        target_pause_ms = dispatch.pause,
        waited_ms = dispatch.waited.as_millis() as u64,
        revision = dispatch.revision.0;
        "sent to target"
    );
    if let Some(limits) = &dispatch.limits {
        held_off(call, limits);
    }
}

/// Logs and counts a request that waited for a turn at targets with request limits, or is refused for
/// lack of one.
fn held_off(call: &Call, limits: &LimitSummary) {
    call.driver.metrics.held_off();
    log::info!(
        event = "held_off",
        request = call.caller.id.as_str(),
        targets = limits.targets,
        rate = limits.rate,
        share = limits.share,
        age_ms = millis(limits.age),
        source = limits.source.as_ref().map_or("", |peer| peer.as_str());
        "request limits of targets left no turn"
    );
}

/// Logs and counts an attempt that ended without a complete answer or with a target's failure.
pub fn attempt_ended(call: &Call, dispatch: &Dispatch, outcome: AttemptOutcome, events: u64) {
    call.driver.metrics.attempt(outcome.as_str());
    let parts = if events == 0 { &call.caller.parts[..] } else { &[] };
    let parts: Vec<String> = parts.iter().map(PartId::to_string).collect();
    let others = call.driver.with_gateway(|gateway| gateway.others_at_target(call.ticket));
    log::warn!(
        event = "attempt_ended",
        request = call.caller.id.as_str(),
        route = call.route.name.as_str(),
        target = dispatch.target.as_str(),
        attempt = dispatch.attempt,
        load = dispatch.load,
        waited_ms = dispatch.waited.as_millis() as u64,
        revision = dispatch.revision.0,
        events,
        others,
        parts = parts.join(",").as_str(),
        fingerprint:% = call.fingerprint(),
        end = outcome.as_str();
        "attempt ended"
    );
}

/// Logs and counts a second attempt of a request whose first one has not begun to answer after `delay`.
pub fn hedged(call: &Call, second: &Dispatch, delay: Duration) {
    call.driver.metrics.hedge("sent");
    log::info!(
        event = "hedged",
        request = call.caller.id.as_str(),
        route = call.route.name.as_str(),
        target = second.target.as_str(),
        load = second.load,
        delay_ms = millis(delay);
        "sent to a second target"
    );
}

/// Logs and counts how a second attempt ended: `won`, `lost`, `failed`, or `alone` if the first one
/// failed or was cancelled before.
pub fn hedge_ended(call: &Call, end: &str) {
    call.driver.metrics.hedge(end);
    log::info!(event = "hedge_ended", request = call.caller.id.as_str(), end; "second attempt ended");
}

/// Counts a slow request that gets no second attempt.
pub fn unhedged(call: &Call, obstacle: HedgeObstacle) {
    call.driver.metrics.hedge(obstacle.as_str());
    log::debug!(request = call.caller.id.as_str(), cause = obstacle.as_str(); "no second attempt");
}

/// Logs that the target of an attempt is silent, and that the attempt waits for it.
pub fn target_silent(call: &Call, dispatch: &Dispatch, silence: Duration) {
    log::info!(
        event = "target_silent",
        request = call.caller.id.as_str(),
        target = dispatch.target.as_str(),
        attempt = dispatch.attempt,
        silence_ms = millis(silence);
        "target is silent, waiting for it"
    );
}

/// Logs that the target of an attempt that waited makes progress again.
pub fn silence_ended(call: &Call, dispatch: &Dispatch, silence: Duration) {
    log::info!(
        event = "silence_ended",
        request = call.caller.id.as_str(),
        target = dispatch.target.as_str(),
        attempt = dispatch.attempt,
        silence_ms = millis(silence);
        "target makes progress again"
    );
}

/// Logs that a request is passed on to a peer.
pub fn passed_on(call: &Call, pass: &PassOn) {
    log::info!(
        event = "passed_on",
        request = call.caller.id.as_str(),
        route = call.route.name.as_str(),
        peer = pass.peer.as_str(),
        attempt = pass.attempt,
        waited_ms = millis(pass.waited);
        "passed on to a peer"
    );
}

/// Logs and counts how the peer has received a request.
pub fn pass_ended(call: &Call, pass: &PassOn, outcome: PassOutcome) {
    call.driver.metrics.passed(outcome.as_str());
    let level = if outcome == PassOutcome::Answered { log::Level::Info } else { log::Level::Warn };
    log::log!(
        level,
        event = "pass_ended",
        request = call.caller.id.as_str(),
        peer = pass.peer.as_str(),
        attempt = pass.attempt,
        end = outcome.as_str();
        "peer has answered or failed"
    );
}

/// Logs that this instance reaches targets again, doubts it, or reaches none.
pub fn reach_changed(change: &ReachChange) {
    let after_ms = millis(change.after);
    match change.state {
        ReachState::Reaching => {
            log::info!(event = "targets_reached", after_ms; "this instance reaches targets");
        }
        ReachState::InDoubt => {
            log::info!(event = "reach_in_doubt", after_ms; "this instance may reach no target");
        }
        ReachState::CutOff => log::warn!(
            event = "cut_off", after_ms, peers = change.peers;
            "this instance reaches no target, although peers do; requests are passed on to them"
        ),
    }
}

/// Logs that the target of an attempt stated that it is leaving.
pub fn target_leaving(call: &Call, dispatch: &Dispatch) {
    log::info!(
        event = "target_leaving",
        request = call.caller.id.as_str(),
        target = dispatch.target.as_str();
        "target is leaving"
    );
}

/// Logs that the target of an attempt wants no requests for a while.
pub fn target_resting(call: &Call, dispatch: &Dispatch, rest: Duration) {
    log::info!(
        event = "target_resting",
        request = call.caller.id.as_str(),
        target = dispatch.target.as_str(),
        rest_ms = millis(rest);
        "target wants no requests for a while"
    );
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Logs and counts a request whose target's complete answer is passed on.
pub fn answered(call: &Call, outcome: &str, cause: &str, events: u64) {
    ended(call, outcome, cause, NO_RETRY_NEEDED, events);
}

/// Logs and counts a request without a complete answer, and why there was no further attempt.
pub fn unanswered(call: &Call, outcome: &str, cause: &str, no_retry: NoRetry, events: u64) {
    ended(call, outcome, cause, no_retry.as_str(), events);
}

fn ended(call: &Call, outcome: &str, cause: &str, no_retry: &str, events: u64) {
    call.driver.metrics.outcome(&call.route.name, outcome);
    let timing = call.timing.get();
    let level = if outcome == "served" { log::Level::Info } else { log::Level::Warn };
    log::log!(
        level,
        event = "ended",
        request = call.caller.id.as_str(),
        route = call.route.name.as_str(),
        account = call.account.as_ref().map_or("", |account| account.name.as_str()),
        outcome,
        cause,
        no_retry,
        first_ms = timing.first_byte.map_or(NO_ANSWER, |first| first.as_millis() as i64),
        pause_ms = timing.longest_pause.as_millis() as u64,
        events;
        "request ended"
    );
}

/// Logs and counts a request that the gateway refused.
pub fn refused(call: &Call, refusal: &Refusal, waiting: usize) {
    call.driver.metrics.refusal(refusal.reason.as_str());
    call.driver.metrics.outcome(&call.route.name, "refused");
    log::warn!(
        event = "refused",
        request = call.caller.id.as_str(),
        route = call.route.name.as_str(),
        account = call.account.as_ref().map_or("", |account| account.name.as_str()),
        cause = refusal.reason.as_str(),
        retry_after_ms = refusal.retry_after.as_millis() as u64,
        waiting;
        "request refused"
    );
    if refusal.reason == RefusalReason::Quarantined {
        log::info!(
            event = "held_back",
            request = call.caller.id.as_str(),
            fingerprint:% = call.fingerprint();
            "targets ended at requests like this one"
        );
    }
    if let Some(limits) = &refusal.limits {
        held_off(call, limits);
    }
}

/// Logs a request that was rejected before it reached the gateway.
pub fn rejected(request: &str, cause: &str, revision: u64) {
    log::warn!(event = "rejected", request, cause, revision; "request rejected");
}

/// How far a request was processed when it ended without a decision of the gateway.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    /// Where the request was: `body`, `gateway` or `answer`.
    pub stage: &'static str,
    /// Time since it arrived.
    pub ran: Duration,
    /// Stream events that were passed to the caller's connection.
    pub events: u64,
    /// Bytes of the answer that were passed to the caller's connection.
    pub bytes: u64,
    /// Bytes that were written to the caller's socket since the head of the request was read.
    pub written: u64,
    /// What is known of the caller's side of the connection.
    pub caller_side: CallerSide,
}

/// Logs a request whose caller closed the connection before the answer was complete.
pub fn caller_left(request: &str, progress: Progress) {
    unfinished(log::Level::Info, "caller_left", request, progress);
}

/// Logs a request that is cut off by a fault of this program.
pub fn panicked(request: &str, progress: Progress) {
    unfinished(log::Level::Error, "request_panicked", request, progress);
}

/// Logs a request that is cut off by the exit of the process.
pub fn cut(request: &str, progress: Progress) {
    unfinished(log::Level::Warn, "request_cut", request, progress);
}

fn unfinished(level: log::Level, event: &str, request: &str, progress: Progress) {
    log::log!(
        level,
        event,
        request,
        stage = progress.stage,
        ran_ms = progress.ran.as_millis() as u64,
        events = progress.events,
        bytes = progress.bytes,
        written = progress.written,
        caller_side = progress.caller_side.as_str();
        "request ended without a complete answer"
    );
}

/// Logs that requests with a prompt part are refused, tried or accepted from now on.
pub fn part_changed(change: &PartChange) {
    match change {
        PartChange::Held(part, targets) => log::warn!(
            event = "part_held", part:% = part, targets = *targets;
            "requests with a prompt part are refused, since targets ended at it"
        ),
        PartChange::Tried(part) => {
            log::info!(event = "part_tried", part:% = part; "one request is let through");
        }
        PartChange::Released(part) => {
            log::info!(event = "part_released", part:% = part; "an answer has begun");
        }
    }
}

/// Logs the use of a service's retry budget `run_time` after the start.
pub fn retries_counted(service: &ServiceId, report: &RetryReport, run_time: Duration) {
    log::info!(
        event = "retries_counted",
        service = service.as_str(),
        first = report.counts.first,
        retries = report.counts.retries,
        denied = report.counts.denied,
        used = report.used,
        allowed = report.allowed,
        share = report.share.fraction,
        age_ms = millis(run_time);
        "attempts since the last such line"
    );
}

/// Logs that a target's request limit has changed.
pub fn limit_changed(change: &LimitChange) {
    let target = change.target.as_str();
    let before = change.before.unwrap_or(UNLIMITED);
    let source = change.source.as_ref().map_or("", |peer| peer.as_str());
    if let Some(rate) = change.rate {
        log::warn!(
            event = "target_limited", target, rate, before, share = change.share, source;
            "target takes only so many requests a second from all instances together"
        );
    } else {
        log::info!(event = "limit_ended", target, before, source; "target takes any number of requests");
    }
}

/// Logs that an order of a rollout was read from `origin`.
pub fn rollout_ordered(order: &RolloutOrder, origin: &str) {
    log::info!(
        event = "move_ordered",
        service = order.service.as_str(),
        version = order.version.as_str(),
        duration_ms = order.duration.as_millis() as u64,
        origin;
        "rollout ordered"
    );
}

/// Logs that this instance has concluded the outcome of a rollout, and from what.
pub fn rollout_concluded(conclusion: &Conclusion) {
    log::info!(
        event = "move_concluded",
        service = conclusion.service.as_str(),
        version = conclusion.version.as_str(),
        outcome:? = conclusion.outcome,
        basis = conclusion.basis.as_str(),
        age_ms = millis(conclusion.age),
        known_ms = millis(conclusion.known),
        new_requests = conclusion.new.requests,
        new_failures = conclusion.new.failures,
        old_requests = conclusion.old.requests,
        old_failures = conclusion.old.failures;
        "outcome of the rollout concluded"
    );
}

/// Logs that an availability zone was evacuated, is empty or was taken back.
pub fn zone_changed(change: &ZoneChange) {
    match change {
        ZoneChange::Evacuated { zone, running } => log::warn!(
            event = "zone_evacuated", zone = zone.as_str(), running = *running;
            "targets of an availability zone get no new requests"
        ),
        ZoneChange::Empty { zone, took } => log::info!(
            event = "zone_empty", zone = zone.as_str(), took_ms = took.as_millis() as u64;
            "no request of this instance is in the evacuated availability zone"
        ),
        ZoneChange::TakenBack { zone, lasted } => log::warn!(
            event = "zone_taken_back", zone = zone.as_str(), lasted_ms = lasted.as_millis() as u64;
            "targets of an availability zone get requests again"
        ),
    }
}

/// Logs that a target's cold time has begun or ended.
pub fn cold_changed(change: &ColdChange) {
    let target = change.target.as_str();
    if let Some(cause) = change.cause {
        let (rate, share) = (change.rate, change.share);
        log::info!(
            event = "target_cold", target, cause = cause.as_str(), rate, share;
            "target takes only so many requests a second for a while after its start"
        );
    } else {
        log::info!(event = "cold_ended", target; "target is no longer cold");
    }
}

/// Logs that a service's targets have become brittle, or no longer are.
pub fn brittle_changed(change: &BrittleChange) {
    let service = change.service.as_str();
    let source = change.source.as_ref().map_or("", |peer| peer.as_str());
    if let Some(allowed) = change.allowed {
        let (targets, room, share) = (change.targets, change.room, change.share);
        log::warn!(
            event = "target_brittle", service, allowed, targets, room, share, source;
            "targets fall over if they reject more than so many requests in a second"
        );
    } else {
        log::info!(event = "brittle_ended", service, source; "targets are no longer brittle");
    }
}

/// Logs the evidence on a running rollout and the share that follows from it.
pub fn rollout_progress(status: &RolloutStatus) {
    log::info!(
        event = "move_progress",
        service = status.service.as_str(),
        version = status.version.as_str(),
        age_ms = status.age.as_millis() as u64,
        share = status.share,
        exclusive = status.is_exclusive,
        reason = status.reason,
        capacity = status.capacity,
        evidence = status.level.as_str(),
        evidence_of_all = status.level_of_all.as_str(),
        new_sent = status.new_sent,
        new_requests = status.new.requests,
        new_failures = status.new.failures,
        old_requests = status.old.requests,
        old_failures = status.old.failures,
        new_intervals = status.latency.new.intervals,
        new_ratio = status.latency.new.ratio,
        old_intervals = status.latency.old.intervals,
        old_ratio = status.latency.old.ratio,
        new_paces = status.pace.new.intervals,
        new_pace_ratio = status.pace.new.ratio,
        old_paces = status.pace.old.intervals,
        old_pace_ratio = status.pace.old.ratio;
        "rollout in progress"
    );
}
