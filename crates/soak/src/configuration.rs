//! Operators' configuration for a run.

use std::collections::HashSet;

use serde_json::{Value, json};
use sesamewind_adapter::names;
use sesamewind_standins::relay::configuration::{self, account, default_routes, route};

/// API key of the account without a limit.
pub const FREE_KEY: &str = "key-free";

/// Second API key of the account without a limit, which changes remove and add again.
pub const SPARE_KEY: &str = "key-spare";

/// API key of the account with a limit.
pub const LIMITED_KEY: &str = "key-limited";

/// Limit of the limited account in tokens per second; changes only lower it.
pub const LIMIT_RATE: f64 = 1_500.0;

/// Burst limit of the limited account in tokens.
pub const LIMIT_BURST: f64 = 3_000.0;

/// Tokens of each request: those of the prompt and those of the answer.
pub const TOKENS: (u32, u32) = (100, 20);

/// Long and short idle limit of connections in milliseconds.
pub const IDLE_LIMITS_MS: (u64, u64) = (15_000, 2_500);

/// Shortest timeout of a route in milliseconds.
pub const SHORT_TIMEOUT_MS: u64 = 3_000;

/// Service that shares the calls of a route with the plain service.
pub const SPARE_SERVICE: &str = "spare";

/// Number of routes that a change to a large configuration adds.
const MANY_ROUTES: usize = 300;

/// Part of the configuration that has two forms, between which operators change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Aspect {
    /// Idle limit of connections.
    Idle,
    /// Limits of request heads.
    Head,
    /// Timeouts of routes.
    Timeouts,
    /// A route that is added or removed.
    Routes,
    /// Weights of the services of a route.
    Weights,
    /// Limit of an account.
    Accounts,
    /// API keys of an account.
    Keys,
    /// Number of routes.
    Size,
}

impl Aspect {
    /// All aspects.
    pub const ALL: [Self; 8] = [
        Self::Idle,
        Self::Head,
        Self::Timeouts,
        Self::Routes,
        Self::Weights,
        Self::Accounts,
        Self::Keys,
        Self::Size,
    ];
}

/// Returns the configuration of `version`, with a route that only this version has and with these
/// aspects in their second form.
pub fn configuration(version: u64, changed: &HashSet<Aspect>) -> Value {
    let is = |aspect| changed.contains(&aspect);
    let rate = if is(Aspect::Accounts) { LIMIT_RATE / 2.0 } else { LIMIT_RATE };
    let mut accounts =
        [account("free", FREE_KEY, 0.0, 0.0), account("limited", LIMITED_KEY, rate, LIMIT_BURST)];
    if !is(Aspect::Keys) {
        accounts[0]["apiKeys"] = json!([FREE_KEY, SPARE_KEY]);
    }
    let mut value = configuration::configuration(version, &routes(version, changed), &accounts);
    if let Some(services) = value["services"].as_array_mut() {
        services.push(json!({
            "name": SPARE_SERVICE, "healthPath": "/healthz", "maxConnections": 200
        }));
    }
    value["limits"]["idleTimeoutMs"] = json!(idle_limit_ms(changed));
    if is(Aspect::Head) {
        value["limits"]["headerTimeoutMs"] = json!(1_000);
        value["limits"]["maxHeaderBytes"] = json!(8_192);
    }
    value
}

/// Returns the idle limit of connections in milliseconds with these aspects in their second form.
pub fn idle_limit_ms(changed: &HashSet<Aspect>) -> u64 {
    if changed.contains(&Aspect::Idle) { IDLE_LIMITS_MS.1 } else { IDLE_LIMITS_MS.0 }
}

fn routes(version: u64, changed: &HashSet<Aspect>) -> Vec<Value> {
    let is = |aspect| changed.contains(&aspect);
    let mut routes = default_routes();
    routes.push(route(&format!("n{version}"), names::KIND_REPEATABLE, "plain", false));
    if !is(Aspect::Routes) {
        routes.push(route("moving", names::KIND_STREAM, "model", true));
    }
    if is(Aspect::Size) {
        let more = (0..MANY_ROUTES).map(|number| format!("more-{number}"));
        routes.extend(more.map(|name| route(&name, names::KIND_ONCE, "plain", false)));
    }
    for route in &mut routes {
        if is(Aspect::Timeouts) {
            route["timeoutMs"] = json!(SHORT_TIMEOUT_MS);
        }
        if is(Aspect::Weights) && route["name"] == "read" {
            route["trafficSplit"] = json!([
                {"service": "plain", "weight": 20}, {"service": SPARE_SERVICE, "weight": 80}
            ]);
            if let Some(fields) = route.as_object_mut() {
                fields.remove("service");
            }
        }
    }
    routes
}
