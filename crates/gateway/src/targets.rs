//! Known state of targets: listing, load, latency and health.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use sesamewind_protocol::{Incarnation, ServiceId, TargetId, Time, VersionId, ZoneId};

use crate::limits::RequestLimit;
use crate::limits::brittle::Room;
use crate::limits::cold::Cold;
use crate::rollouts::VersionSlots;

/// Position of a target in [`Targets`]; never reused for another target.
pub type Index = usize;

/// Backoff of a target after its first failed attempt; doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(250);

/// Maximum backoff, so that a recovered target is found soon.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Backoff of a target after a peer's warning. Peers of a group repeat their warnings several times
/// within it.
const WARNING_BACKOFF: Duration = Duration::from_millis(250);

/// Time after a success in which peers' warnings about the target are ignored, since the failure
/// may lie in the network between the peer and the target.
const WARNING_IGNORE_TIME: Duration = Duration::from_millis(100);

/// Time for which an instance tells its peers that a target is leaving after it has learned that.
/// It exceeds the interval between exchanges in deployments with hundreds of instances.
const LEAVING_REPORT_TIME: Duration = Duration::from_secs(8);

/// Maximum number of consecutive failures that increase the backoff.
const MAX_COUNTED_FAILURES: u32 = 5;

/// Weight of the newest attempt in the failure rate; about the last ten attempts count.
const FAILURE_WEIGHT: f64 = 0.1;

/// Weight of the newest sample in a target's latency ratio and average pause.
const SAMPLE_WEIGHT: f64 = 0.25;

/// Upper limit on a counted pause, in milliseconds, so that a single outlier doesn't exclude a
/// target.
const MAX_PAUSE_MS: f64 = 1_000.0;

/// Bounds on a target's latency ratio, so that a single outlier doesn't exclude a target.
const LATENCY_RATIO_BOUNDS: (f64, f64) = (0.1, 20.0);

/// State that a target announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// Accepts requests.
    Ready,
    /// Finishes its current requests and then stops.
    Leaving,
}

/// A target as described by the target list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedTarget {
    /// Name.
    pub id: TargetId,
    /// Incarnation of the target; a later incarnation under the same name is a new target.
    pub incarnation: Incarnation,
    /// Service.
    pub service: ServiceId,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Version of its software.
    pub version: VersionId,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Announced state.
    pub state: ListedState,
    /// For how long it stays cold from when the entry was written.
    pub cold: Duration,
}

/// A change of the target list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetChange {
    /// The target is listed with this description.
    Listed(ListedTarget),
    /// The target is no longer listed, or its entry is unreadable.
    Removed(TargetId),
}

/// Whether a target may receive new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Usability {
    /// The target may receive requests.
    Usable,
    /// The target was removed from the list soon after a list outage; it may receive requests until
    /// this time.
    Suspect(Time),
    /// The target is leaving or gone.
    Retired,
}

/// State of one incarnation of a target.
#[derive(Debug, Clone)]
pub struct Target {
    /// Last listed description.
    pub listed: ListedTarget,
    /// Whether this instance prefers the target to equally good ones.
    pub preferred: bool,
    /// Whether the target may receive new requests.
    pub usability: Usability,
    /// Whether operators have evacuated its availability zone.
    pub(crate) evacuated: bool,
    /// Requests of this instance at the target.
    pub own_requests: u32,
    /// Requests among `own_requests` whose attempts make no progress.
    pub(crate) silent_requests: u32,
    /// Requests of other instances at the target, as last reported.
    pub other_requests: u32,
    /// Prompt tokens of this instance's requests that have not received a first byte yet.
    pub own_prefill: u32,
    /// Prompt tokens of other instances' requests in the same state, as last reported.
    pub other_prefill: u32,
    /// Time to the first byte, relative to the estimate.
    pub latency_ratio: f64,
    /// Longest pauses of the target's long streams.
    pub pauses: PauseStats,
    /// Moving average of failed attempts, from 0 to 1.
    pub failure_rate: f64,
    failures: u32,
    backoff_until: Time,
    /// Until when the target wants no requests from this instance.
    rest_until: Time,
    /// Request limit that the target has stated, if it ever did.
    pub(crate) limit: Option<RequestLimit>,
    pub(crate) cold: Cold,
    /// Places of this instance while the target is brittle.
    pub(crate) room: Option<Room>,
    /// Until when peers are told that the target is leaving.
    report_leaving_until: Time,
    /// When an attempt of this instance last succeeded.
    last_success: Time,
}

