//! Plan of the faults in a run, drawn from its seed.

use std::time::Duration;

use rand::{Rng, RngExt};
use sesamewind_standins::proxy::Side;
use sesamewind_standins::relay::{Behaviour, StoreMode};

use crate::configuration::Aspect;

/// Mean time between the starts of two faults.
const MEAN_INTERVAL: Duration = Duration::from_millis(1_100);

/// Bounds on the duration of a fault in milliseconds.
const LENGTH_MS: (u64, u64) = (300, 3_500);

/// Time without faults at the start of a run, in which all instances start and serve requests.
pub const LEAD_TIME: Duration = Duration::from_secs(3);

/// Time without faults at the end of a run, after which all requests must be served again.
pub const SETTLE_TIME: Duration = Duration::from_secs(8);

/// A fault of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes are delayed.
    Delay(Duration),
    /// Open connections are closed.
    Reset,
    /// Bytes are discarded; connections stay open.
    Silence(Side),
    /// Bytes on open connections are discarded; new connections work.
    SilenceOpen,
    /// Bytes are held back until the fault ends.
    Hold,
    /// Open connections are closed, and new ones are refused.
    Cut,
}

/// A fault, or an operation such as a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A process is killed and restarted.
    Kill(usize),
    /// All processes are killed at once and restarted.
    KillAll,
    /// A process is stopped with a signal and restarted.
    Stop(usize),
    /// A process is stopped, is signalled to reload and to stop while it stops, and is restarted.
    StopWithSignals(usize),
    /// Half of the processes are stopped and restarted, one after the other.
    RollingStop,
    /// A process is suspended.
    Freeze(usize),
    /// A process is signalled to reload changed settings.
    Reload(usize),
    /// The store handles calls in this mode.
    Store(StoreMode),
    /// The link from one instance to the store fails, or that of all instances.
    StoreLink(Option<usize>, LinkFault),
    /// The links from the other instances to this one fail.
    PeerLink(usize, LinkFault),
    /// The links from callers to an instance fail.
    CallerLink(usize, LinkFault),
    /// The links to a target fail.
    TargetLink(usize, LinkFault),
    /// A target crashes; if it is down long enough, its entry expires.
    TargetCrash(usize),
    /// A target leaves as planned and is replaced.
    TargetLeaves(usize),
    /// A target handles some requests with this behaviour.
    TargetScript(usize, Behaviour),
    /// One target, or all targets, pause after this many events for this many milliseconds, in some
    /// answers.
    TargetPause(Option<usize>, u64, u64),
    /// A target names this request limit, in thousandths of a request a second.
    TargetLimit(usize, u32),
    /// This many new configurations are written, one after the other.
    Configure(u32),
    /// This many new configurations are written, each with this aspect changed.
    Change(Aspect, u32),
}

/// A fault with its start and duration.
#[derive(Debug, Clone, Copy)]
pub struct PlannedFault {
    /// Start of the fault, from the start of the run.
    pub at: Duration,
    /// Duration of the fault.
    pub length: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Draws the faults of a run of `length` with these numbers of instances and targets.
pub fn plan(
    rng: &mut impl Rng,
    length: Duration,
    instances: usize,
    targets: usize,
) -> Vec<PlannedFault> {
    let mut planned = Vec::new();
    let mut at = LEAD_TIME;
    let end = length.saturating_sub(SETTLE_TIME);
    while at < end {
        let length = Duration::from_millis(rng.random_range(LENGTH_MS.0..LENGTH_MS.1));
        let fault = fault(rng, instances, targets);
        planned.push(PlannedFault { at, length: length.min(end - at), fault });
        at += MEAN_INTERVAL.mul_f64(rng.random_range(0.1..1.9));
    }
    planned
}

fn fault(rng: &mut impl Rng, instances: usize, targets: usize) -> Fault {
    let instance = rng.random_range(0..instances);
    let target = rng.random_range(0..targets);
    match rng.random_range(0..30) {
        0..3 => Fault::Kill(instance),
        3 => Fault::KillAll,
        4..7 => Fault::Stop(instance),
        7 => Fault::RollingStop,
        8..10 => Fault::Freeze(instance),
        10 => Fault::Reload(instance),
        11..15 => Fault::Store(store_mode(rng)),
        15..17 => Fault::StoreLink(Some(instance), link_fault(rng)),
        17 => Fault::StoreLink(None, link_fault(rng)),
        18..20 => Fault::PeerLink(instance, link_fault(rng)),
        20 => Fault::CallerLink(instance, link_fault(rng)),
        21..23 => Fault::TargetLink(target, link_fault(rng)),
        23 => Fault::TargetCrash(target),
        24..26 => Fault::TargetLeaves(target),
        26..28 => Fault::TargetScript(target, behaviour(rng)),
        _ => Fault::Configure(rng.random_range(1..6)),
    }
}

fn store_mode(rng: &mut impl Rng) -> StoreMode {
    match rng.random_range(0..5) {
        0 => StoreMode::Down,
        1 => StoreMode::Busy,
        2 => StoreMode::HistoryLost,
        3 => StoreMode::LosesAnswers,
        _ => StoreMode::LateWrites(Duration::from_millis(rng.random_range(500..4_000))),
    }
}

fn link_fault(rng: &mut impl Rng) -> LinkFault {
    match rng.random_range(0..8) {
        0 => LinkFault::Delay(Duration::from_millis(rng.random_range(20..400))),
        1 | 2 => LinkFault::Reset,
        3 => LinkFault::Silence(Side::Up),
        4 => LinkFault::Silence(Side::Down),
        5 => LinkFault::SilenceOpen,
        6 => LinkFault::Hold,
        _ => LinkFault::Cut,
    }
}

fn behaviour(rng: &mut impl Rng) -> Behaviour {
    match rng.random_range(0..8) {
        0 => Behaviour::Decline,
        1 => Behaviour::Replaced,
        2 => Behaviour::Fail,
        3 => Behaviour::Unsealed,
        4 => Behaviour::Foreign,
        5 | 6 => Behaviour::BreakOff(rng.random_range(0..5)),
        _ => Behaviour::Hang(rng.random_range(0..5)),
    }
}
