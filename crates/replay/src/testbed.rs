//! The testbed of a replay: stand-ins for targets and platform, and the sheet that describes them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use sesamewind_protocol::WallTime;
use sesamewind_standins::{
    Control, Engine, EngineOptions, Platform, PlatformOptions, Service, ServiceOptions, TargetEntry,
};

use crate::scenario::{Class, Scenario, TargetPlan};

/// Revision of the sheet that is in force at the start of the replay.
const FIRST_REVISION: u64 = 1;

/// Time after which an engine aborts a stream that nobody reads.
const ABANDON_AFTER: Duration = Duration::from_secs(3);

/// The stand-ins of a replay.
#[derive(Debug)]
pub struct Testbed {
    /// Model engines by name.
    pub engines: BTreeMap<String, Engine>,
    /// Plain services by name.
    pub services: BTreeMap<String, Service>,
    /// The stand-in for the platform.
    pub platform: Platform,
}

impl Testbed {
    /// Starts all stand-ins of `scenario`.
    pub async fn start(scenario: &Scenario, seed: u64) -> Self {
        let plan = &scenario.platform;
        let list_lag = Duration::from_millis(plan.list_lag_ms);
        let platform = Platform::start(PlatformOptions { list_lag, rate_limit: None }).await;
        platform.slow(Duration::from_millis(plan.delay_ms));
        platform.proxy().delay(scenario.zone_delay());
        let mut testbed = Self { engines: BTreeMap::new(), services: BTreeMap::new(), platform };
        for (index, target) in scenario.targets.iter().enumerate() {
            let seed = seed.wrapping_mul(scenario.targets.len() as u64) + index as u64;
            testbed.start_target(scenario, target, seed).await;
        }
        for plan in &scenario.versions {
            testbed.misbehave(scenario, &plan.service, &plan.version, &plan.bad);
        }
        let entry = |target: &TargetPlan| TargetEntry {
            name: target.name.clone(),
            state: "live".to_owned(),
        };
        testbed.platform.set_targets(scenario.targets.iter().map(entry).collect());
        testbed
    }

    async fn start_target(&mut self, scenario: &Scenario, target: &TargetPlan, seed: u64) {
        let Some(service) = scenario.service(&target.service) else { return };
        let versions = vec![service.version.clone()];
        if service.class == Class::Plain {
            let delay = Duration::from_millis(target.delay_ms);
            let options = ServiceOptions { name: target.name.clone(), versions, delay };
            let standin = Service::start(options).await;
            standin.proxy().delay(scenario.zone_delay());
            self.services.insert(target.name.clone(), standin);
            return;
        }
        let generation = target.generation.as_ref();
        let Some(generation) = generation.and_then(|name| scenario.generations.get(name)) else {
            return;
        };
        let options = EngineOptions {
            name: target.name.clone(),
            service: target.service.clone(),
            versions,
            prefill_tokens_per_s: generation.prefill_tokens_per_s,
            decode_tokens_per_s: generation.decode_tokens_per_s,
            batch_knee: generation.batch_knee,
            max_batch: generation.max_batch,
            cache_tokens: generation.cache_tokens,
            report_lag: Duration::from_millis(target.report_lag_ms),
            event_lag: Duration::from_millis(target.event_lag_ms),
            event_loss: target.event_loss,
            checks_fence: target.checks_fence,
            load_time: Duration::from_millis(target.load_ms),
            abandon_after: ABANDON_AFTER,
            seed,
            ..EngineOptions::default()
        };
        let standin = Engine::start(options).await;
        standin.proxy().delay(scenario.zone_delay());
        self.engines.insert(target.name.clone(), standin);
    }

    fn misbehave(
        &self,
        scenario: &Scenario,
        service: &str,
        version: &str,
        bad: &sesamewind_standins::VersionFault,
    ) {
        for target in scenario.targets.iter().filter(|target| target.service == service) {
            if let Some(engine) = self.engines.get(&target.name) {
                engine.misbehave(version, Some(bad.clone()));
            }
            if let Some(service) = self.services.get(&target.name) {
                service.misbehave(version, Some(bad.clone()));
            }
        }
    }