impl Target {
    fn new(listed: ListedTarget, latency_ratio: f64) -> Self {
        Self {
            listed,
            preferred: true,
            usability: Usability::Usable,
            evacuated: false,
            own_requests: 0,
            silent_requests: 0,
            other_requests: 0,
            own_prefill: 0,
            other_prefill: 0,
            latency_ratio,
            pauses: PauseStats::default(),
            failure_rate: 0.0,
            failures: 0,
            backoff_until: Time::ZERO,
            rest_until: Time::ZERO,
            limit: None,
            cold: Cold::default(),
            room: None,
            report_leaving_until: Time::ZERO,
            last_success: Time::ZERO,
        }
    }

    /// Returns the number of requests of all instances at the target.
    pub fn load(&self) -> u32 {
        self.own_requests + self.other_requests
    }

    /// Returns the prompt tokens ahead of a further request.
    pub fn prefill(&self) -> u32 {
        self.own_prefill.saturating_add(self.other_prefill)
    }

    /// Returns whether the target may receive new requests, regardless of failures.
    pub fn is_usable(&self, now: Time) -> bool {
        let is_listed = match self.usability {
            Usability::Usable => true,
            Usability::Suspect(until) => now < until,
            Usability::Retired => false,
        };
        is_listed && !self.evacuated
    }

    /// Returns for how long the target wants no more requests from this instance; zero if it takes
    /// them.
    pub fn rest_left(&self, now: Time) -> Duration {
        self.rest_until.since(now)
    }

    /// Returns whether the target may still be listed.
    pub(crate) fn is_listed(&self) -> bool {
        self.usability != Usability::Retired
    }

    /// Returns whether the target has stated a request limit that holds.
    pub(crate) fn has_limit(&self) -> bool {
        self.limit.as_ref().is_some_and(|limit| limit.rate().is_some())
    }

    /// Returns what the target takes from all instances together, if that is bounded: requests a
    /// second, this instance's share, and since when that is known.
    pub(crate) fn bound(&self) -> Option<(f64, f64, Time)> {
        let limit = self.limit.as_ref().and_then(RequestLimit::bound);
        let bounds = limit.into_iter().chain(self.cold.bound());
        bounds.min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Returns for how long this instance sends the target no requests, since the target wants none
    /// or its request limit leaves none.
    pub(crate) fn pause_left(&self, now: Time) -> Duration {
        self.rest_left(now).max(self.turn_wait(now))
    }

    /// Returns the time until the target's request limit allows a request of this instance.
    pub(crate) fn turn_wait(&self, now: Time) -> Duration {
        let limit = self.limit.as_ref().map_or(Duration::ZERO, |limit| limit.wait(now));
        limit.max(self.cold.wait(now))
    }

    /// Counts a request that this instance sends.
    pub(crate) fn record_send(&mut self, now: Time) {
        if let Some(limit) = &mut self.limit {
            limit.record_send(now);
        }
        self.cold.record_send(now);
    }

    /// Returns whether the target takes requests of this instance, regardless of failures.
    pub fn is_willing(&self, now: Time) -> bool {
        self.is_usable(now) && self.pause_left(now).is_zero()
    }

    /// Records that the target wants no requests from this instance for `rest`.
    pub(crate) fn record_rest(&mut self, rest: Duration, now: Time) {
        self.rest_until = self.rest_until.max(now + rest);
    }

    /// Records that this incarnation of the target is leaving. It never takes requests again, even
    /// if it is listed as ready.
    pub(crate) fn record_leaving(&mut self, now: Time) {
        if self.listed.state != ListedState::Leaving {
            self.report_leaving_until = now + LEAVING_REPORT_TIME;
        }
        self.listed.state = ListedState::Leaving;
        self.usability = Usability::Retired;
    }

    /// Returns whether peers should be told that the target is leaving: while requests are there,
    /// and for some time after this instance has learned it.
    pub(crate) fn should_report_leaving(&self, now: Time) -> bool {
        self.listed.state == ListedState::Leaving
            && (self.load() > 0 || now < self.report_leaving_until)
    }

    /// Returns whether recent failures exclude the target while others are usable. After the
    /// backoff, one request at a time probes whether the target has recovered.
    pub fn is_backing_off(&self, now: Time) -> bool {
        now < self.backoff_until || (self.failures > 0 && self.own_requests > self.silent_requests)
    }

    /// Returns whether an attempt of this instance has succeeded since `time`.
    pub(crate) fn has_succeeded_since(&self, time: Time) -> bool {
        self.last_success > time
    }

    /// Returns whether the latest attempts of this instance give no reason to doubt the target.
    pub(crate) fn is_sound(&self, now: Time) -> bool {
        self.failures == 0 && !self.is_backing_off(now)
    }

    /// Returns whether an attempt of this instance failed at the target and its backoff has not
    /// ended.
    pub(crate) fn is_failing(&self, now: Time) -> bool {
        self.failures > 0 && now < self.backoff_until && self.usability == Usability::Usable
    }

    /// Returns the number of consecutive failures, up to [`MAX_COUNTED_FAILURES`].
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a successful attempt.
    pub fn record_success(&mut self, now: Time) {
        self.failures = 0;
        self.backoff_until = Time::ZERO;
        self.last_success = now;
        self.failure_rate -= FAILURE_WEIGHT * self.failure_rate;
    }

    /// Records an attempt that ended with a complete failure response.
    pub fn record_failed_answer(&mut self) {
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
    }

    /// Records an attempt that ended without a usable response.
    pub fn record_failure(&mut self, now: Time) {
        self.record_failed_answer();
        self.backoff_until = now + (MIN_BACKOFF * (1 << self.failures)).min(MAX_BACKOFF);
        self.failures = (self.failures + 1).min(MAX_COUNTED_FAILURES);
    }

    /// Records that an attempt at the target makes no progress.
    pub(crate) fn record_silence(&mut self, now: Time) {
        self.silent_requests += 1;
        self.record_failure(now);
    }

    /// Records that a silent attempt makes progress again.
    pub(crate) fn record_progress(&mut self) {
        self.silent_requests = self.silent_requests.saturating_sub(1);
        self.failures = 0;
        self.backoff_until = Time::ZERO;
    }

    /// Updates the latency ratio with an observed one: the time to the first byte relative to the
    /// estimate.
    pub fn observe_latency(&mut self, ratio: f64) {
        let ratio = ratio.clamp(LATENCY_RATIO_BOUNDS.0, LATENCY_RATIO_BOUNDS.1);
        self.latency_ratio += SAMPLE_WEIGHT * (ratio - self.latency_ratio);
    }
}

/// Statistics of the longest pauses in the long streams of one target.
#[derive(Debug, Clone, Copy, Default)]
pub struct PauseStats {
    millis: f64,
    streams: u32,
}

impl PauseStats {
    /// Returns the average pause in milliseconds; zero if unknown.
    pub fn average_ms(&self) -> u32 {
        self.millis as u32
    }

