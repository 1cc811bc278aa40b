//! The operators' sheet: a CSV file of tiers, client accounts, services, targets and rollouts.
//!
//! [`read`] parses and checks a CSV file and returns either a [`Sheet`] or all faults of the file.
//! A file with a fault is rejected as a whole. [`diff`] lists the changes between two sheets, and
//! [`hash`] returns the name of a sheet in the platform's object store.

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
