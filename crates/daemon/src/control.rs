//! The actor that owns every decision of the instance, on the control thread.
//!
//! It hands events to the [`Node`] with the present time and carries out the node's actions: steps
//! go to the requests' jobs, calls to other processes are started on the traffic threads, whose
//! results come back as messages.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use sesamewind_node::{Action, Event, Node};
use sesamewind_policy as policy;
use sesamewind_policy::{Arrival, End, Ticket};
use sesamewind_protocol::operator::StatusBody;
use sesamewind_protocol::target::LoadReport;
use sesamewind_protocol::{RequestKey, Revision, TargetId, Time};
use tokio::runtime::Handle;
use tokio::sync::mpsc::UnboundedSender;
use xtra::{Context as ActorContext, Handler};

use crate::answer::Answer;
use crate::context::{Context, Installed};
use crate::problem::Problem;
use crate::step::Step;
use crate::targets::TargetAddress;

/// How long an ended request's answer can be read again.
const ANSWER_KEEP: Duration = Duration::from_secs(30);

/// Longest time of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// What a job tells of its request.
#[derive(Debug)]
pub enum Signal {
    /// The request is about to be written.
    WriteCheck,
    /// The target answered with its headers.
    Accepted,
    /// Tokens arrived.
    Tokens(u32),
    /// The attempt at the target ended.
    Finished(End),
    /// The target made no progress within the progress timeout.
    Silent,
    /// Nobody reads the answer any more.
    CallerGone,
    /// Somebody reads the answer again.
    CallerBack,
    /// The peer that holds the answer was lost.
    HolderLost,
    /// The job has ended.
    Closed,
}

/// A request arrived.
#[derive(Debug)]
pub struct Arrive {
    /// The request.
    pub arrival: Arrival,
    /// Where its job takes steps.
    pub steps: UnboundedSender<Step>,
    /// Its answer.
    pub answer: Arc<Answer>,
}

/// A job tells of its request.
#[derive(Debug)]
pub struct Told {
    /// The request.
    pub ticket: Ticket,
    /// What happened.
    pub signal: Signal,
}

/// Time passed.
#[derive(Debug)]
pub struct Tick;

/// A sheet was fetched and read.
#[derive(Debug)]
pub struct Fetched(pub Installed);

/// A target's load report, or that there was none in time.
#[derive(Debug)]
pub struct Polled {
    /// The target.
    pub target: TargetId,
    /// Its report.
    pub report: Option<LoadReport>,
}

/// Asks for the answer of a request that this instance holds.
#[derive(Debug)]
pub struct FindAnswer(pub RequestKey);

/// A probe over a new connection ended.
#[derive(Debug)]
pub struct Probed {
    target: TargetId,
    report: Option<LoadReport>,
}

/// A request that has a job or whose answer is kept.
#[derive(Debug)]
struct Held {
    key: RequestKey,
    steps: UnboundedSender<Step>,
    answer: Arc<Answer>,
}

/// The actor of the control thread.
#[derive(Debug, xtra::Actor)]
pub struct Control {
    node: Node,
    context: Arc<Context>,
    traffic: Handle,
    held: HashMap<Ticket, Held>,
    by_key: HashMap<RequestKey, Ticket>,
    ended: VecDeque<(Time, Ticket)>,
}

impl Control {
    /// Puts the actor together; `traffic` runs what needs sockets.
    pub fn new(node: Node, context: Arc<Context>, traffic: Handle) -> Self {
        Self {
            node,
            context,
            traffic,
            held: HashMap::new(),
            by_key: HashMap::new(),
            ended: VecDeque::new(),
        }
    }

    fn decide(&mut self, event: Event<'_>) {
        let now = self.context.clock.now();
        let wall = self.context.clock.wall();
        for action in self.node.handle(event, now, wall) {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Traffic(action) => self.carry_out_traffic(action),
            Action::Installed(revision) => {
                log::info!(revision = revision.0; "configuration in force");
            }
        }
    }

    fn carry_out_traffic(&mut self, action: policy::Action) {
        use policy::Action as Do;
        match action {
            Do::Dispatch { ticket, target, version } => self.dispatch(ticket, &target, version),
            Do::Go { ticket } => self.step(ticket, Step::Go),
            Do::Resume { ticket, .. } => self.step(ticket, Step::Resume),
            Do::NoGo { ticket, refusal } => self.step(ticket, Step::Refuse(problem(&refusal))),
            Do::Refuse(refusal) => self.step(refusal.ticket(), Step::Refuse(problem(&refusal))),
            Do::Cancel { ticket, refusal } => self.step(ticket, Step::Cancel(problem(&refusal))),
            Do::Probe { target } => self.probe(target),
            Do::DropConnections { target } => self.context.targets.drop_connections(&target),
            Do::AttachLocal { ticket, to } => self.attach_local(ticket, to),
            Do::AskPeers { .. }
            | Do::Reply { .. }
            | Do::Attach { .. }
            | Do::AskRecords { .. }
            | Do::SendRecords { .. }
            | Do::FloorChanged => {}
        }
    }

    fn dispatch(
        &mut self,
        ticket: Ticket,
        target: &TargetId,
        version: sesamewind_protocol::VersionId,
    ) {
        let Some(at) = self.address_of(target) else {
            let end = End::ConnectFailed;
            self.decide(Event::Traffic(policy::Event::Finished { ticket, end }));
            return;
        };
        self.step(ticket, Step::Dispatch { at, version });
    }

