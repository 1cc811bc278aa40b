//! The operators' sheet: read, check, revision and difference.
//!
//! [`read`] turns the bytes of a CSV file into a [`Sheet`] or into every fault that it has; nothing
//! of a faulty sheet is taken. [`diff`] lists what changed between two sheets, and [`hash`] names
//! the content in the platform's object store.

mod build;
mod check;
mod diff;
mod digest;
mod draft;
mod fault;
mod model;
mod read;
mod row;

pub use diff::{Change, ChangeKind, diff};
pub use digest::{hash, key_hash};
pub use fault::{Fault, FaultCode};
pub use model::{Account, Rollout, Route, Service, ServiceClass, Sheet, Target, Tier};
pub use read::{MAX_SHEET_BYTES, read};
pub use row::COLUMNS;
