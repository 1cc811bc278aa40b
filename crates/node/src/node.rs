//! The state machine of one instance.

use std::collections::HashMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sesamewind_membership::{
    ConfigState, Deltas, Holder, Identity, InstallOutcome, LeaseManager, LeaseTiming, MemberEvent,
    Members, Source, Timing,
};
use sesamewind_policy as policy;
use sesamewind_policy::{QueueView, Scheduler, TargetView};
use sesamewind_protocol::message::{ConfigDigest, LeavingEntry};
use sesamewind_protocol::record::{InstanceIncarnation, RecordsCopy};
use sesamewind_protocol::target::LoadReport;
use sesamewind_protocol::{InstanceId, Revision, TargetId, Time, WallTime};
use sesamewind_rollout::{LeaseGrant, RolloutView, Rollouts};
use sesamewind_sheet::Sheet;

use crate::convert;
use crate::event::{Action, Event};
use crate::loads::{ClusterView, Loads, ReachChange};
use crate::requests::Requests;
use crate::versions::{Chooser, SheetVersions};

/// Name of the lease held by the rollout leader, the only instance that writes rollout records.
const LEADER_LEASE: &str = "steward";

/// Parameters of a [`Node`].
#[derive(Debug, Clone)]
pub struct Options {
    /// Identity of the instance.
    pub identity: Identity,
    /// Limits of the scheduler.
    pub limits: policy::Limits,
    /// Intervals and timeouts of membership.
    pub members: Timing,
    /// Intervals and durations of the rollout leader's lease.
    pub lease: LeaseTiming,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// The state machine that makes all decisions of one instance.
#[derive(Debug)]
pub struct Node {
    pub(crate) limits: policy::Limits,
    pub(crate) scheduler: Scheduler,
    pub(crate) rollouts: Rollouts,
    pub(crate) members: Members,
    pub(crate) config: ConfigState,
    pub(crate) deltas: Deltas,
    pub(crate) loads: Loads,
    pub(crate) requests: Requests,
    lease: LeaseManager,
    sheet_versions: SheetVersions,
    announced_leaving: Vec<LeavingEntry>,
    announced_peers: Option<(Vec<InstanceIncarnation>, Vec<InstanceId>)>,
    /// Whether the platform's list or a peer's message was received. Before that, the members are
    /// unknown.
    pub(crate) has_member_list: bool,
    pub(crate) revisions: HashMap<InstanceId, Revision>,
    has_rollouts: bool,
    rng: ChaCha8Rng,
}

impl Node {
    /// Creates a node without a configuration.
    pub fn new(options: Options) -> Self {
        let config = policy::Config { limits: options.limits.clone(), ..Default::default() };
        let identity = options.identity;
        let (instance, incarnation) = (identity.instance.clone(), identity.incarnation);
        let me = InstanceIncarnation { instance: instance.clone(), incarnation };
        let holder = Holder { instance: instance.clone(), incarnation };
        Self {
            limits: options.limits,
            scheduler: Scheduler::new(&config, me, options.seed),
            rollouts: Rollouts::new(instance, incarnation),
            members: Members::new(identity, options.members),
            config: ConfigState::new(),
            deltas: Deltas::new(incarnation),
            loads: Loads::default(),
            requests: Requests::default(),
            lease: LeaseManager::new(LEADER_LEASE, holder, options.lease),
            sheet_versions: SheetVersions::default(),
            announced_leaving: Vec::new(),
            announced_peers: None,
            has_member_list: false,
            revisions: HashMap::new(),
            has_rollouts: false,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
        }
    }

    /// Processes an event and returns the resulting actions.
    pub fn handle(&mut self, event: Event<'_>, now: Time, wall: WallTime) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Traffic(event) => self.schedule(event, now, wall, &mut actions),
            Event::Closed(ticket) => self.requests.close(ticket),
            Event::Polled { target, report } => {
                self.on_poll_result(target, report, now, wall, &mut actions);
            }
            Event::Listed { instances, targets } => {
                self.has_member_list = true;
                self.members.on_list(instances, targets, now);
                self.announce_leaving(now, wall, &mut actions);
            }
            Event::Pointer { revision, hash } => {
                let fetch = self.config.offer(revision, hash, Source::Store);
                actions.extend(fetch.map(Action::Fetch));
            }
            Event::Sheet { revision, hash, sheet } => {
                self.install(revision, hash, sheet, now, wall, &mut actions);
            }
            Event::FetchFailed(fetch) => {
                actions.extend(self.config.on_fetch_failed(fetch).map(Action::Fetch));
            }
            Event::Exchange(message) => self.receive(message, false, now, wall, &mut actions),
            Event::Answered(message) => self.receive(message, true, now, wall, &mut actions),
            Event::Unanswered(instance) => self.members.on_failure(instance, now),
            Event::Lease { call, answer } => self.lease.on_result(call, answer, now),
            Event::RecordWritten { rollout, result } => self.rollouts.on_write(rollout, result),
            Event::RecordsRead(result) => self.rollouts.on_read(result),
            Event::RecordsSeen(entries) => {
                for entry in entries {
                    self.rollouts.on_record(&entry.rollout, entry.revision, entry.record.clone());
                }
            }
            Event::Ordered { target, result } => self.rollouts.on_order(target, result),
            Event::Leave => {
                self.lease.release(now);
                self.members.stop();
                self.members.mark_urgent();
            }
            Event::Stop => self.schedule(policy::Event::Stop, now, wall, &mut actions),
            Event::Tick => self.tick(now, wall, &mut actions),
        }
        actions
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> &ConfigDigest {
        self.config.in_force()
    }

