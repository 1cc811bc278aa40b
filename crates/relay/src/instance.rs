//! A running instance, from start to planned stop.

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
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, sleep_until};

use crate::answer::{Answer, AnswerBody};
use crate::callers;
use crate::driver::Driver;
use crate::peers::Peers;
use crate::server::{self, Limits, Phase};
use crate::source::{Announcement, Source};
use crate::watch;
use crate::wire_format::WireFormat;

/// Interval at which waiting requests are looked at.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval of what is done rarely: idle connections, the settings file, dropped log lines.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the stop signal for which new connections may still come: the balancer asks once a
/// second and takes an instance out after two answers.
const BALANCER_DELAY: Duration = Duration::from_millis(2_500);

/// Time after the stop signal from which new requests are refused, so that those in flight have
/// most of the grace time to end.
const REFUSE_DELAY: Duration = Duration::from_millis(2_800);

/// Time before the end of the grace time at which the process ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// Interval at which a stopping instance looks whether requests are left.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why an instance could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The runtime could not be made.
    #[error("runtime could not be started")]
    Runtime,
    /// A listener could not be bound.
    #[error("address could not be bound")]
    Bind,
    /// Signals can't be watched.
    #[error("signals can't be watched")]
    Signals,
}

/// What an instance is started with.
#[derive(Debug)]
pub struct Instance<'a> {
    /// Settings.
    pub settings: RelaySettings,
    /// File that the settings were read from.
    pub path: &'a Path,
    /// What callers and targets speak.
    pub wire_format: Rc<dyn WireFormat>,
    /// The platform's store.
    pub source: Rc<dyn Source>,
    /// Log lines that were dropped.
    pub dropped: DroppedLines,
}

impl Instance<'_> {
    /// Runs the instance until it is told to stop and has stopped.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if it could not be started.
    pub fn run(self) -> Result<(), Report<StartError>> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .change_context(StartError::Runtime)?;
        let tasks = LocalSet::new();
        tasks.block_on(&runtime, self.serve())
    }

    async fn serve(self) -> Result<(), Report<StartError>> {
        // Before the listeners, so that a stop during the start is an orderly one.
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
        let driver = Rc::new(Driver::new(gateway, clock, Rc::clone(&self.wire_format)));
        let peers = Rc::new(Peers::new(
            Rc::clone(&driver),
            settings.name.clone(),
            settings.zone.clone(),
            settings.token.clone(),
        ));
        let phase = Sender::new(Phase::Serving);
        self.listen(&driver, &peers, &phase)?;
        self.follow(&driver, &peers);
        log::info!(
            event = "started",
            zone = settings.zone.as_str(),
            callers:% = settings.listen.callers,
            store:% = settings.store;
            "instance started"
        );
        let mut text = std::fs::read_to_string(self.path).ok();
        let mut tick = interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut sweep = interval(SWEEP_INTERVAL);
        sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = tick.tick() => driver.handle(Event::Tick),
                _ = sweep.tick() => {
                    driver.pool.sweep();
                    self.report_dropped();
                    self.reload(&driver, &mut text, false);
                }
                _ = hangup.recv() => self.reload(&driver, &mut text, true),
                _ = terminate.recv() => break,
            }
        }
        stop(&driver, &phase, self.settings.bounds.grace).await;
        Ok(())
    }

    fn listen(
        &self,
        driver: &Rc<Driver>,
        peers: &Rc<Peers>,
        phase: &Sender<Phase>,
    ) -> Result<(), Report<StartError>> {
        let listen = &self.settings.listen;
        let bind = |address| server::bind(address).change_context(StartError::Bind);
        let callers = bind(listen.callers)?;
        let readiness = bind(listen.readiness)?;
        let inner = bind(listen.inner)?;
        let shared = Rc::clone(driver);
        let configured =
            move || shared.with_gateway(|g| limits(g.table().map(|table| table.limits)));
        let shared = Rc::clone(driver);
        let serve = move |request| callers::serve(Rc::clone(&shared), request);
        spawn_local(server::serve(callers, serve, configured, phase.subscribe()));
        let shared = Rc::clone(driver);
        let ready = move |_| std::future::ready(readiness_answer(&shared));
        spawn_local(server::serve(readiness, ready, || limits(None), phase.subscribe()));
        let shared = Rc::clone(peers);
        let serve = move |request| Rc::clone(&shared).serve(request);
        spawn_local(server::serve(inner, serve, || limits(None), phase.subscribe()));
        Ok(())
    }

    fn follow(&self, driver: &Rc<Driver>, peers: &Rc<Peers>) {
        for topic in [Topic::Configuration, Topic::Targets] {
            let source = Rc::clone(&self.source);
            spawn_local(watch::follow(Rc::clone(driver), source, Rc::clone(peers), topic));
        }
        spawn_local(watch::rollouts(Rc::clone(driver), Rc::clone(&self.source)));
        spawn_local(watch::save_usage(Rc::clone(driver), Rc::clone(&self.source)));
        let me = Announcement {
            instance: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            address: self.settings.listen.advertise,
        };
        spawn_local(watch::announce(Rc::clone(&self.source), me));
        let source = Rc::clone(&self.source);
        spawn_local(watch::instances(Rc::clone(driver), Rc::clone(peers), source));
    }

    /// Takes the settings anew if the file has changed. Addresses hold until the next start.
    fn reload(&self, driver: &Driver, text: &mut Option<String>, asked: bool) {
        let read = match std::fs::read_to_string(self.path) {
            Ok(read) => read,
            Err(err) => {
                log::warn!(event = "reload_failed", cause:% = err; "settings can't be read");
                return;
            }
        };
        if text.as_deref() == Some(read.as_str()) && !asked {
            return;
        }
        match RelaySettings::load(self.path) {
            Ok(settings) => {
                driver.with_gateway_mut(|gateway| gateway.retune(gateway_tuning(&settings)));
                log::info!(event = "reloaded", asked; "settings read anew");
            }
            Err(faults) => {
                log::error!(event = "reload_failed", cause:% = faults; "settings have faults");
            }
        }
        *text = Some(read);
    }

    fn report_dropped(&self) {
        let dropped = self.dropped.take();
        if dropped > 0 {
            log::warn!(event = "lines_dropped", dropped; "log lines dropped");
        }
    }
}

