//! What is known of targets: listing, load, speed and health.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use sesamewind_protocol::{Incarnation, ServiceId, TargetId, Time, VersionId, ZoneId};

/// Position of a target in [`Targets`]; never used again for another one.
pub type Index = usize;

/// First pause of a target after a failed attempt; doubles with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(250);

/// Longest pause of a target after failed attempts, so that a target that recovered is found soon.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Time for which a peer's warning keeps a target from new work; peers of a group repeat theirs several
/// times within it.
const WARNING_BACKOFF: Duration = Duration::from_millis(250);

/// Time after an answer in which a peer's warning does not count: it may rest on the way to the target.
const WARNING_IGNORE_TIME: Duration = Duration::from_millis(100);

/// Failed attempts in a row that change the pause.
const MAX_COUNTED_FAILURES: u32 = 5;

/// Weight of the newest attempt in the failure rate: about the last ten attempts count.
const FAILURE_WEIGHT: f64 = 0.1;

/// Weight of the newest sample in a target's pace.
const SAMPLE_WEIGHT: f64 = 0.25;

/// Longest pause that is counted, in milliseconds, so that one odd stream doesn't take a target out of use.
const MAX_PAUSE_MS: f64 = 1_000.0;

/// Bounds on a target's pace, so that one odd sample doesn't take it out of use.
const LATENCY_RATIO_BOUNDS: (f64, f64) = (0.1, 20.0);

/// State that a target announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// Takes work.
    Ready,
    /// Finishes what it has and leaves.
    Leaving,
}

/// A target as the list describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedTarget {
    /// Name.
    pub id: TargetId,
    /// Its life; a later life under the same name is a new target.
    pub incarnation: Incarnation,
    /// Service.
    pub service: ServiceId,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Version of its software.
    pub version: VersionId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// State.
    pub state: ListedState,
}

/// A change of the list of targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetChange {
    /// The target is listed like this.
    Listed(ListedTarget),
    /// The target is not listed any more, or its entry can't be read.
    Removed(TargetId),
}

/// Whether a target may be given new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Usability {
    /// It may.
    Usable,
    /// It was removed just after the list had been away; it may until then.
    Suspect(Time),
    /// It leaves or is gone.
    Retired,
}

/// One life of a target.
#[derive(Debug)]
pub struct Target {
    /// As it was last listed.
    pub listed: ListedTarget,
    /// Whether this instance prefers it to others that are as good.
    pub preferred: bool,
    /// Whether it may be given new work.
    pub usability: Usability,
    /// Requests of this instance at it.
    pub own_requests: u32,
    /// Requests of other instances at it, by their last news.
    pub other_requests: u32,
    /// Prompt tokens of this instance's requests that have not answered yet.
    pub own_prefill: u32,
    /// The same of other instances, by their last news.
    pub other_prefill: u32,
    /// Time to the first byte relative to the service's estimate.
    pub latency_ratio: f64,
    /// Longest pauses of its long streams.
    pub pauses: PauseStats,
    /// Share of recent attempts that failed.
    pub failure_rate: f64,
    failures: u32,
    backoff_until: Time,
    /// When it last answered an attempt of this instance.
    last_success: Time,
}

impl Target {
    fn new(listed: ListedTarget, latency_ratio: f64) -> Self {
        Self {
            listed,
            preferred: true,
            usability: Usability::Usable,
            own_requests: 0,
            other_requests: 0,
            own_prefill: 0,
            other_prefill: 0,
            latency_ratio,
            pauses: PauseStats::default(),
            failure_rate: 0.0,
            failures: 0,
            backoff_until: Time::ZERO,
            last_success: Time::ZERO,
        }
    }

    /// Requests of all instances.
    pub fn load(&self) -> u32 {
        self.own_requests + self.other_requests
    }

    /// Prompt tokens that stand before a further request.
    pub fn prefill(&self) -> u32 {
        self.own_prefill.saturating_add(self.other_prefill)
    }

    /// Whether it may be given new work, its failures left aside.
    pub fn is_usable(&self, now: Time) -> bool {
        match self.usability {
            Usability::Usable => true,
            Usability::Suspect(until) => now < until,
            Usability::Retired => false,
        }
    }

    /// Whether recent failures keep it from new work while others are there. After the pause one
    /// request at a time finds out whether it has recovered.
    pub fn is_backing_off(&self, now: Time) -> bool {
        now < self.backoff_until || (self.failures > 0 && self.own_requests > 0)
    }

    /// Whether it failed an attempt of this instance and is not tried again yet.
    pub(crate) fn is_failing(&self, now: Time) -> bool {
        self.failures > 0 && now < self.backoff_until && self.usability == Usability::Usable
    }

    /// Counts an attempt that went well.
    pub fn record_success(&mut self, now: Time) {
        self.failures = 0;
        self.backoff_until = Time::ZERO;
        self.last_success = now;
        self.failure_rate -= FAILURE_WEIGHT * self.failure_rate;
    }

    /// Counts an attempt that a whole answer ended, but a failing one.
    pub fn record_failed_answer(&mut self) {
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
    }

    /// Counts an attempt that ended without an answer.
    pub fn record_failure(&mut self, now: Time) {
        self.record_failed_answer();
        self.backoff_until = now + (MIN_BACKOFF * (1 << self.failures)).min(MAX_BACKOFF);
        self.failures = (self.failures + 1).min(MAX_COUNTED_FAILURES);
    }

