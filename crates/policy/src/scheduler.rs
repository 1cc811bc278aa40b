//! The facade: takes events, returns actions.

use std::collections::HashMap;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sesamewind_protocol::record::{Life, LookupReply, Seen};
use sesamewind_protocol::traffic::{AccountUse, FloorAck, FloorRaise, TargetUse};
use sesamewind_protocol::{Code, ServiceId, TargetId, Time, VersionId, Wall};

use crate::action::Action;
use crate::attempt::{NotSent, Received, Sent};
use crate::config::Config;
use crate::event::{Arrival, End, Event, Ticket};
use crate::version::VersionChooser;
use crate::view::{Counters, QueueView, TargetView};

/// Decides on all traffic of one instance.
#[derive(Debug)]
pub struct Scheduler {
    me: Life,
    rng: ChaCha8Rng,
    targets: HashMap<TargetId, TargetState>,
    running: HashMap<Ticket, (TargetId, Sent)>,
    counters: Counters,
}

#[derive(Debug)]
struct TargetState {
    service: ServiceId,
    versions: Vec<VersionId>,
    down: bool,
    requests: u32,
}

impl Scheduler {
    /// A scheduler of the life `me` of an instance; `seed` feeds its random choices.
    pub fn new(config: &Config, me: Life, seed: u64) -> Self {
        let mut this = Self {
            me,
            rng: ChaCha8Rng::seed_from_u64(seed),
            targets: HashMap::new(),
            running: HashMap::new(),
            counters: Counters::default(),
        };
        this.configure(config, Time::ZERO);
        this
    }

    /// Takes a new configuration; what was learned of things that stay is kept.
    pub fn configure(&mut self, config: &Config, _now: Time) {
        self.targets.retain(|id, _| config.targets.iter().any(|target| target.id == *id));
        for target in &config.targets {
            self.targets.entry(target.id.clone()).or_insert_with(|| TargetState {
                service: target.service.clone(),
                versions: Vec::new(),
                down: false,
                requests: 0,
            });
        }
    }

    /// Takes an event and says what to do.
    pub fn handle(
        &mut self,
        event: Event<'_>,
        versions: &dyn VersionChooser,
        _now: Time,
        wall: Wall,
    ) -> Vec<Action> {
        match event {
            Event::Arrive(arrival) => vec![self.arrive(&arrival, versions, wall)],
            Event::WriteCheck { ticket } => vec![Action::Go { ticket }],
            Event::Finished { ticket, end } => self.finish(ticket, end),
            Event::TargetReport(report) => {
                if let Some(target) = self.targets.get_mut(&report.target) {
                    target.versions = report.versions.clone();
                    target.down = report.leaving;
                }
                Vec::new()
            }
            Event::TargetAssumed { target, versions } => {
                if let Some(target) = self.targets.get_mut(target) {
                    target.versions = versions.to_vec();
                }
                Vec::new()
            }
            Event::Lookup(lookup) => vec![Action::Reply {
                to: lookup.asker.instance.clone(),
                reply: LookupReply {
                    key: lookup.key,
                    from: self.me.clone(),
                    seen: Seen::Held,
                    known: Vec::new(),
                },
            }],
            _ => Vec::new(),
        }
    }

    /// Does what is due by time alone; call it every 20 to 50 ms.
    pub fn tick(&mut self, _versions: &dyn VersionChooser, _now: Time, _wall: Wall) -> Vec<Action> {
        Vec::new()
    }

    /// Whether first attempts are taken without asking peers.
    pub fn joined(&self) -> bool {
        true
    }

    /// This instance's work in flight per target, for peers.
    pub fn target_use(&self) -> Vec<TargetUse> {
        let mut digest: Vec<TargetUse> = Vec::new();
        for (id, target) in &self.targets {
            if target.requests > 0 {
                digest.push(TargetUse { target: id.clone(), requests: target.requests, tokens: 0 });
            }
        }
        digest
    }

    /// What accounts ask of this instance, for peers; active accounts only.
    pub fn account_use(&self, _now: Time) -> Vec<AccountUse> {
        Vec::new()
    }

    /// Tier floors in force that this instance raised.
    pub fn floors(&self, _now: Time) -> Vec<FloorRaise> {
        Vec::new()
    }

    /// Floors of peers under which this instance runs nothing lower.
    pub fn floor_acks(&self) -> Vec<FloorAck> {
        Vec::new()
    }

    /// The targets as this instance sees them.
    pub fn targets_view(&self) -> Vec<TargetView> {
        Vec::new()
    }

    /// The queues of every service.
    pub fn queue_view(&self, _now: Time) -> Vec<QueueView> {
        Vec::new()
    }

    /// Counts since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    fn arrive(&mut self, arrival: &Arrival, versions: &dyn VersionChooser, wall: Wall) -> Action {
        let version = versions.choose(&arrival.service, &arrival.route, &arrival.key, wall);
        let usable = |target: &TargetState| {
            target.service == arrival.service && !target.down && target.versions.contains(&version)
        };
        let mut best: Vec<(&TargetId, &mut TargetState)> =
            self.targets.iter_mut().filter(|(_, target)| usable(target)).collect();
        let received = Received::new(arrival.ticket);
        let Some(least) = best.iter().map(|(_, target)| target.requests).min() else {
            *self.counters.refusals.entry(Code::NoTarget).or_default() += 1;
            return Action::Refuse(received.refuse(Code::NoTarget, None));
        };
        best.retain(|(_, target)| target.requests == least);
        let pick = self.rng.random_range(0..best.len());
        let (id, target) = best.swap_remove(pick);
        target.requests += 1;
        let sent = received.enqueue().dispatch().send();
        self.running.insert(arrival.ticket, (id.clone(), sent));
        self.counters.dispatched += 1;
        Action::Dispatch { ticket: arrival.ticket, target: id.clone(), version }
    }

    fn finish(&mut self, ticket: Ticket, end: End) -> Vec<Action> {
        let Some((id, sent)) = self.running.remove(&ticket) else { return Vec::new() };
        if let Some(target) = self.targets.get_mut(&id) {
            target.requests -= 1;
        }
        let refusal = match end {
            End::Complete => {
                self.counters.completed += 1;
                return Vec::new();
            }
            End::RefusedNotRun | End::ConnectFailed | End::Broken { sent: false } => {
                sent.withdraw(NotSent::reported()).refuse(Code::TargetRefused, None)
            }
            End::Broken { sent: true } => sent.end(Code::OutcomeUnknown),
            End::Failed => sent.fail(Code::TargetFailed),
        };
        *self.counters.refusals.entry(refusal.code()).or_default() += 1;
        vec![Action::Refuse(refusal)]
    }
}
