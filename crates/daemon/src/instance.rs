//! Starts and stops the threads, listeners and polling loops of an instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use sesamewind_membership::{Identity, LeaseTiming, Timing};
use sesamewind_node::{Node, Options};
use sesamewind_policy::Limits;
use sesamewind_protocol::Incarnation;
use sesamewind_settings::Settings;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;
use xtra::Mailbox;

use crate::clock::Clock;
use crate::context::Context;
use crate::control::Control;
use crate::stop::{self, Stopped};
use crate::{callers, inner, polls, server};

/// Divisor of a lease's length that gives its margin: the time before its end in which the holder
/// no longer uses it.
const LEASE_MARGIN_DIVISOR: u32 = 8;

/// Number of renewals within the length of a lease.
const RENEWALS_PER_LEASE: u32 = 3;

/// Longest time after a planned stop in which callers' connections may end.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Error while starting an instance.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A thread or runtime could not be created.
    #[error("threads could not be started")]
    Threads,
    /// A listener could not be bound.
    #[error("address {0} could not be bound")]
    Bind(SocketAddr),
}

/// A running instance.
#[derive(Debug)]
pub struct Instance {
    context: Arc<Context>,
    traffic: Option<Runtime>,
    handle: Handle,
    control: Option<JoinHandle<()>>,
    stop: watch::Sender<bool>,
    /// Whether all connections of callers have ended after `stop`.
    closed: watch::Sender<bool>,
    end_control: Option<oneshot::Sender<()>>,
    callers: SocketAddr,
    inner: SocketAddr,
}

impl Instance {
    /// Starts an instance on new threads.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if a thread or a listener could not be created.
    pub fn start(settings: Settings) -> Result<Self, Report<StartError>> {
        let traffic = Builder::new_multi_thread()
            .worker_threads(settings.traffic.threads)
            .thread_name("traffic")
            .enable_all()
            .build()
            .change_context(StartError::Threads)?;
        let handle = traffic.handle().clone();
        let caller_listener = bind(&handle, settings.listen.callers)?;
        let inner_listener = bind(&handle, settings.listen.inner)?;
        let callers = local_address(&caller_listener)?;
        let inner = local_address(&inner_listener)?;
        let clock = Clock::start();
        let incarnation = clock.incarnation();
        let node = Node::new(node_options(&settings, incarnation, inner));
        let (address, mailbox) = Mailbox::unbounded();
        let context = Arc::new(Context::new(settings, clock, incarnation, address));
        let actor = Control::new(node, Arc::clone(&context), handle.clone());
        let (end_control, ended) = oneshot::channel();
        let control = run_control(actor, mailbox, ended)?;
        let stop = watch::Sender::new(false);
        let instance = Self {
            callers,
            inner,
            traffic: Some(traffic),
            handle,
            control: Some(control),
            stop,
            closed: watch::Sender::new(false),
            end_control: Some(end_control),
            context,
        };
        instance.spawn(caller_listener, inner_listener);
        Ok(instance)
    }

    /// Returns the address of the callers' listener.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address of the inner listener.
    pub fn inner(&self) -> SocketAddr {
        self.inner
    }

    /// Runs `future` on the calling thread, with the timers and sockets of the traffic runtime.
    ///
    /// # Panics
    ///
    /// Panics if the calling thread runs a task of an asynchronous runtime.
    pub fn block_on<F: Future>(&self, future: F) -> F::Output {
        self.handle.block_on(future)
    }

    /// Returns the handle of the traffic runtime, to run further tasks on it.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Performs a planned stop: waits for the requests in flight, within the limits of the
    /// settings, and then for heads that are on their way in.
    pub async fn stop(&self) -> Stopped {
        let stopped = stop::stop(Arc::clone(&self.context)).await;
        if stopped == Stopped::Clean {
            self.stop.send_replace(true);
            let mut closed = self.closed.subscribe();
            if timeout(CLOSE_TIMEOUT, closed.wait_for(|closed| *closed)).await.is_err() {
                log::debug!("connections of callers are closed before their ends");
            }
        }
        stopped
    }