/// Stops as planned: not ready at once, callers are asked to leave, and the process ends when
/// nothing is in flight or the grace time is over.
async fn stop(driver: &Driver, phase: &Sender<Phase>, grace: Duration) {
    let start = Instant::now();
    let open = driver.with_gateway(Gateway::open_requests);
    log::info!(event = "stopping", open; "instance stopping");
    driver.with_gateway_mut(Gateway::set_unready);
    phase.send_replace(Phase::Closing);
    let end = start + grace.saturating_sub(GRACE_MARGIN);
    let refuse = start + REFUSE_DELAY;
    let balancer_done = start + BALANCER_DELAY;
    loop {
        sleep(STOP_POLL_INTERVAL).await;
        driver.handle(Event::Tick);
        let now = Instant::now();
        if now >= balancer_done {
            phase
                .send_if_modified(|phase| std::mem::replace(phase, Phase::Closed) != Phase::Closed);
        }
        if now >= refuse {
            driver.handle(Event::Stop);
        }
        let open = driver.with_gateway(Gateway::open_requests);
        if now >= end || (now >= balancer_done && open == 0) {
            break;
        }
    }
    let open = driver.with_gateway(Gateway::open_requests);
    // What arrives from now on would be cut. Connections write what is left of finished answers.
    driver.handle(Event::Stop);
    sleep_until(end.min(Instant::now() + STOP_POLL_INTERVAL)).await;
    log::info!(event = "stopped", cut = open; "instance stopped");
}

fn readiness_answer(driver: &Driver) -> Answer {
    let ready = driver.with_gateway(Gateway::is_ready);
    let mut answer = Response::new(AnswerBody::Whole(bytes::Bytes::new()));
    *answer.status_mut() = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    answer
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
        joined: !settings.first_start,
        ..Tuning::default()
    }
}
