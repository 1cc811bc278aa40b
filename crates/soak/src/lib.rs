//! Randomized soak of gateway processes.
//!
//! A run starts real `sesamewind-gateway` processes between stand-ins of the store and of targets,
//! sends requests as callers do, and injects faults from outside: proxies on each link delay, reset,
//! silence or cut connections, and signals stop, freeze, kill and restart processes. The [`plan`] of
//! faults depends on the seed alone. [`check`] compares what callers got with what reached the
//! targets; it never reads what a gateway says of itself.
//!
//! Some promises hold at every moment. Others are bounded in time and hold only for instances that
//! were left alone for a while; they are judged by [`check::timed`], not in CI, since they depend on
//! the machine's load.

pub mod callers;
pub mod check;
pub mod configuration;
pub mod inject;
pub mod plan;
pub mod process;
pub mod record;
pub mod run;

pub use run::{Options, Report, run};
