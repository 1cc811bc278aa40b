//! Queue of requests that wait for a slot at a target of one service.
//!
//! Requests are ordered by arrival, with a head start for urgent ones, for those that can still
//! meet their objective, and for those of accounts that have used less than others. The head start
//! is bounded, so a request that has waited longer than that goes first and no rank is starved.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sesamewind_protocol::Time;

use crate::arrival::Ticket;

/// Head start of a request over one that is one rank less urgent, and over one of the same rank
/// whose account stands as far behind as it can.
const RANK_STEP: Duration = Duration::from_millis(400);

/// Highest rank that the head start distinguishes; less urgent requests are treated like this rank.
const MAX_RANK: u8 = 8;

/// Sort key of a request in the queue.
pub type Position = (Time, Ticket);

/// Ranks by which a request that has missed its objective stands behind others of its rank.
const LATE_RANKS: u8 = 2;

/// Where a request stands in the queue.
#[derive(Debug, Clone, Copy)]
pub struct Standing {
    /// Its rank; zero is the most urgent.
    pub rank: u8,
    /// How far its account stands behind others, from zero to one.
    pub lag: f64,
    /// Whether it has missed its objective.
    pub late: bool,
}

impl Standing {
    /// Standing of a request that goes ahead of all that arrived later.
    pub const FIRST: Self = Self { rank: 0, lag: 0.0, late: false };

    /// Returns the time by which the request stands behind a first one of the same time.
    fn delay(self) -> Duration {
        let late = if self.late { LATE_RANKS } else { 0 };
        let ranks = self.rank.min(MAX_RANK) + late;
        RANK_STEP.mul_f64(f64::from(ranks) + self.lag.clamp(0.0, 1.0))
    }
}

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
    /// Positions by the end of the wait.
    ends: BTreeSet<(Time, Position)>,
    /// Positions of the requests that have missed their objective, and of those that have not.
    late: BTreeSet<Position>,
    timely: BTreeSet<Position>,
}

impl Queue {
    /// Adds a request that waits until `until`; returns its position.
    pub fn push(
        &mut self,
        ticket: Ticket,
        standing: Standing,
        arrived: Time,
        until: Time,
    ) -> Position {
        let position = (arrived + standing.delay(), ticket);
        self.remove(position);
        self.waiting.insert(position, Wait { until, late: standing.late });
        self.ends.insert((until, position));
        self.positions_mut(standing.late).insert(position);
        position
    }

    /// Lets a request wait until `until`.
    pub fn postpone(&mut self, position: Position, until: Time) {
        if let Some(wait) = self.waiting.get_mut(&position) {
            self.ends.remove(&(wait.until, position));
            self.ends.insert((until, position));
            wait.until = until;
        }
    }

    /// Removes a request.
    pub fn remove(&mut self, position: Position) {
        if let Some(wait) = self.waiting.remove(&position) {
            self.ends.remove(&(wait.until, position));
            self.positions_mut(wait.late).remove(&position);
        }
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
        let positions = if late { &self.late } else { &self.timely };
        positions.iter().map(|(_, ticket)| *ticket)
    }

    /// Returns the number of requests that have or have not missed their objective.
    pub fn len_by(&self, late: bool) -> usize {
        if late { self.late.len() } else { self.timely.len() }
    }

    /// Returns the requests that have reached the end of their wait, in queue order.
    pub fn overdue(&self, now: Time) -> Vec<Ticket> {
        let ended = self.ends.iter().take_while(|(until, _)| *until <= now);
        let mut positions: Vec<Position> = ended.map(|(_, position)| *position).collect();
        positions.sort_unstable();
        positions.into_iter().map(|(_, ticket)| ticket).collect()
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

    fn positions_mut(&mut self, late: bool) -> &mut BTreeSet<Position> {
        if late { &mut self.late } else { &mut self.timely }
    }
}
