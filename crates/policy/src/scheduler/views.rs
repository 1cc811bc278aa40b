//! Views for operators.

use std::time::Duration;

use sesamewind_protocol::Time;

use crate::view::{Counters, QueueView, TargetView};

use super::Scheduler;
use super::request::Stage;

impl Scheduler {
    /// Returns the targets as this instance sees them.
    pub fn targets_view(&self) -> Vec<TargetView> {
        let active = self.targets.iter().filter(|target| target.active);
        active
            .map(|target| {
                let load = target.load(self.last);
                TargetView {
                    target: target.id.clone(),
                    service: self.services[target.service].id.clone(),
                    versions: target.versions.clone(),
                    incarnation: target.incarnation(),
                    usable: target.is_usable() && !target.versions.is_empty(),
                    leaving: target.is_leaving(),
                    suspect: target.suspicion.is_some(),
                    requests: target.own.requests as u32,
                    tokens: target.own.tokens as u64,
                    estimated: load.requests,
                    prefill_speed: target.speed.prefill(),
                    decode_speed: 1.0 / target.speed.step(load.requests).max(1e-6),
                }
            })
            .collect()
    }

    /// Returns the queue of every service.
    pub fn queue_view(&self, now: Time) -> Vec<QueueView> {
        let mut oldest = vec![Duration::ZERO; self.services.len()];
        for request in self.requests.values() {
            if matches!(request.stage, Stage::Queued(_)) {
                let waited = now.since(request.queued_at);
                oldest[request.service] = oldest[request.service].max(waited);
            }
        }
        let active = self.services.iter().zip(oldest).filter(|(service, _)| service.active);
        active
            .map(|(service, oldest)| QueueView {
                service: service.id.clone(),
                waiting: service.queue.lengths(),
                running: service.running.clone(),
                oldest,
                floor: self.floors.rank(&service.id, now),
            })
            .collect()
    }

    /// Returns counts since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the number of request records kept.
    pub fn records(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of accounts with state here.
    pub fn active_accounts(&self) -> usize {
        self.accounts.active()
    }
}
