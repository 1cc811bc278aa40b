//! Keeps what the receiver has already out of the messages between two instances.
//!
//! A message carries the entries that changed since the newest message that its receiver has
//! acknowledged, so that a lost message is made good by the next one. An acknowledgement rides on
//! every message in the other direction. A receiver in a new life is sent everything.

mod inbox;
mod outbox;
mod section;

use sesamewind_protocol::message::{ConfigDigest, DeltaHead, Exchange};
use sesamewind_protocol::{Incarnation, InstanceId};

use crate::ExchangeKind;
use inbox::Inbox;
use outbox::Outbox;

/// Trims outgoing messages by what each receiver has acknowledged, and restores incoming ones.
///
/// Every message of an instance passes [`Deltas::outgoing`] last before it is encoded, and every
/// message that it takes in passes [`Deltas::incoming`] first after it is decoded.
#[derive(Debug)]
pub struct Deltas {
    incarnation: Incarnation,
    config: ConfigDigest,
    outbox: Outbox,
    inbox: Inbox,
}

impl Deltas {
    /// Starts with nothing sent or received in the instance's life `life`.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            config: ConfigDigest::default(),
            outbox: Outbox::default(),
            inbox: Inbox::default(),
        }
    }

    /// The part of `exchange`, which holds everything, that `receiver` is to be sent.
    ///
    /// A summary leaves out the use of targets and accounts.
    pub fn outgoing(
        &mut self,
        receiver: &InstanceId,
        kind: ExchangeKind,
        mut exchange: Exchange,
    ) -> Exchange {
        self.config.clone_from(&exchange.config);
        let received = self.inbox.get(receiver);
        if received.is_some_and(|received| received.config.revision >= self.config.revision) {
            exchange.config.hash.clear();
        }
        let (incarnation, acked) =
            received.map_or_else(Default::default, |from| (from.incarnation, from.seq));
        let base = self.outbox.trim(receiver, kind, &mut exchange);
        exchange.delta = DeltaHead { base, incarnation, acked };
        exchange
    }

    /// The whole of a message that came in: with the sender's use of targets and accounts that has
    /// not changed since its last message. Other sections hold the changes, which are merged.
    pub fn incoming(&mut self, mut exchange: Exchange) -> Exchange {
        let DeltaHead { incarnation, acked, .. } = exchange.delta;
        let acknowledged = if incarnation == self.incarnation { acked } else { 0 };
        self.outbox.acknowledge(&exchange.from, acknowledged);
        let config = &mut exchange.config;
        if config.hash.is_empty() && config.revision == self.config.revision {
            config.hash.clone_from(&self.config.hash);
        }
        self.inbox.restore(&mut exchange);
        exchange
    }

    /// Forgets an instance that is no longer known of.
    pub fn forget(&mut self, instance: &InstanceId) {
        self.outbox.forget(instance);
        self.inbox.forget(instance);
    }
}
