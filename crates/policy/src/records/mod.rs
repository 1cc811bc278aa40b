//! Request records, which ensure at most one dispatch of a request over all instances.
//!
//! An instance dispatches a request only while it holds the request's record. It takes the record
//! at once for a first attempt that no peer has looked up here. Otherwise it takes the record only
//! after every peer that may have taken an earlier attempt has answered "voided". This answer is a
//! promise: the answering instance won't dispatch the request without a lookup of its own. An
//! instance answers lookups and takes records one event at a time. So if two instances look up the
//! same request at once, at least one of them receives the other's lookup, and the order of the
//! attempts lets exactly one of them continue.

mod copy;
mod timeout;

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use sesamewind_protocol::record::{InstanceIncarnation, Lookup, LookupReply, RecordState};
use sesamewind_protocol::{Code, InstanceId, RequestKey, RunState, Time};

use crate::config::Limits;
use crate::event::{Arrival, Ticket};
use crate::members::Members;

/// Result of claiming the record for an arriving attempt.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Claim {
    /// This instance holds the record and may dispatch.
    Held,
    /// These peers have to be asked first.
    Ask(Vec<InstanceId>),
    /// Another attempt at this instance holds or held the record, and its answer is available.
    Attach(Ticket),
    /// An earlier or later attempt determines the result.
    Resolved(Code, RunState),
    /// The key belongs to another request.
    KeyReused,
}

/// Effect of a peer's reply on a pending lookup.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ReplyOutcome {
    /// Further replies are missing.
    Wait,
    /// The reply named more incarnations, whose instances have to be asked too.
    More(Ticket, Vec<InstanceId>),
    /// Every peer voided the request, so this instance holds the record.
    Cleared(Ticket),
    /// A peer holds the answer.
    HeldElsewhere(Ticket, InstanceId),
    /// Another attempt determines the result.
    Resolved(Ticket, Code, RunState),
}

#[derive(Debug)]
struct PendingLookup {
    seq: u64,
    ticket: Ticket,
    attempt: u32,
    since: Time,
    repeated: bool,
    unanswered: Vec<InstanceIncarnation>,
    answered: Vec<InstanceIncarnation>,
}

#[derive(Debug, Clone, Copy)]
enum State {
    /// This instance promised a peer not to dispatch without a lookup.
    Void,
    /// A local attempt waits for replies of peers.
    Asking(Ticket),
    /// A local attempt may be dispatched or was dispatched.
    Held(Ticket),
    /// The complete answer arrived and is available until the given time.
    Complete(Ticket, Time),
    /// The attempt ended without a complete answer.
    Ended(Code, RunState),
}

#[derive(Debug)]
struct Record {
    state: State,
    /// Latest attempt known to the record.
    attempt: u32,
    /// Hash of the request body; zero if the record is known from peers only.
    body_hash: u64,
    expires: Time,
}

/// The request records of one instance.
#[derive(Debug)]
pub(crate) struct Records {
    me: InstanceIncarnation,
    pub(crate) members: Members,
    retention: Duration,
    answer_retention: Duration,
    records: HashMap<RequestKey, Record>,
    lookups: HashMap<RequestKey, PendingLookup>,
    last_seq: u64,
    expiry: VecDeque<(Time, RequestKey)>,
}

impl Records {
    pub(crate) fn new(me: InstanceIncarnation, limits: &Limits) -> Self {
        Self {
            members: Members::new(me.clone(), limits.record_retention),
            me,
            retention: limits.record_retention,
            answer_retention: limits.answer_retention,
            records: HashMap::new(),
            lookups: HashMap::new(),
            last_seq: 0,
            expiry: VecDeque::new(),
        }
    }

    pub(crate) fn configure(&mut self, limits: &Limits) {
        self.retention = limits.record_retention;
        self.answer_retention = limits.answer_retention;
        self.members.set_retention(limits.record_retention);
    }

