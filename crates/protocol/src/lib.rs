//! What instances share: identifiers, time, result codes, and the messages of the inner protocol.
//!
//! Every other package builds on this one and none of its modules does any work with sockets.
//! [`id`] names things, [`time`] holds the two clocks, [`code`] numbers every result, [`target`]
//! describes what targets say of themselves, [`operator`] holds the bodies of the operators' API,
//! [`message`] is what instances send one another and
//! [`codec`] turns those messages into bytes and back.

pub mod code;
pub mod codec;
pub mod evidence;
pub mod id;
pub mod message;
pub mod operator;
pub mod record;
pub mod relay;
pub mod target;
pub mod time;
pub mod traffic;

pub use code::{Code, RunState};
pub use id::{
    AccountId, Incarnation, InstanceId, RequestKey, Revision, RolloutId, RouteId, ServiceId,
    TargetId, VersionId, ZoneId, text_hash,
};
pub use time::{Time, WallTime};
