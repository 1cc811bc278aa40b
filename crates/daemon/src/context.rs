//! State shared by the parts of one running instance.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use futures_util::FutureExt;
use sesamewind_platform::Platform;
use sesamewind_policy::Ticket;
use sesamewind_protocol::{Incarnation, Revision};
use sesamewind_settings::Settings;
use sesamewind_sheet::Sheet;
use xtra::{Address, Handler};

use crate::clock::Clock;
use crate::control::Control;
use crate::message::{JobSignal, Signal};
use crate::metrics::Metrics;
use crate::peers::PeerClient;
use crate::targets::Targets;

/// The accepted configuration in force. Readers load one pointer, so they see a single, consistent
/// revision.
#[derive(Debug)]
pub struct Installed {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Hash of its content.
    pub hash: String,
    /// Its content, as accepted.
    pub content: Bytes,
    /// Its parsed content.
    pub sheet: Sheet,
}

/// State and clients shared by the parts of a running instance.
#[derive(Debug)]
pub struct Context {
    /// Validated settings.
    pub settings: Settings,
    /// The clocks.
    pub clock: Clock,
    /// The instance's incarnation.
    pub incarnation: Incarnation,
    /// Client for targets.
    pub targets: Targets,
    /// Client for peers.
    pub peers: PeerClient,
    /// Client for the platform.
    pub platform: Platform,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The configuration in force, if any.
    pub installed: ArcSwapOption<Installed>,
    control: Address<Control>,
    tickets: AtomicU64,
    stopping: AtomicBool,
    /// Requests of callers whose head was read and whose answer has not begun.
    unanswered: AtomicUsize,
}

/// Counts a caller's request as unanswered until it is dropped.
#[derive(Debug)]
pub struct Unanswered<'a>(&'a AtomicUsize);

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Context {
    /// Creates the context. `control` is the address of the control actor.
    pub fn new(
        settings: Settings,
        clock: Clock,
        incarnation: Incarnation,
        control: Address<Control>,
    ) -> Self {
        let peers = PeerClient::new(&settings);
        let options = sesamewind_platform::Options {
            attempt: settings.platform.call_timeout,
            ..Default::default()
        };
        Self {
            clock,
            incarnation,
            targets: Targets::new(settings.listen.source_ip(), settings.traffic.connect_timeout),
            peers,
            platform: Platform::new(&settings.platform.url, options),
            metrics: Metrics::default(),
            installed: ArcSwapOption::empty(),
            control,
            tickets: AtomicU64::new(1),
            stopping: AtomicBool::new(false),
            unanswered: AtomicUsize::new(0),
            settings,
        }
    }

    /// Returns a ticket that is unique within this incarnation.
    pub fn next_ticket(&self) -> Ticket {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Records that a planned stop has begun.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Counts a caller's request whose head was read.
    pub fn count_unanswered(&self) -> Unanswered<'_> {
        self.unanswered.fetch_add(1, Ordering::AcqRel);
        Unanswered(&self.unanswered)
    }

    /// Returns the number of callers' requests whose answer has not begun, which includes those whose
    /// body is on its way in.
    pub fn unanswered(&self) -> usize {
        self.unanswered.load(Ordering::Acquire)
    }

    /// Reports a request's progress to the control thread.
    pub fn signal(&self, ticket: Ticket, signal: Signal) {
        self.notify(JobSignal { ticket, signal });
    }

    /// Sends the control thread a message without waiting for it to be handled.
    pub fn notify<M>(&self, message: M)
    where
        M: Send + 'static,
        Control: Handler<M>,
    {
        // The mailbox is unbounded, so the first poll delivers the message.
        let _ = self.control.send(message).detach().now_or_never();
    }

    /// Sends the control thread a message and waits for its answer. Returns `None` if the thread
    /// has ended.
    pub async fn ask<M>(&self, message: M) -> Option<<Control as Handler<M>>::Return>
    where
        M: Send + 'static,
        Control: Handler<M>,
    {
        self.control.send(message).await.ok()
    }

    /// Returns the configuration in force, if any.
    pub fn configuration(&self) -> Option<Arc<Installed>> {
        self.installed.load_full()
    }
}