    /// Returns the number of records kept.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Claims the record for an arriving attempt. `joined` tells whether this instance may take
    /// first attempts without asking peers.
    pub(crate) fn claim(&mut self, arrival: &Arrival, joined: bool, now: Time) -> Claim {
        let attempt = arrival.attempt.unwrap_or(0);
        let Some(record) = self.records.get(&arrival.key) else {
            if arrival.attempt == Some(0) && joined {
                self.hold(arrival.key, arrival.ticket, attempt, arrival.body_hash);
                return Claim::Held;
            }
            return self.start_lookup(arrival, attempt, now);
        };
        if record.body_hash != 0 && record.body_hash != arrival.body_hash {
            return Claim::KeyReused;
        }
        match record.state {
            State::Held(ticket) | State::Asking(ticket) => Claim::Attach(ticket),
            State::Complete(ticket, until) if now < until => Claim::Attach(ticket),
            State::Complete(..) => Claim::Resolved(Code::AlreadyRan, RunState::Ran),
            State::Ended(_, run) => Claim::Resolved(code_for(run), run),
            // The caller has sent a later attempt since, which may be about to run.
            State::Void if arrival.attempt.is_some_and(|attempt| attempt < record.attempt) => {
                Claim::Resolved(Code::EarlierAttempt, RunState::Unknown)
            }
            State::Void => self.start_lookup(arrival, attempt, now),
        }
    }

    fn hold(&mut self, key: RequestKey, ticket: Ticket, attempt: u32, body_hash: u64) {
        let expires = Time::from_micros(u64::MAX);
        let record = Record { state: State::Held(ticket), attempt, body_hash, expires };
        self.records.insert(key, record);
    }

    fn start_lookup(&mut self, arrival: &Arrival, attempt: u32, now: Time) -> Claim {
        let unanswered: Vec<InstanceIncarnation> = self.members.must_ask(now).cloned().collect();
        if unanswered.is_empty() {
            self.hold(arrival.key, arrival.ticket, attempt, arrival.body_hash);
            return Claim::Held;
        }
        let peers = instances(&unanswered);
        self.last_seq += 1;
        self.lookups.insert(
            arrival.key,
            PendingLookup {
                seq: self.last_seq,
                ticket: arrival.ticket,
                attempt,
                since: now,
                repeated: false,
                unanswered,
                answered: Vec::new(),
            },
        );
        let record = Record {
            state: State::Asking(arrival.ticket),
            attempt,
            body_hash: arrival.body_hash,
            expires: Time::from_micros(u64::MAX),
        };
        self.records.insert(arrival.key, record);
        Claim::Ask(peers)
    }

    /// Returns the message of a pending lookup.
    pub(crate) fn pending_lookup(&self, key: RequestKey) -> Option<Lookup> {
        let lookup = self.lookups.get(&key)?;
        Some(Lookup { key, attempt: lookup.attempt, asker: self.me.clone(), seq: lookup.seq })
    }

    /// Answers a peer's lookup. Also returns the local attempt that the lookup supersedes, if any,
    /// which must end.
    pub(crate) fn answer(&mut self, lookup: &Lookup, now: Time) -> (LookupReply, Option<Ticket>) {
        self.members.mark_seen(&lookup.asker, now);
        let mut superseded = None;
        let record = self.records.get(&lookup.key).map(|record| (record.state, record.attempt));
        let state = match record {
            Some((State::Held(_), _)) => RecordState::Held,
            Some((State::Complete(_, until), _)) if now < until => RecordState::Held,
            Some((State::Complete(..), _)) => {
                RecordState::Ended { code: Code::Ok, run: RunState::Ran }
            }
            Some((State::Ended(code, run), _)) => RecordState::Ended { code, run },
            Some((State::Asking(ticket), attempt)) => {
                let own_precedes =
                    attempt > lookup.attempt || attempt == lookup.attempt && self.me < lookup.asker;
                if own_precedes {
                    RecordState::Superseded
                } else {
                    superseded = Some(ticket);
                    self.lookups.remove(&lookup.key);
                    self.void(lookup.key, lookup.attempt, now);
                    RecordState::Voided
                }
            }
            // A later attempt may have been answered "not run", so this one must not run after it.
            Some((State::Void, attempt)) if attempt > lookup.attempt => RecordState::Superseded,
            Some((State::Void, _)) | None => {
                self.void(lookup.key, lookup.attempt, now);
                RecordState::Voided
            }
        };
        let known = self.known_instances(now);
        let from = self.me.clone();
        (LookupReply { key: lookup.key, from, seq: lookup.seq, state, known }, superseded)
    }

    fn known_instances(&self, now: Time) -> Vec<InstanceIncarnation> {
        self.members.must_ask(now).chain([&self.me]).cloned().collect()
    }

