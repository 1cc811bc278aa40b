//! State of an engine, shared by its requests, orders and load reports.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sesamewind_protocol::target::LoadReport;
use sesamewind_protocol::{Incarnation, TargetId, VersionId};
use tokio::sync::Semaphore;
use tokio::time::Instant;

use super::cache::PrefixCache;
use super::log::{DispatchEnd, EngineLog};
use super::options::EngineOptions;
use super::stream::{Phase, Stream};
use crate::clock::wall_now;
use crate::version_fault::VersionFault;

/// A version that is loaded.
#[derive(Debug)]
pub(crate) struct LoadedVersion {
    pub(crate) since: Instant,
    pub(crate) running: usize,
}

/// A stream that the engine runs, or retains after its end.
#[derive(Debug)]
pub(crate) struct StreamEntry {
    pub(crate) stream: Arc<Stream>,
    pub(crate) phase: Phase,
    /// Prompt tokens that are not prefilled yet.
    pub(crate) to_prefill: u32,
}

/// Mutable state of a running engine.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) log: EngineLog,
    pub(crate) streams: HashMap<u64, StreamEntry>,
    /// Number of streams in prefill or decode.
    pub(crate) running: usize,
    pub(crate) finished: VecDeque<(Instant, u64)>,
    pub(crate) next_stream: u64,
    pub(crate) cache: PrefixCache,
    pub(crate) versions: BTreeMap<String, LoadedVersion>,
    pub(crate) faults: BTreeMap<String, VersionFault>,
    pub(crate) slow_factor: f64,
    pub(crate) refusing: bool,
    pub(crate) leaving: bool,
    pub(crate) incarnation: Incarnation,
    pub(crate) fence: u64,
    pub(crate) samples: VecDeque<(Instant, LoadReport)>,
}

impl State {
    /// Returns the number of requests that run or wait.
    pub(crate) fn in_flight(&self) -> usize {
        self.versions.values().map(|loaded| loaded.running).sum()
    }

    /// Sets the phase of a stream and the prompt tokens that it still has to prefill.
    pub(crate) fn set_phase(&mut self, stream: u64, phase: Phase, to_prefill: u32) {
        let Some(entry) = self.streams.get_mut(&stream) else { return };
        let was_running = entry.phase.is_running();
        entry.phase = phase;
        entry.to_prefill = to_prefill;
        match (was_running, phase.is_running()) {
            (false, true) => self.running += 1,
            (true, false) => self.running -= 1,
            _ => {}
        }
    }

    /// Stops every stream of `version`, or of all versions.
    pub(crate) fn stop_streams(&self, version: Option<&str>, end: DispatchEnd) {
        let of_version =
            |entry: &&StreamEntry| version.is_none_or(|v| entry.stream.request.version == v);
        for entry in self.streams.values().filter(of_version) {
            entry.stream.stop(end);
        }
    }
}

/// An engine without its server.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) options: EngineOptions,
    /// Slots of the batch.
    pub(crate) slots: Semaphore,
    /// Serializes prefills in order of arrival.
    pub(crate) prefill: tokio::sync::Mutex<()>,
    state: Mutex<State>,
}

impl Core {
    pub(crate) fn new(options: EngineOptions) -> Self {
        let now = Instant::now();
        let loaded = |version: &String| (version.clone(), LoadedVersion { since: now, running: 0 });
        let state = State {
            log: EngineLog::default(),
            streams: HashMap::new(),
            running: 0,
            finished: VecDeque::new(),
            next_stream: 0,
            cache: PrefixCache::new(options.cache_tokens, options.event_loss, options.seed),
            versions: options.versions.iter().map(loaded).collect(),
            faults: BTreeMap::new(),
            slow_factor: 1.0,
            refusing: false,
            leaving: false,
            incarnation: Incarnation(wall_now().0),
            fence: 0,
            samples: VecDeque::new(),
        };
        let slots = Semaphore::new(options.max_batch);
        Self { options, slots, prefill: tokio::sync::Mutex::new(()), state: Mutex::new(state) }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stops all streams and clears the cache, as a crash of the process would. All loaded versions
    /// stay loaded, the initial ones and those loaded by order.
    pub(crate) fn reset(&self) {
        let mut state = self.state();
        state.stop_streams(None, DispatchEnd::Killed);
        state.cache.clear();
        state.samples.clear();
    }

    /// Returns the engine's current load.
    pub(crate) fn measure(&self) -> LoadReport {
        let state = self.state();
        let running = state.running;
        let waiting = state.in_flight().saturating_sub(running);
        LoadReport {
            target: TargetId::new(&self.options.name),
            incarnation: state.incarnation,
            measured: wall_now(),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            running: u32::try_from(running).unwrap_or(u32::MAX),
            prefill_tokens: state.streams.values().map(|entry| u64::from(entry.to_prefill)).sum(),
            versions: state.versions.keys().map(VersionId::new).collect(),
            leaving: state.leaving,
        }
    }

    /// Returns the load that `/load` reports: the newest sample that is at least one lag old.
    pub(crate) fn report(&self) -> LoadReport {
        let lag = self.options.report_lag;
        if lag.is_zero() {
            return self.measure();
        }
        let now = Instant::now();
        let sample = {
            let state = self.state();
            let old = state.samples.iter().rev().find(|(at, _)| *at + lag <= now);
            old.or(state.samples.front()).map(|(_, report)| report.clone())
        };
        sample.unwrap_or_else(|| self.measure())
    }

    /// Returns the factor by which `stream` is slowed down now.
    pub(crate) fn slowness(&self, state: &State, stream: &Stream) -> f64 {
        let fault = self.active_fault(state, &stream.request.version, &stream.request.route);
        state.slow_factor * fault.map_or(1.0, |fault| fault.slow_factor)
    }

    /// Returns the fault of `version` if it applies to `route` now.
    pub(crate) fn active_fault<'a>(
        &self,
        state: &'a State,
        version: &str,
        route: &str,
    ) -> Option<&'a VersionFault> {
        let fault = state.faults.get(version)?;
        let loaded = state.versions.get(version)?;
        let load = state.in_flight() as f64 / self.options.max_batch as f64;
        fault.is_active(loaded.since.elapsed(), load, route).then_some(fault)
    }
}
