//! Stand-in for a model engine with batching, a prefix cache, delayed load reports and resumable
//! streams.

mod admit;
mod cache;
mod core;
mod http;
mod log;
mod options;
mod run;
mod stream;

use std::net::SocketAddr;
use std::sync::Arc;

use sesamewind_protocol::Incarnation;

pub use log::{Dispatch, DispatchEnd, EngineLog, OrderEntry};
pub use options::EngineOptions;

use crate::clock::wall_now;
use crate::proxy::{FaultProxy, Flow, Side};
use crate::server::Server;
use crate::version_fault::VersionFault;
use core::Core;

/// A running stand-in for a model engine; dropping it stops it.
#[derive(Debug)]
pub struct Engine {
    core: Arc<Core>,
    server: Server,
}

impl Engine {
    /// Starts an engine on a free loopback port.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub async fn start(options: EngineOptions) -> Self {
        Self::bind(SocketAddr::from(([127, 0, 0, 1], 0)), options).await
    }

    /// Starts an engine that listens on `listen`.
    ///
    /// # Panics
    ///
    /// Panics if `listen` can't be bound.
    pub async fn bind(listen: SocketAddr, options: EngineOptions) -> Self {
        let core = Arc::new(Core::new(options));
        tokio::spawn(run::sample_load(Arc::downgrade(&core)));
        let server = Server::start(listen, Arc::clone(&core)).await;
        Self { core, server }
    }

    /// Returns the address that clients connect to.
    pub fn addr(&self) -> SocketAddr {
        self.server.proxy.addr()
    }

    /// Returns the address behind the engine's own proxy, which stays reachable while the engine is
    /// killed or silent.
    pub fn inner_addr(&self) -> SocketAddr {
        self.server.inner
    }

    /// Returns the name of the engine.
    pub fn name(&self) -> &str {
        &self.core.options.name
    }

    /// Returns the proxy in front of the engine.
    pub fn proxy(&self) -> &FaultProxy {
        &self.server.proxy
    }

    /// Returns a copy of everything logged since the start.
    pub fn log(&self) -> EngineLog {
        self.core.state().log.clone()
    }

    /// Returns a copy of the dispatches logged since the start.
    pub fn dispatches(&self) -> Vec<Dispatch> {
        self.core.state().log.dispatches.clone()
    }

    /// Returns the number of requests that run or wait in the engine.
    pub fn in_flight(&self) -> usize {
        self.core.state().in_flight()
    }

    /// Slows the engine down by `factor`; 1 restores its speed.
    pub fn slow(&self, factor: f64) {
        self.core.state().slow_factor = factor;
    }

    /// Sets whether the engine refuses new requests before running them.
    pub fn refuse(&self, on: bool) {
        self.core.state().refusing = on;
    }

    /// Sets whether the engine's load reports ask for no new work. Requests that still arrive are
    /// served and marked in the log.
    pub fn leave(&self, on: bool) {
        let mut state = self.core.state();
        state.leaving = on;
        state.log.left = on.then(wall_now);
    }

    /// Sets the fault of `version`; none removes it.
    pub fn misbehave(&self, version: &str, fault: Option<VersionFault>) {
        let mut state = self.core.state();
        match fault {
            Some(fault) => state.faults.insert(version.to_owned(), fault),
            None => state.faults.remove(version),
        };
    }

    /// Discards the bytes of open connections in the directions of `side`; new ones work.
    pub fn silence_open(&self, side: Side) {
        self.server.proxy.set_open(side, Flow::Drop);
    }

    /// Discards all bytes in the directions of `side`, or stops doing so on new connections.
    pub fn silence(&self, side: Side, on: bool) {
        if on {
            self.server.proxy.set(side, Flow::Drop);
        } else {
            self.server.proxy.set_new(side, Flow::Pass);
        }
    }

    /// Simulates a crash of the process: streams, cache and connections are lost, and new
    /// connections are refused.
    pub async fn kill(&self) {
        self.server.proxy.cut().await;
        self.core.reset();
    }

    /// Restarts a killed engine as a new incarnation on the same address.
    ///
    /// # Panics
    ///
    /// Panics if another socket has taken the address in the meantime.
    pub async fn revive(&self) {
        self.core.state().incarnation = Incarnation(wall_now().0);
        self.server.proxy.restore().await;
    }
}
