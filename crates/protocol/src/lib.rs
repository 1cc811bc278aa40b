//! Types that all packages share: identifiers, time, result codes and the messages between
//! instances.
//!
//! Nearly every other package depends on this one, which does no input or output itself.
//!
//! - [`id`], [`time`] and [`code`] hold the identifiers, the two clocks and the result codes.
//! - [`target`] holds what targets report of themselves, [`operator`] the bodies of the operators'
//!   API.
//! - [`message`] holds the periodic exchange between instances, [`traffic`] and [`evidence`] its
//!   sections on traffic and on rollouts, and [`record`] the lookups of request records.
//! - [`relay`] holds the messages between instances that forward by route.
//! - [`placement`] holds the bodies of the call that explains where a request would go.
//! - [`codec`] encodes and decodes the messages between instances.

pub mod code;
pub mod codec;
pub mod evidence;
pub mod id;
mod keyed;
pub mod message;
pub mod operator;
pub mod placement;
pub mod record;
pub mod relay;
pub mod target;
pub mod time;
pub mod traffic;

pub use code::{Code, RunState};
pub use id::{
    AccountId, Incarnation, InstanceId, PartId, RegionId, RequestKey, Revision, RolloutId, RouteId,
    ServiceId, TargetId, VersionId, ZoneId, bytes_hash, text_hash,
};
pub use time::{Time, WallTime};
