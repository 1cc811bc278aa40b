//! Request handling decisions of an instance that forwards requests by route.
//!
//! [`Gateway`] is a deterministic state machine: it takes typed events with the current time and
//! returns typed actions. It opens no socket, reads no clock and draws random numbers only from a
//! seeded generator, so that tests can replay any order of events. `sesamewind-relay` turns socket
//! activity into events and carries out the actions.
//!
//! [`table`] holds the active configuration, [`quota`] the limits of client accounts and `meter`
//! their usage, `shares` their fair shares, [`budget`] the retry budget, [`queue`] the waiting requests,
//! `admission` how long their callers have waited before, [`targets`] the state
//! of targets, [`selection`] the choice of a target, `silence` what
//! happens to the requests of a silent target, `groups` the assignment of targets to groups
//! of instances, `hedging` the second attempts of slow requests, `evacuation` the availability zones
//! that operators have evacuated, [`homes`] the regions that requests are bound to, `reach` whether
//! this instance reaches targets and `passing` what it passes on to peers if not, `limits` the
//! request limits that targets state and what cold and brittle ones take, `quarantine` the prompt
//! parts that end targets, [`rollouts`] the rollouts of new versions, [`peers`] the state that other
//! instances report, and `placement` where a request would go.

mod admission;
pub mod arrival;
pub mod budget;
mod evacuation;
pub mod event;
mod flow;
pub mod gateway;
mod groups;
mod hedging;
pub mod homes;
mod limits;
mod meter;
mod notices;
mod passing;
pub mod peers;
mod placement;
pub mod proof;
mod quarantine;
pub mod queue;
pub mod quota;
mod rate;
mod reach;
mod reports;
mod request;
pub mod rollouts;
pub mod selection;
pub mod service;
mod sharers;
mod shares;
mod silence;
pub mod sse;
pub mod table;
pub mod targets;
pub mod tuning;

pub use arrival::{Arrival, Ticket};
pub use evacuation::ZoneChange;
pub use event::{
    Action, AttemptOutcome, Event, Failure, NoRetry, PassOn, PassOutcome, Probe, ProbeResult, Step,
};
pub use gateway::Gateway;
pub use hedging::{Hedge, HedgeObstacle};
pub use limits::{BrittleChange, BrittleTotals, ColdCause, ColdChange, LimitChange, LimitSummary};
pub use proof::{Refusal, RefusalReason};
pub use quarantine::{PartChange, SavedPart};
pub use reach::ReachChange;
pub use table::{Account, ColdStart, Repeat, Route, RouteTable, Routing, Service};
pub use targets::{ListedState, ListedTarget};
pub use tuning::Tuning;
