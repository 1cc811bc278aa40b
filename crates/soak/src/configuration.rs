//! Operators' configuration for a run.

use serde_json::Value;
use sesamewind_adapter::names;
use sesamewind_standins::relay::configuration::{self, account, default_routes, route};

/// API key of the account without a limit.
pub const FREE_KEY: &str = "key-free";

/// API key of the account with a limit.
pub const LIMITED_KEY: &str = "key-limited";

/// Limit of the limited account in tokens per second.
pub const LIMIT_RATE: f64 = 1_500.0;

/// Burst limit of the limited account in tokens.
pub const LIMIT_BURST: f64 = 3_000.0;

/// Tokens of each request: those of the prompt and those of the answer.
pub const TOKENS: (u32, u32) = (100, 20);

/// Returns the configuration of `version`, with a route that only this version has.
pub fn configuration(version: u64) -> Value {
    let mut routes = default_routes();
    routes.push(route(&format!("n{version}"), names::KIND_REPEATABLE, "plain", false));
    let accounts = [
        account("free", FREE_KEY, 0.0, 0.0),
        account("limited", LIMITED_KEY, LIMIT_RATE, LIMIT_BURST),
    ];
    configuration::configuration(version, &routes, &accounts)
}