    /// Stops immediately. Requests in flight are cut off.
    pub fn kill(mut self) {
        self.finish();
    }

    fn spawn(&self, callers: TcpListener, inner: TcpListener) {
        let limits = server::Limits {
            head_bytes: usize::try_from(self.context.settings.traffic.header_limit)
                .unwrap_or(usize::MAX),
            head_timeout: self.context.settings.traffic.send_timeout,
        };
        let handle = &self.handle;
        let filter = callers::filter(Arc::clone(&self.context));
        let served = server::serve(callers, filter, limits, self.stop.subscribe());
        let closed = self.closed.clone();
        handle.spawn(async move {
            served.await;
            closed.send_replace(true);
        });
        let filter = inner::filter(Arc::clone(&self.context));
        handle.spawn(server::serve(inner, filter, limits, self.stop.subscribe()));
        handle.spawn(polls::ticks(Arc::clone(&self.context)));
        handle.spawn(polls::configuration(Arc::clone(&self.context)));
        handle.spawn(polls::list(Arc::clone(&self.context)));
        handle.spawn(polls::records(Arc::clone(&self.context)));
        handle.spawn(polls::targets(Arc::clone(&self.context)));
    }

    fn finish(&mut self) {
        self.stop.send_replace(true);
        drop(self.end_control.take());
        if let Some(control) = self.control.take() {
            let _ = control.join();
        }
        if let Some(traffic) = self.traffic.take() {
            traffic.shutdown_background();
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.finish();
    }
}

/// Returns the node's options. `inner` is the address of the inner listener.
fn node_options(settings: &Settings, incarnation: Incarnation, inner: SocketAddr) -> Options {
    let control = &settings.control;
    let address = settings.listen.advertise.unwrap_or(inner);
    Options {
        identity: Identity {
            deployment: settings.deployment.clone(),
            instance: settings.instance.name.clone(),
            incarnation,
            zone: settings.instance.zone.clone(),
            region: settings.instance.region.clone(),
            address: address.to_string(),
        },
        limits: scheduler_limits(settings),
        members: Timing {
            interval: control.heartbeat,
            suspect_after: control.suspect_after,
            remove_after: control.remove_after,
            retention: settings.records.keep,
            ..Timing::default()
        },
        lease: LeaseTiming {
            length: control.lease_length,
            margin: control.lease_length / LEASE_MARGIN_DIVISOR,
            renew: control.lease_length / RENEWALS_PER_LEASE,
            poll: control.lease_length / RENEWALS_PER_LEASE,
            ..LeaseTiming::default()
        },
        seed: rand::random(),
    }
}

fn scheduler_limits(settings: &Settings) -> Limits {
    Limits {
        queue_requests: settings.traffic.queue_limit,
        record_retention: settings.records.keep,
        lookup_timeout: settings.records.lookup_timeout,
        progress_timeout: settings.traffic.progress_timeout,
        ..Limits::default()
    }
}

fn bind(handle: &Handle, address: SocketAddr) -> Result<TcpListener, Report<StartError>> {
    let _guard = handle.enter();
    server::bind(address).change_context(StartError::Bind(address))
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, Report<StartError>> {
    listener.local_addr().change_context(StartError::Threads)
}

/// Runs the actor on the control thread until `ended` resolves.
fn run_control(
    actor: Control,
    mailbox: Mailbox<Control>,
    ended: oneshot::Receiver<()>,
) -> Result<JoinHandle<()>, Report<StartError>> {
    let runtime =
        Builder::new_current_thread().enable_all().build().change_context(StartError::Threads)?;
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    _ = xtra::run(mailbox, actor) => {}
                    _ = ended => {}
                }
            });
        })
        .change_context(StartError::Threads)
}
