//! The view of rollouts that is shown to operators.

use std::fmt;

use serde::Serialize;

use sesamewind_protocol::evidence::{Arm, Counts, Outcome, Reason, Stage, VerdictEntry};
use sesamewind_protocol::{RolloutId, RouteId, ServiceId, TargetId, VersionId, WallTime};

use crate::entry::Entry;
use crate::plan::MIN_JUDGED_REQUESTS;
use crate::rollouts::Rollouts;
use crate::spec::RolloutSpec;

/// A rollout as shown to operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RolloutView {
    /// The rollout.
    pub id: RolloutId,
    /// The service.
    pub service: ServiceId,
    /// The old version.
    pub from: VersionId,
    /// The new version.
    pub to: VersionId,
    /// The deadline.
    pub deadline: WallTime,
    /// Share of requests that this instance sends to the new version.
    pub share: f64,
    /// Ended requests of the new version, over all instances.
    pub requests: u64,
    /// The state.
    pub state: ViewState,
    /// The verdict known to this instance, whether recorded or not. A completed rollout has one if
    /// an instance that was cut off judged the new version bad before it learned of the completion.
    pub verdict: Option<VerdictEntry>,
}

/// State of a rollout as shown to operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ViewState {
    /// The rollout has not ended.
    Running {
        /// The stage.
        stage: Stage,
        /// What the rollout is waiting for.
        waits: String,
    },
    /// The new version took over in time.
    Completed {
        /// When the completion was recorded.
        at: WallTime,
    },
    /// The rollout was rolled back to the old version.
    RolledBack {
        /// The reason of the rollback.
        reason: Reason,
        /// The route that caused the rollback, if it was a single route.
        route: Option<RouteId>,
        /// The counts that the rollback is based on.
        counts: Counts,
        /// When the rollback was recorded.
        at: WallTime,
    },
}

impl fmt::Display for ViewState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Running { stage, waits } => write!(f, "{}: {waits}", stage_name(*stage)),
            Self::Completed { at } => write!(f, "completed at {}", at.0),
            Self::RolledBack { reason, route, counts, at } => {
                write!(f, "rolled back at {}: {reason}", at.0)?;
                if let Some(route) = route {
                    write!(f, " on route {route}")?;
                }
                let Counts { old_requests, old_bad, new_requests, new_bad } = counts;
                write!(f, ", new {new_bad} of {new_requests}, old {old_bad} of {old_requests}")
            }
        }
    }
}

fn stage_name(stage: Stage) -> String {
    match stage {
        Stage::Loading => "loading".to_owned(),
        Stage::Step(step) => format!("step {}", step + 1),
        Stage::Full(_) => "full share".to_owned(),
        Stage::Recheck(_) => "recheck".to_owned(),
    }
}

impl Rollouts {
    /// Returns all rollouts of the accepted sheet as shown to operators.
    pub fn view(&self, wall: WallTime) -> Vec<RolloutView> {
        let views = self.entries.iter().filter_map(|(id, entry)| {
            let spec = entry.spec.as_ref()?;
            let requests = self.evidence.requests(id, Arm::New);
            Some(RolloutView {
                id: id.clone(),
                service: spec.service.clone(),
                from: spec.from.clone(),
                to: spec.to.clone(),
                deadline: spec.deadline,
                share: entry.share(wall),
                requests,
                state: self.state(id, entry, spec, requests, wall),
                verdict: entry.verdict.clone(),
            })
        });
        views.collect()
    }

    fn state(
        &self,
        id: &RolloutId,
        entry: &Entry,
        spec: &RolloutSpec,
        requests: u64,
        wall: WallTime,
    ) -> ViewState {
        match entry.outcome().filter(|_| entry.matches_spec()) {
            Some(Outcome::Completed { at }) => ViewState::Completed { at: *at },
            Some(Outcome::RolledBack { reason, route, counts, at }) => ViewState::RolledBack {
                reason: *reason,
                route: route.clone(),
                counts: *counts,
                at: *at,
            },
            None => {
                let active = self.active(&spec.service).map(|(active, _)| active);
                let waits = match active.filter(|active| *active != id) {
                    Some(other) => format!("rollout {other} of the same service goes first"),
                    None => describe_wait(entry, spec, requests, wall),
                };
                ViewState::Running { stage: entry.stage(), waits }
            }
        }
    }
}

/// Describes what the rollout is waiting for, so that an operator can tell whether to act.
fn describe_wait(entry: &Entry, spec: &RolloutSpec, requests: u64, wall: WallTime) -> String {
    if !entry.matches_spec() {
        let id = &spec.id;
        return format!("the name {id} was used for another move; give this one a new name");
    }
    if let Some(verdict) = &entry.verdict {
        let reason = verdict.reason;
        return format!("taken back ({reason}); the table service has yet to record it");
    }
    let (Some(record), Some(plan)) = (&entry.record, entry.plan()) else {
        return "a steward to begin; the table service must be reachable".to_owned();
    };
    if wall >= spec.deadline {
        return "the deadline has passed; the table service has yet to record the outcome"
            .to_owned();
    }
    let version = &spec.to;
    match entry.stage() {
        Stage::Loading if !entry.missing.is_empty() => {
            let missing: Vec<&str> = entry.missing.iter().map(TargetId::as_str).collect();
            format!("targets to load {version}: {}", missing.join(", "))
        }
        Stage::Loading => "the steward to begin the first step".to_owned(),
        Stage::Step(step) if requests < plan.step_requests(step) => {
            let needed = plan.step_requests(step);
            let until = plan.window_end(step).0;
            format!("{requests} of {needed} requests at {version}, or until {until}")
        }
        Stage::Step(_) => format!("the shortest stage time since {}", record.staged.0),
        Stage::Full(_) if requests < MIN_JUDGED_REQUESTS => {
            format!("{requests} of {MIN_JUDGED_REQUESTS} requests at {version}")
        }
        Stage::Full(_) => format!("watched until {}", plan.complete_from().0),
        Stage::Recheck(_) => {
            format!("{version} looked slow or failing at full share; compared anew")
        }
    }
}
