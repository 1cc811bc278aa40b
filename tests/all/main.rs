//! Integration tests that run real daemon and gateway processes against stand-ins.
//!
//! [`deployment`] starts the stand-ins and the daemons, [`caller`] sends requests to the daemons,
//! and [`relay`] holds the tests of the gateway. Dispatches are counted at the stand-ins and not
//! taken from the daemon's own reports.

#![allow(unreachable_pub, reason = "modules of one test program")]

mod caller;
mod callers;
mod config;
mod daemon;
mod deployment;
mod once;
mod path;
mod programs;
mod relay;
mod rollouts;
mod silent;
mod soak;
mod stops;
mod telemetry;
mod tiers;
mod tool;
