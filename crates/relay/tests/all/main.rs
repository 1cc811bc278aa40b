//! Tests of the listener with sockets, and of stalls, without a process.

#![allow(unreachable_pub, reason = "modules of one test program")]

mod closes;
mod exchanges;
mod keep_alive;
mod panics;
mod stalls;
mod support;
