//! Leases with fencing over rows of the platform's table service.
//!
//! A lease is the row `lease.<name>`. Whoever writes the row by compare-and-set holds the lease for
//! the row's length, counted by its own monotonic clock from before the write was sent, less a
//! margin. Others take over only after they have watched the row unchanged for its length and a
//! margin, by their own monotonic clock. No wall clocks are compared. Each take-over raises the
//! fencing counter; writes under the lease carry it and are conditional, so that a holder that was
//! paused past its lease writes nothing.

mod manager;
mod row;
mod state;

pub use manager::LeaseManager;
pub use row::{Grant, Holder, LeaseAnswer, LeaseCall, LeaseRow, LeaseTiming};
