//! Sockets, threads and actors around the deciding packages.
//!
//! [`Instance`] starts everything. [`callers`] and [`inner`] serve the two listeners through
//! [`server`]; a caller's request becomes a [`job`], which follows the [`step`]s of the [`control`]
//! actor, talks to [`targets`] and fills an [`answer`], which [`render`] turns into what the caller
//! reads. The actor takes [`message`]s and starts [`effects`]; [`polls`] read the platform and the
//! targets, [`peers`] talks to other instances, [`operators`] and [`views`] serve operators, and
//! [`stop`] ends an instance as planned. [`context`] holds what all of them share.

pub mod answer;
pub mod body;
pub mod callers;
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
