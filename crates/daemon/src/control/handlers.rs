//! Message handlers of the control actor.

use std::sync::Arc;

use sesamewind_node::{Action, Event};
use sesamewind_policy as policy;
use sesamewind_policy::Arrival;
use sesamewind_protocol::Revision;
use sesamewind_protocol::message::Exchange;
use sesamewind_protocol::record::{LookupReply, RecordsCopy};
use xtra::{Context as ActorContext, Handler};

use super::{Control, TrackedRequest};
use crate::answer::Answer;
use crate::effects;
use crate::message::{
    Answered, Arrive, CacheChanged, FetchFailed, Fetched, FindAnswer, HandOver, JobSignal,
    LeaseAnswered, Leave, Listed, LookupReplied, Ordered, PeerLookup, PeerMessage, PeerRecords,
    Pointer, Polled, Probed, RecordWritten, RecordsCopied, RecordsRead, RecordsSeen, Remaining,
    RemainingWork, Signal, StopAccepting, Tick, Unanswered,
};

impl Handler<Arrive> for Control {
    type Return = ();

    async fn handle(&mut self, message: Arrive, _: &mut ActorContext<Self>) {
        let Arrive { arrival, steps, answer } = message;
        let Arrival { ticket, key, has_key, .. } = arrival;
        self.requests.insert(ticket, TrackedRequest { key, has_key, steps, answer });
        self.by_key.entry(key).or_insert(ticket);
        self.process(Event::Traffic(policy::Event::Arrive(arrival)));
    }
}

impl Handler<JobSignal> for Control {
    type Return = ();

    async fn handle(&mut self, message: JobSignal, _: &mut ActorContext<Self>) {
        use policy::Event as TrafficEvent;
        let JobSignal { ticket, signal } = message;
        let event = match signal {
            Signal::WriteCheck => TrafficEvent::WriteCheck { ticket },
            Signal::Accepted => TrafficEvent::Accepted { ticket },
            Signal::Tokens(n) => TrafficEvent::Tokens { ticket, n },
            Signal::Finished(end) => TrafficEvent::Finished { ticket, end },
            Signal::Silent => TrafficEvent::Silent { ticket },
            Signal::CallerGone => TrafficEvent::CallerGone { ticket },
            Signal::CallerBack => TrafficEvent::CallerBack { ticket },
            Signal::HolderLost => TrafficEvent::HolderLost { ticket },
            Signal::Closed => {
                self.close(ticket);
                return self.process(Event::Closed(ticket));
            }
        };
        self.process(Event::Traffic(event));
    }
}

impl Handler<Tick> for Control {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut ActorContext<Self>) {
        self.process(Event::Tick);
        self.evict_answers(self.context.clock.now());
    }
}

impl Handler<Fetched> for Control {
    type Return = ();

    async fn handle(&mut self, message: Fetched, _: &mut ActorContext<Self>) {
        let installed = Arc::new(message.0);
        if installed.revision <= self.node.in_force().revision {
            return;
        }
        // Jobs read addresses from the snapshot, so it must be set before the first dispatch.
        self.context.installed.store(Some(Arc::clone(&installed)));
        let (revision, hash) = (installed.revision, installed.hash.as_str());
        self.process(Event::Sheet { revision, hash, sheet: &installed.sheet });
    }
}

impl Handler<Probed> for Control {
    type Return = ();

    async fn handle(&mut self, message: Probed, _: &mut ActorContext<Self>) {
        let Probed { target, report } = message;
        let ok = report.is_some();
        if report.is_some() {
            self.process(Event::Polled { target: &target, report: report.as_ref() });
        }
        self.process(Event::Traffic(policy::Event::ProbeResult { target: &target, ok }));
    }
}

impl Handler<CacheChanged> for Control {
    type Return = ();

    async fn handle(&mut self, message: CacheChanged, _: &mut ActorContext<Self>) {
        let target = &message.target;
        for event in &message.events {
            self.process(Event::Traffic(policy::Event::CacheEvent { target, event }));
        }
    }
}

impl Handler<PeerMessage> for Control {
    type Return = Exchange;

