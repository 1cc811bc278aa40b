//! State of an engine that its requests, orders and reports share.

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
pub(crate) struct Loaded {
    pub(crate) since: Instant,
    pub(crate) running: usize,
}

/// A stream that the engine keeps.
#[derive(Debug)]
pub(crate) struct Kept {
    pub(crate) stream: Arc<Stream>,
    pub(crate) phase: Phase,
    /// Prompt tokens that are still to be taken in.
    pub(crate) to_prefill: u32,
}

/// What changes while the engine runs.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) log: EngineLog,
    pub(crate) streams: HashMap<u64, Kept>,
    /// Streams that are past their wait.
    pub(crate) running: usize,
    pub(crate) finished: VecDeque<(Instant, u64)>,
    pub(crate) next_stream: u64,
    pub(crate) cache: PrefixCache,
    pub(crate) versions: BTreeMap<String, Loaded>,
    pub(crate) bad: BTreeMap<String, VersionFault>,
    pub(crate) slow: f64,
    pub(crate) refuse: bool,
    pub(crate) leaving: bool,
    pub(crate) incarnation: Incarnation,
    pub(crate) fence: u64,
    pub(crate) samples: VecDeque<(Instant, LoadReport)>,
}

impl State {
    /// Requests that run or wait.
    pub(crate) fn in_flight(&self) -> usize {
        self.versions.values().map(|loaded| loaded.running).sum()
    }

    /// Notes where a stream stands and what is left of its prompt.
    pub(crate) fn set_phase(&mut self, stream: u64, phase: Phase, to_prefill: u32) {
        let Some(kept) = self.streams.get_mut(&stream) else { return };
        let ran = kept.phase.runs();
        kept.phase = phase;
        kept.to_prefill = to_prefill;
        match (ran, phase.runs()) {
            (false, true) => self.running += 1,
            (true, false) => self.running -= 1,
            _ => {}
        }
    }

    /// Ends every stream of `version`, or of all versions.
    pub(crate) fn stop_streams(&self, version: Option<&str>, end: DispatchEnd) {
        let of_version =
            |kept: &&Kept| version.is_none_or(|version| kept.stream.ask.version == version);
        for kept in self.streams.values().filter(of_version) {
            kept.stream.stop(end);
        }
    }
}

/// An engine without its sockets.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) options: EngineOptions,
    /// Places in the batch.
    pub(crate) places: Semaphore,
    /// The right to take a prompt in; given in order of arrival.
    pub(crate) prefill: tokio::sync::Mutex<()>,
    state: Mutex<State>,
}

impl Core {
    pub(crate) fn new(options: EngineOptions) -> Self {
        let now = Instant::now();
        let loaded = |version: &String| (version.clone(), Loaded { since: now, running: 0 });
        let state = State {
            log: EngineLog::default(),
            streams: HashMap::new(),
            running: 0,
            finished: VecDeque::new(),
            next_stream: 0,
            cache: PrefixCache::new(options.cache_tokens, options.event_loss, options.seed),
            versions: options.versions.iter().map(loaded).collect(),
            bad: BTreeMap::new(),
            slow: 1.0,
            refuse: false,
            leaving: false,
            incarnation: Incarnation(wall_now().0),
            fence: 0,
            samples: VecDeque::new(),
        };
        let places = Semaphore::new(options.max_batch);
        Self { options, places, prefill: tokio::sync::Mutex::new(()), state: Mutex::new(state) }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Loses all streams and the cache, as the death of the process does. The initial versions
    /// are loaded afterwards, and those loaded by order stay.
    pub(crate) fn reset(&self) {
        let mut state = self.state();
        state.stop_streams(None, DispatchEnd::Killed);
        state.cache.clear();
        state.samples.clear();
    }

    /// The engine's present load.
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
            prefill_tokens: state.streams.values().map(|kept| u64::from(kept.to_prefill)).sum(),
            versions: state.versions.keys().map(VersionId::new).collect(),
            leaving: state.leaving,
        }
    }

    /// The load as `/load` tells it: the newest sample that is old enough.
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

    /// Factor by which `stream` takes longer now.
    pub(crate) fn slowness(&self, state: &State, stream: &Stream) -> f64 {
        let bad = self.bad_now(state, &stream.ask.version, &stream.ask.route);
        state.slow * bad.map_or(1.0, |bad| bad.slow_factor)
    }

    /// How `version` misbehaves now on `route`, if it does.
    pub(crate) fn bad_now<'a>(
        &self,
        state: &'a State,
        version: &str,
        route: &str,
    ) -> Option<&'a VersionFault> {
        let bad = state.bad.get(version)?;
        let loaded = state.versions.get(version)?;
        let load = state.in_flight() as f64 / self.options.max_batch as f64;
        bad.shows(loaded.since.elapsed(), load, route).then_some(bad)
    }
}
