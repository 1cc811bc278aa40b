//! Client of the platform's table service, object store and instance list.
//!
//! [`Platform`] is the client. Each of its calls has a deadline and passes three guards, which keep
//! the load on the platform flat during and after an outage: [`Breaker`] stops calls while the
//! platform does not answer, [`Budget`] limits the rate of calls, and [`Backoff`] spreads retries.
//! The guards are pure and take the present time as an argument. [`Transport`] is the interface to
//! the sockets; tests put a fake in its place. [`control`] carries out the calls that the state
//! machines of `sesamewind-membership` ask for.

mod backoff;
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
