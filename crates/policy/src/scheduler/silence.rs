//! Detection of silent connections, as opposed to slow or dead targets.
//!
//! A connection without progress doesn't show that its target is dead. A probe over a new
//! connection decides. If the probe is answered, the old connections are dropped together and every
//! silent stream is resumed. Otherwise the target becomes suspect and gets no new work until a
//! probe is answered. A stream without progress on a connection that was just seen to work is slow,
//! and its timeout is extended.

use sesamewind_protocol::{Code, TargetId, Time};

use crate::action::Action;
use crate::config::Kind;
use crate::event::Ticket;
use crate::target::Suspicion;

use super::request::{InFlight, Stage};
use super::{Context, Scheduler};

/// Progress of a request without a first token is due after this multiple of the predicted time, if
/// that is longer than the progress timeout.
const FIRST_TOKEN_FACTOR: u32 = 3;
/// A stream of a suspect target is abandoned after this multiple of the progress timeout.
const LOST_TIMEOUT_FACTOR: u32 = 2;
const MAX_TIMEOUT_FACTOR: u32 = 8;

impl Scheduler {
    pub(super) fn silent(&mut self, ticket: Ticket, cx: Context<'_>) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let Some(in_flight) = request.stage.in_flight_mut() else { return };
        if in_flight.verified {
            // The connection is new and was accepted, so the target is slow.
            in_flight.last_progress = cx.now;
            in_flight.timeout_factor = (in_flight.timeout_factor * 2).min(MAX_TIMEOUT_FACTOR);
            return;
        }
        if in_flight.silent {
            return;
        }
        in_flight.silent = true;
        let target = in_flight.target;
        self.probe(target, cx);
    }

    fn probe(&mut self, target: usize, cx: Context<'_>) {
        let state = &mut self.targets[target];
        if state.probing_since.is_none() {
            state.probing_since = Some(cx.now);
            let target = state.id.clone();
            self.out.push(Action::Probe { target });
        }
    }

    pub(super) fn probe_result(&mut self, id: &TargetId, ok: bool, cx: Context<'_>) {
        let Some(index) = self.target_index.get(id).copied() else { return };
        self.targets[index].probing_since = None;
        if !ok {
            return self.mark_suspect(index, cx);
        }
        self.targets[index].suspicion = None;
        self.out.push(Action::DropConnections { target: id.clone() });
        let quiet_since = cx.now - self.limits.progress_timeout / 2;
        self.resume_streams(index, quiet_since, cx);
        self.dispatch_waiting(self.targets[index].service, cx);
    }

    /// Marks a target as unreachable and probes it at once.
    pub(super) fn suspect_and_probe(&mut self, index: usize, cx: Context<'_>) {
        self.mark_suspect(index, cx);
        self.probe(index, cx);
    }

    fn mark_suspect(&mut self, index: usize, cx: Context<'_>) {
        let next_probe = cx.now + self.limits.probe_interval;
        let earlier = self.targets[index].suspicion;
        self.targets[index].suspicion = Some(Suspicion {
            since: earlier.map_or(cx.now, |suspicion| suspicion.since),
            since_wall: earlier.map_or(cx.wall, |suspicion| suspicion.since_wall),
            next_probe,
        });
    }

    pub(super) fn target_back(&mut self, id: &TargetId, cx: Context<'_>) {
        let Some(index) = self.target_index.get(id).copied() else { return };
        if self.targets[index].suspicion.is_some() {
            self.probe_result(id, true, cx);
        }
    }

    /// Probes suspect targets, and treats a probe without an answer as failed.
    pub(super) fn update_probes(&mut self, cx: Context<'_>) {
        for index in 0..self.targets.len() {
            let target = &mut self.targets[index];
            let timeout = self.limits.progress_timeout;
            if target.probing_since.is_some_and(|since| cx.now.since(since) >= timeout) {
                target.probing_since = None;
                self.mark_suspect(index, cx);
            }
            let due = self.targets[index]
                .suspicion
                .is_some_and(|suspicion| cx.now >= suspicion.next_probe);
            if due && self.targets[index].active {
                self.probe(index, cx);
            }
        }
    }

    /// Finds requests without progress.
    pub(super) fn find_silent(&mut self, cx: Context<'_>) {
        let mut silent: Vec<Ticket> = Vec::new();
        let mut lost: Vec<Ticket> = Vec::new();
        for (ticket, request) in &self.requests {
            let Some(in_flight) = request.stage.in_flight() else { continue };
            let suspicion = self.targets[in_flight.target].suspicion;
            if in_flight.silent {
                let timeout = self.limits.progress_timeout * LOST_TIMEOUT_FACTOR;
                let dead =
                    suspicion.is_some_and(|suspicion| cx.now.since(suspicion.since) >= timeout);
                let plain = self.services[request.service].kind == Kind::Plain;
                if dead && !plain {
                    lost.push(*ticket);
                }
            } else if cx.now >= self.progress_due(in_flight) {
                silent.push(*ticket);
            }
        }
        silent.sort_unstable();
        lost.sort_unstable();
        for ticket in silent {
            self.silent(ticket, cx);
        }
        for ticket in lost {
            let Some(request) = self.requests.remove(&ticket) else { continue };
            match request.stage {
                Stage::Streaming(..) => self.lost(request, cx),
                Stage::Sent(..) => self.abandon_sent(request, Code::TargetSilent, cx),
                _ => {
                    self.requests.insert(ticket, request);
                }
            }
        }
    }

    /// Returns when a request's connection counts as silent unless it makes progress.
    fn progress_due(&self, in_flight: &InFlight) -> Time {
        let mut timeout = self.limits.progress_timeout * in_flight.timeout_factor;
        if in_flight.produced == 0 {
            timeout = timeout.max(in_flight.predicted * FIRST_TOKEN_FACTOR);
        }
        in_flight.last_progress + timeout
    }
}
