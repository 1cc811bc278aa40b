//! JSON bodies of the operators' API, shared by the daemon and the command-line tool.

use serde::{Deserialize, Serialize};

use crate::{Code, InstanceId, RolloutId, ServiceId, TargetId, VersionId, WallTime, ZoneId};

/// Path of [`StatusBody`].
pub const STATUS_PATH: &str = "/operator/status";
/// Path of [`SheetBody`]; a sheet is submitted by a POST to it.
pub const SHEET_PATH: &str = "/operator/sheet";
/// Path of [`RolloutsBody`].
pub const ROLLOUTS_PATH: &str = "/operator/rollouts";
/// Path of [`TargetsBody`].
pub const TARGETS_PATH: &str = "/operator/targets";
/// Path of [`InstancesBody`].
pub const INSTANCES_PATH: &str = "/operator/instances";
/// Path of [`RefusalsBody`].
pub const REFUSALS_PATH: &str = "/operator/refusals";

/// State of the instance that answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusBody {
    /// The instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it takes callers' requests.
    pub ready: bool,
    /// Why it is not ready; empty if it is.
    pub why: String,
    /// Revision of the configuration in force; zero if there is none.
    pub revision: u64,
    /// Requests in its queue.
    pub queued: u64,
    /// Requests dispatched and not yet ended.
    pub in_flight: u64,
}

/// The configuration in force at the instance that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetBody {
    /// Its revision; zero if there is none.
    pub revision: u64,
    /// SHA-256 of the content, in hexadecimal; empty if there is none.
    pub hash: String,
    /// The content; empty if there is none.
    pub csv: String,
}

/// Answer to an accepted submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Revision under which the sheet was accepted.
    pub revision: u64,
    /// Identifier that the operators' tool chose for the submission.
    pub submission: String,
}

/// One fault of a sheet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetFault {
    /// Row number as in a spreadsheet: the header is row 1.
    pub row: u64,
    /// Column name; empty if the fault concerns the whole row.
    pub column: String,
    /// Number of the fault.
    pub code: u16,
    /// Explanation.
    pub message: String,
}

/// Answer to a sheet with faults (status 422).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faulty {
    /// Always [`Code::SheetFaulty`].
    pub code: Code,
    /// Every fault.
    pub faults: Vec<SheetFault>,
}

/// Answer to a submission on an outdated base (status 409).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Always [`Code::SheetConflict`].
    pub code: Code,
    /// Revision in force.
    pub current: u64,
    /// Differences of the sheet in force from the submitted one; empty if they are not available.
    pub changes: Vec<String>,
}

/// What is known of a submission while the store can't be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Acceptance {
    /// The sheet was not accepted and won't be.
    No,
    /// The store's answer was lost; repeating the same submission determines the outcome.
    Unknown,
}

/// Answer to a submission while the store can't be reached (status 503).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unavailable {
    /// Always [`Code::StoreUnavailable`].
    pub code: Code,
    /// Whether the sheet was accepted.
    pub accepted: Acceptance,
}

/// The instances that the answering one knows, including itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstancesBody {
    /// The instances.
    pub instances: Vec<InstanceRow>,
}

/// One instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// Its name.
    pub name: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// `live`, `suspect`, `leaving` or `removed`.
    pub state: String,
    /// Revision of the configuration in force there, as last reported; zero if none.
    pub revision: u64,
}

/// The targets of the configuration in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetsBody {
    /// The targets.
    pub targets: Vec<TargetRow>,
}

/// One target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetRow {
    /// Its name.
    pub name: TargetId,
    /// The service that it serves.
    pub service: ServiceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its state in the answering instance's view.
    pub state: String,
    /// Versions that are loaded.
    pub versions: Vec<VersionId>,
    /// Requests in flight from all known instances.
    pub requests: u64,
    /// Tokens in flight from all known instances.
    pub tokens: u64,
    /// Learned prefill speed, in tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Learned decode speed, in tokens per second.
    pub decode_tokens_per_s: f64,
}

/// The rollouts of the configuration in force, and those that ended recently.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutsBody {
    /// The rollouts.
    pub rollouts: Vec<RolloutRow>,
}

/// Final outcome of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The new version replaced the old one before the deadline.
    Completed,
    /// The old version serves all requests again.
    RolledBack,
}

/// One rollout.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutRow {
    /// Its name.
    pub id: RolloutId,
    /// The service.
    pub service: ServiceId,
    /// The version in use.
    pub from: VersionId,
    /// The version that replaces it.
    pub to: VersionId,
    /// The stage.
    pub state: String,
    /// What the stage waits for; empty once there is an outcome.
    pub waits_for: String,
    /// Share of requests that go to the new version, from 0 to 1.
    pub share: f64,
    /// The final outcome, if there is one.
    pub outcome: Option<Outcome>,
    /// Reason and evidence of the outcome; empty while there is none.
    pub reason: String,
    /// When the rollout entered the state, in Unix milliseconds.
    pub at: WallTime,
}

/// Counts of refusals and retries at the instance that answers, since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalsBody {
    /// Refusals by code.
    pub refusals: Vec<RefusalRow>,
    /// Retries by reason.
    pub retries: Vec<RetryRow>,
}

/// Count of refusals with one code.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalRow {
    /// The code.
    pub code: Code,
    /// Its short name.
    pub reason: String,
    /// Refusals since the start of the instance.
    pub count: u64,
}

/// Count of retries for one reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryRow {
    /// The reason.
    pub reason: String,
    /// Retries since the start of the instance.
    pub count: u64,
}
