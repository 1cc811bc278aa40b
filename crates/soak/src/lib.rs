//! Randomized soak test of gateway processes under faults.
//!
//! A run starts real `sesamewind-gateway` processes with stand-ins for the store and the targets,
//! sends requests as callers do, and injects faults from outside: proxies on each link delay,
//! reset, silence or cut connections, and signals stop, freeze and kill processes. The [`plan`] of
//! faults depends only on the seed. [`check`] compares the answers that callers received with the
//! requests that reached the targets, and never relies on the gateways' own reports.
//!
//! Some guarantees hold at all times. Others have a time bound, and hold only for instances without
//! a disturbance for a while. [`check::timed`] checks the latter; CI leaves them out, since they
//! depend on the machine's load.
//!
//! The plan of [`changes`] has no faults except kills: it changes the configuration and signals the
//! processes, and [`accepted`] checks that all requests that were read are answered.

pub mod accepted;
pub mod callers;
pub mod changes;
pub mod check;
pub mod configuration;
pub mod connection;
pub mod inject;
pub mod kept;
pub mod limits;
pub mod plan;
pub mod process;
pub mod record;
pub mod run;

pub use run::{Options, Profile, Report, run};
