//! Carries out the planned faults.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use sesamewind_adapter::names;
use sesamewind_standins::proxy::{FaultProxy, Flow, Side};
use sesamewind_standins::relay::settings::GRACE;
use sesamewind_standins::relay::{RelayTarget, RowStore, StoreMode, TargetOptions};
use tokio::sync::Mutex;
use tokio::time::sleep;

use crate::callers::EVENTS;
use crate::configuration::configuration;
use crate::plan::{Fault, LinkFault, Planned};
use crate::process::Process;
use crate::record::{Change, Record, Scope};

/// Time after which the entry of a target that ended lapses.
const LAPSE: Duration = Duration::from_millis(1_500);

/// Time for which a leaving target goes on serving after its entry said so.
const LEAVING_TIME: Duration = Duration::from_millis(3_500);

/// Pause between two stops of a rolling stop.
const ROLL_PAUSE: Duration = Duration::from_millis(1_500);

/// Pause between two configurations.
const CONFIGURE_PAUSE: Duration = Duration::from_millis(300);

/// Requests that a target treats otherwise.
const SCRIPTED: usize = 4;

/// Time between two events of a stream, and of a plain answer.
const EVENT_DELAY: Duration = Duration::from_millis(10);

/// Margin over the grace time within which a stopped process has to have ended.
const GRACE_MARGIN: Duration = Duration::from_millis(50);

/// Everything that faults act on.
#[derive(Debug)]
pub struct World {
    /// The store.
    pub store: RowStore,
    /// The instances.
    pub processes: Arc<Vec<Process>>,
    /// The targets, those that left included.
    pub targets: Mutex<Vec<Arc<RelayTarget>>>,
    /// What happened.
    pub record: Arc<Record>,
    /// Newest acknowledged version of the configuration.
    pub version: Arc<AtomicU64>,
}

impl World {
    /// Starts a target; the first ones are model engines and plain ones in turn.
    pub async fn add_target(&self, plain: bool) {
        let mut targets = self.targets.lock().await;
        let options = TargetOptions {
            id: format!("i-{}{}", if plain { "p" } else { "m" }, targets.len()),
            service: if plain { "plain" } else { "model" }.into(),
            stream: !plain,
            events: EVENTS,
            delay: EVENT_DELAY,
            ..TargetOptions::default()
        };
        targets.push(Arc::new(RelayTarget::start(options, &self.store).await));
    }

    /// Writes a new configuration.
    pub fn configure(&self) {
        let version = self.version.load(Ordering::Relaxed) + 3;
        self.store.configure(&configuration(version));
        self.record.changed(Change::Configured(version));
        self.version.store(version, Ordering::Relaxed);
    }

    /// Carries out a planned fault from its begin to its end.
    pub async fn inject(&self, planned: Planned) {
        let length = planned.length;
        match planned.fault {
            Fault::Kill(instance) => self.kill(&[instance], length).await,
            Fault::KillAll => {
                let all: Vec<usize> = (0..self.processes.len()).collect();
                self.kill(&all, length).await;
            }
            Fault::Stop(instance) => self.stop(instance).await,
            Fault::RollingStop => {
                for instance in 0..self.processes.len() / 2 {
                    self.stop(instance).await;
                    sleep(ROLL_PAUSE).await;
                }
            }
            Fault::Freeze(instance) => {
                let disturbance = self.record.disturb(Scope::Instance(instance));
                self.processes[instance].signal(libc::SIGSTOP);
                sleep(length).await;
                self.processes[instance].signal(libc::SIGCONT);
                self.record.calm(disturbance);
            }
            Fault::Reload(instance) => self.processes[instance].reload(),
            Fault::Store(mode) => {
                let disturbance = self.record.disturb(Scope::Store);
                self.store.set_mode(mode);
                sleep(length).await;
                self.store.set_mode(StoreMode::Up);
                if let StoreMode::LateWrites(after) = mode {
                    sleep(after).await;
                }
                self.record.calm(disturbance);
            }
            Fault::StoreLink(Some(instance), fault) => {
                let link = &self.processes[instance].store;
                self.disturb_link(Scope::Instance(instance), link, fault, length).await;
            }
            Fault::StoreLink(None, fault) => {
                self.disturb_link(Scope::Store, self.store.proxy(), fault, length).await;
            }
            Fault::PeerLink(instance, fault) => {
                let link = &self.processes[instance].peers;
                self.disturb_link(Scope::Instance(instance), link, fault, length).await;
            }
            Fault::CallerLink(instance, fault) => {
                let link = &self.processes[instance].callers;
                self.disturb_link(Scope::Instance(instance), link, fault, length).await;
            }
            Fault::TargetLink(number, fault) => {
                let target = self.target(number).await;
                self.disturb_link(Scope::Targets, target.proxy(), fault, length).await;
            }
            Fault::TargetCrash(number) => self.crash(number, length).await,
            Fault::TargetLeaves(number) => self.leave(number).await,
            Fault::Answers(number, behaviour) => {
                let disturbance = self.record.disturb(Scope::Targets);
                self.target(number).await.script().extend(&[behaviour; SCRIPTED]);
                sleep(length).await;
                self.target(number).await.script().clear();
                self.record.calm(disturbance);
            }
            Fault::Configure(count) => {
                for _ in 0..count {
                    self.configure();
                    sleep(CONFIGURE_PAUSE).await;
                }
            }
        }
    }

