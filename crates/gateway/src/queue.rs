//! Requests that wait for a place at a target of one service.
//!
//! The order is by arrival, with a head start for urgent requests. The head start is bounded, so a
//! less urgent request that has waited longer than that goes first and no kind is starved.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewind_protocol::Time;

use crate::arrival::Ticket;

/// Head start of a request over one that is one rank less urgent.
const RANK_STEP: Duration = Duration::from_millis(400);

/// Most urgent rank that still adds a head start; lower ones wait like this.
const MAX_RANK: u8 = 8;

/// Place in the order of the queue.
pub type Position = (Time, Ticket);

/// Requests that wait.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<Position, Time>,
}

impl Queue {
    /// Adds a request that gives up waiting at `until`; returns its position.
    pub fn push(&mut self, ticket: Ticket, rank: u8, arrived: Time, until: Time) -> Position {
        let position = (arrived + RANK_STEP * u32::from(rank.min(MAX_RANK)), ticket);
        self.waiting.insert(position, until);
        position
    }

    /// Removes a request.
    pub fn remove(&mut self, position: Position) {
        self.waiting.remove(&position);
    }

    /// Requests in order.
    pub fn tickets(&self) -> impl Iterator<Item = Ticket> {
        self.waiting.keys().map(|(_, ticket)| *ticket)
    }

    /// Requests that waited until their limit.
    pub fn overdue(&self, now: Time) -> Vec<Ticket> {
        let overdue = self.waiting.iter().filter(|(_, until)| **until <= now);
        overdue.map(|((_, ticket), _)| *ticket).collect()
    }

    /// The request that is last.
    pub fn last(&self) -> Option<Ticket> {
        self.waiting.last_key_value().map(|((_, ticket), _)| *ticket)
    }

    /// Number of requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
