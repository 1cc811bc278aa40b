//! Network I/O of a forwarding instance around the decision logic of [`sesamewind_gateway`].
//!
//! A single thread runs all tasks, because these instances run on a fraction of one core.
//!
//! - [`Instance`] starts and stops the process.
//! - [`callers`] serves callers' requests, which arrive through [`server`].
//! - [`activity`] is the state of a caller's connection, which [`watched`] records, and [`watchdog`]
//!   detects times in which the instance did not run.
//! - [`attempt`] sends a request to a target over a connection of [`pool`], [`silence`] waits
//!   for its answer, which [`memory`] holds, and [`stream`] forwards event streams to the caller.
//! - `hedge` sends a slow request to a second target as well.
//! - [`driver`] passes events to the gateway and delivers its actions to the waiting requests.
//! - [`watch`] follows the platform's store through a [`Source`], and [`peers`] exchanges state
//!   with other instances.
//! - [`WireFormat`] is the interface to the format of requests and answers.

pub mod activity;
pub mod answer;
pub mod attempt;
pub mod body;
pub mod callers;
mod close;
mod connection;
pub mod driver;
pub mod exchange;
mod hedge;
mod held_parts;
pub mod instance;
pub mod journal;
pub mod memory;
pub mod metrics;
pub mod pace;
pub mod passing;
pub mod peers;
mod placement;
pub mod pool;
pub mod row_cache;
pub mod server;
pub mod silence;
pub mod source;
pub mod stream;
pub mod watch;
pub mod watchdog;
pub mod watched;
pub mod wire_format;

pub use instance::{Instance, StartError};
pub use source::Source;
pub use wire_format::WireFormat;
