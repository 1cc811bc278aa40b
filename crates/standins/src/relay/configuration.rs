//! Builds the operators' configuration for tests.

use serde_json::{Value, json};
use sesamewind_adapter::names;

/// Maximum attempts of a repeatable request.
pub const ATTEMPTS: u32 = 2;

/// Returns a route of `kind` to `service`, with its name as the path prefix.
pub fn route(name: &str, kind: &str, service: &str, resumable: bool) -> Value {
    let repeatable = kind == names::KIND_REPEATABLE || resumable;
    json!({
        "name": name, "host": "h.example", "prefix": format!("/{name}/"), "kind": kind,
        "timeoutMs": 5_000, "targetLatencyMs": 1_000, "targetGapMs": 200, "priority": 0,
        "service": service, "maxAttempts": if repeatable { ATTEMPTS } else { 1 },
        "public": false, "sticky": true, "resumable": resumable
    })
}

/// Returns one route of each kind: `talk` and `once-stream` to the model service, `pay` and `read`
/// to the plain one.
pub fn default_routes() -> Vec<Value> {
    vec![
        route("talk", names::KIND_STREAM, "model", true),
        route("once-stream", names::KIND_STREAM, "model", false),
        route("pay", names::KIND_ONCE, "plain", false),
        route("read", names::KIND_REPEATABLE, "plain", false),
    ]
}

/// Returns a configuration of `version` with these routes and client accounts, and with a model
/// service and a plain one.
pub fn configuration(version: u64, routes: &[Value], accounts: &[Value]) -> Value {
    json!({
        "version": version,
        "routes": routes,
        "services": [
            {"name": "model", "healthPath": "/healthz", "maxConnections": 600, "engine": {"slots": 4}},
            {"name": "plain", "healthPath": "/healthz", "maxConnections": 200}
        ],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 65_536, "headerTimeoutMs": 3_000,
                   "idleTimeoutMs": 15_000},
        "tenants": accounts
    })
}

/// Returns a client account with the API key `key` and a limit of `rate` tokens per second with
/// `burst`; a limit of zero means none.
pub fn account(name: &str, key: &str, rate: f64, burst: f64) -> Value {
    json!({
        "name": name, "apiKeys": [key], "priority": 1, "unit": names::UNIT_TOKENS,
        "uncachedTokens": 10, "ratePerS": rate, "burst": burst
    })
}
