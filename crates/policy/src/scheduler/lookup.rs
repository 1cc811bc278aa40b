//! Lookups of request records at peers.

use sesamewind_protocol::record::{Lookup, LookupReply, RecordsCopy, RecordsRequest};
use sesamewind_protocol::{Code, InstanceId, RequestKey, RunState};

use crate::action::Action;
use crate::attempt::Received;
use crate::event::Ticket;
use crate::records::ReplyOutcome;

use super::{Context, Scheduler};

impl Scheduler {
    pub(super) fn ask_peers(&mut self, ticket: Ticket, key: RequestKey, peers: Vec<InstanceId>) {
        let Some(lookup) = self.records.pending_lookup(key) else { return };
        self.counters.lookups += 1;
        self.out.push(Action::AskPeers { ticket, lookup, peers });
    }

    pub(super) fn answer_lookup(&mut self, lookup: &Lookup, cx: Context<'_>) {
        let (reply, superseded) = self.records.answer(lookup, cx.now);
        if let Some(ticket) = superseded {
            self.resolve(ticket, Code::EarlierAttempt, RunState::Unknown);
        }
        self.out.push(Action::Reply { to: lookup.asker.instance.clone(), reply });
    }

    pub(super) fn lookup_reply(&mut self, reply: &LookupReply, cx: Context<'_>) {
        match self.records.apply_reply(reply, cx.now) {
            ReplyOutcome::Wait => {}
            ReplyOutcome::More(ticket, peers) => self.ask_peers(ticket, reply.key, peers),
            ReplyOutcome::Cleared(ticket) => self.cleared(ticket, cx),
            ReplyOutcome::HeldElsewhere(ticket, holder) => {
                self.requests.remove(&ticket);
                self.out.push(Action::Attach { ticket, holder });
            }
            ReplyOutcome::Resolved(ticket, code, run) => self.resolve(ticket, code, run),
        }
    }

    /// Ends an attempt whose answer was held by an instance that can't deliver it. Whether the
    /// request ran is unknown here.
    pub(super) fn holder_lost(&mut self, ticket: Ticket) {
        let refusal = Received::new(ticket).end(Code::EarlierAttempt, RunState::Unknown, None);
        self.refuse(refusal);
    }

    /// Repeats unanswered lookups and abandons those past their timeout.
    pub(super) fn retry_lookups(&mut self, cx: Context<'_>) {
        let timeout = self.limits.lookup_timeout;
        for ticket in self.records.time_out_lookups(cx.now, timeout) {
            self.resolve(ticket, Code::EarlierAttempt, RunState::Unknown);
        }
        for (key, ticket) in self.records.take_unanswered(cx.now, timeout / 2) {
            let peers = self.records.unanswered_peers(key);
            self.ask_peers(ticket, key, peers);
        }
    }

    pub(super) fn records_request(&mut self, request: &RecordsRequest, cx: Context<'_>) {
        // The asker must be known before the copy is made, since all later answers have to name it;
        // see `join`.
        self.records.members.mark_seen(&request.asker, cx.now);
        let copy = self.records.copy(Some(request.seq), self.join.has_joined(), cx.now);
        let to = request.asker.instance.clone();
        self.out.push(Action::SendRecords { to, copy });
    }

    pub(super) fn records_copy(&mut self, copy: &RecordsCopy, cx: Context<'_>) {
        for (ticket, code, run) in self.records.import(copy, cx.now) {
            self.resolve(ticket, code, run);
        }
        self.join.apply_copy(copy, &self.records.members);
    }

    pub(super) fn continue_join(&mut self, cx: Context<'_>) {
        let Some((request, peers)) = self.join.due(&self.records.members, cx.now) else { return };
        self.out.push(Action::AskRecords { request, peers });
    }
}
