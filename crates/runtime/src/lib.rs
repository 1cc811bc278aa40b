//! Clocks and logging, shared by the programs of the system.
//!
//! [`clock`] reads the monotonic clock and the wall clock, [`logging`] formats log records as JSON
//! lines, [`limit`] limits their rate, and [`sink`] writes them without blocking the threads that
//! serve requests.

pub mod clock;
pub mod limit;
pub mod logging;
pub mod sink;
