//! Request limits of targets: the requests a second that a target takes from all instances together.

mod statement;

use sesamewind_protocol::{TargetId, Time};

use crate::arrival::Ticket;
use crate::gateway::Gateway;
use crate::limits::statement::Statement;
use crate::targets::{Index, Targets};

/// A target's request limit as known to this instance.
#[derive(Debug)]
pub(crate) struct RequestLimit {
    statement: Statement,
}

impl RequestLimit {
    /// Returns the requests a second that the target takes from all instances together; none if any
    /// number.
    pub(crate) fn rate(&self) -> Option<f64> {
        self.statement.rate
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
}

/// Request limits of all targets.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    changes: Vec<LimitChange>,
}

impl Limits {
    /// Applies a statement of the target at `index`.
    fn apply(&mut self, targets: &mut Targets, index: Index, new: Statement) {
        let target = targets.get_mut(index);
        let before = target.limit.as_ref().and_then(RequestLimit::rate);
        match &mut target.limit {
            Some(limit) => limit.statement.update(new),
            None if new.rate.is_none() => return,
            None => target.limit = Some(RequestLimit { statement: new }),
        }
        let rate = target.limit.as_ref().and_then(RequestLimit::rate);
        if rate != before {
            let target = target.listed.id.clone();
            self.changes.push(LimitChange { target, before, rate });
        }
    }
}

impl Gateway {
    /// Records what the target of a request's attempt stated about its request limit.
    pub(crate) fn target_limit(&mut self, ticket: Ticket, rate: Option<f64>, now: Time) {
        let Some((index, asked)) = self.attempt_of(ticket) else { return };
        let statement = Statement { rate, asked, heard: now };
        self.limits.apply(&mut self.targets, index, statement);
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
        self.targets.iter().filter(|(_, target)| target.is_limited() && target.is_listed()).count()
    }
}
