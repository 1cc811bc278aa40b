//! Lifecycle of an instance: start, periodic work, reload of settings, and planned stop.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use http::{Response, StatusCode};
use sesamewind_gateway::gateway::Identity;
use sesamewind_gateway::quota::QuotaBounds;
use sesamewind_gateway::table::CallerLimits;
use sesamewind_gateway::{Event, Gateway, Tuning};
use sesamewind_protocol::relay::Topic;
use sesamewind_runtime::clock::Clock;
use sesamewind_runtime::sink::DroppedLines;
use sesamewind_settings::RelaySettings;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch::Sender;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use crate::activity::UseCount;
use crate::answer::{Answer, AnswerBody};
use crate::callers;
use crate::driver::Driver;
use crate::held_parts;
use crate::metrics::Metrics;
use crate::passing::{self, PeerLink};
use crate::peers::Peers;
use crate::server::{self, Limits, Phase, Shared};
use crate::source::{Announcement, Source};
use crate::watch;
use crate::watchdog;
use crate::wire_format::WireFormat;

/// Interval at which the gateway checks waiting requests.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval of cleaning up idle connections, checking the settings file, and reporting dropped log
/// lines.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the stop signal during which new connections are still expected: the load balancer
/// probes readiness once a second and removes an instance after two negative answers.
const BALANCER_DELAY: Duration = Duration::from_millis(2_500);

/// Time after the stop signal at which new requests start to be refused, which leaves most of the
/// grace time to the requests in flight.
const REFUSE_DELAY: Duration = Duration::from_millis(2_800);

/// Time before the end of the grace time at which the process exits on its own.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// Number of checks in a row at which nothing may be open, on its way in or being answered before a
/// stopping instance exits.
const QUIET_POLLS: u32 = 4;

/// Interval at which a stopping instance checks for open requests.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why an instance could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The asynchronous runtime could not be created.
    #[error("asynchronous runtime could not be created")]
    Runtime,
    /// A listener could not be bound.
    #[error("listener could not be bound")]
    Bind,
    /// Signal handlers could not be installed.
    #[error("signal handlers could not be installed")]
    Signals,
}

/// An instance that is ready to run.
#[derive(Debug)]
pub struct Instance<'a> {
    /// Settings of the instance.
    pub settings: RelaySettings,
    /// File that the settings were read from.
    pub path: &'a Path,
    /// Format of requests from callers and answers from targets.
    pub wire_format: Rc<dyn WireFormat>,
    /// Client of the platform's store.
    pub source: Rc<dyn Source>,
    /// Counter of dropped log lines.
    pub dropped: DroppedLines,
}