    async fn target(&self, number: usize) -> Arc<RelayTarget> {
        Arc::clone(&self.targets.lock().await[number])
    }

    async fn kill(&self, instances: &[usize], length: Duration) {
        let mut disturbances = Vec::new();
        for &instance in instances {
            disturbances.push(self.record.disturb(Scope::Instance(instance)));
        }
        let killed: Vec<usize> =
            instances.iter().copied().filter(|&one| self.processes[one].kill()).collect();
        sleep(length).await;
        for instance in killed {
            self.processes[instance].start();
        }
        for disturbance in disturbances {
            self.record.calm(disturbance);
        }
    }

    /// Stops a process as planned, checks its end, and starts it again.
    async fn stop(&self, instance: usize) {
        let process = &self.processes[instance];
        let begun = Instant::now();
        let starting = process.is_starting();
        self.record.changed(Change::Stopping(instance));
        let Some((status, took)) = process.stop().await else { return };
        let calm =
            self.record.events().is_calm(&[Scope::Instance(instance)], begun, Instant::now());
        if let Some(status) = status
            && !status.success()
            && !starting
        {
            let seen = format!("{} ended with {status} on a stop", process.name);
            self.record.breach("stop", seen);
        }
        if calm && status.is_none() && took > GRACE + GRACE_MARGIN {
            self.record.breach("stop", format!("{} did not end in {took:?}", process.name));
        }
        process.start();
    }

    async fn disturb_link(
        &self,
        scope: Scope,
        link: &FaultProxy,
        fault: LinkFault,
        length: Duration,
    ) {
        let disturbance = self.record.disturb(scope);
        match fault {
            LinkFault::Delay(delay) => link.delay(delay),
            LinkFault::Reset => link.close_open().await,
            LinkFault::Silence(side) => link.set(side, Flow::Drop),
            LinkFault::SilenceOpen => link.set_open(Side::Both, Flow::Drop),
            LinkFault::Hold => link.set(Side::Both, Flow::Freeze),
            LinkFault::Cut => link.cut().await,
        }
        sleep(length).await;
        if fault != LinkFault::SilenceOpen {
            // Connections that lost bytes never become whole again.
            if matches!(fault, LinkFault::Silence(_)) {
                link.close_open().await;
            }
            link.restore().await;
        }
        self.record.calm(disturbance);
    }

    /// A target ends, its entry lapses, and it is back under its name.
    async fn crash(&self, number: usize, length: Duration) {
        let target = self.target(number).await;
        let disturbance = self.record.disturb(Scope::Targets);
        target.proxy().cut().await;
        sleep(length.min(LAPSE)).await;
        if length > LAPSE {
            target.deregister(&self.store);
            sleep(length - LAPSE).await;
        }
        target.proxy().restore().await;
        target.register(&self.store, names::STATE_READY);
        self.record.calm(disturbance);
    }

    /// A target leaves as planned, after another one has come.
    async fn leave(&self, number: usize) {
        let target = self.target(number).await;
        let plain = target.id().starts_with("i-p");
        self.add_target(plain).await;
        target.register(&self.store, names::STATE_LEAVING);
        self.record.changed(Change::Leaving(target.id().to_owned()));
        sleep(LEAVING_TIME).await;
        target.deregister(&self.store);
    }
}
