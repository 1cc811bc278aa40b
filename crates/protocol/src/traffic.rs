//! What instances tell one another of their traffic: use of targets and accounts, tier floors.

use serde::{Deserialize, Serialize};

use crate::{AccountId, InstanceId, ServiceId, TargetId, WallTime};

/// One instance's work in flight at a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetUsage {
    /// The target.
    pub target: TargetId,
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens in flight that are not prefilled yet.
    pub prefill: u64,
    /// Prompt and output tokens in flight that are not done yet.
    pub tokens: u64,
    /// Speed of prefill that the sender learned, in tokens a second; zero if none.
    pub prefill_speed: f32,
}

/// What a client account asks of one instance, refused requests counted too.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// The account.
    pub account: AccountId,
    /// Tokens a second over the recent past.
    pub tokens_per_s: f32,
    /// Requests a second over the recent past.
    pub requests_per_s: f32,
}

/// A request to all instances to run nothing below a tier for a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FloorRaise {
    /// The service.
    pub service: ServiceId,
    /// Rank of the lowest tier that may still run; zero is the most urgent.
    pub rank: u8,
    /// The instance that raised the floor.
    pub origin: InstanceId,
    /// Number of the raise within its origin's life.
    pub seq: u64,
    /// When the floor ends unless renewed, by the origin's wall clock.
    pub until: WallTime,
    /// Urgent requests that wait at the origin now, for which running lower work has to end; zero
    /// if only the start of lower work is to be put off.
    pub waiting: u32,
}

/// Says that nothing below a floor runs at the sender any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FloorAck {
    /// The service.
    pub service: ServiceId,
    /// The instance that raised the floor.
    pub origin: InstanceId,
    /// Number of the raise within its origin's life.
    pub seq: u64,
}