    async fn handle(&mut self, message: PeerMessage, _: &mut ActorContext<Self>) -> Exchange {
        self.process(Event::Exchange(&message.0));
        let now = self.context.clock.now();
        self.node.answer(&message.0, now, self.context.clock.wall())
    }
}

impl Handler<PeerLookup> for Control {
    type Return = Option<LookupReply>;

    async fn handle(&mut self, message: PeerLookup, _: &mut ActorContext<Self>) -> Self::Return {
        let event = Event::Traffic(policy::Event::Lookup(&message.0));
        let mut answer = None;
        for action in self.node_actions(event) {
            match action {
                Action::Traffic(policy::Action::Reply { reply, .. }) => answer = Some(reply),
                action => self.execute(action),
            }
        }
        answer
    }
}

impl Handler<PeerRecords> for Control {
    type Return = Option<RecordsCopy>;

    async fn handle(&mut self, message: PeerRecords, _: &mut ActorContext<Self>) -> Self::Return {
        let event = Event::Traffic(policy::Event::RecordsRequest(&message.0));
        let mut answer = None;
        for action in self.node_actions(event) {
            match action {
                Action::Traffic(policy::Action::SendRecords { copy, .. }) => answer = Some(copy),
                action => self.execute(action),
            }
        }
        answer
    }
}

impl Handler<FindAnswer> for Control {
    type Return = Option<Arc<Answer>>;

    async fn handle(&mut self, message: FindAnswer, _: &mut ActorContext<Self>) -> Self::Return {
        let ticket = self.by_key.get(&message.0)?;
        self.requests.get(ticket).map(|request| Arc::clone(&request.answer))
    }
}

impl Handler<Remaining> for Control {
    type Return = RemainingWork;

    async fn handle(&mut self, _: Remaining, _: &mut ActorContext<Self>) -> RemainingWork {
        RemainingWork { requests: self.node.request_count(), lease: !self.node.is_released() }
    }
}

impl Handler<HandOver> for Control {
    type Return = ();

    async fn handle(&mut self, _: HandOver, _: &mut ActorContext<Self>) {
        let now = self.context.clock.now();
        let copy = self.node.hand_over(now);
        let peers: Vec<String> =
            self.node.members().reachable(now).into_iter().map(|peer| peer.address).collect();
        let sends = peers
            .into_iter()
            .map(|address| effects::hand_over(Arc::clone(&self.context), address, copy.clone()));
        for send in sends {
            self.traffic.spawn(send);
        }
    }
}

/// Implements the handlers of messages that map to one node event and have no answer.
macro_rules! node_event {
    ($($message:ty, $given:ident => $event:expr;)*) => {
        $(impl Handler<$message> for Control {
            type Return = ();

            async fn handle(&mut self, $given: $message, _: &mut ActorContext<Self>) {
                self.process($event);
            }
        })*
    };
}

node_event! {
    FetchFailed, given => Event::FetchFailed(&given.0);
    Pointer, given => Event::Pointer { revision: Revision(given.0.revision), hash: &given.0.hash };
    Listed, given => Event::Listed {
        instances: &given.0.instances,
        targets: &given.0.targets,
    };
    Polled, given => Event::Polled { target: &given.target, report: given.report.as_ref() };
    Answered, given => Event::Answered(&given.0);
    Unanswered, given => Event::Unanswered(&given.0);
    LookupReplied, given => Event::Traffic(policy::Event::LookupReply(&given.0));
    RecordsCopied, given => Event::Traffic(policy::Event::RecordsCopy(&given.0));
    LeaseAnswered, given => Event::Lease { call: &given.call, answer: given.answer.clone() };
    RecordWritten, given => Event::RecordWritten {
        rollout: &given.rollout,
        result: given.result.clone(),
    };
    RecordsRead, given => Event::RecordsRead(given.0);
    RecordsSeen, given => Event::RecordsSeen(&given.0);
    Ordered, given => Event::Ordered { target: &given.target, result: given.result };
    Leave, _given => Event::Leave;
    StopAccepting, _given => Event::Stop;
}
