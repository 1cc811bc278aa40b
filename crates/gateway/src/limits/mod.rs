//! Request limits of targets: the requests a second that a target takes from all instances together.
//!
//! A target states its limit to the instance that it answers, and instances tell each other. Each
//! instance with a share of the limit has turns that accrue at this share, and sends a request only
//! if it has one. The shares of all instances add up to the limit. Where that leaves an instance less
//! than a useful share, a few instances share the limit, which all instances choose alike.

mod peers;
mod refusals;
mod statement;
mod turns;

use std::time::Duration;

use sesamewind_protocol::{InstanceId, TargetId, Time, text_hash};

pub use self::refusals::LimitSummary;
use crate::arrival::Ticket;
use crate::gateway::{Gateway, Identity};
use crate::limits::statement::Statement;
use crate::limits::turns::Turns;
use crate::sharers::Sharers;
use crate::targets::{Index, ListedTarget};

/// Requests a second that are sent to a target which takes fewer or none, since only its answers tell
/// when that has ended.
pub(crate) const MIN_RATE: f64 = 0.1;

/// Maximum number of instances that share a limit: so many, and this factor times the limit. Each may
/// send one request at any time, so that their number bounds what arrives at once.
const MAX_SENDERS: (f64, f64) = (5.0, 0.9);

/// A target's request limit as known to this instance.
#[derive(Debug, Clone)]
pub(crate) struct RequestLimit {
    statement: Statement,
    /// Peer that reported the statement; none if this instance has heard it itself.
    source: Option<InstanceId>,
    turns: Turns,
}

impl RequestLimit {
    /// Returns the requests a second that the target takes from all instances together; none if any
    /// number.
    pub(crate) fn rate(&self) -> Option<f64> {
        self.statement.rate
    }

    /// Returns the time until this instance may send the target a request.
    pub(crate) fn wait(&self, now: Time) -> Duration {
        if self.rate().is_none() { Duration::ZERO } else { self.turns.wait(now) }
    }

    /// Counts a request that this instance sends to the target.
    pub(crate) fn record_send(&mut self, now: Time) {
        if self.rate().is_some() {
            self.turns.take(now);
        }
    }
}

/// A change of a target's request limit, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitChange {
    /// The target.
    pub target: TargetId,
    /// Requests a second before; none if there was no limit.
    pub before: Option<f64>,
    /// Requests a second from now on; none if there is no limit.
    pub rate: Option<f64>,
    /// Requests a second among these that this instance may send.
    pub share: f64,
    /// Peer that reported the change; none if this instance has heard it itself.
    pub source: Option<InstanceId>,
}

/// Request limits of all targets.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    /// Targets in use with a limit.
    limited: Vec<Index>,
    /// Targets whose limit has ended recently, and when that became known.
    ended: Vec<(Index, Time)>,
    changes: Vec<LimitChange>,
}

impl Gateway {
    /// Records what the target of a request's attempt stated about its request limit.
    pub(crate) fn target_limit(&mut self, ticket: Ticket, rate: Option<f64>, now: Time) {
        let Some((index, asked)) = self.attempt_of(ticket) else { return };
        let statement = Statement { rate, asked, heard: now };
        self.apply_statement(index, statement, None, now);
    }

    /// Applies a statement of the target at `index`, which the peer `source` has reported if any.
    fn apply_statement(
        &mut self,
        index: Index,
        new: Statement,
        source: Option<&InstanceId>,
        now: Time,
    ) {
        let target = self.targets.get_mut(index);
        let before = target.limit.as_ref().and_then(RequestLimit::rate);
        match &mut target.limit {
            Some(limit) => {
                let known = limit.statement;
                limit.statement.update(new);
                if limit.statement != known {
                    limit.source = source.cloned();
                }
            }
            None if new.rate.is_none() => return,
            None => {
                let turns = Turns::new(now);
                target.limit =
                    Some(RequestLimit { statement: new, source: source.cloned(), turns });
            }
        }
        let rate = target.limit.as_ref().and_then(RequestLimit::rate);
        if rate == before {
            return;
        }
        if before.is_none()
            && let Some(limit) = &mut target.limit
        {
            limit.turns = Turns::new(now);
        }
        let id = target.listed.id.clone();
        let service = target.listed.service.clone();
        if rate.is_none() {
            self.limits.ended.push((index, now));
        }
        self.find_limited(now);
        let share = self.targets.get(index).limit.as_ref().map_or(0.0, |limit| limit.turns.share());
        let source = source.cloned();
        self.limits.changes.push(LimitChange { target: id, before, rate, share, source });
        self.dispatch_waiting(&service, now);
        self.refuse_during_pause(&service, now);
    }

    /// Finds the targets with a limit after these or the list of targets have changed.
    pub(crate) fn find_limited(&mut self, now: Time) {
        let limited = self.targets.iter().filter(|(_, one)| one.is_limited() && one.is_listed());
        self.limits.limited = limited.map(|(index, _)| index).collect();
        self.share_limits(now);
    }

    /// Updates this instance's shares after those of others have changed.
    pub(crate) fn update_shares(&mut self, now: Time) {
        if self.sharers.update(now) {
            self.share_limits(now);
        }
    }

    /// Sets this instance's share of each limit.
    pub(crate) fn share_limits(&mut self, now: Time) {
        let (me, sharers) = (&self.me, &self.sharers);
        let is_sending = !self.stopping && sharers.is_settled();
        for &index in &self.limits.limited {
            let target = self.targets.get_mut(index);
            let Some(limit) = &mut target.limit else { continue };
            let Some(rate) = limit.rate() else { continue };
            let share =
                if is_sending { share(rate, &target.listed, me, sharers, now) } else { 0.0 };
            limit.turns.set_share(share, now);
        }
    }

    /// Returns whether the target of a request's attempt has a known request limit.
    pub fn is_target_limited(&self, ticket: Ticket) -> bool {
        let index = self.attempt_of(ticket).map(|(index, _)| index);
        index.is_some_and(|index| self.targets.get(index).is_limited())
    }

    /// Returns the changes of targets' request limits since the last call.
    pub fn take_limit_changes(&mut self) -> Vec<LimitChange> {
        std::mem::take(&mut self.limits.changes)
    }

    /// Returns the number of targets with a known request limit.
    pub fn limited_targets(&self) -> usize {
        self.limits.limited.len()
    }
}

/// Returns the part of the limit `rate` of `target` that the instance `me` may use.
fn share(rate: f64, target: &ListedTarget, me: &Identity, sharers: &Sharers, now: Time) -> f64 {
    let rate = rate.max(MIN_RATE);
    let senders = (MAX_SENDERS.0 + MAX_SENDERS.1 * rate) as usize;
    if sharers.instances() <= senders {
        return rate / sharers.instances() as f64;
    }
    let salt = text_hash(target.id.as_str());
    let position = sharers.position((&me.instance, &me.zone), &target.zone, salt, now);
    if position < senders { rate / senders as f64 } else { 0.0 }
}
