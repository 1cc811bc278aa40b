//! Lookups that lack answers: repeated once, then given up.

use std::time::Duration;

use sesamewind_protocol::{InstanceId, RequestKey, Time};

use crate::event::Ticket;

use super::{Ask, Records, instances};

impl Records {
    /// Lookups to repeat for want of an answer.
    pub(crate) fn overdue(&mut self, now: Time, after: Duration) -> Vec<(RequestKey, Ticket)> {
        let mut overdue = Vec::new();
        for (key, ask) in &mut self.asks {
            if !ask.repeated && now.since(ask.since) >= after {
                ask.repeated = true;
                overdue.push((*key, ask.ticket));
            }
        }
        overdue
    }

    /// Instances whose answer a lookup still lacks.
    pub(crate) fn lacking(&self, key: RequestKey) -> Vec<InstanceId> {
        self.asks.get(&key).map(|ask| instances(&ask.pending)).unwrap_or_default()
    }

    /// Gives up lookups that weren't cleared in time and returns their attempts.
    pub(crate) fn uncleared(&mut self, now: Time, timeout: Duration) -> Vec<Ticket> {
        let late = |ask: &Ask| now.since(ask.since) >= timeout;
        let keys: Vec<RequestKey> =
            self.asks.iter().filter(|(_, ask)| late(ask)).map(|(key, _)| *key).collect();
        let mut tickets = Vec::new();
        for key in keys {
            tickets.extend(self.asks.get(&key).map(|ask| ask.ticket));
            self.release(key, now);
        }
        tickets
    }
}
