//! Shared test support: configurations, requests, a fixed version.
#![allow(dead_code, unreachable_pub, reason = "each test program uses a part")]

pub mod bus;
pub mod fleet;
pub mod setup;
pub mod setups;
pub mod traces;

use std::time::Duration;

use sesamewind_policy::{
    Account, AccountLimits, Action, Arrival, Config, Event, InstanceIncarnation, Kind, Limits,
    Refusal, Scheduler, Service, Target, Tier, VersionChooser,
};
use sesamewind_protocol::{
    Incarnation, RequestKey, RouteId, ServiceId, TargetId, Time, VersionId, WallTime, ZoneId,
};

pub const URGENT: u8 = 0;
pub const LOW: u8 = 2;
pub const EPOCH: u64 = 1_800_000_000_000;

/// Always chooses the same version.
pub struct OneVersion;

impl VersionChooser for OneVersion {
    fn choose(&self, _: &ServiceId, _: &RouteId, _: &RequestKey, _: WallTime) -> VersionId {
        VersionId::from("v1")
    }
}

pub fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

pub fn wall(now: Time) -> WallTime {
    WallTime(EPOCH + now.as_micros() / 1_000)
}

pub fn instance(name: &str, incarnation: u64) -> InstanceIncarnation {
    InstanceIncarnation { instance: name.into(), incarnation: Incarnation(incarnation) }
}

/// Returns a model service `chat` with `targets` engines and a plain service `book` with one
/// target.
pub fn config(targets: usize) -> Config {
    let tier = |name: &str, rank, first, total| Tier {
        name: name.to_owned(),
        rank,
        first_token: Duration::from_millis(first),
        total: Duration::from_millis(total),
    };
    let mut all: Vec<Target> =
        (0..targets).map(|i| target(&format!("engine-{i}"), "chat")).collect();
    all.push(target("desk-0", "book"));
    Config {
        tiers: vec![
            tier("reply", URGENT, 1_000, 10_000),
            tier("quote", 1, 5_000, 30_000),
            tier("tag", LOW, 60_000, 120_000),
        ],
        accounts: vec![account("a", None)],
        services: vec![
            Service { id: "chat".into(), kind: Kind::Model },
            Service { id: "book".into(), kind: Kind::Plain },
        ],
        targets: all,
        limits: Limits::default(),
    }
}

pub fn target(id: &str, service: &str) -> Target {
    Target { id: id.into(), service: service.into(), zone: ZoneId::from("z") }
}

pub fn account(id: &str, tokens_per_s: Option<f64>) -> Account {
    let limits = AccountLimits { requests_per_s: None, tokens_per_s };
    Account { id: id.into(), limits }
}

/// Returns a keyed first attempt of a short urgent request.
pub fn arrival(ticket: u64, key: u64, now: Time) -> Arrival {
    Arrival {
        ticket,
        key: RequestKey(key, key),
        attempt: Some(0),
        has_key: true,
        body_hash: key + 1,
        account: "a".into(),
        rank: URGENT,
        service: "chat".into(),
        route: "chat".into(),
        prompt_tokens: 100,
        output_tokens: 50,
        prefix: None,
        deadline: now + Duration::from_secs(10),
        first_token_by: now + Duration::from_secs(5),
        idempotent: true,
    }
}

/// Returns a scheduler whose targets all have the version loaded.
pub fn scheduler(config: &Config, me: InstanceIncarnation) -> Scheduler {
    let mut scheduler = Scheduler::new(config, me, 7);
    for target in &config.targets {
        step(
            &mut scheduler,
            Event::TargetAssumed { target: &target.id, versions: &[VersionId::from("v1")] },
            Time::ZERO,
        );
    }
    scheduler
}

pub fn step(scheduler: &mut Scheduler, event: Event<'_>, now: Time) -> Vec<Action> {
    scheduler.handle(event, &OneVersion, now, wall(now))
}

pub fn tick(scheduler: &mut Scheduler, now: Time) -> Vec<Action> {
    scheduler.tick(&OneVersion, now, wall(now))
}

/// Returns the dispatched tickets and their targets.
pub fn dispatched(actions: &[Action]) -> Vec<(u64, TargetId)> {
    let pick = |action: &Action| match action {
        Action::Dispatch { ticket, target, .. } => Some((*ticket, target.clone())),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

/// Returns the final answers among the actions.
pub fn refusals(actions: &[Action]) -> Vec<Refusal> {
    let pick = |action: &Action| match action {
        Action::Refuse(refusal) | Action::Cancel { refusal, .. } => Some(refusal.clone()),
        Action::NoGo { refusal, .. } => refusal.clone(),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}
