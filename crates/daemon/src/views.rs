//! Views of the control thread's state, for operators and monitoring.

use sesamewind_protocol::evidence::Stage;
use sesamewind_protocol::message::MemberState;
use sesamewind_protocol::operator::{
    InstanceRow, InstancesBody, Outcome, RefusalsBody, RetryRow, RolloutRow, RolloutsBody,
    StatusBody, TargetRow, TargetsBody,
};
use sesamewind_protocol::{WallTime, ZoneId};
use sesamewind_rollout::{RolloutView, ViewState};
use xtra::{Context as ActorContext, Handler};

use crate::control::Control;

/// Requests the state of this instance.
#[derive(Debug)]
pub struct Status;

/// Requests the known instances.
#[derive(Debug)]
pub struct Instances;

/// Requests the targets.
#[derive(Debug)]
pub struct Targets;

/// Requests the rollouts.
#[derive(Debug)]
pub struct Rollouts;

/// Requests the counts of refusals and retries.
#[derive(Debug)]
pub struct Refusals;

impl Handler<Status> for Control {
    type Return = StatusBody;

    async fn handle(&mut self, _: Status, _: &mut ActorContext<Self>) -> StatusBody {
        let context = self.context();
        let why = self.unready_reason();
        let queues = self.node().queues(context.clock.now());
        let count = |counts: &std::collections::BTreeMap<u8, usize>| counts.values().sum::<usize>();
        StatusBody {
            instance: context.settings.instance.name.clone(),
            zone: context.settings.instance.zone.clone(),
            ready: why.is_empty(),
            why: why.to_owned(),
            revision: self.node().in_force().revision.0,
            queued: queues.iter().map(|queue| count(&queue.waiting) as u64).sum(),
            in_flight: queues.iter().map(|queue| count(&queue.running) as u64).sum(),
        }
    }
}

impl Handler<Instances> for Control {
    type Return = InstancesBody;

    async fn handle(&mut self, _: Instances, _: &mut ActorContext<Self>) -> InstancesBody {
        let context = self.context();
        let now = context.clock.now();
        let own = &context.settings.instance;
        let mut instances = vec![InstanceRow {
            name: own.name.clone(),
            zone: own.zone.clone(),
            state: state_name(if context.is_stopping() {
                MemberState::Leaving
            } else {
                MemberState::Live
            }),
            revision: self.node().in_force().revision.0,
        }];
        for peer in self.node().members().all_known(now) {
            let revision = self.node().revision_at(&peer.instance);
            instances.push(InstanceRow {
                name: peer.instance,
                zone: peer.zone,
                state: state_name(peer.state),
                revision: revision.0,
            });
        }
        InstancesBody { instances }
    }
}

impl Handler<Targets> for Control {
    type Return = TargetsBody;

    async fn handle(&mut self, _: Targets, _: &mut ActorContext<Self>) -> TargetsBody {
        let installed = self.context().configuration();
        let zone_of = |name: &sesamewind_protocol::TargetId| {
            let rows = installed.as_ref().map(|installed| &installed.sheet.targets);
            let row = rows.and_then(|rows| rows.iter().find(|row| row.name == *name));
            row.map_or_else(|| ZoneId::new(""), |row| row.zone.clone())
        };
        let row = |view: sesamewind_policy::TargetView| TargetRow {
            zone: zone_of(&view.target),
            state: target_state(&view).to_owned(),
            name: view.target,
            service: view.service,
            versions: view.versions,
            requests: view.estimated.round() as u64,
            tokens: view.tokens,
            prefill_tokens_per_s: view.prefill_speed,
            decode_tokens_per_s: view.decode_speed,
        };
        TargetsBody { targets: self.node().targets().into_iter().map(row).collect() }
    }
}

impl Handler<Rollouts> for Control {
    type Return = RolloutsBody;

    async fn handle(&mut self, _: Rollouts, _: &mut ActorContext<Self>) -> RolloutsBody {
        let views = self.node().rollouts(self.context().clock.wall());
        RolloutsBody { rollouts: views.into_iter().map(rollout_row).collect() }
    }
}

impl Handler<Refusals> for Control {
    type Return = RefusalsBody;

    async fn handle(&mut self, _: Refusals, _: &mut ActorContext<Self>) -> RefusalsBody {
        let mut body = self.context().metrics.refusals();
        let retries = &self.node().counters().retries;
        body.retries = retries
            .iter()
            .map(|(reason, count)| RetryRow { reason: reason.as_str().to_owned(), count: *count })
            .collect();
        body
    }
}

fn state_name(state: MemberState) -> String {
    let name = match state {
        MemberState::Live => "live",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Removed => "removed",
    };
    name.to_owned()
}

fn target_state(view: &sesamewind_policy::TargetView) -> &'static str {
    if view.leaving {
        "leaving"
    } else if view.suspect {
        "suspect"
    } else if view.usable {
        "live"
    } else {
        "unusable"
    }
}

fn rollout_row(view: RolloutView) -> RolloutRow {
    let reason = match &view.state {
        ViewState::RolledBack { .. } => view.state.to_string(),
        ViewState::Running { .. } | ViewState::Completed { .. } => String::new(),
    };
    let (state, waits_for, outcome, at) = match view.state {
        ViewState::Running { stage, waits } => (stage_name(stage), waits, None, WallTime(0)),
        ViewState::Completed { at } => {
            ("completed".to_owned(), String::new(), Some(Outcome::Completed), at)
        }
        ViewState::RolledBack { at, .. } => {
            ("rolled-back".to_owned(), String::new(), Some(Outcome::RolledBack), at)
        }
    };
    RolloutRow {
        id: view.id,
        service: view.service,
        from: view.from,
        to: view.to,
        state,
        waits_for,
        share: view.share,
        outcome,
        reason,
        at,
    }
}

fn stage_name(stage: Stage) -> String {
    match stage {
        Stage::Loading => "loading".to_owned(),
        Stage::Step(step) => format!("step-{}", step + 1),
        Stage::Full(_) => "full".to_owned(),
        Stage::Recheck(_) => "recheck".to_owned(),
    }
}
