//! The operators' configuration in a run.

use serde_json::{Value, json};
use sesamewind_adapter::names;

/// Key of the account without a limit.
pub const FREE_KEY: &str = "key-free";

/// Key of the account with a limit.
pub const LIMITED_KEY: &str = "key-limited";

/// Tokens a second of the limited account.
pub const LIMIT_RATE: f64 = 1_500.0;

/// Tokens that the limited account may use at once.
pub const LIMIT_BURST: f64 = 3_000.0;

/// Tokens of each request, prompt and answer.
pub const TOKENS: (u32, u32) = (100, 20);

/// Attempts of a request that may be repeated.
pub const ATTEMPTS: u32 = 2;

/// The configuration of `version`, with a route that only this version has.
pub fn configuration(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, resumable: bool| {
        let once = !(kind == names::KIND_REPEATABLE || resumable);
        json!({
            "name": name, "host": "h.example", "prefix": format!("/{name}/"), "kind": kind,
            "timeoutMs": 5_000, "targetLatencyMs": 1_000, "targetGapMs": 200, "priority": 0,
            "service": service, "maxAttempts": if once { 1 } else { ATTEMPTS },
            "public": false, "sticky": true, "resumable": resumable
        })
    };
    let account = |name: &str, key: &str, rate: f64, burst: f64| {
        json!({
            "name": name, "apiKeys": [key], "priority": 1, "unit": names::UNIT_TOKENS,
            "uncachedTokens": 10, "ratePerS": rate, "burst": burst
        })
    };
    json!({
        "version": version,
        "routes": [
            route("talk", names::KIND_STREAM, "model", true),
            route("once-stream", names::KIND_STREAM, "model", false),
            route("pay", "non_idempotent", "plain", false),
            route("read", names::KIND_REPEATABLE, "plain", false),
            route(&format!("n{version}"), names::KIND_REPEATABLE, "plain", false),
        ],
        "services": [
            {"name": "model", "healthPath": "/healthz", "maxConnections": 600, "engine": {"slots": 4}},
            {"name": "plain", "healthPath": "/healthz", "maxConnections": 200}
        ],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 65_536, "headerTimeoutMs": 3_000,
                   "idleTimeoutMs": 15_000},
        "tenants": [
            account("free", FREE_KEY, 0.0, 0.0),
            account("limited", LIMITED_KEY, LIMIT_RATE, LIMIT_BURST),
        ]
    })
}
