//! The scenario beside a trace: what runs, what fails when, and which outcomes are stated.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sesamewind_standins::{Bad, Control};

use crate::trace::Entry;

/// Everything that a replay needs beside the trace.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Region of all zones.
    pub region: String,
    /// Availability zones.
    pub zones: Vec<String>,
    /// Time from one zone to another, one way, in milliseconds.
    pub zone_delay_ms: f64,
    /// Time from clients to entry instances, one way, in milliseconds.
    pub client_delay_ms: f64,
    /// Entry instances.
    pub instances: Vec<InstancePlan>,
    /// Tiers.
    pub tiers: Vec<TierPlan>,
    /// Client accounts.
    pub accounts: Vec<AccountPlan>,
    /// Services.
    pub services: Vec<ServicePlan>,
    /// Engine generations by name.
    pub generations: BTreeMap<String, Generation>,
    /// Targets.
    pub targets: Vec<TargetPlan>,
    /// Versions that misbehave.
    #[serde(default)]
    pub versions: Vec<VersionPlan>,
    /// Rollouts.
    #[serde(default)]
    pub rollouts: Vec<RolloutPlan>,
    /// Faults.
    #[serde(default)]
    pub faults: Vec<FaultPlan>,
    /// Outcomes that the replay must show.
    pub outcomes: Vec<OutcomePlan>,
    /// What the platform is like.
    #[serde(default)]
    pub platform: PlatformPlan,
}

/// An entry instance.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstancePlan {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
}

/// A tier.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierPlan {
    /// Name.
    pub name: String,
    /// Rank; zero is the most urgent.
    pub rank: u8,
    /// Time to the first token that counts as in time, in milliseconds.
    pub first_token_ms: u64,
    /// Time to the whole answer that counts as in time, in milliseconds.
    pub total_ms: u64,
}

/// A client account.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountPlan {
    /// Name.
    pub name: String,
    /// The most urgent tier that it may use.
    pub tier: String,
    /// Limit on requests a second.
    pub requests_per_s: Option<f64>,
    /// Limit on tokens a second.
    pub tokens_per_s: Option<f64>,
}

/// Class of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Served by model engines.
    Model,
    /// A plain service.
    Plain,
}

impl Class {
    /// The class as it stands in the sheet.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Plain => "plain",
        }
    }
}

/// A service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePlan {
    /// Name.
    pub name: String,
    /// Class.
    pub class: Class,
    /// Version in use.
    pub version: String,
    /// Routes.
    pub routes: Vec<RoutePlan>,
}

/// A route of a service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePlan {
    /// Name; for plain services method and path.
    pub route: String,
    /// Default tier.
    pub tier: String,
    /// Whether a call may be repeated.
    pub idempotent: bool,
}

/// What engines of one generation are like.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Generation {
    /// Prompt tokens taken in a second.
    pub prefill_tokens_per_s: f64,
    /// Output tokens a second of a stream that is alone.
    pub decode_tokens_per_s: f64,
    /// Streams beyond the first that halve the speed of each.
    pub batch_knee: f64,
    /// Requests that run at the same time.
    pub max_batch: usize,
    /// Prefix tokens that the cache holds.
    pub cache_tokens: u64,
}

/// A target.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetPlan {
    /// Name.
    pub name: String,
    /// The service that it serves.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Generation, for model engines.
    pub generation: Option<String>,
    /// Age of load reports, in milliseconds.
    #[serde(default)]
    pub report_lag_ms: u64,
    /// Age of cache events, in milliseconds.
    #[serde(default)]
    pub event_lag_ms: u64,
    /// Share of cache events that are lost.
    #[serde(default)]
    pub event_loss: f64,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
    /// Time to load a version, in milliseconds.
    #[serde(default)]
    pub load_ms: u64,
    /// Time that a call takes, in milliseconds; for plain services.
    #[serde(default)]
    pub delay_ms: u64,
}

/// How a version misbehaves wherever it is loaded.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionPlan {
    /// The service.
    pub service: String,
    /// The version.
    pub version: String,
    /// How it misbehaves.
    pub bad: Bad,
}

/// Whether a version is really good.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Truth {
    /// It must take over by the deadline.
    Good,
    /// It must be taken back.
    Bad,
}

/// A rollout.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutPlan {
    /// Name.
    pub id: String,
    /// The service.
    pub service: String,
    /// The old version.
    pub from: String,
    /// The new version.
    pub to: String,
    /// Deadline in seconds since the start.
    pub deadline_s: f64,
    /// Largest first share.
    pub share: f64,
    /// Whether the new version is really good.
    pub truth: Truth,
}

/// Something that goes wrong.
#[derive(Debug, Clone, Deserialize)]
pub struct FaultPlan {
    /// When, in seconds since the start.
    pub at_s: f64,
    /// A target, an instance, or `platform`.
    pub node: String,
    /// What happens. Instances know `kill` as their planned stop only.
    #[serde(flatten)]
    pub control: Control,
}

