//! Sockets, threads and actors around the deciding packages.

pub mod logging;
pub mod metrics;