    /// Returns the revision in force at a peer as last reported, or zero if it is unknown.
    pub fn revision_at(&self, peer: &InstanceId) -> Revision {
        self.revisions.get(peer).copied().unwrap_or_default()
    }

    /// Returns the members, for the operators' views.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the scheduler's counters since the start.
    pub fn counters(&self) -> &policy::Counters {
        self.scheduler.counters()
    }

    /// Returns this instance's view of the targets.
    pub fn targets(&self) -> Vec<TargetView> {
        self.scheduler.targets_view()
    }

    /// Returns the queues of all services.
    pub fn queues(&self, now: Time) -> Vec<QueueView> {
        self.scheduler.queue_view(now)
    }

    /// Returns the operators' view of the rollouts.
    pub fn rollouts(&self, wall: WallTime) -> Vec<RolloutView> {
        self.rollouts.view(wall)
    }

    /// Returns the number of open requests, queued or dispatched.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns this instance's request records for its peers. Call it after the instance has
    /// stopped accepting requests.
    pub fn hand_over(&self, now: Time) -> RecordsCopy {
        self.scheduler.hand_over(now)
    }

    /// Returns whether the release of the lease, which [`Event::Leave`] starts, is complete.
    pub fn is_released(&self) -> bool {
        self.lease.is_released()
    }

    /// Returns whether this instance accepts first attempts without asking its peers.
    pub fn is_joined(&self) -> bool {
        self.scheduler.has_joined()
    }

    /// Passes an event to the scheduler and processes the resulting actions.
    pub(crate) fn schedule(
        &mut self,
        event: policy::Event<'_>,
        now: Time,
        wall: WallTime,
        actions: &mut Vec<Action>,
    ) {
        self.requests.on_event(&event, &mut self.rollouts, now, wall);
        let chooser = Chooser { rollouts: &self.rollouts, sheet_versions: &self.sheet_versions };
        let requested = self.scheduler.handle(event, &chooser, now, wall);
        self.process_actions(requested, now, wall, actions);
    }

    /// Notifies the scheduler of targets that have started to leave.
    pub(crate) fn announce_leaving(
        &mut self,
        now: Time,
        wall: WallTime,
        actions: &mut Vec<Action>,
    ) {
        let entries = self.members.leaving().entries();
        if entries == self.announced_leaving {
            return;
        }
        let is_new = |entry: &&LeavingEntry| !self.announced_leaving.contains(entry);
        let new_entries: Vec<LeavingEntry> = entries.iter().filter(is_new).cloned().collect();
        self.announced_leaving = entries;
        if new_entries.is_empty() {
            return;
        }
        self.members.mark_urgent();
        for LeavingEntry { target, incarnation } in &new_entries {
            let event = policy::Event::TargetLeaving { target, incarnation: *incarnation };
            self.schedule(event, now, wall, actions);
        }
    }

    /// Returns the incarnations of the reachable peers.
    pub(crate) fn reachable_incarnations(&self, now: Time) -> Vec<InstanceIncarnation> {
        let reachable = self.members.reachable(now).into_iter();
        reachable
            .map(|peer| InstanceIncarnation {
                instance: peer.instance,
                incarnation: peer.incarnation,
            })
            .collect()
    }

    /// Returns the reachable peers.
    pub(crate) fn reachable_ids(&self, now: Time) -> Vec<InstanceId> {
        self.members.reachable(now).into_iter().map(|peer| peer.instance).collect()
    }