    /// Returns the address of the target named `target`.
    pub fn addr(&self, target: &str) -> Option<SocketAddr> {
        let engine = self.engines.get(target).map(Engine::addr);
        engine.or_else(|| self.services.get(target).map(Service::addr))
    }

    /// Applies a fault to the target named `node`, or to the platform if `node` is `platform`.
    /// Returns whether `node` exists and supports the fault.
    pub async fn control(&self, node: &str, control: Control) -> bool {
        let done = if let Some(engine) = self.engines.get(node) {
            engine.control(control).await
        } else if let Some(service) = self.services.get(node) {
            service.control(control).await
        } else if node == "platform" {
            self.platform.control(control).await
        } else {
            return false;
        };
        done.is_ok()
    }

    /// Stores `sheet` in the platform as the configuration in force.
    pub fn publish_sheet(&self, sheet: &str) {
        let hash = sesamewind_sheet::hash(sheet.as_bytes());
        self.platform.put_object(&hash, sheet.to_owned());
        let value = json!({
            "revision": FIRST_REVISION, "hash": hash, "submission": "replay", "author": "replay",
        });
        self.platform.put_row("config", value);
    }
}

/// Returns the bearer key of an account.
pub fn bearer(account: &str) -> String {
    format!("key-of-{account}")
}

/// Returns the sheet of `scenario` as CSV. Rollout deadlines count from `start`.
pub fn sheet(scenario: &Scenario, testbed: &Testbed, start: WallTime) -> String {
    let mut rows = SheetRows::default();
    for tier in &scenario.tiers {
        rows.add(&[
            ("kind", "tier"),
            ("name", &tier.name),
            ("rank", &tier.rank.to_string()),
            ("first_token_ms", &tier.first_token_ms.to_string()),
            ("total_ms", &tier.total_ms.to_string()),
        ]);
    }
    for account in &scenario.accounts {
        rows.add(&[
            ("kind", "account"),
            ("name", &account.name),
            ("key_sha256", &sesamewind_sheet::hash(bearer(&account.name).as_bytes())),
            ("tier", &account.tier),
            ("requests_per_s", &optional_cell(account.requests_per_s)),
            ("tokens_per_s", &optional_cell(account.tokens_per_s)),
        ]);
    }
    for service in &scenario.services {
        for route in &service.routes {
            rows.add(&[
                ("kind", "service"),
                ("name", &service.name),
                ("class", service.class.as_str()),
                ("version", &service.version),
                ("route", &route.route),
                ("tier", &route.tier),
                ("idempotent", if route.idempotent { "yes" } else { "no" }),
            ]);
        }
    }
    for target in &scenario.targets {
        let version = scenario.service(&target.service).map_or("", |service| &service.version);
        let addr = testbed.addr(&target.name).map(|addr| addr.to_string()).unwrap_or_default();
        rows.add(&[
            ("kind", "target"),
            ("name", &target.name),
            ("service", &target.service),
            ("version", version),
            ("zone", &target.zone),
            ("address", &addr),
        ]);
    }
    for rollout in &scenario.rollouts {
        let deadline = start + Duration::from_secs_f64(rollout.deadline_s);
        rows.add(&[
            ("kind", "rollout"),
            ("name", &rollout.id),
            ("service", &rollout.service),
            ("from", &rollout.from),
            ("to", &rollout.to),
            ("deadline", &deadline.0.to_string()),
            ("share", &rollout.share.to_string()),
        ]);
    }
    rows.text
}

fn optional_cell(number: Option<f64>) -> String {
    number.map(|number| number.to_string()).unwrap_or_default()
}

/// Builder for the rows of a sheet, as CSV.
struct SheetRows {
    text: String,
}

impl Default for SheetRows {
    fn default() -> Self {
        Self { text: sesamewind_sheet::COLUMNS.join(",") + "\n" }
    }
}

impl SheetRows {
    fn add(&mut self, cells: &[(&str, &str)]) {
        let cell = |column: &&str| {
            let found = cells.iter().find(|(name, _)| name == column);
            found.map_or("", |(_, value)| *value)
        };
        let row: Vec<&str> = sesamewind_sheet::COLUMNS.iter().map(cell).collect();
        self.text += &(row.join(",") + "\n");
    }
}
