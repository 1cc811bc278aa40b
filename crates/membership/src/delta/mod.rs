//! Delta encoding of the messages between two instances.
//!
//! A message carries only the entries that changed since the newest message that its receiver has
//! acknowledged, so the next message makes up for a lost one. Every message in the other direction
//! carries an acknowledgement. A receiver in a new incarnation is sent all entries.

mod inbox;
mod outbox;
mod section;

use sesamewind_protocol::message::{ConfigDigest, DeltaHead, Exchange};
use sesamewind_protocol::{Incarnation, InstanceId};

use crate::ExchangeKind;
use inbox::Inbox;
use outbox::Outbox;

/// Reduces outgoing messages to what each receiver has not acknowledged, and restores incoming
/// ones.
///
/// Every outgoing message passes through [`Deltas::outgoing`] immediately before it is encoded, and
/// every incoming message through [`Deltas::incoming`] immediately after it is decoded.
#[derive(Debug)]
pub struct Deltas {
    incarnation: Incarnation,
    config: ConfigDigest,
    outbox: Outbox,
    inbox: Inbox,
}

impl Deltas {
    /// Creates a state with nothing sent or received yet, for this instance's `incarnation`.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            config: ConfigDigest::default(),
            outbox: Outbox::default(),
            inbox: Inbox::default(),
        }
    }

    /// Reduces `exchange`, which holds all entries, to those to be sent to `receiver`.
    ///
    /// A summary omits the usage of targets and client accounts.
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

    /// Restores a received message.
    ///
    /// The result has the sender's complete usage of targets and client accounts. The other
    /// sections hold only changes, which the caller merges into its own state.
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

    /// Drops the state kept for an instance.
    pub fn forget(&mut self, instance: &InstanceId) {
        self.outbox.forget(instance);
        self.inbox.forget(instance);
    }
}