    /// Returns the number of streams in the average.
    pub fn streams(&self) -> u32 {
        self.streams
    }

    /// Returns the average pause in milliseconds, if known.
    pub fn average(&self) -> Option<f64> {
        (self.streams > 0).then_some(self.millis)
    }

    /// Adds one stream's longest pause.
    pub(crate) fn observe(&mut self, pause: Duration) {
        self.streams = self.streams.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.streams));
        let millis = (pause.as_secs_f64() * 1_000.0).min(MAX_PAUSE_MS);
        self.millis += weight * (millis - self.millis);
    }

    /// Adopts a peer's average if it includes more streams.
    pub(crate) fn merge(&mut self, millis: u32, streams: u32) {
        if streams > self.streams {
            *self = Self { millis: f64::from(millis), streams };
        }
    }
}

/// All targets that were listed since this instance started.
#[derive(Debug, Clone, Default)]
pub struct Targets {
    all: Vec<Target>,
    names: HashMap<TargetId, Index>,
}

impl Targets {
    /// Returns the target at `index`.
    pub fn get(&self, index: Index) -> &Target {
        &self.all[index]
    }

    /// Returns the target at `index` for modification.
    pub fn get_mut(&mut self, index: Index) -> &mut Target {
        &mut self.all[index]
    }

    /// Returns the position of the current incarnation of `id`.
    pub fn find(&self, id: &TargetId) -> Option<Index> {
        self.names.get(id).copied()
    }

    /// Returns all targets with their positions.
    pub fn iter(&self) -> impl Iterator<Item = (Index, &Target)> {
        self.all.iter().enumerate()
    }

    /// Returns the slots of the usable targets of `version`, and of the other usable targets in
    /// `indexes`.
    pub(crate) fn rollout_slots(
        &self,
        indexes: &[Index],
        version: &VersionId,
        now: Time,
    ) -> VersionSlots {
        let mut slots = VersionSlots::default();
        for target in indexes.iter().map(|&index| &self.all[index]) {
            if target.is_usable(now) {
                let is_new = target.listed.version == *version;
                let sum = if is_new { &mut slots.new } else { &mut slots.others };
                *sum += target.listed.slots;
            }
        }
        slots
    }

