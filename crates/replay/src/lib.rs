//! Replays a recorded trace against real daemons and reports each stated outcome.
//!
//! [`trace`] and [`scenario`] read what is to happen. The replay starts stand-ins and several
//! daemons over loopback sockets and sends every request of the trace at its time. Afterwards the
//! stand-ins' logs and the callers' answers are joined into a report, and each stated outcome is
//! held against it. Two simple dispatchers serve as baselines.

pub mod generate;
pub mod scenario;
pub mod trace;
