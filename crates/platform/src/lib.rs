//! Client of the platform's table service, object store and instance list.
//!
//! [`Platform`] is the client. Each of its calls has a deadline and is subject to three guards,
//! which limit the load on the platform during and after an outage: [`Breaker`] stops calls while
//! the platform does not answer, [`Budget`] limits the rate of calls, and [`Backoff`] spreads
//! retries over time. The guards do no input or output and take the current time as an argument.
//! [`Transport`] is the interface to the network, which tests replace by a fake. [`control`]
//! performs the calls that the state machines of `sesamewind-membership` request.

mod backoff;
mod bounded;
mod breaker;
mod budget;
mod client;
pub mod control;
mod counters;
mod error;
mod guard;
mod http;
mod options;
mod transport;
mod types;

pub use backoff::{Backoff, BackoffTiming};
pub use bounded::{ReadError, read_bounded};
pub use breaker::{Breaker, BreakerState, BreakerTiming};
pub use budget::{Budget, BudgetRate};
pub use client::Platform;
pub use counters::Counts;
pub use error::StoreError;
pub use guard::{Guard, Permit};
pub use http::HttpTransport;
pub use options::Options;
pub use transport::{Method, Reply, ReplyFuture, Request, Transport, TransportError};
pub use types::{KeyedRow, Listing, Put, Row};
