//! The sections of an exchange on traffic: usage of targets and accounts, and tier floors.

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
    /// Prompt and output tokens in flight that are still to be processed.
    pub tokens: u64,
    /// Prefill speed that the sender learned, in tokens per second; zero if none.
    pub prefill_speed: f32,
}

/// Demand of a client account at one instance, including refused requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// The account.
    pub account: AccountId,
    /// Recent rate of tokens per second.
    pub tokens_per_s: f32,
    /// Recent rate of requests per second.
    pub requests_per_s: f32,
}

/// Asks all instances to run no requests below a tier for a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FloorRaise {
    /// The service.
    pub service: ServiceId,
    /// Rank of the lowest tier that may still run; zero is the most urgent.
    pub rank: u8,
    /// The instance that raised the floor.
    pub origin: InstanceId,
    /// Number of the raise within its origin's incarnation.
    pub seq: u64,
    /// When the floor expires unless renewed, by the origin's wall clock.
    pub until: WallTime,
    /// Urgent requests now waiting at the origin, for which running work below the floor must be
    /// ended; zero if such work must only not be started.
    pub waiting: u32,
}

/// Reports that nothing below a floor runs at the sender any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FloorAck {
    /// The service.
    pub service: ServiceId,
    /// The instance that raised the floor.
    pub origin: InstanceId,
    /// Number of the raise within its origin's incarnation.
    pub seq: u64,
}
