//! Entries of the platform's list of instances and targets.

use serde::{Deserialize, Serialize};
use sesamewind_protocol::{InstanceId, TargetId, ZoneId};

/// State of an entry of the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// Takes work.
    Live,
    /// Shutting down as planned.
    Leaving,
}

/// An instance in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name.
    pub name: InstanceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Region of the zone.
    #[serde(default)]
    pub region: String,
    /// Address for messages between instances.
    pub address: String,
    /// State.
    pub state: ListedState,
}

/// A target in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedTarget {
    /// Name.
    pub name: TargetId,
    /// State.
    pub state: ListedState,
}
