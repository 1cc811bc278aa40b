//! Where a request would go now, and why, without an effect on this instance.
//!
//! The request arrives at a copy of the gateway, so that each decision is that of a real request.

use std::time::Duration;

use sesamewind_protocol::placement::{Placement, PlacementOutcome, PlacementTarget};
use sesamewind_protocol::{Time, VersionId};

use crate::arrival::{Arrival, Ticket};
use crate::event::{Event, Step};
use crate::flow::selection_request;
use crate::gateway::Gateway;
use crate::proof::{NotRunProof, RefusalReason};
use crate::request::{History, Request, State};
use crate::rollouts::AllowedVersions;
use crate::selection;

/// Ticket of the described request in the copy; tickets of real requests count up from zero.
const PREVIEW_TICKET: Ticket = Ticket::MAX;

impl Gateway {
    /// Returns where a request like `arrival` would go; the ticket is ignored.
    pub fn placement(&self, arrival: Arrival, now: Time) -> Placement {
        let arrival = Arrival { ticket: PREVIEW_TICKET, ..arrival };
        let service = arrival.route.service_at(arrival.point).clone();
        let proof = NotRunProof::at_arrival();
        let waiting =
            State::Waiting { position: (now, PREVIEW_TICKET), history: History::NotRun(proof) };
        let mut request = Request::new(arrival.clone(), service.clone(), 0.0, waiting, now);
        let mut copy = self.preview();
        let actions = copy.handle(Event::Arrive(arrival), now);
        let step = actions.into_iter().find(|action| action.ticket == PREVIEW_TICKET);
        if let Some(arrived) = copy.requests.get(&PREVIEW_TICKET) {
            (request.since, request.late) = (arrived.since, arrived.late);
        }
        request.late |= request.has_returned() && request.latency_limit(now).is_none();
        let versions = self.rollouts.allowed_versions(&service, request.arrival.point);
        Placement {
            instance: self.me.instance.clone(),
            zone: self.me.zone.clone(),
            revision: self.revision().0,
            route: request.arrival.route.name.clone(),
            rank: request.arrival.rank(),
            returned: request.has_returned(),
            versions: describe(&versions),
            outcome: copy.outcome(step.map(|action| action.step), now),
            targets: self.assess_targets(&request, &versions, now),
            service,
        }
    }

    /// Returns what became of the described request in this copy of the gateway.
    fn outcome(&self, step: Option<Step>, now: Time) -> PlacementOutcome {
        match step {
            Some(Step::Dispatch(dispatch)) => PlacementOutcome::Sent(dispatch.target),
            Some(Step::PassOn(pass)) => PlacementOutcome::PassedOn(pass.peer),
            Some(Step::Refuse(refusal)) => refused(refusal.reason, refusal.retry_after),
            _ => self.wait().map_or_else(
                || refused(RefusalReason::Refused, Duration::ZERO),
                |(ahead, until)| PlacementOutcome::Waits {
                    ahead,
                    wait_ms: until.since(now).as_millis() as u64,
                },
            ),
        }
    }

    /// Returns the number of requests that wait before the described one, and the end of its wait.
    fn wait(&self) -> Option<(usize, Time)> {
        let request = self.requests.get(&PREVIEW_TICKET)?;
        let State::Waiting { position, .. } = &request.state else { return None };
        self.services.get(&request.service)?.queue.place(*position)
    }

    fn assess_targets(
        &self,
        request: &Request,
        versions: &AllowedVersions,
        now: Time,
    ) -> Vec<PlacementTarget> {
        let Some(service) = self.services.get(&request.service) else { return Vec::new() };
        let limit = request.latency_limit(now);
        let query = selection_request(request, limit, (service, versions), &self.tuning, now);
        let context = service.selection_context(&self.me.zone, self.margin(), now);
        let assessed = selection::assess(&self.targets, &service.targets, query, context);
        assessed
            .into_iter()
            .map(|(index, assessment)| {
                let target = self.targets.get(index);
                PlacementTarget {
                    target: target.listed.id.clone(),
                    zone: target.listed.zone.clone(),
                    version: target.listed.version.clone(),
                    load: target.load(),
                    slots: target.listed.slots,
                    predicted_ms: assessment.ok(),
                    obstacle: assessment.err().map_or("", |obstacle| obstacle.as_str()).to_owned(),
                }
            })
            .collect()
    }
}

fn refused(reason: RefusalReason, retry: Duration) -> PlacementOutcome {
    let reason = reason.as_str().to_owned();
    PlacementOutcome::Refused { reason, retry_ms: retry.as_millis() as u64 }
}

fn describe(versions: &AllowedVersions) -> String {
    match versions {
        AllowedVersions::Any => "any".to_owned(),
        AllowedVersions::Only(version) => format!("only {version}"),
        AllowedVersions::Prefer(version) => format!("{version} if it has room"),
        AllowedVersions::Except(others) => {
            let others: Vec<_> = others.iter().map(VersionId::as_str).collect();
            format!("any except {}", others.join(", "))
        }
    }
}
