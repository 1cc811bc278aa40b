//! Stand-in for the platform: instance list, table with compare-and-set, object store.

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

/// What a platform is like.
#[derive(Debug, Clone, Default)]
pub struct PlatformOptions {
    /// Age of the list that `/list` shows.
    pub list_lag: Duration,
    /// Calls a second that are answered; more get status 429. None for no limit.
    pub rate_limit: Option<u32>,
}

/// A running stand-in for the platform; it ends when dropped.
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
        let (closing, mut to_close) = tokio::sync::mpsc::unbounded_channel();
        let core = Arc::new(Core::new(options, closing));
        let server = Arc::new(Server::start(listen, Arc::clone(&core)).await);
        let front = Arc::downgrade(&server);
        tokio::spawn(async move {
            while let Some(peer) = to_close.recv().await {
                let Some(server) = front.upgrade() else { return };
                server.front.close_peer(peer);
            }
        });
        Self { core, server }
    }

    /// Address that the platform serves on.
    pub fn addr(&self) -> SocketAddr {
        self.server.front.addr()
    }

    /// Address behind the platform's own proxy.
    pub fn inner_addr(&self) -> SocketAddr {
        self.server.inner
    }

    /// The proxy in front of the platform.
    pub fn proxy(&self) -> &FaultProxy {
        &self.server.front
    }

    /// Replaces the listed instances; `/list` shows it after the list's lag.
    pub fn set_instances(&self, instances: Vec<InstanceEntry>) {
        self.core.change_list(|listing| listing.instances = instances);
    }

    /// Replaces the listed targets; `/list` shows it after the list's lag.
    pub fn set_targets(&self, targets: Vec<TargetEntry>) {
        self.core.change_list(|listing| listing.targets = targets);
    }

    /// Sets the age of the list that `/list` shows.
    pub fn list_lag(&self, lag: Duration) {
        self.core.state().options.list_lag = lag;
    }

    /// Makes every call fail with status 503, or ends that.
    pub fn down(&self, on: bool) {
        self.core.state().down = on;
    }

    /// Delays every answer; zero ends that.
    pub fn slow(&self, delay: Duration) {
        self.core.state().delay = delay;
    }

    /// Closes the connection after each of the next `count` writes to the table that took effect,
    /// in place of an answer.
    pub fn lose_answers(&self, count: u32) {
        self.core.state().lose = count;
    }

    /// Sets the calls a second that are answered.
    pub fn rate_limit(&self, limit: Option<u32>) {
        self.core.state().options.rate_limit = limit;
    }

    /// Writes a table row without conditions; returns its revision.
    pub fn put_row(&self, key: &str, value: Value) -> u64 {
        self.core.state().put(key, value)
    }

    /// A table row.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.core.state().rows.get(key).cloned()
    }

    /// All table rows.
    pub fn rows(&self) -> BTreeMap<String, Row> {
        self.core.state().rows.clone()
    }

    /// Stores an object under `hash`.
    pub fn put_object(&self, hash: &str, bytes: impl Into<Bytes>) {
        self.core.state().objects.insert(hash.to_owned(), bytes.into());
    }

    /// An object.
    pub fn object(&self, hash: &str) -> Option<Bytes> {
        self.core.state().objects.get(hash).cloned()
    }

    /// Every write to the table that took effect, in order.
    pub fn writes(&self) -> Vec<WriteEntry> {
        self.core.state().writes.clone()
    }

    /// Every call since the start.
    pub fn calls(&self) -> Vec<CallEntry> {
        self.core.state().calls.clone()
    }

    /// Calls by the second (Unix time) in which they arrived.
    pub fn calls_per_second(&self) -> BTreeMap<u64, u64> {
        const MILLIS_PER_SECOND: u64 = 1_000;
        let mut counts = BTreeMap::new();
        for call in &self.core.state().calls {
            *counts.entry(call.at.0 / MILLIS_PER_SECOND).or_insert(0) += 1;
        }
        counts
    }
}