impl Instance<'_> {
    /// Runs the instance until it has received the stop signal and has stopped.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if the instance could not be started.
    pub fn run(self) -> Result<(), Report<StartError>> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .change_context(StartError::Runtime)?;
        let tasks = LocalSet::new();
        tasks.block_on(&runtime, self.serve())
    }

    async fn serve(self) -> Result<(), Report<StartError>> {
        // Installed before the listeners are bound, so that a stop signal during startup leads to a
        // planned stop.
        let mut terminate = signal(SignalKind::terminate()).change_context(StartError::Signals)?;
        let mut hangup = signal(SignalKind::hangup()).change_context(StartError::Signals)?;
        let clock = Clock::start();
        let settings = &self.settings;
        let me = Identity {
            instance: settings.name.clone(),
            incarnation: clock.incarnation(),
            zone: settings.zone.clone(),
            address: settings.listen.advertise.to_string(),
        };
        let gateway = Gateway::new(me, gateway_tuning(settings), rand::random());
        let peer_link = PeerLink::new(settings.token.clone());
        let driver = Driver::new(gateway, clock, Rc::clone(&self.wire_format), peer_link);
        let driver = Rc::new(driver);
        let peers = Rc::new(Peers::new(
            Rc::clone(&driver),
            settings.name.clone(),
            settings.zone.clone(),
            settings.token.clone(),
        ));
        watchdog::log_panics(&driver.metrics);
        let phase = Sender::new(Phase::Serving);
        let in_use = self.listen(&driver, &peers, &phase)?;
        self.follow(&driver, &peers);
        log::info!(
            event = "started",
            zone = settings.zone.as_str(),
            callers:% = settings.listen.callers,
            store:% = settings.store;
            "instance started"
        );
        let mut text = std::fs::read_to_string(self.path).ok();
        let mut grace = settings.bounds.grace;
        let mut tick = interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut sweep = interval(SWEEP_INTERVAL);
        sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = tick.tick() => {
                    driver.observe_turn(Instant::now());
                    driver.handle(Event::Tick);
                    driver.report_parts();
                    driver.report_limits();
                    driver.report_zones();
                    passing::update_reach(&driver);
                }
                _ = sweep.tick() => {
                    driver.pool.sweep();
                    driver.peer_link.sweep();
                    self.report_dropped();
                    driver.report_retries();
                    grace = self.reload(&driver, &mut text, false).unwrap_or(grace);
                }
                _ = hangup.recv() => {
                    grace = self.reload(&driver, &mut text, true).unwrap_or(grace);
                }
                _ = terminate.recv() => break,
            }
        }
        // The file may have changed since it was last read.
        grace = self.reload(&driver, &mut text, false).unwrap_or(grace);
        stop(&driver, &phase, &in_use, grace).await;
        Ok(())
    }

    /// Starts the listeners. Returns the number of callers' connections in use.
    fn listen(
        &self,
        driver: &Rc<Driver>,
        peers: &Rc<Peers>,
        phase: &Sender<Phase>,
    ) -> Result<UseCount, Report<StartError>> {
        let listen = &self.settings.listen;
        let bind = |address| server::bind(address).change_context(StartError::Bind);
        let callers = bind(listen.callers)?;
        let readiness = bind(listen.readiness)?;
        let inner = bind(listen.inner)?;
        let shared = Rc::clone(driver);
        let configured =
            move || shared.with_gateway(|g| limits(g.table().map(|table| table.limits)));
        let metrics = &driver.metrics;
        let shared = Rc::clone(driver);
        let serve = move |request| callers::serve(Rc::clone(&shared), request);
        let shared = common("callers", configured, phase, metrics);
        let in_use = shared.in_use.clone();
        spawn_local(server::serve(callers, serve, shared));
        let shared = Rc::clone(driver);
        let ready = move |_| std::future::ready(readiness_answer(&shared));
        let default = || limits(None);
        spawn_local(server::serve(readiness, ready, common("readiness", default, phase, metrics)));
        let shared = Rc::clone(peers);
        let serve = move |request| Rc::clone(&shared).serve(request);
        spawn_local(server::serve(inner, serve, common("inner", default, phase, metrics)));
        Ok(in_use)
    }

    fn follow(&self, driver: &Rc<Driver>, peers: &Rc<Peers>) {
        for topic in [Topic::Configuration, Topic::Targets] {
            let source = Rc::clone(&self.source);
            spawn_local(watch::follow(Rc::clone(driver), source, Rc::clone(peers), topic));
        }
        spawn_local(watch::evaluate_rollouts(Rc::clone(driver)));
        spawn_local(watch::record_rollouts(Rc::clone(driver), Rc::clone(&self.source)));
        spawn_local(watch::save_usage(Rc::clone(driver), Rc::clone(&self.source)));
        spawn_local(held_parts::exchange(Rc::clone(driver), Rc::clone(&self.source)));
        let me = Announcement {
            instance: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            address: self.settings.listen.advertise,
        };
        spawn_local(watch::announce(Rc::clone(driver), Rc::clone(&self.source), me));
        let source = Rc::clone(&self.source);
        spawn_local(watch::instances(Rc::clone(driver), Rc::clone(peers), source));
    }

    /// Reloads the settings if the file has changed or a reload was requested by signal. Returns the
    /// grace time of a stop if they were reloaded. Changed addresses take effect at the next start only.
    fn reload(&self, driver: &Driver, text: &mut Option<String>, asked: bool) -> Option<Duration> {
        let read = match std::fs::read_to_string(self.path) {
            Ok(read) => read,
            Err(err) => {
                log::warn!(event = "reload_failed", cause:% = err; "settings file can't be read");
                return None;
            }
        };
        if text.as_deref() == Some(read.as_str()) && !asked {
            return None;
        }
        let grace = match RelaySettings::load(self.path) {
            Ok(settings) => {
                let tuning = gateway_tuning(&settings);
                let now = driver.now();
                driver.with_gateway_mut(|gateway| gateway.retune(tuning, now));
                log::info!(event = "reloaded", asked; "settings reloaded");
                Some(settings.bounds.grace)
            }
            Err(faults) => {
                log::error!(
                    event = "reload_failed",
                    cause:% = faults;
                    "settings are invalid; keeping the previous ones"
                );
                None
            }
        };
        *text = Some(read);
        grace
    }

    fn report_dropped(&self) {
        let dropped = self.dropped.take();
        if dropped > 0 {
            log::warn!(event = "lines_dropped", dropped; "log lines dropped");
        }
    }
}

