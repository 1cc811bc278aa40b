//! The scenario beside a trace: what runs, what fails when, and which outcomes are stated.

mod plan;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;

pub use plan::{
    AccountPlan, Class, FaultPlan, Generation, GroundTruth, InstancePlan, OutcomePlan,
    PlatformPlan, RolloutPlan, RoutePlan, ServicePlan, TargetPlan, TierPlan, VersionPlan,
};

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

/// Why a scenario was refused.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The text is no scenario.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
    /// Names don't fit together; every fault at once.
    #[error("{}", .0.join("\n"))]
    Inconsistent(Vec<String>),
}

impl Scenario {
    /// Reads a scenario and checks that its names fit together.
    ///
    /// # Errors
    ///
    /// Returns the fault of the text, or every name that doesn't fit.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Self = toml::from_str(text)?;
        let errors = scenario.check();
        if errors.is_empty() { Ok(scenario) } else { Err(ScenarioError::Inconsistent(errors)) }
    }

    /// Checks that the scenario knows every name in `entries`.
    ///
    /// # Errors
    ///
    /// Returns every name that it doesn't know, once.
    pub fn check_trace(&self, entries: &[Entry]) -> Result<(), ScenarioError> {
        let mut errors: Vec<String> = entries.iter().filter_map(|e| self.unknown_name(e)).collect();
        errors.sort();
        errors.dedup();
        if errors.is_empty() { Ok(()) } else { Err(ScenarioError::Inconsistent(errors)) }
    }

    fn unknown_name(&self, entry: &Entry) -> Option<String> {
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
        let mut errors = Vec::new();
        let mut require = |valid: bool, message: String| {
            if !valid {
                errors.push(message);
            }
        };
        for instance in &self.instances {
            let name = &instance.name;
            require(self.zones.contains(&instance.zone), format!("instance {name}: unknown zone"));
        }
        for account in &self.accounts {
            let name = &account.name;
            require(self.tier(&account.tier).is_some(), format!("account {name}: unknown tier"));
        }
        for service in &self.services {
            for route in &service.routes {
                let name = &route.route;
                require(self.tier(&route.tier).is_some(), format!("route {name}: unknown tier"));
            }
        }
        for target in &self.targets {
            let name = &target.name;
            require(self.zones.contains(&target.zone), format!("target {name}: unknown zone"));
            let service = self.service(&target.service);
            require(service.is_some(), format!("target {name}: unknown service"));
            let is_model = service.is_some_and(|service| service.class == Class::Model);
            let generation = target.generation.as_ref();
            let known = generation.is_some_and(|name| self.generations.contains_key(name));
            require(known || !is_model, format!("target {name}: unknown generation"));
        }
        for rollout in &self.rollouts {
            let known = self.service(&rollout.service).is_some();
            require(known, format!("rollout {}: unknown service", rollout.id));
        }
        for fault in &self.faults {
            let node = &fault.node;
            let is_target = self.targets.iter().any(|target| &target.name == node);
            let is_instance = self.instances.iter().any(|instance| &instance.name == node);
            require(
                is_target || is_instance || node == "platform",
                format!("fault on {node}: unknown name"),
            );
        }
        for outcome in &self.outcomes {
            let has_bound =
                outcome.at_least.is_some() || outcome.at_most.is_some() || outcome.equals.is_some();
            require(has_bound, format!("outcome {}: states no value", outcome.name));
        }
        require(!self.instances.is_empty(), "the scenario has no instance".to_owned());
        errors
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
        duration_from_ms(self.client_delay_ms)
    }

    /// Time between zones, one way.
    pub fn zone_delay(&self) -> Duration {
        duration_from_ms(self.zone_delay_ms)
    }
}

fn duration_from_ms(ms: f64) -> Duration {
    const MILLIS_PER_SECOND: f64 = 1_000.0;
    Duration::from_secs_f64(ms.max(0.0) / MILLIS_PER_SECOND)
}
