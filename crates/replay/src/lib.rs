//! Replays a recorded trace against real daemons and reports each stated outcome.
//!
//! [`trace`] and [`scenario`] read what is to happen. [`replay`] starts the stand-ins of a
//! [`testbed`] and several [`daemons`] over loopback sockets and sends every request of the trace at
//! its time. Afterwards [`count`] joins the stand-ins' logs with what callers [`received`] into a
//! [`report`], and each stated outcome is held against it. Two simple dispatchers serve as
//! [`baseline`]s, [`attempts`] lists attempts and runs, and [`generate`] made the traces of this repository.

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