    fn address_of(&self, target: &TargetId) -> Option<TargetAddress> {
        let installed = self.context.configuration()?;
        let row = installed.sheet.targets.iter().find(|row| row.name == *target)?;
        Some(TargetAddress { target: target.clone(), address: row.address.to_string() })
    }

    fn attach_local(&mut self, ticket: Ticket, to: Ticket) {
        match self.held.get(&to) {
            Some(held) => {
                let answer = Arc::clone(&held.answer);
                self.step(ticket, Step::AttachLocal(answer));
            }
            None => self.decide(Event::Traffic(policy::Event::HolderLost { ticket })),
        }
    }

    fn probe(&self, target: TargetId) {
        let Some(at) = self.address_of(&target) else { return };
        let context = Arc::clone(&self.context);
        self.traffic.spawn(async move {
            let report = context.targets.probe(&at, PROBE_TIMEOUT).await.ok();
            context.tell(Probed { target, report });
        });
    }

    fn step(&self, ticket: Ticket, step: Step) {
        // A job that has ended takes no steps.
        if let Some(held) = self.held.get(&ticket) {
            let _ = held.steps.send(step);
        }
    }

    /// Forgets answers that were kept long enough.
    fn forget(&mut self, now: Time) {
        while let Some((_, ticket)) =
            self.ended.pop_front_if(|(ended, _)| now.since(*ended) > ANSWER_KEEP)
        {
            let Some(held) = self.held.remove(&ticket) else { continue };
            if self.by_key.get(&held.key) == Some(&ticket) {
                self.by_key.remove(&held.key);
            }
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

impl Handler<Arrive> for Control {
    type Return = ();

    async fn handle(&mut self, message: Arrive, _: &mut ActorContext<Self>) {
        let Arrive { arrival, steps, answer } = message;
        let (ticket, key) = (arrival.ticket, arrival.key);
        self.held.insert(ticket, Held { key, steps, answer });
        self.by_key.entry(key).or_insert(ticket);
        self.decide(Event::Traffic(policy::Event::Arrive(arrival)));
    }
}

impl Handler<Told> for Control {
    type Return = ();

    async fn handle(&mut self, message: Told, _: &mut ActorContext<Self>) {
        use policy::Event as Happened;
        let Told { ticket, signal } = message;
        let event = match signal {
            Signal::WriteCheck => Happened::WriteCheck { ticket },
            Signal::Accepted => Happened::Accepted { ticket },
            Signal::Tokens(n) => Happened::Tokens { ticket, n },
            Signal::Finished(end) => Happened::Finished { ticket, end },
            Signal::Silent => Happened::Silent { ticket },
            Signal::CallerGone => Happened::CallerGone { ticket },
            Signal::CallerBack => Happened::CallerBack { ticket },
            Signal::HolderLost => Happened::HolderLost { ticket },
            Signal::Closed => {
                self.ended.push_back((self.context.clock.now(), ticket));
                return;
            }
        };
        self.decide(Event::Traffic(event));
    }
}

impl Handler<Tick> for Control {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut ActorContext<Self>) {
        self.decide(Event::Tick);
        self.forget(self.context.clock.now());
    }
}

impl Handler<Fetched> for Control {
    type Return = ();

    async fn handle(&mut self, message: Fetched, _: &mut ActorContext<Self>) {
        let Fetched(installed) = message;
        let installed = Arc::new(installed);
        if installed.revision <= self.node.revision() {
            return;
        }
        // Jobs read addresses from the snapshot, so it must be there before the first dispatch.
        self.context.installed.store(Some(Arc::clone(&installed)));
        let revision = installed.revision;
        self.decide(Event::Sheet { revision, sheet: &installed.sheet });
    }
}

impl Handler<Polled> for Control {
    type Return = ();

    async fn handle(&mut self, message: Polled, _: &mut ActorContext<Self>) {
        if let Some(report) = &message.report {
            self.decide(Event::Traffic(policy::Event::TargetReport(report)));
        }
    }
}

impl Handler<Probed> for Control {
    type Return = ();

    async fn handle(&mut self, message: Probed, _: &mut ActorContext<Self>) {
        let Probed { target, report } = message;
        let ok = report.is_some();
        if let Some(report) = &report {
            self.decide(Event::Traffic(policy::Event::TargetReport(report)));
        }
        self.decide(Event::Traffic(policy::Event::ProbeResult { target: &target, ok }));
    }
}

impl Handler<FindAnswer> for Control {
    type Return = Option<Arc<Answer>>;

    async fn handle(&mut self, message: FindAnswer, _: &mut ActorContext<Self>) -> Self::Return {
        let ticket = self.by_key.get(&message.0)?;
        self.held.get(ticket).map(|held| Arc::clone(&held.answer))
    }
}

/// The revision in force, for the loops that poll.
#[derive(Debug)]
pub struct InForce;

impl Handler<InForce> for Control {
    type Return = Revision;

    async fn handle(&mut self, _: InForce, _: &mut ActorContext<Self>) -> Revision {
        self.node.revision()
    }
}

/// Asks for the instance's state.
#[derive(Debug)]
pub struct Status;

impl Handler<Status> for Control {
    type Return = StatusBody;

    async fn handle(&mut self, _: Status, _: &mut ActorContext<Self>) -> StatusBody {
        let settings = &self.context.settings;
        let revision = self.node.revision().0;
        let ready = revision > 0;
        let why = if ready { "" } else { "no configuration is in force yet" };
        StatusBody {
            instance: settings.instance.name.clone(),
            zone: settings.instance.zone.clone(),
            ready,
            why: why.to_owned(),
            revision,
            queued: 0,
            in_flight: 0,
        }
    }
}
