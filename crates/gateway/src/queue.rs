//! Queue of requests that wait for a slot at a target of one service.
//!
//! Requests are ordered by arrival, with a head start for urgent ones and for those that can still
//! meet their objective. The head start is bounded, so a request that has waited longer than that
//! goes first and no rank is starved.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewind_protocol::Time;

use crate::arrival::Ticket;

/// Head start of a request over one that is one rank less urgent.
const RANK_STEP: Duration = Duration::from_millis(400);

/// Highest rank that the head start distinguishes; less urgent requests are treated like this rank.
const MAX_RANK: u8 = 8;

/// Sort key of a request in the queue.
pub type Position = (Time, Ticket);

/// Ranks by which a request that has missed its objective stands behind others of its rank.
const LATE_RANKS: u8 = 2;

/// A waiting request.
#[derive(Debug, Clone, Copy)]
struct Wait {
    /// End of its wait.
    until: Time,
    /// Whether it has missed its objective.
    late: bool,
}

/// Waiting requests of one service.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    waiting: BTreeMap<Position, Wait>,
}

impl Queue {
    /// Adds a request that waits until `until`; returns its position.
    pub fn push(&mut self, ticket: Ticket, rank: u8, arrived: Time, until: Time) -> Position {
        let position = (arrived + RANK_STEP * u32::from(rank.min(MAX_RANK)), ticket);
        self.waiting.insert(position, Wait { until, late: false });
        position
    }

    /// Like [`Queue::push`], for a request that has missed its objective.
    pub fn push_late(&mut self, ticket: Ticket, rank: u8, arrived: Time, until: Time) -> Position {
        let behind = rank.min(MAX_RANK) + LATE_RANKS;
        let position = (arrived + RANK_STEP * u32::from(behind), ticket);
        self.waiting.insert(position, Wait { until, late: true });
        position
    }

    /// Lets a request wait until `until`.
    pub fn postpone(&mut self, position: Position, until: Time) {
        if let Some(wait) = self.waiting.get_mut(&position) {
            wait.until = until;
        }
    }

    /// Removes a request.
    pub fn remove(&mut self, position: Position) {
        self.waiting.remove(&position);
    }

    /// Returns the requests in queue order.
    pub fn tickets(&self) -> impl DoubleEndedIterator<Item = Ticket> {
        self.waiting.keys().map(|(_, ticket)| *ticket)
    }

    /// Returns the requests in queue order, each with the end of its wait.
    pub fn waits(&self) -> impl Iterator<Item = (Ticket, Time)> {
        self.waiting.iter().map(|((_, ticket), wait)| (*ticket, wait.until))
    }

    /// Returns the requests that have or have not missed their objective, in queue order.
    pub fn tickets_by(&self, late: bool) -> impl DoubleEndedIterator<Item = Ticket> {
        let waiting = self.waiting.iter().filter(move |(_, wait)| wait.late == late);
        waiting.map(|((_, ticket), _)| *ticket)
    }

    /// Returns the requests that have reached the end of their wait.
    pub fn overdue(&self, now: Time) -> Vec<Ticket> {
        let overdue = self.waiting.iter().filter(|(_, wait)| wait.until <= now);
        overdue.map(|((_, ticket), _)| *ticket).collect()
    }

    /// Returns the number of requests before `position` and the end of the wait there.
    pub(crate) fn place(&self, position: Position) -> Option<(usize, Time)> {
        let wait = self.waiting.get(&position)?;
        Some((self.waiting.range(..position).count(), wait.until))
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
