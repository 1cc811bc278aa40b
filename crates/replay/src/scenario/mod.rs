//! The scenario of a trace: instances and targets, scheduled faults and expected outcomes.

mod plan;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;

pub use plan::{
    AccountPlan, Class, FaultPlan, Generation, GroundTruth, InstancePlan, OutcomePlan,
    PlatformPlan, RolloutPlan, RoutePlan, ServicePlan, TargetPlan, TierPlan, VersionPlan,
};

use crate::trace::Entry;

/// The part of the input of a replay that is not in the trace.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Region that all zones belong to.
    pub region: String,
    /// Availability zones.
    pub zones: Vec<String>,
    /// One-way network delay between zones, in milliseconds.
    pub zone_delay_ms: f64,
    /// One-way network delay between clients and entry instances, in milliseconds.
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
    /// Faults to inject.
    #[serde(default)]
    pub faults: Vec<FaultPlan>,
    /// Expected outcomes.
    pub outcomes: Vec<OutcomePlan>,
    /// Behaviour of the platform.
    #[serde(default)]
    pub platform: PlatformPlan,
}

/// Error in a scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The text is not a valid scenario file.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
    /// The scenario refers to unknown names or lacks required values; lists all such errors.
    #[error("{}", .0.join("\n"))]
    Inconsistent(Vec<String>),
}

impl Scenario {
    /// Parses a scenario and checks that it is consistent.
    ///
    /// # Errors
    ///
    /// Returns the error of the parser, or all inconsistencies.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Self = toml::from_str(text)?;
        let errors = scenario.check();
        if errors.is_empty() { Ok(scenario) } else { Err(ScenarioError::Inconsistent(errors)) }
    }

    /// Checks that the scenario defines all accounts, tiers and services in `entries`.
    ///
    /// # Errors
    ///
    /// Returns the names that it does not define, each once; for each entry the first one only.
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
                format!("fault on {node}: unknown node"),
            );
        }
        for outcome in &self.outcomes {
            let has_bound =
                outcome.at_least.is_some() || outcome.at_most.is_some() || outcome.equals.is_some();
            require(
                has_bound,
                format!("outcome {}: needs at_least, at_most or equals", outcome.name),
            );
        }
        require(!self.instances.is_empty(), "the scenario has no instance".to_owned());
        errors
    }

    /// Returns the tier named `name`.
    pub fn tier(&self, name: &str) -> Option<&TierPlan> {
        self.tiers.iter().find(|tier| tier.name == name)
    }

    /// Returns the service named `name`.
    pub fn service(&self, name: &str) -> Option<&ServicePlan> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the one-way network delay between clients and entry instances.
    pub fn client_delay(&self) -> Duration {
        duration_from_ms(self.client_delay_ms)
    }

    /// Returns the one-way network delay between zones.
    pub fn zone_delay(&self) -> Duration {
        duration_from_ms(self.zone_delay_ms)
    }
}

fn duration_from_ms(ms: f64) -> Duration {
    const MILLIS_PER_SECOND: f64 = 1_000.0;
    Duration::from_secs_f64(ms.max(0.0) / MILLIS_PER_SECOND)
}
