//! Stand-ins for gateway processes: the platform's row store, targets that register in it, and the
//! configuration and settings that gateways run with.

mod brittle;
pub mod configuration;
mod flood;
pub mod settings;
mod store;
mod target;
mod wire;

pub use brittle::Brittleness;
pub use flood::{Flood, FloodServer};
pub use store::{RowStore, Snapshot, StoreMode};
pub use target::{Behaviour, COMMENT, Received, RelayTarget, Script, TargetOptions, body, event};
pub use wire::{
    EVENTS, End, Extent, Framing, WireAnswer, WireEntry, WireRequest, WireScript, WireTarget,
};
