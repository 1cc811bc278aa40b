//! Tests of the listener with sockets, of stalls, and of the spread of rows, without a process.

#![allow(unreachable_pub, reason = "modules of one test program")]

mod closes;
mod exchanges;
mod keep_alive;
mod panics;
mod spread;
mod stalls;
mod support;
