//! Stand-in for a model engine: batching, a prefix cache, late reports, streams that resume.

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

/// A running stand-in for a model engine; it ends when dropped.
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

    /// Address that the engine serves on.
    pub fn addr(&self) -> SocketAddr {
        self.server.front.addr()
    }

    /// Address behind the engine's own proxy; it stays reachable when the engine is killed or
    /// silent.
    pub fn inner_addr(&self) -> SocketAddr {
        self.server.inner
    }

    /// The engine's name.
    pub fn name(&self) -> &str {
        &self.core.options.name
    }

    /// The proxy in front of the engine.
    pub fn proxy(&self) -> &FaultProxy {
        &self.server.front
    }

    /// A copy of everything logged since the start.
    pub fn log(&self) -> EngineLog {
        self.core.state().log.clone()
    }

    /// A copy of the dispatches logged since the start.
    pub fn dispatches(&self) -> Vec<Dispatch> {
        self.core.state().log.dispatches.clone()
    }

    /// Number of requests that run or wait inside the engine.
    pub fn in_flight(&self) -> usize {
        self.core.state().in_flight()
    }

    /// Makes the engine slower by `factor`; 1 restores its speed.
    pub fn slow(&self, factor: f64) {
        self.core.state().slow = factor;
    }

    /// Makes the engine refuse new requests before running them, or ends that.
    pub fn refuse(&self, on: bool) {
        self.core.state().refuse = on;
    }

    /// Sets whether the engine's load reports ask for no new work. Requests that arrive all the
    /// same are served and marked in the log.
    pub fn leave(&self, on: bool) {
        let mut state = self.core.state();
        state.leaving = on;
        state.log.left = on.then(wall_now);
    }

    /// Sets how `version` misbehaves; none cures it.
    pub fn misbehave(&self, version: &str, bad: Option<VersionFault>) {
        let mut state = self.core.state();
        match bad {
            Some(bad) => state.bad.insert(version.to_owned(), bad),
            None => state.bad.remove(version),
        };
    }

    /// Swallows the bytes of open connections in the directions of `side`; new connections work.
    pub fn silence_open(&self, side: Side) {
        self.server.front.set_open(side, Flow::Drop);
    }

    /// Swallows all bytes in the directions of `side`, or ends that for new connections.
    pub fn silence(&self, side: Side, on: bool) {
        if on {
            self.server.front.set(side, Flow::Drop);
        } else {
            self.server.front.set_new(side, Flow::Pass);
        }
    }

    /// Ends the engine as if its process died: streams, cache and connections are lost, and
    /// connecting is refused.
    pub async fn kill(&self) {
        self.server.front.cut().await;
        self.core.reset();
    }

    /// Starts a killed engine again, as a new incarnation on the same address.
    ///
    /// # Panics
    ///
    /// Panics if another socket took the address meanwhile.
    pub async fn revive(&self) {
        self.core.state().incarnation = Incarnation(wall_now().0);
        self.server.front.restore().await;
    }
}
