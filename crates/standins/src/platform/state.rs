//! State of the platform, and the types of its list, table and logs.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sesamewind_protocol::WallTime;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use super::PlatformOptions;
use crate::clock::wall_now;

const MAX_LISTINGS: usize = 1_000;
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// An instance in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Name of the instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Address of the instance's inner listener.
    pub address: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// A target in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Name of the target.
    pub name: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// The list of instances and targets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Instances.
    pub instances: Vec<InstanceEntry>,
    /// Targets.
    pub targets: Vec<TargetEntry>,
}

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Number of writes to the row so far.
    pub revision: u64,
    /// The row's content.
    pub value: Value,
}

/// A write to the table that took effect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WriteEntry {
    /// When it took effect.
    pub at: WallTime,
    /// The row's key.
    pub key: String,
    /// The row after the write.
    pub row: Row,
}

/// Operation of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// A read of the list.
    List,
    /// A read of the table.
    Read,
    /// A write to the table.
    Write,
    /// A read of an object.
    GetObject,
    /// A write of an object.
    PutObject,
    /// Anything else.
    Other,
}

/// A call that reached the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallEntry {
    /// When it arrived.
    pub at: WallTime,
    /// The operation.
    pub kind: CallKind,
    /// HTTP status of the answer.
    pub status: u16,
}

/// Mutable state of a running platform.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) options: PlatformOptions,
    pub(crate) rows: BTreeMap<String, Row>,
    pub(crate) objects: HashMap<String, Bytes>,
    pub(crate) calls: Vec<CallEntry>,
    pub(crate) writes: Vec<WriteEntry>,
    pub(crate) down: bool,
    pub(crate) delay: Duration,
    /// Number of further writes whose answer is dropped.
    pub(crate) pending_losses: u32,
    listings: VecDeque<(Instant, Listing)>,
    recent_calls: VecDeque<Instant>,
}

impl State {
    /// Writes a row unconditionally and returns its revision.
    pub(crate) fn put(&mut self, key: &str, value: Value) -> u64 {
        let revision = self.rows.get(key).map_or(0, |row| row.revision) + 1;
        let row = Row { revision, value };
        self.writes.push(WriteEntry { at: wall_now(), key: key.to_owned(), row: row.clone() });
        self.rows.insert(key.to_owned(), row);
        revision
    }

    /// Returns the list as it was one lag ago.
    pub(crate) fn listing(&self, now: Instant) -> Listing {
        let lag = self.options.list_lag;
        let old = self.listings.iter().rev().find(|(at, _)| *at + lag <= now);
        old.or(self.listings.front()).map(|(_, listing)| listing.clone()).unwrap_or_default()
    }

    /// Charges a call to the rate limit; returns whether the call may be answered.
    pub(crate) fn charge_call(&mut self, now: Instant) -> bool {
        while self.recent_calls.front().is_some_and(|at| *at + RATE_WINDOW <= now) {
            self.recent_calls.pop_front();
        }
        let limit = self.options.rate_limit.map_or(usize::MAX, |limit| limit as usize);
        if self.recent_calls.len() >= limit {
            return false;
        }
        self.recent_calls.push_back(now);
        true
    }
}

/// A platform without its server.
#[derive(Debug)]
pub(crate) struct Core {
    state: Mutex<State>,
    pub(crate) close_sender: UnboundedSender<SocketAddr>,
}

impl Core {
    pub(crate) fn new(options: PlatformOptions, close_sender: UnboundedSender<SocketAddr>) -> Self {
        let state = State {
            options,
            rows: BTreeMap::new(),
            objects: HashMap::new(),
            calls: Vec::new(),
            writes: Vec::new(),
            down: false,
            delay: Duration::ZERO,
            pending_losses: 0,
            listings: VecDeque::new(),
            recent_calls: VecDeque::new(),
        };
        Self { state: Mutex::new(state), close_sender }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies `change` to the newest list.
    pub(crate) fn change_list(&self, change: impl FnOnce(&mut Listing)) {
        let mut state = self.state();
        let mut listing =
            state.listings.back().map(|(_, listing)| listing.clone()).unwrap_or_default();
        change(&mut listing);
        state.listings.push_back((Instant::now(), listing));
        if state.listings.len() > MAX_LISTINGS {
            state.listings.pop_front();
        }
    }
}
