//! Queue of requests that wait for a slot at a target of one service.
//!
//! Requests are ordered by arrival, with a head start for urgent ones. The head start is bounded,
//! so a less urgent request that has waited longer than that goes first and no rank is starved.

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

/// Waiting requests of one service.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<Position, Time>,
}

impl Queue {
    /// Adds a request that waits until `until`; returns its position.
    pub fn push(&mut self, ticket: Ticket, rank: u8, arrived: Time, until: Time) -> Position {
        let position = (arrived + RANK_STEP * u32::from(rank.min(MAX_RANK)), ticket);
        self.waiting.insert(position, until);
        position
    }

    /// Lets a request wait until `until`.
    pub fn postpone(&mut self, position: Position, until: Time) {
        if let Some(end) = self.waiting.get_mut(&position) {
            *end = until;
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
        self.waiting.iter().map(|((_, ticket), until)| (*ticket, *until))
    }

    /// Returns the requests that have reached the end of their wait.
    pub fn overdue(&self, now: Time) -> Vec<Ticket> {
        let overdue = self.waiting.iter().filter(|(_, until)| **until <= now);
        overdue.map(|((_, ticket), _)| *ticket).collect()
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
