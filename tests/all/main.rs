//! Integration tests with real daemon processes between stand-ins.
//!
//! [`deployment`] starts the stand-ins and the daemons, [`caller`] sends requests as callers do.
//! Every test counts what reached the stand-ins, never what the daemon says of itself.

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
