//! Lookups of request records among peers.

use sesamewind_protocol::record::{Lookup, LookupReply, RecordsCopy, RecordsRequest};
use sesamewind_protocol::{Code, InstanceId, RequestKey, RunState};

use crate::action::Action;
use crate::attempt::Received;
use crate::event::Ticket;
use crate::records::Step;

use super::{Context, Scheduler};

impl Scheduler {
    pub(super) fn ask_peers(&mut self, ticket: Ticket, key: RequestKey, peers: Vec<InstanceId>) {
        let Some(lookup) = self.records.question(key) else { return };
        self.counters.lookups += 1;
        self.out.push(Action::AskPeers { ticket, lookup, peers });
    }

    pub(super) fn lookup(&mut self, lookup: &Lookup, cx: Context<'_>) {
        let (reply, loser) = self.records.answer(lookup, cx.now);
        if let Some(ticket) = loser {
            self.settle(ticket, Code::EarlierAttempt, RunState::Unknown);
        }
        self.out.push(Action::Reply { to: lookup.asker.instance.clone(), reply });
    }

    pub(super) fn lookup_reply(&mut self, reply: &LookupReply, cx: Context<'_>) {
        match self.records.answered(reply, cx.now) {
            Step::Wait => {}
            Step::More(ticket, peers) => self.ask_peers(ticket, reply.key, peers),
            Step::Cleared(ticket) => self.cleared(ticket, cx),
            Step::Elsewhere(ticket, holder) => {
                self.requests.remove(&ticket);
                self.out.push(Action::Attach { ticket, holder });
            }
            Step::Settled(ticket, code, run) => self.settle(ticket, code, run),
        }
    }

    /// The instance that held the answer can't deliver it; what it did is not known here.
    pub(super) fn holder_lost(&mut self, ticket: Ticket) {
        let refusal = Received::new(ticket).end(Code::EarlierAttempt, RunState::Unknown, None);
        self.refuse(refusal);
    }

    /// Repeats lookups that lack answers and gives up those that are out of time.
    pub(super) fn chase_lookups(&mut self, cx: Context<'_>) {
        let timeout = self.limits.lookup_timeout;
        for ticket in self.records.uncleared(cx.now, timeout) {
            self.settle(ticket, Code::EarlierAttempt, RunState::Unknown);
        }
        for (key, ticket) in self.records.overdue(cx.now, timeout / 2) {
            let peers = self.records.lacking(key);
            self.ask_peers(ticket, key, peers);
        }
    }

    pub(super) fn records_request(&mut self, request: &RecordsRequest, cx: Context<'_>) {
        // First the asker is named in every later answer, then the copy is made; see `join`.
        self.records.members.heard(&request.asker, cx.now);
        let copy = self.records.copy(Some(request.seq), self.join.has_joined(), cx.now);
        let to = request.asker.instance.clone();
        self.out.push(Action::SendRecords { to, copy });
    }

    pub(super) fn records_copy(&mut self, copy: &RecordsCopy, cx: Context<'_>) {
        for (ticket, code, run) in self.records.take(copy, cx.now) {
            self.settle(ticket, code, run);
        }
        self.join.copied(copy, &self.records.members);
    }

    pub(super) fn pursue_join(&mut self, cx: Context<'_>) {
        let Some((request, peers)) = self.join.due(&self.records.members, cx.now) else { return };
        self.out.push(Action::AskRecords { request, peers });
    }
}
