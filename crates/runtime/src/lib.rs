//! What every program needs from its process: clocks and logs.
//!
//! [`clock`] reads the two clocks, [`logging`] formats records as JSON lines, [`limit`] bounds their
//! number, and [`sink`] writes them without ever blocking the threads that serve requests.

pub mod clock;
pub mod limit;
pub mod logging;
pub mod sink;
