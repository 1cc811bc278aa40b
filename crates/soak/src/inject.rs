//! Injects the planned faults.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use sesamewind_adapter::names;
use sesamewind_standins::proxy::{FaultProxy, Flow, Side};
use sesamewind_standins::relay::settings::GRACE;
use sesamewind_standins::relay::{Behaviour, RelayTarget, RowStore, StoreMode, TargetOptions};
use tokio::sync::Mutex;
use tokio::time::sleep;

use crate::callers::EVENTS;
use crate::configuration::{Aspect, SPARE_SERVICE, configuration, idle_limit_ms};
use crate::plan::{Fault, LinkFault, PlannedFault};
use crate::process::Process;
use crate::record::{Change, Record, Scope};

/// Time until the entry of a crashed target expires.
const ENTRY_EXPIRY: Duration = Duration::from_millis(1_500);

/// Time from marking a target's entry as leaving until the entry is removed; the target keeps
/// serving meanwhile.
const LEAVING_TIME: Duration = Duration::from_millis(3_500);

/// Pause between two stops of a rolling stop.
const ROLLING_PAUSE: Duration = Duration::from_millis(1_500);

/// Pause between two configurations.
const CONFIGURE_PAUSE: Duration = Duration::from_millis(300);

/// Number of requests that a target handles with a scripted behaviour.
const SCRIPTED_REQUESTS: usize = 4;

/// Time before each event of a stream, and before a plain answer.
const EVENT_DELAY: Duration = Duration::from_millis(10);

/// Margin over the grace time by which a stopped process must have exited.
const GRACE_MARGIN: Duration = Duration::from_millis(50);

/// The store, processes and targets of a run, on which faults act.
#[derive(Debug)]
pub struct Deployment {
    /// The store.
    pub store: RowStore,
    /// The instances.
    pub processes: Arc<Vec<Process>>,
    /// The targets, including those that have left.
    pub targets: Mutex<Vec<Arc<RelayTarget>>>,
    /// Record of the run.
    pub record: Arc<Record>,
    /// Version of the configuration that was written last.
    pub version: Arc<AtomicU64>,
    /// Aspects of that configuration that are in their second form.
    pub changed: Mutex<HashSet<Aspect>>,
}

impl Deployment {
    /// Starts and registers a target: a plain service or a model engine.
    pub async fn add_target(&self, plain: bool) {
        self.add_target_of(if plain { "plain" } else { "model" }, plain).await;
    }

    /// Starts and registers a target of the spare service.
    pub async fn add_spare_target(&self) {
        self.add_target_of(SPARE_SERVICE, true).await;
    }

    async fn add_target_of(&self, service: &str, plain: bool) {
        let mut targets = self.targets.lock().await;
        let options = TargetOptions {
            id: format!("i-{}{}", if plain { "p" } else { "m" }, targets.len()),
            service: service.to_owned(),
            stream: !plain,
            events: EVENTS,
            delay: EVENT_DELAY,
            ..TargetOptions::default()
        };
        targets.push(Arc::new(RelayTarget::start(options, &self.store).await));
    }

    /// Writes a new configuration.
    pub async fn configure(&self) {
        let changed = self.changed.lock().await;
        let version = self.version.load(Ordering::Relaxed) + 3;
        self.store.configure(&configuration(version, &changed));
        self.record.changed(Change::Configured(version));
        self.record.changed(Change::IdleLimit(idle_limit_ms(&changed)));
        self.version.store(version, Ordering::Relaxed);
    }

    /// Changes an aspect of the configuration to its other form, and writes the configuration.
    async fn change(&self, aspect: Aspect) {
        let mut changed = self.changed.lock().await;
        if !changed.remove(&aspect) {
            changed.insert(aspect);
        }
        drop(changed);
        self.configure().await;
    }