/// An outcome that the replay must show.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutcomePlan {
    /// Name.
    pub name: String,
    /// The measure, by its path in the report.
    pub measure: String,
    /// Lowest value that holds.
    pub at_least: Option<f64>,
    /// Highest value that holds.
    pub at_most: Option<f64>,
    /// The only text that holds.
    pub equals: Option<String>,
}

/// What the platform is like.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformPlan {
    /// Age of the list, in milliseconds.
    pub list_lag_ms: u64,
    /// Time of each answer, in milliseconds.
    pub delay_ms: u64,
}

/// Why a scenario was refused.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioFault {
    /// The text is no scenario.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
    /// Names don't fit together; every fault at once.
    #[error("{}", .0.join("\n"))]
    Names(Vec<String>),
}

impl Scenario {
    /// Reads a scenario and checks that its names fit together.
    ///
    /// # Errors
    ///
    /// Returns the fault of the text, or every name that doesn't fit.
    pub fn parse(text: &str) -> Result<Self, ScenarioFault> {
        let scenario: Self = toml::from_str(text)?;
        let faults = scenario.check();
        if faults.is_empty() { Ok(scenario) } else { Err(ScenarioFault::Names(faults)) }
    }

    /// Checks that the scenario knows every name in `entries`.
    ///
    /// # Errors
    ///
    /// Returns every name that it doesn't know, once.
    pub fn check_trace(&self, entries: &[Entry]) -> Result<(), ScenarioFault> {
        let mut faults: Vec<String> = entries.iter().filter_map(|e| self.unknown(e)).collect();
        faults.sort();
        faults.dedup();
        if faults.is_empty() { Ok(()) } else { Err(ScenarioFault::Names(faults)) }
    }

    fn unknown(&self, entry: &Entry) -> Option<String> {
        if !self.accounts.iter().any(|account| account.name == entry.account) {
            return Some(format!("the scenario has no account {:?}", entry.account));
        }
        if self.tier(&entry.tier).is_none() {
            return Some(format!("the scenario has no tier {:?}", entry.tier));
        }
        if self.service(&entry.service).is_none() {
            return Some(format!("the scenario has no service {:?}", entry.service));
        }
        None
    }

    fn check(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut want = |known: bool, message: String| {
            if !known {
                faults.push(message);
            }
        };
        for instance in &self.instances {
            let name = &instance.name;
            want(self.zones.contains(&instance.zone), format!("instance {name}: unknown zone"));
        }
        for account in &self.accounts {
            let name = &account.name;
            want(self.tier(&account.tier).is_some(), format!("account {name}: unknown tier"));
        }
        for service in &self.services {
            for route in &service.routes {
                let name = &route.route;
                want(self.tier(&route.tier).is_some(), format!("route {name}: unknown tier"));
            }
        }
        for target in &self.targets {
            let name = &target.name;
            want(self.zones.contains(&target.zone), format!("target {name}: unknown zone"));
            let service = self.service(&target.service);
            want(service.is_some(), format!("target {name}: unknown service"));
            let model = service.is_some_and(|service| service.class == Class::Model);
            let generation = target.generation.as_ref();
            let known = generation.is_some_and(|name| self.generations.contains_key(name));
            want(known || !model, format!("target {name}: unknown generation"));
        }
        for rollout in &self.rollouts {
            let known = self.service(&rollout.service).is_some();
            want(known, format!("rollout {}: unknown service", rollout.id));
        }
        for fault in &self.faults {
            let on = &fault.node;
            let target = self.targets.iter().any(|target| &target.name == on);
            let instance = self.instances.iter().any(|instance| &instance.name == on);
            want(target || instance || on == "platform", format!("fault on {on}: unknown name"));
        }
        for outcome in &self.outcomes {
            let stated =
                outcome.at_least.is_some() || outcome.at_most.is_some() || outcome.equals.is_some();
            want(stated, format!("outcome {}: states no value", outcome.name));
        }
        want(!self.instances.is_empty(), "the scenario has no instance".to_owned());
        faults
    }

    /// The tier named `name`.
    pub fn tier(&self, name: &str) -> Option<&TierPlan> {
        self.tiers.iter().find(|tier| tier.name == name)
    }

    /// The service named `name`.
    pub fn service(&self, name: &str) -> Option<&ServicePlan> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Time from clients to entry instances, one way.
    pub fn client_delay(&self) -> Duration {
        millis(self.client_delay_ms)
    }

    /// Time between zones, one way.
    pub fn zone_delay(&self) -> Duration {
        millis(self.zone_delay_ms)
    }
}

fn millis(ms: f64) -> Duration {
    const MILLIS_PER_SECOND: f64 = 1_000.0;
    Duration::from_secs_f64(ms.max(0.0) / MILLIS_PER_SECOND)
}
