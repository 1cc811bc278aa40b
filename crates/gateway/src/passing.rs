//! Requests that an instance which reaches no target passes on to peers.

use sesamewind_protocol::Time;

use crate::arrival::{Arrival, Ticket};
use crate::event::{
    Action, AttemptOutcome, Failure, NoRetry, PassOn, PassOutcome, Probe, ProbeResult, Step,
};
use crate::gateway::Gateway;
use crate::proof::{NotRunProof, PassedRefusal, RefusalReason};
use crate::reach::ReachChange;
use crate::request::{History, Passed, Request, State};
use crate::table::Repeat;
use crate::targets::Index;

/// Maximum number of peers that are asked to take one request.
const MAX_PEERS: usize = 3;

/// Maximum number of open requests that peers have passed on to this instance.
const MAX_PASSED: u32 = 256;

impl Gateway {
    /// Returns whether this instance reaches no target, although peers do.
    pub fn is_cut_off(&self) -> bool {
        self.reach.is_cut_off()
    }

    /// Returns the changes of this instance's reach since the last call.
    pub fn take_reach_changes(&mut self) -> Vec<ReachChange> {
        self.reach.take_changes()
    }

    /// Returns the probes to send now.
    pub fn take_probes(&mut self) -> Vec<Probe> {
        let patience = self.reach.patience();
        let probes = self.reach.take_probes().into_iter();
        let address = |target| self.targets.get(target).listed.address;
        probes.map(|target| Probe { target, address: address(target), patience }).collect()
    }

    /// Records that a target has sent a part of an answer.
    pub fn target_heard(&mut self, now: Time) {
        self.reach.record_answer(now);
    }

    /// Passes a request that has just arrived on to a peer if this instance is cut off. A request that a
    /// peer has passed on is refused instead, also if there are too many of them.
    ///
    /// # Errors
    ///
    /// Returns the proof if this instance takes the request itself.
    pub(crate) fn pass_arrival(
        &mut self,
        arrival: &Arrival,
        proof: NotRunProof,
        is_passed: bool,
        now: Time,
    ) -> Result<(), NotRunProof> {
        if is_passed && (self.is_cut_off() || self.reach.open.1 >= MAX_PASSED) {
            self.refuse(arrival, proof, RefusalReason::NotTaken, now);
            return Ok(());
        }
        if is_passed || !self.is_cut_off() {
            return Err(proof);
        }
        let state = State::Moving;
        let service = arrival.route.service_at(arrival.point).clone();
        let request = Request::new(arrival.clone(), service, 0.0, state, now);
        match self.pass_on(arrival.ticket, request, History::NotRun(proof), now) {
            None => Ok(()),
            Some((_, History::NotRun(proof))) => Err(proof),
            Some((request, History::MayHaveRun)) => {
                self.fail_passed(request.arrival.ticket, AttemptOutcome::Broken);
                Ok(())
            }
        }
    }

    /// Passes a request on to a peer. Returns it if no peer can take it.
    fn pass_on(
        &mut self,
        ticket: Ticket,
        mut request: Request,
        history: History,
        now: Time,
    ) -> Option<(Request, History)> {
        let is_allowed = request.peers.len() < MAX_PEERS && now < request.arrival.deadline;
        let choice = is_allowed
            .then(|| self.reach.choose_peer(&self.me.zone, &request.peers, now))
            .flatten();
        let Some((peer, address)) = choice else { return Some((request, history)) };
        // The peer charges the account.
        self.refund(&request, now);
        request.cost = 0.0;
        request.peers.push(peer.clone());
        self.reach.record_pass(&peer);
        let step = Step::PassOn(PassOn {
            peer: peer.clone(),
            address,
            attempt: request.peers.len(),
            deadline: request.arrival.deadline,
            waited: now.since(request.arrived),
            counted: request.arrival.counted,
        });
        request.state = State::Passed(Passed::new(peer, history));
        self.requests.insert(ticket, request);
        self.out.push(Action { ticket, step });
        None
    }

    /// Returns whether a request that may have run may be passed on, since it may be repeated and no
    /// part of an answer was received.
    fn may_repeat_at_peer(&self, request: &Request) -> bool {
        request.arrival.route.repeat != Repeat::Never
            && !request.started
            && !request.passed
            && request.runs < request.arrival.route.attempts
            && !self.quarantine.is_held(&request.arrival.parts)
    }

    /// Passes a request whose attempt has ended on to a peer if this instance is cut off. A request that
    /// may have run must have been charged to the retry budget. Returns the request if this instance goes on
    /// with it.
    pub(crate) fn pass_again(
        &mut self,
        ticket: Ticket,
        request: Request,
        history: History,
        now: Time,
    ) -> Option<(Request, History)> {
        let is_allowed = match &history {
            History::NotRun(_) => !request.passed,
            History::MayHaveRun => self.may_repeat_at_peer(&request),
        };
        if !self.is_cut_off() || !is_allowed {
            return Some((request, history));
        }
        self.pass_on(ticket, request, history, now)
    }

