//! Stand-ins of the users' platform: its store of rows, and targets that register there.

pub mod configuration;
pub mod settings;
mod store;
mod target;

pub use store::{RowStore, StoreMode};
pub use target::{Behaviour, Received, RelayTarget, Script, TargetOptions, body, event};
