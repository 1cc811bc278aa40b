//! One run of one case: sends simulated requests through the whole crate until the outcome.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sesamewind_protocol::evidence::{Outcome as Recorded, Stage};
use sesamewind_protocol::record::InstanceIncarnation;
use sesamewind_protocol::{
    AccountId, Incarnation, InstanceId, RequestKey, Revision, RolloutId, RouteId, ServiceId,
    TargetId, Time, VersionId, WallTime,
};
use sesamewind_rollout::rule::Rule;
use sesamewind_rollout::{
    Action, ClusterState, EndState, LeaseGrant, Observation, OrderKind, OrderResult, ReadResult,
    RolloutEvent, RolloutSpec, Rollouts, WriteResult,
};

use crate::cases::{Case, User};
use crate::traffic::{ENGINES, ROUTES, Request, Traffic};

const START_MS: u64 = 1_800_000_000_000;
const FIRST_SHARE: f64 = 0.05;

/// The result of a run.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Outcome {
    /// The rollout was rolled back by a verdict.
    pub(crate) judged: bool,
    /// Full share was reached before the verdict or the end of the run.
    pub(crate) full: bool,
    /// The rollout was completed in time.
    pub(crate) completed: bool,
    /// Requests of the new version that ended after the first effect of its fault and before the
    /// verdict.
    pub(crate) exposed: u64,
}

struct Engines(BTreeMap<TargetId, BTreeSet<VersionId>>);

impl ClusterState for Engines {
    fn versions(&self, target: &TargetId) -> Option<Vec<VersionId>> {
        Some(self.0.get(target)?.iter().cloned().collect())
    }

    fn peers(&self) -> Vec<InstanceIncarnation> {
        Vec::new()
    }

    fn in_flight(&self, _service: &ServiceId, _version: &VersionId) -> u32 {
        0
    }
}

/// A request in flight.
struct InFlight {
    sent: u64,
    version: VersionId,
    request: Request,
}

struct Run {
    rollouts: Rollouts,
    engines: Engines,
    traffic: Traffic,
    service: ServiceId,
    routes: Vec<RouteId>,
    in_flight: BTreeMap<(u64, u64), InFlight>,
    revision: u64,
    first_minute: Option<f64>,
    outcome: Outcome,
    ended: bool,
}

/// Runs `case` with `rule` and the given seed.
pub(crate) fn run(
    case: &Case,
    user: &User,
    rule: Box<dyn Rule + Send + Sync>,
    seed: u64,
) -> Outcome {
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let service = ServiceId::from("assistant");
    let minutes = user.hours * 60.0;
    let targets: Vec<TargetId> =
        (0..ENGINES).map(|number| TargetId::new(format!("engine-{number}"))).collect();
    let spec = RolloutSpec {
        id: RolloutId::new(format!("move-{seed}")),
        service: service.clone(),
        from: VersionId::from("v1"),
        to: VersionId::from("v2"),
        deadline: WallTime(START_MS + (minutes * 60_000.0) as u64),
        first_share: FIRST_SHARE,
        targets: targets.clone(),
    };
    let mut rollouts = Rollouts::with_rule(InstanceId::from("entry"), Incarnation(START_MS), rule);
    rollouts.configure(&[spec], Revision(1), WallTime(START_MS));
    let old = BTreeSet::from([VersionId::from("v1")]);
    let mut run = Run {
        rollouts,
        engines: Engines(targets.into_iter().map(|target| (target, old.clone())).collect()),
        traffic: Traffic::new(*case, user, rng),
        service,
        routes: ROUTES.iter().map(|route| RouteId::from(route.0)).collect(),
        in_flight: BTreeMap::new(),
        revision: 0,
        first_minute: None,
        outcome: Outcome::default(),
        ended: false,
    };
    let mut minute = run.traffic.gap(0.0);
    let mut number = 0;
    let mut ms = 0;
    while !run.ended && ms < ((minutes + 2.0) * 60_000.0) as u64 {
        let until = ms + user.tick_s * 1000;
        while minute * 60_000.0 < until as f64 {
            run.end_requests((minute * 60_000.0) as u64);
            run.dispatch(minute, seed, number);
            number += 1;
            minute += run.traffic.gap(minute);
        }
        run.end_requests(until);
        ms = until;
        run.tick(ms);
    }
    run.outcome
}

impl Run {
    fn dispatch(&mut self, minute: f64, seed: u64, number: u64) {
        let ms = (minute * 60_000.0) as u64;
        let key = RequestKey::derive(&AccountId::new(seed.to_string()), &number.to_string());
        let mut request = self.traffic.request(minute);
        let route = &self.routes[request.route];
        let chosen = self.rollouts.version_for(&self.service, route, &key, WallTime(START_MS + ms));
        let Some(version) = chosen else { return };
        if version.as_str() == "v2" {
            let first_minute = *self.first_minute.get_or_insert(minute);
            request = self.traffic.on_new_version(request, minute, minute - first_minute);
        }
        let in_flight = InFlight { sent: ms, version, request };
        self.in_flight.insert((ms + request.millis as u64, number), in_flight);
    }

    fn end_requests(&mut self, until: u64) {
        while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= until)
        {
            let ((ms, _), InFlight { sent, version, request }) = entry.remove_entry();
            let judged = !self.rollouts.verdicts().is_empty();
            let exposed = !judged && version.as_str() == "v2" && self.traffic.has_shown_fault();
            self.outcome.exposed += u64::from(exposed);
            self.rollouts.observe(Observation {
                service: &self.service,
                version: &version,
                route: &self.routes[request.route],
                prompt_tokens: request.prompt_tokens,
                outcome: if request.fails { EndState::Failed } else { EndState::Ok },
                duration: Duration::from_millis(request.millis as u64),
                sent: WallTime(START_MS + sent),
                wall: WallTime(START_MS + ms),
            });
        }
    }

    fn tick(&mut self, ms: u64) {
        let now = Time::from_millis(ms);
        let lease = LeaseGrant { fence: 1, valid_until: now + Duration::from_secs(60) };
        let actions = self.rollouts.tick(now, WallTime(START_MS + ms), Some(lease), &self.engines);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::ReadRecords => self.rollouts.on_read(ReadResult::Rows(Vec::new())),
            Action::WriteRecord { rollout, .. } => {
                self.revision += 1;
                self.rollouts.on_write(&rollout, WriteResult::Stored(self.revision));
            }
            Action::Order { target, order, version, .. } => {
                if let Some(versions) = self.engines.0.get_mut(&target) {
                    match order {
                        OrderKind::Load => versions.insert(version),
                        OrderKind::Unload => versions.remove(&version),
                    };
                }
                self.rollouts.on_order(&target, OrderResult::Done);
            }
            Action::Event(event) => self.on_event(&event),
        }
    }

    fn on_event(&mut self, event: &RolloutEvent) {
        match event {
            RolloutEvent::Staged { stage: Stage::Full(_), .. } => self.outcome.full = true,
            RolloutEvent::Staged { .. } => {}
            RolloutEvent::Judged(_) => self.outcome.judged = true,
            RolloutEvent::Ended { outcome, .. } => {
                self.outcome.completed = matches!(outcome, Recorded::Completed { .. });
                self.ended = true;
            }
        }
    }
}