    /// Passes a request whose target is silent on to a peer if this instance is cut off. Returns
    /// the request if its attempt goes on.
    pub(crate) fn pass_silent(
        &mut self,
        ticket: Ticket,
        mut request: Request,
        now: Time,
    ) -> Option<Request> {
        let has_peer = self.is_cut_off()
            && self.reach.choose_peer(&self.me.zone, &request.peers, now).is_some();
        request.runs += 1;
        let is_allowed = has_peer
            && self.may_repeat_at_peer(&request)
            && self.acquire_retry(&request.service, AttemptOutcome::Silent, now);
        if !is_allowed {
            request.runs -= 1;
            return Some(request);
        }
        let in_flight = std::mem::replace(&mut request.state, State::Moving);
        match self.pass_on(ticket, request, History::MayHaveRun, now) {
            None => {
                if let (State::InFlight(attempt), Some(request)) =
                    (in_flight, self.requests.get(&ticket))
                {
                    let prompt = request.prompt();
                    self.release(&attempt, prompt);
                }
                None
            }
            Some((mut request, _)) => {
                request.runs -= 1;
                request.state = in_flight;
                Some(request)
            }
        }
    }

    /// Passes waiting requests on to peers.
    fn pass_waiting(&mut self, now: Time) {
        let queues = self.services.values().flat_map(|service| service.queue.tickets());
        let waiting: Vec<Ticket> = queues.collect();
        for ticket in waiting {
            let Some(mut request) = self.requests.remove(&ticket) else { continue };
            let State::Waiting { position, history } =
                std::mem::replace(&mut request.state, State::Moving)
            else {
                continue;
            };
            // A retry that is still to be charged waits for the budget.
            let passed = if request.uncharged {
                Some((request, history))
            } else {
                self.pass_again(ticket, request, history, now)
            };
            match passed {
                None => {
                    let request = self.requests.get(&ticket);
                    let service = request.and_then(|one| self.services.get_mut(&one.service));
                    if let Some(service) = service {
                        service.queue.remove(position);
                    }
                }
                Some((mut request, history)) => {
                    request.state = State::Waiting { position, history };
                    self.requests.insert(ticket, request);
                }
            }
        }
    }

    /// Continues after a request at a peer has ended.
    pub(crate) fn pass_ended(&mut self, ticket: Ticket, outcome: PassOutcome, now: Time) {
        let Some(mut request) = self.requests.remove(&ticket) else { return };
        let State::Passed(passed) = std::mem::replace(&mut request.state, State::Moving) else {
            return;
        };
        self.reach.record_pass_end(&passed.peer, Some(outcome), now);
        match (outcome, passed.history(outcome)) {
            (PassOutcome::Answered, _) => {}
            (PassOutcome::Refused, History::NotRun(proof)) => {
                let step = Step::DeliverRefusal(PassedRefusal::new(proof));
                self.out.push(Action { ticket, step });
            }
            (PassOutcome::Declined | PassOutcome::Unconnected, history) => {
                match self.pass_on(ticket, request, history, now) {
                    None => {}
                    Some((request, History::NotRun(proof))) => {
                        self.admit(request.arrival, proof, false, now);
                    }
                    Some(_) => self.fail_passed(ticket, AttemptOutcome::Broken),
                }
            }
            (PassOutcome::Expired, _) => self.fail_passed(ticket, AttemptOutcome::Expired),
            (PassOutcome::Broken | PassOutcome::Refused, _) => {
                self.fail_passed(ticket, AttemptOutcome::Broken);
            }
        }
    }

    fn fail_passed(&mut self, ticket: Ticket, outcome: AttemptOutcome) {
        let step = Step::Fail(Failure { outcome, no_retry: NoRetry::PassedOn });
        self.out.push(Action { ticket, step });
    }

    pub(crate) fn connection_broke(&mut self, ticket: Ticket, now: Time) {
        let Some(request) = self.requests.get(&ticket) else { return };
        if let State::InFlight(attempt) = &request.state {
            self.reach.record_connection_failure(attempt.target, now);
        }
    }

    pub(crate) fn probed(&mut self, target: Index, result: ProbeResult, now: Time) {
        self.reach.record_probe(target, result, now);
    }

    /// Decides whether this instance reaches targets, and passes waiting requests on if not.
    pub(crate) fn update_reach(&mut self, now: Time) {
        let passed = self.requests.values().filter(|request| request.passed).count() as u32;
        self.reach.open = (self.requests.len() as u32 - passed, passed);
        // What has arrived during a stall is no silence.
        if now < self.read_until {
            return;
        }
        let requests = &self.requests;
        let waiting = |limit| {
            let attempts = requests.values().filter_map(|request| match &request.state {
                State::InFlight(attempt) if !attempt.started => Some(attempt),
                _ => None,
            });
            let waiting = attempts.filter(|attempt| now.since(attempt.sent) >= limit);
            let mut targets: Vec<Index> = waiting.map(|attempt| attempt.target).collect();
            targets.sort_unstable();
            targets.dedup();
            targets.len()
        };
        self.reach.update(&self.targets, waiting, now);
        if self.is_cut_off() {
            self.pass_waiting(now);
        }
    }
}