    /// Takes in the time to the first byte, relative to the service's estimate.
    pub fn observe_latency(&mut self, ratio: f64) {
        let ratio = ratio.clamp(LATENCY_RATIO_BOUNDS.0, LATENCY_RATIO_BOUNDS.1);
        self.latency_ratio += SAMPLE_WEIGHT * (ratio - self.latency_ratio);
    }
}

/// Longest pauses of long streams at one target.
#[derive(Debug, Clone, Copy, Default)]
pub struct PauseStats {
    millis: f64,
    streams: u32,
}

impl PauseStats {
    /// The average in milliseconds; zero if not known.
    pub fn average_ms(&self) -> u32 {
        self.millis as u32
    }

    /// Streams that the average is of.
    pub fn streams(&self) -> u32 {
        self.streams
    }

    /// The average, if it is known.
    pub fn average(&self) -> Option<f64> {
        (self.streams > 0).then_some(self.millis)
    }

    /// Takes in one stream's longest pause.
    pub(crate) fn observe(&mut self, pause: Duration) {
        self.streams = self.streams.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.streams));
        let millis = (pause.as_secs_f64() * 1_000.0).min(MAX_PAUSE_MS);
        self.millis += weight * (millis - self.millis);
    }

    /// Takes what a peer knows, if that rests on more streams.
    pub(crate) fn merge(&mut self, millis: u32, streams: u32) {
        if streams > self.streams {
            *self = Self { millis: f64::from(millis), streams };
        }
    }
}

/// All targets that were ever listed while this instance runs.
#[derive(Debug, Default)]
pub struct Targets {
    all: Vec<Target>,
    names: HashMap<TargetId, Index>,
}

impl Targets {
    /// The target at `index`.
    pub fn get(&self, index: Index) -> &Target {
        &self.all[index]
    }

    /// The target at `index`, to change.
    pub fn get_mut(&mut self, index: Index) -> &mut Target {
        &mut self.all[index]
    }

    /// Position of the present life of `id`.
    pub fn find(&self, id: &TargetId) -> Option<Index> {
        self.names.get(id).copied()
    }

    /// All targets with their positions.
    pub fn iter(&self) -> impl Iterator<Item = (Index, &Target)> {
        self.all.iter().enumerate()
    }

    /// Takes a change of the list. `doubt` is set if the list was away until just now, and says
    /// until when a removed target is still used. Returns the position of a target that is new.
    pub fn apply(&mut self, change: TargetChange, suspect_until: Option<Time>) -> Option<Index> {
        match change {
            TargetChange::Listed(listed) => self.apply_listing(listed),
            TargetChange::Removed(id) => {
                if let Some(index) = self.find(&id) {
                    let target = &mut self.all[index];
                    target.usability = match (target.usability, suspect_until) {
                        (Usability::Usable, Some(until)) => Usability::Suspect(until),
                        (Usability::Suspect(until), _) => Usability::Suspect(until),
                        _ => Usability::Retired,
                    };
                }
                None
            }
        }
    }

    /// Marks a target as leaving by what a peer or the target itself says.
    pub fn retire(&mut self, id: &TargetId, incarnation: Incarnation) {
        if let Some(index) = self.find(id)
            && self.all[index].listed.incarnation <= incarnation
        {
            self.all[index].usability = Usability::Retired;
        }
    }

    /// Takes a peer's warning that a target has just failed it. What this instance has seen itself a
    /// moment ago counts more.
    pub(crate) fn apply_warning(&mut self, id: &TargetId, now: Time) {
        let Some(index) = self.find(id) else { return };
        let target = &mut self.all[index];
        let is_recent = target.last_success != Time::ZERO
            && now.since(target.last_success) < WARNING_IGNORE_TIME;
        if target.failures == 0 && !is_recent {
            target.backoff_until = target.backoff_until.max(now + WARNING_BACKOFF);
        }
    }

    fn apply_listing(&mut self, listed: ListedTarget) -> Option<Index> {
        if let Some(index) = self.find(&listed.id) {
            let known = &mut self.all[index];
            if known.listed.incarnation > listed.incarnation {
                return None;
            }
            let same = known.listed.incarnation == listed.incarnation
                && known.listed.address == listed.address
                && known.listed.service == listed.service;
            if same {
                let leaving = listed.state == ListedState::Leaving;
                // A life that has begun to leave never takes work again, whatever is listed later.
                let was_leaving = known.listed.state == ListedState::Leaving;
                known.listed = listed;
                known.usability = if leaving || was_leaving {
                    known.listed.state = ListedState::Leaving;
                    Usability::Retired
                } else {
                    Usability::Usable
                };
                return None;
            }
            known.usability = Usability::Retired;
        }
        let latency_ratio = self.initial_latency_ratio(&listed.service);
        let index = self.all.len();
        self.names.insert(listed.id.clone(), index);
        let leaving = listed.state == ListedState::Leaving;
        let mut target = Target::new(listed, latency_ratio);
        if leaving {
            target.usability = Usability::Retired;
        }
        self.all.push(target);
        Some(index)
    }

    /// Lowest pace among the service's targets, so that a new target is tried soon.
    fn initial_latency_ratio(&self, service: &ServiceId) -> f64 {
        let ratios = self.all.iter().filter(|target| target.listed.service == *service);
        ratios.map(|target| target.latency_ratio).fold(1.0, f64::min)
    }
}
