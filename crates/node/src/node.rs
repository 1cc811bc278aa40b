//! The state machine of one instance.

use sesamewind_policy as policy;
use sesamewind_policy::Scheduler;
use sesamewind_protocol::record::Life;
use sesamewind_protocol::{
    Incarnation, InstanceId, RequestKey, Revision, RouteId, ServiceId, Time, VersionId, Wall,
};
use sesamewind_sheet::Sheet;

use crate::convert;

/// What a node is made with.
#[derive(Debug, Clone)]
pub struct Options {
    /// The instance.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Limits of the scheduler.
    pub limits: policy::Limits,
    /// Seed of every random choice.
    pub seed: u64,
}

/// Something that happened.
#[derive(Debug)]
pub enum Event<'a> {
    /// Something that concerns requests or targets.
    Traffic(policy::Event<'a>),
    /// An accepted sheet was fetched and read.
    Sheet {
        /// Its revision.
        revision: Revision,
        /// The sheet.
        sheet: &'a Sheet,
    },
    /// Time passed.
    Tick,
}

/// Something to do.
#[derive(Debug)]
pub enum Action {
    /// Something that concerns requests or targets.
    Traffic(policy::Action),
    /// The sheet of this revision is in force from now on.
    Installed(Revision),
}

/// All decisions of one instance.
#[derive(Debug)]
pub struct Node {
    options: Options,
    scheduler: Scheduler,
    versions: Versions,
    revision: Revision,
}

/// Versions in use by service, for the scheduler's choice at dispatch.
#[derive(Debug, Default)]
struct Versions {
    in_use: Vec<(ServiceId, VersionId)>,
}

impl policy::VersionChooser for Versions {
    fn choose(
        &self,
        service: &ServiceId,
        _route: &RouteId,
        _key: &RequestKey,
        _wall: Wall,
    ) -> VersionId {
        let version = self.in_use.iter().find(|(name, _)| name == service);
        version.map_or_else(|| VersionId::new(""), |(_, version)| version.clone())
    }
}

impl Node {
    /// A node without a configuration.
    pub fn new(options: Options) -> Self {
        let config = policy::Config { limits: options.limits.clone(), ..Default::default() };
        let me = Life { instance: options.instance.clone(), incarnation: options.incarnation };
        let scheduler = Scheduler::new(&config, me, options.seed);
        Self { options, scheduler, versions: Versions::default(), revision: Revision::default() }
    }

    /// Takes an event and returns what to do.
    pub fn handle(&mut self, event: Event<'_>, now: Time, wall: Wall) -> Vec<Action> {
        match event {
            Event::Traffic(event) => wrap(self.scheduler.handle(event, &self.versions, now, wall)),
            Event::Sheet { revision, sheet } => self.install(revision, sheet, now, wall),
            Event::Tick => wrap(self.scheduler.tick(&self.versions, now, wall)),
        }
    }

    /// Revision of the configuration in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The scheduler, for views.
    pub fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// Takes a sheet unless it is older than what is in force.
    fn install(&mut self, revision: Revision, sheet: &Sheet, now: Time, wall: Wall) -> Vec<Action> {
        if revision <= self.revision {
            return Vec::new();
        }
        self.revision = revision;
        self.versions.in_use = sheet
            .services
            .iter()
            .map(|service| (service.name.clone(), service.version.clone()))
            .collect();
        self.scheduler.configure(&convert::scheduler(sheet, &self.options.limits), now);
        let mut actions = vec![Action::Installed(revision)];
        for target in &sheet.targets {
            let event = policy::Event::TargetAssumed {
                target: &target.name,
                versions: std::slice::from_ref(&target.version),
            };
            actions.extend(wrap(self.scheduler.handle(event, &self.versions, now, wall)));
        }
        actions
    }
}

fn wrap(actions: Vec<policy::Action>) -> Vec<Action> {
    actions.into_iter().map(Action::Traffic).collect()
}
