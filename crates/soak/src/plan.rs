//! The faults of a run, drawn from its seed.

use std::time::Duration;

use rand::{Rng, RngExt};
use sesamewind_standins::proxy::Side;
use sesamewind_standins::relay::{Behaviour, StoreMode};

/// Usual time between the beginnings of two faults.
const PAUSE: Duration = Duration::from_millis(1_100);

/// Bounds on how long a fault lasts, in milliseconds.
const LENGTH_MS: (u64, u64) = (300, 3_500);

/// Calm time before the first fault, in which everything starts and is served.
pub const LEAD: Duration = Duration::from_secs(3);

/// Calm time after the last fault, at whose end everything has to be served again.
pub const SETTLE: Duration = Duration::from_secs(8);

/// What happens to a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes take longer.
    Delay(Duration),
    /// Open connections are closed.
    Reset,
    /// Bytes are swallowed; connections stay open.
    Silence(Side),
    /// Open connections go silent, new ones work.
    SilenceOpen,
    /// Bytes are held back.
    Hold,
    /// No connection comes about.
    Cut,
}

/// A fault, or planned work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A process is killed and started again.
    Kill(usize),
    /// All processes are killed at once and started again.
    KillAll,
    /// A process is asked to stop and is started again.
    Stop(usize),
    /// Processes are asked to stop one after the other.
    RollingStop,
    /// A process stands still.
    Freeze(usize),
    /// The settings of a process change, with a signal.
    Reload(usize),
    /// The store treats calls otherwise.
    Store(StoreMode),
    /// The link of an instance to the store, or of all.
    StoreLink(Option<usize>, LinkFault),
    /// The links of the other instances to one.
    PeerLink(usize, LinkFault),
    /// The links of callers to an instance.
    CallerLink(usize, LinkFault),
    /// The links to a target.
    TargetLink(usize, LinkFault),
    /// A target ends; its entry lapses after a while.
    TargetCrash(usize),
    /// A target leaves as planned.
    TargetLeaves(usize),
    /// A target treats some requests otherwise.
    Answers(usize, Behaviour),
    /// New configurations, one after the other.
    Configure(u32),
}

/// A fault with its time.
#[derive(Debug, Clone, Copy)]
pub struct Planned {
    /// When it begins, from the start of the run.
    pub at: Duration,
    /// How long it lasts.
    pub length: Duration,
    /// The fault.
    pub fault: Fault,
}

/// The faults of a run of `length` with so many instances and targets.
pub fn plan(
    rng: &mut impl Rng,
    length: Duration,
    instances: usize,
    targets: usize,
) -> Vec<Planned> {
    let mut planned = Vec::new();
    let mut at = LEAD;
    let end = length.saturating_sub(SETTLE);
    while at < end {
        let length = Duration::from_millis(rng.random_range(LENGTH_MS.0..LENGTH_MS.1));
        let fault = fault(rng, instances, targets);
        planned.push(Planned { at, length: length.min(end - at), fault });
        at += PAUSE.mul_f64(rng.random_range(0.1..1.9));
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
        15..17 => Fault::StoreLink(Some(instance), link(rng)),
        17 => Fault::StoreLink(None, link(rng)),
        18..20 => Fault::PeerLink(instance, link(rng)),
        20 => Fault::CallerLink(instance, link(rng)),
        21..23 => Fault::TargetLink(target, link(rng)),
        23 => Fault::TargetCrash(target),
        24..26 => Fault::TargetLeaves(target),
        26..28 => Fault::Answers(target, behaviour(rng)),
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

fn link(rng: &mut impl Rng) -> LinkFault {
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
