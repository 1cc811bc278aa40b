//! Replays a recorded trace against real daemons and checks the expected outcomes.
//!
//! [`trace`] and [`scenario`] read the input files. [`replay`] starts a [`testbed`] of stand-ins
//! and several [`daemons`] on loopback sockets, and sends each request of the trace at its
//! recorded time. [`count`] then joins the stand-ins' logs with what callers [`received`] into a
//! [`report`], which checks each expected outcome. Two simple dispatchers serve as [`baseline`]s
//! for comparison. [`attempts`] lists single attempts and runs as CSV, and [`generate`] produces
//! the traces in `traces/`.

pub mod attempts;
pub mod balancer;
pub mod baseline;
pub mod client;
pub mod count;
pub mod daemons;
pub mod generate;
pub mod received;
pub mod replay;
pub mod report;
pub mod scenario;
pub mod testbed;
pub mod trace;
