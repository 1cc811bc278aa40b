//! Lookups without a reply, which are repeated once and then abandoned.

use std::time::Duration;

use sesamewind_protocol::{InstanceId, RequestKey, Time};

use crate::event::Ticket;

use super::{PendingLookup, Records, instances};

impl Records {
    /// Returns the unanswered lookups to repeat, each of them once.
    pub(crate) fn take_unanswered(
        &mut self,
        now: Time,
        after: Duration,
    ) -> Vec<(RequestKey, Ticket)> {
        let mut unanswered = Vec::new();
        for (key, lookup) in &mut self.lookups {
            if !lookup.repeated && now.since(lookup.since) >= after {
                lookup.repeated = true;
                unanswered.push((*key, lookup.ticket));
            }
        }
        unanswered
    }

    /// Returns the instances whose reply to a lookup is missing.
    pub(crate) fn unanswered_peers(&self, key: RequestKey) -> Vec<InstanceId> {
        self.lookups.get(&key).map(|lookup| instances(&lookup.unanswered)).unwrap_or_default()
    }

    /// Abandons lookups that weren't cleared in time and returns their attempts.
    pub(crate) fn time_out_lookups(&mut self, now: Time, timeout: Duration) -> Vec<Ticket> {
        let timed_out = |lookup: &PendingLookup| now.since(lookup.since) >= timeout;
        let keys: Vec<RequestKey> = self
            .lookups
            .iter()
            .filter(|(_, lookup)| timed_out(lookup))
            .map(|(key, _)| *key)
            .collect();
        let mut tickets = Vec::new();
        for key in keys {
            tickets.extend(self.lookups.get(&key).map(|lookup| lookup.ticket));
            self.release(key, now);
        }
        tickets
    }
}