    /// Applies a peer's reply.
    pub(crate) fn apply_reply(&mut self, reply: &LookupReply, now: Time) -> ReplyOutcome {
        self.members.mark_seen(&reply.from, now);
        let Some(lookup) = self.lookups.get_mut(&reply.key) else { return ReplyOutcome::Wait };
        if lookup.seq != reply.seq {
            return ReplyOutcome::Wait;
        }
        let ticket = lookup.ticket;
        match &reply.state {
            RecordState::Voided => {}
            RecordState::Held => {
                self.release(reply.key, now);
                return ReplyOutcome::HeldElsewhere(ticket, reply.from.instance.clone());
            }
            RecordState::Ended { run, .. } => {
                let run = *run;
                self.release(reply.key, now);
                return ReplyOutcome::Resolved(ticket, code_for(run), run);
            }
            RecordState::Superseded => {
                self.release(reply.key, now);
                return ReplyOutcome::Resolved(ticket, Code::EarlierAttempt, RunState::Unknown);
            }
        }
        lookup.unanswered.retain(|peer| *peer != reply.from);
        if !lookup.answered.contains(&reply.from) {
            lookup.answered.push(reply.from.clone());
        }
        let mut more = Vec::new();
        for peer in &reply.known {
            let is_covered = *peer == self.me
                || lookup.answered.contains(peer)
                || lookup.unanswered.contains(peer)
                || self.members.has_records_of(peer);
            if !is_covered {
                lookup.unanswered.push(peer.clone());
                more.push(peer.clone());
            }
        }
        if !more.is_empty() {
            return ReplyOutcome::More(ticket, instances(&more));
        }
        if !lookup.unanswered.is_empty() {
            return ReplyOutcome::Wait;
        }
        let attempt = lookup.attempt;
        let body_hash = self.records.get(&reply.key).map_or(0, |record| record.body_hash);
        self.lookups.remove(&reply.key);
        self.hold(reply.key, ticket, attempt, body_hash);
        ReplyOutcome::Cleared(ticket)
    }

    /// Releases the record after the local attempt that held it or looked it up ended without a
    /// dispatch.
    pub(crate) fn release(&mut self, key: RequestKey, now: Time) {
        self.lookups.remove(&key);
        let Some(record) = self.records.get(&key) else { return };
        if record.attempt == 0 && matches!(record.state, State::Held(_)) {
            self.records.remove(&key);
            return;
        }
        let attempt = record.attempt;
        self.void(key, attempt, now);
    }

    /// Records that the local attempt got a complete answer.
    pub(crate) fn complete(&mut self, key: RequestKey, ticket: Ticket, now: Time) {
        self.close(key, State::Complete(ticket, now + self.answer_retention), now);
    }

    /// Records that the local attempt ended otherwise after it may have been dispatched.
    pub(crate) fn end(&mut self, key: RequestKey, code: Code, run: RunState, now: Time) {
        self.close(key, State::Ended(code, run), now);
    }

    fn close(&mut self, key: RequestKey, state: State, now: Time) {
        let expires = now + self.retention;
        let Some(record) = self.records.get_mut(&key) else { return };
        record.state = state;
        record.expires = expires;
        self.expiry.push_back((expires, key));
    }

    fn void(&mut self, key: RequestKey, attempt: u32, now: Time) {
        let expires = now + self.retention;
        let record = self.records.entry(key).or_insert(Record {
            state: State::Void,
            attempt,
            body_hash: 0,
            expires,
        });
        record.state = State::Void;
        record.attempt = record.attempt.max(attempt);
        record.expires = expires;
        self.expiry.push_back((expires, key));
    }

    /// Removes records that no resend can need any more.
    pub(crate) fn expire(&mut self, now: Time) {
        while let Some((at, key)) = self.expiry.front().copied() {
            if at > now {
                break;
            }
            self.expiry.pop_front();
            if self.records.get(&key).is_some_and(|record| record.expires <= now) {
                self.records.remove(&key);
            }
        }
    }
}

/// Returns the code for an attempt whose request another attempt has ended.
fn code_for(run: RunState) -> Code {
    if run == RunState::Ran { Code::AlreadyRan } else { Code::EarlierAttempt }
}

fn instances(incarnations: &[InstanceIncarnation]) -> Vec<InstanceId> {
    let mut names: Vec<InstanceId> =
        incarnations.iter().map(|peer| peer.instance.clone()).collect();
    names.sort();
    names.dedup();
    names
}