    /// Injects a planned fault and, if the fault has a duration, ends it afterwards.
    pub async fn inject(&self, planned: PlannedFault) {
        let length = planned.length;
        match planned.fault {
            Fault::Kill(instance) => self.kill(&[instance], length).await,
            Fault::KillAll => {
                let all: Vec<usize> = (0..self.processes.len()).collect();
                self.kill(&all, length).await;
            }
            Fault::Stop(instance) => self.stop(instance).await,
            Fault::StopWithSignals(instance) => {
                tokio::join!(self.stop(instance), self.signal_stopping(instance, length));
            }
            Fault::RollingStop => {
                for instance in 0..self.processes.len() / 2 {
                    self.stop(instance).await;
                    sleep(ROLLING_PAUSE).await;
                }
            }
            Fault::Freeze(instance) => {
                let disturbance = self.record.begin_disturbance(Scope::Instance(instance));
                self.processes[instance].signal(libc::SIGSTOP);
                sleep(length).await;
                self.processes[instance].signal(libc::SIGCONT);
                self.record.end_disturbance(disturbance);
            }
            Fault::Reload(instance) => self.processes[instance].reload(),
            Fault::Store(mode) => {
                let disturbance = self.record.begin_disturbance(Scope::Store);
                self.store.set_mode(mode);
                sleep(length).await;
                self.store.set_mode(StoreMode::Up);
                if let StoreMode::LateWrites(after) = mode {
                    sleep(after).await;
                }
                self.record.end_disturbance(disturbance);
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
            Fault::TargetPause(number, events, millis) => {
                self.pause(number, Behaviour::Pause(events, millis)).await;
            }
            Fault::TargetScript(number, behaviour) => {
                let disturbance = self.record.begin_disturbance(Scope::Targets);
                self.target(number).await.script().extend(&[behaviour; SCRIPTED_REQUESTS]);
                sleep(length).await;
                self.target(number).await.script().clear();
                self.record.end_disturbance(disturbance);
            }
            Fault::TargetLimit(number, rate) => {
                let target = self.target(number).await;
                target.set_limit(Some(f64::from(rate) / 1_000.0));
                sleep(length).await;
                target.set_limit(None);
            }
            Fault::Configure(count) => {
                for _ in 0..count {
                    self.configure().await;
                    sleep(CONFIGURE_PAUSE).await;
                }
            }
            Fault::Change(aspect, count) => {
                for _ in 0..count {
                    self.change(aspect).await;
                    sleep(CONFIGURE_PAUSE).await;
                }
            }
        }
    }

    /// Makes one target, or all targets, pause in some answers, which does not disturb them.
    async fn pause(&self, number: Option<usize>, pause: Behaviour) {
        let targets = self.targets.lock().await;
        let chosen = number.map_or(0..targets.len(), |number| number..number + 1);
        for target in &targets[chosen] {
            target.script().extend(&[pause; SCRIPTED_REQUESTS]);
        }
    }

    async fn target(&self, number: usize) -> Arc<RelayTarget> {
        Arc::clone(&self.targets.lock().await[number])
    }

    async fn kill(&self, instances: &[usize], length: Duration) {
        let mut disturbances = Vec::new();
        for &instance in instances {
            disturbances.push(self.record.begin_disturbance(Scope::Instance(instance)));
        }
        let killed: Vec<usize> =
            instances.iter().copied().filter(|&instance| self.processes[instance].kill()).collect();
        sleep(length).await;
        for instance in killed {
            self.processes[instance].start();
        }
        for disturbance in disturbances {
            self.record.end_disturbance(disturbance);
        }
    }

    /// Stops a process as planned, checks how it exits, and restarts it.
    async fn stop(&self, instance: usize) {
        let process = &self.processes[instance];
        let begin = Instant::now();
        let starting = process.is_starting();
        self.record.changed(Change::Stopping(instance));
        let Some((status, took)) = process.stop().await else { return };
        let undisturbed = self.record.events().is_undisturbed(
            &[Scope::Instance(instance)],
            begin,
            Instant::now(),
        );
        if let Some(status) = status
            && !status.success()
            && !starting
        {
            let seen = format!("{} exited with {status} after the stop signal", process.name);
            self.record.breach("stop", seen);
        }
        if undisturbed && status.is_none() && took > GRACE + GRACE_MARGIN {
            self.record.breach("stop", format!("{} did not exit within {took:?}", process.name));
        }
        process.start();
    }

    /// Signals a process to reload and to stop while it is already stopping.
    async fn signal_stopping(&self, instance: usize, length: Duration) {
        for signal in [libc::SIGHUP, libc::SIGTERM] {
            sleep(length / 3).await;
            self.processes[instance].signal_if_stopping(signal);
        }
    }

    async fn disturb_link(
        &self,
        scope: Scope,
        link: &FaultProxy,
        fault: LinkFault,
        length: Duration,
    ) {
        let disturbance = self.record.begin_disturbance(scope);
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
            // Connections that have lost bytes can't be used again.
            if matches!(fault, LinkFault::Silence(_)) {
                link.close_open().await;
            }
            link.restore().await;
        }
        self.record.end_disturbance(disturbance);
    }

    /// Cuts a target off, removes its entry once it expires, and restores the target and its entry.
    async fn crash(&self, number: usize, length: Duration) {
        let target = self.target(number).await;
        let disturbance = self.record.begin_disturbance(Scope::Targets);
        target.proxy().cut().await;
        sleep(length.min(ENTRY_EXPIRY)).await;
        if length > ENTRY_EXPIRY {
            target.deregister(&self.store);
            sleep(length - ENTRY_EXPIRY).await;
        }
        target.proxy().restore().await;
        target.register(&self.store, names::STATE_READY);
        self.record.end_disturbance(disturbance);
    }

    /// Makes a target leave as planned, after a replacement was started.
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