    /// Returns the slots of the targets in `indexes` by version.
    pub(crate) fn version_slots(&self, indexes: &[Index]) -> BTreeMap<&VersionId, u32> {
        let mut slots = BTreeMap::new();
        for listed in indexes.iter().map(|&index| &self.all[index].listed) {
            *slots.entry(&listed.version).or_default() += listed.slots;
        }
        slots
    }

    /// Marks the targets in availability zones that are evacuated according to `is_evacuated`.
    pub(crate) fn mark_evacuated(&mut self, is_evacuated: impl Fn(&ZoneId) -> bool) {
        for target in &mut self.all {
            target.evacuated = is_evacuated(&target.listed.zone);
        }
    }

    /// Returns the number of requests of this instance at targets of an availability zone.
    pub(crate) fn requests_in(&self, zone: &ZoneId) -> u32 {
        let inside = self.all.iter().filter(|target| target.listed.zone == *zone);
        inside.map(|target| target.own_requests).sum()
    }

    /// Returns whether this incarnation of a target is known to be leaving or gone.
    pub(crate) fn is_retired(&self, listed: &ListedTarget) -> bool {
        self.find(&listed.id).map(|index| &self.all[index]).is_some_and(|known| {
            known.listed.incarnation >= listed.incarnation && known.usability == Usability::Retired
        })
    }

    /// Applies a change of the target list. `suspect_until` is set soon after a list outage; a
    /// target that is removed then stays usable until that time. Returns the position of a
    /// target that is new, or that is usable again after it was gone.
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

    /// Marks a target as leaving, as reported by a peer.
    pub fn retire(&mut self, id: &TargetId, incarnation: Incarnation, now: Time) {
        if let Some(index) = self.find(id)
            && self.all[index].listed.incarnation <= incarnation
        {
            self.all[index].record_leaving(now);
        }
    }

    /// Returns the shortest time for which the usable targets in `indexes` get no requests of this
    /// instance; none unless all of them get none.
    pub(crate) fn shortest_pause(&self, indexes: &[Index], now: Time) -> Option<Duration> {
        let usable = indexes.iter().map(|&index| &self.all[index]);
        let pauses =
            usable.filter(|target| target.is_usable(now)).map(|target| target.pause_left(now));
        pauses.min().filter(|pause| !pause.is_zero())
    }

    /// Applies a peer's warning that an attempt at the target has failed. This instance's own
    /// recent attempts take precedence.
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
                // An incarnation that has started to leave never accepts requests again, even if it
                // is listed as ready later.
                let was_leaving = known.listed.state == ListedState::Leaving;
                let was_retired = known.usability == Usability::Retired;
                known.listed = listed;
                known.usability = if leaving || was_leaving {
                    known.listed.state = ListedState::Leaving;
                    Usability::Retired
                } else {
                    Usability::Usable
                };
                let is_back = was_retired && known.usability == Usability::Usable;
                return is_back.then_some(index);
            }
            known.usability = Usability::Retired;
        }
        // The same incarnation may be listed at another address.
        let known = self.find(&listed.id).map(|known| &self.all[known]);
        let next = known.map(|known| known.cold.next_incarnation()).unwrap_or_default();
        let known = known.filter(|known| known.listed.incarnation == listed.incarnation);
        let was_leaving = known.is_some_and(|known| known.listed.state == ListedState::Leaving);
        let limit = known.and_then(|known| known.limit.clone());
        let cold = known.map(|known| known.cold.clone()).unwrap_or(next);
        let latency_ratio = self.initial_latency_ratio(&listed.service);
        let index = self.all.len();
        self.names.insert(listed.id.clone(), index);
        let leaving = was_leaving || listed.state == ListedState::Leaving;
        let mut target = Target { limit, cold, ..Target::new(listed, latency_ratio) };
        if leaving {
            target.listed.state = ListedState::Leaving;
            target.usability = Usability::Retired;
        }
        self.all.push(target);
        Some(index)
    }

    /// Returns the lowest latency ratio among the service's targets, at most 1, so that a new
    /// target is tried soon.
    fn initial_latency_ratio(&self, service: &ServiceId) -> f64 {
        let ratios = self.all.iter().filter(|target| target.listed.service == *service);
        ratios.map(|target| target.latency_ratio).fold(1.0, f64::min)
    }
}
