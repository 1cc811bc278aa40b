//! The actor that makes all decisions of the instance, on the control thread.
//!
//! It passes events to the [`Node`] with the current time and executes the resulting actions. Steps
//! are sent to the jobs of requests. Calls to other processes run on the traffic threads, which
//! send the results to the actor as messages.

mod handlers;

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use sesamewind_membership::Source;
use sesamewind_node::{Action, Event, Node};
use sesamewind_policy as policy;
use sesamewind_policy::{AttemptOutcome, Ticket};
use sesamewind_protocol::{
    InstanceId, RequestKey, Revision, RolloutId, ServiceId, TargetId, Time, VersionId,
};
use sesamewind_rollout as rollout;
use tokio::runtime::Handle;
use tokio::sync::mpsc::UnboundedSender;

use crate::answer::Answer;
use crate::context::Context;
use crate::effects::{self, Order, WriteLimits};
use crate::problem::Problem;
use crate::step::Step;
use crate::targets::TargetAddress;

/// Retention of the answer of an ended request, for resends.
const ANSWER_RETENTION: Duration = Duration::from_secs(30);

/// Limit on the total size of the kept answers of ended requests. The oldest are evicted first.
const MAX_KEPT_BYTES: usize = 16 << 20;

/// A request that has a job or whose answer is kept.
#[derive(Debug)]
struct TrackedRequest {
    key: RequestKey,
    /// Whether the request has a caller's idempotency key, so that it may be resent.
    has_key: bool,
    steps: UnboundedSender<Step>,
    answer: Arc<Answer>,
}

/// The actor of the control thread.
#[derive(Debug, xtra::Actor)]
pub struct Control {
    node: Node,
    context: Arc<Context>,
    traffic: Handle,
    requests: HashMap<Ticket, TrackedRequest>,
    by_key: HashMap<RequestKey, Ticket>,
    ended: VecDeque<(Time, Ticket)>,
    /// Total bytes of the kept answers of ended requests.
    kept_bytes: usize,
}

impl Control {
    /// Creates the actor. `traffic` runs the calls that need sockets.
    pub fn new(node: Node, context: Arc<Context>, traffic: Handle) -> Self {
        Self {
            node,
            context,
            traffic,
            requests: HashMap::new(),
            by_key: HashMap::new(),
            ended: VecDeque::new(),
            kept_bytes: 0,
        }
    }

    /// Returns the node, for the operators' views.
    pub(crate) fn node(&self) -> &Node {
        &self.node
    }