    fn process_actions(
        &mut self,
        requested: Vec<policy::Action>,
        now: Time,
        wall: WallTime,
        actions: &mut Vec<Action>,
    ) {
        for action in requested {
            self.requests.on_action(&action, &mut self.rollouts, now, wall);
            if matches!(action, policy::Action::FloorChanged | policy::Action::LoadChanged) {
                self.members.mark_urgent();
            }
            actions.push(Action::Traffic(action));
        }
    }

    fn on_poll_result(
        &mut self,
        target: &TargetId,
        report: Option<&LoadReport>,
        now: Time,
        wall: WallTime,
        actions: &mut Vec<Action>,
    ) {
        match self.loads.on_poll(target, report) {
            ReachChange::Unchanged => {}
            ReachChange::Lost => {
                self.schedule(policy::Event::TargetDown { target }, now, wall, actions);
            }
            ReachChange::Regained => {
                self.schedule(policy::Event::TargetBack { target }, now, wall, actions);
            }
        }
        let Some(report) = report else { return };
        let (incarnation, leaving) = (report.incarnation, report.leaving);
        self.members.leaving_mut().on_report(target, incarnation, leaving, now);
        self.schedule(policy::Event::TargetReport(report), now, wall, actions);
        self.announce_leaving(now, wall, actions);
    }

    /// Puts a sheet into force unless its revision or a higher one is already in force.
    fn install(
        &mut self,
        revision: Revision,
        hash: &str,
        sheet: &Sheet,
        now: Time,
        wall: WallTime,
        actions: &mut Vec<Action>,
    ) {
        if self.config.install(revision, hash) == InstallOutcome::Stale {
            return;
        }
        let is_in_sheet = |target: &TargetId| sheet.targets.iter().any(|row| row.name == *target);
        self.loads.retain(is_in_sheet);
        self.sheet_versions = SheetVersions::new(sheet);
        let specs = convert::rollouts(sheet);
        self.has_rollouts |= !specs.is_empty();
        self.rollouts.configure(&specs, revision, wall);
        self.scheduler.configure(&convert::scheduler(sheet, &self.limits), now);
        actions.push(Action::Installed(revision));
        for target in &sheet.targets {
            let versions = std::slice::from_ref(&target.version);
            let event = policy::Event::TargetAssumed { target: &target.name, versions };
            self.schedule(event, now, wall, actions);
        }
        self.members.mark_urgent();
    }

    fn tick(&mut self, now: Time, wall: WallTime, actions: &mut Vec<Action>) {
        let changes = self.members.tick(now);
        for change in &changes {
            if let MemberEvent::Forgotten(instance) = change {
                self.deltas.forget(instance);
            }
        }
        actions.extend(changes.into_iter().map(Action::Member));
        self.announce_peers(now, wall, actions);
        self.advance_rollouts(now, wall, actions);
        let chooser = Chooser { rollouts: &self.rollouts, sheet_versions: &self.sheet_versions };
        let requested = self.scheduler.tick(&chooser, now, wall);
        self.process_actions(requested, now, wall, actions);
        for peer in self.members.exchange_peers(now, &mut self.rng) {
            let message = Box::new(self.message(&peer.instance, peer.kind, now, wall));
            actions.push(Action::Send { peer, message });
        }
    }

    /// Notifies the scheduler of the known and reachable instances if they have changed.
    fn announce_peers(&mut self, now: Time, wall: WallTime, actions: &mut Vec<Action>) {
        let known = self.members.all_known(now).into_iter();
        let peers: Vec<InstanceIncarnation> = known
            .map(|peer| InstanceIncarnation {
                instance: peer.instance,
                incarnation: peer.incarnation,
            })
            .collect();
        let reachable = self.reachable_ids(now);
        let current = Some((peers, reachable));
        if !self.has_member_list || self.announced_peers == current {
            return;
        }
        self.announced_peers = current;
        let Some((peers, reachable)) = self.announced_peers.clone() else { return };
        let event = policy::Event::PeerSet { peers: &peers, reachable: &reachable };
        self.schedule(event, now, wall, actions);
    }

    /// Advances the rollouts. The instance competes for the lease only if a sheet that was in force
    /// since its start had a rollout.
    fn advance_rollouts(&mut self, now: Time, wall: WallTime, actions: &mut Vec<Action>) {
        if self.has_rollouts {
            actions.extend(self.lease.tick(now).map(Action::Lease));
        }
        let grant = self.lease.grant(now);
        let lease =
            grant.map(|grant| LeaseGrant { fence: grant.fence, valid_until: grant.valid_until });
        let peers = self.reachable_incarnations(now);
        let cluster = ClusterView { loads: &self.loads, peers: &peers, requests: &self.requests };
        let requested = self.rollouts.tick(now, wall, lease, &cluster);
        actions.extend(requested.into_iter().map(Action::Rollout));
    }
}
