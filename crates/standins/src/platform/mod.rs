//! Stand-in for the platform: an instance list, a table with compare-and-set, and an object store.

mod http;
mod state;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde_json::Value;

pub use state::{CallEntry, CallKind, InstanceEntry, Listing, Row, TargetEntry, WriteEntry};

use crate::proxy::FaultProxy;
use crate::server::Server;
use state::Core;

/// Options of a platform.
#[derive(Debug, Clone, Default)]
pub struct PlatformOptions {
    /// How far the list that `/list` returns lags behind changes.
    pub list_lag: Duration,
    /// Calls per second that are answered; further calls get status 429. None for no limit.
    pub rate_limit: Option<u32>,
}

/// A running stand-in for the platform; dropping it stops it.
#[derive(Debug)]
pub struct Platform {
    core: Arc<Core>,
    server: Arc<Server>,
}

impl Platform {
    /// Starts a platform on a free loopback port.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub async fn start(options: PlatformOptions) -> Self {
        Self::bind(SocketAddr::from(([127, 0, 0, 1], 0)), options).await
    }

    /// Starts a platform that listens on `listen`.
    ///
    /// # Panics
    ///
    /// Panics if `listen` can't be bound.
    pub async fn bind(listen: SocketAddr, options: PlatformOptions) -> Self {
        let (close_sender, mut to_close) = tokio::sync::mpsc::unbounded_channel();
        let core = Arc::new(Core::new(options, close_sender));
        let server = Arc::new(Server::start(listen, Arc::clone(&core)).await);
        let weak = Arc::downgrade(&server);
        tokio::spawn(async move {
            while let Some(peer) = to_close.recv().await {
                let Some(server) = weak.upgrade() else { return };
                server.proxy.close_peer(peer);
            }
        });
        Self { core, server }
    }

    /// Returns the address that clients connect to.
    pub fn addr(&self) -> SocketAddr {
        self.server.proxy.addr()
    }

    /// Returns the address behind the platform's own proxy.
    pub fn inner_addr(&self) -> SocketAddr {
        self.server.inner
    }

    /// Returns the proxy in front of the platform.
    pub fn proxy(&self) -> &FaultProxy {
        &self.server.proxy
    }

    /// Replaces the listed instances; `/list` returns them after the list's lag.
    pub fn set_instances(&self, instances: Vec<InstanceEntry>) {
        self.core.change_list(|listing| listing.instances = instances);
    }

    /// Replaces the listed targets; `/list` returns them after the list's lag.
    pub fn set_targets(&self, targets: Vec<TargetEntry>) {
        self.core.change_list(|listing| listing.targets = targets);
    }

    /// Sets how far the list that `/list` returns lags behind changes.
    pub fn list_lag(&self, lag: Duration) {
        self.core.state().options.list_lag = lag;
    }

    /// Sets whether every call fails with status 503.
    pub fn down(&self, on: bool) {
        self.core.state().down = on;
    }

    /// Sets the delay of every answer.
    pub fn slow(&self, delay: Duration) {
        self.core.state().delay = delay;
    }

    /// Closes the connection without an answer after each of the next `count` writes to the table
    /// that take effect.
    pub fn lose_answers(&self, count: u32) {
        self.core.state().pending_losses = count;
    }

    /// Sets how many calls per second are answered; none for no limit.
    pub fn rate_limit(&self, limit: Option<u32>) {
        self.core.state().options.rate_limit = limit;
    }

    /// Writes a table row unconditionally and returns its revision.
    pub fn put_row(&self, key: &str, value: Value) -> u64 {
        self.core.state().put(key, value)
    }

    /// Returns a table row.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.core.state().rows.get(key).cloned()
    }

    /// Returns all table rows.
    pub fn rows(&self) -> BTreeMap<String, Row> {
        self.core.state().rows.clone()
    }

    /// Stores an object under `hash`.
    pub fn put_object(&self, hash: &str, bytes: impl Into<Bytes>) {
        self.core.state().objects.insert(hash.to_owned(), bytes.into());
    }

    /// Returns the object stored under `hash`.
    pub fn object(&self, hash: &str) -> Option<Bytes> {
        self.core.state().objects.get(hash).cloned()
    }

    /// Returns every write to the table that took effect, in order.
    pub fn writes(&self) -> Vec<WriteEntry> {
        self.core.state().writes.clone()
    }

    /// Returns every call since the start.
    pub fn calls(&self) -> Vec<CallEntry> {
        self.core.state().calls.clone()
    }

    /// Returns the number of calls by the second (Unix time) in which they arrived.
    pub fn calls_per_second(&self) -> BTreeMap<u64, u64> {
        const MILLIS_PER_SECOND: u64 = 1_000;
        let mut counts = BTreeMap::new();
        for call in &self.core.state().calls {
            *counts.entry(call.at.0 / MILLIS_PER_SECOND).or_insert(0) += 1;
        }
        counts
    }
}
