//! The server process of one instance: runs sockets, threads and the control actor around the node
//! state machine of `sesamewind-node`.
//!
//! - [`Instance`] starts and stops the threads and listeners.
//! - [`server`] accepts connections; [`callers`] and [`inner`] handle the requests of the two
//!   listeners.
//! - Each request of a caller runs as a [`job`], which executes the [`step`]s of the [`control`]
//!   actor, exchanges data with [`targets`] and fills an [`answer`]. [`render`] converts the answer
//!   to the response.
//! - The actor receives [`message`]s and starts [`effects`], the calls to other processes.
//! - [`polls`] reads the platform and the targets periodically; [`peers`] is the client for other
//!   instances.
//! - [`operators`] and [`views`] serve operators; [`stop`] performs a planned stop.
//! - [`context`] holds the state shared by all of these.

pub mod answer;
pub mod body;
pub mod callers;
mod connection;
pub mod context;
pub mod control;
pub mod effects;
pub mod inbound;
pub mod inner;
pub mod instance;
pub mod job;
pub mod message;
pub mod meter;
pub mod metrics;
pub mod model;
pub mod operators;
pub mod peers;
pub mod polls;
pub mod problem;
pub mod render;
pub mod server;
pub mod step;
pub mod stop;
pub mod targets;
pub mod views;

pub use instance::{Instance, StartError};
pub use sesamewind_runtime::{clock, logging};
pub use stop::Stopped;
