//! Test doubles for engines, plain services and the platform, and a fault-injecting proxy.
//!
//! Each stand-in runs in the caller's tokio runtime on a loopback socket, is controlled through its
//! methods while it runs, and logs everything that reaches it. Tests and the replay check these
//! logs and never the daemon's own counters. [`answer`] derives every answer from its request, so
//! that callers detect wrong, partial or mixed answers. [`relay`] holds the stand-ins for gateway
//! processes.

pub mod answer;
pub mod control;
pub mod engine;
pub mod platform;
pub mod proxy;
pub mod relay;
pub mod service;

mod clock;
mod server;
mod version_fault;

pub use clock::wall_now;
pub use control::Control;
pub use engine::{Dispatch, DispatchEnd, Engine, EngineLog, EngineOptions, OrderEntry};
pub use platform::{InstanceEntry, Platform, PlatformOptions, TargetEntry};
pub use proxy::{ConnectionMode, FaultProxy, Flow, Side};
pub use service::{Run, RunEnd, Service, ServiceLog, ServiceOptions};
pub use version_fault::VersionFault;
