//! What instances agree on, as state machines without sockets or clocks.
//!
//! [`Members`] tells which instances exist, which can be reached and which targets leave.
//! [`ConfigState`] takes configurations of rising revision only and [`Submission`] brings a new one
//! into force. [`LeaseManager`] holds at most one lease over a row of the platform's table service.
//! [`Deltas`] keeps what has not changed out of the messages between instances.
//!
//! The present time is an argument everywhere; the caller carries out the calls that the state
//! machines ask for and reports their results.

mod config;
mod delta;
mod exchange_peer;
mod lease;
mod leaving;
mod listing;
mod members;
mod peer;
mod submission;
mod timing;

pub use config::{CONFIG_KEY, ConfigRow, ConfigState, Fetch, InstallOutcome, Source, Submitted};
pub use delta::Deltas;
pub use exchange_peer::{ExchangeKind, ExchangePeer};
pub use lease::{Grant, Holder, LeaseAnswer, LeaseCall, LeaseManager, LeaseRow, LeaseTiming};
pub use leaving::Leaving;
pub use listing::{ListedInstance, ListedState, ListedTarget};
pub use members::{Identity, MemberEvent, Members};
pub use peer::KnownPeer;
pub use submission::{
    Outcome, Step, Submission, SubmissionTiming, SubmitAnswer, SubmitCall, SubmitRequest,
};
pub use timing::Timing;
