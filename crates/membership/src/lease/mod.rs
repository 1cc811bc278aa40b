//! Leases with fencing over rows of the platform's table service.
//!
//! A lease is the row `lease.<name>`. An instance acquires it by writing the row with a
//! compare-and-set. It holds the lease for the length in the row minus a margin, measured by its
//! own monotonic clock from before the write was sent. Another instance takes over only after the
//! row has not changed for the length plus the margin, measured by that instance's monotonic clock.
//! No wall clocks are compared.
//!
//! Each takeover increments the fencing number. Writes under the lease carry it and are
//! conditional, so a holder that was paused until after its lease expired cannot write.

mod manager;
mod row;
mod state;

pub use manager::LeaseManager;
pub use row::{Grant, Holder, LeaseAnswer, LeaseCall, LeaseRow, LeaseTiming};
