//! State of the platform.

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

const KEPT_LISTINGS: usize = 1_000;
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// An instance in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// The instance's name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Address of its inner listener.
    pub address: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// A target in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The target's name.
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
    /// Counts the writes to the row.
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
    /// The row as it was left.
    pub row: Row,
}

/// What a call asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// The list.
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
    /// What it asked for.
    pub kind: CallKind,
    /// Status of the answer.
    pub status: u16,
}

/// What changes while the platform runs.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) options: PlatformOptions,
    pub(crate) rows: BTreeMap<String, Row>,
    pub(crate) objects: HashMap<String, Bytes>,
    pub(crate) calls: Vec<CallEntry>,
    pub(crate) writes: Vec<WriteEntry>,
    pub(crate) down: bool,
    pub(crate) delay: Duration,
    /// Writes whose answer is to be lost yet.
    pub(crate) lose: u32,
    listings: VecDeque<(Instant, Listing)>,
    recent: VecDeque<Instant>,
}

impl State {
    /// Writes a row without conditions.
    pub(crate) fn put(&mut self, key: &str, value: Value) -> u64 {
        let revision = self.rows.get(key).map_or(0, |row| row.revision) + 1;
        let row = Row { revision, value };
        self.writes.push(WriteEntry { at: wall_now(), key: key.to_owned(), row: row.clone() });
        self.rows.insert(key.to_owned(), row);
        revision
    }

    /// The list as it was one lag ago.
    pub(crate) fn listing(&self, now: Instant) -> Listing {
        let lag = self.options.list_lag;
        let old = self.listings.iter().rev().find(|(at, _)| *at + lag <= now);
        old.or(self.listings.front()).map(|(_, listing)| listing.clone()).unwrap_or_default()
    }

    /// Counts a call against the rate limit; returns whether it may be answered.
    pub(crate) fn within_rate(&mut self, now: Instant) -> bool {
        while self.recent.front().is_some_and(|at| *at + RATE_WINDOW <= now) {
            self.recent.pop_front();
        }
        let limit = self.options.rate_limit.map_or(usize::MAX, |limit| limit as usize);
        if self.recent.len() >= limit {
            return false;
        }
        self.recent.push_back(now);
        true
    }
}

/// A platform without its sockets.
#[derive(Debug)]
pub(crate) struct Core {
    state: Mutex<State>,
    pub(crate) closing: UnboundedSender<SocketAddr>,
}

impl Core {
    pub(crate) fn new(options: PlatformOptions, closing: UnboundedSender<SocketAddr>) -> Self {
        let state = State {
            options,
            rows: BTreeMap::new(),
            objects: HashMap::new(),
            calls: Vec::new(),
            writes: Vec::new(),
            down: false,
            delay: Duration::ZERO,
            lose: 0,
            listings: VecDeque::new(),
            recent: VecDeque::new(),
        };
        Self { state: Mutex::new(state), closing }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the present list.
    pub(crate) fn change_list(&self, change: impl FnOnce(&mut Listing)) {
        let mut state = self.state();
        let mut listing =
            state.listings.back().map(|(_, listing)| listing.clone()).unwrap_or_default();
        change(&mut listing);
        state.listings.push_back((Instant::now(), listing));
        if state.listings.len() > KEPT_LISTINGS {
            state.listings.pop_front();
        }
    }
}
