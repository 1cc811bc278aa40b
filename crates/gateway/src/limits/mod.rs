//! Request limits of targets: the requests a second that a target takes from all instances together.
//!
//! A target states its limit to the instance that it answers, and instances tell each other. Each
//! instance with a share of the limit has turns that accrue at this share, and sends a request only
//! if it has one. The shares of all instances add up to the limit. Where that leaves an instance less
//! than a useful share, a few instances share the limit, which all instances choose alike.

pub(crate) mod brittle;
pub(crate) mod cold;
mod division;
mod peers;
mod refusals;
mod statement;
mod turns;

use std::time::Duration;

use sesamewind_protocol::{InstanceId, TargetId, Time};

pub use self::brittle::{BrittleChange, BrittleTotals};
pub use self::cold::{ColdCause, ColdChange};
pub use self::refusals::LimitSummary;
use crate::arrival::Ticket;
use crate::gateway::Gateway;
use crate::limits::brittle::BrittleServices;
use crate::limits::cold::ColdTargets;
use crate::limits::division::Bound;
use crate::limits::statement::Statement;
use crate::limits::turns::Turns;
use crate::targets::Index;

/// Requests a second that are sent to a target which takes fewer or none, since only its answers tell
/// when that has ended.
pub(crate) const MIN_RATE: f64 = 0.1;

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

    /// Returns the limit: requests a second, this instance's share, and when it was stated.
    pub(crate) fn bound(&self) -> Option<(f64, f64, Time)> {
        Some((self.rate()?, self.turns.share(), self.statement.heard))
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
#[derive(Debug, Clone, Default)]
pub(crate) struct Limits {
    /// Targets in use with a limit.
    limited: Vec<Index>,
    /// Targets whose limit has ended recently, and when that became known.
    ended: Vec<(Index, Time)>,
    changes: Vec<LimitChange>,
    pub(crate) cold: ColdTargets,
    pub(crate) brittle: BrittleServices,
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
        let limited = self.targets.iter().filter(|(_, one)| one.has_limit() && one.is_listed());
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
        let is_sending = self.is_sharing();
        for &index in &self.limits.limited {
            let target = self.targets.get_mut(index);
            let Some(limit) = &mut target.limit else { continue };
            let Some(rate) = limit.rate() else { continue };
            let bound = Bound::Rate(rate);
            let share = if is_sending {
                bound.share(&target.listed, &self.me, &self.sharers, now)
            } else {
                0.0
            };
            limit.turns.set_share(share, now);
        }
        self.share_all_cold(now);
        self.share_brittle(now);
    }

    /// Returns whether this instance has a share of what targets take from all instances together.
    fn is_sharing(&self) -> bool {
        !self.stopping && self.sharers.is_settled()
    }

    /// Returns whether the target of a request's attempt has a known request limit.
    pub fn is_target_limited(&self, ticket: Ticket) -> bool {
        let index = self.attempt_of(ticket).map(|(index, _)| index);
        index.is_some_and(|index| self.targets.get(index).has_limit())
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