/// Performs a planned stop: reports not ready at once, asks callers to close their connections, and
/// returns when no request is open, on its way in or being answered, or the grace time is over.
async fn stop(driver: &Driver, phase: &Sender<Phase>, in_use: &UseCount, grace: Duration) {
    let start = Instant::now();
    let open = driver.with_gateway(Gateway::open_requests);
    log::info!(event = "stopping", open; "instance stopping");
    driver.with_gateway_mut(Gateway::set_unready);
    phase.send_replace(Phase::Closing);
    let end = start + grace.saturating_sub(GRACE_MARGIN);
    let refuse = start + REFUSE_DELAY;
    let balancer_done = start + BALANCER_DELAY;
    let (mut last, mut quiet) = (start, 0);
    loop {
        sleep(STOP_POLL_INTERVAL).await;
        driver.observe_turn(Instant::now());
        driver.handle(Event::Tick);
        let now = Instant::now();
        // What arrived while the process did not run has not been read yet.
        let is_late =
            now.duration_since(std::mem::replace(&mut last, now)) > 2 * STOP_POLL_INTERVAL;
        if now >= balancer_done {
            phase
                .send_if_modified(|phase| std::mem::replace(phase, Phase::Closed) != Phase::Closed);
        }
        let open = driver.with_gateway(Gateway::open_requests);
        let is_quiet = now >= balancer_done && open == 0 && in_use.get() == 0 && !is_late;
        quiet = if is_quiet { quiet + 1 } else { 0 };
        // Requests that arrive from now on are refused, since the exit would cut them off.
        if now >= refuse || is_quiet {
            driver.handle(Event::Stop);
        }
        if now >= end || quiet >= QUIET_POLLS {
            break;
        }
    }
    driver.report_retries();
    let open = driver.with_gateway(Gateway::open_requests);
    let level = if open == 0 { log::Level::Info } else { log::Level::Warn };
    log::log!(level, event = "stopped", cut = open, in_use = in_use.get(); "instance stopped");
    driver.exiting.set(true);
}

fn readiness_answer(driver: &Driver) -> Answer {
    let ready = driver.with_gateway(Gateway::is_ready);
    let mut answer = Response::new(AnswerBody::Whole(bytes::Bytes::new()));
    *answer.status_mut() = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    answer
}

fn common<L>(
    name: &'static str,
    limits: L,
    phase: &Sender<Phase>,
    metrics: &Rc<Metrics>,
) -> Shared<L> {
    Shared {
        name,
        limits,
        phase: phase.subscribe(),
        metrics: Rc::clone(metrics),
        in_use: UseCount::default(),
    }
}

fn limits(limits: Option<CallerLimits>) -> Limits {
    let limits = limits.unwrap_or_default();
    Limits {
        head_bytes: limits.head_bytes,
        head_timeout: limits.head_time,
        idle_timeout: limits.idle_time,
    }
}

fn gateway_tuning(settings: &RelaySettings) -> Tuning {
    let bounds = &settings.bounds;
    Tuning {
        retry_ratio: bounds.retry_ratio,
        retry_extra: bounds.retry_extra,
        retry_window: bounds.retry_window,
        quota: QuotaBounds {
            window: bounds.quota_window,
            overage: bounds.quota_overage,
            slack: bounds.quota_slack,
        },
        drain: bounds.drain,
        cold_overage: bounds.cold_overage,
        cold_slack: bounds.cold_slack,
        joined: !settings.first_start,
        hedge_share: settings.hedge_share,
        regions: settings.regions.clone(),
        ..Tuning::default()
    }
}
