//! Small stand-ins for the review's scripts, without any dependency: the platform's store, engines,
//! clients, a TCP proxy, and the processes of the project under test.
//!
//! Everything runs on loopback addresses, one thread a connection.

pub mod client;
pub mod engine;
pub mod http;
pub mod json;
pub mod process;
pub mod proxy;
pub mod record;
pub mod store;
