//! Sockets around [`sesamewind_gateway`].
//!
//! One thread runs everything: the instances that this serves have a part of one core. [`Instance`]
//! starts it. [`callers`] serves callers' requests through [`server`]; [`attempt`] sends a request
//! to a target over the connections of [`pool`], and [`stream`] passes a stream of events on.
//! [`driver`] hands events to the gateway and its actions to the requests that wait for them.
//! [`watch`] follows the platform's store through a [`Source`], and [`peers`] exchanges state with
//! other instances. What callers and targets speak is behind a [`WireFormat`].

pub mod answer;
pub mod attempt;
pub mod callers;
pub mod driver;
pub mod instance;
pub mod journal;
pub mod metrics;
pub mod peers;
pub mod pool;
pub mod row_cache;
pub mod server;
pub mod source;
pub mod stream;
pub mod watch;
pub mod wire_format;

pub use instance::{Instance, StartError};
pub use source::Source;
pub use wire_format::WireFormat;
