//! Coordination between instances, as state machines without I/O.
//!
//! - [`Members`] tracks the other instances of the deployment, whether they are reachable, and the
//!   targets that are leaving.
//! - [`ConfigState`] tracks the configuration in force and accepts only higher revisions.
//!   [`Submission`] submits a new configuration.
//! - [`LeaseManager`] acquires, renews and releases one lease, stored as a row of the platform's
//!   table service.
//! - [`Deltas`] removes unchanged entries from the messages between instances and restores them at
//!   the receiver.
//!
//! Every method that needs the current time takes it as an argument. The caller carries out the
//! calls that a state machine returns and reports their results.

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