    /// Returns why the instance is not ready, or an empty string if it is ready.
    pub(crate) fn unready_reason(&self) -> &'static str {
        if self.context.is_stopping() {
            return "the instance stops";
        }
        if self.node.in_force().revision == Revision(0) {
            return "no configuration: neither the store nor a peer has given one yet";
        }
        if !self.node.is_joined() {
            return "records of requests have not been copied from the peers yet";
        }
        ""
    }

    /// Returns the shared state of the instance.
    pub(crate) fn context(&self) -> &Context {
        &self.context
    }

    fn node_actions(&mut self, event: Event<'_>) -> Vec<Action> {
        self.node.handle(event, self.context.clock.now(), self.context.clock.wall())
    }

    fn process(&mut self, event: Event<'_>) {
        for action in self.node_actions(event) {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        let context = Arc::clone(&self.context);
        match action {
            Action::Traffic(action) => self.execute_traffic(action),
            Action::Installed(revision) => {
                context.metrics.set_revision(revision);
                log::info!(revision = revision.0; "configuration in force");
            }
            Action::Fetch(fetch) => {
                let address = match &fetch.source {
                    Source::Store => None,
                    Source::Peer(peer) => self.peer_address(peer),
                };
                self.spawn(effects::fetch(context, fetch, address));
            }
            Action::Send { peer, message } => {
                self.spawn(effects::exchange(context, peer, message));
            }
            Action::Lease(call) => self.spawn(effects::lease(context, call)),
            Action::Rollout(action) => self.execute_rollout(action),
            Action::Member(event) => log::info!("{event}"),
        }
    }

    fn execute_traffic(&mut self, action: policy::Action) {
        use policy::Action as Do;
        let context = Arc::clone(&self.context);
        match action {
            Do::Dispatch { ticket, target, version } => self.dispatch(ticket, &target, version),
            Do::Go { ticket } => self.step(ticket, Step::Go),
            Do::Resume { ticket, .. } => self.step(ticket, Step::Resume),
            Do::NoGo { ticket, refusal: Some(refusal) } => {
                self.step(ticket, Step::Refuse(problem(&refusal)));
            }
            // The attempt was answered before, and its job was sent the step that ends it.
            Do::NoGo { refusal: None, .. } => {}
            Do::Refuse(refusal) => self.step(refusal.ticket(), Step::Refuse(problem(&refusal))),
            Do::Cancel { ticket, refusal } => self.step(ticket, Step::Cancel(problem(&refusal))),
            Do::Probe { target } => {
                if let Some(at) = self.address_of(&target) {
                    self.spawn(effects::probe(context, at));
                }
            }
            Do::DropConnections { target } => context.targets.drop_connections(&target),
            Do::AttachLocal { ticket, to } => self.attach_local(ticket, to),
            Do::Attach { ticket, holder } => self.attach(ticket, &holder),
            Do::AskPeers { lookup, peers, .. } => {
                for address in self.peer_addresses(&peers) {
                    let lookup = lookup.clone();
                    self.spawn(effects::lookup(Arc::clone(&context), address, lookup));
                }
            }
            Do::AskRecords { request, peers } => {
                for address in self.peer_addresses(&peers) {
                    let request = request.clone();
                    self.spawn(effects::ask_records(Arc::clone(&context), address, request));
                }
            }
            Do::SendRecords { to, copy } => {
                if let Some(address) = self.peer_address(&to) {
                    self.spawn(effects::hand_over(context, address, copy));
                }
            }
            // Replies to peers are extracted by the message handlers for the peers' requests. For
            // the other two, the node has already moved its next exchange forward.
            Do::Reply { .. } | Do::FloorChanged | Do::LoadChanged => {}
        }
    }

    fn execute_rollout(&self, action: rollout::Action) {
        use rollout::Action as Do;
        let context = Arc::clone(&self.context);
        match action {
            Do::WriteRecord { rollout, expected, record, before, lease_until } => {
                let limits = WriteLimits { before, lease_until };
                self.spawn(effects::write_record(context, rollout, expected, record, limits));
            }
            Do::ReadRecords => self.spawn(effects::read_records(context)),
            Do::Order { target, fence, order, version, lease_until } => {
                let at = self.address_of(&target);
                let order = Order { fence, order, version, lease_until };
                self.spawn(effects::order(context, target, at, order));
            }
            Do::Event(event) => {
                let service = self.service_of(event.rollout());
                context.metrics.rollout_changed(&service, event.kind());
                log::info!(rollout:% = event.rollout(), kind = event.kind(); "{event}");
            }
        }
    }

    fn spawn(&self, effect: impl Future<Output = ()> + Send + 'static) {
        self.traffic.spawn(effect);
    }

    fn dispatch(&mut self, ticket: Ticket, target: &TargetId, version: VersionId) {
        let Some(at) = self.address_of(target) else {
            let end = AttemptOutcome::ConnectFailed;
            self.process(Event::Traffic(policy::Event::Finished { ticket, end }));
            return;
        };
        self.step(ticket, Step::Dispatch { at, version });
    }

    fn address_of(&self, target: &TargetId) -> Option<TargetAddress> {
        let installed = self.context.configuration()?;
        let row = installed.sheet.targets.iter().find(|row| row.name == *target)?;
        Some(TargetAddress { target: target.clone(), address: row.address.to_string() })
    }

    fn service_of(&self, rollout: &RolloutId) -> ServiceId {
        let installed = self.context.configuration();
        let row = installed
            .as_ref()
            .and_then(|installed| installed.sheet.rollouts.iter().find(|row| row.name == *rollout));
        row.map_or_else(|| ServiceId::new(""), |row| row.service.clone())
    }

    fn peer_address(&self, peer: &InstanceId) -> Option<String> {
        let now = self.context.clock.now();
        Some(self.node.members().known(peer, now)?.address)
    }

    fn peer_addresses(&self, peers: &[InstanceId]) -> Vec<String> {
        peers.iter().filter_map(|peer| self.peer_address(peer)).collect()
    }

    fn attach(&mut self, ticket: Ticket, holder: &InstanceId) {
        match self.peer_address(holder) {
            Some(address) => self.step(ticket, Step::Attach { address }),
            None => self.process(Event::Traffic(policy::Event::HolderLost { ticket })),
        }
    }

    fn attach_local(&mut self, ticket: Ticket, to: Ticket) {
        match self.requests.get(&to) {
            Some(request) => {
                let answer = Arc::clone(&request.answer);
                self.step(ticket, Step::AttachLocal(answer));
            }
            None => self.process(Event::Traffic(policy::Event::HolderLost { ticket })),
        }
    }

    fn step(&self, ticket: Ticket, step: Step) {
        // Sending fails if the job has ended, which then needs no steps.
        if let Some(request) = self.requests.get(&ticket) {
            let _ = request.steps.send(step);
        }
    }

    /// Keeps the answer of an ended request for a resend, unless the request has no key or the
    /// answer is too large.
    fn close(&mut self, ticket: Ticket) {
        let limit = self.context.settings.records.answer_limit;
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let Some(request) = self.requests.get(&ticket) else { return };
        let bytes = request.answer.bytes();
        if !request.has_key || bytes > limit {
            self.remove_request(ticket);
            return;
        }
        self.kept_bytes += bytes;
        self.ended.push_back((self.context.clock.now(), ticket));
    }

    fn remove_request(&mut self, ticket: Ticket) -> Option<TrackedRequest> {
        let request = self.requests.remove(&ticket)?;
        if self.by_key.get(&request.key) == Some(&ticket) {
            self.by_key.remove(&request.key);
        }
        Some(request)
    }

    /// Drops answers that are past their retention, and the oldest ones while the size limit is
    /// exceeded.
    fn evict_answers(&mut self, now: Time) {
        loop {
            let is_full = self.kept_bytes > MAX_KEPT_BYTES;
            let is_evictable = |ended: Time| is_full || now.since(ended) > ANSWER_RETENTION;
            let Some((_, ticket)) = self.ended.pop_front_if(|(ended, _)| is_evictable(*ended))
            else {
                return;
            };
            let request = self.remove_request(ticket);
            let bytes = request.map_or(0, |request| request.answer.bytes());
            self.kept_bytes = self.kept_bytes.saturating_sub(bytes);
        }
    }
}

fn problem(refusal: &policy::Refusal) -> Problem {
    Problem {
        code: refusal.code(),
        run: refusal.run(),
        retry_after: refusal.retry_after(),
        detail: String::new(),
    }
}
