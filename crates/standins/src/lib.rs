//! Small stand-ins for engines, plain services and the platform, and a fault proxy.
//!
//! Each stand-in runs inside the caller's tokio runtime on a loopback socket, takes orders through
//! its methods while it runs, and logs everything that reaches it. Tests and the replay judge by
//! these logs, never by the daemon's own counters. [`answer`] makes every answer a function of its
//! request, so that a wrong, partial or mixed answer shows.

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
pub use proxy::{FaultProxy, Flow, Mode, Side};
pub use service::{Run, RunEnd, Service, ServiceLog, ServiceOptions};
pub use version_fault::VersionFault;
